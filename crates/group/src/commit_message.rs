//! What a balancer orders and what the gates beside ranks answer.

use lynxmount_core::Offset;

/// A rank's place in its group, starting with 0.
pub type RankNumber = usize;
/// A step of the group, counted by all ranks alike.
pub type Step = u64;
/// An expert map. Maps are never renumbered.
pub type MapNumber = u64;
/// The offset of a lease's record in the log.
pub type FencingToken = Offset;
/// The offset of the record that announces a change in the log.
pub type ChangeNumber = Offset;

/// An order of a balancer to one rank.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitRequest {
    /// Hold the group at a step until it is decided whether the change takes
    /// place there.
    Arm {
        /// The balancer's lease.
        fencing_token: FencingToken,
        /// The change.
        change: ChangeNumber,
        /// The map that would be used from the step on.
        map: MapNumber,
        /// The first step with the new map.
        at: Step,
    },
    /// Never arm this change.
    Abort {
        /// The balancer's lease.
        fencing_token: FencingToken,
        /// The change.
        change: ChangeNumber,
    },
    /// Fetch the weights that a map needs. Harmless and repeatable.
    Stage {
        /// The balancer's lease.
        fencing_token: FencingToken,
        /// The change.
        change: ChangeNumber,
        /// The map.
        map: MapNumber,
    },
}

impl CommitRequest {
    /// The lease under which the order was given.
    pub fn fencing_token(self) -> FencingToken {
        match self {
            CommitRequest::Arm { fencing_token, .. }
            | CommitRequest::Abort { fencing_token, .. }
            | CommitRequest::Stage { fencing_token, .. } => fencing_token,
        }
    }

    /// The change that the order concerns.
    pub fn change(self) -> ChangeNumber {
        match self {
            CommitRequest::Arm { change, .. }
            | CommitRequest::Abort { change, .. }
            | CommitRequest::Stage { change, .. } => change,
        }
    }
}

/// What a gate answers to an order.
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
    /// A later lease was seen; the balancer must stop.
    Fenced {
        /// The latest lease that was seen.
        by: FencingToken,
    },
    /// The weights are there.
    Staged {
        /// The change.
        change: ChangeNumber,
    },
}
