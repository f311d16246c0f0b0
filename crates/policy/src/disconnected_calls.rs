//! Calls whose connections broke while it is not known whether their endpoints crashed.
//!
//! A crash may show long after the connections of its calls have broken: a listener closes late,
//! or another process holds it. So evidence counts for as long as an endpoint is observed. Signs
//! of life end a call's wait at once.

use std::{collections::VecDeque, time::Duration};

use lynxmount_core::{CallFingerprint, CallPhase, EndpointLife};

/// How long after a broken connection a crash of the endpoint is attributed to the call.
pub const CRASH_ATTRIBUTION_WINDOW: Duration = Duration::from_secs(1);

/// How long a call is held whose connection broke at one endpoint.
const FIRST_HOLD: Duration = Duration::from_millis(50);

/// How late data may be read that an endpoint sent before it crashed.
const MAX_READ_DELAY: Duration = Duration::from_millis(100);

/// Calls that are kept, the latest ones.
const MAX_BROKEN: usize = 4096;

/// Whether the endpoint has shown life since a connection broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LivenessEvidence {
    /// It has answered since. It may still be about to crash.
    Answered,
    /// It has not.
    Missing,
}

/// Calls whose connections broke, by the lives of their endpoints.
#[derive(Debug, Default)]
pub struct DisconnectedCalls {
    broken: VecDeque<BrokenCall>,
}

#[derive(Clone, Copy, Debug)]
struct BrokenCall {
    life: EndpointLife,
    call: CallFingerprint,
    phase: CallPhase,
    sign: LivenessEvidence,
    at: Duration,
}

impl DisconnectedCalls {
    /// Records that the connection of a call broke.
    pub fn on_disconnect(
        &mut self,
        life: EndpointLife,
        call: CallFingerprint,
        phase: CallPhase,
        sign: LivenessEvidence,
        now: Duration,
    ) {
        self.expire(now);
        if self.broken.len() >= MAX_BROKEN {
            self.broken.pop_front();
        }
        self.broken.push_back(BrokenCall { life, call, phase, sign, at: now });
    }

    /// Records that an endpoint has sent something: it has outlived calls whose connections broke
    /// a while before.
    pub fn on_received(&mut self, life: EndpointLife, now: Duration) {
        let outlived = |broken: &BrokenCall| {
            broken.life == life && now.saturating_sub(broken.at) >= MAX_READ_DELAY
        };
        self.broken.retain(|broken| !outlived(broken) && !is_over(broken, now));
    }

    /// Records that an endpoint has answered since all breaks so far.
    pub fn on_response(&mut self, life: EndpointLife) {
        let there = self.broken.iter_mut().filter(|broken| broken.life == life);
        there.for_each(|broken| broken.sign = LivenessEvidence::Answered);
    }

    /// Says whether a crash of an endpoint would be attributed to a call.
    pub fn is_observed(&self, life: EndpointLife, now: Duration) -> bool {
        self.broken.iter().any(|broken| broken.life == life && !is_over(broken, now))
    }

    /// Records that an endpoint has crashed. Returns the calls to which that is attributed.
    pub fn on_crashed(
        &mut self,
        life: EndpointLife,
        now: Duration,
    ) -> Vec<(CallFingerprint, CallPhase)> {
        self.expire(now);
        let there = self.broken.iter().filter(|broken| broken.life == life);
        let mut calls: Vec<_> = there.map(|broken| (broken.call, broken.phase)).collect();
        self.forget(life);
        calls.sort_unstable();
        calls.dedup();
        calls
    }

    /// Forgets the calls of an endpoint that left, or that can't be reached.
    pub fn forget(&mut self, life: EndpointLife) {
        self.broken.retain(|broken| broken.life != life);
    }

    /// How long a call has to wait until it may be sent: a short time for a verdict on one endpoint,
    /// and the rest of the observation once its connections broke at several.
    pub fn remaining_hold(&self, call: &CallFingerprint, now: Duration) -> Option<Duration> {
        let is_held = |broken: &&BrokenCall| {
            broken.call == *call
                && broken.sign == LivenessEvidence::Missing
                && !is_over(broken, now)
        };
        let latest = self.broken.iter().rev().find(is_held)?;
        let is_elsewhere = |broken: &BrokenCall| broken.life != latest.life;
        let is_repeated = self.broken.iter().filter(is_held).any(is_elsewhere);
        let hold = if is_repeated { CRASH_ATTRIBUTION_WINDOW } else { FIRST_HOLD };
        Some((latest.at + hold).saturating_sub(now)).filter(|left| !left.is_zero())
    }

    /// Says whether no call is observed.
    pub fn is_empty(&self) -> bool {
        self.broken.is_empty()
    }

    fn expire(&mut self, now: Duration) {
        self.broken.retain(|broken| !is_over(broken, now));
    }
}

fn is_over(broken: &BrokenCall, now: Duration) -> bool {
    let observed = match broken.sign {
        LivenessEvidence::Answered => MAX_READ_DELAY,
        LivenessEvidence::Missing => CRASH_ATTRIBUTION_WINDOW,
    };
    now.saturating_sub(broken.at) > observed
}
