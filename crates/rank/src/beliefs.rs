//! What a listening process believes of the ranks of its group.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use lynxmount_core::experts::{
    EngineReport, GroupEpoch, GroupMap, GroupStep, MapVersion, Membership,
};

use crate::{demand::Demand, message::RankState};

/// How old a rank's state may be to be acted on: five periods of reports.
const FRESH: Duration = Duration::from_millis(1000);

/// A state and when it came.
struct Heard {
    state: RankState,
    /// When the state was read.
    at: Instant,
    /// When the process beside the engine told it.
    told_at: Instant,
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
    pub(crate) is_working: bool,
}

/// All ranks of a group in one life, in order.
pub(crate) struct Group {
    pub(crate) epoch: GroupEpoch,
    pub(crate) engines: Vec<SocketAddr>,
    pub(crate) states: Vec<RankState>,
}

impl Beliefs {
    pub(crate) fn new(own: SocketAddr, demand: Demand) -> Beliefs {
        Beliefs { own, heard: BTreeMap::new(), demand }
    }

    /// Takes what a process has told. What other groups are asked for is not what
    /// the own one is.
    pub(crate) fn hear(&mut self, state: RankState) {
        let now = Instant::now();
        let life = state.report.membership.as_ref().map(|m| (m.group.clone(), m.epoch));
        if let (true, Some(life)) = (state.engine == self.own, &life) {
            self.demand.begin(life);
        }
        self.demand.take(&state, life.as_ref(), now);
        self.heard.insert(state.engine, Heard { state, at: now, told_at: now });
    }

    /// Which rank of which group the own engine is, as it has told last.
    pub(crate) fn own_membership(&self) -> Option<Membership> {
        self.heard.get(&self.own)?.state.report.membership.clone()
    }

    /// The last pass that the own engine has begun, and whether any rank of its group
    /// runs something.
    pub(crate) fn progress(&self) -> Option<Progress> {
        let own = &self.heard.get(&self.own)?.state.report;
        let group = own.membership.as_ref()?;
        let is_of_group = |report: &&EngineReport| {
            report.membership.as_ref().is_some_and(|m| m.group == group.group)
        };
        let mut reports = self.heard.values().map(|heard| &heard.state.report).filter(is_of_group);
        let is_working = reports.any(|report| report.running > 0);
        Some(Progress { epoch: group.epoch, step: own.step, is_working })
    }

    /// Demand by set and expert; `None` before anything was seen.
    pub(crate) fn demand(&self, experts: usize) -> Option<Vec<Vec<f64>>> {
        self.demand.by_set(experts)
    }

    /// Takes what an engine has told with an answer.
    pub(crate) fn note_report(&mut self, engine: SocketAddr, report: EngineReport) {
        if let Some(heard) = self.heard.get_mut(&engine) {
            heard.state.report = report;
        }
    }

    /// Takes what was read from an engine whose process is silent. Its map is the
    /// one that it held before, if it still has that one.
    pub(crate) fn note_reading(&mut self, engine: SocketAddr, report: EngineReport) {
        if let Some(heard) = self.heard.get_mut(&engine) {
            heard.state.report = report;
            heard.at = Instant::now();
        }
    }

    /// When an engine's process told its state last.
    pub(crate) fn told_ago(&self, engine: SocketAddr) -> Option<Duration> {
        self.heard.get(&engine).map(|heard| heard.told_at.elapsed())
    }

    /// What an engine told last.
    pub(crate) fn last_report(&self, engine: SocketAddr) -> Option<EngineReport> {
        self.heard.get(&engine).map(|heard| heard.state.report.clone())
    }

    /// The group of an engine, if all its ranks were heard lately and are in the
    /// same life of it.
    pub(crate) fn group_of(&self, engine: SocketAddr) -> Option<Group> {
        let own = self.heard.get(&engine)?.state.report.membership.clone()?;
        let mut by_rank: Vec<Option<&RankState>> = vec![None; own.ranks];
        for heard in self.heard.values().filter(|heard| heard.at.elapsed() <= FRESH) {
            let membership = heard.state.report.membership.as_ref();
            let same = membership.filter(|m| m.group == own.group && m.epoch == own.epoch);
            if let Some(place) = same.and_then(|m| by_rank.get_mut(m.rank)) {
                *place = Some(&heard.state);
            }
        }
        let states: Option<Vec<RankState>> = by_rank.into_iter().map(|s| s.cloned()).collect();
        let states = states.filter(|_| own.is_open)?;
        let engines = states.iter().map(|state| state.engine).collect();
        Some(Group { epoch: own.epoch, engines, states })
    }
}

impl Group {
    pub(crate) fn reports(&self) -> Vec<EngineReport> {
        self.states.iter().map(|state| state.report.clone()).collect()
    }

    /// The number of the map in use, as the first rank tells it.
    pub(crate) fn map_version(&self) -> MapVersion {
        self.states.first().map_or(0, |state| state.report.map)
    }

    /// The map in use, if all ranks tell the same version of it.
    pub(crate) fn map(&self) -> Option<GroupMap> {
        let version = self.states.first()?.report.map;
        let is_one = self
            .states
            .iter()
            .all(|state| state.report.map == version && state.held.version == version);
        let sets = self.states.first()?.held.experts.len();
        let by_set = (0..sets).map(|set| {
            let of_rank = |state: &RankState| state.held.experts.get(set).cloned();
            self.states.iter().map(of_rank).collect::<Option<Vec<_>>>()
        });
        by_set.collect::<Option<GroupMap>>().filter(|_| is_one)
    }
}
