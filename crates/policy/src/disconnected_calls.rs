//! Calls whose connections broke while it is not known whether their endpoints crashed.
//!
//! A crash may show long after the connections of its calls have broken: a listener closes late, or
//! another process holds it. So a crash is attributed to a call for as long as the call's endpoint
//! is observed. Evidence that the endpoint is alive releases a held call at once.

use std::{collections::VecDeque, time::Duration};

use lynxmount_core::{CallFingerprint, CallIdentity, CallPhase, EndpointIncarnation};

/// How long after a broken connection a crash of the endpoint is attributed to the call.
pub const CRASH_ATTRIBUTION_WINDOW: Duration = Duration::from_secs(1);

/// How long a call is held whose connection broke at one endpoint.
const FIRST_HOLD: Duration = Duration::from_millis(50);

/// How late data may be read that an endpoint sent before it crashed.
const MAX_READ_DELAY: Duration = Duration::from_millis(100);

/// Calls that are kept, the latest ones.
const MAX_CALLS: usize = 4096;

/// Whether an endpoint has answered since a connection to it broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LivenessEvidence {
    /// It has answered since. It may still be about to crash.
    Answered,
    /// It has not answered since.
    Missing,
}

/// Calls whose connections broke, by the incarnations of their endpoints.
#[derive(Debug, Default)]
pub struct DisconnectedCalls {
    calls: VecDeque<DisconnectedCall>,
}

#[derive(Clone, Debug)]
struct DisconnectedCall {
    incarnation: EndpointIncarnation,
    call: CallIdentity,
    phase: CallPhase,
    evidence: LivenessEvidence,
    at: Duration,
}

impl DisconnectedCalls {
    /// Records that the connection of a call broke.
    pub fn on_disconnect(
        &mut self,
        incarnation: EndpointIncarnation,
        call: impl Into<CallIdentity>,
        phase: CallPhase,
        evidence: LivenessEvidence,
        now: Duration,
    ) {
        self.expire(now);
        let call = call.into();
        if self.calls.len() >= MAX_CALLS {
            self.calls.pop_front();
        }
        self.calls.push_back(DisconnectedCall { incarnation, call, phase, evidence, at: now });
    }

    /// Records that an endpoint has sent something: it has survived calls whose connections broke
    /// long enough before.
    pub fn on_received(&mut self, incarnation: EndpointIncarnation, now: Duration) {
        let is_survived = |call: &DisconnectedCall| {
            call.incarnation == incarnation && now.saturating_sub(call.at) >= MAX_READ_DELAY
        };
        self.calls.retain(|call| !is_survived(call) && !is_expired(call, now));
    }

    /// Records that an endpoint has answered since all disconnects so far.
    pub fn on_response(&mut self, incarnation: EndpointIncarnation) {
        let at_endpoint = self.calls.iter_mut().filter(|call| call.incarnation == incarnation);
        at_endpoint.for_each(|call| call.evidence = LivenessEvidence::Answered);
    }

    /// Whether a crash of an endpoint would be attributed to a call.
    pub fn is_observed(&self, incarnation: EndpointIncarnation, now: Duration) -> bool {
        self.calls.iter().any(|call| call.incarnation == incarnation && !is_expired(call, now))
    }

    /// Records that an endpoint has crashed. Returns the calls to which that is attributed.
    pub fn on_crashed(
        &mut self,
        incarnation: EndpointIncarnation,
        now: Duration,
    ) -> Vec<(CallIdentity, CallPhase)> {
        self.expire(now);
        let at_endpoint = self.calls.iter().filter(|call| call.incarnation == incarnation);
        let mut calls: Vec<_> = at_endpoint.map(|call| (call.call.clone(), call.phase)).collect();
        self.forget(incarnation);
        calls.sort_unstable();
        calls.dedup();
        calls
    }

    /// Drops the calls of an endpoint that left, or that is unreachable.
    pub fn forget(&mut self, incarnation: EndpointIncarnation) {
        self.calls.retain(|call| call.incarnation != incarnation);
    }

    /// How long a call is still held before it may be sent again: briefly, for a verdict on one
    /// endpoint, and for the rest of the attribution window once its connections broke at several.
    pub fn remaining_hold(&self, call: &CallFingerprint, now: Duration) -> Option<Duration> {
        let is_held = |other: &&DisconnectedCall| {
            other.call.fingerprint == *call
                && other.evidence == LivenessEvidence::Missing
                && !is_expired(other, now)
        };
        let latest = self.calls.iter().rev().find(is_held)?;
        let is_elsewhere = |other: &DisconnectedCall| other.incarnation != latest.incarnation;
        let is_repeated = self.calls.iter().filter(is_held).any(is_elsewhere);
        let hold = if is_repeated { CRASH_ATTRIBUTION_WINDOW } else { FIRST_HOLD };
        Some((latest.at + hold).saturating_sub(now)).filter(|left| !left.is_zero())
    }

    /// Whether no call is observed.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    fn expire(&mut self, now: Duration) {
        self.calls.retain(|call| !is_expired(call, now));
    }
}

fn is_expired(call: &DisconnectedCall, now: Duration) -> bool {
    let window = match call.evidence {
        LivenessEvidence::Answered => MAX_READ_DELAY,
        LivenessEvidence::Missing => CRASH_ATTRIBUTION_WINDOW,
    };
    now.saturating_sub(call.at) > window
}
