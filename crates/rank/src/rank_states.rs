//! The last known state of each rank of the own group, as a leader candidate keeps it.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use lynxmount_core::experts::{EngineReport, GroupEpoch, GroupMembership, GroupStep, MapVersion};
use lynxmount_group::RankNumber;
use lynxmount_policy::{planned_slowdown, slow_ranks};

use crate::{
    demand::Demand,
    message::{DemandSample, RankState},
};

/// The age up to which a state may be acted on: ten report periods of the ranks that report
/// most often, three of the others.
const MAX_STATE_AGE: Duration = Duration::from_millis(1000);

/// The last state of a rank.
struct RankEntry {
    report: EngineReport,
    /// When the state came in.
    updated_at: Instant,
    /// When the engine's process last reported; `None` if it never did.
    reported_at: Option<Instant>,
}

impl RankEntry {
    /// Whether the state may be acted on.
    fn is_fresh(&self) -> bool {
        self.updated_at.elapsed() <= MAX_STATE_AGE
    }
}

/// The last state of each rank, by its engine's address.
pub(crate) struct RankStates {
    own_engine: SocketAddr,
    entries: BTreeMap<SocketAddr, RankEntry>,
    demand: Demand,
}

/// How far a group has come. Each step is one pass of all ranks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    pub(crate) epoch: GroupEpoch,
    pub(crate) step: GroupStep,
    /// Whether any rank has requests or holds the group.
    pub(crate) is_working: bool,
}

/// The states of all ranks of a group in one epoch, by rank.
pub(crate) struct GroupSnapshot {
    pub(crate) epoch: GroupEpoch,
    pub(crate) engines: Vec<SocketAddr>,
    pub(crate) reports: Vec<EngineReport>,
}

/// The largest number of engines whose state is kept, far more than a group has ranks.
const MAX_ENTRIES: usize = 4096;

impl RankStates {
    pub(crate) fn new(own_engine: SocketAddr, demand: Demand) -> RankStates {
        RankStates { own_engine, entries: BTreeMap::new(), demand }
    }

