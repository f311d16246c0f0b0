//! Gossip of the limits that endpoints name.
//!
//! An entry without a share of a limit sends the endpoint next to nothing, and would learn of the
//! limit's end late. What is new is published to some peers in two rounds, and they pass it on.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use lynxmount_core::{EndpointId, EndpointIncarnation};
use lynxmount_link::Topic;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::sync::Notify;

use crate::peers::Peers;

/// The shortest pause between messages to peers.
const PUBLISH_PAUSE: Duration = Duration::from_millis(300);

/// How often each change is published, to other peers each time: a round at random misses some.
const ROUNDS: u32 = 2;

/// Endpoints in one message.
const MAX_REPORTS: usize = 256;

/// How long a message may take; a report counts as that much older than it says.
const TRANSIT_TIME: Duration = Duration::from_millis(500);

/// What an answer told of an endpoint's limit.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct LimitReport {
    pub(crate) endpoint: EndpointId,
    pub(crate) life: EndpointIncarnation,
    /// Requests a second; `None` if there is no limit any more.
    pub(crate) limit_per_s: Option<f64>,
    /// How long ago the answer came.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    age: Duration,
}

impl LimitReport {
    /// How long ago the answer came, as far as the receiver can tell.
    pub(crate) fn received_age(&self) -> Duration {
        self.age.saturating_add(TRANSIT_TIME)
    }
}

struct Observation {
    endpoint: EndpointId,
    limit_per_s: Option<f64>,
    observed_at: Instant,
    rounds_left: u32,
}

/// Limits that peers are to be told of.
#[derive(Default)]
pub(crate) struct LimitGossip {
    unpublished: Mutex<HashMap<EndpointIncarnation, Observation>>,
    added: Notify,
}

impl LimitGossip {
    /// Adds what was observed of an endpoint's limit some time ago.
    pub(crate) fn add(
        &self,
        endpoint: &EndpointId,
        life: EndpointIncarnation,
        limit_per_s: Option<f64>,
        age: Duration,
    ) {
        let Some(observed_at) = Instant::now().checked_sub(age) else { return };
        let endpoint = EndpointId::clone(endpoint);
        let observation = Observation { endpoint, limit_per_s, observed_at, rounds_left: ROUNDS };
        self.unpublished.lock().insert(life, observation);
        self.added.notify_one();
    }

    /// Publishes to peers until the task is dropped.
    pub(crate) async fn publish(self: Arc<LimitGossip>, peers: Arc<Peers>) {
        loop {
            self.added.notified().await;
            peers.publish(Topic::EndpointLimits, &self.take()).await;
            tokio::time::sleep(PUBLISH_PAUSE).await;
        }
    }

    fn take(&self) -> Vec<LimitReport> {
        let mut unpublished = self.unpublished.lock();
        let taken = unpublished.iter_mut().take(MAX_REPORTS).map(|(life, observation)| {
            observation.rounds_left -= 1;
            LimitReport {
                endpoint: EndpointId::clone(&observation.endpoint),
                life: *life,
                limit_per_s: observation.limit_per_s,
                age: observation.observed_at.elapsed(),
            }
        });
        let reports: Vec<LimitReport> = taken.collect();
        unpublished.retain(|_, observation| observation.rounds_left > 0);
        if !unpublished.is_empty() {
            self.added.notify_one();
        }
        reports
    }
}
