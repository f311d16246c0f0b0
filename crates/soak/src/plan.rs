//! Which faults strike when: a function of the seed and the fleet's size.

use std::time::Duration;

use lynxmount_standin::CrashKind;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as};

/// The mean pause between two faults: shorter than most faults last, so that
/// they overlap.
const MEAN_PAUSE_MS: u64 = 350;

/// How long a fault lasts, in milliseconds: beyond the timeouts of connections and
/// reads at the long end.
const LENGTH_MS: std::ops::Range<u64> = 200..3500;

/// How far apart the steps of a series are, in milliseconds.
const SERIES_STEP_MS: std::ops::Range<u64> = 60..400;

/// Of so many faults one begins a series of the same kind.
const SERIES_ONE_OF: u32 = 5;

/// The mean pause between two endpoints that ask for something.
const ADVICE_PAUSE_MS: u64 = 1500;

/// Of so many times one is for all endpoints of a service at once.
const WHOLE_SERVICE_ONE_OF: u32 = 5;

/// The shortest pause before an endpoint asks for something else.
const ADVICE_GAP: Duration = Duration::from_secs(1);

/// How long an endpoint asks for something, in milliseconds: long enough for several windows.
const ADVICE_LENGTH_MS: std::ops::Range<u64> = 5000..12_000;

/// The rest that endpoints ask for, in milliseconds.
const REST_MS: std::ops::Range<u64> = 1000..6000;

/// Limits of endpoints, in requests in ten seconds.
const LIMIT_IN_TEN_S: std::ops::Range<u32> = 5..60;

/// The mean pause between two standstills.
const STANDSTILL_PAUSE_MS: u64 = 3000;

/// Of so many standstills one blocks all endpoints of streams.
const BLOCKED_GROUP_ONE_OF: u32 = 3;

/// Of so many standstills one is long.
const LONG_STANDSTILL_ONE_OF: u32 = 4;

/// How long such a one lasts, in milliseconds: beyond the patience of all callers.
const LONG_STANDSTILL_MS: std::ops::Range<u64> = 4000..9000;

/// Tells the draw of standstills apart from the others of a seed.
const STANDSTILL_SEED: u64 = 0x5354_414e_4453_5449;

/// The mean pause between two poison requests, and how long one is repeated, in milliseconds.
const POISON_PAUSE_MS: u64 = 4000;
const POISON_LENGTH_MS: std::ops::Range<u64> = 2000..5000;

/// How much later than the rest of a crashed process its listener closes, in milliseconds.
const LATE_LISTENER_MS: [u64; 4] = [1, 20, 100, 500];

/// How much earlier it closes, in milliseconds.
const EARLY_LISTENER_MS: std::ops::Range<u64> = 1..100;

/// Tells the draw of poison requests apart from the others of a seed.
const POISON_SEED: u64 = 0x504f_4953_4f4e;

/// How many processes and back ends there are.
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
    /// The process beside a rank.
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

/// What a link does wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum LinkFault {
    /// Bytes towards the listening side are lost.
    CutForth,
    /// Bytes back to the connecting side are lost.
    CutBack,
    /// Bytes are delayed by some milliseconds.
    Delay(u64),
    /// Connections are reset at once.
    Reset,
    /// Nothing passes, and connections stay.
    Silence,
}

/// What an endpoint does wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum EndpointFault {
    /// A second answer follows each.
    AnswerTwice,
    /// It fails.
    Fail,
    /// It never answers.
    Hang,
    /// It closes the connection without an answer.
    Reset,
    /// It runs nothing, and says so.
    Shed,
    /// Its answers break off.
    Truncate,
}

/// What an endpoint asks of entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum EndpointAdvice {
    /// To be sent nothing more, as it leaves; it starts again later.
    Leave,
    /// So many requests in ten seconds, from all entries together.
    Limit(u32),
    /// So many milliseconds of rest, with each call, which it refuses.
    Rest(u64),
}

/// What happens.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum FaultKind {
    /// An endpoint asks something of entries.
    Advise(usize, EndpointAdvice),
    /// The endpoints of streams stand still as a group, perhaps since one of them is frozen.
    BlockGroup {
        /// The frozen one, counted over all services.
        frozen: Option<usize>,
    },
    /// A newer configuration withdraws a key and adds another.
    ChangeConfig,
    /// Other experts are in demand.
    ChangeDemand,
    /// The store drops all but the newest records.
    CompactStore,
    /// An endpoint's machine freezes, and wakes later.
    Freeze(usize),
    /// An endpoint tells that it leaves, and comes back later.
    Leave(usize),
    /// A link harms what passes.
    Link(LinkId, LinkFault),
    /// One of so many orders to engines takes effect without an answer.
    LoseOrders(u64),
    /// A request is repeated at all entries under which endpoints of a service crash.
    Poison {
        /// The service, in the order of the routes.
        service: usize,
        /// How they crash.
        crash: CrashKind,
    },
    /// An endpoint answers badly.
    Misbehave(usize, EndpointFault),
    /// A process is killed and started again.
    Kill(ProcessId),
    /// A process is stopped by a signal, and goes on later.
    Pause(ProcessId),
    /// The store answers 503.
    StoreBusy,
    /// The store does not answer.
    StoreSilent,
    /// A process is asked to leave and is started again.
    Terminate(ProcessId),
    /// A process is told that its settings have changed.
    Hangup(ProcessId),
}

