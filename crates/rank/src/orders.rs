//! Giving orders: to the own engine for others, and to others' engines through
//! the processes beside them.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use lynxmount_core::{
    Result, Step,
    edge::Engine,
    experts::{Action, EngineOrder, GroupEpoch, GroupMap, MapVersion},
    timed_out, unreachable,
};
use parking_lot::Mutex;
use tokio::{
    net::UdpSocket,
    sync::{Semaphore, oneshot},
};

use crate::{
    message::{AnswerMessage, Datagram, OrderAnswer, OrderId, OrderMessage, OrderOutcome},
    reporter::{Awaited, Reporter},
};

/// How often an order without an answer is given, in all. What it asks for holds
/// after the first time, so that it may be given again.
const MAX_TRIES: u32 = 4;

/// How long a process is waited for before the order is sent to it again: a busy
/// one takes about 10 ms, and one that balances 72 ranks takes up answers 50 ms
/// later.
const RESEND_AFTER: Duration = Duration::from_millis(90);

/// Maps that are on their way at the same time: a few kilobytes each, on a link
/// that carries 1 MB/s and drops what waits for long.
const MAX_MAPS_UNDER_WAY: usize = 12;

/// How often an order is sent to a process. It is longer on the way altogether
/// than a process tries its engine.
const MAX_SENDS: u32 = 4;

/// Maps that a process remembers, so that orders can build on them.
const MAX_MAPS: usize = 4;

/// Gives an order, and reads the engine's state after it.
///
/// Fails if the state can't be read.
pub(crate) async fn give(engine: &impl Engine, order: &EngineOrder) -> Result<OrderAnswer> {
    let mut result = None;
    let mut tries = 0;
    while result.is_none() && tries < MAX_TRIES {
        tries += 1;
        match engine.order(order).await {
            Ok(answered) => result = Some(answered),
            Err(error) => log::info!(tries, error:% = error; "order without an answer"),
        }
    }
    let report = engine.report().await?;
    Ok(OrderAnswer { result, tries, report })
}

/// Orders on their way to other processes.
pub(crate) struct Outbox {
    socket: Arc<UdpSocket>,
    next_id: AtomicU64,
    waiting: Mutex<HashMap<OrderId, oneshot::Sender<OrderOutcome>>>,
    maps_under_way: Semaphore,
}

impl Outbox {
    pub(crate) fn new(socket: Arc<UdpSocket>) -> Outbox {
        Outbox {
            socket,
            next_id: AtomicU64::new(1),
            waiting: Mutex::default(),
            maps_under_way: Semaphore::new(MAX_MAPS_UNDER_WAY),
        }
    }

    /// Takes an answer.
    pub(crate) fn answered(&self, answer: AnswerMessage) {
        if let Some(sender) = self.waiting.lock().remove(&answer.id) {
            // Whoever waited may have given up just now.
            let _ = sender.send(answer.outcome);
        }
    }

    /// Asks the process beside an engine to give an order.
    ///
    /// Fails if that process or its engine does not answer.
    pub(crate) async fn give(
        &self,
        peer: SocketAddr,
        order: &EngineOrder,
        base: Option<(MapVersion, &GroupMap)>,
    ) -> Result<OrderAnswer> {
        let is_map = matches!(order.action, Action::Prepare { .. });
        let _permit = match is_map {
            true => self.maps_under_way.acquire().await.ok(),
            false => None,
        };
        match self.ask(peer, order, base).await? {
            OrderOutcome::Given(answer) => Ok(*answer),
            OrderOutcome::MapUnknown => match self.ask(peer, order, None).await? {
                OrderOutcome::Given(answer) => Ok(*answer),
                _ => Err(unreachable(Step::Order, peer, "the engine can't be read")),
            },
            OrderOutcome::Unreachable => {
                Err(unreachable(Step::Order, peer, "the engine can't be read"))
            }
        }
    }

