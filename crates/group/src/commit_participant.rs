//! One rank's participant in a two-phase commit with cooperative termination: it
//! decides together with its peers whether a change of the map takes effect.
//!
//! A change is committed if and only if every rank has armed it. A participant that
//! has armed a change holds its rank at the step and queries the votes of all others. One
//! that is queried without having armed the change votes no and never arms it
//! afterwards. So votes are final, all participants reach the same decision, and a rank
//! passes the step only after its own decision. A rank that does not vote blocks the
//! group, but a stalled rank blocks a group in lock-step anyway.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    ChangeNumber, CommitRequest, CommitResponse, FencingToken, MapNumber, RankNumber, Step,
};

/// The state of a rank as its engine reports it. It outlives the participant's process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineState {
    /// The current step of the rank.
    pub step: Step,
    /// The map in use.
    pub map: MapNumber,
    /// The change that the rank was ordered to hold for.
    pub armed: Option<ArmedChange>,
    /// The last change that the rank held for and was released from, whether
    /// it was committed or aborted.
    pub released: Option<ArmedChange>,
}

/// A change that a rank holds for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ArmedChange {
    /// The change.
    pub change: ChangeNumber,
    /// The map to use if the change is committed.
    pub map: MapNumber,
    /// The step at which the rank holds.
    pub at: Step,
}

/// An action that a participant requests from its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ParticipantAction {
    /// Respond to the coordinator.
    Respond(CommitResponse),
    /// Query the vote of another rank's participant.
    QueryVote {
        /// The other rank.
        rank: RankNumber,
        /// The change.
        change: ChangeNumber,
    },
    /// Send this rank's vote to another rank's participant.
    Vote {
        /// The other rank.
        rank: RankNumber,
        /// The change.
        change: ChangeNumber,
        /// Whether this rank has armed it.
        has_armed: bool,
    },
    /// Order the engine to hold before a step. It replies whether it holds, and refuses
    /// if it has begun the step or was released from the change.
    Hold(ArmedChange),
    /// Order the engine to continue, with the new map if the change is committed. An
    /// engine that does not hold for that change ignores it.
    Release {
        /// The decided change.
        change: ChangeNumber,
        /// The map to use from the step on; `None` if the change is aborted.
        map: Option<MapNumber>,
    },
    /// Order the engine to fetch weights.
    Fetch {
        /// The map whose weights to fetch.
        map: MapNumber,
    },
}

/// The phase of a participant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The engine holds, and this participant votes yes.
    Armed(ArmedChange),
    /// The engine was ordered to hold and has not confirmed it.
    Arming(ArmedChange),
    /// No change is in progress.
    Idle,
}

/// A change that was armed and then decided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Decision {
    armed: ArmedChange,
    /// `None` after a restart: not needed then, as the engine has its release already.
    is_committed: Option<bool>,
}

/// How many aborted changes are kept individually; all older changes are aborted.
const MAX_ABORTED: usize = 64;

/// The state of one participant.
#[derive(Clone, Debug)]
pub struct CommitParticipant {
    rank: RankNumber,
    ranks: usize,
    /// Requests under earlier leases are refused.
    fencing_token: FencingToken,
    /// Changes below this number are never armed: before a restart this process may have
    /// voted no on any of them, and its votes are not persisted.
    min_change: ChangeNumber,
    phase: Phase,
    /// Changes from `min_change` on that this participant has voted no on.
    aborted: BTreeSet<ChangeNumber>,
    /// The last change that this rank has armed and then decided.
    last_decision: Option<Decision>,
    votes: BTreeMap<RankNumber, bool>,
}

