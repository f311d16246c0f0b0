//! What endpoint processes tell each other, in datagrams.

use std::{fmt::Display, net::SocketAddr, sync::Arc};

use lynxmount_core::{
    Result, Step,
    experts::{Action, EngineOrder, EngineReport, GroupEpoch, GroupMap, MapVersion, OrderResult},
    invalid,
};
use lynxmount_group::{Announcement, GroupMembers, RankRequest, RankRow};
use miniz_oxide::{deflate::compress_to_vec, inflate::decompress_to_vec_with_limit};
use serde::{Deserialize, Serialize};

use crate::demand::GroupIncarnation;

/// The first byte of a datagram whose body is as it is.
const PLAIN: u8 = 0;

/// The first byte of a datagram whose body is compressed (deflate, RFC 1951).
const COMPRESSED: u8 = 1;

/// The size from which on a datagram is compressed: counts and maps, and no reports or
/// small orders, which would gain nothing.
const COMPRESS_FROM_BYTES: usize = 300;

/// The fastest level: at level 6 a map of 1,268 fetches is 4.9 kB and not 5.4.
const COMPRESSION_LEVEL: u8 = 1;

/// The largest body that is taken: far above a whole map of 500 ranks.
const MAX_PLAIN_BYTES: usize = 1 << 20;

/// Names an order and its answer.
pub type OrderId = u64;

/// The map in use, which other processes know, if they have prepared it.
pub type BaseMap<'a> = Option<(MapVersion, &'a GroupMap)>;

/// One datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Datagram {
    /// The rank of the sender's engine, told to a directory of its group.
    Announcement(Announcement),
    /// What has become of an order.
    Answer(AnswerMessage),
    /// What was chosen lately in one life of a group.
    Demand(DemandSample),
    /// A map that the receiver has asked for.
    Map(MapCopy),
    /// The sender lacks a map.
    MapRequest {
        /// The group's life.
        epoch: GroupEpoch,
        /// The map.
        version: MapVersion,
    },
    /// What the sender's engine holds of a map that the receiver has asked for.
    Row(RankRow),
    /// The sender asks what the receiver's engine holds of a map that nobody knows.
    RowRequest {
        /// The group's life.
        epoch: GroupEpoch,
        /// The map.
        version: MapVersion,
    },
    /// A directory's answer: the ranks of the receiver's group.
    Members(GroupMembers),
    /// An order to the engine beside the receiver.
    Order(OrderMessage),
    /// An order that goes through others.
    Relayed(RelayedOrder),
    /// The state of the sender's rank.
    Report(Box<RankState>),
}

/// An order to the engine beside the receiver and to those beside others, which is
/// answered to whoever gave it. Relays pass the bytes on as they came, so that
/// a map is written once for all receivers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RelayedOrder {
    /// A datagram with the order.
    pub order: Arc<[u8]>,
    /// Who has given the order.
    pub answer_to: SocketAddr,
    /// The processes that the receiver passes it on to.
    pub to: Vec<SocketAddr>,
}

/// How often each expert was chosen by one rank's requests since its last sample, one
/// set after the other. Differences rounded to 255 steps take a byte each where counts
/// since the start take three, and one that is lost is only a smaller sample.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DemandSample {
    /// The group's name and life.
    pub incarnation: GroupIncarnation,
    /// How many choices one step of the counts stands for.
    pub unit: u64,
    /// The counts, in units.
    pub units: Vec<u8>,
}

impl DemandSample {
    /// Makes a sample of counts.
    pub fn new(incarnation: GroupIncarnation, counts: &[u64]) -> DemandSample {
        let most = counts.iter().copied().max().unwrap_or_default();
        let unit = most.div_ceil(u64::from(u8::MAX)).max(1);
        let in_units = |count: &u64| ((count + unit / 2) / unit).min(u64::from(u8::MAX)) as u8;
        DemandSample { incarnation, unit, units: counts.iter().map(in_units).collect() }
    }

    /// The counts, up to rounding.
    pub fn counts(&self) -> Vec<u64> {
        self.units.iter().map(|units| u64::from(*units) * self.unit).collect()
    }
}

/// A map, for a process that lacks it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MapCopy {
    /// The group's life.
    pub epoch: GroupEpoch,
    /// The map's number.
    pub version: MapVersion,
    /// The map.
    pub map: Arc<GroupMap>,
}

/// The state of one rank.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RankState {
    /// The engine's address, which names the rank's process.
    pub engine: SocketAddr,
    /// What the engine reports.
    pub report: EngineReport,
}

/// An order to an engine. Whoever gets it twice gives it twice, which changes
/// nothing.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OrderMessage {
    /// Names the order.
    pub id: OrderId,
    /// The group's life.
    pub epoch: GroupEpoch,
    /// What to do.
    pub action: ActionMessage,
}

/// What an engine is asked to do.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ActionMessage {
    /// Fetch the experts that a map needs.
    Prepare {
        /// The number that the map gets.
        version: MapVersion,
        /// The map.
        map: MapMessage,
    },
    /// An action without a map.
    WithoutMap(Action),
    /// Report the state, and change nothing.
    Report,
}

