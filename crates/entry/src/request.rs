//! Reads callers' requests and selects the headers that are forwarded to the back end.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{
    HeaderMap, HeaderName,
    header::{
        AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
    },
};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use lynxmount_core::Reason;
use lynxmount_resources::{BodyBuffer, BufferedBody, TrackedConnection};
use lynxmount_wire::Header;

use crate::reply::Refusal;

/// The header whose presence makes a request run at most once.
pub(crate) const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// The lowest average rate of a body, beyond the idle timeout that each body has.
const MIN_BODY_BYTES_PER_S: u64 = 1024;

/// The largest size of an idempotency key.
const MAX_KEY_BYTES: usize = 255;

/// Headers that are not forwarded: hop-by-hop headers (RFC 9110, 7.6.1) and headers that the back
/// end must not see.
const STRIPPED_HEADERS: [HeaderName; 11] = [
    AUTHORIZATION,
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HOST,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Why there is no request body.
pub(crate) enum BodyFailure {
    /// The caller's fault.
    Refused(Refusal),
    /// There is no memory for the body, or its connection is evicted.
    NoMemory,
}

/// Reads a request body up to a size limit.
///
/// Fails if the body is too large, too slow or truncated, if there is no memory for it, or if its
/// connection is evicted.
pub(crate) async fn read_body(
    body: Incoming,
    connection: &Arc<TrackedConnection>,
    max_bytes: u64,
    idle_timeout: Duration,
) -> Result<Bytes, BodyFailure> {
    let body = tokio::select! {
        biased;
        () = connection.evicted() => return Err(BodyFailure::NoMemory),
        read = buffer_body(body, connection, max_bytes, idle_timeout) => read?,
    };
    connection.on_request_complete();
    // A body of several blocks is copied, as frames to endpoints hold it in one piece.
    let held = connection.reserve(body.len(), body.len()).await;
    let held = held.map_err(|_| BodyFailure::NoMemory)?;
    Ok(held.hold(body.to_bytes()))
}

async fn buffer_body(
    mut body: Incoming,
    connection: &Arc<TrackedConnection>,
    max_bytes: u64,
    idle_timeout: Duration,
) -> Result<BufferedBody, BodyFailure> {
    let too_large = || {
        let detail = format!("the service takes bodies of at most {max_bytes} bytes");
        BodyFailure::Refused(Refusal::not_run(Reason::BodyTooLarge, detail))
    };
    let malformed =
        |detail: String| BodyFailure::Refused(Refusal::not_run(Reason::Malformed, detail));
    if body.size_hint().lower() > max_bytes {
        return Err(too_large());
    }
    let expected = body.size_hint().exact().and_then(|bytes| usize::try_from(bytes).ok());
    let mut buffer = BodyBuffer::new(Arc::clone(connection), expected);
    let started_at = Instant::now();
    loop {
        let pace_deadline = started_at + idle_timeout + time_at_min_rate(buffer.len());
        let limit = idle_timeout.min(pace_deadline.saturating_duration_since(Instant::now()));
        let frame = tokio::time::timeout(limit, body.frame()).await.map_err(|_| {
            connection.on_slow_body();
            malformed("the body paused for too long or is too slow".to_owned())
        })?;
        let Some(frame) = frame else { return Ok(buffer.finish()) };
        let frame = frame.map_err(|e| malformed(e.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        if (buffer.len() + data.len()) as u64 > max_bytes {
            return Err(too_large());
        }
        buffer.append(&data).await.map_err(|_| BodyFailure::NoMemory)?;
        // A body in small chunks would keep other connections waiting.
        tokio::task::coop::consume_budget().await;
    }
}

/// How long a body of this size takes at the lowest rate that is accepted.
fn time_at_min_rate(bytes: usize) -> Duration {
    Duration::from_secs(bytes as u64 / MIN_BODY_BYTES_PER_S)
}

/// Reads the idempotency key, if present.
///
/// Fails if it is empty or too long.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<Option<Bytes>, Refusal> {
    let Some(value) = headers.get(KEY_HEADER) else { return Ok(None) };
    match value.as_bytes() {
        key if key.is_empty() || key.len() > MAX_KEY_BYTES => {
            let detail = format!("the idempotency key must have 1 to {MAX_KEY_BYTES} bytes");
            Err(Refusal::not_run(Reason::Malformed, detail))
        }
        key => Ok(Some(Bytes::copy_from_slice(key))),
    }
}

/// Selects the headers that are forwarded to the back end.
///
/// Headers listed in the `Connection` header are hop-by-hop, too, and not forwarded.
pub(crate) fn forwarded_headers(headers: &HeaderMap) -> Vec<Header> {
    let hop_by_hop: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    headers
        .iter()
        .filter(|(name, _)| !STRIPPED_HEADERS.contains(name))
        .filter(|(name, _)| !hop_by_hop.iter().any(|listed| listed == name.as_str()))
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
