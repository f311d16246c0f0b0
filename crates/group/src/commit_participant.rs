//! The gate beside one rank: whether a change of map takes place.
//!
//! Rule: a change takes place at its step if and only if every rank has armed
//! it. A gate that has armed a change holds its rank at the step and asks all
//! others. A gate that is asked and has not armed the change answers no, and
//! from then on never arms it. So answers never change, every gate comes to the
//! same decision, and a rank passes the step only after its own decision. A
//! rank that does not answer holds the group up, which a rank that stands still
//! does in any case, as ranks run in lock-step.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    ChangeNumber, CommitRequest, CommitResponse, FencingToken, MapNumber, RankNumber, Step,
};

/// What an engine tells of its rank, which outlives the gate's process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineState {
    /// The step that the rank is in.
    pub step: Step,
    /// The map in use.
    pub map: MapNumber,
    /// The change that the rank was told to hold for.
    pub armed: Option<ArmedChange>,
    /// The last change that the rank held for and was released from, whether
    /// it took place or not.
    pub released: Option<ArmedChange>,
}

/// A change that a rank holds for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ArmedChange {
    /// The change.
    pub change: ChangeNumber,
    /// The map that would be used.
    pub map: MapNumber,
    /// The step at which the rank holds.
    pub at: Step,
}

/// What a gate wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ParticipantAction {
    /// Answer the balancer.
    Respond(CommitResponse),
    /// Ask another rank's gate whether it has armed the change.
    QueryVote {
        /// The other rank.
        rank: RankNumber,
        /// The change.
        change: ChangeNumber,
    },
    /// Tell another rank's gate whether this one has armed the change.
    Vote {
        /// The other rank.
        rank: RankNumber,
        /// The change.
        change: ChangeNumber,
        /// Whether this rank has armed it.
        has_armed: bool,
    },
    /// Order the engine to hold before a step; it answers whether it does. It
    /// does not if it has begun the step, or was released from the change.
    Hold(ArmedChange),
    /// Order the engine to go on, with the new map if there is one. An engine
    /// that does not hold for that change takes no notice.
    Release {
        /// The change that is decided.
        change: ChangeNumber,
        /// The map to use from the step on, if the change takes place.
        map: Option<MapNumber>,
    },
    /// Order the engine to fetch weights.
    Fetch {
        /// The map whose weights are wanted.
        map: MapNumber,
    },
}

/// How far a gate is with a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The engine holds, and this gate's answer to all that ask is yes.
    Armed(ArmedChange),
    /// The engine was told to hold and has not confirmed it.
    Arming(ArmedChange),
    /// No change is under way.
    Idle,
}

/// A change that was armed and then decided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Decision {
    armed: ArmedChange,
    /// Whether it takes place; not known any more after a restart, and not
    /// needed then, as the engine has its order.
    takes_place: Option<bool>,
}

/// How many refusals are remembered one by one; older changes are all refused.
const MAX_ABORTED: usize = 64;

/// The state of one gate.
#[derive(Clone, Debug)]
pub struct CommitParticipant {
    rank: RankNumber,
    ranks: usize,
    /// Orders under earlier leases are refused.
    fencing_token: FencingToken,
    /// Changes below this number are never armed. An earlier life of this
    /// process may have promised so, and can't be asked any more.
    floor: ChangeNumber,
    phase: Phase,
    /// Changes from the floor on that this gate has said no to.
    aborted: BTreeSet<ChangeNumber>,
    /// The last change that this rank has armed and then decided.
    decided: Option<Decision>,
    votes: BTreeMap<RankNumber, bool>,
}

