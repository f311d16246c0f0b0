//! A stand-in of a plain service, with idempotent lookups and non-idempotent orders.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use futures::stream;
use http::{HeaderValue, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde_json::json;
use tokio::{sync::watch, task::JoinHandle, time::Instant};

use crate::{
    crash::{CrashKind, Lifecycle},
    http_server::{Body, json, serve},
};

/// How a plain service behaves.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlainServiceOptions {
    /// How long a call takes.
    pub delay: Duration,
}

/// A call that the service has executed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordedCall {
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The body, as text.
    pub body: String,
}

struct State {
    options: PlainServiceOptions,
    recorded_calls: Mutex<Vec<RecordedCall>>,
    active_calls: AtomicUsize,
    /// A part of the path of calls on which the service crashes.
    crash_path: Mutex<Option<String>>,
    /// A part of the path of calls whose connections the service closes.
    disconnect_path: Mutex<Option<String>>,
    disconnects: AtomicUsize,
    is_frozen: watch::Sender<bool>,
    lifecycle: Lifecycle,
}

/// A running plain service.
pub struct PlainService {
    state: Arc<State>,
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl PlainService {
    /// Starts a service; port 0 selects a free port.
    ///
    /// Fails if the address can't be bound.
    pub async fn start(
        address: SocketAddr,
        options: PlainServiceOptions,
    ) -> anyhow::Result<PlainService> {
        let lifecycle = Lifecycle::default();
        let state = Arc::new(State {
            options,
            recorded_calls: Mutex::default(),
            active_calls: AtomicUsize::new(0),
            crash_path: Mutex::default(),
            disconnect_path: Mutex::default(),
            disconnects: AtomicUsize::new(0),
            is_frozen: watch::Sender::new(false),
            lifecycle: lifecycle.clone(),
        });
        let (address, task) = serve(address, Arc::clone(&state), lifecycle, handle).await?;
        Ok(PlainService { state, address, task })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// All executed calls except `GET` and `HEAD`, oldest first.
    pub fn recorded_calls(&self) -> Vec<RecordedCall> {
        self.state.recorded_calls.lock().clone()
    }

    /// The number of calls in progress.
    pub fn active_calls(&self) -> usize {
        self.state.active_calls.load(Ordering::Relaxed)
    }

    /// Makes the service crash, as a process does, on a call whose path contains `path`.
    pub fn crash_on_path(&self, path: &str) {
        *self.state.crash_path.lock() = Some(path.to_owned());
    }

    /// Freezes the service: its machine still accepts connections and requests, and it starts these
    /// when it is thawed, before it notices which callers have disconnected.
    pub fn freeze(&self) {
        self.state.is_frozen.send_replace(true);
    }

    /// Thaws the service.
    pub fn thaw(&self) {
        self.state.is_frozen.send_replace(false);
    }

    /// Makes the service close the connection of each call whose path contains `path`, without
    /// crashing.
    pub fn disconnect_on_path(&self, path: &str) {
        *self.state.disconnect_path.lock() = Some(path.to_owned());
    }

    /// The number of calls whose connections it has closed.
    pub fn disconnect_count(&self) -> usize {
        self.state.disconnects.load(Ordering::Relaxed)
    }

    /// Sets how the service crashes.
    pub fn set_crash_kind(&self, kind: CrashKind) {
        self.state.lifecycle.set_crash_kind(kind);
    }

    /// Returns whether the service has crashed.
    pub fn has_crashed(&self) -> bool {
        self.crash_count() > 0
    }

    /// The number of crashes.
    pub fn crash_count(&self) -> u32 {
        self.state.lifecycle.crash_count()
    }

    /// Stops the service.
    pub fn stop(&self) {
        self.task.abort();
    }

    /// Runs until it is stopped.
    pub async fn join(self) {
        let _ = self.task.await;
    }
}

/// A stream of events that each hold the time they were sent, in nanoseconds, at
/// `/stream/{events}/{interval in microseconds}`.
struct TimedStream {
    remaining: u32,
    interval: Duration,
    next_at: Instant,
}

impl TimedStream {
    fn from_path(path: &str) -> Option<TimedStream> {
        let (remaining, interval_us) = path.strip_prefix("/stream/")?.split_once('/')?;
        let interval = Duration::from_micros(interval_us.parse().ok()?);
        Some(TimedStream { remaining: remaining.parse().ok()?, interval, next_at: Instant::now() })
    }

    fn response(self) -> Response<Body> {
        let events = stream::unfold(self, |mut stream| async move {
            stream.remaining = stream.remaining.checked_sub(1)?;
            tokio::time::sleep_until(stream.next_at).await;
            stream.next_at += stream.interval;
            let sent_ns =
                SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos();
            let event = Bytes::from(format!("data: {sent_ns}\n\n"));
            Some((Ok(Frame::data(event)), stream))
        });
        let mut response = Response::new(StreamBody::new(events).boxed_unsync());
        let events = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, events);
        response
    }
}

/// Decrements the number of calls in progress when it is dropped.
struct ActiveCallGuard<'a>(&'a AtomicUsize);

impl Drop for ActiveCallGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn handle(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    if let Some(stream) = TimedStream::from_path(request.uri().path()) {
        return stream.response();
    }
    if request.uri().path() == "/load" {
        wait_until_thawed(&state).await;
        let running = state.active_calls.load(Ordering::Relaxed);
        return json(StatusCode::OK, &json!({ "running": running, "waiting": 0 }));
    }
    if state.crash_path.lock().as_ref().is_some_and(|part| request.uri().path().contains(part)) {
        state.lifecycle.crash();
        std::future::pending::<()>().await;
    }
    if state.disconnect_path.lock().as_ref().is_some_and(|part| request.uri().path().contains(part))
    {
        state.disconnects.fetch_add(1, Ordering::Relaxed);
        return disconnect_response();
    }
    state.active_calls.fetch_add(1, Ordering::Relaxed);
    let _guard = ActiveCallGuard(&state.active_calls);
    let (parts, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return json(StatusCode::BAD_REQUEST, &json!({ "error": "no body" }));
    };
    let call = RecordedCall {
        method: parts.method.to_string(),
        path: parts.uri.to_string(),
        body: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
    };
    if !*state.is_frozen.borrow() {
        return execute(&state, call).await;
    }
    let state = Arc::clone(&state);
    let running = tokio::spawn(async move {
        wait_until_thawed(&state).await;
        execute(&state, call).await
    });
    running.await.unwrap_or_else(|error| {
        json(StatusCode::INTERNAL_SERVER_ERROR, &json!({ "error": error.to_string() }))
    })
}

/// A response whose connection closes before its body.
fn disconnect_response() -> Response<Body> {
    let broken = stream::once(async { Err(anyhow::anyhow!("cut")) });
    Response::new(StreamBody::new(broken).boxed_unsync())
}

/// Waits until the service is not frozen.
async fn wait_until_thawed(state: &State) {
    // The sender lives as long as the state, so that waiting can't fail.
    let _ = state.is_frozen.subscribe().wait_for(|is_frozen| !is_frozen).await;
}

async fn execute(state: &State, call: RecordedCall) -> Response<Body> {
    let number = match call.method.as_str() {
        "GET" | "HEAD" => 0,
        _ => {
            let mut recorded = state.recorded_calls.lock();
            recorded.push(call.clone());
            recorded.len()
        }
    };
    if !state.options.delay.is_zero() {
        tokio::time::sleep(state.options.delay).await;
    }
    let response = json!({
        "method": call.method,
        "path": call.path,
        "received": call.body,
        "run_number": number,
    });
    json(StatusCode::OK, &response)
}