/// A map, as a whole or by what differs: a whole one of 192 ranks takes up to 16 kB
/// (`tests/link_budget.rs`), one by what differs a third of that after a large change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MapMessage {
    /// Rows that differ from another map.
    Delta {
        /// The other map.
        base: MapVersion,
        /// The rows.
        rows: Vec<MapRow>,
    },
    /// All experts of each set and rank.
    Full(GroupMap),
}

/// The experts of one rank in one set that differ.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MapRow {
    /// Rows since the one before that are the same, in the order of sets and ranks.
    pub skipped: usize,
    /// The experts.
    pub experts: Vec<usize>,
}

/// What has become of an order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AnswerMessage {
    /// Names the order.
    pub id: OrderId,
    /// What has become of it.
    pub outcome: OrderOutcome,
}

/// What has become of an order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum OrderOutcome {
    /// The engine was given it.
    Delivered(Box<OrderAnswer>),
    /// The process does not know the map that the order builds on.
    MapUnknown,
    /// The engine can't be read.
    Unreachable,
}

/// An engine's answer to an order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OrderAnswer {
    /// The engine's answer; `None` if it gave none in time.
    pub result: Option<OrderResult>,
    /// How often it was given until there was an answer.
    pub tries: u32,
    /// The engine's state after that.
    pub report: EngineReport,
}

impl Datagram {
    /// Writes a datagram; a long one is compressed.
    ///
    /// Fails if it can't be written.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let mut plain = vec![PLAIN];
        plain =
            postcard::to_extend(self, plain).map_err(|e| invalid(Step::Order, "datagram", e))?;
        let is_compressed_inside = matches!(self, Datagram::Relayed(_));
        if plain.len() < COMPRESS_FROM_BYTES || is_compressed_inside {
            return Ok(plain);
        }
        let mut compressed = vec![COMPRESSED];
        compressed.extend(compress_to_vec(&plain[1..], COMPRESSION_LEVEL));
        Ok(compressed)
    }

    /// Reads a datagram.
    ///
    /// Fails if it is none.
    pub fn decode(peer: SocketAddr, bytes: &[u8]) -> Result<Datagram> {
        let unreadable = |error: &dyn Display| invalid(Step::Order, peer, error);
        let parse = |bytes: &[u8]| postcard::from_bytes(bytes).map_err(|e| unreadable(&e));
        match bytes.split_first() {
            Some((&PLAIN, body)) => parse(body),
            Some((&COMPRESSED, body)) => {
                let plain = decompress_to_vec_with_limit(body, MAX_PLAIN_BYTES)
                    .map_err(|e| unreadable(&e))?;
                parse(&plain)
            }
            _ => Err(unreadable(&"it is of no known form")),
        }
    }
}

impl OrderMessage {
    /// Makes a message of an order; a map goes by what differs from a map that
    /// the receiver is expected to know.
    pub fn new(id: OrderId, order: &EngineOrder, base: BaseMap<'_>) -> OrderMessage {
        let action = match &order.action {
            Action::Prepare { version, map } => {
                ActionMessage::Prepare { version: *version, map: MapMessage::new(map, base) }
            }
            small => ActionMessage::WithoutMap(small.clone()),
        };
        OrderMessage { id, epoch: order.epoch, action }
    }

    /// Makes a message of a request.
    pub(crate) fn from_request(
        id: OrderId,
        request: &RankRequest,
        base: BaseMap<'_>,
    ) -> OrderMessage {
        match request {
            RankRequest::Order(order) => OrderMessage::new(id, order, base),
            RankRequest::Report { epoch } => {
                OrderMessage { id, epoch: *epoch, action: ActionMessage::Report }
            }
        }
    }

    /// The request; `None` if it builds on a map that is not known.
    pub fn into_request(
        self,
        known: impl FnOnce(MapVersion) -> Option<Arc<GroupMap>>,
    ) -> Option<RankRequest> {
        let epoch = self.epoch;
        let action = match self.action {
            ActionMessage::Prepare { version, map } => {
                Action::Prepare { version, map: map.map(known)? }
            }
            ActionMessage::WithoutMap(action) => action,
            ActionMessage::Report => return Some(RankRequest::Report { epoch }),
        };
        Some(RankRequest::Order(EngineOrder { epoch, action }))
    }
}

impl MapMessage {
    fn new(map: &GroupMap, base: BaseMap<'_>) -> MapMessage {
        let Some((base, from)) = base else { return MapMessage::Full(map.clone()) };
        let pairs = map.iter().flatten().zip(from.iter().flatten()).enumerate();
        let changed = pairs.filter(|(_, (new, old))| new != old);
        let mut next = 0;
        let rows = changed.map(|(index, (experts, _))| {
            let skipped = index - next;
            next = index + 1;
            MapRow { skipped, experts: experts.clone() }
        });
        MapMessage::Delta { base, rows: rows.collect() }
    }

    fn map(self, known: impl FnOnce(MapVersion) -> Option<Arc<GroupMap>>) -> Option<Arc<GroupMap>> {
        match self {
            MapMessage::Full(map) => Some(Arc::new(map)),
            MapMessage::Delta { base, rows } => {
                let mut map = GroupMap::clone(&*known(base)?);
                let mut places = map.iter_mut().flatten();
                for MapRow { skipped, experts } in rows {
                    *places.nth(skipped)? = experts;
                }
                Some(Arc::new(map))
            }
        }
    }
}
