//! Which endpoints have ended while calls were there.
//!
//! A connection that breaks does not tell whether its endpoint has ended: a machine, a
//! link or a group that stalls breaks connections too. A process that has ended leaves a
//! machine that refuses connections; one that is cut off or has lost power leaves
//! silence. So the endpoint is connected to once more.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use lynxmount_core::{CallFingerprint, CallPhase, EndpointId};
use lynxmount_link::{Contact, contact};
use lynxmount_suspects::Suspects;
use lynxmount_telemetry::Metrics;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::endpoint::Endpoint;

/// How long after the first connection has broken the endpoint is contacted: its other
/// connections break within 2 ms (as seen with ten calls of three entries), and
/// one contact serves all.
const GATHER_TIME: Duration = Duration::from_millis(5);

/// How long a contact may take. Round trips take 2 ms; who is silent for longer has not
/// ended by itself.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a call waits at most until it is known whether its endpoint has ended: 7 ms
/// where the machine lives, and one that is silent has not been ended by a call.
const KNOWN_LIMIT: Duration = Duration::from_millis(50);

/// The part of a group's stall after which a call that has heard nothing is taken to be
/// cut by the stall. Timers fire late, never early.
const STALL_PART: f64 = 0.8;

/// How long before a crash a call may have been canceled and still be suspected: its endpoint
/// may have begun it before it saw the cancellation.
const CANCELED_LIFE: Duration = Duration::from_millis(250);

/// Watches for endpoints that end.
pub(crate) struct EndpointEnds {
    metrics: Arc<Metrics>,
    suspects: Arc<Suspects>,
    /// Calls whose connections have broken, by endpoints that are about to be contacted.
    broken: Mutex<HashMap<EndpointId, Vec<(CallFingerprint, CallPhase)>>>,
    /// Calls that were canceled within [`CANCELED_LIFE`], the oldest first.
    canceled: Mutex<VecDeque<CanceledCall>>,
    /// Counts endpoints about which it was found out.
    found_out: watch::Sender<u64>,
}

struct CanceledCall {
    endpoint: EndpointId,
    call: CallFingerprint,
    phase: CallPhase,
    at: Instant,
}

/// What is known of a call whose connection has broken.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BrokenCall {
    pub(crate) call: CallFingerprint,
    pub(crate) phase: CallPhase,
    /// When the endpoint was last heard on the connection, or the call was sent.
    pub(crate) heard_at: Instant,
    /// How long ago the last event of any stream in the endpoint's group was.
    pub(crate) group_silence: Option<Duration>,
    /// How long a group stalls that has lost a rank; `None` for a service without.
    pub(crate) stall: Option<Duration>,
}

impl BrokenCall {
    /// Says whether a stall of the group has cut the call: streams end at all endpoints of the
    /// group at once, 1.5 s after another endpoint's end, and nothing is heard meanwhile. That
    /// saves a contact of each rank by each entry; a call that has not begun, as in a group
    /// that is idle but for it, is worth the contact.
    fn is_stalled(&self) -> bool {
        let Some(stall) = self.stall else { return false };
        let is_long = |silence: Duration| silence >= stall.mul_f64(STALL_PART);
        self.phase == CallPhase::Running
            && is_long(self.heard_at.elapsed())
            && self.group_silence.is_some_and(is_long)
    }
}

impl EndpointEnds {
    pub(crate) fn new(metrics: Arc<Metrics>, suspects: Arc<Suspects>) -> EndpointEnds {
        EndpointEnds {
            metrics,
            suspects,
            broken: Mutex::default(),
            canceled: Mutex::default(),
            found_out: watch::Sender::new(0),
        }
    }

    /// Takes that the connection of a call has broken before the call's end.
    pub(crate) fn note_broken(
        self: &Arc<EndpointEnds>,
        endpoint: &Arc<Endpoint>,
        broken: BrokenCall,
    ) {
        if broken.is_stalled() {
            return;
        }
        let id = EndpointId::clone(&endpoint.record.id);
        let mut gathering = self.broken.lock();
        if let Some(calls) = gathering.get_mut(&id) {
            calls.push((broken.call, broken.phase));
            return;
        }
        let mut calls = self.canceled_at(&id);
        calls.push((broken.call, broken.phase));
        gathering.insert(id, calls);
        tokio::spawn(Arc::clone(self).find_out(Arc::clone(endpoint)));
    }

    /// Records that a call was canceled at an endpoint before its end.
    pub(crate) fn on_canceled(
        &self,
        endpoint: &EndpointId,
        call: CallFingerprint,
        phase: CallPhase,
    ) {
        let endpoint = EndpointId::clone(endpoint);
        let mut canceled = self.canceled.lock();
        expire(&mut canceled);
        canceled.push_back(CanceledCall { endpoint, call, phase, at: Instant::now() });
    }

    /// Calls that were canceled at an endpoint lately.
    fn canceled_at(&self, endpoint: &EndpointId) -> Vec<(CallFingerprint, CallPhase)> {
        let mut canceled = self.canceled.lock();
        expire(&mut canceled);
        let there = canceled.iter().filter(|call| call.endpoint == *endpoint);
        there.map(|canceled| (canceled.call, canceled.phase)).collect()
    }

    /// Waits until it is known whether an endpoint has ended whose connections have broken.
    /// A call that is repeated sooner ends another endpoint before the first end counts: an
    /// entry sent one on 4 ms after the end.
    pub(crate) async fn until_known(&self, endpoint: &EndpointId) {
        let mut found_out = self.found_out.subscribe();
        let is_known = |_: &u64| !self.broken.lock().contains_key(endpoint);
        // The sender lives as long as this, and who is silent has not ended.
        let _ = tokio::time::timeout(KNOWN_LIMIT, found_out.wait_for(is_known)).await;
    }

    /// Finds out whether an endpoint has ended.
    async fn find_out(self: Arc<EndpointEnds>, endpoint: Arc<Endpoint>) {
        tokio::time::sleep(GATHER_TIME).await;
        let contact = contact(endpoint.record.address, CONTACT_TIMEOUT).await;
        let id = &*endpoint.record.id;
        let mut calls = self.broken.lock().remove(id).unwrap_or_default();
        calls.sort_unstable();
        calls.dedup();
        if contact == Contact::Refused {
            self.metrics.count("endpoints.ended");
            let names = calls.iter().map(|(call, phase)| format!("{call} {phase:?}"));
            log::warn!(endpoint = id, calls:? = names.collect::<Vec<_>>();
                "endpoint crashed");
            self.suspects.note_end(endpoint.record.life(), &calls);
        } else {
            log::info!(endpoint = id, contact:? = contact, calls = calls.len();
                "endpoint survived its broken connections");
        }
        self.found_out.send_modify(|count| *count += 1);
    }
}

fn expire(canceled: &mut VecDeque<CanceledCall>) {
    while canceled.front().is_some_and(|call| call.at.elapsed() > CANCELED_LIFE) {
        canceled.pop_front();
    }
}
