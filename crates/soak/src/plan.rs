//! Draws the schedule of faults as a function of the seed and the fleet's size.

use std::time::Duration;

use lynxmount_platform_standin::TopicSilence;
use lynxmount_standin::CrashKind;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{
    crowds::{CrowdKind, draw_crowds},
    drain_faults::draw_drains,
    independent_faults::draw_independent_faults,
    share_faults::draw_share_faults,
};

/// The mean gap between two faults: shorter than most faults last, so that they overlap.
const MEAN_GAP_MS: u64 = 350;

/// The duration of a fault, in milliseconds: the longest exceed the timeouts of connections and
/// reads.
pub(crate) const LENGTH_MS: std::ops::Range<u64> = 200..3500;

/// The gap between two faults of a series, in milliseconds.
const SERIES_STEP_MS: std::ops::Range<u64> = 60..400;

/// One of this many faults starts a series of the same kind.
const SERIES_ONE_OF: u32 = 5;

/// The numbers of processes and back ends of a fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Size {
    /// Entries.
    pub entries: usize,
    /// Ranks of the group, each with an endpoint process.
    pub ranks: usize,
    /// Endpoints of each route's service.
    pub endpoints: usize,
}

/// A process, as an index among those of its kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum ProcessId {
    /// The endpoint process of a rank.
    Endpoint(usize),
    /// An entry.
    Entry(usize),
}

/// A link with a proxy on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum LinkId {
    /// From callers to an entry.
    Callers(usize),
    /// From all entries to an endpoint, counted over all services.
    Endpoint(usize),
    /// From a process to the store.
    Store(ProcessId),
}

/// A fault of a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum LinkFault {
    /// Bytes to the listening side are withheld until the fault ends.
    CutForth,
    /// Bytes to the connecting side are withheld until the fault ends.
    CutBack,
    /// Bytes are delayed by this many milliseconds.
    Delay(u64),
    /// Connections are reset at once.
    Reset,
    /// Bytes are withheld in both directions; connections stay open.
    Silence,
}

/// A fault of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum EndpointFault {
    /// It sends each response twice.
    AnswerTwice,
    /// It responds with an error.
    Fail,
    /// It never responds.
    Hang,
    /// It closes the connection without a response.
    Reset,
    /// It executes nothing and reports that.
    Shed,
    /// Its responses are truncated.
    Truncate,
}

/// A kind of backpressure that an endpoint applies to entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum BackpressureKind {
    /// The leaving signal: it gets no new requests; it restarts later.
    Leave,
    /// A rate limit in requests per ten seconds, over all entries.
    Limit(u32),
    /// A retry-after time in milliseconds; it sheds every request.
    Rest(u64),
}

/// What is written again after the store came back from a copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum Rewrite {
    /// All lost records in their order.
    All,
    /// The newest lost record of each key.
    Newest,
    /// The same, after this many records with other keys.
    NewestAfterOthers(u64),
}

/// A return of the store from a copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct RestoreFault {
    /// Age of the copy when the store goes away, in milliseconds.
    pub copy_age_ms: u64,
    /// Whether it responds with status 503 while it is away; otherwise, it does not respond.
    pub is_busy: bool,
    /// What operators and endpoints write again.
    pub rewrite: Rewrite,
    /// How long after its return they do, in milliseconds.
    pub rewrite_delay_ms: u64,
}

/// An outage of the store in which registrations expire.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct ExpiryFault {
    /// Whether it responds with status 503 while it is away; otherwise, it does not respond.
    pub is_busy: bool,
    /// How long after its return endpoints register again, in milliseconds.
    pub register_delay_ms: u64,
}

/// What of the endpoints of streams is paused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum Paused {
    /// All of them.
    AllStreams,
    /// One endpoint.
    Endpoint(usize),
    /// The newest stream of an endpoint.
    Stream(usize),
}

