//! The framed protocol between an entry and an endpoint process.
//!
//! Frames are length-delimited and encoded by `postcard`. One connection
//! carries many requests; each frame names its request and attempt, and each
//! piece of an answer its sequence number. `docs/PROTOCOL.md` has the rules.

#![forbid(unsafe_code)]

mod answer;
mod codec;
mod event_stream;
mod frame;
mod numbered_events;

pub use answer::{Answer, AnswerEnd, Piece};
pub use codec::{FrameReader, FrameWriter, MAX_FRAME_BYTES};
pub use event_stream::EventStream;
pub use frame::{
    AttemptId, Binding, Dispatch, Failure, Header, LoadReport, PROTOCOL_VERSION, RefusalReason,
    ToEndpoint, ToEntry,
};
pub use numbered_events::{Numbered, NumberedEvents};
