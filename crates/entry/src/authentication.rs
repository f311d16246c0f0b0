//! Authenticates callers: maps a bearer token to its team.

use std::sync::Arc;

use http::{HeaderMap, header::AUTHORIZATION};
use lynxmount_config::{Team, TokenDigest};
use lynxmount_node::ActiveConfig;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// The authentication scheme of RFC 6750, section 2.1.
const BEARER_PREFIX: &str = "Bearer ";

/// Returns the team whose token the request carries.
///
/// Teams are indexed by the digest of their token, so the lookup time reveals nothing about
/// similar tokens; the digests are then compared in constant time.
pub(crate) fn authenticate<'a>(
    headers: &HeaderMap,
    config: &'a ActiveConfig,
) -> Option<&'a Arc<Team>> {
    let token = headers.get(AUTHORIZATION)?.to_str().ok()?.strip_prefix(BEARER_PREFIX)?;
    let digest = TokenDigest(Sha256::digest(token.as_bytes()).into());
    let team = config.team(&digest)?;
    let is_equal: bool = team.token_sha256.0.ct_eq(&digest.0).into();
    is_equal.then_some(team)
}
