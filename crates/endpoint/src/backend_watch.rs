//! Watches the back end's load and life over a connection that is kept open.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use lynxmount_core::{Cause, EndpointIncarnation};
use lynxmount_link::{Connection, ProbeResult};
use lynxmount_node::NodeHandle;
use lynxmount_policy::{IncarnationTracker, ProcessVerdict};
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::backend::{Backend, Load};

/// How often the back end is asked for its load.
const LOAD_PERIOD: Duration = Duration::from_millis(500);

/// How soon a connection is opened again while a crash may still show.
const RETRY_PERIOD: Duration = Duration::from_millis(20);

/// Loads in a row that a back end leaves unanswered before it counts as silent: one may be
/// lost to a pause of this process.
const MAX_MISSED_LOADS: u32 = 2;

/// How long a call waits for the verdict on the back end.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(200);

/// What became of the back end after the connection of a call broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Verdict {
    /// It has answered since.
    Alive,
    /// It has crashed.
    Crashed(EndpointIncarnation),
    /// Nothing shows yet.
    Unknown,
}

/// A call whose connection broke.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Break {
    /// The life of the back end at that time.
    pub(crate) life: EndpointIncarnation,
    at: Duration,
}

/// How a kept connection came to its end.
enum KeptEnd {
    /// It broke after the back end had answered on it.
    Broken,
    /// An answer is late.
    Silent,
    /// The back end opens none, or keeps none.
    Unusable,
}

/// What is known of the back end.
pub(crate) struct BackendWatch {
    node: NodeHandle,
    backend: Backend,
    life: Mutex<IncarnationTracker>,
    is_up: AtomicBool,
    waiting: AtomicU32,
    /// Loads that the back end has left unanswered since its last sign of life.
    missed_loads: watch::Sender<u32>,
    /// Counts what was learned of the back end's life.
    observations: watch::Sender<u64>,
    /// The latest life that has ended.
    ended: watch::Sender<Option<EndpointIncarnation>>,
    /// Asks the back end without waiting for the next period.
    ask: Notify,
    changed: Notify,
}

impl BackendWatch {
    pub(crate) fn new(node: NodeHandle, backend: Backend) -> BackendWatch {
        BackendWatch {
            node,
            backend,
            life: Mutex::default(),
            is_up: AtomicBool::new(false),
            waiting: AtomicU32::new(0),
            missed_loads: watch::Sender::new(0),
            observations: watch::Sender::new(0),
            ended: watch::Sender::new(None),
            ask: Notify::new(),
            changed: Notify::new(),
        }
    }

    /// Requests that wait at the back end.
    pub(crate) fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Whether the back end answered lately.
    pub(crate) fn is_up(&self) -> bool {
        self.is_up.load(Ordering::Relaxed)
    }

    /// The lives of the back end that end from now on.
    pub(crate) fn ended_lives(&self) -> watch::Receiver<Option<EndpointIncarnation>> {
        self.ended.subscribe()
    }

    /// Waits until the back end comes up or goes down.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Records that the back end could be reached, or could not.
    fn set_up(&self, is_up: bool) {
        if self.is_up.swap(is_up, Ordering::Relaxed) != is_up {
            self.changed.notify_one();
        }
    }

    /// Records that the back end has sent something.
    pub(crate) fn on_sign_of_life(&self) {
        self.missed_loads.send_if_modified(|missed| std::mem::take(missed) > 0);
    }

    /// Records that a call found no back end.
    pub(crate) fn on_unreachable(&self) {
        self.set_up(false);
        self.ask.notify_one();
    }

    /// Records that the connection of a call broke before the call's end.
    pub(crate) fn on_call_broken(&self) -> Break {
        let broken =
            Break { life: self.name_of(self.life.lock().incarnation()), at: self.node.now() };
        self.observe(|life, _| life.on_call_disconnected(broken.at));
        // Only an answer to a later question proves life.
        self.ask.notify_one();
        broken
    }

    /// Waits until the back end is silent: it takes connections, perhaps, and answers nothing.
    pub(crate) async fn until_silent(&self) {
        let mut missed = self.missed_loads.subscribe();
        // The sender lives as long as this does.
        let _ = missed.wait_for(|missed| *missed >= MAX_MISSED_LOADS).await;
    }

