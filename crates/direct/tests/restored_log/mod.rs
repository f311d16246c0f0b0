//! A model of the platform's store in virtual time, whose log of configurations is restored from
//! older copies.

use std::{net::SocketAddr, time::Duration};

use lynxmount_core::{
    CallerLimits, ConfigVersion, EndpointList, Evidence, EvidenceKey, FleetConfig, LogEra,
    LogPosition, LogRead, PeerRegistration, ProcessId, ReceivedEvidence, Result, Step,
    adapter::FleetSource, indeterminate,
};
use parking_lot::Mutex;
use tokio::time::Instant;

/// Response time of the store.
const RESPONSE_TIME: Duration = Duration::from_millis(4);

/// What happens to the store.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    /// It stops or starts responding; requests in progress are lost.
    SetAvailable(bool),
    /// The operator writes a configuration.
    Write(ConfigVersion),
    /// A record with another key is written.
    WriteOther,
    /// The store is restored from a copy as of a time.
    Restore { as_of: Duration },
}

/// A store to which events happen at set times.
pub(crate) struct RestoredLog {
    created_at: Instant,
    events: Vec<(Duration, Event)>,
    reads: Mutex<Vec<Duration>>,
}

/// The state at one time.
#[derive(Default)]
struct State {
    era: LogEra,
    records: Vec<Option<ConfigVersion>>,
    is_available: bool,
    /// When requests in progress were lost last.
    lost_at: Option<Duration>,
}

impl RestoredLog {
    /// Events are in the order of their times.
    pub(crate) fn new(events: Vec<(Duration, Event)>) -> RestoredLog {
        RestoredLog { created_at: Instant::now(), events, reads: Mutex::default() }
    }

    pub(crate) fn now(&self) -> Duration {
        self.created_at.elapsed()
    }

    /// Number of reads that arrived within a time span.
    pub(crate) fn reads_within(&self, from: Duration, to: Duration) -> usize {
        self.reads.lock().iter().filter(|at| (from..to).contains(at)).count()
    }

    fn state_at(&self, at: Duration) -> State {
        let mut state = State { is_available: true, ..State::default() };
        for (index, (happened_at, event)) in self.events.iter().enumerate() {
            if *happened_at > at {
                break;
            }
            match *event {
                Event::SetAvailable(is_available) => {
                    state.is_available = is_available;
                    state.lost_at = Some(*happened_at);
                }
                Event::Write(version) => state.records.push(Some(version)),
                Event::WriteOther => state.records.push(None),
                Event::Restore { as_of } => {
                    let era = state.era + 1;
                    let copy = RestoredLog::new(self.events[..index].to_vec()).state_at(as_of);
                    state = State { era, records: copy.records, ..state };
                }
            }
        }
        state
    }

    /// Responds to a request, or not at all if the store is away meanwhile.
    async fn respond(&self, arrived_at: Duration) -> State {
        tokio::time::sleep(RESPONSE_TIME).await;
        let state = self.state_at(self.now());
        let is_lost = !self.state_at(arrived_at).is_available
            || !state.is_available
            || state.lost_at.is_some_and(|at| at > arrived_at);
        match is_lost {
            true => std::future::pending().await,
            false => state,
        }
    }

    /// Waits until the log does not end at a position, or for a time.
    async fn wait_for_record(&self, from: LogPosition, until: Duration) {
        while self.state_at(self.now()).end().offset == from.offset && self.now() < until {
            let later = self.events.iter().map(|(at, _)| *at).find(|at| *at > self.now());
            let next = later.map_or(until, |at| at.min(until));
            tokio::time::sleep_until(self.created_at + next).await;
        }
    }

    async fn read_latest(&self) -> LogRead<Option<FleetConfig>> {
        let arrived_at = self.now();
        self.reads.lock().push(arrived_at);
        let state = self.respond(arrived_at).await;
        let newest = state.records.iter().rev().find_map(|version| *version);
        LogRead { next: state.end(), is_complete: true, value: newest.map(config) }
    }
}

impl State {
    fn end(&self) -> LogPosition {
        LogPosition { era: self.era, offset: self.records.len() as u64 }
    }
}

impl FleetSource for RestoredLog {
    async fn config_from(
        &self,
        from: Option<LogPosition>,
        wait: Duration,
    ) -> Result<LogRead<Option<FleetConfig>>> {
        let Some(from) = from else { return Ok(self.read_latest().await) };
        let arrived_at = self.now();
        self.reads.lock().push(arrived_at);
        self.wait_for_record(from, arrived_at + wait).await;
        let state = self.respond(arrived_at).await;
        if state.era < from.era {
            return Err(indeterminate(Step::ReadLog, "the store", "response of an earlier era"));
        }
        if state.era > from.era || state.end().offset < from.offset {
            return Ok(self.read_latest().await);
        }
        let new = &state.records[from.offset as usize..];
        let newest = new.iter().filter_map(|version| *version).max();
        Ok(LogRead { next: state.end(), is_complete: false, value: newest.map(config) })
    }

    async fn refresh_endpoints(&self, _: &EndpointList) -> Result<EndpointList> {
        unimplemented!("only configurations are read")
    }

    async fn register_peer(&self, _: &str, _: SocketAddr) -> Result<()> {
        unimplemented!("only configurations are read")
    }

    async fn peers(&self) -> Result<(LogPosition, Vec<PeerRegistration>)> {
        unimplemented!("only configurations are read")
    }

    async fn publish_crash_reports(&self, _: &ProcessId, _: &[Evidence]) -> Result<()> {
        unimplemented!("only configurations are read")
    }

    async fn retract_crash_reports(&self, _: &[(ProcessId, EvidenceKey)]) -> Result<()> {
        unimplemented!("only configurations are read")
    }

    async fn crash_reports_from(
        &self,
        _: Option<LogPosition>,
        _: Duration,
    ) -> Result<LogRead<Vec<ReceivedEvidence>>> {
        unimplemented!("only configurations are read")
    }
}

fn config(version: ConfigVersion) -> FleetConfig {
    let limits = CallerLimits {
        head_bytes: 16_384,
        body_bytes: 65_536,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    FleetConfig { version, routes: Vec::new(), services: Vec::new(), teams: Vec::new(), limits }
}
