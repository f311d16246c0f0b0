//! Calls that were answered by another endpoint than the one they were sent to.
//!
//! Registrations are applied elsewhere, so that what calls find out about them is collected here.

use std::collections::BTreeSet;

use lynxmount_core::{EndpointId, EndpointRecord};
use parking_lot::Mutex;
use tokio::sync::Notify;

/// An endpoint's id and start time, which tell its incarnations apart.
pub(crate) type MisdirectedEndpoint = (EndpointId, Option<u64>);

/// The endpoints at whose addresses others have answered.
#[derive(Default)]
pub(crate) struct Misdirections {
    pending: Mutex<BTreeSet<MisdirectedEndpoint>>,
    recorded: Notify,
}

impl Misdirections {
    /// Records that another endpoint has answered a call to this one.
    pub(crate) fn record(&self, endpoint: &EndpointRecord) {
        self.pending.lock().insert((EndpointId::clone(&endpoint.id), endpoint.started_ms));
        self.recorded.notify_one();
    }

    /// Waits for endpoints that were recorded since the last call.
    pub(crate) async fn next(&self) -> BTreeSet<MisdirectedEndpoint> {
        self.recorded.notified().await;
        std::mem::take(&mut *self.pending.lock())
    }
}
