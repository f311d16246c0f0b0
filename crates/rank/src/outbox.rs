//! Giving orders to others' engines through the processes beside them.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use lynxmount_core::{
    Result, Step,
    experts::{Action, EngineOrder},
    timed_out, unreachable,
};
use lynxmount_group::{RankRequest, Relay, RelayTarget, plan_relays, should_relay};
use lynxmount_policy::RttEstimator;
use parking_lot::Mutex;
use tokio::sync::{Semaphore, oneshot};

use crate::{
    mailbox::Mailbox,
    message::{
        AnswerMessage, BaseMap, Datagram, OrderAnswer, OrderId, OrderMessage, OrderOutcome,
        RelayedOrder,
    },
};

/// How long a process is waited for before a small order is sent to it again: a busy
/// one takes about 10 ms, and one that balances 72 ranks takes up answers 50 ms
/// later.
const RESEND_AFTER: Duration = Duration::from_millis(90);

/// How long a process is waited for before a map is sent to it again, before any answer
/// has shown how long that takes: a link of 6 Mbit/s carries 190 kB meanwhile, and a
/// large change for 192 ranks through relays takes less than half of that from any one
/// process (`tests/link_budget.rs`).
const MAP_RESEND_FIRST: Duration = Duration::from_millis(250);

/// The longest time: the switch that waits for the maps is given up after 3 s, and by
/// then an order must have been sent four times.
const MAP_RESEND_MOST: Duration = Duration::from_millis(600);

/// Maps that are on their way directly at the same time: a few kilobytes each, on a
/// link that carries 1 MB/s and drops what waits for long.
const MAX_MAPS_UNDER_WAY: usize = 12;

/// How often an order is sent to a process. It is longer on the way altogether
/// than a process tries its engine.
const MAX_SENDS: u32 = 4;

/// Who waits for the answer of a process to an order.
type Waiting = Arc<Mutex<HashMap<(SocketAddr, OrderId), oneshot::Sender<OrderOutcome>>>>;

/// An order to one process, and the answer that is waited for.
pub(crate) struct Awaiting {
    id: OrderId,
    peer: SocketAddr,
    since: Instant,
    receiver: oneshot::Receiver<OrderOutcome>,
    /// Whether it is on its way through relays.
    is_relayed: bool,
    waiting: Waiting,
}

impl Drop for Awaiting {
    fn drop(&mut self) {
        self.waiting.lock().remove(&(self.peer, self.id));
    }
}

/// Orders on their way to other processes.
pub(crate) struct Outbox {
    mailbox: Mailbox,
    /// Where others send their answers.
    own: SocketAddr,
    link_bytes_per_s: f64,
    next_id: AtomicU64,
    waiting: Waiting,
    map_answers: Mutex<RttEstimator>,
    maps_under_way: Semaphore,
}

impl Outbox {
    pub(crate) fn new(mailbox: Mailbox, own: SocketAddr, link_bytes_per_s: f64) -> Outbox {
        let map_answers = RttEstimator::new(MAP_RESEND_FIRST, RESEND_AFTER, MAP_RESEND_MOST);
        Outbox {
            mailbox,
            own,
            link_bytes_per_s,
            next_id: AtomicU64::new(1),
            waiting: Waiting::default(),
            map_answers: Mutex::new(map_answers),
            maps_under_way: Semaphore::new(MAX_MAPS_UNDER_WAY),
        }
    }

    /// Takes an answer.
    pub(crate) fn answered(&self, peer: SocketAddr, answer: AnswerMessage) {
        let waiting = self.waiting.lock().remove(&(peer, answer.id));
        if let Some(sender) = waiting {
            // Whoever waited may have given up just now.
            let _ = sender.send(answer.outcome);
        }
    }

