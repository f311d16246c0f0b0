//! Which team a bearer token belongs to.

use std::sync::Arc;

use http::{HeaderMap, header::AUTHORIZATION};
use lynxmount_config::{Team, TokenDigest};
use lynxmount_node::ActiveConfig;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// The scheme of RFC 6750, section 2.1.
const SCHEME: &str = "Bearer ";

/// Finds the team whose token the request carries.
///
/// The index is searched by the token's digest, which tells an attacker
/// nothing about tokens that are near; the digests are then compared in
/// constant time.
pub(crate) fn authenticate<'a>(
    headers: &HeaderMap,
    config: &'a ActiveConfig,
) -> Option<&'a Arc<Team>> {
    let token = headers.get(AUTHORIZATION)?.to_str().ok()?.strip_prefix(SCHEME)?;
    let digest = TokenDigest(Sha256::digest(token.as_bytes()).into());
    let team = config.team(&digest)?;
    let is_equal: bool = team.token_sha256.0.ct_eq(&digest.0).into();
    is_equal.then_some(team)
}
