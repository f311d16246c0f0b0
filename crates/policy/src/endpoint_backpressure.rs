//! Backpressure from one incarnation of an endpoint: its rate limit, circuit breaker and shutdown.

use std::time::Duration;

use crate::{CircuitBreaker, EndpointRateLimit};

/// How long the announced departure of an unregistered endpoint is remembered.
const UNREGISTERED_RETENTION: Duration = Duration::from_secs(60);

/// What one incarnation of an endpoint has asked of an entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointBackpressure {
    /// Its rate limit.
    pub rate_limit: EndpointRateLimit,
    /// Its circuit breaker.
    pub breaker: CircuitBreaker,
    leaving_since: Option<Duration>,
}

impl EndpointBackpressure {
    /// Records that the endpoint has announced its departure, which is final. Returns whether this
    /// is the first announcement.
    pub fn on_leaving(&mut self, now: Duration) -> bool {
        let is_new = self.leaving_since.is_none();
        self.leaving_since.get_or_insert(now);
        is_new
    }

    /// Whether the endpoint has announced its departure.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Whether the rate limit or the circuit breaker may restrict the next call.
    pub fn is_active(&self) -> bool {
        self.rate_limit.limit_per_s().is_some() || !self.breaker.is_closed()
    }

    /// Whether this is kept if the endpoint is not registered.
    pub fn is_recent(&self, now: Duration) -> bool {
        let is_leaving = self.leaving_since.is_some_and(|at| now < at + UNREGISTERED_RETENTION);
        is_leaving || self.rate_limit.is_recent(now) || self.breaker.resumes_at(now).is_some()
    }

    /// When the next call may be sent, if not now.
    pub fn resumes_at(&self, now: Duration) -> Option<Duration> {
        self.rate_limit.resumes_at(now).max(self.breaker.resumes_at(now))
    }

    /// Acquires a token for a call. Returns whether the call may be sent.
    pub fn try_acquire(&mut self, now: Duration) -> bool {
        !self.is_leaving()
            && self.resumes_at(now).is_none()
            && self.breaker.try_acquire(now)
            && self.rate_limit.try_acquire(now)
    }

    /// Whether a call with a token may still be sent.
    pub fn may_send(&self, now: Duration) -> bool {
        !self.is_leaving() && !self.breaker.is_open(now)
    }

    /// Refunds the token of a call that was not sent.
    pub fn refund(&mut self, now: Duration) {
        self.rate_limit.refund(now);
        self.breaker.abandon_trial(now);
    }
}
