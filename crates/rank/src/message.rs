//! The datagrams that endpoint processes exchange, encoded by postcard.

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

/// The first byte of a datagram with a plain body.
const PLAIN_TAG: u8 = 0;

/// The first byte of a datagram with a compressed body (deflate, RFC 1951).
const COMPRESSED_TAG: u8 = 1;

/// The least size of a datagram that is compressed. It excludes reports and small orders, which
/// compression hardly shrinks, and includes demand samples and maps.
const MIN_COMPRESSED_BYTES: usize = 300;

/// The fastest level: at level 6 a map of 1,268 fetches takes 4.9 kB instead of 5.4.
const COMPRESSION_LEVEL: u8 = 1;

/// The largest decompressed body that is accepted: far above a full map of 500 ranks.
const MAX_PLAIN_BYTES: usize = 1 << 20;

/// Matches an answer to its order.
pub type OrderId = u64;

/// The base of a delta-encoded map: the map in use, which a receiver has if it has prepared it.
pub type BaseMap<'a> = Option<(MapVersion, &'a GroupMap)>;

/// A datagram. The order of the variants is the wire format.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Datagram {
    /// The rank of the sender's engine, for the directories of its group.
    Announcement(Announcement),
    /// The outcome of an order.
    Answer(AnswerMessage),
    /// How often the experts were selected at the sender's rank since its last sample.
    Demand(DemandSample),
    /// The answer to a [`Datagram::MapRequest`].
    Map(MapCopy),
    /// Requests a map that the sender lacks.
    #[serde(rename = "MapAsked")]
    MapRequest {
        /// The group's epoch.
        epoch: GroupEpoch,
        /// The map's version.
        version: MapVersion,
    },
    /// The answer to a [`Datagram::RowRequest`].
    Row(RankRow),
    /// Requests the experts that the receiver's engine holds, to rebuild a map that no process
    /// has.
    #[serde(rename = "RowAsked")]
    RowRequest {
        /// The group's epoch.
        epoch: GroupEpoch,
        /// The map's version.
        version: MapVersion,
    },
    /// A directory's answer to an announcement: the members of the receiver's group.
    Members(GroupMembers),
    /// An order to the receiver's engine.
    Order(OrderMessage),
    /// An order to the receiver's engine and to those of other processes.
    Relayed(RelayedOrder),
    /// The state of the sender's rank.
    Report(Box<RankState>),
    /// An order that the receiver sends to the engine of another process.
    Delegated(DelegatedOrder),
}

/// An order to an engine beside another process than the receiver.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DelegatedOrder {
    /// The engine.
    pub engine: SocketAddr,
    /// The order.
    pub order: OrderMessage,
}

/// An order to the receiver's engine that the receiver also forwards to other processes. Each of
/// them answers the leader. Relays forward the bytes unchanged, so a map is encoded once
/// for all receivers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RelayedOrder {
    /// An encoded [`Datagram::Order`].
    pub order: Arc<[u8]>,
    /// The process that sent the order, and gets the answer.
    pub answer_to: SocketAddr,
    /// The processes that the receiver forwards the order to.
    #[serde(rename = "to")]
    pub forward_to: Vec<SocketAddr>,
}

/// How often each expert was selected by one rank's requests since its last sample, one set
/// after the other, quantized to 255 levels. That takes a byte per expert, where cumulative
/// counts take three, and a lost datagram only makes the sample smaller.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DemandSample {
    /// The group and its epoch.
    #[serde(rename = "life")]
    pub incarnation: GroupIncarnation,
    /// How many selections one level stands for.
    pub unit: u64,
    /// The counts, in multiples of `unit`.
    pub units: Vec<u8>,
}

impl DemandSample {
    /// Quantizes counts.
    pub fn new(incarnation: GroupIncarnation, counts: &[u64]) -> DemandSample {
        let most = counts.iter().copied().max().unwrap_or_default();
        let unit = most.div_ceil(u64::from(u8::MAX)).max(1);
        let in_units = |count: &u64| ((count + unit / 2) / unit).min(u64::from(u8::MAX)) as u8;
        DemandSample { incarnation, unit, units: counts.iter().map(in_units).collect() }
    }

    /// The counts, up to rounding errors.
    pub fn counts(&self) -> Vec<u64> {
        self.units.iter().map(|units| u64::from(*units) * self.unit).collect()
    }
}

/// A full map, for a process that lacks it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MapCopy {
    /// The group's epoch.
    pub epoch: GroupEpoch,
    /// The map's version.
    pub version: MapVersion,
    /// The map.
    pub map: Arc<GroupMap>,
}

/// The state of one rank.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RankState {
    /// The engine's address, which identifies its process too.
    pub engine: SocketAddr,
    /// The engine's report.
    pub report: EngineReport,
}

/// An order to an engine. Orders are idempotent: one that arrives twice is sent to the
/// engine twice, without further effect.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OrderMessage {
    /// The order's number.
    pub id: OrderId,
    /// The group's epoch.
    pub epoch: GroupEpoch,
    /// The action to take.
    pub action: ActionMessage,
}

/// The action of an order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ActionMessage {
    /// Fetch the experts that a map needs.
    Prepare {
        /// The map's version.
        version: MapVersion,
        /// The map.
        map: MapMessage,
    },
    /// Any other action.
    #[serde(rename = "Small")]
    WithoutMap(Action),
    /// Report the state without changing it.
    Report,
}

