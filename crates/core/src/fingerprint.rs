//! Fingerprints of calls: hashes of a call's team, method, host, path and body.

use std::{fmt, str::FromStr};

use serde_with::{DeserializeFromStr, SerializeDisplay};
use sha2::{Digest, Sha256};

use crate::{CallTag, TeamId};

/// Length of a fingerprint in bytes. Finding a call with the fingerprint of a given other
/// call takes about 2^128 attempts.
const FINGERPRINT_BYTES: usize = 16;

/// Identifies calls with the same content. A repeated call has a new id and may arrive at
/// another entry, but keeps its fingerprint.
///
/// The hash is cryptographic because calls are quarantined by it: a team must not be able
/// to get another team's calls refused by forging a collision.
#[derive(
    Clone, Copy, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub struct CallFingerprint([u8; FINGERPRINT_BYTES]);

/// The parts of a call that its fingerprint covers.
#[derive(Clone, Copy, Debug)]
pub struct CallContent<'a> {
    /// The calling team; `None` for a call without an API key.
    pub team: Option<&'a TeamId>,
    /// The method.
    pub method: &'a str,
    /// The host, in lower case.
    pub host: &'a str,
    /// The path including the query.
    pub path: &'a str,
    /// The body.
    pub body: &'a [u8],
}

impl CallFingerprint {
    /// Computes the fingerprint of a call.
    pub fn of(content: CallContent<'_>) -> CallFingerprint {
        CallFingerprint::of_split_body(content, std::iter::empty())
    }

    /// Computes the fingerprint of a call whose body continues with `rest`.
    pub fn of_split_body<'a>(
        content: CallContent<'_>,
        rest: impl Iterator<Item = &'a [u8]>,
    ) -> CallFingerprint {
        let team = content.team.map_or("", |team| team);
        let parts = [team, content.method, content.host, content.path].map(str::as_bytes);
        let mut hash = Sha256::new();
        for part in parts {
            // Length prefixes keep the concatenation of the parts unambiguous.
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        hash.update(content.body);
        rest.for_each(|part| hash.update(part));
        let digest = hash.finalize();
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        CallFingerprint(bytes)
    }

    /// The first bytes, to tell a few calls apart.
    pub fn tag(&self) -> CallTag {
        CallTag::from_be_bytes(self.0.first_chunk().copied().unwrap_or_default())
    }

    /// The raw bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Display for CallFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for CallFingerprint {
    type Err = String;

    fn from_str(text: &str) -> Result<CallFingerprint, String> {
        let fail = || format!("\"{text}\" is not a hex fingerprint of {FINGERPRINT_BYTES} bytes");
        let digits = (text.len() == 2 * FINGERPRINT_BYTES && text.is_ascii()).then_some(text);
        let digits = digits.ok_or_else(fail)?;
        let mut bytes = [0; FINGERPRINT_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let pair = &digits[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| fail())?;
        }
        Ok(CallFingerprint(bytes))
    }
}
