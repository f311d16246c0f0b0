//! State reports of and orders to the engines of a lock-step expert-parallel group.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Number of a step, which is one forward pass of all ranks of a group. All ranks count alike.
pub type GroupStep = u64;
/// Version of an expert map; increases with every planned map.
pub type MapVersion = u64;
/// Epoch of a group: a group that re-forms after losing a rank has a new one.
pub type GroupEpoch = u64;
/// Expert placement: the experts of each set and rank.
pub type GroupMap = Vec<Vec<Vec<usize>>>;

/// Whether a group accepts calls and makes progress.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum GroupState {
    /// It has calls but completes no pass, or its next pass is held.
    Blocked,
    /// It refuses calls, as it has lost a rank or is re-forming.
    Down,
    /// It accepts calls.
    Serving,
}

/// An engine's place in its group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupMembership {
    /// The group's name.
    pub group: String,
    /// The group's epoch.
    pub epoch: GroupEpoch,
    /// The engine's rank, starting with 0.
    pub rank: usize,
    /// Number of ranks in the group.
    pub ranks: usize,
    /// Whether the group accepts calls.
    pub is_open: bool,
}

/// The state of one rank, as its engine reports it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineReport {
    /// The rank's group; `None` if the engine belongs to none.
    pub membership: Option<GroupMembership>,
    /// The step that was started last.
    pub step: GroupStep,
    /// The map in use; 0 is the initial map of an epoch.
    pub map: MapVersion,
    /// The prepared map: all its experts are loaded.
    pub prepared: Option<MapVersion>,
    /// The map that the rank will switch to, and the step at which it does.
    pub armed: Option<(MapVersion, GroupStep)>,
    /// The step that the group must not start until it is released.
    pub held: Option<GroupStep>,
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Slowdown of the engine as a factor; 1 is its usual speed.
    pub pace: f64,
}

/// How often each expert of a rank was selected since the rank's start.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ExpertCounts {
    /// The last step that is counted.
    pub step: GroupStep,
    /// The group's epoch.
    pub epoch: GroupEpoch,
    /// The counts by expert, with the sets concatenated.
    pub by_set_and_expert: Vec<u64>,
}

/// The experts that a rank holds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RankMap {
    /// The version of the map in use.
    pub version: MapVersion,
    /// The rank's experts of each set.
    pub experts: Vec<Vec<usize>>,
}

/// An operation that an engine is ordered to do.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Action {
    /// Switch to a prepared map at the start of a step.
    Arm {
        /// The map.
        version: MapVersion,
        /// The step.
        step: GroupStep,
    },
    /// Cancel an armed switch.
    Disarm {
        /// The armed map.
        version: MapVersion,
    },
    /// Release a hold, so that the group can start the step.
    Go {
        /// The step.
        step: GroupStep,
    },
    /// Keep the group from starting a step until it is released by [`Action::Go`].
    Hold {
        /// The step.
        step: GroupStep,
    },
    /// Load the experts that a map needs.
    Prepare {
        /// The version of the map.
        version: MapVersion,
        /// The experts of each set and rank.
        map: Arc<GroupMap>,
    },
}

/// An order to an engine. It takes effect only in the given epoch of the group, and
/// one without a response may still take effect seconds later.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineOrder {
    /// The group's epoch.
    pub epoch: GroupEpoch,
    /// The operation.
    pub action: Action,
}

/// An engine's response to an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderResult {
    /// The operation has started, or was completed before.
    Accepted,
    /// The order conflicts with the rank's state and has no effect.
    Refused,
}
