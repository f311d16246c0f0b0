//! Admits attempts, runs them at the back end and sends their answers.

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use http::Response;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use lynxmount_config::{Service, ServiceKind};
use lynxmount_core::{CallPhase, Cause, ServiceId, wall_time_ms};
use lynxmount_node::{ControlView, Counter, InFlightGuard, NodeHandle};
use lynxmount_wire::{
    Binding, Dispatch, ExecutionFailure, MAX_EVENT_BYTES, RefusalReason, SseFramer, is_event_stream,
};
use tokio_util::sync::CancellationToken;

use crate::{
    answer_sender::AnswerSender,
    answer_sink::{AnswerHead, AnswerSink},
    backend::{Backend, forwarded_headers},
    backend_monitor::{BackendMonitor, DisconnectedCall, Verdict},
    concurrency::{ConcurrencyLimiter, ConcurrencyPermit},
    idempotency_store::{IdempotencyStore, KeyAdmission},
    load_reporter::LoadReporter,
    recording::{Recording, RunEnd},
};

/// The largest number of times that one stream is resumed.
const MAX_RESUMES: u32 = 3;

/// The state that all attempts share.
pub(crate) struct AttemptRunner {
    pub(crate) node: NodeHandle,
    pub(crate) service: ServiceId,
    pub(crate) idempotency: IdempotencyStore,
    pub(crate) limiter: Arc<ConcurrencyLimiter>,
    pub(crate) backend: Backend,
    pub(crate) monitor: Arc<BackendMonitor>,
    pub(crate) reporter: Arc<LoadReporter>,
}

/// The resources that an attempt holds while it runs.
struct AttemptPermit {
    concurrency: ConcurrencyPermit,
    running: InFlightGuard,
    max_running: u32,
}

impl AttemptRunner {
    /// Admits an attempt, runs it and sends its answer or a refusal.
    pub(crate) async fn run(
        self: &Arc<AttemptRunner>,
        dispatch: Dispatch,
        sender: AnswerSender,
        cancel: CancellationToken,
    ) {
        let permit = self.acquire_permit(&dispatch);
        match dispatch.binding.clone() {
            Some(binding) => self.run_keyed(dispatch, binding, permit, sender, cancel).await,
            None => match permit {
                Ok(permit) => self.run_unkeyed(dispatch, permit, sender, cancel).await,
                Err(reason) => self.refuse(sender, reason).await,
            },
        }
    }

    /// Checks whether an attempt may start now, and acquires its permit.
    ///
    /// Fails with the reason why the attempt will never be run.
    fn acquire_permit(&self, dispatch: &Dispatch) -> Result<AttemptPermit, RefusalReason> {
        let view = self.node.view();
        let service = self.service_of(dispatch, &view)?;
        // The request is counted before readiness is checked: if the process starts to drain in
        // between, either the drain waits for the request or the check here fails.
        let running = self.node.start_request();
        if !self.node.view().is_ready() {
            return Err(RefusalReason::Draining);
        }
        if dispatch.config_version < view.version() {
            return Err(RefusalReason::ConfigOutdated);
        }
        if dispatch.config_version > view.version() {
            self.node.on_newer_peer_config();
        }
        if dispatch.deadline_at_ms <= wall_time_ms(SystemTime::now()) {
            return Err(RefusalReason::Expired);
        }
        let max_running = service.max_running_per_endpoint;
        let concurrency = self.limiter.try_acquire(max_running).ok_or(RefusalReason::Busy)?;
        Ok(AttemptPermit { concurrency, running, max_running })
    }

    fn service_of(
        &self,
        dispatch: &Dispatch,
        view: &ControlView,
    ) -> Result<Arc<Service>, RefusalReason> {
        if dispatch.service != self.service {
            return Err(RefusalReason::WrongService);
        }
        let config = view.config.as_ref().ok_or(RefusalReason::Busy)?;
        config.service(&self.service).cloned().ok_or(RefusalReason::WrongService)
    }

    async fn refuse(&self, mut sender: AnswerSender, reason: RefusalReason) {
        self.node.counters().count(Counter::AttemptsRefused);
        let _ = sender.send_refusal(reason).await;
    }

    async fn run_unkeyed(
        &self,
        dispatch: Dispatch,
        permit: AttemptPermit,
        sender: AnswerSender,
        cancel: CancellationToken,
    ) {
        let relay_status = sender.relay_status();
        let mut sink = AnswerSink::Direct(sender);
        let end = tokio::select! {
            end = self.call(&dispatch, &mut sink) => end,
            () = cancel.cancelled() => RunEnd::Failed(ExecutionFailure::Cancelled),
            () = wait_until_deadline(&dispatch) => RunEnd::Failed(ExecutionFailure::Expired),
            () = self.monitor.until_abandonable(&relay_status) => {
                return self.abandon_unresponsive(&dispatch, permit, sink).await;
            }
        };
        self.cancel_at_engine(&dispatch, end).await;
        // Prevents the process from exiting before the end of the answer is queued.
        let _running = self.release(permit);
        sink.write_end(end).await;
    }

