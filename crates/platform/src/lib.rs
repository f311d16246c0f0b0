//! Client for the platform's log and VM list.
//!
//! The platform has a small HTTP API: append-only streams of JSON records with offsets and
//! limited retention, and a list of VMs that is updated with a delay.

#![forbid(unsafe_code)]

mod client;
mod interface;
mod stream_read;

pub use client::PlatformClient;
pub use interface::{AppendRequest, AppendResponse, Page, ReadQuery, Record, Vm, VmList, VmState};
pub use stream_read::StreamRead;
