//! Calls that were answered by another endpoint than the one they were sent to.
//!
//! Registrations are applied elsewhere, so that what calls find out about them is collected here.

use std::collections::BTreeSet;

use lynxmount_core::EndpointIncarnation;
use parking_lot::Mutex;
use tokio::sync::Notify;

/// The incarnations at whose addresses other endpoints have answered.
#[derive(Default)]
pub(crate) struct Misdirections {
    pending: Mutex<BTreeSet<EndpointIncarnation>>,
    recorded: Notify,
}

impl Misdirections {
    /// Records that another endpoint has answered a call to an incarnation.
    pub(crate) fn record(&self, incarnation: EndpointIncarnation) {
        self.pending.lock().insert(incarnation);
        self.recorded.notify_one();
    }

    /// Waits for incarnations that were recorded since the last call.
    pub(crate) async fn next(&self) -> BTreeSet<EndpointIncarnation> {
        self.recorded.notified().await;
        std::mem::take(&mut *self.pending.lock())
    }
}
