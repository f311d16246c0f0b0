//! The attempts of an admitted request, up to its answer.

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
    gate::{Place, Want},
    handler::Handler,
    keyed::bind,
    relay::{Collected, StreamContext, StreamingAnswer, collect},
    reply::{OUTCOME_HEADER, Refusal, ReplyBody, answer_response, whole_body},
};

/// What an admitted request has come to.
pub(crate) enum Ran {
    /// An endpoint has a newer configuration; admit the request anew.
    ConfigOutdated,
    /// The response.
    Response(Response<ReplyBody>),
}

/// What follows when an attempt ends.
enum AfterAttempt {
    GiveUp(Refusal),
    ReadmitUnderNewConfig,
    TryAgain,
}

impl Handler {
    /// Tries until there is an answer or nothing more may be tried.
    pub(crate) async fn run(&self, mut call: Call) -> Result<Ran, Refusal> {
        let is_idempotent = call.key.is_none();
        let mut retry = RetryState::new(
            call.service.max_attempts,
            call.wait_until.since_start,
            call.deadline.since_start,
            is_idempotent,
        );
        let mut tried = Vec::new();
        call.gate.note_first_attempt(call.service.retry_budget_percent);
        for attempt_number in 1.. {
            let (place, binding) = match self.find_place(&call, &tried).await {
                Ok(found) => found,
                Err(refusal) => {
                    let refusal = with_history(refusal, &retry);
                    return Err(self.checked_refusal(refusal, call.key.as_ref()).await);
                }
            };
            tried.push(place.link.endpoint.id.clone());
            let bound_at = binding.as_ref().map(|binding| binding.claim_offset);
            let dispatch = call.dispatch(attempt_number, binding);
            let sent = Attempt::send(place, dispatch, &self.node, call.fingerprint, &self.suspects);
            let collected = match sent {
                Ok(attempt) => self.collect(attempt, &call).await,
                Err(end) => Collected::Ended(end),
            };
            let end = match collected {
                Collected::Whole { status, headers, body } => {
                    return Ok(Ran::Response(self.whole(status, &headers, body)));
                }
                Collected::Streaming(answer) => {
                    return Ok(Ran::Response(self.streaming(call, *answer)));
                }
                Collected::Refused(reason) => {
                    if reason.revokes_key() {
                        call.note_revoked(bound_at);
                    }
                    self.after_refusal(&mut retry, reason, &call)
                }
                Collected::Ended(end) => self.after_end(&mut retry, end, &call),
            };
            match end {
                AfterAttempt::GiveUp(refusal) => {
                    return Err(self.checked_refusal(refusal, call.key.as_ref()).await);
                }
                AfterAttempt::ReadmitUnderNewConfig => return Ok(Ran::ConfigOutdated),
                AfterAttempt::TryAgain => {}
            }
        }
        unreachable!("the number of attempts is bounded by the retry policy")
    }

    /// Waits until an answer is whole or passed on as it comes. One without a key is taken
    /// back if it is held back meanwhile; a key's run goes on, as nobody may run it again.
    async fn collect(&self, attempt: Attempt, call: &Call) -> Collected {
        let collecting = collect(attempt, call.deadline);
        if call.key.is_some() {
            return collecting.await;
        }
        tokio::select! {
            collected = collecting => collected,
            _ = self.suspects.wait_until_quarantined(&call.fingerprint) => {
                Collected::Ended(AttemptFailure::Lost)
            }
        }
    }

