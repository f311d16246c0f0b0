//! Engines of a group in lock-step that take orders as the engines' page says.

use lynxmount_core::experts::{
    Action, EngineOrder, EngineReport, GroupMap, GroupStep, MapVersion, Membership, OrderResult,
};

/// The life of the group that is played.
pub(crate) const EPOCH: u64 = 1;

/// One engine, by the page on its orders.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) report: EngineReport,
    /// The highest number of a map that it was given.
    had: MapVersion,
    /// What it was given under the number that it has prepared.
    prepared: GroupMap,
    /// What it holds.
    pub(crate) in_use: GroupMap,
}

/// The report of a rank that was given nothing yet.
pub(crate) fn first_report(rank: usize, ranks: usize) -> EngineReport {
    EngineReport {
        membership: Some(Membership {
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

/// All engines of a group that begins.
pub(crate) fn engines(ranks: usize) -> Vec<Engine> {
    let first: GroupMap = vec![(0..ranks).map(|rank| vec![rank]).collect()];
    (0..ranks)
        .map(|rank| Engine {
            report: first_report(rank, ranks),
            had: 0,
            prepared: Vec::new(),
            in_use: first.clone(),
        })
        .collect()
}

impl Engine {
    /// Takes an order as the engines' page says.
    pub(crate) fn take(&mut self, order: &EngineOrder, step: GroupStep) -> OrderResult {
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
        let is_taken = match &order.action {
            Action::Prepare { version, map } => {
                let fits = *version > self.had && self.report.armed.is_none();
                if fits {
                    self.had = *version;
                    self.report.prepared = Some(*version);
                    self.prepared = GroupMap::clone(map);
                }
                fits
            }
            Action::Arm { version, step: at } => {
                let fits = self.report.prepared == Some(*version)
                    && *at > step
                    && self.report.armed.is_none();
                if fits {
                    self.report.armed = Some((*version, *at));
                }
                fits
            }
            Action::Disarm { version } => {
                let fits = self.report.armed.is_some_and(|(armed, _)| armed == *version);
                if fits {
                    self.report.armed = None;
                }
                fits
            }
            Action::Hold { step: at } => {
                let fits = *at > step && self.report.held.is_none();
                if fits {
                    self.report.held = Some(*at);
                }
                fits
            }
            Action::Go { step: at } => {
                let fits = self.report.held == Some(*at);
                if fits {
                    self.report.held = None;
                }
                fits
            }
        };
        if is_taken { OrderResult::Accepted } else { OrderResult::Refused }
    }

    pub(crate) fn begin(&mut self, step: GroupStep) {
        self.report.step = step;
        if let Some((version, at)) = self.report.armed.filter(|(_, at)| *at == step) {
            debug_assert_eq!(at, step);
            self.report.map = version;
            self.report.armed = None;
            self.in_use = self.prepared.clone();
        }
    }
}
