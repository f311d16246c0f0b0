//! The framed protocol between an entry and an endpoint process.
//!
//! Frames are length-delimited and encoded with `postcard`. One connection multiplexes many
//! requests: each frame has the id of its attempt, and each chunk of a response a sequence
//! number. `docs/PROTOCOL.md` specifies the protocol.

#![forbid(unsafe_code)]

mod answer_relay;
mod codec;
mod frame;
mod response_assembler;
mod sequenced_events;
mod sse_framer;

pub use answer_relay::{is_event_stream, is_relayed};
pub use codec::{FrameReader, FrameWriter, MAX_FRAME_BYTES};
pub use frame::{
    AttemptId, Binding, Dispatch, ExecutionFailure, Header, LoadReport, PROTOCOL_VERSION,
    RefusalReason, ToEndpoint, ToEntry,
};
pub use response_assembler::{AssemblyState, ChunkStatus, ResponseAssembler};
pub use sequenced_events::{MAX_EVENT_BYTES, SequenceCheck, SequencedEvents};
pub use sse_framer::SseFramer;