    async fn find_place(
        &self,
        call: &Call,
        tried: &[EndpointId],
    ) -> Result<(Place, Option<Binding>), Refusal> {
        self.wait_for_verdicts(call).await?;
        if let Some(rest) = self.suspects.quarantined_for(&call.fingerprint) {
            return Err(held_back(rest));
        }
        let want = Want {
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
                place = call.gate.place(want) => Ok((place?, None)),
                rest = self.suspects.wait_until_quarantined(&call.fingerprint) => Err(held_back(rest)),
            },
            Some(key) => {
                let binding = bind(key, want, &call.gate, &self.claims, &self.node);
                let bound = tokio::time::timeout_at(call.deadline.at, binding).await;
                let (place, binding) = bound.map_err(|_| claim_timed_out())??;
                Ok((place, Some(binding)))
            }
        }
    }

    /// Waits until it is known whether back ends crashed that broke the request off: it may crash
    /// the next one.
    async fn wait_for_verdicts(&self, call: &Call) -> Result<(), Refusal> {
        match self.suspects.remaining_hold(&call.fingerprint) {
            Some(hold) if tokio::time::Instant::now() + hold > call.wait_until.at => {
                let detail = "back ends broke this request off, and may have crashed";
                Err(Refusal::not_run(Reason::HeldBack, detail).retry_after(hold))
            }
            Some(hold) => {
                let hold_ms = hold.as_millis() as u64;
                log::info!(request:% = call.id, hold_ms; "call held for verdicts");
                self.suspects.wait_until_released(&call.fingerprint).await;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn after_refusal(
        &self,
        retry: &mut RetryState,
        reason: RefusalReason,
        call: &Call,
    ) -> AfterAttempt {
        let end = match reason {
            RefusalReason::Busy => AttemptFailure::Busy,
            RefusalReason::BackendUnreachable
            | RefusalReason::Draining
            | RefusalReason::Revoked
            | RefusalReason::WrongService => AttemptFailure::Declined(Reason::NoEndpoint),
            RefusalReason::ConfigOutdated if !retry.may_have_run() => {
                return AfterAttempt::ReadmitUnderNewConfig;
            }
            RefusalReason::ConfigOutdated => AttemptFailure::Declined(Reason::NotReady),
            RefusalReason::Expired => AttemptFailure::Declined(Reason::TimedOut),
            RefusalReason::KeyReused => AttemptFailure::Declined(Reason::KeyReused),
            // The key may have been run before, and nobody remembers.
            RefusalReason::LedgerFull | RefusalReason::NotBoundHere => AttemptFailure::Lost,
        };
        self.after_end(retry, end, call)
    }

    fn after_end(&self, retry: &mut RetryState, end: AttemptFailure, call: &Call) -> AfterAttempt {
        let now = self.node.now();
        match retry.on_attempt_failed(end, now, || call.gate.take_retry()) {
            // A request that found no place waits on; that is no retry.
            RetryDecision::Retry if end == AttemptFailure::Busy => AfterAttempt::TryAgain,
            RetryDecision::Retry => {
                self.node.counters().count(Counter::Retries);
                AfterAttempt::TryAgain
            }
            RetryDecision::GiveUp(give_up) => AfterAttempt::GiveUp(Refusal {
                reason: give_up.reason,
                outcome: give_up.outcome,
                detail: format!("the last attempt ended as {end:?}"),
                retry_after: None,
            }),
        }
    }

    fn whole(&self, status: u16, headers: &[Header], body: Bytes) -> Response<ReplyBody> {
        self.node.counters().count(Counter::RequestsComplete);
        let mut response = answer_response(status, headers, whole_body(body));
        let outcome = HeaderValue::from_static(Outcome::Complete.as_str());
        response.headers_mut().insert(OUTCOME_HEADER, outcome);
        response
    }

    fn streaming(&self, call: Call, answer: StreamingAnswer) -> Response<ReplyBody> {
        let context = StreamContext {
            request: call.id,
            deadline: call.deadline,
            node: self.node.clone(),
            _guards: call.guards,
        };
        let (status, headers) = (answer.status, answer.headers.clone());
        answer_response(status, &headers, answer.into_body(context))
    }
}

/// Refuses a request under which back ends end.
fn held_back(rest: Duration) -> Refusal {
    let detail = "back ends have ended under this request, whoever sends it again";
    Refusal::not_run(Reason::HeldBack, detail).retry_after(rest)
}

/// Refuses a request whose claim the log has not confirmed in time: nobody acts on it.
fn claim_timed_out() -> Refusal {
    Refusal::not_run(Reason::TimedOut, "the log has not confirmed the claim in time")
}

/// What can be said if no further place is found after earlier attempts.
fn with_history(refusal: Refusal, retry: &RetryState) -> Refusal {
    match retry.may_have_run() {
        true => Refusal { outcome: Outcome::Unknown, ..refusal },
        false => refusal,
    }
}