    /// Sends an order to many processes through some of them, if the own link would be
    /// taken up for long otherwise. What is returned is to be waited for by
    /// [`Outbox::give`].
    ///
    /// Fails if the order can't be written.
    pub(crate) async fn relay(
        &self,
        targets: &[RelayTarget],
        order: &EngineOrder,
        base: BaseMap<'_>,
    ) -> Result<HashMap<SocketAddr, Awaiting>> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let message = OrderMessage::new(id, order, base);
        let order: Arc<[u8]> = Datagram::Order(message).encode()?.into();
        if !should_relay(order.len(), targets.len(), self.link_bytes_per_s) {
            return Ok(HashMap::new());
        }
        let peers = targets.iter().map(|target| target.address);
        let awaited = peers.map(|peer| (peer, self.expect(peer, id, true))).collect();
        for Relay { address, forward_to } in plan_relays(targets, id) {
            let order = Arc::clone(&order);
            let relayed = RelayedOrder { order, answer_to: self.own, to: forward_to };
            self.mailbox.send_bytes(address, &Datagram::Relayed(relayed).encode()?).await;
        }
        Ok(awaited)
    }

    /// Makes a request to the process beside an engine. An order may be on its way already.
    ///
    /// Fails if that process or its engine does not answer.
    pub(crate) async fn give(
        &self,
        peer: SocketAddr,
        request: &RankRequest,
        base: BaseMap<'_>,
        awaiting: Option<Awaiting>,
    ) -> Result<OrderAnswer> {
        match self.ask(peer, request, base, awaiting).await? {
            OrderOutcome::Delivered(answer) => Ok(*answer),
            OrderOutcome::MapUnknown => match self.ask(peer, request, None, None).await? {
                OrderOutcome::Delivered(answer) => Ok(*answer),
                _ => Err(unreachable(Step::Order, peer, "the engine can't be read")),
            },
            OrderOutcome::Unreachable => {
                Err(unreachable(Step::Order, peer, "the engine can't be read"))
            }
        }
    }

    fn expect(&self, peer: SocketAddr, id: OrderId, is_relayed: bool) -> Awaiting {
        let (sender, receiver) = oneshot::channel();
        self.waiting.lock().insert((peer, id), sender);
        let waiting = Arc::clone(&self.waiting);
        Awaiting { id, peer, since: Instant::now(), receiver, is_relayed, waiting }
    }

    async fn ask(
        &self,
        peer: SocketAddr,
        request: &RankRequest,
        base: BaseMap<'_>,
        awaiting: Option<Awaiting>,
    ) -> Result<OrderOutcome> {
        let is_map = is_map(request);
        let mut awaiting = awaiting.unwrap_or_else(|| {
            let id = self.next_id.fetch_add(1, Ordering::Relaxed);
            self.expect(peer, id, false)
        });
        let outcome = self.send_until_answered(&mut awaiting, request, base, is_map).await;
        if is_map && outcome.is_ok() {
            self.map_answers.lock().record(awaiting.since.elapsed());
        }
        outcome
    }

    async fn send_until_answered(
        &self,
        awaiting: &mut Awaiting,
        request: &RankRequest,
        base: BaseMap<'_>,
        is_map: bool,
    ) -> Result<OrderOutcome> {
        let peer = awaiting.peer;
        for send in 0..MAX_SENDS {
            let is_on_its_way = send == 0 && awaiting.is_relayed;
            let _permit = match is_map && !is_on_its_way {
                true => self.maps_under_way.acquire().await.ok(),
                false => None,
            };
            if !is_on_its_way {
                let message = OrderMessage::from_request(awaiting.id, request, base);
                self.mailbox.send_bytes(peer, &Datagram::Order(message).encode()?).await;
            }
            match tokio::time::timeout(self.resend_after(is_map), &mut awaiting.receiver).await {
                Ok(Ok(outcome)) => return Ok(outcome),
                Ok(Err(_)) => break,
                Err(_) => {}
            }
        }
        Err(timed_out(Step::Order, peer, "no answer from the process beside the engine"))
    }

    fn resend_after(&self, is_map: bool) -> Duration {
        match is_map {
            true => self.map_answers.lock().timeout(),
            false => RESEND_AFTER,
        }
    }
}

/// Says whether a request carries a map.
pub(crate) fn is_map(request: &RankRequest) -> bool {
    matches!(request, RankRequest::Order(order) if matches!(order.action, Action::Prepare { .. }))
}