    /// Waits for the verdict on the back end after the connection of a call broke.
    pub(crate) async fn verdict(&self, broken: Break) -> Verdict {
        let mut observations = self.observations.subscribe();
        let known = async {
            loop {
                observations.mark_unchanged();
                if let Some(verdict) = self.life.lock().verdict(broken.at) {
                    return verdict;
                }
                // The sender lives as long as this does.
                let _ = observations.changed().await;
            }
        };
        match tokio::time::timeout(VERDICT_TIMEOUT, known).await {
            Ok(ProcessVerdict::Alive) => Verdict::Alive,
            Ok(ProcessVerdict::Crashed(life)) => Verdict::Crashed(self.name_of(life)),
            Err(_) => Verdict::Unknown,
        }
    }

    /// Watches the back end for as long as the process runs.
    pub(crate) async fn run(self: Arc<BackendWatch>) {
        loop {
            let end = match self.backend.connect().await {
                Ok(connection) => self.keep(connection).await,
                Err(_) => self.probe().await,
            };
            let pause = match end {
                KeptEnd::Broken | KeptEnd::Silent => continue,
                KeptEnd::Unusable if self.is_in_doubt() => RETRY_PERIOD,
                KeptEnd::Unusable => LOAD_PERIOD,
            };
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.ask.notified() => {}
            }
        }
    }

    /// Asks for loads on a connection until it breaks.
    async fn keep(&self, mut connection: Connection) -> KeptEnd {
        let kept_since = self.node.now();
        let mut has_answered = false;
        let mut ticks = tokio::time::interval(LOAD_PERIOD);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                () = self.ask.notified() => {}
                () = connection.closed() => return self.on_closed(has_answered),
            }
            let asked_at = self.node.now();
            match self.backend.load(&mut connection).await {
                Ok(load) => self.on_load(load, kept_since, asked_at),
                Err(error) if error.cause == Cause::TimedOut => return self.on_missed(),
                Err(_) => return self.on_closed(has_answered),
            }
            has_answered = true;
            // A back end that keeps no connections shows no crash by closing them.
            if connection.is_closed() {
                return KeptEnd::Unusable;
            }
        }
    }

    /// Finds out why no connection could be opened.
    async fn probe(&self) -> KeptEnd {
        match self.backend.probe().await {
            ProbeResult::Refused => {
                self.on_sign_of_life();
                self.observe(|life, now| life.on_refused(now));
            }
            ProbeResult::Accepted | ProbeResult::Unresponsive => {}
        }
        self.set_up(false);
        KeptEnd::Unusable
    }

    fn is_in_doubt(&self) -> bool {
        self.life.lock().is_in_doubt(self.node.now())
    }

    fn on_load(&self, load: Load, kept_since: Duration, asked_at: Duration) {
        self.on_sign_of_life();
        self.waiting.store(load.waiting, Ordering::Relaxed);
        self.observe(|life, _| life.on_response(kept_since, asked_at));
        self.set_up(true);
    }

    fn on_missed(&self) -> KeptEnd {
        self.missed_loads.send_modify(|missed| *missed += 1);
        self.set_up(false);
        KeptEnd::Silent
    }

    fn on_closed(&self, has_answered: bool) -> KeptEnd {
        self.on_sign_of_life();
        if !has_answered {
            self.set_up(false);
            return KeptEnd::Unusable;
        }
        self.observe(|life, now| life.on_connection_closed(now));
        KeptEnd::Broken
    }

    /// Takes an observation, and announces the end of a life.
    fn observe(&self, observation: impl FnOnce(&mut IncarnationTracker, Duration)) {
        let mut life = self.life.lock();
        let before = life.incarnation();
        observation(&mut life, self.node.now());
        let has_ended = life.incarnation() != before;
        drop(life);
        if has_ended {
            let ended = self.name_of(before);
            log::warn!(life = ended; "back end crashed");
            self.ended.send_replace(Some(ended));
            self.set_up(false);
        }
        self.observations.send_modify(|count| *count += 1);
    }

    /// A life of the back end, as entries tell it from those of others.
    fn name_of(&self, life: u64) -> EndpointIncarnation {
        let (process, _) = self.node.incarnation().as_u64_pair();
        process.wrapping_add(life)
    }
}
