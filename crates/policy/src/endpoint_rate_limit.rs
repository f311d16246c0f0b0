//! Distributed rate limiting: a rate limit that an endpoint announces for all entries together.
//!
//! There is no coordinator: rendezvous hashing picks the few entries that share the rate, each
//! paced by GCRA without a burst, as the bursts of all would add up. The other entries send only
//! rare probes; peers notify them when the limit is lifted.

use std::time::Duration;

use crate::{MembershipEvidence, SlotOwners};

/// The lowest limit that is enforced, in requests a second. An endpoint that gets no requests
/// can't announce that its limit is lifted.
const MIN_LIMIT_PER_S: f64 = 0.05;

/// The highest limit that is distinguished from none, in requests a second.
const MAX_LIMIT_PER_S: f64 = 1_000_000.0;

/// Entries that share a limit, in addition to one for each request a second.
const EXTRA_HOLDERS: usize = 3;

/// Fraction of a limit that the entries without a share use for probes.
const PROBE_FRACTION: f64 = 0.1;

/// How late a request may use its turn without moving those after it.
const LATE_TOLERANCE: Duration = Duration::from_millis(250);

/// Time after an entry's start until all others know of it. Until then they share limits without
/// it.
pub const MEMBERSHIP_CONVERGENCE_TIME: Duration = Duration::from_secs(9);

/// How long the limit of an unregistered endpoint is kept.
const UNREGISTERED_RETENTION: Duration = Duration::from_secs(60);

/// Factor by which an entry's interval is longer until membership has converged.
const CONVERGENCE_INTERVAL_FACTOR: u32 = 3;

/// The same for an entry whose list of entries is old: others that have joined since use shares of
/// the whole limit beside it.
const STALE_INTERVAL_FACTOR: u32 = 2;

/// The same for an entry that no list names. It does not know how many are in the same state.
const UNLISTED_INTERVAL_FACTOR: u32 = 30;

/// One entry's share of an endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitShare {
    /// Interval between its requests.
    pub interval: Duration,
    /// Fraction of the interval before its first request, so that entries that learn of a limit at
    /// the same time don't send at the same time.
    pub phase: f64,
    /// Whether the own entry knows all entries.
    pub evidence: MembershipEvidence,
}

impl LimitShare {
    /// The own entry's share of a limit, as if it knew all entries from its start on.
    pub fn new(owners: &SlotOwners, endpoint: &str, limit_per_s: f64) -> LimitShare {
        let limit_per_s = limit_per_s.clamp(MIN_LIMIT_PER_S, MAX_LIMIT_PER_S);
        let entries = owners.entries();
        let holders = entries.min(limit_per_s as usize + EXTRA_HOLDERS);
        let others = entries - holders;
        let precedence = owners.precedence(endpoint);
        let (rate_per_s, position, sharers) = match precedence < holders {
            true if others == 0 => (limit_per_s, precedence, holders),
            true => (limit_per_s * (1.0 - PROBE_FRACTION), precedence, holders),
            false => (limit_per_s * PROBE_FRACTION, precedence - holders, others),
        };
        LimitShare {
            interval: Duration::from_secs_f64(sharers as f64 / rate_per_s),
            phase: (position + 1) as f64 / sharers as f64,
            evidence: MembershipEvidence::Current { since: Duration::ZERO },
        }
    }

    /// The share of an entry with this evidence.
    pub fn with_evidence(self, evidence: MembershipEvidence) -> LimitShare {
        LimitShare { evidence, ..self }
    }

    /// Rate in requests a second.
    pub fn rate_per_s(&self) -> f64 {
        self.interval.as_secs_f64().recip()
    }

    /// The interval after a request that is sent at a time since the entry's start.
    fn interval_at(&self, now: Duration) -> Duration {
        self.interval
            * match self.evidence {
                MembershipEvidence::None => UNLISTED_INTERVAL_FACTOR,
                MembershipEvidence::Unconfirmed => CONVERGENCE_INTERVAL_FACTOR,
                MembershipEvidence::Current { since } | MembershipEvidence::Stale { since }
                    if now < since + MEMBERSHIP_CONVERGENCE_TIME =>
                {
                    CONVERGENCE_INTERVAL_FACTOR
                }
                MembershipEvidence::Stale { .. } => STALE_INTERVAL_FACTOR,
                MembershipEvidence::Current { .. } => 1,
            }
    }
}

