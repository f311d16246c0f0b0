//! Client of the platform's log and VM list.
//!
//! The platform publishes a small HTTP interface: append-only streams of JSON
//! records with offsets and limited retention, and a list of VMs that lags.

#![forbid(unsafe_code)]

mod client;
mod interface;

pub use client::PlatformClient;
pub use interface::{AppendRequest, AppendResponse, Page, ReadQuery, Record, Vm, VmList, VmState};
