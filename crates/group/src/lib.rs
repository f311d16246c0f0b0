//! Atomic changes of a group's expert map: leases with fencing tokens, two-phase commit,
//! and group membership.
//!
//! In every step all ranks of a group use the same expert map. Two protocols switch it:
//!
//! - [`MapSwitch`] orders the engines themselves to prepare, hold, arm and release.
//! - [`CommitCoordinator`] and [`CommitParticipant`]: the coordinator proposes changes
//!   under a lease, and the participants of all ranks decide together. The decision needs
//!   neither the coordinator nor the platform's log; `docs/DESIGN.md` says why.

#![forbid(unsafe_code)]

mod commit_coordinator;
mod commit_message;
mod commit_participant;
mod lease;
mod map_cache;
mod membership;
mod relay;
mod switch;

pub use commit_coordinator::{CommitCoordinator, CommitOptions, CommitOutcome, CoordinatorAction};
pub use commit_message::{
    ChangeNumber, CommitRequest, CommitResponse, FencingToken, MapNumber, RankNumber, Step,
};
pub use commit_participant::{ArmedChange, CommitParticipant, EngineState, ParticipantAction};
pub use lease::{LEASE_MARGIN, Lease, LeaseRecord, LeaseTable};
pub use map_cache::{MapCache, RankRow};
pub use membership::{
    Announcement, EngineSearch, GroupDirectory, GroupMembers, MembershipView, hold_owner,
    may_start_switches,
};
pub use relay::{Relay, RelayTarget, plan_relays, should_relay};
pub use switch::{
    HoldHistory, HoldPlacement, MapSwitch, OutgoingRequest, RankRequest, RequestId, SwitchInputs,
    SwitchOptions, SwitchOutcome, abandoned_step, hold_delegate,
};