impl CommitParticipant {
    /// Starts a gate with what the engine tells and how far the log reaches:
    /// changes that were announced before are not armed in this life.
    ///
    /// While the log can't be read, `log_end` is `ChangeNumber::MAX`; no
    /// change is armed then until [`CommitParticipant::set_log_end`].
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
            floor: log_end,
            phase: engine.armed.map_or(Phase::Idle, Phase::Armed),
            aborted: BTreeSet::new(),
            decided: engine.released.map(|armed| Decision { armed, takes_place: None }),
            votes: BTreeMap::new(),
        }
    }

    /// Takes over how far the log reaches, if it could not be read before.
    pub fn set_log_end(&mut self, log_end: ChangeNumber) {
        if self.floor == ChangeNumber::MAX {
            self.floor = log_end;
        }
    }

    /// The change that the gate holds its rank for.
    pub fn armed(&self) -> Option<ArmedChange> {
        match self.phase {
            Phase::Armed(armed) => Some(armed),
            Phase::Arming(_) | Phase::Idle => None,
        }
    }

    /// Takes an order of a balancer, while the engine is in a step.
    pub fn on_request(&mut self, order: CommitRequest, step: Step) -> Vec<ParticipantAction> {
        if order.fencing_token() < self.fencing_token {
            return vec![ParticipantAction::Respond(CommitResponse::Fenced {
                by: self.fencing_token,
            })];
        }
        self.fencing_token = order.fencing_token();
        match order {
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

    /// Takes the engine's answer to [`ParticipantAction::Hold`]: whether it holds, or
    /// has passed the step already.
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

    /// Answers another gate that asks whether this one has armed a change.
    ///
    /// There is no answer while the engine has not confirmed that it holds; the
    /// other gate asks again.
    pub fn on_query(&mut self, by: RankNumber, change: ChangeNumber) -> Vec<ParticipantAction> {
        let has_armed = match self.phase {
            Phase::Arming(armed) if armed.change == change => return Vec::new(),
            Phase::Armed(armed) if armed.change == change => true,
            // It has armed the change and decided it. No later change was armed
            // since: that has to wait for the rank that asks.
            _ if self.has_decided(change) => true,
            _ => {
                self.remember_aborted(change);
                false
            }
        };
        vec![ParticipantAction::Vote { rank: by, change, has_armed }]
    }

    /// Takes another gate's answer, and decides once that is possible.
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

    /// Compares itself with its engine, and asks those that have not answered
    /// yet; call it regularly.
    pub fn tick(&mut self, engine: EngineState) -> Vec<ParticipantAction> {
        match (self.phase, engine.armed) {
            (Phase::Armed(armed), _) => self.vote_queries(armed.change),
            (Phase::Arming(armed), _) => vec![ParticipantAction::Hold(armed)],
            (Phase::Idle, Some(armed)) => self.release_again(armed),
            (Phase::Idle, None) => Vec::new(),
        }
    }

    /// The engine still holds for a change that was decided, so it has missed
    /// the release. It can't hold for any other change: it takes orders of one
    /// life of its gate only.
    fn release_again(&self, armed: ArmedChange) -> Vec<ParticipantAction> {
        match self.decided {
            Some(Decision { armed: decided, takes_place: Some(takes_place) })
                if decided == armed =>
            {
                vec![release(armed, takes_place)]
            }
            _ => Vec::new(),
        }
    }

    fn has_decided(&self, change: ChangeNumber) -> bool {
        self.decided.is_some_and(|decision| decision.armed.change == change)
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
            Phase::Idle if !self.may_arm(change, step) => self.abort(change),
            Phase::Idle => {
                self.phase = Phase::Arming(wanted);
                vec![ParticipantAction::Hold(wanted)]
            }
        }
    }

    /// Before another change is armed, the rank must be past the step of the
    /// last one: then all ranks are, and nobody will ask about that one again.
    fn may_arm(&self, change: ChangeNumber, step: Step) -> bool {
        let is_past = self.decided.is_none_or(|decision| step > decision.armed.at);
        is_past && change >= self.floor && !self.aborted.contains(&change)
    }

    fn abort(&mut self, change: ChangeNumber) -> Vec<ParticipantAction> {
        match self.phase {
            // A promise to hold can't be taken back by one rank alone.
            Phase::Armed(armed) if armed.change == change => {
                vec![ParticipantAction::Respond(CommitResponse::Armed { change })]
            }
            Phase::Arming(armed) if armed.change == change => Vec::new(),
            _ => {
                self.remember_aborted(change);
                vec![ParticipantAction::Respond(CommitResponse::Aborted { change })]
            }
        }
    }

    fn decide(&mut self, armed: ArmedChange) -> Vec<ParticipantAction> {
        let is_refused = self.votes.values().any(|has_armed| !has_armed);
        let is_complete = self.votes.len() + 1 == self.ranks;
        if !is_refused && !is_complete {
            return Vec::new();
        }
        self.phase = Phase::Idle;
        self.votes.clear();
        self.decided = Some(Decision { armed, takes_place: Some(!is_refused) });
        vec![release(armed, !is_refused)]
    }

    fn remember_aborted(&mut self, change: ChangeNumber) {
        if change >= self.floor && !self.has_decided(change) {
            self.aborted.insert(change);
        }
        // Changes are numbered in order, so that refusing all old ones is safe.
        while self.aborted.len() > MAX_ABORTED {
            if let Some(oldest) = self.aborted.pop_first() {
                self.floor = self.floor.max(oldest + 1);
            }
        }
    }
}

fn release(armed: ArmedChange, takes_place: bool) -> ParticipantAction {
    ParticipantAction::Release { change: armed.change, map: takes_place.then_some(armed.map) }
}
