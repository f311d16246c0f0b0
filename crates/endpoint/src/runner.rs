//! Deciding about attempts and running them.

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use http::{Response, header::CONTENT_TYPE};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use lynxmount_config::{Service, ServiceKind};
use lynxmount_core::{CallPhase, Cause, ServiceId, wall_time_ms};
use lynxmount_node::{ControlView, Counter, InFlightGuard, NodeHandle};
use lynxmount_wire::{Binding, Dispatch, Failure, RefusalReason, SseFramer};
use tokio_util::sync::CancellationToken;

use crate::{
    backend::{Backend, headers_to_pass},
    backend_watch::{BackendWatch, Break, Verdict},
    keys::{KeyAdmission, Keys},
    output::Output,
    places::{Place, Places},
    recording::{Recording, RecordingEnd},
    reports::Reports,
    sink::{AnswerHead, Sink},
};

/// How often one stream is resumed at most.
const MAX_RESUMES: u32 = 3;

/// The media type of a stream of server-sent events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// What all attempts share.
pub(crate) struct Runner {
    pub(crate) node: NodeHandle,
    pub(crate) service: ServiceId,
    pub(crate) keys: Keys,
    pub(crate) places: Arc<Places>,
    pub(crate) backend: Backend,
    pub(crate) watch: Arc<BackendWatch>,
    pub(crate) reports: Arc<Reports>,
}

/// What an attempt holds while it runs.
struct Permit {
    place: Place,
    running: InFlightGuard,
    max_running: u32,
}

impl Runner {
    /// Decides about an attempt, runs it if it may, and sends the answer.
    pub(crate) async fn run(
        self: &Arc<Runner>,
        dispatch: Dispatch,
        output: Output,
        cancel: CancellationToken,
    ) {
        let permit = self.permit(&dispatch);
        match dispatch.binding.clone() {
            Some(binding) => self.run_keyed(dispatch, binding, permit, output, cancel).await,
            None => match permit {
                Ok(permit) => self.run_direct(dispatch, permit, output, cancel).await,
                Err(reason) => self.refuse(output, reason).await,
            },
        }
    }

