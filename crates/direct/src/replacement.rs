//! Replaces attempts that may still succeed, and resumes streams that broke.
//!
//! The retry and the permit of the next attempt are granted before a running one is given up;
//! without them it goes on.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures::FutureExt;
use lynxmount_core::adapter::Dialect;

use crate::{
    attempt::{AttemptError, AttemptFailure, OpenAttempt, ResponseHead},
    attempt_history::attempt_counter,
    call::Call,
    call_times::QUEUE_TIME_FRACTION,
    endpoint::Permit,
};

/// Maximum number of attempts to resume a stream after it broke once.
const MAX_RESUME_ATTEMPTS: u32 = 3;

/// Position from which a stream is resumed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamPosition {
    /// The last event that the caller was sent.
    pub(crate) last_event: Option<u64>,
    /// When the caller was last sent events, or its call arrived.
    pub(crate) sent_at: Instant,
}

impl<D: Dialect> Call<D> {
    /// A permit and a retry that replace a running attempt, if they are available now.
    pub(crate) fn try_replace(&self, excluded_group: Option<&str>) -> Option<Permit> {
        if !self.may_replace() {
            return None;
        }
        let permit = self.acquire_permit(Duration::ZERO, Instant::now()).now_or_never()?.ok()?;
        self.withdraw_retry_for(permit, excluded_group)
    }

    /// Waits for a permit and a retry that replace a running attempt of a stream whose caller was
    /// last sent something at `sent_at`; `None` if they are not available in time.
    pub(crate) async fn wait_for_replacement(
        self: Arc<Call<D>>,
        excluded_group: Option<Arc<str>>,
        sent_at: Instant,
    ) -> Option<Permit> {
        if !self.may_replace() {
            return None;
        }
        let max_wait = self.goal.mul_f64(QUEUE_TIME_FRACTION);
        let permit = self.acquire_permit(max_wait, sent_at).await.ok()?;
        self.withdraw_retry_for(permit, excluded_group.as_deref())
    }

    /// Whether a retry is allowed now. A call that may have crashed endpoints stays where it is.
    fn may_replace(&self) -> bool {
        self.can_retry()
            && self.quarantine.quarantined_for(&self.identity).is_none()
            && self.quarantine.remaining_hold(&self.identity.fingerprint).is_none()
            && self.service.has_retry()
    }

    /// Withdraws the retry for an attempt with a permit, if that attempt is likely to be better off
    /// than the running one.
    fn withdraw_retry_for(&self, permit: Permit, excluded_group: Option<&str>) -> Option<Permit> {
        let was_tried = self.tried.lock().contains(&permit.endpoint.record.id);
        let is_excluded = excluded_group.is_some_and(|group| group == permit.group());
        let is_better = !was_tried && !is_excluded && !permit.is_slow();
        (is_better && self.service.withdraw_retry()).then_some(permit)
    }

    /// Resumes a stream elsewhere, first with the attempt that is open already, if any; `None` if
    /// that is not possible.
    pub(crate) async fn resume(
        &self,
        position: StreamPosition,
        why: &str,
        opened: Option<OpenAttempt>,
    ) -> Option<ResponseHead> {
        tokio::select! {
            biased;
            _ = self.quarantine.wait_until_quarantined(&self.identity) => None,
            resumed = self.resume_with_retries(position, why, opened) => resumed,
        }
    }

    async fn resume_with_retries(
        &self,
        position: StreamPosition,
        why: &str,
        mut opened: Option<OpenAttempt>,
    ) -> Option<ResponseHead> {
        let mut replacement = None;
        for _ in 0..MAX_RESUME_ATTEMPTS {
            let attempt = match opened.take() {
                Some(attempt) => Ok(attempt),
                None => self.open_resumption(position, why, replacement.take()).await,
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
                Err(AttemptFailure::Replaced(error, permit)) => {
                    replacement = Some(permit);
                    error
                }
            };
            self.metrics.count(attempt_counter(error));
        }
        None
    }

    /// Opens an attempt that resumes a stream, with the replacement that was granted or else a
    /// new retry.
    async fn open_resumption(
        &self,
        position: StreamPosition,
        why: &str,
        replacement: Option<Permit>,
    ) -> Result<OpenAttempt, AttemptError> {
        let permit = match replacement {
            Some(permit) => permit,
            None => self.acquire_resumption(position, why).await?,
        };
        self.open(permit, Some(position.sent_at)).await
    }

    async fn acquire_resumption(
        &self,
        position: StreamPosition,
        why: &str,
    ) -> Result<Permit, AttemptError> {
        self.wait_for_verdict().await;
        let is_held_back = self.quarantine.quarantined_for(&self.identity).is_some();
        let is_allowed = !is_held_back && self.can_retry() && self.service.withdraw_retry();
        log::info!(request = self.head.id.as_deref(), why, last_event = position.last_event,
            is_allowed, is_held_back; "stream broken");
        if !is_allowed {
            return Err(AttemptError::NoPermit);
        }
        let max_wait = self.goal.mul_f64(QUEUE_TIME_FRACTION);
        let permit = self.acquire_permit(max_wait, position.sent_at).await;
        permit.map_err(|_| AttemptError::NoPermit)
    }

    async fn resume_at(
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