    /// Records the report of a process. Only the own engine's report sets the incarnation
    /// whose demand counts. Returns whether there was room for it.
    pub(crate) fn on_report(&mut self, state: RankState) -> bool {
        let now = Instant::now();
        let RankState { engine, report } = state;
        if let (true, Some(own)) = (engine == self.own_engine, &report.membership) {
            self.demand.set_incarnation(&(own.group.clone(), own.epoch));
        }
        if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&engine) {
            self.entries.retain(|engine, entry| *engine == self.own_engine || entry.is_fresh());
            if self.entries.len() >= MAX_ENTRIES {
                return false;
            }
        }
        self.entries.insert(engine, RankEntry { report, updated_at: now, reported_at: Some(now) });
        true
    }

    pub(crate) fn on_demand_sample(&mut self, sample: &DemandSample) {
        self.demand.add_sample(sample, Instant::now());
    }

    /// The own engine's rank and group, from its last report.
    pub(crate) fn own_membership(&self) -> Option<GroupMembership> {
        self.entries.get(&self.own_engine)?.report.membership.clone()
    }

    /// The last step that a rank of the own group has begun, and whether the group is expected
    /// to begin the next one; `None` if the own engine's state is stale.
    pub(crate) fn progress(&self) -> Option<Progress> {
        let own = self.entries.get(&self.own_engine).filter(|entry| entry.is_fresh())?;
        let group = own.report.membership.as_ref()?;
        let is_of_group = |entry: &&RankEntry| {
            let membership = entry.report.membership.as_ref();
            membership.is_some_and(|m| m.group == group.group && m.epoch == group.epoch)
        };
        let ranks: Vec<&RankEntry> = self.entries.values().filter(is_of_group).collect();
        let step = ranks.iter().map(|entry| entry.report.step).max().unwrap_or_default();
        let is_working = ranks.iter().any(|entry| {
            let EngineReport { running, waiting, held, .. } = &entry.report;
            // A hold does not expire, however old its report is.
            held.is_some_and(|held| held > step) || entry.is_fresh() && running + waiting > 0
        });
        Some(Progress { epoch: group.epoch, step, is_working })
    }

    /// Whether the own group is known to be free to begin its next step: the state of every
    /// rank is fresh, and none holds the group.
    pub(crate) fn may_begin_step(&self) -> bool {
        let group = self.snapshot(self.own_engine);
        group.is_some_and(|group| group.reports.iter().all(|report| report.held.is_none()))
    }

    /// The ranks of the own group without a fresh state; none while it is not open.
    pub(crate) fn missing_ranks(&self) -> Vec<RankNumber> {
        let Some(own) = self.own_membership().filter(|own| own.is_open) else { return Vec::new() };
        let fresh = self.entries.values().filter(|entry| entry.is_fresh());
        let memberships = fresh.filter_map(|entry| entry.report.membership.as_ref());
        let of_group = memberships.filter(|m| m.group == own.group && m.epoch == own.epoch);
        let known: BTreeSet<RankNumber> = of_group.map(|membership| membership.rank).collect();
        (0..own.ranks).filter(|rank| !known.contains(rank)).collect()
    }

    /// The engines of the own group's slow ranks.
    pub(crate) fn slow_engines(&self) -> Vec<SocketAddr> {
        let Some(group) = self.own_membership() else { return Vec::new() };
        let is_of_group = |entry: &RankEntry| {
            entry.report.membership.as_ref().is_some_and(|m| m.group == group.group)
        };
        let known = self.entries.iter().filter(|(_, entry)| entry.is_fresh() && is_of_group(entry));
        slow_ranks(known.map(|(engine, entry)| (*engine, entry.report.pace)), group.ranks)
    }

    /// Demand by set and expert; `None` without any.
    pub(crate) fn demand(&self, experts: usize) -> Option<Vec<Vec<f64>>> {
        self.demand.by_set(experts)
    }

    /// Records the state in an answer to an order. It does not count as fresher than the last
    /// report.
    pub(crate) fn on_answer(&mut self, engine: SocketAddr, report: EngineReport) {
        if let Some(entry) = self.entries.get_mut(&engine) {
            entry.report = report;
        }
    }

    /// Records a state read directly from an engine whose process is silent.
    pub(crate) fn on_direct_read(&mut self, engine: SocketAddr, report: EngineReport) {
        let reported_at = self.entries.get(&engine).and_then(|entry| entry.reported_at);
        self.entries.insert(engine, RankEntry { report, updated_at: Instant::now(), reported_at });
    }

    /// How long ago an engine's process last reported; `None` if it never did.
    pub(crate) fn report_age(&self, engine: SocketAddr) -> Option<Duration> {
        self.entries.get(&engine)?.reported_at.map(|at| at.elapsed())
    }

    pub(crate) fn last_report(&self, engine: SocketAddr) -> Option<EngineReport> {
        self.entries.get(&engine).map(|entry| entry.report.clone())
    }

    /// A snapshot of an engine's group; `None` unless the group is open and all ranks have a
    /// fresh state in the same epoch.
    pub(crate) fn snapshot(&self, engine: SocketAddr) -> Option<GroupSnapshot> {
        let own = self.entries.get(&engine)?.report.membership.clone()?;
        if !own.is_open {
            return None;
        }
        let mut by_rank: Vec<Option<(SocketAddr, &EngineReport)>> = vec![None; own.ranks];
        for (engine, entry) in self.entries.iter().filter(|(_, entry)| entry.is_fresh()) {
            let membership = entry.report.membership.as_ref();
            let same = membership.filter(|m| m.epoch == own.epoch && m.group == own.group);
            if let Some(slot) = same.and_then(|m| by_rank.get_mut(m.rank)) {
                *slot = Some((*engine, &entry.report));
            }
        }
        let ranks: Vec<(SocketAddr, &EngineReport)> = by_rank.into_iter().collect::<Option<_>>()?;
        let engines = ranks.iter().map(|(engine, _)| *engine).collect();
        let reports = ranks.into_iter().map(|(_, report)| report.clone()).collect();
        Some(GroupSnapshot { epoch: own.epoch, engines, reports })
    }
}

impl GroupSnapshot {
    /// The slowdown of each rank to plan with.
    pub(crate) fn slowdowns(&self) -> Vec<f64> {
        self.reports.iter().map(|report| planned_slowdown(report.pace)).collect()
    }

    /// The version of the map in use, if all ranks report the same one.
    pub(crate) fn map_version(&self) -> Option<MapVersion> {
        let version = self.reports.first()?.map;
        self.reports.iter().all(|report| report.map == version).then_some(version)
    }
}
