//! Driving a map switch to its end: sending its orders, and feeding it answers and reports.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use lynxmount_core::{
    Result,
    adapter::{Engine, FleetSource},
    experts::{Action, EngineOrder},
};
use lynxmount_group::{
    MapSwitch, OutgoingRequest, RankNumber, RankRequest, RelayTarget, RequestId, SwitchOutcome,
    hold_delegate,
};

use super::Coordinator;
use crate::{
    engine_calls::make_request,
    leader_state::LeaderState,
    message::{BaseMap, OrderAnswer, SentOrder},
    order_client::{PendingOrder, has_map},
};

/// How often a switch in progress is polled while no answer comes in.
const SWITCH_TICK: Duration = Duration::from_millis(20);

impl<E, S, F> Coordinator<E, S, F>
where
    E: Engine,
    S: FleetSource,
    F: Fn(SocketAddr) -> E + Send + Sync + 'static,
{
    /// Drives a switch to its end, which is soon if the process is told to terminate.
    pub(super) async fn drive(
        &self,
        state: &mut LeaderState,
        switch: &mut MapSwitch,
        engines: &[SocketAddr],
        base: BaseMap<'_>,
    ) -> SwitchOutcome {
        let mut in_flight: FuturesUnordered<
            BoxFuture<'_, (usize, RequestId, Result<OrderAnswer>)>,
        > = FuturesUnordered::new();
        let delegate = self.hold_delegate(engines, switch.hold_rank());
        loop {
            if self.terminating.is_cancelled() {
                switch.cancel();
            }
            let orders = switch.tick(self.clock.now());
            self.record_map(&orders);
            let mut relayed = self.relay(&orders, engines, base).await;
            for OutgoingRequest { rank, id, request } in orders {
                let engine = engines[rank];
                let pending = relayed.remove(&self.transport.peer(engine));
                in_flight.push(Box::pin(async move {
                    let answered = match (delegate, hold_order(&request)) {
                        (Some(delegate), Some(hold)) => {
                            self.place_hold(delegate, engine, hold).await
                        }
                        _ => self.request(engine, &request, base, pending).await,
                    };
                    (rank, id, answered)
                }));
            }
            let (epoch, now) = (switch.epoch(), self.clock.now());
            state.hold_history.record(epoch, switch.hold_rank(), switch.hold_step(), now);
            if let Some(outcome) = switch.outcome() {
                return outcome;
            }
            tokio::select! {
                Some((rank, id, answered)) = in_flight.next(), if !in_flight.is_empty() => {
                    state.record_retries(&answered);
                    self.record_report(engines[rank], &answered);
                    on_answer(switch, rank, id, answered);
                }
                () = tokio::time::sleep(SWITCH_TICK) => {
                    self.read_silent_engines(state);
                    self.observe(switch, engines);
                }
            }
        }
    }

    /// The engine whose process places the hold.
    fn hold_delegate(&self, engines: &[SocketAddr], hold_rank: RankNumber) -> Option<SocketAddr> {
        let is_available =
            |rank: RankNumber| engines[rank] != self.own_engine && !self.is_silent(engines[rank]);
        hold_delegate(engines.len(), hold_rank, is_available).map(|rank| engines[rank])
    }

    /// Requests a hold at an engine through the delegate's process, and reads the state after it
    /// through the engine's own process: from elsewhere, an engine's report is out of date.
    ///
    /// Fails if the delegate does not answer once more after that. If it has frozen, the outcome of
    /// an order to arm its own engine would be unknown.
    async fn place_hold(
        &self,
        delegate: SocketAddr,
        engine: SocketAddr,
        hold: &EngineOrder,
    ) -> Result<OrderAnswer> {
        let process = self.transport.peer(delegate);
        let SentOrder { result, tries } = self.order_client.delegate(process, engine, hold).await?;
        let report = RankRequest::Report { epoch: hold.epoch };
        let of_engine = self.request(engine, &report, None, None);
        let of_delegate = self.request(delegate, &report, None, None);
        let (OrderAnswer { report, .. }, _) = futures::try_join!(of_engine, of_delegate)?;
        Ok(OrderAnswer { result, tries, report })
    }

    /// Caches the map that ranks are to prepare, which is the same for all of them.
    fn record_map(&self, orders: &[OutgoingRequest]) {
        if let Some((_, order)) = map_orders(orders).next() {
            self.maps.lock().insert_from_order(order);
        }
    }

    /// Sends a map through relays to all ranks that are to prepare it, if that is faster. Returns
    /// the pending orders by process.
    async fn relay(
        &self,
        orders: &[OutgoingRequest],
        engines: &[SocketAddr],
        base: BaseMap<'_>,
    ) -> HashMap<SocketAddr, PendingOrder> {
        let Some((_, first)) = map_orders(orders).next() else { return HashMap::new() };
        let engines = map_orders(orders).map(|(rank, _)| engines[rank]);
        let reachable =
            engines.filter(|engine| *engine != self.own_engine && !self.is_silent(*engine));
        let targets: Vec<RelayTarget> = reachable.map(|engine| self.relay_target(engine)).collect();
        match self.order_client.relay(&targets, first, base).await {
            Ok(pending) => pending,
            Err(error) => {
                log::error!(error:% = error; "map order encoding failed");
                HashMap::new()
            }
        }
    }

    fn relay_target(&self, engine: SocketAddr) -> RelayTarget {
        RelayTarget {
            failure_domain: self.registry.failure_domain(engine),
            address: self.transport.peer(engine),
        }
    }

    /// Records the state in an answer, so that an older report is not observed after it.
    fn record_report(&self, engine: SocketAddr, answered: &Result<OrderAnswer>) {
        if let Ok(answer) = answered {
            self.rank_states.lock().on_answer(engine, answer.report.clone());
        }
    }

    /// Feeds the last report of each rank to the switch.
    fn observe(&self, switch: &mut MapSwitch, engines: &[SocketAddr]) {
        let rank_states = self.rank_states.lock();
        for (rank, engine) in engines.iter().enumerate() {
            if let Some(report) = rank_states.last_report(*engine) {
                switch.observe(rank, report);
            }
        }
    }

    /// Makes a request through an engine's process. If that process does not answer, an order
    /// goes to the engine directly. A report does not: it has to confirm the path of the orders
    /// that follow.
    async fn request(
        &self,
        engine: SocketAddr,
        request: &RankRequest,
        base: BaseMap<'_>,
        pending: Option<PendingOrder>,
    ) -> Result<OrderAnswer> {
        if engine == self.own_engine {
            return make_request(&*self.engine, request).await;
        }
        if self.is_silent(engine) {
            self.metrics.count("orders.direct");
            return make_request(&(self.make_engine)(engine), request).await;
        }
        let peer = self.transport.peer(engine);
        match self.order_client.request(peer, request, base, pending).await {
            Ok(answer) => Ok(answer),
            Err(error) if matches!(request, RankRequest::Report { .. }) => Err(error),
            Err(error) => {
                log::info!(error:% = error; "order sent to the engine directly");
                self.metrics.count("orders.direct");
                make_request(&(self.make_engine)(engine), request).await
            }
        }
    }
}

/// The orders that carry a map, with their ranks.
fn map_orders(orders: &[OutgoingRequest]) -> impl Iterator<Item = (usize, &EngineOrder)> {
    orders.iter().filter_map(|OutgoingRequest { rank, request, .. }| match request {
        RankRequest::Order(order) if has_map(request) => Some((*rank, order)),
        _ => None,
    })
}

fn hold_order(request: &RankRequest) -> Option<&EngineOrder> {
    match request {
        RankRequest::Order(order) if matches!(order.action, Action::Hold { .. }) => Some(order),
        _ => None,
    }
}

fn on_answer(switch: &mut MapSwitch, rank: usize, id: RequestId, answered: Result<OrderAnswer>) {
    match answered {
        Ok(OrderAnswer { result, report, .. }) => {
            switch.observe(rank, report);
            switch.on_answer(rank, id, result);
        }
        Err(error) => {
            log::info!(rank, error:% = error; "order outcome unknown");
            switch.on_answer(rank, id, None);
        }
    }
}
