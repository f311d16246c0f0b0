//! Publish-subscribe of group state from endpoint processes to entries, over UDP.
//!
//! An entry renews its subscription at the process beside each engine that it uses; the
//! process that is the group's leader sends the state of the group. So no process has to
//! know all entries, and an entry is notified only of the groups that it uses.
//!
//! The members are sent only to subscribers that have others: 192 ranks take 1.5 kB, which
//! for 35 entries four times a second would be 30% of a 6 Mbit/s link, by calculation.

use std::{net::SocketAddr, time::Duration};

use lynxmount_core::{Result, Step, experts::GroupState, invalid};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, serde_as};
use xxhash_rust::xxh3::xxh3_64;

/// Offset of the UDP port for group notices from the first internal port.
pub const GROUP_PORT_OFFSET: u16 = 2;

/// Interval at which an entry renews its subscriptions. The datagram takes up to 11 bytes.
pub const SUBSCRIBE_INTERVAL: Duration = Duration::from_secs(2);

/// Lifetime of a subscription; long enough that one renewal may be lost.
pub const SUBSCRIPTION_TTL: Duration = Duration::from_secs(5);

/// Hash of a group's name and the addresses of its engines; 0 stands for unknown members.
pub type MembersFingerprint = u64;

/// A datagram between entries and endpoint processes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum GroupMessage {
    /// Subscribes the sending entry to the state of the receiver's group.
    #[serde(rename = "Ask")]
    Subscribe {
        /// The fingerprint of the members that the entry has; 0 for none.
        members: MembersFingerprint,
    },
    /// The ranks of the sender's group, for an entry whose fingerprint differs.
    Members(GroupMembersNotice),
    /// The state of the sender's group.
    Notice(GroupNotice),
    /// The slow ranks of the sender's group.
    SlowRanks(SlowRanksNotice),
}

/// The state of a group.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupNotice {
    /// The group's name.
    pub group: String,
    /// Whether it accepts calls and makes progress.
    pub state: GroupState,
    /// The recent time between forward passes; `None` while the group is idle.
    #[serde_as(as = "Option<DurationMicroSeconds<u64>>")]
    #[serde(rename = "pass")]
    pub pass_time: Option<Duration>,
}

/// The ranks of a group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupMembersNotice {
    /// The group's name.
    pub group: String,
    /// The addresses of its ranks' engines, as far as they are known.
    pub engines: Vec<SocketAddr>,
}

/// The ranks of a group that are slower than usual.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlowRanksNotice {
    /// The group's name.
    pub group: String,
    /// The addresses of the engines.
    pub engines: Vec<SocketAddr>,
}

impl GroupMembersNotice {
    /// Computes the fingerprint, which does not depend on the order of the engines.
    pub fn fingerprint(&self) -> MembersFingerprint {
        let hashes = self.engines.iter().map(|engine| xxh3_64(engine.to_string().as_bytes()));
        hashes.fold(xxh3_64(self.group.as_bytes()), u64::wrapping_add)
    }
}

impl GroupMessage {
    /// Encodes a datagram.
    ///
    /// Fails if serialization fails.
    pub fn encode(&self) -> Result<Vec<u8>> {
        postcard::to_stdvec(self).map_err(|e| invalid(Step::ControlCall, "group notice", e))
    }

    /// Decodes a datagram.
    ///
    /// Fails if the bytes are not a valid datagram.
    pub fn decode(peer: SocketAddr, bytes: &[u8]) -> Result<GroupMessage> {
        postcard::from_bytes(bytes).map_err(|e| invalid(Step::ControlCall, peer, e))
    }
}
