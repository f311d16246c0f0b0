//! Simulated engines of a group in lock-step that implement the documented orders.

use lynxmount_core::experts::{
    Action, EngineOrder, EngineReport, GroupMap, GroupMembership, GroupStep, MapVersion,
    OrderResult,
};

/// The epoch of the simulated group.
pub(crate) const EPOCH: u64 = 1;

/// One simulated engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) report: EngineReport,
    /// The highest map version that it has received.
    highest_version: MapVersion,
    /// The map of the version that it has prepared.
    prepared: GroupMap,
    /// The map in use.
    pub(crate) in_use: GroupMap,
}

/// The report of a rank that has received no order yet.
pub(crate) fn initial_report(rank: usize, ranks: usize) -> EngineReport {
    EngineReport {
        membership: Some(GroupMembership {
            group: "g".to_owned(),
            epoch: EPOCH,
            rank,
            ranks,
            is_open: true,
        }),
        step: 0,
        map: 0,
        prepared: None,
        armed: None,
        held: None,
        running: 0,
        waiting: 0,
        pace: 1.0,
    }
}

/// The engines of a new group.
pub(crate) fn engines(ranks: usize) -> Vec<Engine> {
    let initial: GroupMap = vec![(0..ranks).map(|rank| vec![rank]).collect()];
    (0..ranks)
        .map(|rank| Engine {
            report: initial_report(rank, ranks),
            highest_version: 0,
            prepared: Vec::new(),
            in_use: initial.clone(),
        })
        .collect()
}

impl Engine {
    /// Carries out or refuses an order that arrives during `step`.
    pub(crate) fn execute(&mut self, order: &EngineOrder, step: GroupStep) -> OrderResult {
        if order.epoch != EPOCH {
            return OrderResult::Refused;
        }
        let report = &self.report;
        let is_done = match &order.action {
            Action::Prepare { version, .. } => report.prepared == Some(*version),
            Action::Arm { version, step } => report.armed == Some((*version, *step)),
            Action::Hold { step } => report.held == Some(*step),
            Action::Disarm { .. } | Action::Go { .. } => false,
        };
        if is_done {
            return OrderResult::Accepted;
        }
        let is_accepted = match &order.action {
            Action::Prepare { version, map } => {
                let is_valid = *version > self.highest_version && self.report.armed.is_none();
                if is_valid {
                    self.highest_version = *version;
                    self.report.prepared = Some(*version);
                    self.prepared = GroupMap::clone(map);
                }
                is_valid
            }
            Action::Arm { version, step: at } => {
                let is_valid = self.report.prepared == Some(*version)
                    && *at > step
                    && self.report.armed.is_none();
                if is_valid {
                    self.report.armed = Some((*version, *at));
                }
                is_valid
            }
            Action::Disarm { version } => {
                let is_valid = self.report.armed.is_some_and(|(armed, _)| armed == *version);
                if is_valid {
                    self.report.armed = None;
                }
                is_valid
            }
            Action::Hold { step: at } => {
                let is_valid = *at > step && self.report.held.is_none();
                if is_valid {
                    self.report.held = Some(*at);
                }
                is_valid
            }
            Action::Go { step: at } => {
                let is_valid = self.report.held == Some(*at);
                if is_valid {
                    self.report.held = None;
                }
                is_valid
            }
        };
        if is_accepted { OrderResult::Accepted } else { OrderResult::Refused }
    }

    pub(crate) fn begin_step(&mut self, step: GroupStep) {
        self.report.step = step;
        if let Some((version, at)) = self.report.armed.filter(|(_, at)| *at == step) {
            debug_assert_eq!(at, step);
            self.report.map = version;
            self.report.armed = None;
            self.in_use = self.prepared.clone();
        }
    }
}
