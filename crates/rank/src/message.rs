//! What endpoint processes tell each other, in datagrams.

use std::{net::SocketAddr, sync::Arc};

use lynxmount_core::{
    Result, Step,
    experts::{
        Action, Counts, EngineOrder, EngineReport, GroupEpoch, GroupMap, GroupStep, MapVersion,
        OrderResult, RankMap,
    },
    invalid,
};
use lynxmount_group::{Announcement, GroupMembers};
use serde::{Deserialize, Serialize};

/// Names an order and its answer.
pub(crate) type OrderId = u64;

/// One datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Datagram {
    /// The rank of the sender's engine, told to a directory of its group.
    Announcement(Announcement),
    /// What has become of an order.
    Answer(AnswerMessage),
    /// A directory's answer: the ranks of the receiver's group.
    Members(GroupMembers),
    /// An order to the engine beside the receiver.
    Order(OrderMessage),
    /// The state of the sender's rank.
    Report(Box<RankState>),
}

/// The state of one rank.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct RankState {
    /// The engine's address, which names the rank's process.
    pub(crate) engine: SocketAddr,
    /// What the engine reports.
    pub(crate) report: EngineReport,
    /// The experts that the rank holds.
    pub(crate) held: RankMap,
    /// Counts since the engine's start, from some of the ranks.
    pub(crate) counts: Option<Counts>,
}

/// An order to an engine. Whoever gets it twice gives it twice, which changes
/// nothing.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct OrderMessage {
    pub(crate) id: OrderId,
    /// The group's life.
    pub(crate) epoch: GroupEpoch,
    pub(crate) action: ActionMessage,
}

/// What an engine is asked to do; see [`Action`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum ActionMessage {
    Arm { version: MapVersion, step: GroupStep },
    Disarm { version: MapVersion },
    Go { step: GroupStep },
    Hold { step: GroupStep },
    Prepare { version: MapVersion, map: MapMessage },
}

/// A map, as a whole or by what differs: a whole one of 72 ranks takes 4 kB, and
/// 72 of them half a second of a small machine's link.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum MapMessage {
    /// Rows that differ from another map.
    Changed { base: MapVersion, rows: Vec<MapRow> },
    /// All experts of each set and rank.
    Full(GroupMap),
}

/// The experts of one rank in one set.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct MapRow {
    pub(crate) set: usize,
    pub(crate) rank: usize,
    pub(crate) experts: Vec<usize>,
}

/// What has become of an order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct AnswerMessage {
    pub(crate) id: OrderId,
    pub(crate) outcome: OrderOutcome,
}

/// What has become of an order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum OrderOutcome {
    /// The engine was given it.
    Given(Box<OrderAnswer>),
    /// The process does not know the map that the order builds on.
    MapUnknown,
    /// The engine can't be read.
    Unreachable,
}

/// An engine's answer to an order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct OrderAnswer {
    /// The engine's answer; `None` if it gave none in time.
    pub(crate) result: Option<OrderResult>,
    /// How often it was given until there was an answer.
    pub(crate) tries: u32,
    /// The engine's state after that.
    pub(crate) report: EngineReport,
}

impl Datagram {
    pub(crate) fn encode(&self) -> Result<Vec<u8>> {
        postcard::to_stdvec(self).map_err(|e| invalid(Step::Order, "datagram", e))
    }

    pub(crate) fn decode(peer: SocketAddr, bytes: &[u8]) -> Result<Datagram> {
        postcard::from_bytes(bytes).map_err(|e| invalid(Step::Order, peer, e))
    }
}

impl OrderMessage {
    /// Makes a message of an order; a map goes by what differs from a map that
    /// the receiver is expected to know.
    pub(crate) fn new(
        id: OrderId,
        order: &EngineOrder,
        base: Option<(MapVersion, &GroupMap)>,
    ) -> OrderMessage {
        let action = match &order.action {
            Action::Arm { version, step } => ActionMessage::Arm { version: *version, step: *step },
            Action::Disarm { version } => ActionMessage::Disarm { version: *version },
            Action::Go { step } => ActionMessage::Go { step: *step },
            Action::Hold { step } => ActionMessage::Hold { step: *step },
            Action::Prepare { version, map } => {
                ActionMessage::Prepare { version: *version, map: MapMessage::new(map, base) }
            }
        };
        OrderMessage { id, epoch: order.epoch, action }
    }

    /// The order; `None` if it builds on a map that is not known.
    pub(crate) fn order(
        self,
        known: impl FnOnce(MapVersion) -> Option<GroupMap>,
    ) -> Option<EngineOrder> {
        let action = match self.action {
            ActionMessage::Arm { version, step } => Action::Arm { version, step },
            ActionMessage::Disarm { version } => Action::Disarm { version },
            ActionMessage::Go { step } => Action::Go { step },
            ActionMessage::Hold { step } => Action::Hold { step },
            ActionMessage::Prepare { version, map } => {
                Action::Prepare { version, map: Arc::new(map.map(known)?) }
            }
        };
        Some(EngineOrder { epoch: self.epoch, action })
    }
}

impl MapMessage {
    fn new(map: &GroupMap, base: Option<(MapVersion, &GroupMap)>) -> MapMessage {
        let Some((base, from)) = base else { return MapMessage::Full(map.clone()) };
        let mut rows = Vec::new();
        for (set, (new, old)) in map.iter().zip(from).enumerate() {
            let pairs = new.iter().zip(old).enumerate();
            rows.extend(
                pairs.filter(|(_, (new, old))| new != old).map(|(rank, (experts, _))| MapRow {
                    set,
                    rank,
                    experts: experts.clone(),
                }),
            );
        }
        MapMessage::Changed { base, rows }
    }

    fn map(self, known: impl FnOnce(MapVersion) -> Option<GroupMap>) -> Option<GroupMap> {
        match self {
            MapMessage::Full(map) => Some(map),
            MapMessage::Changed { base, rows } => {
                let mut map = known(base)?;
                for MapRow { set, rank, experts } in rows {
                    *map.get_mut(set)?.get_mut(rank)? = experts;
                }
                Some(map)
            }
        }
    }
}
