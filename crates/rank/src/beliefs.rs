//! What a listening process believes of the ranks of its group.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use lynxmount_core::experts::{EngineReport, GroupEpoch, GroupStep, MapVersion, Membership};

use crate::{
    demand::Demand,
    message::{DemandSample, RankState},
};

/// How old a rank's state may be to be acted on: five periods of reports.
const FRESH: Duration = Duration::from_millis(1000);

/// A state and when it came.
struct Heard {
    report: EngineReport,
    /// When the state was read.
    at: Instant,
    /// When the process beside the engine told it; `None` if it never did.
    told_at: Option<Instant>,
}

impl Heard {
    /// Says whether the state may be acted on.
    fn is_fresh(&self) -> bool {
        self.at.elapsed() <= FRESH
    }
}

/// The last state of each rank, by its engine's address.
pub(crate) struct Beliefs {
    /// The own engine, whose group counts.
    own: SocketAddr,
    heard: BTreeMap<SocketAddr, Heard>,
    demand: Demand,
}

/// How far a group has come.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    pub(crate) epoch: GroupEpoch,
    pub(crate) step: GroupStep,
    /// Whether any rank runs something, or holds the group.
    pub(crate) is_working: bool,
}

/// All ranks of a group in one life, in order.
pub(crate) struct Group {
    pub(crate) epoch: GroupEpoch,
    pub(crate) engines: Vec<SocketAddr>,
    pub(crate) reports: Vec<EngineReport>,
}

impl Beliefs {
    pub(crate) fn new(own: SocketAddr, demand: Demand) -> Beliefs {
        Beliefs { own, heard: BTreeMap::new(), demand }
    }

    /// Takes what a process has told. What other groups are asked for is not what
    /// the own one is.
    pub(crate) fn hear(&mut self, state: RankState) {
        let now = Instant::now();
        let RankState { engine, report } = state;
        if let (true, Some(own)) = (engine == self.own, &report.membership) {
            self.demand.begin(&(own.group.clone(), own.epoch));
        }
        self.heard.insert(engine, Heard { report, at: now, told_at: Some(now) });
    }

    /// Takes what was chosen at a rank.
    pub(crate) fn hear_demand(&mut self, sample: &DemandSample) {
        self.demand.take(sample, Instant::now());
    }

    /// Which rank of which group the own engine is, as it has told last.
    pub(crate) fn own_membership(&self) -> Option<Membership> {
        self.heard.get(&self.own)?.report.membership.clone()
    }

    /// The last pass that the own engine has begun, and whether the group should begin the next.
    pub(crate) fn progress(&self) -> Option<Progress> {
        let own = self.heard.get(&self.own).filter(|heard| heard.is_fresh())?;
        let group = own.report.membership.as_ref()?;
        let is_of_group = |heard: &&Heard| {
            let membership = heard.report.membership.as_ref();
            membership.is_some_and(|m| m.group == group.group && m.epoch == group.epoch)
        };
        let ranks: Vec<&Heard> = self.heard.values().filter(is_of_group).collect();
        let step = ranks.iter().map(|heard| heard.report.step).max().unwrap_or_default();
        let is_working = ranks.iter().any(|heard| {
            let EngineReport { running, waiting, held, .. } = &heard.report;
            // A hold does not expire, however old its report is.
            held.is_some_and(|held| held > step) || heard.is_fresh() && running + waiting > 0
        });
        Some(Progress { epoch: group.epoch, step, is_working })
    }

    /// Says whether nothing is known that keeps the own group from its next pass: all ranks were
    /// heard lately, and none holds it.
    pub(crate) fn may_begin_pass(&self) -> bool {
        let group = self.group_of(self.own);
        group.is_some_and(|group| group.reports.iter().all(|report| report.held.is_none()))
    }

    /// Demand by set and expert; `None` before anything was seen.
    pub(crate) fn demand(&self, experts: usize) -> Option<Vec<Vec<f64>>> {
        self.demand.by_set(experts)
    }

    /// Takes what an engine has told with an answer.
    pub(crate) fn note_report(&mut self, engine: SocketAddr, report: EngineReport) {
        if let Some(heard) = self.heard.get_mut(&engine) {
            heard.report = report;
        }
    }

    /// Takes what was read from an engine whose process is silent.
    pub(crate) fn note_reading(&mut self, engine: SocketAddr, report: EngineReport) {
        let told_at = self.heard.get(&engine).and_then(|heard| heard.told_at);
        self.heard.insert(engine, Heard { report, at: Instant::now(), told_at });
    }

    /// When an engine's process told its state last; `None` if it never did.
    pub(crate) fn told_ago(&self, engine: SocketAddr) -> Option<Duration> {
        self.heard.get(&engine)?.told_at.map(|at| at.elapsed())
    }

    /// What an engine told last.
    pub(crate) fn last_report(&self, engine: SocketAddr) -> Option<EngineReport> {
        self.heard.get(&engine).map(|heard| heard.report.clone())
    }

    /// The group of an engine, if all its ranks were heard lately and are in the
    /// same life of it.
    pub(crate) fn group_of(&self, engine: SocketAddr) -> Option<Group> {
        let own = self.heard.get(&engine)?.report.membership.clone()?;
        if !own.is_open {
            return None;
        }
        let mut by_rank: Vec<Option<(SocketAddr, &EngineReport)>> = vec![None; own.ranks];
        for (engine, heard) in self.heard.iter().filter(|(_, heard)| heard.is_fresh()) {
            let membership = heard.report.membership.as_ref();
            let same = membership.filter(|m| m.epoch == own.epoch && m.group == own.group);
            if let Some(place) = same.and_then(|m| by_rank.get_mut(m.rank)) {
                *place = Some((*engine, &heard.report));
            }
        }
        let ranks: Vec<(SocketAddr, &EngineReport)> = by_rank.into_iter().collect::<Option<_>>()?;
        let engines = ranks.iter().map(|(engine, _)| *engine).collect();
        let reports = ranks.into_iter().map(|(_, report)| report.clone()).collect();
        Some(Group { epoch: own.epoch, engines, reports })
    }
}

impl Group {
    /// The number of the map in use, if all ranks tell the same.
    pub(crate) fn map_version(&self) -> Option<MapVersion> {
        let version = self.reports.first()?.map;
        self.reports.iter().all(|report| report.map == version).then_some(version)
    }
}
