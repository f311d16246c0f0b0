//! Buffers response bodies within a budget of bytes.
//!
//! A body is buffered completely before its caller gets any of it, so that a call with a truncated
//! response can be retried. An endpoint in trouble may send bytes without end.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use lynxmount_policy::{BufferBudget, BufferReservation};

/// Largest response body.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// All buffers together take at most this fraction of the process's memory. A buffer that grows is
/// copied, and takes up to three times its size for a moment.
const BUDGET_MEMORY_FRACTION: usize = 8;

/// The memory of a process whose settings name no limit.
const DEFAULT_MEMORY_BYTES: usize = 256 * 1024 * 1024;

/// Why a body could not be buffered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyError {
    /// The connection broke before its end.
    Disconnected,
    /// It exceeds its limit, or all bodies together exceed the budget.
    TooLarge,
}

/// A body that keeps its part of the budget until it has been sent.
struct BufferedBody {
    bytes: Bytes,
    _reservation: BufferReservation,
}

impl AsRef<[u8]> for BufferedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The budget of response bodies of a process with a memory limit.
pub(crate) fn response_budget(memory_bytes: Option<usize>) -> BufferBudget {
    let memory_bytes = memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES);
    BufferBudget::new(memory_bytes / BUDGET_MEMORY_FRACTION, MAX_BODY_BYTES)
}

/// Reads a complete body.
///
/// Fails as soon as it is known to be too large, or if its connection breaks.
pub(crate) async fn read_body(
    mut body: Incoming,
    budget: &BufferBudget,
) -> Result<Bytes, BodyError> {
    let mut reservation = budget.reserve();
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if !reservation.try_grow_to(announced) {
        return Err(BodyError::TooLarge);
    }
    let mut buffer = BytesMut::with_capacity(announced);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Disconnected)?;
        let Ok(data) = frame.into_data() else { continue };
        if !reservation.try_grow_to(buffer.len() + data.len()) {
            return Err(BodyError::TooLarge);
        }
        buffer.extend_from_slice(&data);
    }
    Ok(Bytes::from_owner(BufferedBody { bytes: buffer.freeze(), _reservation: reservation }))
}
