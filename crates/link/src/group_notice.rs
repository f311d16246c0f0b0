//! What processes beside engines tell entries of their groups.
//!
//! An entry asks the process beside each engine that it uses, again and again; of
//! those the one that balances the group tells the state of the group. So nobody
//! has to know all entries, and an entry hears of the groups that it uses.
//!
//! Who the ranks are is told to those only that don't know it: 192 ranks are 1.5 kB,
//! which told to 35 entries four times a second take 30 in 100 of a link of 6 Mbit/s, by
//! arithmetic.

use std::{net::SocketAddr, time::Duration};

use lynxmount_core::{Result, Step, experts::GroupState, invalid};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, serde_as};
use xxhash_rust::xxh3::xxh3_64;

/// How far the port of this exchange is from the first of the internal ports.
pub const GROUP_PORT_OFFSET: u16 = 2;

/// How often an entry asks to be told. An asking takes up to 11 bytes.
pub const SUBSCRIBE_INTERVAL: Duration = Duration::from_secs(2);

/// For how long it is told then: one asking may be lost.
pub const SUBSCRIPTION_TTL: Duration = Duration::from_secs(5);

/// A hash of a group's name and the addresses of its engines.
pub type MembersFingerprint = u64;

/// A datagram of this exchange.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum GroupMessage {
    /// An entry asks to be told of the receiver's group.
    Subscribe {
        /// Which members of that group it knows; 0 for none.
        members: MembersFingerprint,
    },
    /// The ranks of the sender's group, for an entry that knows others.
    Members(GroupMembersNotice),
    /// The state of the sender's group.
    Notice(GroupNotice),
}

/// The state of a group.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupNotice {
    /// The group's name.
    pub group: String,
    /// What it does with calls.
    pub state: GroupState,
    /// The time between its passes lately; `None` while it is idle.
    #[serde_as(as = "Option<DurationMicroSeconds<u64>>")]
    pub pass_time: Option<Duration>,
}

/// The ranks of a group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupMembersNotice {
    /// The group's name.
    pub group: String,
    /// The engines of its ranks, as far as they are known.
    pub engines: Vec<SocketAddr>,
}

impl GroupMembersNotice {
    /// Tells these members from others, whatever their order.
    pub fn fingerprint(&self) -> MembersFingerprint {
        let hashes = self.engines.iter().map(|engine| xxh3_64(engine.to_string().as_bytes()));
        hashes.fold(xxh3_64(self.group.as_bytes()), u64::wrapping_add)
    }
}

impl GroupMessage {
    /// Writes a datagram.
    ///
    /// Fails if it can't be written.
    pub fn encode(&self) -> Result<Vec<u8>> {
        postcard::to_stdvec(self).map_err(|e| invalid(Step::ControlCall, "group notice", e))
    }

    /// Reads a datagram.
    ///
    /// Fails if it is none.
    pub fn decode(peer: SocketAddr, bytes: &[u8]) -> Result<GroupMessage> {
        postcard::from_bytes(bytes).map_err(|e| invalid(Step::ControlCall, peer, e))
    }
}
