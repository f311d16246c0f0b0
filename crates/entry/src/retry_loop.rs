//! The retry loop: runs attempts of an admitted request until there is an answer or no further
//! attempt is allowed.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response};
use lynxmount_core::{EndpointId, Outcome, Reason};
use lynxmount_node::Counter;
use lynxmount_policy::{AttemptFailure, RetryDecision, RetryState, Waiter};
use lynxmount_wire::{Binding, Header, RefusalReason};

use crate::{
    attempt::Attempt,
    call::Call,
    handler::{Handler, leaving},
    key_binding::bind_key,
    relay::{CollectedAnswer, StreamContext, StreamingAnswer, collect_answer},
    reply::{OUTCOME_HEADER, Refusal, ReplyBody, answer_response, full_body},
    service_pool::{Reservation, ReservationRequest},
};

/// The result of running an admitted request.
pub(crate) enum RunResult {
    /// An endpoint has a newer configuration; the request must be admitted again.
    ConfigOutdated,
    /// The response.
    Response(Response<ReplyBody>),
}

/// What to do after an attempt has ended.
enum NextAction {
    GiveUp(Refusal),
    ReadmitWithNewConfig,
    Retry,
}

impl Handler {
    /// Runs attempts until there is an answer or no further attempt is allowed.
    pub(crate) async fn run(&self, mut call: Call) -> Result<RunResult, Refusal> {
        let is_idempotent = call.key.is_none();
        let mut retry = RetryState::new(
            call.service.max_attempts,
            call.wait_until.since_start,
            call.deadline.since_start,
            is_idempotent,
        );
        let mut tried = Vec::new();
        call.pool.record_first_attempt(call.service.retry_budget_percent);
        for attempt_number in 1.. {
            let (reservation, binding) = match self.reserve(&call, &tried).await {
                Ok(reserved) => reserved,
                Err(refusal) => {
                    let refusal = with_earlier_attempts(refusal, &retry);
                    return Err(self.confirm_not_run(refusal, call.key.as_ref()).await);
                }
            };
            tried.push(reservation.client.endpoint.id.clone());
            let claim_offset = binding.as_ref().map(|binding| binding.claim_offset);
            let dispatch = call.dispatch(attempt_number, binding);
            let sent = Attempt::send(
                reservation,
                dispatch,
                &self.node,
                call.identity.fingerprint,
                &self.quarantine,
            );
            let collected = match sent {
                Ok(attempt) => self.collect(attempt, &call).await,
                Err(failure) => CollectedAnswer::Failed(failure),
            };
            let decision = match collected {
                CollectedAnswer::Complete { status, headers, body } => {
                    return Ok(RunResult::Response(self.complete_response(status, &headers, body)));
                }
                CollectedAnswer::Streaming(answer) => {
                    return Ok(RunResult::Response(self.streaming_response(call, *answer)));
                }
                CollectedAnswer::Refused(reason) => {
                    if reason.revokes_key() {
                        call.set_revoked_claim(claim_offset);
                    }
                    self.decide_after_refusal(&mut retry, reason, &call)
                }
                CollectedAnswer::Failed(failure) => {
                    self.decide_after_failure(&mut retry, failure, &call)
                }
            };
            match decision {
                NextAction::GiveUp(refusal) => {
                    return Err(self.confirm_not_run(refusal, call.key.as_ref()).await);
                }
                NextAction::ReadmitWithNewConfig => return Ok(RunResult::ConfigOutdated),
                NextAction::Retry => {}
            }
        }
        unreachable!("the number of attempts is bounded by the retry policy")
    }

    /// Waits until the answer is complete or is relayed as a stream, or the call is cut off.
    async fn collect(&self, attempt: Attempt, call: &Call) -> CollectedAnswer {
        tokio::select! {
            biased;
            collected = self.collect_unless_quarantined(attempt, call) => collected,
            () = self.cut_off.cancelled() => CollectedAnswer::Failed(AttemptFailure::TimedOut),
        }
    }

    /// A request without a key ends early if it is quarantined meanwhile; one with a key goes on, as
    /// it must not run again.
    async fn collect_unless_quarantined(&self, attempt: Attempt, call: &Call) -> CollectedAnswer {
        let collecting = collect_answer(attempt, call.deadline);
        if call.key.is_some() {
            return collecting.await;
        }
        tokio::select! {
            collected = collecting => collected,
            _ = self.quarantine.wait_until_quarantined(&call.identity) => {
                CollectedAnswer::Failed(AttemptFailure::Lost)
            }
        }
    }

    /// Reserves capacity for the next attempt, unless the call is cut off.
    async fn reserve(
        &self,
        call: &Call,
        tried: &[EndpointId],
    ) -> Result<(Reservation, Option<Binding>), Refusal> {
        tokio::select! {
            // Capacity that other calls leave when they are cut off is not used any more.
            biased;
            () = self.cut_off.cancelled() => Err(leaving()),
            reserved = self.wait_for_reservation(call, tried) => reserved,
        }
    }

