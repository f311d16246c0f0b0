//! Backpressure from endpoints: rate limits, rest periods and announced departures, and the calls
//! that wait until endpoints resume.
//!
//! A rest period is the `Retry-After` of a refusal: it opens the endpoint's circuit breaker.

use std::{sync::Arc, time::Duration};

use lynxmount_core::{Mechanism, adapter::HeaderField};
use lynxmount_policy::{EndpointRateLimit, LimitChange, LimitShare, SlotOwners, Waiter};

use super::{Grant, PermitRequest, Service, Unavailable, inner::Inner};
use crate::{endpoint::Endpoint, limit_gossip::LimitReport};

impl Service {
    /// Applies the rate limit, or its absence, in an endpoint's response to a request that was sent
    /// at `sent_at`.
    pub(crate) fn on_limit(
        self: &Arc<Service>,
        endpoint: &Endpoint,
        announced: HeaderField<f64>,
        sent_at: Duration,
    ) {
        let limit_per_s = match announced {
            HeaderField::Absent => None,
            HeaderField::Value(limit_per_s) => Some(limit_per_s),
            HeaderField::Malformed => return self.on_malformed(endpoint, "limit"),
        };
        let is_limited = endpoint.backpressure.lock().rate_limit.limit_per_s().is_some();
        if limit_per_s.is_none() && !is_limited {
            return;
        }
        self.change_limit(endpoint, limit_per_s, |limit, now, share| {
            limit.on_response(limit_per_s, sent_at, now, share)
        });
    }

    /// Applies the rest period in a refusal of an endpoint, or its absence in any response.
    pub(crate) fn on_rest(
        self: &Arc<Service>,
        endpoint: &Endpoint,
        requested: HeaderField<Duration>,
    ) {
        if requested == HeaderField::Malformed {
            self.on_malformed(endpoint, "rest");
        }
        let HeaderField::Value(rest) = requested else {
            if endpoint.backpressure.lock().breaker.on_response() {
                self.wake();
            }
            return;
        };
        let rest_ms = rest.as_millis() as u64;
        self.metrics.count("endpoints.rests_asked");
        log::info!(endpoint = &*endpoint.record.id, rest_ms; "endpoint rest requested");
        if self.mechanisms.has(Mechanism::EndpointRests) {
            endpoint.backpressure.lock().breaker.on_refusal(rest, self.now());
        }
    }

    /// Records that an endpoint announces its departure, if it does.
    pub(crate) fn on_leaving(&self, endpoint: &Endpoint, announced: HeaderField<bool>) {
        match announced {
            HeaderField::Absent | HeaderField::Value(false) => {}
            HeaderField::Malformed => self.on_malformed(endpoint, "leaving"),
            HeaderField::Value(true) if !self.mechanisms.has(Mechanism::LeavingAnswers) => {}
            HeaderField::Value(true) => {
                if endpoint.backpressure.lock().on_leaving(self.now()) {
                    self.metrics.count("endpoints.leaving");
                    log::info!(endpoint = &*endpoint.record.id; "endpoint departure announced");
                }
            }
        }
    }

    fn on_malformed(&self, endpoint: &Endpoint, field: &str) {
        self.metrics.count("advice.malformed");
        log::warn!(endpoint = &*endpoint.record.id, field; "malformed backpressure ignored");
    }

    /// Applies a peer's report of a rate limit, if the endpoint belongs to this service.
    pub(crate) fn on_limit_report(self: &Arc<Service>, report: &LimitReport) {
        let inner = self.inner.lock();
        let is_reported = |endpoint: &&Arc<Endpoint>| {
            endpoint.record.id == report.endpoint && endpoint.record.incarnation() == report.life
        };
        let Some(endpoint) = inner.endpoints.iter().find(is_reported).cloned() else { return };
        drop(inner);
        let observed_at = self.now().saturating_sub(report.received_age());
        self.change_limit(&endpoint, report.limit_per_s, |limit, now, share| {
            limit.on_peer_report(report.limit_per_s, observed_at, now, share)
        });
    }

