//! Calls to an engine: orders, reports, and reading its row of an expert map.

use lynxmount_core::{
    Result,
    adapter::Engine,
    experts::{EngineOrder, GroupEpoch, GroupMembership, MapVersion, OrderResult},
};
use lynxmount_group::{RankRequest, RankRow};

use crate::message::{OrderAnswer, SentOrder};

/// How often an order is sent in all while it is not answered. Orders are idempotent.
const MAX_TRIES: u32 = 4;

/// Makes a request, and reads the engine's state after it.
///
/// Fails if the state can't be read.
pub(crate) async fn make_request(
    engine: &impl Engine,
    request: &RankRequest,
) -> Result<OrderAnswer> {
    match request {
        RankRequest::Order(order) => {
            let SentOrder { result, tries } = send_order(engine, order).await;
            let report = engine.report().await?;
            Ok(OrderAnswer { result, tries, report })
        }
        RankRequest::Report { .. } => {
            let report = engine.report().await?;
            Ok(OrderAnswer { result: Some(OrderResult::Accepted), tries: 0, report })
        }
    }
}

/// Sends an order until it is answered, a limited number of times.
pub(crate) async fn send_order(engine: &impl Engine, order: &EngineOrder) -> SentOrder {
    let mut sent = SentOrder { result: None, tries: 0 };
    while sent.result.is_none() && sent.tries < MAX_TRIES {
        sent.tries += 1;
        match engine.order(order).await {
            Ok(result) => sent.result = Some(result),
            Err(error) => {
                log::info!(tries = sent.tries, error:% = error;
                    "order not answered by the engine");
            }
        }
    }
    sent
}

/// The experts that an engine holds under a map; `None` if it uses another map or is in
/// another epoch.
///
/// Fails if the engine can't be read.
pub(crate) async fn read_row(
    engine: &impl Engine,
    epoch: GroupEpoch,
    version: MapVersion,
) -> Result<Option<RankRow>> {
    let held = engine.rank_map().await?;
    let report = engine.report().await?;
    let membership = report.membership.filter(|m| m.epoch == epoch);
    let membership = membership.filter(|_| held.version == version && report.map == version);
    Ok(membership.map(|GroupMembership { rank, ranks, .. }| RankRow {
        epoch,
        version,
        rank,
        ranks,
        experts: held.experts,
    }))
}
