//! Least-loaded endpoint selection for direct calls.
//!
//! The group comes first: one whose streams are on time, a late one if those have no free
//! capacity, and a stalled one only if all are stalled.
//!
//! An entry knows its own calls exactly and those of others from late reports. It uses the slots
//! that it owns before those of others, see [`crate::SlotOwners`]. As there are few endpoints,
//! all are compared by load. Among equals the least recently chosen one is selected, and among
//! those that never were the first in the entry's own order, so that entries in the same state
//! don't select the same endpoints.

use std::time::Duration;

use crate::LatencyClass;

/// The state of an endpoint as an entry sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointSnapshot {
    /// This entry's calls in progress there.
    pub own_running: u32,
    /// Calls of other entries, by the last report.
    pub others_running: u32,
    /// Limit of the calls in progress from all entries.
    pub capacity: u32,
    /// Limit of this entry's calls in progress.
    pub own_capacity: u32,
    /// Slots there that this entry owns.
    pub own_slots: u32,
    /// Its position in this entry's own order of endpoints.
    pub own_order: u64,
    /// Whether its group takes no calls.
    pub is_closed: bool,
    /// Latency class of its group.
    pub latency_class: LatencyClass,
    /// Whether this entry's concurrency limit for its group is reached.
    pub is_at_limit: bool,
    /// Whether it is ejected as an outlier. Then it is selected only if all others are.
    pub is_ejected: bool,
    /// Whether the same call was sent there before.
    pub was_tried: bool,
    /// Sequence number of this entry's last choice of it; 0 for never.
    pub last_chosen: u64,
    /// Whether it has announced that it leaves.
    pub is_leaving: bool,
    /// When it takes the next call of this entry, if its rate limit or circuit breaker pauses calls
    /// until then.
    pub resumes_at: Option<Duration>,
}

impl EndpointSnapshot {
    fn has_capacity(&self) -> bool {
        !self.is_at_limit
            && self.own_running < self.own_capacity.max(self.own_slots)
            && self.own_running + self.others_running < self.capacity
    }

    /// Whether the next call would use a slot that another entry owns.
    fn exceeds_own_slots(&self) -> bool {
        self.own_running >= self.own_slots
    }

    /// Load as a fraction of the capacity, in millionths, so that it can be a sort key.
    fn load(&self) -> u64 {
        let running = u64::from(self.own_running + self.others_running);
        running * 1_000_000 / u64::from(self.capacity.max(1))
    }
}

/// Result of a selection among the endpoints of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Selection {
    /// The endpoint with this index.
    Endpoint(usize),
    /// The groups of all endpoints are closed.
    Closed,
    /// All endpoints that could take the call are at their limits.
    Full,
    /// There is no endpoint.
    NoEndpoint,
    /// The rate limits or circuit breakers of all endpoints of open groups pause calls.
    Paused {
        /// When the first of them resumes.
        until: Duration,
    },
}

/// When the first paused endpoint of an open group resumes.
pub fn earliest_resume(endpoints: &[EndpointSnapshot]) -> Option<Duration> {
    let takes_calls = |endpoint: &&EndpointSnapshot| !endpoint.is_closed && !endpoint.is_leaving;
    endpoints.iter().filter(takes_calls).filter_map(|endpoint| endpoint.resumes_at).min()
}

/// Selects an endpoint. Those that were tried or are ejected are selected only if there are no
/// others, so that ejections never empty a service.
pub fn select_endpoint(endpoints: &[EndpointSnapshot]) -> Selection {
    // A call is better off waiting for a healthy endpoint than sent to an ejected one.
    let is_paused =
        |endpoint: &EndpointSnapshot| !endpoint.is_closed && endpoint.resumes_at.is_some();
    let staying = || endpoints.iter().enumerate().filter(|(_, endpoint)| !endpoint.is_leaving);
    let has_healthy_paused =
        staying().any(|(_, endpoint)| is_paused(endpoint) && !endpoint.is_ejected);
    let is_excluded = |endpoint: &EndpointSnapshot| {
        endpoint.is_closed || endpoint.is_ejected && has_healthy_paused
    };
    let is_available = |endpoint: &EndpointSnapshot| !is_paused(endpoint) && !is_excluded(endpoint);
    let available: Vec<(usize, &EndpointSnapshot)> =
        staying().filter(|(_, endpoint)| is_available(endpoint)).collect();
    let Some(best) = available.iter().map(|(_, endpoint)| endpoint.latency_class).min() else {
        return match earliest_resume(endpoints) {
            Some(until) => Selection::Paused { until },
            None if staying().next().is_none() => Selection::NoEndpoint,
            None => Selection::Closed,
        };
    };
    let worst = match best {
        LatencyClass::OnTime | LatencyClass::Late => LatencyClass::Late,
        LatencyClass::Stalled => LatencyClass::Stalled,
    };
    let classes = [LatencyClass::OnTime, LatencyClass::Late, LatencyClass::Stalled];
    let mut selected = classes.into_iter().filter(|class| *class <= worst).filter_map(|class| {
        let of_class: Vec<(usize, &EndpointSnapshot)> = available
            .iter()
            .filter(|(_, endpoint)| endpoint.latency_class == class)
            .copied()
            .collect();
        least_loaded(&of_class)
    });
    selected.next().map_or(Selection::Full, Selection::Endpoint)
}

/// The least loaded endpoint with free capacity of those that are neither tried nor ejected, as
/// far as there are such.
fn least_loaded(endpoints: &[(usize, &EndpointSnapshot)]) -> Option<usize> {
    let preference = |endpoint: &EndpointSnapshot| (endpoint.is_ejected, endpoint.was_tried);
    let best = endpoints.iter().map(|(_, endpoint)| preference(endpoint)).min()?;
    let with_capacity = endpoints
        .iter()
        .filter(|(_, endpoint)| preference(endpoint) == best && endpoint.has_capacity());
    let order = |endpoint: &EndpointSnapshot| {
        (endpoint.exceeds_own_slots(), endpoint.load(), endpoint.last_chosen, endpoint.own_order)
    };
    with_capacity.min_by_key(|(_, endpoint)| order(endpoint)).map(|(index, _)| *index)
}