    /// Fails a run whose back end is unresponsive, so that the request is retried elsewhere. The
    /// back end receives the cancellation when it resumes.
    async fn abandon_unresponsive(
        &self,
        dispatch: &Dispatch,
        permit: AttemptPermit,
        mut sink: AnswerSink,
    ) {
        sink.write_end(RunEnd::Failed(ExecutionFailure::Backend)).await;
        self.cancel_at_engine(dispatch, RunEnd::Failed(ExecutionFailure::Cancelled)).await;
        self.release(permit);
    }

    /// Cancels a run at the engine if it was cancelled or has expired. Closing the connection is
    /// not enough: an engine keeps the stream for a while, in case it is resumed.
    async fn cancel_at_engine(&self, dispatch: &Dispatch, end: RunEnd) {
        let is_abandoned = matches!(
            end,
            RunEnd::Failed(ExecutionFailure::Cancelled) | RunEnd::Failed(ExecutionFailure::Expired)
        );
        if is_abandoned && self.is_model() {
            let _ = self.backend.cancel(dispatch.id).await;
        }
    }

    fn is_model(&self) -> bool {
        let view = self.node.view();
        let service = view.config.as_ref().and_then(|config| config.service(&self.service));
        service.is_some_and(|service| service.kind == ServiceKind::Model)
    }

    /// Runs a request with a key once, or replays the answer of the key's earlier run.
    ///
    /// A run continues if its entry disconnects: the caller may repeat the key, which must not be
    /// run a second time.
    async fn run_keyed(
        self: &Arc<AttemptRunner>,
        dispatch: Dispatch,
        binding: Binding,
        permit: Result<AttemptPermit, RefusalReason>,
        mut sender: AnswerSender,
        cancel: CancellationToken,
    ) {
        let _running = self.node.start_request();
        let refusal_reason = permit.as_ref().err().copied();
        let recording = match (self.idempotency.admit(&binding, refusal_reason), permit) {
            (KeyAdmission::Run(recording), Ok(permit)) => {
                self.node.counters().count(Counter::KeysRun);
                let runner = Arc::clone(self);
                let recorded = Arc::clone(&recording);
                tokio::spawn(async move {
                    runner.run_recorded(dispatch, binding, permit, recorded).await
                });
                recording
            }
            (KeyAdmission::Attach(recording), _) => {
                self.node.counters().count(Counter::KeysAttached);
                recording
            }
            (KeyAdmission::AnswerEvicted, _) => {
                let _ = sender.send_failure(ExecutionFailure::AnswerGone).await;
                return;
            }
            (KeyAdmission::Refuse(reason), _) | (KeyAdmission::Run(_), Err(reason)) => {
                return self.refuse(sender, reason).await;
            }
        };
        tokio::select! {
            _ = recording.replay(&mut sender) => {}
            () = cancel.cancelled() => {}
        }
    }

    async fn run_recorded(
        &self,
        dispatch: Dispatch,
        binding: Binding,
        permit: AttemptPermit,
        recording: Arc<Recording>,
    ) {
        let mut sink = AnswerSink::Recorded(Arc::clone(&recording));
        let end = tokio::select! {
            end = self.call(&dispatch, &mut sink) => end,
            () = wait_until_deadline(&dispatch) => RunEnd::Failed(ExecutionFailure::Expired),
        };
        self.cancel_at_engine(&dispatch, end).await;
        match end {
            RunEnd::Refused(_) => self.idempotency.revoke_unstarted(&binding.key_digest),
            RunEnd::Failed(_) | RunEnd::Complete => {
                self.idempotency.retain_answer(binding.key_digest, &recording);
            }
        }
        // Prevents the process from exiting before the end of the answer is queued.
        let _running = self.release(permit);
        sink.write_end(end).await;
    }

    /// Calls the back end and relays its answer.
    async fn call(&self, dispatch: &Dispatch, sink: &mut AnswerSink) -> RunEnd {
        self.node.counters().count(Counter::AttemptsStarted);
        let response = match self.backend.call(dispatch).await {
            Ok(response) => {
                self.monitor.on_activity();
                response
            }
            Err(error) if matches!(error.cause, Cause::Unreachable | Cause::Invalid) => {
                self.monitor.on_unreachable();
                return RunEnd::Refused(RefusalReason::BackendUnreachable);
            }
            Err(_) => {
                let disconnected_call = self.monitor.on_call_disconnected();
                return self.disconnect_failure(disconnected_call, self.phase_before_head()).await;
            }
        };
        match is_event_stream(&forwarded_headers(&response)) {
            true => self.relay_events(dispatch, response, sink).await,
            false => match self.relay_body(response, sink).await {
                Ok(()) => RunEnd::Complete,
                Err(disconnected_call) => {
                    self.disconnect_failure(disconnected_call, CallPhase::Beginning).await
                }
            },
        }
    }

