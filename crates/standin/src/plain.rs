//! A plain service that answers lookups and takes orders that must not be
//! repeated.

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

/// A call that the service has run.
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
    seen: Mutex<Vec<RecordedCall>>,
    active: AtomicUsize,
    /// A part of the path of calls under which the service ends.
    ends_under: Mutex<Option<String>>,
    /// A part of the path of calls whose connections the service cuts.
    cuts_under: Mutex<Option<String>>,
    cut: AtomicUsize,
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
    /// Starts a service; port 0 takes a free port.
    ///
    /// Fails if the address can't be bound.
    pub async fn start(
        address: SocketAddr,
        options: PlainServiceOptions,
    ) -> anyhow::Result<PlainService> {
        let lifecycle = Lifecycle::default();
        let state = Arc::new(State {
            options,
            seen: Mutex::default(),
            active: AtomicUsize::new(0),
            ends_under: Mutex::default(),
            cuts_under: Mutex::default(),
            cut: AtomicUsize::new(0),
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

    /// All calls that change something, oldest first.
    pub fn recorded_calls(&self) -> Vec<RecordedCall> {
        self.state.seen.lock().clone()
    }

    /// How many calls are being run now.
    pub fn active_calls(&self) -> usize {
        self.state.active.load(Ordering::Relaxed)
    }

    /// Lets the service end as a process does, as soon as it begins to run a call with this
    /// in its path.
    pub fn crash_on_path(&self, path: &str) {
        *self.state.ends_under.lock() = Some(path.to_owned());
    }

    /// Freezes the service: its machine goes on taking connections and requests, and it
    /// begins these as it wakes, before it sees which callers have left.
    pub fn freeze(&self) {
        self.state.is_frozen.send_replace(true);
    }

    /// Wakes the service.
    pub fn thaw(&self) {
        self.state.is_frozen.send_replace(false);
    }

    /// Lets the service cut the connection of each call with this in its path, and live on.
    pub fn disconnect_on_path(&self, path: &str) {
        *self.state.cuts_under.lock() = Some(path.to_owned());
    }

    /// How many calls it has cut.
    pub fn disconnect_count(&self) -> usize {
        self.state.cut.load(Ordering::Relaxed)
    }

    /// Sets how the service crashes.
    pub fn set_crash_kind(&self, kind: CrashKind) {
        self.state.lifecycle.set_crash_kind(kind);
    }

    /// Says whether it has ended.
    pub fn has_crashed(&self) -> bool {
        self.crash_count() > 0
    }

    /// How often it has crashed.
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

/// A stream of events that each tell when they were sent, at
/// `/stream/{events}/{interval in microseconds}`.
struct TimedStream {
    left: u32,
    interval: Duration,
    next_at: Instant,
}

impl TimedStream {
    fn of(path: &str) -> Option<TimedStream> {
        let (left, interval_us) = path.strip_prefix("/stream/")?.split_once('/')?;
        let interval = Duration::from_micros(interval_us.parse().ok()?);
        Some(TimedStream { left: left.parse().ok()?, interval, next_at: Instant::now() })
    }

    fn response(self) -> Response<Body> {
        let events = stream::unfold(self, |mut timed| async move {
            timed.left = timed.left.checked_sub(1)?;
            tokio::time::sleep_until(timed.next_at).await;
            timed.next_at += timed.interval;
            let sent_ns =
                SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos();
            let event = Bytes::from(format!("data: {sent_ns}\n\n"));
            Some((Ok(Frame::data(event)), timed))
        });
        let mut response = Response::new(StreamBody::new(events).boxed_unsync());
        let events = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, events);
        response
    }
}

struct Active<'a>(&'a AtomicUsize);

impl Drop for Active<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn handle(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    if let Some(stream) = TimedStream::of(request.uri().path()) {
        return stream.response();
    }
    if request.uri().path() == "/load" {
        awake(&state).await;
        let running = state.active.load(Ordering::Relaxed);
        return json(StatusCode::OK, &json!({ "running": running, "waiting": 0 }));
    }
    if state.ends_under.lock().as_ref().is_some_and(|part| request.uri().path().contains(part)) {
        state.lifecycle.crash();
        std::future::pending::<()>().await;
    }
    if state.cuts_under.lock().as_ref().is_some_and(|part| request.uri().path().contains(part)) {
        state.cut.fetch_add(1, Ordering::Relaxed);
        return cut_response();
    }
    state.active.fetch_add(1, Ordering::Relaxed);
    let _active = Active(&state.active);
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
        return run(&state, call).await;
    }
    let state = Arc::clone(&state);
    let running = tokio::spawn(async move {
        awake(&state).await;
        run(&state, call).await
    });
    running.await.unwrap_or_else(|error| {
        json(StatusCode::INTERNAL_SERVER_ERROR, &json!({ "error": error.to_string() }))
    })
}

/// A response whose connection breaks before its body.
fn cut_response() -> Response<Body> {
    let broken = stream::once(async { Err(anyhow::anyhow!("cut")) });
    Response::new(StreamBody::new(broken).boxed_unsync())
}

/// Waits until the service is not frozen.
async fn awake(state: &State) {
    // The sender lives as long as the state.
    let _ = state.is_frozen.subscribe().wait_for(|is_frozen| !is_frozen).await;
}

async fn run(state: &State, call: RecordedCall) -> Response<Body> {
    let number = match call.method.as_str() {
        "GET" | "HEAD" => 0,
        _ => {
            let mut seen = state.seen.lock();
            seen.push(call.clone());
            seen.len()
        }
    };
    if !state.options.delay.is_zero() {
        tokio::time::sleep(state.options.delay).await;
    }
    let answer = json!({
        "method": call.method,
        "path": call.path,
        "received": call.body,
        "run_number": number,
    });
    json(StatusCode::OK, &answer)
}
