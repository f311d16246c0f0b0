//! Decides when an answer is relayed to its caller, which entry and endpoint must agree on: a
//! request can only be retried at another endpoint until then.

use crate::Header;

/// The largest answer that is buffered until it is complete.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// The header with the media type, in lower case as all headers of a frame.
const CONTENT_TYPE: &str = "content-type";

/// The media type of a stream of server-sent events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Whether an answer is relayed while it arrives, once `received_bytes` of its body have arrived.
pub fn is_relayed(headers: &[Header], received_bytes: usize) -> bool {
    let max_buffered_bytes = if is_event_stream(headers) { 0 } else { MAX_BUFFERED_BYTES };
    received_bytes > max_buffered_bytes
}

/// Whether an answer is a stream of server-sent events.
pub fn is_event_stream(headers: &[Header]) -> bool {
    headers
        .iter()
        .filter(|header| header.name == CONTENT_TYPE)
        .any(|header| header.value.starts_with(EVENT_STREAM))
}