    /// Changes an endpoint's rate limit, and publishes it to peers if it differs.
    fn change_limit(
        self: &Arc<Service>,
        endpoint: &Endpoint,
        limit_per_s: Option<f64>,
        change: impl FnOnce(
            &mut EndpointRateLimit,
            Duration,
            &dyn Fn(f64) -> LimitShare,
        ) -> Option<LimitChange>,
    ) {
        if !self.mechanisms.has(Mechanism::EndpointLimits) {
            return;
        }
        let now = self.now();
        let inner = self.inner.lock();
        let share = |limit_per_s: f64| inner.limit_share(endpoint, limit_per_s);
        let mut backpressure = endpoint.backpressure.lock();
        let limit = &mut backpressure.rate_limit;
        let before = limit.limit_per_s();
        let changed = change(limit, now, &share);
        let age = limit.observed_at().map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let interval_ms = limit.share().map(|share| share.interval.as_millis() as u64);
        drop(backpressure);
        drop(inner);
        let Some(changed) = changed else { return };
        let record = &endpoint.record;
        self.metrics.count("endpoints.limit_changed");
        log::info!(endpoint = &*record.id, limit_per_s, before, interval_ms;
            "endpoint limit changed");
        self.limit_gossip.add(&record.id, record.incarnation(), limit_per_s, age);
        if changed == LimitChange::Lifted {
            self.wake();
        }
    }

    /// Arms a timer that grants free permits when an endpoint resumes, unless an earlier one is
    /// armed.
    pub(super) fn wake_on_resume(
        self: &Arc<Service>,
        inner: &mut Inner,
        resumes_at: Option<Duration>,
    ) {
        let is_earlier = |at: &Duration| inner.resume_timer.is_none_or(|armed| *at < armed);
        let Some(at) = resumes_at.filter(is_earlier) else { return };
        inner.resume_timer = Some(at);
        let service = Arc::clone(self);
        let wait = at.saturating_sub(self.now());
        tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            service.inner.lock().resume_timer = None;
            service.wake();
        });
    }
}

impl Inner {
    /// This entry's share of an endpoint's rate limit.
    fn limit_share(&self, endpoint: &Endpoint, limit_per_s: f64) -> LimitShare {
        let id = &endpoint.record.id;
        let share = match &self.owners {
            Some(owners) => LimitShare::new(owners, id, limit_per_s),
            None => LimitShare::new(&SlotOwners::default(), id, limit_per_s),
        };
        share.with_evidence(self.evidence)
    }

    /// Sets this entry's shares of the rate limits of all endpoints that have one.
    pub(super) fn set_limit_shares(&self, now: Duration) {
        for endpoint in &self.endpoints {
            let limit = &mut endpoint.backpressure.lock().rate_limit;
            if let Some(limit_per_s) = limit.limit_per_s() {
                limit.set_share(self.limit_share(endpoint, limit_per_s), now);
            }
        }
    }

    /// Queues a call until endpoints that have requested a pause resume, if they admit it in time.
    ///
    /// Fails at once if they do not, with a scheduled time for the caller's retry.
    pub(super) fn park_until_resume(
        &mut self,
        request: PermitRequest<'_>,
        resumes_at: Duration,
        now: Duration,
    ) -> Result<Grant, Unavailable> {
        let interval = self.admission_interval();
        let admitted_at = resumes_at + interval.saturating_mul(self.queue.len() as u32);
        if admitted_at <= request.park_until {
            let until = request.park_until;
            let ticket = self.queue.park(Waiter { wait_until: until, ..request.waiter }, now);
            return Ok(self.enqueue(ticket, until));
        }
        let retry_after = self.retry_schedule.assign(admitted_at, interval, now);
        Err(Unavailable::Paused { retry_after })
    }

    /// The interval between calls that this entry may send under the endpoints' rate limits.
    fn admission_interval(&self) -> Duration {
        let shares = self
            .endpoints
            .iter()
            .filter_map(|endpoint| endpoint.backpressure.lock().rate_limit.share());
        let rate_per_s: f64 = shares.map(|share| share.rate_per_s()).sum();
        match rate_per_s > 0.0 {
            true => Duration::from_secs_f64(rate_per_s.recip()),
            false => self.queue.interval(),
        }
    }
}