impl CommitParticipant {
    /// Starts a participant from the engine's state and the end of the log. Changes
    /// that were announced before it are never armed by this incarnation.
    ///
    /// If the log can't be read, `log_end` is `ChangeNumber::MAX`, and no
    /// change is armed until [`CommitParticipant::set_log_end`].
    pub fn start(
        rank: RankNumber,
        ranks: usize,
        engine: EngineState,
        log_end: ChangeNumber,
    ) -> CommitParticipant {
        CommitParticipant {
            rank,
            ranks,
            fencing_token: 0,
            min_change: log_end,
            phase: engine.armed.map_or(Phase::Idle, Phase::Armed),
            aborted: BTreeSet::new(),
            last_decision: engine.released.map(|armed| Decision { armed, is_committed: None }),
            votes: BTreeMap::new(),
        }
    }

    /// Sets the end of the log if it could not be read at the start.
    pub fn set_log_end(&mut self, log_end: ChangeNumber) {
        if self.min_change == ChangeNumber::MAX {
            self.min_change = log_end;
        }
    }

    /// The change that the participant holds its rank for.
    pub fn armed(&self) -> Option<ArmedChange> {
        match self.phase {
            Phase::Armed(armed) => Some(armed),
            Phase::Arming(_) | Phase::Idle => None,
        }
    }

    /// Handles a coordinator's request. `step` is the engine's current step.
    pub fn on_request(&mut self, request: CommitRequest, step: Step) -> Vec<ParticipantAction> {
        if request.fencing_token() < self.fencing_token {
            return vec![ParticipantAction::Respond(CommitResponse::Fenced {
                by: self.fencing_token,
            })];
        }
        self.fencing_token = request.fencing_token();
        match request {
            CommitRequest::Stage { change, map, .. } => {
                vec![
                    ParticipantAction::Fetch { map },
                    ParticipantAction::Respond(CommitResponse::Staged { change }),
                ]
            }
            CommitRequest::Arm { change, map, at, .. } => {
                self.arm(ArmedChange { change, map, at }, step)
            }
            CommitRequest::Abort { change, .. } => self.abort(change),
        }
    }

    /// Handles the engine's reply to [`ParticipantAction::Hold`]: whether it holds, or
    /// has already passed the step.
    pub fn on_hold_result(&mut self, change: ChangeNumber, holds: bool) -> Vec<ParticipantAction> {
        match self.phase {
            Phase::Arming(armed) if armed.change == change && holds => {
                self.phase = Phase::Armed(armed);
                self.votes.clear();
                vec![ParticipantAction::Respond(CommitResponse::Armed { change })]
            }
            Phase::Arming(armed) if armed.change == change => {
                self.phase = Phase::Idle;
                self.abort(change)
            }
            _ => Vec::new(),
        }
    }

    /// Handles another participant's query for this one's vote on a change.
    ///
    /// There is no vote while the engine has not confirmed that it holds; the
    /// other participant repeats its query.
    pub fn on_query(&mut self, by: RankNumber, change: ChangeNumber) -> Vec<ParticipantAction> {
        let has_armed = match self.phase {
            Phase::Arming(armed) if armed.change == change => return Vec::new(),
            Phase::Armed(armed) if armed.change == change => true,
            // No later change can have been armed since: that requires the querying
            // rank to be past the step of this one.
            _ if self.has_decided(change) => true,
            _ => {
                self.record_aborted(change);
                false
            }
        };
        vec![ParticipantAction::Vote { rank: by, change, has_armed }]
    }

    /// Handles another participant's vote, and decides as soon as the votes allow it.
    pub fn on_vote(
        &mut self,
        from: RankNumber,
        change: ChangeNumber,
        has_armed: bool,
    ) -> Vec<ParticipantAction> {
        match self.phase {
            Phase::Armed(armed) if armed.change == change => {
                self.votes.insert(from, has_armed);
                self.decide(armed)
            }
            _ => Vec::new(),
        }
    }

