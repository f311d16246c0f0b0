//! Which prompt segments are in flight while no endpoint crashes, by an entry's latest calls in a
//! bounded sliding window.
//!
//! Only calls that endpoints have survived count, by the time that they took. Among all calls, a
//! segment that crashes endpoints is as popular as its callers make it. Calls that ended early have
//! been survived as far as they went: a stalled group completes few others.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use lynxmount_core::{CallIdentity, CallTag, SegmentId};

/// Calls that are kept, the latest ones. A caller with many segments of its own takes up no more
/// than its share of them.
const WINDOW_CALLS: usize = 256;

/// Calls that are added to each count of calls, so that a new entry takes no segment for rare.
const PRIOR_CALLS: f64 = 10.0;

/// Number of survived calls as which the share of the calls sent counts.
const PRIOR_SURVIVED_CALLS: f64 = 10.0;

/// Time in flight from which on a call counts as survived. Long calls complete too late to tell
/// that their segments have become popular.
const SURVIVAL_TIME: Duration = Duration::from_secs(5);

/// Shortest time in flight that is counted for a call.
const MIN_TIME: Duration = Duration::from_millis(1);

/// The latest calls.
#[derive(Debug, Default)]
pub(crate) struct SegmentExposure {
    calls: VecDeque<ExposedCall>,
}

#[derive(Debug)]
struct ExposedCall {
    tag: CallTag,
    segments: Arc<[SegmentId]>,
    sent_at: Duration,
    state: CallState,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallState {
    InFlight,
    /// Its endpoint has completed it.
    Completed {
        at: Duration,
    },
    /// It ended early, as far as is known not by a crash.
    EndedEarly {
        at: Duration,
    },
    /// It was in flight at a crash.
    Lost,
}

impl SegmentExposure {
    /// Counts a call that is sent.
    pub(crate) fn record_call(&mut self, call: &CallIdentity, now: Duration) {
        if self.calls.len() >= WINDOW_CALLS {
            self.calls.pop_front();
        }
        self.calls.push_back(ExposedCall {
            tag: call.fingerprint.tag(),
            segments: Arc::clone(&call.segments),
            sent_at: now,
            state: CallState::InFlight,
        });
    }

    /// Records that an endpoint has completed a call.
    pub(crate) fn record_completion(&mut self, tag: CallTag, now: Duration) {
        self.end(tag, CallState::Completed { at: now });
    }

    /// Records that a call has ended early, unless it has ended before.
    pub(crate) fn record_end(&mut self, tag: CallTag, now: Duration) {
        self.end(tag, CallState::EndedEarly { at: now });
    }

    fn end(&mut self, tag: CallTag, state: CallState) {
        let is_in_flight =
            |call: &&mut ExposedCall| call.tag == tag && call.state == CallState::InFlight;
        if let Some(call) = self.calls.iter_mut().rev().find(is_in_flight) {
            call.state = state;
        }
    }

    /// Records that a call was in flight at a crash.
    pub(crate) fn record_crash(&mut self, tag: CallTag) {
        if let Some(call) = self.calls.iter_mut().rev().find(|call| call.tag == tag) {
            call.state = CallState::Lost;
        }
    }

    /// Estimated share of the calls sent that have a segment.
    pub(crate) fn sent_share(&self, segment: &SegmentId) -> f64 {
        let mut sent = Count::default();
        for call in self.calls_of(segment.service) {
            sent.add(1.0, call.segments.contains(segment));
        }
        ((sent.with_segment + 1.0) / (sent.total + PRIOR_CALLS)).min(1.0)
    }

    /// Estimated probability that a call in flight has a segment, as far as endpoints survive it,
    /// by the calls that were sent after a moment: the lower one with and without those that ended
    /// early. Some of these would have crashed their endpoints, but there may be no others.
    pub(crate) fn survived_share(
        &self,
        segment: &SegmentId,
        since: Duration,
        now: Duration,
    ) -> f64 {
        let (mut completed, mut all) = (SurvivedCalls::default(), SurvivedCalls::default());
        for call in self.calls_of(segment.service).filter(|call| call.sent_at >= since) {
            let Some(time) = call.survived_time(now) else { continue };
            let has_segment = call.segments.contains(segment);
            all.add(time, has_segment);
            if !matches!(call.state, CallState::EndedEarly { .. }) {
                completed.add(time, has_segment);
            }
        }
        let prior = self.sent_share(segment);
        completed.share(prior).min(all.share(prior))
    }

    fn calls_of(&self, service: u32) -> impl Iterator<Item = &ExposedCall> {
        let is_of_service =
            move |call: &&ExposedCall| call.segments.first().is_some_and(|s| s.service == service);
        self.calls.iter().filter(is_of_service)
    }
}

/// Amounts of all calls, and of those with a segment.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    total: f64,
    with_segment: f64,
}

impl Count {
    fn add(&mut self, amount: f64, has_segment: bool) {
        self.total += amount;
        if has_segment {
            self.with_segment += amount;
        }
    }

    fn share(self) -> f64 {
        if self.total > 0.0 { self.with_segment / self.total } else { 0.0 }
    }
}

/// Calls that endpoints have survived.
#[derive(Clone, Copy, Debug, Default)]
struct SurvivedCalls {
    calls: f64,
    time_s: Count,
}

impl SurvivedCalls {
    fn add(&mut self, time: Duration, has_segment: bool) {
        self.calls += 1.0;
        self.time_s.add(time.max(MIN_TIME).as_secs_f64(), has_segment);
    }

    /// The share of time with a segment, where `prior` is that of the calls sent.
    fn share(self, prior: f64) -> f64 {
        let prior_calls = (prior * PRIOR_SURVIVED_CALLS).max(1.0);
        let with_segment = self.time_s.share() * self.calls + prior_calls;
        (with_segment / (self.calls + PRIOR_SURVIVED_CALLS)).min(1.0)
    }
}

impl ExposedCall {
    /// The time in flight of a call that its endpoint has survived.
    fn survived_time(&self, now: Duration) -> Option<Duration> {
        match self.state {
            CallState::Completed { at } | CallState::EndedEarly { at } => {
                Some(at.saturating_sub(self.sent_at))
            }
            CallState::InFlight => {
                Some(now.saturating_sub(self.sent_at)).filter(|time| *time >= SURVIVAL_TIME)
            }
            CallState::Lost => None,
        }
    }
}
