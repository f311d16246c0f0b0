//! Where a request with a key may run, and when it may be reported as *not run*.

use lynxmount_core::{Incarnation, Offset};

use crate::{ActiveClaim, RequestDigest};

/// Next action of an entry for a request with a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyDecision {
    /// Choose an endpoint and claim the key for its incarnation.
    Claim {
        /// Revoked claim that the new one replaces.
        replaces: Option<Offset>,
    },
    /// Send the request to the incarnation that the claim names.
    Dispatch,
    /// The key was used with a different request.
    Reused,
    /// The incarnation that may have run the request can't be reached.
    Unreachable,
}

/// Decides about a request whose key may have an active claim.
///
/// `revoked` is the claim whose endpoint permanently refused this request, and `live` the
/// incarnation that is now reachable at the active claim's endpoint.
pub fn decide_key(
    request: &RequestDigest,
    revoked: Option<Offset>,
    active_claim: Option<&ActiveClaim>,
    live: Option<Incarnation>,
) -> KeyDecision {
    match active_claim {
        None => KeyDecision::Claim { replaces: None },
        Some(active) if active.claim.request_digest != *request => KeyDecision::Reused,
        Some(active) if revoked == Some(active.offset) => {
            KeyDecision::Claim { replaces: Some(active.offset) }
        }
        Some(active) if live == Some(active.claim.incarnation) => KeyDecision::Dispatch,
        Some(_) => KeyDecision::Unreachable,
    }
}

/// Whether a request that is given up may be reported as *not run*: only if the log, read to its
/// end, has no claim of the key, or one that was revoked.
///
/// `active_claim` is `None` if the log couldn't be read, and otherwise the claim's offset, if any.
pub fn may_report_not_run(revoked: Option<Offset>, active_claim: Option<Option<Offset>>) -> bool {
    match active_claim {
        None => false,
        Some(None) => true,
        Some(claim) => claim == revoked,
    }
}
