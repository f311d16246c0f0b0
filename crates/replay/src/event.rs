//! The events that a trace may hold.

use std::time::Duration;

use lynxmount_config::ConfigRecord;
use lynxmount_core::Offset;
use lynxmount_group::{ChangeNumber, FencingToken, MapNumber, RankNumber, Step};
use lynxmount_policy::AttemptFailure;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_with::{DurationMilliSeconds, serde_as};

/// One line of a trace.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// What happened.
    pub event: Event,
    /// What must come of it; nothing is compared without it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expect: Option<Value>,
}

/// What happened, and to whom.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "kind")]
pub enum Event {
    /// An attempt at a request ended without an answer.
    AttemptEnded {
        /// The request.
        request: String,
        /// How it ended.
        end: AttemptFailure,
        /// Since the request's entry started.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        at_ms: Duration,
        /// Whether the service's retry budget has a retry left.
        has_budget: bool,
    },
    /// An entry reads a claim in the log.
    ClaimRead {
        /// The entry.
        entry: String,
        /// The claim's offset.
        offset: Offset,
        /// The key.
        key: String,
        /// The request that came with it.
        request: String,
        /// The endpoint and its life, such as `claims-1/1`.
        life: String,
        /// The claim that it replaces.
        replaces: Option<Offset>,
    },
    /// A process reads a record of the configuration stream.
    ConfigRead {
        /// The process.
        process: String,
        /// The record's offset.
        offset: Offset,
        /// The record.
        record: Box<ConfigRecord>,
    },
    /// A process takes over the head of another one.
    ConfigFromPeer {
        /// The process.
        process: String,
        /// The other one.
        peer: String,
    },
    /// An attempt with a key arrives at a life of an endpoint.
    Dispatched {
        /// The life that it arrives at.
        life: String,
        /// The key.
        key: String,
        /// The request that came with it.
        request: String,
        /// The life that the claim names.
        bound_to: String,
        /// Time of day of the claim.
        claimed_at_ms: u64,
        /// Time of day of the arrival.
        at_ms: u64,
        /// Whether something keeps the endpoint from starting it.
        #[serde(default)]
        is_obstructed: bool,
    },
    /// A gate beside a rank starts, with what its engine tells.
    GateStarted {
        /// The rank.
        rank: RankNumber,
        /// Ranks of the group.
        ranks: usize,
        /// The step that the rank is in.
        step: Step,
        /// How far the log reaches.
        log_end: ChangeNumber,
    },
    /// A gate's engine answers an order to hold.
    HoldAnswered {
        /// The rank.
        rank: RankNumber,
        /// The change.
        change: ChangeNumber,
        /// Whether the engine holds.
        holds: bool,
    },
    /// A balancer orders a rank to arm.
    OrderedToArm {
        /// The rank.
        rank: RankNumber,
        /// The balancer's lease.
        fence: FencingToken,
        /// The change.
        change: ChangeNumber,
        /// The map.
        map: MapNumber,
        /// The first step with the map.
        at: Step,
        /// The step that the rank is in.
        step: Step,
    },
    /// A gate is asked by another rank's.
    Asked {
        /// The rank.
        rank: RankNumber,
        /// The rank that asks.
        by: RankNumber,
        /// The change.
        change: ChangeNumber,
    },
    /// A gate gets another rank's answer.
    Voted {
        /// The rank.
        rank: RankNumber,
        /// The rank that answers.
        from: RankNumber,
        /// The change.
        change: ChangeNumber,
        /// The answer.
        has_armed: bool,
    },
    /// An entry asks what to do next with a key.
    KeyWanted {
        /// The entry.
        entry: String,
        /// The key.
        key: String,
        /// The request that came with it.
        request: String,
        /// The claim that was refused for ever.
        revoked: Option<Offset>,
        /// The life that answers at the claim's endpoint.
        live: Option<String>,
    },
    /// A request begins at an entry.
    RequestBegan {
        /// The request.
        request: String,
        /// Attempts that it may have.
        max_attempts: u32,
        /// Until when it may wait for a place.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        wait_until_ms: Duration,
        /// When it must be answered.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        deadline_ms: Duration,
        /// Whether it may run more than once.
        is_idempotent: bool,
    },
}
