//! The balancer's side of one change: stage, arm, and see what comes of it.
//!
//! Nothing depends on the balancer once a rank has armed: if it dies, the gates
//! decide by themselves. Its lease only keeps two balancers from disturbing each
//! other.

use std::time::Duration;

use crate::{
    ChangeNumber, CommitRequest, CommitResponse, FencingToken, MapNumber, RankNumber, Step,
};

/// Limits of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CommitOptions {
    /// How long staging may take.
    pub stage_timeout: Duration,
    /// How long arming may take.
    pub arm_timeout: Duration,
    /// How many steps ahead ranks are armed. The larger, the surer that the
    /// decision is there before the step; the smaller, the sooner the new map.
    pub lead_steps: Step,
}

impl Default for CommitOptions {
    /// Half a minute to stage, a second to arm, and 64 steps (about 0.3 s).
    fn default() -> CommitOptions {
        CommitOptions {
            stage_timeout: Duration::from_secs(30),
            arm_timeout: Duration::from_secs(1),
            lead_steps: 64,
        }
    }
}

/// What a balancer wants done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CoordinatorAction {
    /// The change is over for the balancer.
    Finish(CommitOutcome),
    /// Send an order to a rank's gate.
    Send {
        /// The rank.
        rank: RankNumber,
        /// The order.
        order: CommitRequest,
    },
}

/// What came of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// All ranks have armed; the change takes place.
    Committed,
    /// A rank has forgone the change; it does not take place.
    Aborted,
    /// A later lease was seen.
    Fenced,
    /// Weights were not fetched in time; no rank was armed.
    StagingTimedOut,
    /// Not all ranks have answered in time; the gates decide.
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

/// One change under one lease.
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

    /// Sends the orders that are not answered yet, and gives up what takes too
    /// long; call it regularly with the step that the group is in.
    pub fn tick(&mut self, now: Duration, step: Step) -> Vec<CoordinatorAction> {
        match self.phase {
            Phase::Over => Vec::new(),
            Phase::Staging { .. } if self.all(RankPhase::Staged) => {
                let at = step + self.options.lead_steps;
                self.phase = Phase::Arming { at, since: now };
                self.arm_requests(at)
            }
            Phase::Staging { since } if now >= since + self.options.stage_timeout => {
                self.end(CommitOutcome::StagingTimedOut)
            }
            Phase::Staging { .. } => self.stage_requests(),
            Phase::Arming { since, .. } if now >= since + self.options.arm_timeout => {
                let mut actions = self.abort_requests();
                actions.extend(self.end(CommitOutcome::InDoubt));
                actions
            }
            Phase::Arming { at, .. } => self.arm_requests(at),
        }
    }

    /// Takes a gate's answer.
    pub fn on_response(
        &mut self,
        rank: RankNumber,
        answer: CommitResponse,
    ) -> Vec<CoordinatorAction> {
        if self.phase == Phase::Over {
            return Vec::new();
        }
        match answer {
            CommitResponse::Fenced { by } if by > self.fencing_token => {
                self.end(CommitOutcome::Fenced)
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
                    true => self.end(CommitOutcome::Committed),
                    false => Vec::new(),
                }
            }
            CommitResponse::Aborted { change } if change == self.change => {
                self.ranks[rank] = RankPhase::Aborted;
                let mut actions = self.abort_requests();
                actions.extend(self.end(CommitOutcome::Aborted));
                actions
            }
            // Answers to orders of an earlier change.
            _ => Vec::new(),
        }
    }

    fn all(&self, phase: RankPhase) -> bool {
        self.ranks.iter().all(|rank| *rank == phase)
    }

    fn end(&mut self, end: CommitOutcome) -> Vec<CoordinatorAction> {
        self.phase = Phase::Over;
        vec![CoordinatorAction::Finish(end)]
    }

    fn stage_requests(&self) -> Vec<CoordinatorAction> {
        let CommitCoordinator { fencing_token, change, map, .. } = *self;
        self.requests(RankPhase::Waiting, CommitRequest::Stage { fencing_token, change, map })
    }

    fn arm_requests(&self, at: Step) -> Vec<CoordinatorAction> {
        let CommitCoordinator { fencing_token, change, map, .. } = *self;
        self.requests(RankPhase::Staged, CommitRequest::Arm { fencing_token, change, map, at })
    }

    /// Spares ranks that have not armed the wait for a change that is off.
    fn abort_requests(&self) -> Vec<CoordinatorAction> {
        let CommitCoordinator { fencing_token, change, .. } = *self;
        self.requests(RankPhase::Staged, CommitRequest::Abort { fencing_token, change })
    }

    fn requests(&self, phase: RankPhase, order: CommitRequest) -> Vec<CoordinatorAction> {
        let ranks = self.ranks.iter().enumerate().filter(|(_, rank)| **rank == phase);
        ranks.map(|(rank, _)| CoordinatorAction::Send { rank, order }).collect()
    }
}
