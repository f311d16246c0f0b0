//! What endpoint processes tell each other.

use std::net::SocketAddr;

use lynxmount_core::{
    Result, Step,
    experts::{Counts, EngineOrder, EngineReport, OrderResult, RankMap},
    invalid,
};
use serde::{Deserialize, Serialize};

/// The state of one rank; one datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct RankState {
    /// The engine's address, which names the rank's process.
    pub(crate) engine: SocketAddr,
    /// What the engine reports.
    pub(crate) report: EngineReport,
    /// The experts that the rank holds.
    pub(crate) held: RankMap,
    /// Counts since the engine's start.
    pub(crate) counts: Counts,
}

impl RankState {
    pub(crate) fn encode(&self) -> Result<Vec<u8>> {
        postcard::to_stdvec(self).map_err(|e| invalid(Step::Order, self.engine, e))
    }

    pub(crate) fn decode(peer: SocketAddr, bytes: &[u8]) -> Result<RankState> {
        postcard::from_bytes(bytes).map_err(|e| invalid(Step::Order, peer, e))
    }
}

/// An order to the engine beside a process: `POST /v1/order`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct OrderRequest {
    /// The order.
    pub(crate) order: EngineOrder,
}

/// What came of it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct OrderAnswer {
    /// The engine's answer; `None` if it gave none in time.
    pub(crate) result: Option<OrderResult>,
    /// How often it was given until there was an answer.
    pub(crate) tries: u32,
    /// The engine's state after that.
    pub(crate) report: EngineReport,
}