/// How an endpoint's limit has changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitChange {
    /// There is no limit any more.
    Lifted,
    /// There is a limit, and there was none or another before.
    Changed,
}

#[derive(Clone, Copy, Debug)]
struct ActiveLimit {
    limit_per_s: f64,
    share: LimitShare,
    /// When the next request may be sent.
    next_at: Duration,
}

/// The limit of one endpoint at one entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointRateLimit {
    active: Option<ActiveLimit>,
    /// When an answer last showed whether there is a limit.
    observed_at: Option<Duration>,
}

impl EndpointRateLimit {
    /// When an answer last showed whether there is a limit.
    pub fn observed_at(&self) -> Option<Duration> {
        self.observed_at
    }

    /// The limit, in requests a second.
    pub fn limit_per_s(&self) -> Option<f64> {
        self.active.map(|active| active.limit_per_s)
    }

    /// The own entry's share of the limit.
    pub fn share(&self) -> Option<LimitShare> {
        self.active.map(|active| active.share)
    }

    /// Whether there is a limit that was observed recently enough to keep it for an unregistered
    /// endpoint.
    pub fn is_recent(&self, now: Duration) -> bool {
        self.active.is_some()
            && self.observed_at.is_some_and(|at| now < at + UNREGISTERED_RETENTION)
    }

    /// Applies the limit in the answer to a request that was sent at `sent_at`.
    ///
    /// An answer without a limit lifts it only if its request was sent after the limit was last
    /// observed, as answers may overtake each other.
    pub fn on_response(
        &mut self,
        limit_per_s: Option<f64>,
        sent_at: Duration,
        now: Duration,
        share: impl FnOnce(f64) -> LimitShare,
    ) -> Option<LimitChange> {
        if limit_per_s.is_none() && self.observed_at.is_some_and(|at| sent_at < at) {
            return None;
        }
        self.observed_at = Some(now);
        self.set(limit_per_s, now, share)
    }

    /// Applies a limit that a peer observed at `observed_at`, unless the own observation is newer.
    pub fn on_peer_report(
        &mut self,
        limit_per_s: Option<f64>,
        observed_at: Duration,
        now: Duration,
        share: impl FnOnce(f64) -> LimitShare,
    ) -> Option<LimitChange> {
        if self.observed_at.is_some_and(|at| observed_at <= at) {
            return None;
        }
        self.observed_at = Some(observed_at);
        self.set(limit_per_s, now, share)
    }

    fn set(
        &mut self,
        limit_per_s: Option<f64>,
        now: Duration,
        share: impl FnOnce(f64) -> LimitShare,
    ) -> Option<LimitChange> {
        match (limit_per_s, &mut self.active) {
            (None, None) => None,
            (None, Some(_)) => {
                self.active = None;
                Some(LimitChange::Lifted)
            }
            (Some(limit_per_s), Some(active)) if active.limit_per_s == limit_per_s => None,
            (Some(limit_per_s), active) => {
                let share = share(limit_per_s);
                let first_at = now + share.interval_at(now).mul_f64(share.phase);
                let next_at = active.map_or(first_at, |before| before.next_at.min(first_at));
                *active = Some(ActiveLimit { limit_per_s, share, next_at });
                Some(LimitChange::Changed)
            }
        }
    }

    /// Replaces the share after the set of entries has changed.
    pub fn set_share(&mut self, share: LimitShare, now: Duration) {
        if let Some(active) = self.active.as_mut().filter(|active| active.share != share) {
            active.share = share;
            active.next_at = active.next_at.min(now + share.interval_at(now));
        }
    }

    /// When the next request may be sent, if not now.
    pub fn resumes_at(&self, now: Duration) -> Option<Duration> {
        self.active.map(|active| active.next_at).filter(|at| *at > now)
    }

    /// Acquires a request from the share. Returns whether it may be sent.
    pub fn try_acquire(&mut self, now: Duration) -> bool {
        let Some(active) = &mut self.active else { return true };
        if active.next_at > now {
            return false;
        }
        let turn = active.next_at.max(now.saturating_sub(LATE_TOLERANCE));
        active.next_at = turn + active.share.interval_at(now);
        true
    }

    /// Refunds an acquired request that was not sent.
    pub fn refund(&mut self, now: Duration) {
        if let Some(active) = &mut self.active {
            active.next_at = active.next_at.saturating_sub(active.share.interval_at(now));
        }
    }
}
