//! Reading a caller's request, and what of it is passed on.

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

/// The header that makes a call run at most once.
pub(crate) const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// The longest key.
const MAX_KEY_BYTES: usize = 255;

/// Headers that concern one connection only (RFC 9110, 7.6.1), or that the
/// back end must not see.
const NOT_PASSED_ON: [HeaderName; 11] = [
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

/// Reads a body up to a limit.
///
/// Fails if it is larger, pauses for too long or is cut off.
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
    let mut whole = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(idle_timeout, body.frame())
            .await
            .map_err(|_| Refusal::not_run(Reason::Malformed, "the body paused for too long"))?;
        let Some(frame) = frame else { return Ok(whole.freeze()) };
        let frame = frame.map_err(|e| Refusal::not_run(Reason::Malformed, e.to_string()))?;
        if let Some(data) = frame.data_ref() {
            whole.extend_from_slice(data);
        }
        if whole.len() as u64 > max_bytes {
            return Err(too_large());
        }
    }
}

/// Reads the idempotency key, if there is one.
///
/// Fails if it is empty or too long.
pub(crate) fn key_of(headers: &HeaderMap) -> Result<Option<Bytes>, Refusal> {
    let Some(value) = headers.get(KEY_HEADER) else { return Ok(None) };
    match value.as_bytes() {
        key if key.is_empty() || key.len() > MAX_KEY_BYTES => {
            let detail = format!("the idempotency key must have 1 to {MAX_KEY_BYTES} bytes");
            Err(Refusal::not_run(Reason::Malformed, detail))
        }
        key => Ok(Some(Bytes::copy_from_slice(key))),
    }
}

/// Collects the headers that the back end gets.
///
/// Headers that the `Connection` header lists concern this connection only.
pub(crate) fn headers_to_pass(headers: &HeaderMap) -> Vec<Header> {
    let listed: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    headers
        .iter()
        .filter(|(name, _)| !NOT_PASSED_ON.contains(name))
        .filter(|(name, _)| !listed.iter().any(|l| l == name.as_str()))
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
