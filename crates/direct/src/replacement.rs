//! Replaces attempts that may still succeed, and resumes streams that broke.
//!
//! The next attempt has its permit, its connection and its retry before a running one is given up, and
//! its first events if a stream's head has arrived; without them the running one goes on.

use std::{sync::Arc, time::Instant};

use lynxmount_core::adapter::Dialect;

use crate::{
    attempt::{AttemptError, AttemptFailure, MIN_ATTEMPT_TIME, OpenAttempt, ResponseHead},
    attempt_history::attempt_counter,
    call::Call,
    call_times::QUEUE_TIME_FRACTION,
    endpoint::Permit,
    service::{ReplacementSearch, ReservedRetry},
};

/// How often an endpoint is searched for after a stream broke once.
const MAX_RESUME_SEARCHES: u32 = 3;

/// Position from which a stream is resumed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamPosition {
    /// The last event that the caller was sent.
    pub(crate) last_event: Option<u64>,
    /// When the caller was last sent events, or its call arrived.
    pub(crate) sent_at: Instant,
}

/// An attempt that is to be replaced.
#[derive(Clone, Debug)]
pub(crate) struct RunningAttempt {
    /// Its group, if that has stalled.
    pub(crate) stalled_group: Option<Arc<str>>,
    /// When the caller was last sent something, or its call arrived.
    pub(crate) sent_at: Instant,
    /// Whether the caller was sent a part of the response.
    pub(crate) has_begun: bool,
}

impl<D: Dialect> Call<D> {
    /// Opens an attempt elsewhere and withdraws a retry for it, to replace an attempt that still
    /// runs; `None` if that is not possible now.
    pub(crate) async fn open_replacement(&self, running: RunningAttempt) -> Option<OpenAttempt> {
        if !self.may_replace(&running) {
            return None;
        }
        let RunningAttempt { stalled_group, sent_at, has_begun } = running;
        let tried = self.tried.lock().clone();
        let search = ReplacementSearch {
            tried: &tried,
            stalled_group: stalled_group.as_deref(),
            // A refusal of the last attempt leaves none for a response that breaks later.
            is_slot_required: has_begun && !self.has_retry_left(),
        };
        let permit = self.service.acquire_elsewhere(search)?;
        let opened = self.open(permit, Some(sent_at)).await.ok()?;
        self.service.withdraw_retry().then_some(opened)
    }

    /// Whether a retry is allowed now and in time. A call that may have crashed endpoints stays
    /// where it is.
    fn may_replace(&self, running: &RunningAttempt) -> bool {
        let idle_time = self.remaining_idle_time(running.sent_at);
        self.can_retry()
            && idle_time.is_none_or(|time| time >= MIN_ATTEMPT_TIME)
            && self.quarantine.quarantined_for(&self.identity).is_none()
            && self.quarantine.remaining_hold(&self.identity.fingerprint).is_none()
            && self.service.has_retries(1)
    }

    /// Resumes a stream that broke; `None` if that is not possible.
    pub(crate) async fn resume(&self, position: StreamPosition, why: &str) -> Option<ResponseHead> {
        tokio::select! {
            biased;
            _ = self.quarantine.wait_until_quarantined(&self.identity) => None,
            resumed = self.resume_with_retries(position, why) => resumed,
        }
    }

    async fn resume_with_retries(
        &self,
        position: StreamPosition,
        why: &str,
    ) -> Option<ResponseHead> {
        let mut opened = None;
        let mut searches = 0;
        loop {
            let attempt = match opened.take() {
                Some(attempt) => Ok(attempt),
                None if searches == MAX_RESUME_SEARCHES => return None,
                None => {
                    searches += 1;
                    self.open_resumption(position, why).await
                }
            };
            let resumed = match attempt {
                Ok(attempt) => self.resume_at(attempt, position).await,
                Err(error) => Err(AttemptFailure::Error(error)),
            };
            let error = match resumed {
                Ok(head) => return Some(head),
                Err(AttemptFailure::Error(AttemptError::NoPermit | AttemptError::TooLate)) => {
                    return None;
                }
                Err(AttemptFailure::Error(error)) => error,
                Err(AttemptFailure::Replaced(error, replacement)) => {
                    opened = Some(replacement);
                    error
                }
            };
            self.metrics.count(attempt_counter(error));
        }
    }

    async fn open_resumption(
        &self,
        position: StreamPosition,
        why: &str,
    ) -> Result<OpenAttempt, AttemptError> {
        let (permit, retry) = self.acquire_resumption(position, why).await?;
        let opened = self.open(permit, Some(position.sent_at)).await?;
        retry.withdraw().then_some(opened).ok_or(AttemptError::NoPermit)
    }

    async fn acquire_resumption(
        &self,
        position: StreamPosition,
        why: &str,
    ) -> Result<(Permit, ReservedRetry), AttemptError> {
        self.wait_for_verdict().await;
        let is_held_back = self.quarantine.quarantined_for(&self.identity).is_some();
        let may_retry = !is_held_back && self.can_retry();
        let retry = may_retry.then(|| self.service.reserve_retry()).flatten();
        log::info!(request = self.head.id.as_deref(), why, last_event = position.last_event,
            is_allowed = retry.is_some(), is_held_back; "stream broken");
        let retry = retry.ok_or(AttemptError::NoPermit)?;
        let max_wait = self.goal.mul_f64(QUEUE_TIME_FRACTION);
        let permit = self.acquire_permit(max_wait, position.sent_at).await;
        permit.map(|permit| (permit, retry)).map_err(|_| AttemptError::NoPermit)
    }

    pub(crate) async fn resume_at(
        &self,
        opened: OpenAttempt,
        position: StreamPosition,
    ) -> Result<ResponseHead, AttemptFailure> {
        let head = self.send(opened, position.last_event, None).await?;
        if !head.status.is_success() {
            return Err(AttemptFailure::Error(AttemptError::Lost));
        }
        self.metrics.count("streams.resumed");
        Ok(head)
    }
}