/// The kind of a fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum FaultKind {
    /// An endpoint applies backpressure.
    Advise(usize, BackpressureKind),
    /// The endpoints of streams stall as a group, optionally because one of them is frozen.
    BlockGroup {
        /// The frozen endpoint, counted over all services.
        frozen: Option<usize>,
    },
    /// A newer configuration replaces an API key.
    ChangeConfig,
    /// Another expert becomes hot.
    ChangeDemand,
    /// The store drops all but the newest records.
    CompactStore,
    /// Clients that don't behave keep their connections to an entry.
    Crowd {
        /// The entry.
        entry: usize,
        /// Their number.
        clients: usize,
        /// What they send.
        crowd: CrowdKind,
    },
    /// An endpoint's machine freezes, and thaws later.
    Freeze(usize),
    /// The store is away, and all registrations have expired when it returns.
    ExpireRegistrations(ExpiryFault),
    /// An endpoint registers as draining, and as ready later.
    Leave(usize),
    /// A link has a fault.
    Link(LinkId, LinkFault),
    /// One of this many control requests to engines takes effect without a response.
    LoseOrders(u64),
    /// A poison request, which crashes endpoints of a service, is repeated at all entries.
    Poison {
        /// The service, in the order of the routes.
        service: usize,
        /// How they crash.
        crash: CrashKind,
    },
    /// An endpoint has a fault.
    Misbehave(usize, EndpointFault),
    /// A process is killed and restarted.
    Kill(ProcessId),
    /// A process is stopped by SIGSTOP, and continued later.
    Pause(ProcessId),
    /// Streams are paused at their endpoints.
    PauseStreams(Paused),
    /// The store responds with status 503.
    StoreBusy,
    /// The store does not respond.
    StoreSilent,
    /// The store is away and comes back from a copy.
    RestoreStore(RestoreFault),
    /// The store loses responses to reads of configurations, and only to these.
    SilenceConfigs(TopicSilence),
    /// A process gets SIGTERM and is restarted.
    Terminate(ProcessId),
    /// A process gets SIGHUP, which announces changed settings.
    Hangup(ProcessId),
}

/// A fault and its schedule.
#[serde_as]
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Fault {
    /// When it starts, counted from the start of traffic.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub at: Duration,
    /// The duration, for faults that have one.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub length: Duration,
    /// The kind.
    pub kind: FaultKind,
}

/// Draws all faults of a run, ordered by start time.
pub fn draw_faults(seed: u64, size: Size, time: Duration) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < time {
        let kind = draw_kind(&mut rng, size);
        let is_series = rng.random_ratio(1, SERIES_ONE_OF);
        let count = if is_series { rng.random_range(2..5) } else { 1 };
        let mut start = at;
        for _ in 0..count {
            let length = Duration::from_millis(rng.random_range(LENGTH_MS));
            faults.push(Fault { at: start, length, kind });
            start += Duration::from_millis(rng.random_range(SERIES_STEP_MS));
        }
        at += Duration::from_millis(rng.random_range(0..2 * MEAN_GAP_MS));
    }
    faults.extend(draw_independent_faults(seed, size, time));
    faults.extend(draw_drains(seed, size, time));
    faults.extend(draw_share_faults(seed, size, time));
    faults.extend(draw_crowds(seed, size, time));
    faults.retain(|fault| fault.at < time);
    faults.sort_by_key(|fault| fault.at);
    faults
}

fn draw_kind(rng: &mut SmallRng, size: Size) -> FaultKind {
    let endpoint = rng.random_range(0..3 * size.endpoints);
    match rng.random_range(0..14) {
        0 => FaultKind::ChangeConfig,
        1 => FaultKind::ChangeDemand,
        2 => FaultKind::CompactStore,
        3 => FaultKind::Leave(endpoint),
        4 | 5 => FaultKind::Link(draw_link(rng, size), draw_link_fault(rng)),
        6 => FaultKind::LoseOrders(rng.random_range(2..5)),
        7 | 8 => FaultKind::Misbehave(endpoint, draw_endpoint_fault(rng)),
        9 => FaultKind::Kill(draw_process(rng, size)),
        10 => FaultKind::Pause(draw_process(rng, size)),
        11 => *[FaultKind::StoreBusy, FaultKind::StoreSilent].choose(rng).expect("not empty"),
        12 => FaultKind::Terminate(draw_process(rng, size)),
        _ => FaultKind::Hangup(draw_process(rng, size)),
    }
}

fn draw_process(rng: &mut SmallRng, size: Size) -> ProcessId {
    match rng.random_bool(0.5) {
        true => ProcessId::Entry(rng.random_range(0..size.entries)),
        false => ProcessId::Endpoint(rng.random_range(0..size.ranks)),
    }
}

fn draw_link(rng: &mut SmallRng, size: Size) -> LinkId {
    match rng.random_range(0..3) {
        0 => LinkId::Callers(rng.random_range(0..size.entries)),
        1 => LinkId::Endpoint(rng.random_range(0..3 * size.endpoints)),
        _ => LinkId::Store(draw_process(rng, size)),
    }
}

fn draw_link_fault(rng: &mut SmallRng) -> LinkFault {
    match rng.random_range(0..5) {
        0 => LinkFault::CutForth,
        1 => LinkFault::CutBack,
        2 => LinkFault::Delay(rng.random_range(5..400)),
        3 => LinkFault::Reset,
        _ => LinkFault::Silence,
    }
}

fn draw_endpoint_fault(rng: &mut SmallRng) -> EndpointFault {
    match rng.random_range(0..6) {
        0 => EndpointFault::AnswerTwice,
        1 => EndpointFault::Fail,
        2 => EndpointFault::Hang,
        3 => EndpointFault::Reset,
        4 => EndpointFault::Shed,
        _ => EndpointFault::Truncate,
    }
}
