//! What one life of an endpoint has asked of an entry.

use std::time::Duration;

use crate::{EndpointLimit, EndpointRest};

/// What one life of an endpoint has asked of an entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointAdvice {
    /// Its rate limit.
    pub limit: EndpointLimit,
    /// Its rest.
    pub rest: EndpointRest,
}

impl EndpointAdvice {
    /// Says whether the endpoint has asked for something that concerns the next call.
    pub fn is_active(&self) -> bool {
        self.limit.limit_per_s().is_some() || !self.rest.is_closed()
    }

    /// Says whether it is to be remembered of an endpoint that is not registered.
    pub fn is_recent(&self, now: Duration) -> bool {
        self.limit.is_recent(now) || self.rest.resumes_at(now).is_some()
    }

    /// When the next call may be sent, if not now.
    pub fn resumes_at(&self, now: Duration) -> Option<Duration> {
        self.limit.resumes_at(now).max(self.rest.resumes_at(now))
    }

    /// Takes a call that is about to be sent. Returns whether it may be.
    pub fn take(&mut self, now: Duration) -> bool {
        self.resumes_at(now).is_none() && self.rest.take(now) && self.limit.take(now)
    }

    /// Says whether a call that was taken may still be sent.
    pub fn may_send(&self, now: Duration) -> bool {
        !self.rest.is_open(now)
    }

    /// Returns a call that was not sent.
    pub fn put_back(&mut self, now: Duration) {
        self.limit.put_back(now);
        self.rest.put_back(now);
    }
}
