//! Gossip of endpoints' rate limits between entries.
//!
//! An entry without a share of a limit sends the endpoint hardly any requests, and would learn late
//! that the limit has ended. Each change is pushed to random peers in two rounds, and they forward
//! it.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use lynxmount_core::{EndpointId, EndpointIncarnation};
use lynxmount_link::GossipTopic;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::sync::Notify;

use crate::peers::Peers;

/// Minimum pause between messages to peers.
const PUBLISH_PAUSE: Duration = Duration::from_millis(300);

/// Gossip rounds per change, each to newly drawn peers: a single random round misses some.
const ROUNDS: u32 = 2;

/// Maximum number of reports in a message.
const MAX_REPORTS: usize = 256;

/// Upper bound of a message's transit time, added to the age of received reports.
const MAX_TRANSIT_TIME: Duration = Duration::from_millis(500);

/// The rate limit that a response of an endpoint announced.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct LimitReport {
    pub(crate) endpoint: EndpointId,
    pub(crate) life: EndpointIncarnation,
    /// Requests per second; `None` if the limit has ended.
    pub(crate) limit_per_s: Option<f64>,
    /// Time since the response arrived.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    age: Duration,
}

impl LimitReport {
    /// Upper bound of the time since the response arrived, for the receiver of the report.
    pub(crate) fn received_age(&self) -> Duration {
        self.age.saturating_add(MAX_TRANSIT_TIME)
    }
}

/// A limit that is still to be published.
struct PendingReport {
    endpoint: EndpointId,
    limit_per_s: Option<f64>,
    observed_at: Instant,
    rounds_left: u32,
}

/// Queue of limits to be published to peers.
#[derive(Default)]
pub(crate) struct LimitGossip {
    pending: Mutex<HashMap<EndpointIncarnation, PendingReport>>,
    added: Notify,
}

impl LimitGossip {
    /// Adds a limit that was observed `age` ago.
    pub(crate) fn add(
        &self,
        endpoint: &EndpointId,
        incarnation: EndpointIncarnation,
        limit_per_s: Option<f64>,
        age: Duration,
    ) {
        let Some(observed_at) = Instant::now().checked_sub(age) else { return };
        let endpoint = EndpointId::clone(endpoint);
        let report = PendingReport { endpoint, limit_per_s, observed_at, rounds_left: ROUNDS };
        self.pending.lock().insert(incarnation, report);
        self.added.notify_one();
    }

    /// Publishes limits to peers until the task is dropped.
    pub(crate) async fn publish(self: Arc<LimitGossip>, peers: Arc<Peers>) {
        loop {
            self.added.notified().await;
            peers.publish(GossipTopic::EndpointLimits, &self.next_batch()).await;
            tokio::time::sleep(PUBLISH_PAUSE).await;
        }
    }

    fn next_batch(&self) -> Vec<LimitReport> {
        let mut pending = self.pending.lock();
        let batch = pending.iter_mut().take(MAX_REPORTS).map(|(incarnation, report)| {
            report.rounds_left -= 1;
            LimitReport {
                endpoint: EndpointId::clone(&report.endpoint),
                life: *incarnation,
                limit_per_s: report.limit_per_s,
                age: report.observed_at.elapsed(),
            }
        });
        let reports: Vec<LimitReport> = batch.collect();
        pending.retain(|_, report| report.rounds_left > 0);
        if !pending.is_empty() {
            self.added.notify_one();
        }
        reports
    }
}
