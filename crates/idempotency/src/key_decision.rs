//! Where a key may run, and what may be said if it did not.

use lynxmount_core::{Incarnation, Offset};

use crate::{ActiveClaim, RequestDigest};

/// What an entry does next with a request that carries a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyDecision {
    /// Choose an endpoint and claim the key for its incarnation.
    Claim {
        /// The claim that is given up.
        replaces: Option<Offset>,
    },
    /// Send it to the incarnation that the claim names.
    Dispatch,
    /// The key came with another request before.
    Reused,
    /// The incarnation that may have run it can't be asked.
    Unreachable,
}

/// Decides about a request whose key has a standing claim or none.
///
/// `revoked` is the claim that this request has seen refused for ever, and
/// `live` the incarnation that answers at the claim's endpoint now.
pub fn decide_key(
    request: &RequestDigest,
    revoked: Option<Offset>,
    standing: Option<&ActiveClaim>,
    live: Option<Incarnation>,
) -> KeyDecision {
    match standing {
        None => KeyDecision::Claim { replaces: None },
        Some(standing) if standing.claim.request_digest != *request => KeyDecision::Reused,
        Some(standing) if revoked == Some(standing.offset) => {
            KeyDecision::Claim { replaces: Some(standing.offset) }
        }
        Some(standing) if live == Some(standing.claim.incarnation) => KeyDecision::Dispatch,
        Some(_) => KeyDecision::Unreachable,
    }
}

/// Says whether a request that is given up may be told that its key was not
/// run: only if the log, read to its end, shows no claim, or one that was
/// revoked. `standing` is `None` if the log could not be read.
pub fn may_report_not_run(revoked: Option<Offset>, standing: Option<Option<Offset>>) -> bool {
    match standing {
        None => false,
        Some(None) => true,
        Some(claim) => claim == revoked,
    }
}
