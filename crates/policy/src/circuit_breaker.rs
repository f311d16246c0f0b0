//! The rest that an endpoint asks one entry for.
//!
//! A circuit breaker whose open time the endpoint sets: once its rest is over it gets one call,
//! and others as soon as it has answered that.

use std::time::Duration;

/// The longest rest that is granted. An endpoint that asks for more is called again by then.
const MAX_REST: Duration = Duration::from_secs(300);

/// How long the first call after a rest keeps others waiting.
const TRIAL_TIME: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, Default)]
enum State {
    /// It takes calls.
    #[default]
    Closed,
    /// It rests until a time.
    Open { until: Duration },
    /// It has been sent a call after its rest, at a time.
    HalfOpen { since: Duration },
}

/// The rest of one endpoint at one entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct CircuitBreaker {
    state: State,
}

impl CircuitBreaker {
    /// Takes a refusal that asks for rest.
    pub fn on_refusal(&mut self, rest: Duration, now: Duration) {
        let until = now + rest.min(MAX_REST);
        let until = match self.state {
            State::Open { until: before } => until.max(before),
            State::Closed | State::HalfOpen { .. } => until,
        };
        if until > now {
            self.state = State::Open { until };
        }
    }

    /// Takes an answer that asks for no rest. Returns whether the endpoint takes calls again
    /// because of it.
    pub fn on_response(&mut self) -> bool {
        let is_trial = matches!(self.state, State::HalfOpen { .. });
        if is_trial {
            self.state = State::Closed;
        }
        is_trial
    }

    /// Says whether it has asked for nothing that concerns the next call.
    pub fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed)
    }

    /// Says whether it rests.
    pub fn is_open(&self, now: Duration) -> bool {
        matches!(self.state, State::Open { until } if until > now)
    }

    /// When the next call may be sent, if not now.
    pub fn resumes_at(&self, now: Duration) -> Option<Duration> {
        let at = match self.state {
            State::Closed => return None,
            State::Open { until } => until,
            State::HalfOpen { since } => since + TRIAL_TIME,
        };
        Some(at).filter(|at| *at > now)
    }

    /// Takes a call that is about to be sent. Returns whether it may be.
    pub fn try_acquire(&mut self, now: Duration) -> bool {
        if self.resumes_at(now).is_some() {
            return false;
        }
        if !self.is_closed() {
            self.state = State::HalfOpen { since: now };
        }
        true
    }

    /// Returns the first call after a rest that was not sent.
    pub fn abandon_trial(&mut self, now: Duration) {
        if matches!(self.state, State::HalfOpen { .. }) {
            self.state = State::Open { until: now };
        }
    }
}