/// A fault with its time.
#[serde_as]
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Fault {
    /// When it begins, from the start of traffic.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub at: Duration,
    /// How long it lasts, for what lasts.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub length: Duration,
    /// What happens.
    pub kind: FaultKind,
}

/// Draws all faults of a run, in the order of their beginnings.
pub fn draw(seed: u64, size: Size, time: Duration) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < time {
        let kind = draw_kind(&mut rng, size);
        let is_series = rng.random_ratio(1, SERIES_ONE_OF);
        let count = if is_series { rng.random_range(2..5) } else { 1 };
        let mut begin = at;
        for _ in 0..count {
            let length = Duration::from_millis(rng.random_range(LENGTH_MS));
            faults.push(Fault { at: begin, length, kind });
            begin += Duration::from_millis(rng.random_range(SERIES_STEP_MS));
        }
        at += Duration::from_millis(rng.random_range(0..2 * MEAN_PAUSE_MS));
    }
    faults.extend(draw_advice(seed, size, time));
    faults.extend(draw_standstills(seed, size, time));
    faults.extend(draw_poisons(seed, time));
    faults.retain(|fault| fault.at < time);
    faults.sort_by_key(|fault| fault.at);
    faults
}

/// Draws what endpoints ask of entries, apart from the faults, which stay as they are then.
fn draw_advice(seed: u64, size: Size, time: Duration) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(!seed);
    let mut advice = Vec::new();
    let mut over_at = vec![Duration::ZERO; 3 * size.endpoints];
    let mut at = Duration::from_millis(rng.random_range(0..ADVICE_PAUSE_MS));
    while at < time {
        let first = rng.random_range(0..3 * size.endpoints);
        let asked = match rng.random_range(0..3) {
            0 => EndpointAdvice::Leave,
            1 => EndpointAdvice::Limit(rng.random_range(LIMIT_IN_TEN_S)),
            _ => EndpointAdvice::Rest(rng.random_range(REST_MS)),
        };
        let length = Duration::from_millis(rng.random_range(ADVICE_LENGTH_MS));
        let is_for_all = rng.random_ratio(1, WHOLE_SERVICE_ONE_OF);
        let service = first - first % size.endpoints;
        let endpoints = match is_for_all {
            true => service..service + size.endpoints,
            false => first..first + 1,
        };
        for endpoint in endpoints {
            // An endpoint asks for one thing at a time.
            if over_at[endpoint] <= at {
                over_at[endpoint] = at + length + ADVICE_GAP;
                advice.push(Fault { at, length, kind: FaultKind::Advise(endpoint, asked) });
            }
        }
        at += Duration::from_millis(rng.random_range(0..2 * ADVICE_PAUSE_MS));
    }
    advice
}

/// Draws which endpoints stand still, apart from the other faults, which stay as they are then.
fn draw_standstills(seed: u64, size: Size, time: Duration) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ STANDSTILL_SEED);
    let mut standstills = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(0..STANDSTILL_PAUSE_MS));
    while at < time {
        let kind = match rng.random_ratio(1, BLOCKED_GROUP_ONE_OF) {
            true => FaultKind::BlockGroup { frozen: draw_frozen_rank(&mut rng, size) },
            false => FaultKind::Freeze(rng.random_range(0..3 * size.endpoints)),
        };
        let length_ms = match rng.random_ratio(1, LONG_STANDSTILL_ONE_OF) {
            true => LONG_STANDSTILL_MS,
            false => LENGTH_MS,
        };
        let length = Duration::from_millis(rng.random_range(length_ms));
        standstills.push(Fault { at, length, kind });
        at += Duration::from_millis(rng.random_range(0..2 * STANDSTILL_PAUSE_MS));
    }
    standstills
}

/// Draws poison requests, one at a time, apart from the other faults, which stay as they are then.
fn draw_poisons(seed: u64, time: Duration) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ POISON_SEED);
    let mut poisons = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(0..POISON_PAUSE_MS));
    while at < time {
        let service = rng.random_range(0..3);
        let kind = FaultKind::Poison { service, crash: draw_crash(&mut rng) };
        let length = Duration::from_millis(rng.random_range(POISON_LENGTH_MS));
        poisons.push(Fault { at, length, kind });
        at += length + Duration::from_millis(rng.random_range(0..2 * POISON_PAUSE_MS));
    }
    poisons
}

fn draw_crash(rng: &mut SmallRng) -> CrashKind {
    let millis = Duration::from_millis;
    match rng.random_range(0..5) {
        0 => CrashKind::AllAtOnce,
        1 => CrashKind::ListenerFirst {
            connections_after: millis(rng.random_range(EARLY_LISTENER_MS)),
        },
        2 | 3 => {
            let late_ms = LATE_LISTENER_MS.choose(rng).expect("not empty");
            CrashKind::ListenerLast { listener_after: millis(*late_ms) }
        }
        _ => CrashKind::Restarted,
    }
}

fn draw_frozen_rank(rng: &mut SmallRng, size: Size) -> Option<usize> {
    let rank = 2 * size.endpoints + rng.random_range(0..size.endpoints);
    rng.random_bool(0.5).then_some(rank)
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
