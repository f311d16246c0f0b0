//! Pauses streams at their endpoints. What is paused is silent, and still detects cancellations.

use std::time::Duration;

use lynxmount_platform_standin::Gate;

use crate::{fleet::Fleet, history::Disturbed, plan::Paused};

/// Pauses streams for some time.
pub(crate) async fn pause_streams(fleet: &Fleet, paused: Paused, length: Duration) {
    let Some(gate) = gate(fleet, paused) else { return };
    let endpoints = match paused {
        Paused::AllStreams => fleet.stream_endpoints(),
        Paused::Endpoint(endpoint) | Paused::Stream(endpoint) => endpoint..endpoint + 1,
    };
    let paused = endpoints.map(Disturbed::Paused);
    let disturbances: Vec<usize> = paused.map(|what| fleet.start_disturbance(what)).collect();
    gate.hold();
    tokio::time::sleep(length).await;
    gate.release();
    disturbances.into_iter().for_each(|index| fleet.end_disturbance(index));
}

/// The gate of what is paused; `None` if the endpoint executes no stream.
fn gate(fleet: &Fleet, paused: Paused) -> Option<Gate> {
    match paused {
        Paused::AllStreams => Some(fleet.streams.clone()),
        Paused::Endpoint(endpoint) => Some(fleet.endpoints[endpoint].pause_gate()),
        Paused::Stream(endpoint) => fleet.endpoints[endpoint].newest_execution_gate(),
    }
}
