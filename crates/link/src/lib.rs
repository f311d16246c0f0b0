//! Communication between the system's processes: HTTP connections, client and server,
//! gossip, fleet queries and group notices.

#![forbid(unsafe_code)]

mod client;
mod connection;
mod datagrams;
mod fleet_query;
mod framing_limit;
mod gossip;
mod group_notice;
mod server;
mod signals;

pub use client::{BufferedResponse, HttpClient};
pub use connection::{Connection, ProbeResult, probe};
pub use datagrams::receive_datagrams;
pub use fleet_query::{FleetQuery, FleetSnapshot, parse_fleet_query, query_fleet};
pub use framing_limit::ResponseBody;
pub use gossip::{GossipTopic, publish, read_published};
pub use group_notice::{
    GROUP_PORT_OFFSET, GroupMembersNotice, GroupMessage, GroupNotice, MembersFingerprint,
    SUBSCRIBE_INTERVAL, SUBSCRIPTION_TTL, SlowRanksNotice,
};
pub use server::{RequestHandler, bind, serve};
pub use signals::TerminationSignals;