    /// The phase of a request before the head of its answer. An engine may have queued it.
    fn phase_before_head(&self) -> CallPhase {
        match self.is_model() {
            true => CallPhase::Waiting,
            false => CallPhase::Beginning,
        }
    }

    /// The failure of a run whose connection to the back end broke, with the verdict on the back
    /// end: without it, a request that crashes back ends would be retried at one after the other.
    /// While this process drains, the back end is stopped on purpose, so there is no verdict.
    async fn disconnect_failure(
        &self,
        disconnected_call: DisconnectedCall,
        phase: CallPhase,
    ) -> RunEnd {
        if !self.node.view().is_ready() {
            return RunEnd::Failed(ExecutionFailure::Backend);
        }
        let incarnation = disconnected_call.incarnation;
        RunEnd::Failed(match self.monitor.verdict(disconnected_call).await {
            Verdict::Alive => {
                ExecutionFailure::BackendDisconnected { incarnation, phase, is_alive: true }
            }
            Verdict::Crashed(incarnation) => {
                ExecutionFailure::BackendCrashed { incarnation, phase }
            }
            Verdict::Unknown => {
                ExecutionFailure::BackendDisconnected { incarnation, phase, is_alive: false }
            }
        })
    }

    /// Relays an event stream. If its connection breaks, resumes the stream after the last complete
    /// event.
    async fn relay_events(
        &self,
        dispatch: &Dispatch,
        response: Response<Incoming>,
        sink: &mut AnswerSink,
    ) -> RunEnd {
        let mut events = SseFramer::default();
        let mut head = Some(head_of(&response));
        let mut body = response.into_body();
        for _ in 0..=MAX_RESUMES {
            if self.relay_complete_events(&mut body, &mut events, &mut head, sink).await {
                return RunEnd::Complete;
            }
            let disconnected_call = self.monitor.on_call_disconnected();
            events.discard_partial();
            self.node.counters().count(Counter::StreamsResumed);
            match self.backend.resume(dispatch.id, events.event_count()).await {
                Ok(response) => body = response.into_body(),
                Err(_) if events.event_count() == 0 => {
                    return self.disconnect_failure(disconnected_call, CallPhase::Beginning).await;
                }
                Err(_) => {
                    return self.disconnect_failure(disconnected_call, CallPhase::Running).await;
                }
            }
        }
        RunEnd::Failed(ExecutionFailure::Backend)
    }

    /// Relays a body that cannot be resumed. Fails if its connection breaks.
    ///
    /// Head, first chunk and end are sent back to back if possible, so that they share one write
    /// and one read.
    async fn relay_body(
        &self,
        response: Response<Incoming>,
        sink: &mut AnswerSink,
    ) -> Result<(), DisconnectedCall> {
        let mut head = Some(head_of(&response));
        let mut body = response.into_body();
        while !body.is_end_stream() {
            match body.frame().await {
                Some(Ok(frame)) => {
                    self.monitor.on_activity();
                    let Ok(bytes) = frame.into_data() else { continue };
                    sink.write_head(head.take()).await;
                    sink.write_chunk(bytes).await;
                }
                Some(Err(_)) => return Err(self.monitor.on_call_disconnected()),
                None => break,
            }
        }
        sink.write_head(head.take()).await;
        Ok(())
    }

    /// Relays complete events until the stream ends; `false` if its connection breaks, or an event
    /// is too large.
    async fn relay_complete_events(
        &self,
        body: &mut Incoming,
        events: &mut SseFramer,
        head: &mut Option<AnswerHead>,
        sink: &mut AnswerSink,
    ) -> bool {
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return false };
            self.monitor.on_activity();
            // Events that are counted are relayed, whatever comes behind them.
            if let Some(complete) = frame.data_ref().and_then(|bytes| events.push(bytes)) {
                sink.write_head(head.take()).await;
                sink.write_chunk(complete).await;
            }
            if events.partial_bytes() > MAX_EVENT_BYTES {
                return false;
            }
        }
        sink.write_head(head.take()).await;
        if let Some(remainder) = events.take_partial() {
            sink.write_chunk(remainder).await;
        }
        true
    }

    /// Releases the concurrency permit. If the endpoint was full, entries get a report at once.
    fn release(&self, permit: AttemptPermit) -> InFlightGuard {
        let was_full = self.limiter.running() >= permit.max_running;
        drop(permit.concurrency);
        if was_full {
            self.reporter.report_now();
        }
        permit.running
    }
}

fn head_of(response: &Response<Incoming>) -> AnswerHead {
    (response.status().as_u16(), forwarded_headers(response))
}

/// Waits until the deadline of the request.
async fn wait_until_deadline(dispatch: &Dispatch) {
    let now_ms = wall_time_ms(SystemTime::now());
    let remaining = Duration::from_millis(dispatch.deadline_at_ms.saturating_sub(now_ms));
    tokio::time::sleep(remaining).await;
}
