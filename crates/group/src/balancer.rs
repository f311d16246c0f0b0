//! The balancer's side of one change: stage, arm, and see what comes of it.
//!
//! Nothing depends on the balancer once a rank has armed: if it dies, the gates
//! decide by themselves. Its lease only keeps two balancers from disturbing each
//! other.

use std::time::Duration;

use crate::{ChangeNumber, FencingNumber, MapNumber, Order, OrderAnswer, RankNumber, Step};

/// Limits of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BalancerOptions {
    /// How long staging may take.
    pub stage_timeout: Duration,
    /// How long arming may take.
    pub arm_timeout: Duration,
    /// How many steps ahead ranks are armed. The larger, the surer that the
    /// decision is there before the step; the smaller, the sooner the new map.
    pub lead_steps: Step,
}

impl Default for BalancerOptions {
    /// Half a minute to stage, a second to arm, and 64 steps (about 0.3 s).
    fn default() -> BalancerOptions {
        BalancerOptions {
            stage_timeout: Duration::from_secs(30),
            arm_timeout: Duration::from_secs(1),
            lead_steps: 64,
        }
    }
}

/// What a balancer wants done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BalancerAction {
    /// The change is over for the balancer.
    End(ChangeEnd),
    /// Send an order to a rank's gate.
    Send {
        /// The rank.
        rank: RankNumber,
        /// The order.
        order: Order,
    },
}

/// What came of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeEnd {
    /// All ranks have armed; the change takes place.
    Armed,
    /// A rank has forgone the change; it does not take place.
    Forgone,
    /// A later lease was seen.
    Fenced,
    /// Weights were not fetched in time; no rank was armed.
    NotStaged,
    /// Not all ranks have answered in time; the gates decide.
    Undecided,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RankPhase {
    Armed,
    Forgone,
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
pub struct Balancer {
    options: BalancerOptions,
    fence: FencingNumber,
    change: ChangeNumber,
    map: MapNumber,
    ranks: Vec<RankPhase>,
    phase: Phase,
}

impl Balancer {
    /// Starts a change that was announced in the log under a lease.
    pub fn start(
        options: BalancerOptions,
        fence: FencingNumber,
        change: ChangeNumber,
        map: MapNumber,
        ranks: usize,
        now: Duration,
    ) -> Balancer {
        let ranks = vec![RankPhase::Waiting; ranks];
        Balancer { options, fence, change, map, ranks, phase: Phase::Staging { since: now } }
    }

    /// Sends the orders that are not answered yet, and gives up what takes too
    /// long; call it regularly with the step that the group is in.
    pub fn tick(&mut self, now: Duration, step: Step) -> Vec<BalancerAction> {
        match self.phase {
            Phase::Over => Vec::new(),
            Phase::Staging { .. } if self.all(RankPhase::Staged) => {
                let at = step + self.options.lead_steps;
                self.phase = Phase::Arming { at, since: now };
                self.arm_orders(at)
            }
            Phase::Staging { since } if now >= since + self.options.stage_timeout => {
                self.end(ChangeEnd::NotStaged)
            }
            Phase::Staging { .. } => self.stage_orders(),
            Phase::Arming { since, .. } if now >= since + self.options.arm_timeout => {
                let mut actions = self.forgo_orders();
                actions.extend(self.end(ChangeEnd::Undecided));
                actions
            }
            Phase::Arming { at, .. } => self.arm_orders(at),
        }
    }

    /// Takes a gate's answer.
    pub fn answer(&mut self, rank: RankNumber, answer: OrderAnswer) -> Vec<BalancerAction> {
        if self.phase == Phase::Over {
            return Vec::new();
        }
        match answer {
            OrderAnswer::Fenced { by } if by > self.fence => self.end(ChangeEnd::Fenced),
            OrderAnswer::Staged { change } if change == self.change => {
                if self.ranks[rank] == RankPhase::Waiting {
                    self.ranks[rank] = RankPhase::Staged;
                }
                Vec::new()
            }
            OrderAnswer::Armed { change } if change == self.change => {
                self.ranks[rank] = RankPhase::Armed;
                match self.all(RankPhase::Armed) {
                    true => self.end(ChangeEnd::Armed),
                    false => Vec::new(),
                }
            }
            OrderAnswer::Forgone { change } if change == self.change => {
                self.ranks[rank] = RankPhase::Forgone;
                let mut actions = self.forgo_orders();
                actions.extend(self.end(ChangeEnd::Forgone));
                actions
            }
            // Answers to orders of an earlier change.
            _ => Vec::new(),
        }
    }

    fn all(&self, phase: RankPhase) -> bool {
        self.ranks.iter().all(|rank| *rank == phase)
    }

    fn end(&mut self, end: ChangeEnd) -> Vec<BalancerAction> {
        self.phase = Phase::Over;
        vec![BalancerAction::End(end)]
    }

    fn stage_orders(&self) -> Vec<BalancerAction> {
        let Balancer { fence, change, map, .. } = *self;
        self.orders(RankPhase::Waiting, Order::Stage { fence, change, map })
    }

    fn arm_orders(&self, at: Step) -> Vec<BalancerAction> {
        let Balancer { fence, change, map, .. } = *self;
        self.orders(RankPhase::Staged, Order::Arm { fence, change, map, at })
    }

    /// Spares ranks that have not armed the wait for a change that is off.
    fn forgo_orders(&self) -> Vec<BalancerAction> {
        let Balancer { fence, change, .. } = *self;
        self.orders(RankPhase::Staged, Order::Forgo { fence, change })
    }

    fn orders(&self, phase: RankPhase, order: Order) -> Vec<BalancerAction> {
        let ranks = self.ranks.iter().enumerate().filter(|(_, rank)| **rank == phase);
        ranks.map(|(rank, _)| BalancerAction::Send { rank, order }).collect()
    }
}
