//! What is asked of an engine: an order with its state after it, its state alone, and what
//! it holds.

use lynxmount_core::{
    Result,
    edge::Engine,
    experts::{EngineOrder, GroupEpoch, MapVersion, Membership, OrderResult},
};
use lynxmount_group::{RankRequest, RankRow};

use crate::message::OrderAnswer;

/// How often an order without an answer is given, in all. What it asks for holds
/// after the first time, so that it may be given again.
const MAX_TRIES: u32 = 4;

/// Makes a request, and reads the engine's state after it.
///
/// Fails if the state can't be read.
pub(crate) async fn request(engine: &impl Engine, request: &RankRequest) -> Result<OrderAnswer> {
    match request {
        RankRequest::Order(order) => give(engine, order).await,
        RankRequest::Report { .. } => {
            let report = engine.report().await?;
            Ok(OrderAnswer { result: Some(OrderResult::Accepted), tries: 0, report })
        }
    }
}

/// Gives an order, and reads the engine's state after it.
///
/// Fails if the state can't be read.
async fn give(engine: &impl Engine, order: &EngineOrder) -> Result<OrderAnswer> {
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

/// What an engine holds of a map; `None` if it uses another one.
///
/// Fails if it can't be read.
pub(crate) async fn read_row(
    engine: &impl Engine,
    epoch: GroupEpoch,
    version: MapVersion,
) -> Result<Option<RankRow>> {
    let held = engine.rank_map().await?;
    let report = engine.report().await?;
    let membership = report.membership.filter(|m| m.epoch == epoch);
    let membership = membership.filter(|_| held.version == version && report.map == version);
    Ok(membership.map(|Membership { rank, ranks, .. }| RankRow {
        epoch,
        version,
        rank,
        ranks,
        experts: held.experts,
    }))
}