    /// Repeats orders and vote queries that are still open, given the engine's state; to be
    /// called periodically.
    pub fn tick(&mut self, engine: EngineState) -> Vec<ParticipantAction> {
        match (self.phase, engine.armed) {
            (Phase::Armed(armed), _) => self.vote_queries(armed.change),
            (Phase::Arming(armed), _) => vec![ParticipantAction::Hold(armed)],
            (Phase::Idle, Some(armed)) => self.resend_release(armed),
            (Phase::Idle, None) => Vec::new(),
        }
    }

    /// The engine still holds for a decided change, so the release was lost. It can't
    /// hold for any other change: it accepts orders of one incarnation of its
    /// participant only.
    fn resend_release(&self, armed: ArmedChange) -> Vec<ParticipantAction> {
        match self.last_decision {
            Some(Decision { armed: decided_change, is_committed: Some(is_committed) })
                if decided_change == armed =>
            {
                vec![release(armed, is_committed)]
            }
            _ => Vec::new(),
        }
    }

    fn has_decided(&self, change: ChangeNumber) -> bool {
        self.last_decision.is_some_and(|decision| decision.armed.change == change)
    }

    fn vote_queries(&self, change: ChangeNumber) -> Vec<ParticipantAction> {
        (0..self.ranks)
            .filter(|rank| *rank != self.rank && !self.votes.contains_key(rank))
            .map(|rank| ParticipantAction::QueryVote { rank, change })
            .collect()
    }

    fn arm(&mut self, wanted: ArmedChange, step: Step) -> Vec<ParticipantAction> {
        let change = wanted.change;
        match self.phase {
            Phase::Armed(armed) if armed == wanted => {
                vec![ParticipantAction::Respond(CommitResponse::Armed { change })]
            }
            Phase::Arming(armed) if armed == wanted => vec![ParticipantAction::Hold(armed)],
            Phase::Armed(_) | Phase::Arming(_) => self.abort(change),
            Phase::Idle if !self.can_arm(change, step) => self.abort(change),
            Phase::Idle => {
                self.phase = Phase::Arming(wanted);
                vec![ParticipantAction::Hold(wanted)]
            }
        }
    }

    /// Before another change is armed, the rank must be past the step of the last one:
    /// then all ranks have decided that one, and none queries it again.
    fn can_arm(&self, change: ChangeNumber, step: Step) -> bool {
        let is_past = self.last_decision.is_none_or(|decision| step > decision.armed.at);
        is_past && change >= self.min_change && !self.aborted.contains(&change)
    }

    fn abort(&mut self, change: ChangeNumber) -> Vec<ParticipantAction> {
        match self.phase {
            // The rank may have voted yes already, and a vote is final.
            Phase::Armed(armed) if armed.change == change => {
                vec![ParticipantAction::Respond(CommitResponse::Armed { change })]
            }
            Phase::Arming(armed) if armed.change == change => Vec::new(),
            _ => {
                self.record_aborted(change);
                vec![ParticipantAction::Respond(CommitResponse::Aborted { change })]
            }
        }
    }

    fn decide(&mut self, armed: ArmedChange) -> Vec<ParticipantAction> {
        let is_aborted = self.votes.values().any(|has_armed| !has_armed);
        let is_complete = self.votes.len() + 1 == self.ranks;
        if !is_aborted && !is_complete {
            return Vec::new();
        }
        self.phase = Phase::Idle;
        self.votes.clear();
        self.last_decision = Some(Decision { armed, is_committed: Some(!is_aborted) });
        vec![release(armed, !is_aborted)]
    }

    fn record_aborted(&mut self, change: ChangeNumber) {
        if change >= self.min_change && !self.has_decided(change) {
            self.aborted.insert(change);
        }
        // Change numbers only grow, so that aborting all older changes is safe.
        while self.aborted.len() > MAX_ABORTED {
            if let Some(oldest) = self.aborted.pop_first() {
                self.min_change = self.min_change.max(oldest + 1);
            }
        }
    }
}

fn release(armed: ArmedChange, is_committed: bool) -> ParticipantAction {
    ParticipantAction::Release { change: armed.change, map: is_committed.then_some(armed.map) }
}
