//! What endpoints ask of their callers, and the calls that wait for endpoints to resume.

use std::{sync::Arc, time::Duration};

use lynxmount_core::{Mechanism, edge::Field};
use lynxmount_policy::{EndpointRateLimit, LimitChange, LimitShare, SlotOwners, Waiter};

use super::{Offered, Service, Unavailable, Want, inner::Inner};
use crate::{endpoint::Endpoint, limit_gossip::LimitReport};

impl Service {
    /// Takes the limit that an endpoint names with its answer to a request that was sent at a
    /// time, or names no more.
    pub(crate) fn on_limit(
        self: &Arc<Service>,
        endpoint: &Endpoint,
        named: Field<f64>,
        sent_at: Duration,
    ) {
        let limit_per_s = match named {
            Field::Absent => None,
            Field::Value(limit_per_s) => Some(limit_per_s),
            Field::Malformed => return self.on_malformed(endpoint, "limit"),
        };
        let is_limited = endpoint.advice.lock().rate_limit.limit_per_s().is_some();
        if limit_per_s.is_none() && !is_limited {
            return;
        }
        self.change_limit(endpoint, limit_per_s, |limit, now, share| {
            limit.on_response(limit_per_s, sent_at, now, share)
        });
    }

    /// Takes how long an endpoint wants no request, as it says with a refusal.
    pub(crate) fn on_rest(self: &Arc<Service>, endpoint: &Endpoint, asked: Field<Duration>) {
        if asked == Field::Malformed {
            self.on_malformed(endpoint, "rest");
        }
        let Field::Value(rest) = asked else {
            if endpoint.advice.lock().breaker.on_response() {
                self.wake();
            }
            return;
        };
        let rest_ms = rest.as_millis() as u64;
        self.metrics.count("endpoints.rests_asked");
        log::info!(endpoint = &*endpoint.record.id, rest_ms; "endpoint asked for rest");
        if self.mechanisms.has(Mechanism::EndpointRests) {
            endpoint.advice.lock().breaker.on_refusal(rest, self.now());
        }
    }

    /// Takes whether an endpoint says that it leaves.
    pub(crate) fn on_leaving(&self, endpoint: &Endpoint, said: Field<bool>) {
        match said {
            Field::Absent | Field::Value(false) => {}
            Field::Malformed => self.on_malformed(endpoint, "leaving"),
            Field::Value(true) if !self.mechanisms.has(Mechanism::LeavingAnswers) => {}
            Field::Value(true) => {
                if endpoint.advice.lock().on_leaving(self.now()) {
                    self.metrics.count("endpoints.leaving");
                    log::info!(endpoint = &*endpoint.record.id; "endpoint leaves");
                }
            }
        }
    }

    fn on_malformed(&self, endpoint: &Endpoint, field: &str) {
        self.metrics.count("advice.malformed");
        log::warn!(endpoint = &*endpoint.record.id, field; "malformed advice ignored");
    }

    /// Takes what a peer has observed of an endpoint's limit, if the endpoint is of this service.
    pub(crate) fn on_limit_report(self: &Arc<Service>, report: &LimitReport) {
        let inner = self.inner.lock();
        let is_meant = |endpoint: &&Arc<Endpoint>| {
            endpoint.record.id == report.endpoint && endpoint.record.life() == report.life
        };
        let Some(endpoint) = inner.endpoints.iter().find(is_meant).cloned() else { return };
        drop(inner);
        let observed_at = self.now().saturating_sub(report.received_age());
        self.change_limit(&endpoint, report.limit_per_s, |limit, now, share| {
            limit.on_peer_report(report.limit_per_s, observed_at, now, share)
        });
    }

    /// Changes an endpoint's limit, and has peers told if it is another then.
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
        let mut advice = endpoint.advice.lock();
        let limit = &mut advice.rate_limit;
        let before = limit.limit_per_s();
        let changed = change(limit, now, &share);
        let age = limit.observed_at().map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let interval_ms = limit.share().map(|share| share.interval.as_millis() as u64);
        drop(advice);
        drop(inner);
        let Some(changed) = changed else { return };
        let record = &endpoint.record;
        self.metrics.count("endpoints.limit_changed");
        log::info!(endpoint = &*record.id, limit_per_s, before, interval_ms;
            "endpoint limit changed");
        self.limit_gossip.add(&record.id, record.life(), limit_per_s, age);
        if changed == LimitChange::Lifted {
            self.wake();
        }
    }

    /// Grants free permits once an endpoint takes calls again, if none else has to.
    pub(super) fn wake_on_resume(
        self: &Arc<Service>,
        inner: &mut Inner,
        resumes_at: Option<Duration>,
    ) {
        let is_first = |at: &Duration| inner.resume_timer.is_none_or(|armed| *at < armed);
        let Some(at) = resumes_at.filter(is_first) else { return };
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
    /// This entry's share of a limit that an endpoint names.
    fn limit_share(&self, endpoint: &Endpoint, limit_per_s: f64) -> LimitShare {
        match &self.owners {
            Some(owners) => LimitShare::new(owners, &endpoint.record.id, limit_per_s),
            None => LimitShare::new(&SlotOwners::default(), &endpoint.record.id, limit_per_s),
        }
    }

    /// Gives endpoints that name a limit this entry's share of it.
    pub(super) fn set_limit_shares(&self, now: Duration) {
        for endpoint in &self.endpoints {
            let limit = &mut endpoint.advice.lock().rate_limit;
            if let Some(limit_per_s) = limit.limit_per_s() {
                limit.set_share(self.limit_share(endpoint, limit_per_s), now);
            }
        }
    }

    /// Lets a call wait for its turn at the endpoints that have asked for a pause, if it comes in
    /// time for the call.
    ///
    /// Fails at once if it does not, with a turn at which the caller may return.
    pub(super) fn wait_for_turn(
        &mut self,
        want: Want<'_>,
        resumes_at: Duration,
        now: Duration,
    ) -> Result<Offered, Unavailable> {
        let interval = self.admission_interval();
        let turn = resumes_at + interval.saturating_mul(self.queue.len() as u32);
        if turn <= want.hold_until {
            let until = want.hold_until;
            let ticket = self.queue.park(Waiter { wait_until: until, ..want.waiter }, now);
            return Ok(self.wait(ticket, until));
        }
        let retry_after = self.returns.assign(turn, interval, now);
        Err(Unavailable::Paused { retry_after })
    }

    /// The time between calls that this entry may send under the endpoints' limits.
    fn admission_interval(&self) -> Duration {
        let shares =
            self.endpoints.iter().filter_map(|endpoint| endpoint.advice.lock().rate_limit.share());
        let rate_per_s: f64 = shares.map(|share| share.rate_per_s()).sum();
        match rate_per_s > 0.0 {
            true => Duration::from_secs_f64(rate_per_s.recip()),
            false => self.queue.interval(),
        }
    }
}