    async fn ask(
        &self,
        peer: SocketAddr,
        order: &EngineOrder,
        base: Option<(MapVersion, &GroupMap)>,
    ) -> Result<OrderOutcome> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let datagram = Datagram::Order(OrderMessage::new(id, order, base)).encode()?;
        let (sender, mut receiver) = oneshot::channel();
        self.waiting.lock().insert(id, sender);
        for _ in 0..MAX_SENDS {
            if let Err(error) = self.socket.send_to(&datagram, peer).await {
                log::debug!(peer:% = peer, error:% = error; "an order was not sent");
            }
            match tokio::time::timeout(RESEND_AFTER, &mut receiver).await {
                Ok(Ok(outcome)) => return Ok(outcome),
                Ok(Err(_)) => break,
                Err(_) => {}
            }
        }
        self.waiting.lock().remove(&id);
        Err(timed_out(Step::Order, peer, "no answer from the process beside the engine"))
    }
}

/// Maps that were prepared lately, in one life of the group.
#[derive(Default)]
struct KnownMaps {
    epoch: GroupEpoch,
    by_version: BTreeMap<MapVersion, Arc<GroupMap>>,
}

impl KnownMaps {
    fn note(&mut self, order: &EngineOrder) {
        let Action::Prepare { version, map } = &order.action else { return };
        if self.epoch != order.epoch {
            *self = KnownMaps { epoch: order.epoch, ..KnownMaps::default() };
        }
        self.by_version.insert(*version, Arc::clone(map));
        while self.by_version.len() > MAX_MAPS {
            self.by_version.pop_first();
        }
    }

    fn get(&self, epoch: GroupEpoch, version: MapVersion) -> Option<GroupMap> {
        let known = self.by_version.get(&version).filter(|_| self.epoch == epoch);
        known.map(|map| GroupMap::clone(map))
    }
}

/// Orders of the process that balances.
pub(crate) struct Inbox<E> {
    pub(crate) reporter: Arc<Reporter<E>>,
    pub(crate) socket: Arc<UdpSocket>,
    under_way: Mutex<HashSet<(SocketAddr, OrderId)>>,
    maps: Mutex<KnownMaps>,
}

impl<E: Engine> Inbox<E> {
    pub(crate) fn new(reporter: Arc<Reporter<E>>, socket: Arc<UdpSocket>) -> Inbox<E> {
        Inbox { reporter, socket, under_way: Mutex::default(), maps: Mutex::default() }
    }

    /// Gives an order to the own engine and answers whoever sent it.
    pub(crate) async fn take(self: Arc<Inbox<E>>, peer: SocketAddr, message: OrderMessage) {
        let id = message.id;
        if !self.under_way.lock().insert((peer, id)) {
            return;
        }
        let outcome = self.give(message).await;
        self.under_way.lock().remove(&(peer, id));
        let answer = Datagram::Answer(AnswerMessage { id, outcome });
        let sent = match answer.encode() {
            Ok(datagram) => self.socket.send_to(&datagram, peer).await.map(|_| ()),
            Err(error) => Err(std::io::Error::other(error)),
        };
        if let Err(error) = sent {
            log::info!(peer:% = peer, error:% = error; "an answer was not sent");
        }
    }

    async fn give(&self, message: OrderMessage) -> OrderOutcome {
        let epoch = message.epoch;
        let known = |version| match version {
            0 => self.reporter.first_map(epoch),
            _ => self.maps.lock().get(epoch, version),
        };
        let Some(order) = message.order(known) else { return OrderOutcome::MapUnknown };
        self.maps.lock().note(&order);
        match give(&*self.reporter.engine, &order).await {
            Ok(answer) => {
                match order.action {
                    Action::Prepare { version, .. } => {
                        self.reporter.await_end(Awaited::Copy(version));
                    }
                    Action::Arm { .. } => self.reporter.await_end(Awaited::Switch),
                    Action::Disarm { .. } | Action::Go { .. } | Action::Hold { .. } => {}
                }
                OrderOutcome::Given(Box::new(answer))
            }
            Err(error) => {
                log::info!(error:% = error; "an order was not passed on");
                OrderOutcome::Unreachable
            }
        }
    }
}
