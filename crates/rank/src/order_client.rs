//! Sending orders to other engines through their endpoint processes, with retransmission.

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
    message::{
        AnswerMessage, BaseMap, Datagram, DelegatedOrder, OrderAnswer, OrderId, OrderMessage,
        OrderOutcome, RelayedOrder, SentOrder,
    },
    transport::Transport,
};

/// The retransmission timeout of a small order. A busy process answers after about 10 ms, and a
/// leader of 72 ranks gets to the answers 50 ms later.
const SMALL_ORDER_TIMEOUT: Duration = Duration::from_millis(90);

/// The retransmission timeout of a map before any answer was timed. A link of 6 Mbit/s carries
/// 190 kB in that time, and a large change for 192 ranks through relays takes less than half of
/// that from any one process (`tests/link_budget.rs`).
const INITIAL_MAP_TIMEOUT: Duration = Duration::from_millis(250);

/// The longest retransmission timeout of a map. A switch gives up on preparing after 3 s, and
/// an order must have been sent [`MAX_SENDS`] times by then.
const MAX_MAP_TIMEOUT: Duration = Duration::from_millis(600);

/// How many maps may be in flight directly at the same time. Each takes a few kilobytes on a
/// link that carries 1 MB/s and drops datagrams that queue for long.
const MAX_MAPS_IN_FLIGHT: usize = 12;

/// How often an order is sent to a process. All timeouts together are longer than a process
/// takes for all its tries at its engine.
const MAX_SENDS: u32 = 4;

/// The channels of orders that are not answered yet.
type AnswerChannels = Arc<Mutex<HashMap<(SocketAddr, OrderId), oneshot::Sender<OrderOutcome>>>>;

/// An order to one process that is not answered yet. Dropping it closes its channel.
pub(crate) struct PendingOrder {
    id: OrderId,
    peer: SocketAddr,
    since: Instant,
    receiver: oneshot::Receiver<OrderOutcome>,
    /// Whether the order was sent through relays.
    is_relayed: bool,
    channels: AnswerChannels,
}

impl Drop for PendingOrder {
    fn drop(&mut self) {
        self.channels.lock().remove(&(self.peer, self.id));
    }
}

/// The client of other processes' order handlers.
pub(crate) struct OrderClient {
    transport: Transport,
    /// The address that answers are sent to.
    own_address: SocketAddr,
    link_bytes_per_s: f64,
    next_id: AtomicU64,
    channels: AnswerChannels,
    map_rtt: Mutex<RttEstimator>,
    maps_in_flight: Semaphore,
}

impl OrderClient {
    pub(crate) fn new(
        transport: Transport,
        own_address: SocketAddr,
        link_bytes_per_s: f64,
    ) -> OrderClient {
        let map_rtt = RttEstimator::new(INITIAL_MAP_TIMEOUT, SMALL_ORDER_TIMEOUT, MAX_MAP_TIMEOUT);
        OrderClient {
            transport,
            own_address,
            link_bytes_per_s,
            next_id: AtomicU64::new(1),
            channels: AnswerChannels::default(),
            map_rtt: Mutex::new(map_rtt),
            maps_in_flight: Semaphore::new(MAX_MAPS_IN_FLIGHT),
        }
    }

    /// Completes the pending order of an answer; an answer to no pending order is ignored.
    pub(crate) fn on_answer(&self, peer: SocketAddr, answer: AnswerMessage) {
        let channel = self.channels.lock().remove(&(peer, answer.id));
        if let Some(sender) = channel {
            // The receiver may have been dropped just now.
            let _ = sender.send(answer.outcome);
        }
    }

