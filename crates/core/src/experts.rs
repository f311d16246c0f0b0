//! What engines in a lock-step group tell and take.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A step of a group, counted by all ranks alike.
pub type GroupStep = u64;
/// The number of an expert map. Each plan has a higher one than those before.
pub type MapVersion = u64;
/// A life of a group: it forms anew after it has lost a rank.
pub type GroupEpoch = u64;
/// The experts of each set and rank.
pub type GroupMap = Vec<Vec<Vec<usize>>>;

/// What a group does with calls.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum GroupState {
    /// It has calls and completes no pass, or its next pass is held.
    Blocked,
    /// It has lost a rank, or forms, and refuses calls.
    Down,
    /// It takes calls.
    Serving,
}

/// Which rank of which group an engine is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Membership {
    /// The group's name.
    pub group: String,
    /// The group's life.
    pub epoch: GroupEpoch,
    /// The rank, starting with 0.
    pub rank: usize,
    /// How many ranks the group has.
    pub ranks: usize,
    /// Whether the group takes work.
    pub is_open: bool,
}

/// The state of one rank, as its engine tells it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineReport {
    /// The rank's group; `None` if the engine is in none.
    pub membership: Option<Membership>,
    /// The step that was begun last.
    pub step: GroupStep,
    /// The map in use; 0 is the first of a group's life.
    pub map: MapVersion,
    /// The map whose experts are all there.
    pub prepared: Option<MapVersion>,
    /// The map that the rank switches to, and the step.
    pub armed: Option<(MapVersion, GroupStep)>,
    /// The step that the group does not begin before it is let go.
    pub held: Option<GroupStep>,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// How many times slower than usual the engine is.
    pub pace: f64,
}

/// Counts of a rank, by set and expert, since its start.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ExpertCounts {
    /// The step up to which was counted.
    pub step: GroupStep,
    /// The group's life.
    pub epoch: GroupEpoch,
    /// The counts, one set after the other.
    pub by_set_and_expert: Vec<u64>,
}

/// What a rank holds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RankMap {
    /// The version of the map in use.
    pub version: MapVersion,
    /// The rank's experts of each set.
    pub experts: Vec<Vec<usize>>,
}

/// What an engine is asked to do.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Action {
    /// Switch to a prepared map as a step begins.
    Arm {
        /// The map.
        version: MapVersion,
        /// The step.
        step: GroupStep,
    },
    /// Take back that the rank switches.
    Disarm {
        /// The map that it would have switched to.
        version: MapVersion,
    },
    /// Let the group begin a step that it was held at.
    Go {
        /// The step.
        step: GroupStep,
    },
    /// Keep the group from beginning a step until it is let go.
    Hold {
        /// The step.
        step: GroupStep,
    },
    /// Fetch the experts that a map needs.
    Prepare {
        /// The number that the map gets.
        version: MapVersion,
        /// The experts of each set and rank.
        map: Arc<GroupMap>,
    },
}

/// An order to an engine. It takes effect only in its group's life; one without an
/// answer may take effect seconds later.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineOrder {
    /// The group's life.
    pub epoch: GroupEpoch,
    /// What to do.
    pub action: Action,
}

/// What an engine answers to an order.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderResult {
    /// It has begun, or was done before.
    Accepted,
    /// It does not fit the rank's state, and has no effect.
    Refused,
}
