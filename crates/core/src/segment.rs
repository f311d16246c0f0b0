//! Shared prompt segments: parts of a prompt that several calls have in common, such as a system
//! prompt or a document, and the identity of a call that is made of them.

use std::{fmt, str::FromStr, sync::Arc};

use serde_with::{DeserializeFromStr, SerializeDisplay};
use sha2::{Digest, Sha256};

use crate::{CallFingerprint, ServiceId};

/// Segments of a prompt that are considered.
pub const MAX_SEGMENTS: usize = 16;

/// The number by which callers name a segment.
pub type SegmentNumber = u64;

/// A prompt segment at one service.
#[derive(
    Clone, Copy, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub struct SegmentId {
    /// Hash of the service's name.
    pub service: u32,
    /// The callers' number.
    pub number: SegmentNumber,
}

impl SegmentId {
    /// The segment with a number at a service.
    pub fn new(service: &ServiceId, number: SegmentNumber) -> SegmentId {
        SegmentId { service: u32::from_be_bytes(hash_prefix(service.as_bytes())), number }
    }
}

/// The number of a segment with a name that is not hexadecimal.
pub fn segment_number(name: &str) -> SegmentNumber {
    SegmentNumber::from_be_bytes(hash_prefix(name.as_bytes()))
}

fn hash_prefix<const N: usize>(bytes: &[u8]) -> [u8; N] {
    Sha256::digest(bytes).first_chunk().copied().unwrap_or([0; N])
}

impl fmt::Display for SegmentId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}@{:08x}", self.number, self.service)
    }
}

impl FromStr for SegmentId {
    type Err = String;

    fn from_str(text: &str) -> Result<SegmentId, String> {
        let fail = || format!("\"{text}\" is not a segment NUMBER@SERVICE");
        let (number, service) = text.split_once('@').ok_or_else(fail)?;
        let number = SegmentNumber::from_str_radix(number, 16).map_err(|_| fail())?;
        let service = u32::from_str_radix(service, 16).map_err(|_| fail())?;
        Ok(SegmentId { service, number })
    }
}

/// What may make a call crash its endpoint: its whole content, or a segment that it shares.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallIdentity {
    /// Fingerprint of the whole call.
    pub fingerprint: CallFingerprint,
    /// The segments of its prompt, at most [`MAX_SEGMENTS`].
    pub segments: Arc<[SegmentId]>,
}

impl From<CallFingerprint> for CallIdentity {
    fn from(fingerprint: CallFingerprint) -> CallIdentity {
        CallIdentity { fingerprint, segments: Arc::default() }
    }
}

impl fmt::Display for CallIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.fingerprint)?;
        self.segments.iter().try_for_each(|segment| write!(f, " {segment}"))
    }
}