    /// Sends an order to many processes through relays, if sending it to each directly would keep
    /// the own link busy for long. Returns the pending orders by process, to be passed to
    /// [`OrderClient::request`]; none if relays don't pay.
    ///
    /// Fails if the order can't be encoded.
    pub(crate) async fn relay(
        &self,
        targets: &[RelayTarget],
        order: &EngineOrder,
        base: BaseMap<'_>,
    ) -> Result<HashMap<SocketAddr, PendingOrder>> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let message = OrderMessage::new(id, order, base);
        let order: Arc<[u8]> = Datagram::Order(message).encode()?.into();
        if !should_relay(order.len(), targets.len(), self.link_bytes_per_s) {
            return Ok(HashMap::new());
        }
        let peers = targets.iter().map(|target| target.address);
        let pending = peers.map(|peer| (peer, self.register(peer, id, true))).collect();
        for Relay { address, forward_to } in plan_relays(targets, id) {
            let order = Arc::clone(&order);
            let relayed = RelayedOrder { order, answer_to: self.own_address, forward_to };
            self.transport.send_bytes(address, &Datagram::Relayed(relayed).encode()?).await;
        }
        Ok(pending)
    }

    /// Makes a request to an engine's process, and sends a full map if that process lacks the
    /// base of a delta. An order that [`OrderClient::relay`] has sent is passed as `pending`.
    ///
    /// Fails if the process does not answer or can't read its engine.
    pub(crate) async fn request(
        &self,
        peer: SocketAddr,
        request: &RankRequest,
        base: BaseMap<'_>,
        pending: Option<PendingOrder>,
    ) -> Result<OrderAnswer> {
        match self.request_once(peer, request, base, pending).await? {
            OrderOutcome::MapUnknown => {
                delivered(peer, self.request_once(peer, request, None, None).await?)
            }
            outcome => delivered(peer, outcome),
        }
    }

    /// Makes a process send an order without a map to the engine of another process.
    ///
    /// Fails if the process does not answer.
    pub(crate) async fn delegate(
        &self,
        peer: SocketAddr,
        engine: SocketAddr,
        order: &EngineOrder,
    ) -> Result<SentOrder> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let mut pending = self.register(peer, id, false);
        let datagram = || {
            let order = OrderMessage::new(id, order, None);
            Datagram::Delegated(DelegatedOrder { engine, order })
        };
        match self.send_until_answered(&mut pending, false, datagram).await? {
            OrderOutcome::Sent(sent) => Ok(sent),
            _ => Err(unreachable(Step::ControlCall, peer, "the order was not sent")),
        }
    }

    fn register(&self, peer: SocketAddr, id: OrderId, is_relayed: bool) -> PendingOrder {
        let (sender, receiver) = oneshot::channel();
        self.channels.lock().insert((peer, id), sender);
        let channels = Arc::clone(&self.channels);
        PendingOrder { id, peer, since: Instant::now(), receiver, is_relayed, channels }
    }

    async fn request_once(
        &self,
        peer: SocketAddr,
        request: &RankRequest,
        base: BaseMap<'_>,
        pending: Option<PendingOrder>,
    ) -> Result<OrderOutcome> {
        let has_map = has_map(request);
        let mut pending = pending.unwrap_or_else(|| {
            let id = self.next_id.fetch_add(1, Ordering::Relaxed);
            self.register(peer, id, false)
        });
        let id = pending.id;
        let datagram = || Datagram::Order(OrderMessage::from_request(id, request, base));
        let outcome = self.send_until_answered(&mut pending, has_map, datagram).await;
        if has_map && outcome.is_ok() {
            self.map_rtt.lock().record(pending.since.elapsed());
        }
        outcome
    }

    async fn send_until_answered(
        &self,
        pending: &mut PendingOrder,
        has_map: bool,
        datagram: impl Fn() -> Datagram,
    ) -> Result<OrderOutcome> {
        let peer = pending.peer;
        for send in 0..MAX_SENDS {
            let is_sent_already = send == 0 && pending.is_relayed;
            let _permit = match has_map && !is_sent_already {
                true => self.maps_in_flight.acquire().await.ok(),
                false => None,
            };
            if !is_sent_already {
                self.transport.send_bytes(peer, &datagram().encode()?).await;
            }
            match tokio::time::timeout(self.retransmission_timeout(has_map), &mut pending.receiver)
                .await
            {
                Ok(Ok(outcome)) => return Ok(outcome),
                Ok(Err(_)) => break,
                Err(_) => {}
            }
        }
        Err(timed_out(Step::ControlCall, peer, "no answer from the engine's endpoint process"))
    }

    fn retransmission_timeout(&self, has_map: bool) -> Duration {
        match has_map {
            true => self.map_rtt.lock().timeout(),
            false => SMALL_ORDER_TIMEOUT,
        }
    }
}

/// The answer in an outcome.
///
/// Fails if the process at `peer` could not carry the order out.
fn delivered(peer: SocketAddr, outcome: OrderOutcome) -> Result<OrderAnswer> {
    match outcome {
        OrderOutcome::Delivered(answer) => Ok(*answer),
        OrderOutcome::MapUnknown | OrderOutcome::Sent(_) | OrderOutcome::Unreachable => {
            Err(unreachable(Step::ControlCall, peer, "reading the engine failed"))
        }
    }
}

/// Whether a request carries a map.
pub(crate) fn has_map(request: &RankRequest) -> bool {
    matches!(request, RankRequest::Order(order) if matches!(order.action, Action::Prepare { .. }))
}
