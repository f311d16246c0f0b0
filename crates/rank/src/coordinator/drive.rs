//! Seeing a change of map through: orders go out, answers and reports come in.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use lynxmount_core::{
    Result,
    edge::{Engine, FleetSource},
    experts::EngineOrder,
};
use lynxmount_group::{
    MapSwitch, OutgoingRequest, RankRequest, RelayTarget, RequestId, SwitchOutcome,
};

use super::Coordinator;
use crate::{
    engine_calls::request,
    memory::Memory,
    message::{BaseMap, OrderAnswer},
    outbox::{Awaiting, is_map},
};

/// How often a switch under way is looked after if nothing is answered.
const SWITCH_TICK: Duration = Duration::from_millis(20);

impl<E, S, F> Coordinator<E, S, F>
where
    E: Engine,
    S: FleetSource,
    F: Fn(SocketAddr) -> E + Send + Sync + 'static,
{
    /// Sees a switch through.
    pub(super) async fn drive(
        &self,
        memory: &mut Memory,
        switch: &mut MapSwitch,
        engines: &[SocketAddr],
        base: BaseMap<'_>,
    ) -> SwitchOutcome {
        let mut under_way: FuturesUnordered<
            BoxFuture<'_, (usize, RequestId, Result<OrderAnswer>)>,
        > = FuturesUnordered::new();
        loop {
            let orders = switch.tick(self.clock.now());
            self.note_maps(&orders);
            let mut relayed = self.relay(&orders, engines, base).await;
            for OutgoingRequest { rank, id, request } in orders {
                let engine = engines[rank];
                let awaiting = relayed.remove(&self.mailbox.peer(engine));
                under_way.push(Box::pin(async move {
                    (rank, id, self.give(engine, &request, base, awaiting).await)
                }));
            }
            memory.hold_history.record(switch.epoch(), switch.hold_rank(), switch.step());
            if let Some(end) = switch.outcome() {
                return end;
            }
            tokio::select! {
                Some((rank, id, answered)) = under_way.next(), if !under_way.is_empty() => {
                    memory.note_loss(&answered);
                    self.note_report(engines[rank], &answered);
                    take_answer(switch, rank, id, answered);
                }
                () = tokio::time::sleep(SWITCH_TICK) => {
                    self.read_silent(memory);
                    self.observe(switch, engines);
                }
            }
        }
    }

    /// Keeps the map that ranks are to prepare: the same one for all of them.
    fn note_maps(&self, orders: &[OutgoingRequest]) {
        if let Some((_, order)) = maps(orders).next() {
            self.maps.lock().insert_from_order(order);
        }
    }

    /// Sends a map through relays to all ranks that are to be given it, if that is
    /// sooner there. Returns what is then awaited, by the process that answers.
    async fn relay(
        &self,
        orders: &[OutgoingRequest],
        engines: &[SocketAddr],
        base: BaseMap<'_>,
    ) -> HashMap<SocketAddr, Awaiting> {
        let Some((_, first)) = maps(orders).next() else { return HashMap::new() };
        let engines = maps(orders).map(|(rank, _)| engines[rank]);
        let spoken = engines.filter(|engine| *engine != self.own && !self.is_silent(*engine));
        let targets: Vec<RelayTarget> = spoken.map(|engine| self.relay_target(engine)).collect();
        match self.outbox.relay(&targets, first, base).await {
            Ok(awaited) => awaited,
            Err(error) => {
                log::error!(error:% = error; "a map can't be written");
                HashMap::new()
            }
        }
    }

    fn relay_target(&self, engine: SocketAddr) -> RelayTarget {
        RelayTarget {
            failure_domain: self.roster.failure_domain(engine),
            address: self.mailbox.peer(engine),
        }
    }

    /// Keeps what an answer tells, so that an older report does not follow it.
    fn note_report(&self, engine: SocketAddr, answered: &Result<OrderAnswer>) {
        if let Ok(answer) = answered {
            self.beliefs.lock().note_report(engine, answer.report.clone());
        }
    }

    /// Takes what the ranks have told meanwhile.
    fn observe(&self, switch: &mut MapSwitch, engines: &[SocketAddr]) {
        let beliefs = self.beliefs.lock();
        for (rank, engine) in engines.iter().enumerate() {
            if let Some(report) = beliefs.last_report(*engine) {
                switch.observe(rank, report);
            }
        }
    }

    /// Makes a request through the process beside the engine. An order goes straight to
    /// the engine if that process does not answer; a report has to come the way on which
    /// orders will go.
    async fn give(
        &self,
        engine: SocketAddr,
        asked: &RankRequest,
        base: BaseMap<'_>,
        awaiting: Option<Awaiting>,
    ) -> Result<OrderAnswer> {
        if engine == self.own {
            return request(&*self.engine, asked).await;
        }
        if self.is_silent(engine) {
            self.metrics.count("orders.direct");
            return request(&(self.make_engine)(engine), asked).await;
        }
        let peer = self.mailbox.peer(engine);
        match self.outbox.give(peer, asked, base, awaiting).await {
            Ok(answer) => Ok(answer),
            Err(error) if matches!(asked, RankRequest::Report { .. }) => Err(error),
            Err(error) => {
                log::info!(error:% = error; "order given to the engine directly");
                self.metrics.count("orders.direct");
                request(&(self.make_engine)(engine), asked).await
            }
        }
    }
}

/// The orders that carry a map, and their ranks.
fn maps(orders: &[OutgoingRequest]) -> impl Iterator<Item = (usize, &EngineOrder)> {
    orders.iter().filter_map(|OutgoingRequest { rank, request, .. }| match request {
        RankRequest::Order(order) if is_map(request) => Some((*rank, order)),
        _ => None,
    })
}

fn take_answer(switch: &mut MapSwitch, rank: usize, id: RequestId, answered: Result<OrderAnswer>) {
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