    /// Says whether an attempt may start now, and takes its place.
    ///
    /// Fails with the reason why the attempt will never be run.
    fn permit(&self, dispatch: &Dispatch) -> Result<Permit, RefusalReason> {
        let view = self.node.view();
        let service = self.service_of(dispatch, &view)?;
        // Counted before the view is looked at again: a process that has
        // begun to leave in between either sees the count or is seen.
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
        let place = self.places.take(max_running).ok_or(RefusalReason::Busy)?;
        Ok(Permit { place, running, max_running })
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

    async fn refuse(&self, mut output: Output, reason: RefusalReason) {
        self.node.counters().count(Counter::AttemptsRefused);
        let _ = output.refused(reason).await;
    }

    async fn run_direct(
        &self,
        dispatch: Dispatch,
        permit: Permit,
        output: Output,
        cancel: CancellationToken,
    ) {
        let mut sink = Sink::Direct(output);
        let end = tokio::select! {
            end = self.call(&dispatch, &mut sink) => end,
            () = cancel.cancelled() => RecordingEnd::Failed(Failure::Cancelled),
            () = expiry(&dispatch) => RecordingEnd::Failed(Failure::Expired),
            () = self.watch.until_silent() => {
                return self.leave_silent(&dispatch, permit, sink).await;
            }
        };
        self.cancel_at_engine(&dispatch, end).await;
        // The process stays until the end of the answer is on its way.
        let _running = self.give_back(permit);
        sink.end(end).await;
    }

    /// Ends a run whose back end is silent, so that the request goes on elsewhere. The back
    /// end finds the cancellation when it wakes.
    async fn leave_silent(&self, dispatch: &Dispatch, permit: Permit, mut sink: Sink) {
        sink.end(RecordingEnd::Failed(Failure::Backend)).await;
        self.cancel_at_engine(dispatch, RecordingEnd::Failed(Failure::Cancelled)).await;
        self.give_back(permit);
    }

    /// Cancels a run that was given up here. An engine keeps a stream whose
    /// connection breaks for a while, in case it is resumed.
    async fn cancel_at_engine(&self, dispatch: &Dispatch, end: RecordingEnd) {
        let is_given_up = matches!(
            end,
            RecordingEnd::Failed(Failure::Cancelled) | RecordingEnd::Failed(Failure::Expired)
        );
        if is_given_up && self.is_model() {
            let _ = self.backend.cancel(dispatch.id).await;
        }
    }

    fn is_model(&self) -> bool {
        let view = self.node.view();
        let service = view.config.as_ref().and_then(|config| config.service(&self.service));
        service.is_some_and(|service| service.kind == ServiceKind::Model)
    }

    /// Runs a key once, or takes part in the answer of its earlier run.
    ///
    /// A run goes on if its entry goes away: its caller will come back with
    /// the same key, and a second run is not allowed.
    async fn run_keyed(
        self: &Arc<Runner>,
        dispatch: Dispatch,
        binding: Binding,
        permit: Result<Permit, RefusalReason>,
        mut output: Output,
        cancel: CancellationToken,
    ) {
        let _running = self.node.start_request();
        let obstacle = permit.as_ref().err().copied();
        let recording = match (self.keys.admit(&binding, obstacle), permit) {
            (KeyAdmission::Run(recording), Ok(permit)) => {
                self.node.counters().count(Counter::KeysRun);
                let runner = Arc::clone(self);
                let recorded = Arc::clone(&recording);
                tokio::spawn(
                    async move { runner.record(dispatch, binding, permit, recorded).await },
                );
                recording
            }
            (KeyAdmission::Attach(recording), _) => {
                self.node.counters().count(Counter::KeysAttached);
                recording
            }
            (KeyAdmission::AnswerGone, _) => {
                let _ = output.failed(Failure::AnswerGone).await;
                return;
            }
            (KeyAdmission::Refuse(reason), _) | (KeyAdmission::Run(_), Err(reason)) => {
                return self.refuse(output, reason).await;
            }
        };
        tokio::select! {
            _ = recording.play(&mut output) => {}
            () = cancel.cancelled() => {}
        }
    }

    async fn record(
        &self,
        dispatch: Dispatch,
        binding: Binding,
        permit: Permit,
        recording: Arc<Recording>,
    ) {
        let mut sink = Sink::Recorded(Arc::clone(&recording));
        let end = tokio::select! {
            end = self.call(&dispatch, &mut sink) => end,
            () = expiry(&dispatch) => RecordingEnd::Failed(Failure::Expired),
        };
        self.cancel_at_engine(&dispatch, end).await;
        match end {
            RecordingEnd::Refused(_) => self.keys.revoke_unstarted(&binding.key_digest),
            RecordingEnd::Failed(_) | RecordingEnd::Whole => {
                self.keys.keep(binding.key_digest, &recording);
            }
        }
        // The process stays until the end of the answer is on its way.
        let _running = self.give_back(permit);
        sink.end(end).await;
    }

    /// Calls the back end and passes its answer on.
    async fn call(&self, dispatch: &Dispatch, sink: &mut Sink) -> RecordingEnd {
        self.node.counters().count(Counter::AttemptsStarted);
        let response = match self.backend.call(dispatch).await {
            Ok(response) => {
                self.watch.on_sign_of_life();
                response
            }
            Err(error) if matches!(error.cause, Cause::Unreachable | Cause::Invalid) => {
                self.watch.on_unreachable();
                return RecordingEnd::Refused(RefusalReason::BackendUnreachable);
            }
            Err(_) => {
                let broken = self.watch.on_call_broken();
                return self.failed(broken, self.first_phase()).await;
            }
        };
        match is_event_stream(&response) {
            true => self.pass_events(dispatch, response, sink).await,
            false => match self.pass_body(response, sink).await {
                Ok(()) => RecordingEnd::Whole,
                Err(broken) => self.failed(broken, CallPhase::Beginning).await,
            },
        }
    }

    /// How far a request is before the head of its answer: an engine may let it wait.
    fn first_phase(&self) -> CallPhase {
        match self.is_model() {
            true => CallPhase::Waiting,
            false => CallPhase::Beginning,
        }
    }

    /// Ends a run that the back end broke off, and tells what became of the back end: the request
    /// would go on to the next one otherwise, whatever it does there. One that ends as this process
    /// leaves ends as it was told to.
    async fn failed(&self, broken: Break, phase: CallPhase) -> RecordingEnd {
        if !self.node.view().is_ready() {
            return RecordingEnd::Failed(Failure::Backend);
        }
        let incarnation = broken.life;
        RecordingEnd::Failed(match self.watch.verdict(broken).await {
            Verdict::Alive => Failure::BackendDisconnected { incarnation, phase, is_alive: true },
            Verdict::Crashed(incarnation) => Failure::BackendCrashed { incarnation, phase },
            Verdict::Unknown => {
                Failure::BackendDisconnected { incarnation, phase, is_alive: false }
            }
        })
    }

    /// Passes a stream of events on; where it breaks, the engine is asked to go
    /// on after the last event that was whole.
    async fn pass_events(
        &self,
        dispatch: &Dispatch,
        response: Response<Incoming>,
        sink: &mut Sink,
    ) -> RecordingEnd {
        let mut events = SseFramer::default();
        let mut head = Some(head_of(&response));
        let mut body = response.into_body();
        for _ in 0..=MAX_RESUMES {
            if self.pass_whole_events(&mut body, &mut events, &mut head, sink).await {
                return RecordingEnd::Whole;
            }
            let broken = self.watch.on_call_broken();
            events.discard_partial();
            self.node.counters().count(Counter::StreamsResumed);
            match self.backend.resume(dispatch.id, events.event_count()).await {
                Ok(response) => body = response.into_body(),
                Err(_) if events.event_count() == 0 => {
                    return self.failed(broken, CallPhase::Beginning).await;
                }
                Err(_) => return self.failed(broken, CallPhase::Running).await,
            }
        }
        RecordingEnd::Failed(Failure::Backend)
    }

    /// Passes a body on that can't be resumed. Fails if it breaks.
    ///
    /// Head, first piece and end are handed over without a pause between them where
    /// they can be, so that they share one write and one read.
    async fn pass_body(&self, response: Response<Incoming>, sink: &mut Sink) -> Result<(), Break> {
        let mut head = Some(head_of(&response));
        let mut body = response.into_body();
        while !body.is_end_stream() {
            match body.frame().await {
                Some(Ok(frame)) => {
                    self.watch.on_sign_of_life();
                    let Ok(bytes) = frame.into_data() else { continue };
                    sink.head(head.take()).await;
                    sink.piece(bytes).await;
                }
                Some(Err(_)) => return Err(self.watch.on_call_broken()),
                None => break,
            }
        }
        sink.head(head.take()).await;
        Ok(())
    }

    /// Passes events on until the stream ends; `false` if it breaks.
    async fn pass_whole_events(
        &self,
        body: &mut Incoming,
        events: &mut SseFramer,
        head: &mut Option<AnswerHead>,
        sink: &mut Sink,
    ) -> bool {
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return false };
            self.watch.on_sign_of_life();
            let whole = frame.data_ref().and_then(|bytes| events.push(bytes));
            if let Some(whole) = whole {
                sink.head(head.take()).await;
                sink.piece(whole).await;
            }
        }
        sink.head(head.take()).await;
        if let Some(rest) = events.take_partial() {
            sink.piece(rest).await;
        }
        true
    }

    /// Gives the place back; entries that wait for one are told at once.
    fn give_back(&self, permit: Permit) -> InFlightGuard {
        let was_full = self.places.running() >= permit.max_running;
        drop(permit.place);
        if was_full {
            self.reports.note_change();
        }
        permit.running
    }
}

fn head_of(response: &Response<Incoming>) -> AnswerHead {
    (response.status().as_u16(), headers_to_pass(response))
}

fn is_event_stream(response: &Response<Incoming>) -> bool {
    let media_type = response.headers().get(CONTENT_TYPE);
    media_type.is_some_and(|value| value.as_bytes().starts_with(EVENT_STREAM))
}

/// Waits until the request's time is over.
async fn expiry(dispatch: &Dispatch) {
    let now_ms = wall_time_ms(SystemTime::now());
    let left = Duration::from_millis(dispatch.deadline_at_ms.saturating_sub(now_ms));
    tokio::time::sleep(left).await;
}