    async fn wait_for_reservation(
        &self,
        call: &Call,
        tried: &[EndpointId],
    ) -> Result<(Reservation, Option<Binding>), Refusal> {
        self.wait_for_verdicts(call).await?;
        if let Some(remaining) = self.quarantine.quarantined_for(&call.identity) {
            return Err(quarantined(remaining));
        }
        let request = ReservationRequest {
            waiter: Waiter {
                team: call.team.id.clone(),
                priority: call.team.priority,
                wait_until: call.wait_until.since_start,
            },
            wait_until: call.wait_until,
            tried,
            prefix: call.prefix.as_deref(),
        };
        match &call.key {
            None => tokio::select! {
                reservation = call.pool.reserve(request) => Ok((reservation?, None)),
                remaining = self.quarantine.wait_until_quarantined(&call.identity) => {
                    Err(quarantined(remaining))
                }
            },
            Some(key) => {
                let binding = bind_key(key, request, &call.pool, &self.claims, &self.node);
                let bound = tokio::time::timeout_at(call.deadline.at, binding).await;
                let (reservation, binding) = bound.map_err(|_| claim_timed_out())??;
                Ok((reservation, Some(binding)))
            }
        }
    }

    /// Waits for the verdicts on back ends whose connections broke during this request: if they
    /// crashed, the request may crash the next one, too.
    async fn wait_for_verdicts(&self, call: &Call) -> Result<(), Refusal> {
        match self.quarantine.remaining_hold(&call.identity.fingerprint) {
            Some(hold) if tokio::time::Instant::now() + hold > call.wait_until.at => {
                let detail = "back ends broke this request off, and may have crashed";
                Err(Refusal::not_run(Reason::HeldBack, detail).retry_after(hold))
            }
            Some(hold) => {
                let hold_ms = hold.as_millis() as u64;
                log::info!(request:% = call.id, hold_ms; "call held for crash verdicts");
                self.quarantine.wait_until_released(&call.identity.fingerprint).await;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn decide_after_refusal(
        &self,
        retry: &mut RetryState,
        reason: RefusalReason,
        call: &Call,
    ) -> NextAction {
        let failure = match reason {
            RefusalReason::Busy => AttemptFailure::Busy,
            RefusalReason::BackendUnreachable
            | RefusalReason::Draining
            | RefusalReason::Revoked
            | RefusalReason::WrongService => AttemptFailure::Declined(Reason::NoEndpoint),
            RefusalReason::ConfigOutdated if !retry.may_have_run() => {
                return NextAction::ReadmitWithNewConfig;
            }
            RefusalReason::ConfigOutdated => AttemptFailure::Declined(Reason::NotReady),
            RefusalReason::Expired => AttemptFailure::Declined(Reason::TimedOut),
            RefusalReason::KeyReused => AttemptFailure::Declined(Reason::KeyReused),
            // The key may have been run before, and no record of it is left.
            RefusalReason::DedupTableFull | RefusalReason::NotBoundHere => AttemptFailure::Lost,
        };
        self.decide_after_failure(retry, failure, call)
    }

    fn decide_after_failure(
        &self,
        retry: &mut RetryState,
        failure: AttemptFailure,
        call: &Call,
    ) -> NextAction {
        let now = self.node.now();
        match retry.on_attempt_failed(failure, now, || call.pool.try_withdraw_retry()) {
            // A request that found its endpoint full returns to the queue; that is not a retry.
            RetryDecision::Retry if failure == AttemptFailure::Busy => NextAction::Retry,
            RetryDecision::Retry => {
                self.node.counters().count(Counter::Retries);
                NextAction::Retry
            }
            RetryDecision::GiveUp(give_up) => NextAction::GiveUp(Refusal {
                reason: give_up.reason,
                outcome: give_up.outcome,
                detail: format!("the last attempt ended as {failure:?}"),
                retry_after: None,
            }),
        }
    }

    fn complete_response(
        &self,
        status: u16,
        headers: &[Header],
        body: Bytes,
    ) -> Response<ReplyBody> {
        self.node.counters().count(Counter::RequestsComplete);
        let mut response = answer_response(status, headers, full_body(body));
        let outcome = HeaderValue::from_static(Outcome::Complete.as_str());
        response.headers_mut().insert(OUTCOME_HEADER, outcome);
        response
    }

    fn streaming_response(&self, call: Call, answer: StreamingAnswer) -> Response<ReplyBody> {
        let context = StreamContext {
            request: call.id,
            deadline: call.deadline,
            node: self.node.clone(),
            cut_off: self.cut_off.clone(),
            _guards: call.guards,
        };
        let (status, headers) = (answer.status, answer.headers.clone());
        answer_response(status, &headers, answer.into_body(context))
    }
}

/// Refuses a quarantined request.
fn quarantined(remaining: Duration) -> Refusal {
    let detail = "back ends have ended under this request, whoever sends it again";
    Refusal::not_run(Reason::HeldBack, detail).retry_after(remaining)
}

/// Refuses a request whose claim the log did not confirm in time: no attempt is sent under it.
fn claim_timed_out() -> Refusal {
    Refusal::not_run(Reason::TimedOut, "the log has not confirmed the claim in time")
}

/// Changes the outcome of a refusal to *unknown* if an earlier attempt may have run.
fn with_earlier_attempts(refusal: Refusal, retry: &RetryState) -> Refusal {
    match retry.may_have_run() {
        true => Refusal { outcome: Outcome::Unknown, ..refusal },
        false => refusal,
    }
}
