//! Format of a trace's lines.

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
    /// Event to apply.
    pub event: Event,
    /// Expected result; not compared if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expect: Option<Value>,
}

/// An event. Processes, requests and keys are identified by their names in the trace.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "kind")]
pub enum Event {
    /// An attempt of a request failed.
    AttemptEnded {
        /// Name of the request.
        request: String,
        /// Cause of the failure.
        end: AttemptFailure,
        /// Time since the request's entry started.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        at_ms: Duration,
        /// Whether the service's retry budget allows a retry.
        has_budget: bool,
    },
    /// An entry reads a claim from the log.
    ClaimRead {
        /// Name of the entry.
        entry: String,
        /// Offset of the claim.
        offset: Offset,
        /// Name of the key.
        key: String,
        /// Name of the request with the key.
        request: String,
        /// Endpoint and its incarnation that the claim names, such as `claims-1/1`.
        life: String,
        /// Offset of the claim that it replaces.
        replaces: Option<Offset>,
    },
    /// A process reads a record from the configuration stream.
    ConfigRead {
        /// Name of the process.
        process: String,
        /// Offset of the record.
        offset: Offset,
        /// Record to apply.
        record: Box<ConfigRecord>,
    },
    /// A process receives the head of a peer.
    ConfigFromPeer {
        /// Name of the process.
        process: String,
        /// Name of the peer.
        peer: String,
    },
    /// A request with a key arrives at an endpoint's incarnation.
    Dispatched {
        /// Incarnation that it arrives at.
        life: String,
        /// Name of the key.
        key: String,
        /// Name of the request with the key.
        request: String,
        /// Incarnation that the claim names.
        bound_to: String,
        /// Wall time of the claim.
        claimed_at_ms: u64,
        /// Wall time of the arrival.
        at_ms: u64,
        /// Whether the endpoint can't start the request, for example because it is busy.
        #[serde(default)]
        is_obstructed: bool,
    },
    /// The commit participant of a rank starts, with the state of its engine.
    GateStarted {
        /// Number of the rank.
        rank: RankNumber,
        /// Number of ranks in the group.
        ranks: usize,
        /// Current step of the rank.
        step: Step,
        /// End of the log of changes.
        log_end: ChangeNumber,
    },
    /// The rank's engine responds to a request to hold.
    HoldAnswered {
        /// Number of the rank.
        rank: RankNumber,
        /// Number of the change.
        change: ChangeNumber,
        /// Whether the engine holds at the step of the change.
        holds: bool,
    },
    /// The commit coordinator requests a rank to arm a change.
    OrderedToArm {
        /// Number of the rank.
        rank: RankNumber,
        /// Fencing token of the coordinator's lease.
        fence: FencingToken,
        /// Number of the change.
        change: ChangeNumber,
        /// Number of the map.
        map: MapNumber,
        /// First step that uses the map.
        at: Step,
        /// Current step of the rank.
        step: Step,
    },
    /// The participant receives a query for its vote from another rank.
    Asked {
        /// Number of the rank.
        rank: RankNumber,
        /// Rank that queries.
        by: RankNumber,
        /// Number of the change.
        change: ChangeNumber,
    },
    /// The participant receives the vote of another rank.
    Voted {
        /// Number of the rank.
        rank: RankNumber,
        /// Rank that votes.
        from: RankNumber,
        /// Number of the change.
        change: ChangeNumber,
        /// Whether that rank has armed the change.
        has_armed: bool,
    },
    /// An entry decides about a request with a key.
    KeyWanted {
        /// Name of the entry.
        entry: String,
        /// Name of the key.
        key: String,
        /// Name of the request with the key.
        request: String,
        /// Offset of the claim that its endpoint has revoked.
        revoked: Option<Offset>,
        /// Incarnation that is reachable at the claim's endpoint.
        live: Option<String>,
    },
    /// A request arrives at an entry.
    RequestBegan {
        /// Name of the request.
        request: String,
        /// Maximum number of attempts.
        max_attempts: u32,
        /// Time until which it may wait for an endpoint.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        wait_until_ms: Duration,
        /// Deadline of the response.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        deadline_ms: Duration,
        /// Whether the request may run more than once.
        is_idempotent: bool,
    },
}
