//! Orders of the process that balances, to the own engine.

use std::{collections::HashSet, net::SocketAddr, sync::Arc};

use lynxmount_core::{
    edge::Engine,
    experts::{Action, EngineOrder, GroupEpoch, MapVersion},
};
use lynxmount_group::{MapCache, RankRequest};
use parking_lot::Mutex;

use crate::{
    engine_calls::{read_row, request},
    mailbox::Mailbox,
    message::{AnswerMessage, Datagram, OrderId, OrderMessage, OrderOutcome, RelayedOrder},
    reporter::{Awaited, Reporter},
};

/// Orders of the process that balances.
pub(crate) struct Inbox<E> {
    pub(crate) reporter: Arc<Reporter<E>>,
    pub(crate) mailbox: Mailbox,
    pub(crate) maps: Arc<Mutex<MapCache>>,
    pub(crate) under_way: Mutex<HashSet<(SocketAddr, OrderId)>>,
}

impl<E: Engine> Inbox<E> {
    /// Tells what the own engine holds of a map.
    pub(crate) async fn tell_row(
        self: Arc<Inbox<E>>,
        peer: SocketAddr,
        epoch: GroupEpoch,
        version: MapVersion,
    ) {
        match read_row(&*self.reporter.engine, epoch, version).await {
            Ok(Some(row)) => self.mailbox.send(peer, &Datagram::Row(row)).await,
            Ok(None) => {}
            Err(error) => log::info!(error:% = error; "what the engine holds can't be read"),
        }
    }

    /// Passes an order on and gives it to the own engine.
    pub(crate) async fn take_relayed(self: Arc<Inbox<E>>, relayed: RelayedOrder) {
        let RelayedOrder { order, answer_to, to } = relayed;
        if !to.is_empty() {
            let passed = RelayedOrder { order: Arc::clone(&order), answer_to, to: Vec::new() };
            self.mailbox.send_to_all(to, &Datagram::Relayed(passed)).await;
        }
        match Datagram::decode(answer_to, &order) {
            Ok(Datagram::Order(message)) => self.take(answer_to, message).await,
            Ok(_) => log::warn!(peer:% = answer_to; "what was passed on is no order"),
            Err(error) => log::warn!(error:% = error; "an order that was passed on can't be read"),
        }
    }

    /// Gives an order to the own engine and answers whoever gave it.
    pub(crate) async fn take(self: Arc<Inbox<E>>, answer_to: SocketAddr, message: OrderMessage) {
        let id = message.id;
        if !self.under_way.lock().insert((answer_to, id)) {
            return;
        }
        let outcome = self.give(message).await;
        self.under_way.lock().remove(&(answer_to, id));
        let answer = Datagram::Answer(AnswerMessage { id, outcome });
        self.mailbox.send(answer_to, &answer).await;
    }

    async fn give(&self, message: OrderMessage) -> OrderOutcome {
        let epoch = message.epoch;
        let known = |version| self.maps.lock().get(epoch, version);
        let Some(asked) = message.into_request(known) else { return OrderOutcome::MapUnknown };
        if let RankRequest::Order(order) = &asked {
            self.maps.lock().insert_from_order(order);
        }
        match request(&*self.reporter.engine, &asked).await {
            Ok(answer) => {
                if let RankRequest::Order(order) = &asked {
                    self.await_end(order);
                }
                OrderOutcome::Delivered(Box::new(answer))
            }
            Err(error) => {
                log::info!(error:% = error; "an order was not passed on");
                OrderOutcome::Unreachable
            }
        }
    }

    fn await_end(&self, order: &EngineOrder) {
        match order.action {
            Action::Prepare { version, .. } => self.reporter.await_end(Awaited::Copy(version)),
            Action::Arm { .. } => self.reporter.await_end(Awaited::Switch),
            Action::Disarm { .. } | Action::Go { .. } | Action::Hold { .. } => {}
        }
    }
}
