//! A rate limit that an endpoint names for all entries together.
//!
//! There is no coordinator: rendezvous hashing picks the few entries that share the rate, each
//! paced by GCRA without a burst, as the bursts of all would add up. The others leave the
//! endpoint alone but for rare requests; peers tell them when the limit has ended.

use std::time::Duration;

use crate::SlotOwners;

/// The lowest limit that is held to, in requests a second. An endpoint that gets nothing can't
/// say that its limit has ended.
const MIN_LIMIT_PER_S: f64 = 0.05;

/// The highest limit that is told apart from none, in requests a second.
const MAX_LIMIT_PER_S: f64 = 1_000_000.0;

/// Entries that share a limit beyond one for each request a second.
const EXTRA_HOLDERS: usize = 3;

/// The part of a limit that goes to the entries without a share of it.
const PROBE_PART: f64 = 0.1;

/// How late a request may use its turn without moving those after it.
const TOLERANCE: Duration = Duration::from_millis(250);

/// How long after an entry's start others may not know of it yet, and share a limit without it.
pub const MEMBERSHIP_CONVERGENCE_TIME: Duration = Duration::from_secs(9);

/// How long a limit is remembered of an endpoint that is not registered.
const UNLISTED_LIFE: Duration = Duration::from_secs(60);

/// By what an entry's pauses are longer until then.
const SETTLE_FACTOR: u32 = 3;

/// What one entry may send of an endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitShare {
    /// The pause between its requests.
    pub interval: Duration,
    /// Which part of the interval passes before its first request; entries that hear of a limit
    /// at the same time don't send at the same time.
    pub phase: f64,
}

impl LimitShare {
    /// The own entry's share of a limit.
    pub fn new(owners: &SlotOwners, endpoint: &str, limit_per_s: f64) -> LimitShare {
        let limit_per_s = limit_per_s.clamp(MIN_LIMIT_PER_S, MAX_LIMIT_PER_S);
        let entries = owners.entries();
        let holders = entries.min(limit_per_s as usize + EXTRA_HOLDERS);
        let others = entries - holders;
        let rank = owners.precedence(endpoint);
        let (rate_per_s, place, of) = match rank < holders {
            true if others == 0 => (limit_per_s, rank, holders),
            true => (limit_per_s * (1.0 - PROBE_PART), rank, holders),
            false => (limit_per_s * PROBE_PART, rank - holders, others),
        };
        LimitShare {
            interval: Duration::from_secs_f64(of as f64 / rate_per_s),
            phase: (place + 1) as f64 / of as f64,
        }
    }

    /// Requests a second.
    pub fn rate_per_s(&self) -> f64 {
        self.interval.as_secs_f64().recip()
    }

    /// The pause after a request that is sent at a time since the entry's start.
    fn pause(&self, now: Duration) -> Duration {
        match now < MEMBERSHIP_CONVERGENCE_TIME {
            true => self.interval * SETTLE_FACTOR,
            false => self.interval,
        }
    }
}

/// How an endpoint's limit has changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitChange {
    /// It names none any more.
    Lifted,
    /// It names one, or another than before.
    Changed,
}

#[derive(Clone, Copy, Debug)]
struct Named {
    limit_per_s: f64,
    share: LimitShare,
    /// When the next request may be sent.
    next_at: Duration,
}

/// The limit of one endpoint at one entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointRateLimit {
    named: Option<Named>,
    /// When an answer last told whether there is a limit.
    observed_at: Option<Duration>,
}

impl EndpointRateLimit {
    /// When an answer last told whether there is a limit.
    pub fn observed_at(&self) -> Option<Duration> {
        self.observed_at
    }

    /// The limit, in requests a second.
    pub fn limit_per_s(&self) -> Option<f64> {
        self.named.map(|named| named.limit_per_s)
    }

    /// The own entry's share of the limit.
    pub fn share(&self) -> Option<LimitShare> {
        self.named.map(|named| named.share)
    }

    /// Says whether the limit was named lately. It is kept that long for an endpoint that is not
    /// registered.
    pub fn is_recent(&self, now: Duration) -> bool {
        self.named.is_some() && self.observed_at.is_some_and(|at| now < at + UNLISTED_LIFE)
    }

    /// Takes what an answer says to a request that was sent at a time.
    ///
    /// An answer without a limit ends it only if its request was sent after the limit was last
    /// named: answers overtake each other.
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

    /// Takes what a peer has observed at a time. What is older than the own observation changes
    /// nothing.
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
        match (limit_per_s, &mut self.named) {
            (None, None) => None,
            (None, Some(_)) => {
                self.named = None;
                Some(LimitChange::Lifted)
            }
            (Some(limit_per_s), Some(named)) if named.limit_per_s == limit_per_s => None,
            (Some(limit_per_s), named) => {
                let share = share(limit_per_s);
                let first_at = now + share.pause(now).mul_f64(share.phase);
                let next_at = named.map_or(first_at, |before| before.next_at.min(first_at));
                *named = Some(Named { limit_per_s, share, next_at });
                Some(LimitChange::Changed)
            }
        }
    }

    /// Takes over a share that has changed with the entries.
    pub fn set_share(&mut self, share: LimitShare, now: Duration) {
        if let Some(named) = self.named.as_mut().filter(|named| named.share != share) {
            named.share = share;
            named.next_at = named.next_at.min(now + share.pause(now));
        }
    }

    /// When the next request may be sent, if not now.
    pub fn resumes_at(&self, now: Duration) -> Option<Duration> {
        self.named.map(|named| named.next_at).filter(|at| *at > now)
    }

    /// Takes a request out of the share. Returns whether it may be sent.
    pub fn try_acquire(&mut self, now: Duration) -> bool {
        let Some(named) = &mut self.named else { return true };
        if named.next_at > now {
            return false;
        }
        let turn = named.next_at.max(now.saturating_sub(TOLERANCE));
        named.next_at = turn + named.share.pause(now);
        true
    }

    /// Returns a request to the share that was not sent.
    pub fn refund(&mut self, now: Duration) {
        if let Some(named) = &mut self.named {
            named.next_at = named.next_at.saturating_sub(named.share.pause(now));
        }
    }
}
