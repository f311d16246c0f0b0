//! A stand-in of a model engine with the chat completions interface.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use futures::stream;
use http::{HeaderValue, Method, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::{sync::watch, task::JoinHandle};

use crate::{
    BatchOptions,
    batch::{Batch, Progress},
    crash::Lifecycle,
    http_server::{Body, full_body, json, serve},
};

/// The number of tokens of a response if the request sets none.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// The priority of requests without one.
const LOWEST_PRIORITY: u8 = 9;

/// A run that the engine has started.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordedRun {
    /// The attempt's id.
    pub attempt: String,
    /// The content of the request's last message.
    pub prompt: String,
    /// The number of tokens requested.
    pub max_tokens: u32,
}

/// A running engine.
pub struct Engine {
    state: Arc<State>,
    address: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

struct State {
    batch: Arc<Batch>,
    recorded_runs: Mutex<Vec<RecordedRun>>,
    cut_after: Mutex<Option<u32>>,
    is_frozen: watch::Sender<bool>,
}

/// The text of one token: the prompt that it answers and its number.
pub fn token_text(prompt: &str, number: u32) -> String {
    format!("{prompt}#{number} ")
}

impl Engine {
    /// Starts an engine; port 0 selects a free port.
    ///
    /// Fails if the address can't be bound.
    pub async fn start(address: SocketAddr, options: BatchOptions) -> anyhow::Result<Engine> {
        let batch = Arc::new(Batch::new(options));
        let state = Arc::new(State {
            batch: Arc::clone(&batch),
            recorded_runs: Mutex::default(),
            cut_after: Mutex::default(),
            is_frozen: watch::Sender::new(false),
        });
        let lifecycle = Lifecycle::default();
        let (address, server) = serve(address, Arc::clone(&state), lifecycle, handle).await?;
        let tasks = vec![server, tokio::spawn(batch.run())];
        Ok(Engine { state, address, tasks })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// All runs that were started, oldest first.
    pub fn recorded_runs(&self) -> Vec<RecordedRun> {
        self.state.recorded_runs.lock().clone()
    }

    /// The number of sequences that are running or waiting.
    pub fn active_sequences(&self) -> usize {
        self.state.batch.active_sequences()
    }

    /// Closes the connection of the next stream after so many tokens.
    pub fn cut_next_stream_after(&self, tokens: u32) {
        *self.state.cut_after.lock() = Some(tokens);
    }

    /// Freezes the engine: its machine still accepts connections and requests, but nothing is sent
    /// until it is thawed.
    pub fn freeze(&self) {
        self.state.is_frozen.send_replace(true);
    }

    /// Thaws the engine.
    pub fn thaw(&self) {
        self.state.is_frozen.send_replace(false);
    }

    /// Stops the engine.
    pub fn stop(&self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }

    /// Runs until it is stopped.
    pub async fn join(self) {
        for task in self.tasks {
            let _ = task.await;
        }
    }
}

async fn handle(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    wait_until_thawed(&mut state.is_frozen.subscribe()).await;
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/load") => {
            let load = state.batch.load();
            json(StatusCode::OK, &json!({ "running": load.running, "waiting": load.waiting }))
        }
        (&Method::POST, "/v1/chat/completions") => complete(state, request).await,
        (&Method::GET, path) if path.starts_with("/v1/streams/") => resume(&state, &request),
        (&Method::DELETE, path) => {
            state.batch.cancel(path.trim_start_matches("/v1/streams/"));
            json(StatusCode::OK, &json!({}))
        }
        _ => json(StatusCode::NOT_FOUND, &json!({ "error": "no such path" })),
    }
}

async fn complete(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    let attempt = header(&request, "lynxmount-attempt").unwrap_or_else(new_id);
    let priority = header(&request, "lynxmount-priority").and_then(|p| p.parse().ok());
    let Ok(body) = request.into_body().collect().await else {
        return json(StatusCode::BAD_REQUEST, &json!({ "error": "no body" }));
    };
    let Ok(body) = serde_json::from_slice::<Value>(&body.to_bytes()) else {
        return json(StatusCode::BAD_REQUEST, &json!({ "error": "no JSON" }));
    };
    let prompt = prompt_of(&body);
    let max_tokens = body["max_tokens"].as_u64().unwrap_or(DEFAULT_MAX_TOKENS) as u32;
    state.recorded_runs.lock().push(RecordedRun {
        attempt: attempt.clone(),
        prompt: prompt.clone(),
        max_tokens,
    });
    let priority = priority.unwrap_or(LOWEST_PRIORITY);
    let progress = state.batch.add(attempt.clone(), priority, max_tokens);
    match body["stream"].as_bool() {
        Some(true) => {
            let cut_after = state.cut_after.lock().take();
            let is_frozen = state.is_frozen.subscribe();
            event_stream(TokenStream {
                prompt,
                max_tokens,
                sent: 0,
                progress,
                cut_after,
                is_frozen,
            })
        }
        _ => full_response(prompt, max_tokens, progress).await,
    }
}