/// A map, in full or as a delta. A full one of 192 ranks takes up to 16 kB
/// (`tests/link_budget.rs`), the delta of a large change a third of that.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MapMessage {
    /// The rows that differ from a base map.
    #[serde(rename = "Changed")]
    Delta {
        /// The version of the base map.
        base: MapVersion,
        /// The rows, in the order of sets and ranks.
        rows: Vec<MapRow>,
    },
    /// All experts of each set and rank.
    Full(GroupMap),
}

/// A changed row: the experts of one rank in one set.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MapRow {
    /// The number of unchanged rows since the last changed one.
    pub skipped: usize,
    /// The experts.
    pub experts: Vec<usize>,
}

/// The answer to an order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AnswerMessage {
    /// The order's number.
    pub id: OrderId,
    /// The order's outcome.
    pub outcome: OrderOutcome,
}

/// The outcome of an order at the receiving process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum OrderOutcome {
    /// The order was sent to the engine, and the engine's state was read after that.
    #[serde(rename = "Given")]
    Delivered(Box<OrderAnswer>),
    /// The process lacks the base of the order's map.
    MapUnknown,
    /// The engine's state can't be read.
    Unreachable,
    /// The order was sent to the engine of another process.
    Sent(SentOrder),
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct SentOrder {
    /// The engine's answer; `None` if none came in time.
    pub result: Option<OrderResult>,
    /// How often the order was sent to the engine.
    pub tries: u32,
}

/// An engine's answer to an order, and its state after it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OrderAnswer {
    /// The engine's answer; `None` if none came in time.
    pub result: Option<OrderResult>,
    /// How often the order was sent to the engine.
    pub tries: u32,
    /// The engine's state.
    pub report: EngineReport,
}

impl Datagram {
    /// Encodes a datagram, and compresses a long one.
    ///
    /// Fails if the datagram can't be serialized.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let mut plain = vec![PLAIN_TAG];
        plain = postcard::to_extend(self, plain)
            .map_err(|e| invalid(Step::ControlCall, "datagram", e))?;
        let is_already_compressed = matches!(self, Datagram::Relayed(_));
        if plain.len() < MIN_COMPRESSED_BYTES || is_already_compressed {
            return Ok(plain);
        }
        let mut compressed = vec![COMPRESSED_TAG];
        compressed.extend(compress_to_vec(&plain[1..], COMPRESSION_LEVEL));
        Ok(compressed)
    }

    /// Decodes a datagram.
    ///
    /// Fails if the tag is unknown, the body is malformed, or it is larger than 1 MiB.
    pub fn decode(peer: SocketAddr, bytes: &[u8]) -> Result<Datagram> {
        let malformed = |error: &dyn Display| invalid(Step::ControlCall, peer, error);
        let parse = |bytes: &[u8]| postcard::from_bytes(bytes).map_err(|e| malformed(&e));
        match bytes.split_first() {
            Some((&PLAIN_TAG, body)) => parse(body),
            Some((&COMPRESSED_TAG, body)) => {
                let plain = decompress_to_vec_with_limit(body, MAX_PLAIN_BYTES)
                    .map_err(|e| malformed(&e))?;
                parse(&plain)
            }
            _ => Err(malformed(&"empty datagram or unknown tag")),
        }
    }
}

impl OrderMessage {
    /// Makes the message of an order. Its map is encoded as a delta if a base is given, which the
    /// receiver is expected to have.
    pub fn new(id: OrderId, order: &EngineOrder, base: BaseMap<'_>) -> OrderMessage {
        let action = match &order.action {
            Action::Prepare { version, map } => {
                ActionMessage::Prepare { version: *version, map: MapMessage::encode(map, base) }
            }
            other => ActionMessage::WithoutMap(other.clone()),
        };
        OrderMessage { id, epoch: order.epoch, action }
    }

    /// Makes the message of a request.
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

    /// Decodes the request; `None` if `lookup` does not find the base of its map.
    pub fn into_request(
        self,
        lookup: impl FnOnce(MapVersion) -> Option<Arc<GroupMap>>,
    ) -> Option<RankRequest> {
        let epoch = self.epoch;
        let action = match self.action {
            ActionMessage::Prepare { version, map } => {
                Action::Prepare { version, map: map.decode(lookup)? }
            }
            ActionMessage::WithoutMap(action) => action,
            ActionMessage::Report => return Some(RankRequest::Report { epoch }),
        };
        Some(RankRequest::Order(EngineOrder { epoch, action }))
    }
}

impl MapMessage {
    fn encode(map: &GroupMap, base: BaseMap<'_>) -> MapMessage {
        let Some((base, base_map)) = base else { return MapMessage::Full(map.clone()) };
        let pairs = map.iter().flatten().zip(base_map.iter().flatten()).enumerate();
        let changed = pairs.filter(|(_, (new, old))| new != old);
        let mut next = 0;
        let rows = changed.map(|(index, (experts, _))| {
            let skipped = index - next;
            next = index + 1;
            MapRow { skipped, experts: experts.clone() }
        });
        MapMessage::Delta { base, rows: rows.collect() }
    }

    fn decode(
        self,
        lookup: impl FnOnce(MapVersion) -> Option<Arc<GroupMap>>,
    ) -> Option<Arc<GroupMap>> {
        match self {
            MapMessage::Full(map) => Some(Arc::new(map)),
            MapMessage::Delta { base, rows } => {
                let mut map = GroupMap::clone(&*lookup(base)?);
                let mut map_rows = map.iter_mut().flatten();
                for MapRow { skipped, experts } in rows {
                    *map_rows.nth(skipped)? = experts;
                }
                Some(Arc::new(map))
            }
        }
    }
}
