//! The coordinator of a two-phase commit that changes the expert map of a group.
//!
//! Once a rank has armed, the decision no longer depends on the coordinator: if it
//! crashes, the participants decide among themselves. Its lease only keeps two
//! coordinators from interfering with each other.

use std::time::Duration;

use crate::{
    ChangeNumber, CommitRequest, CommitResponse, FencingToken, MapNumber, RankNumber, Step,
};

/// Limits of a commit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CommitOptions {
    /// How long staging may take.
    pub stage_timeout: Duration,
    /// How long arming may take.
    pub arm_timeout: Duration,
    /// How many steps ahead ranks are armed. A larger lead makes it more likely that
    /// the decision is made before the step; a smaller one activates the map sooner.
    pub lead_steps: Step,
}

impl Default for CommitOptions {
    /// 30 s to stage, 1 s to arm, and 64 steps (about 0.3 s) of lead.
    fn default() -> CommitOptions {
        CommitOptions {
            stage_timeout: Duration::from_secs(30),
            arm_timeout: Duration::from_secs(1),
            lead_steps: 64,
        }
    }
}

/// An action that the coordinator requests from its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CoordinatorAction {
    /// The commit is over for the coordinator.
    Finish(CommitOutcome),
    /// Send a request to a rank's participant.
    Send {
        /// The rank.
        rank: RankNumber,
        /// The request.
        request: CommitRequest,
    },
}

/// The outcome of a commit, as far as the coordinator knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// All ranks have armed; the change takes effect.
    Committed,
    /// A rank has aborted the change; it does not take effect.
    Aborted,
    /// A later lease was seen.
    Fenced,
    /// Weights were not fetched in time; no rank was armed.
    StagingTimedOut,
    /// Not all ranks have responded in time; the participants decide.
    InDoubt,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RankPhase {
    Armed,
    Aborted,
    Staged,
    Waiting,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Arming { at: Step, since: Duration },
    Over,
    Staging { since: Duration },
}

/// One change of the map under one lease.
#[derive(Clone, Debug)]
pub struct CommitCoordinator {
    options: CommitOptions,
    fencing_token: FencingToken,
    change: ChangeNumber,
    map: MapNumber,
    ranks: Vec<RankPhase>,
    phase: Phase,
}

impl CommitCoordinator {
    /// Starts a change that was announced in the log under a lease.
    pub fn start(
        options: CommitOptions,
        fencing_token: FencingToken,
        change: ChangeNumber,
        map: MapNumber,
        ranks: usize,
        now: Duration,
    ) -> CommitCoordinator {
        let ranks = vec![RankPhase::Waiting; ranks];
        CommitCoordinator {
            options,
            fencing_token,
            change,
            map,
            ranks,
            phase: Phase::Staging { since: now },
        }
    }

    /// Repeats the requests without a response and applies the timeouts; to be called
    /// periodically with the current step of the group.
    pub fn tick(&mut self, now: Duration, step: Step) -> Vec<CoordinatorAction> {
        match self.phase {
            Phase::Over => Vec::new(),
            Phase::Staging { .. } if self.all(RankPhase::Staged) => {
                let at = step + self.options.lead_steps;
                self.phase = Phase::Arming { at, since: now };
                self.arm_requests(at)
            }
            Phase::Staging { since } if now >= since + self.options.stage_timeout => {
                self.finish(CommitOutcome::StagingTimedOut)
            }
            Phase::Staging { .. } => self.stage_requests(),
            Phase::Arming { since, .. } if now >= since + self.options.arm_timeout => {
                let mut actions = self.abort_requests();
                actions.extend(self.finish(CommitOutcome::InDoubt));
                actions
            }
            Phase::Arming { at, .. } => self.arm_requests(at),
        }
    }

    /// Handles a participant's response.
    pub fn on_response(
        &mut self,
        rank: RankNumber,
        response: CommitResponse,
    ) -> Vec<CoordinatorAction> {
        if self.phase == Phase::Over {
            return Vec::new();
        }
        match response {
            CommitResponse::Fenced { by } if by > self.fencing_token => {
                self.finish(CommitOutcome::Fenced)
            }
            CommitResponse::Staged { change } if change == self.change => {
                if self.ranks[rank] == RankPhase::Waiting {
                    self.ranks[rank] = RankPhase::Staged;
                }
                Vec::new()
            }
            CommitResponse::Armed { change } if change == self.change => {
                self.ranks[rank] = RankPhase::Armed;
                match self.all(RankPhase::Armed) {
                    true => self.finish(CommitOutcome::Committed),
                    false => Vec::new(),
                }
            }
            CommitResponse::Aborted { change } if change == self.change => {
                self.ranks[rank] = RankPhase::Aborted;
                let mut actions = self.abort_requests();
                actions.extend(self.finish(CommitOutcome::Aborted));
                actions
            }
            // Responses to requests of an earlier change.
            _ => Vec::new(),
        }
    }

    fn all(&self, phase: RankPhase) -> bool {
        self.ranks.iter().all(|rank| *rank == phase)
    }

    fn finish(&mut self, outcome: CommitOutcome) -> Vec<CoordinatorAction> {
        self.phase = Phase::Over;
        vec![CoordinatorAction::Finish(outcome)]
    }

    fn stage_requests(&self) -> Vec<CoordinatorAction> {
        let CommitCoordinator { fencing_token, change, map, .. } = *self;
        self.requests(RankPhase::Waiting, CommitRequest::Stage { fencing_token, change, map })
    }

    fn arm_requests(&self, at: Step) -> Vec<CoordinatorAction> {
        let CommitCoordinator { fencing_token, change, map, .. } = *self;
        self.requests(RankPhase::Staged, CommitRequest::Arm { fencing_token, change, map, at })
    }

    /// Keeps ranks that have not armed from holding for a change that is aborted.
    fn abort_requests(&self) -> Vec<CoordinatorAction> {
        let CommitCoordinator { fencing_token, change, .. } = *self;
        self.requests(RankPhase::Staged, CommitRequest::Abort { fencing_token, change })
    }

    fn requests(&self, phase: RankPhase, request: CommitRequest) -> Vec<CoordinatorAction> {
        let ranks = self.ranks.iter().enumerate().filter(|(_, rank)| **rank == phase);
        ranks.map(|(rank, _)| CoordinatorAction::Send { rank, request }).collect()
    }
}
