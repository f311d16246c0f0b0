//! Carrying out the leader's orders at the own engine, and delegated ones at another.

use std::{collections::HashSet, net::SocketAddr, sync::Arc};

use lynxmount_core::{
    adapter::Engine,
    experts::{Action, EngineOrder, GroupEpoch, MapVersion},
};
use lynxmount_group::{MapCache, RankRequest};
use parking_lot::Mutex;

use crate::{
    engine_calls::{make_request, read_row, send_order},
    message::{
        AnswerMessage, Datagram, DelegatedOrder, OrderId, OrderMessage, OrderOutcome, RelayedOrder,
    },
    reporter::{Completion, Reporter},
    transport::Transport,
};

/// The receiver of orders.
pub(crate) struct OrderHandler<E, F> {
    pub(crate) reporter: Arc<Reporter<E>>,
    pub(crate) make_engine: Arc<F>,
    pub(crate) transport: Transport,
    pub(crate) maps: Arc<Mutex<MapCache>>,
    /// Orders being carried out, by sender and number. Retransmissions of these are ignored.
    pub(crate) in_progress: Mutex<HashSet<(SocketAddr, OrderId)>>,
}

impl<E, F> OrderHandler<E, F>
where
    E: Engine,
    F: Fn(SocketAddr) -> E + Send + Sync + 'static,
{
    /// Answers a request for the own engine's row of a map.
    pub(crate) async fn send_row(
        self: Arc<OrderHandler<E, F>>,
        peer: SocketAddr,
        epoch: GroupEpoch,
        version: MapVersion,
    ) {
        match read_row(&*self.reporter.engine, epoch, version).await {
            Ok(Some(row)) => self.transport.send(peer, &Datagram::Row(row)).await,
            Ok(None) => {}
            Err(error) => log::info!(error:% = error; "reading the engine's map row failed"),
        }
    }

    /// Forwards an order, and carries it out at the own engine.
    pub(crate) async fn handle_relayed(self: Arc<OrderHandler<E, F>>, relayed: RelayedOrder) {
        let RelayedOrder { order, answer_to, forward_to } = relayed;
        if !forward_to.is_empty() {
            let forwarded =
                RelayedOrder { order: Arc::clone(&order), answer_to, forward_to: Vec::new() };
            self.transport.send_to_all(forward_to, &Datagram::Relayed(forwarded)).await;
        }
        match Datagram::decode(answer_to, &order) {
            Ok(Datagram::Order(message)) => self.handle(answer_to, message).await,
            Ok(_) => log::warn!(peer:% = answer_to; "relayed datagram is not an order"),
            Err(error) => log::warn!(error:% = error; "relayed order malformed"),
        }
    }

    /// Carries out an order at the own engine, and answers its sender.
    pub(crate) async fn handle(
        self: Arc<OrderHandler<E, F>>,
        answer_to: SocketAddr,
        message: OrderMessage,
    ) {
        let id = message.id;
        if !self.in_progress.lock().insert((answer_to, id)) {
            return;
        }
        let outcome = self.execute(message).await;
        self.answer(answer_to, id, outcome).await;
    }

    /// Carries out an order at the engine of another process, and answers its sender.
    pub(crate) async fn handle_delegated(
        self: Arc<OrderHandler<E, F>>,
        answer_to: SocketAddr,
        delegated: DelegatedOrder,
    ) {
        let DelegatedOrder { engine, order } = delegated;
        let id = order.id;
        if !self.in_progress.lock().insert((answer_to, id)) {
            return;
        }
        let outcome = match order.into_request(|_| None) {
            Some(RankRequest::Order(order)) => {
                OrderOutcome::Sent(send_order(&(self.make_engine)(engine), &order).await)
            }
            Some(RankRequest::Report { .. }) | None => OrderOutcome::Unreachable,
        };
        self.answer(answer_to, id, outcome).await;
    }

    async fn answer(&self, answer_to: SocketAddr, id: OrderId, outcome: OrderOutcome) {
        self.in_progress.lock().remove(&(answer_to, id));
        let answer = Datagram::Answer(AnswerMessage { id, outcome });
        self.transport.send(answer_to, &answer).await;
    }

    async fn execute(&self, message: OrderMessage) -> OrderOutcome {
        let epoch = message.epoch;
        let lookup = |version| self.maps.lock().get(epoch, version);
        let Some(request) = message.into_request(lookup) else { return OrderOutcome::MapUnknown };
        if let RankRequest::Order(order) = &request {
            self.maps.lock().insert_from_order(order);
        }
        match make_request(&*self.reporter.engine, &request).await {
            Ok(answer) => {
                if let RankRequest::Order(order) = &request {
                    self.watch_completion(order);
                }
                OrderOutcome::Delivered(Box::new(answer))
            }
            Err(error) => {
                log::info!(error:% = error; "engine state read failed");
                OrderOutcome::Unreachable
            }
        }
    }

    fn watch_completion(&self, order: &EngineOrder) {
        match order.action {
            Action::Prepare { version, .. } => self.reporter.watch_for(Completion::Copy(version)),
            Action::Arm { .. } => self.reporter.watch_for(Completion::Switch),
            Action::Disarm { .. } | Action::Go { .. } | Action::Hold { .. } => {}
        }
    }
}
