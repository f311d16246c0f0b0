//! Reads callers' requests and selects the headers that are forwarded to the back end.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
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
use lynxmount_wire::Header;

use crate::reply::Refusal;

/// The header whose presence makes a request run at most once.
pub(crate) const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

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

/// Reads a request body up to a size limit.
///
/// Fails if the body is too large, idle for too long or truncated.
pub(crate) async fn read_body(
    mut body: Incoming,
    max_bytes: u64,
    idle_timeout: Duration,
) -> Result<Bytes, Refusal> {
    let too_large = || {
        let detail = format!("the service takes bodies of at most {max_bytes} bytes");
        Refusal::not_run(Reason::BodyTooLarge, detail)
    };
    if body.size_hint().lower() > max_bytes {
        return Err(too_large());
    }
    let mut bytes = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(idle_timeout, body.frame())
            .await
            .map_err(|_| Refusal::not_run(Reason::Malformed, "the body paused for too long"))?;
        let Some(frame) = frame else { return Ok(bytes.freeze()) };
        let frame = frame.map_err(|e| Refusal::not_run(Reason::Malformed, e.to_string()))?;
        if let Some(data) = frame.data_ref() {
            bytes.extend_from_slice(data);
        }
        if bytes.len() as u64 > max_bytes {
            return Err(too_large());
        }
    }
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
