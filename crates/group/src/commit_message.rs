//! Messages between the coordinator and the participants of a commit.

use lynxmount_core::Offset;

/// A rank's index in its group, starting with 0.
pub type RankNumber = usize;
/// A step of the group, counted alike by all ranks.
pub type Step = u64;
/// Identifies an expert map. A number is never reused for another map.
pub type MapNumber = u64;
/// The offset of a lease's record in the log.
pub type FencingToken = Offset;
/// The offset of the record that announces a change in the log.
pub type ChangeNumber = Offset;

/// A request of the coordinator to one rank.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitRequest {
    /// Hold the rank at a step until it is decided whether the change takes
    /// effect there.
    Arm {
        /// The coordinator's lease.
        fencing_token: FencingToken,
        /// The change.
        change: ChangeNumber,
        /// The map to use from the step on if the change is committed.
        map: MapNumber,
        /// The first step with the new map.
        at: Step,
    },
    /// Never arm this change.
    Abort {
        /// The coordinator's lease.
        fencing_token: FencingToken,
        /// The change.
        change: ChangeNumber,
    },
    /// Fetch the weights that a map needs. Idempotent, and without effect on the map in use.
    Stage {
        /// The coordinator's lease.
        fencing_token: FencingToken,
        /// The change.
        change: ChangeNumber,
        /// The map.
        map: MapNumber,
    },
}

impl CommitRequest {
    /// The lease under which the request was made.
    pub fn fencing_token(self) -> FencingToken {
        match self {
            CommitRequest::Arm { fencing_token, .. }
            | CommitRequest::Abort { fencing_token, .. }
            | CommitRequest::Stage { fencing_token, .. } => fencing_token,
        }
    }

    /// The change that the request concerns.
    pub fn change(self) -> ChangeNumber {
        match self {
            CommitRequest::Arm { change, .. }
            | CommitRequest::Abort { change, .. }
            | CommitRequest::Stage { change, .. } => change,
        }
    }
}

/// A participant's response to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitResponse {
    /// The rank holds at the step.
    Armed {
        /// The change.
        change: ChangeNumber,
    },
    /// The rank will never arm the change.
    Aborted {
        /// The change.
        change: ChangeNumber,
    },
    /// The participant has seen a later lease; the coordinator must stop.
    Fenced {
        /// The latest lease that the participant has seen.
        by: FencingToken,
    },
    /// The weights are fetched.
    Staged {
        /// The change.
        change: ChangeNumber,
    },
}
