//! Pauses streams at their endpoints. What is paused is silent, and still detects cancellations; it
//! counts as undisturbed, as it breaks off no response.

use std::time::Duration;

use lynxmount_platform_standin::Gate;

use crate::{fleet::Fleet, plan::Paused};

/// Pauses streams for some time.
pub(crate) async fn pause_streams(fleet: &Fleet, paused: Paused, length: Duration) {
    let Some(gate) = gate(fleet, paused) else { return };
    gate.hold();
    tokio::time::sleep(length).await;
    gate.release();
}

/// The gate of what is paused; `None` if the endpoint executes no stream.
fn gate(fleet: &Fleet, paused: Paused) -> Option<Gate> {
    match paused {
        Paused::AllStreams => Some(fleet.streams.clone()),
        Paused::Endpoint(endpoint) => Some(fleet.endpoints[endpoint].pause_gate()),
        Paused::Stream(endpoint) => fleet.endpoints[endpoint].newest_execution_gate(),
    }
}
