//! What an entry knows of calls under which endpoints end, shared by its requests and by the
//! tasks that tell other entries.

#![forbid(unsafe_code)]

mod holds;
mod suspects;

pub use suspects::Suspects;