/// Resumes a stream at the event number in the query.
fn resume(state: &State, request: &Request<Incoming>) -> Response<Body> {
    let id = request.uri().path().trim_start_matches("/v1/streams/");
    let from = query_number(request, "from").unwrap_or(0);
    let recorded = state.recorded_runs.lock().iter().find(|run| run.attempt == id).cloned();
    let (Some(progress), Some(run)) = (state.batch.find(id), recorded) else {
        return json(StatusCode::NOT_FOUND, &json!({ "error": "no such stream" }));
    };
    let RecordedRun { prompt, max_tokens, .. } = run;
    let is_frozen = state.is_frozen.subscribe();
    let tokens =
        TokenStream { prompt, max_tokens, sent: from, progress, cut_after: None, is_frozen };
    event_stream(tokens)
}

struct TokenStream {
    prompt: String,
    max_tokens: u32,
    sent: u32,
    progress: watch::Receiver<Progress>,
    cut_after: Option<u32>,
    is_frozen: watch::Receiver<bool>,
}

type FrameResult = Result<Frame<Bytes>, anyhow::Error>;

fn event_stream(tokens: TokenStream) -> Response<Body> {
    let body = StreamBody::new(stream::unfold(Some(tokens), next_event)).boxed_unsync();
    let mut response = Response::new(body);
    let events = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, events);
    response
}

async fn next_event(tokens: Option<TokenStream>) -> Option<(FrameResult, Option<TokenStream>)> {
    let mut tokens = tokens?;
    wait_until_thawed(&mut tokens.is_frozen).await;
    if tokens.cut_after.is_some_and(|after| tokens.sent >= after) {
        return Some((Err(anyhow::anyhow!("cut off")), None));
    }
    if tokens.sent >= tokens.max_tokens {
        return Some((Ok(Frame::data(Bytes::from_static(b"data: [DONE]\n\n"))), None));
    }
    let sent = tokens.sent;
    let progress = *tokens.progress.wait_for(|p| p.tokens > sent || p.is_cancelled).await.ok()?;
    if progress.is_cancelled {
        return Some((Err(anyhow::anyhow!("cancelled")), None));
    }
    let event = format_event(&token_text(&tokens.prompt, sent));
    tokens.sent += 1;
    Some((Ok(Frame::data(event.into())), Some(tokens)))
}

/// Waits until the engine is not frozen.
async fn wait_until_thawed(is_frozen: &mut watch::Receiver<bool>) {
    // A stopped engine sends nothing anyway.
    let _ = is_frozen.wait_for(|is_frozen| !is_frozen).await;
}

fn format_event(content: &str) -> String {
    let chunk = json!({
        "object": "chat.completion.chunk",
        "choices": [{ "index": 0, "delta": { "content": content } }],
    });
    format!("data: {chunk}\n\n")
}

async fn full_response(
    prompt: String,
    max_tokens: u32,
    mut progress: watch::Receiver<Progress>,
) -> Response<Body> {
    let last = progress.wait_for(|p| p.tokens >= max_tokens || p.is_cancelled).await.map(|p| *p);
    if last.is_ok_and(|last| last.is_cancelled) {
        return json(StatusCode::INTERNAL_SERVER_ERROR, &json!({ "error": "cancelled" }));
    }
    let content: String = (0..max_tokens).map(|number| token_text(&prompt, number)).collect();
    let completion = json!({
        "object": "chat.completion",
        "choices": [{ "index": 0, "message": { "role": "assistant", "content": content } }],
    });
    let mut response = Response::new(full_body(completion.to_string().into()));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn prompt_of(body: &Value) -> String {
    let last = body["messages"].as_array().and_then(|messages| messages.last());
    last.and_then(|message| message["content"].as_str()).unwrap_or_default().to_owned()
}

fn header(request: &Request<Incoming>, name: &str) -> Option<String> {
    request.headers().get(name)?.to_str().ok().map(str::to_owned)
}

fn query_number(request: &Request<Incoming>, name: &str) -> Option<u32> {
    let query = request.uri().query()?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(n, _)| *n == name).find_map(|(_, value)| value.parse().ok())
}

fn new_id() -> String {
    uuid::Uuid::new_v4().to_string()
}
