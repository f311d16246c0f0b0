//! HTTP between processes: connections, a small client, a small server loop, and
//! the question what a process knows of the fleet.

#![forbid(unsafe_code)]

mod client;
mod connection;
mod datagrams;
mod fleet_exchange;
mod gossip_exchange;
mod group_notice;
mod server;
mod signals;

pub use client::{Answer, HttpClient};
pub use connection::{Connection, ProbeResult, probe};
pub use datagrams::receive;
pub use fleet_exchange::{AskedFleet, KnownFleet, ask_fleet, asked_fleet};
pub use gossip_exchange::{Topic, publish, published};
pub use group_notice::{
    ASK_PERIOD, ASKED_FOR, GROUP_PORT_OFFSET, GroupMembersNotice, GroupMessage, GroupNotice,
    MembersFingerprint,
};
pub use server::{Handle, bind, serve};
pub use signals::wait_for_end;
