//! A circuit breaker whose open time the endpoint sets when it refuses a call.
//!
//! After that time the breaker is half-open: the endpoint gets one trial call, and others as soon
//! as it has answered that.

use std::time::Duration;

/// Longest open time. An endpoint that asks for more is called again by then.
const MAX_OPEN_TIME: Duration = Duration::from_secs(300);

/// How long the trial call of a half-open breaker keeps others waiting.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, Default)]
enum State {
    /// Calls are sent.
    #[default]
    Closed,
    /// No call is sent until a time.
    Open { until: Duration },
    /// A trial call was sent at a time.
    HalfOpen { since: Duration },
}

/// The circuit breaker of one endpoint at one entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct CircuitBreaker {
    state: State,
}

impl CircuitBreaker {
    /// Records a refusal with which the endpoint asks for no calls for some time.
    pub fn on_refusal(&mut self, open_time: Duration, now: Duration) {
        let until = now + open_time.min(MAX_OPEN_TIME);
        let until = match self.state {
            State::Open { until: before } => until.max(before),
            State::Closed | State::HalfOpen { .. } => until,
        };
        if until > now {
            self.state = State::Open { until };
        }
    }

    /// Records an answer without such a request. Returns whether it closes the breaker.
    pub fn on_response(&mut self) -> bool {
        let is_trial = matches!(self.state, State::HalfOpen { .. });
        if is_trial {
            self.state = State::Closed;
        }
        is_trial
    }

    /// Whether the breaker is closed, so that it does not restrict the next call.
    pub fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed)
    }

    /// Whether no call may be sent.
    pub fn is_open(&self, now: Duration) -> bool {
        matches!(self.state, State::Open { until } if until > now)
    }

    /// When the next call may be sent, if not now.
    pub fn resumes_at(&self, now: Duration) -> Option<Duration> {
        let at = match self.state {
            State::Closed => return None,
            State::Open { until } => until,
            State::HalfOpen { since } => since + TRIAL_TIMEOUT,
        };
        Some(at).filter(|at| *at > now)
    }

    /// Acquires a token for a call; unless the breaker is closed, it is the trial call.
    /// Returns whether it may be sent.
    pub fn try_acquire(&mut self, now: Duration) -> bool {
        if self.resumes_at(now).is_some() {
            return false;
        }
        if !self.is_closed() {
            self.state = State::HalfOpen { since: now };
        }
        true
    }

    /// Abandons a trial call that was not sent.
    pub fn abandon_trial(&mut self, now: Duration) {
        if matches!(self.state, State::HalfOpen { .. }) {
            self.state = State::Open { until: now };
        }
    }
}
