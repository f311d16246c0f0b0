//! Answers of back ends that are cut at any byte, on the way through an endpoint process and an
//! entry: none may look whole.

mod common;

use common::{Fleet, FleetOptions, answer_text, chat_request, streamed_text};
use http::Method;
use lynxmount_standin::{Cut, CutKind, CuttingProxy, Framing, ReceivedResponse};

const CHAT_PATH: &str = "/v1/chat/completions";

/// The part of a path that routes leave.
const CUT_PATH: &str = "/bookings/cut-here";

const STREAM_TOKENS: u32 = 2;

const KINDS: [CutKind; 3] = [CutKind::Close, CutKind::HalfClose, CutKind::Reset];

/// How often a call is repeated until its answer is cut: a back end that fails is left alone for a
/// while.
const MAX_TRIES: usize = 2000;

/// A call whose answers are cut.
#[derive(Clone, Debug)]
struct CutCall {
    method: Method,
    path: &'static str,
    body: String,
}

/// A fleet with one back end behind a proxy.
struct CutFleet {
    fleet: Fleet,
    proxy: CuttingProxy,
}

impl CutFleet {
    async fn start(options: FleetOptions, head_part: &str) -> CutFleet {
        let mut fleet = Fleet::start_without_config(options).await;
        let target = match fleet.engines.first() {
            Some(engine) => engine.address(),
            None => fleet.plain_services[0].address(),
        };
        let proxy = CuttingProxy::start(fleet.address(0), target, head_part).await;
        let proxy = proxy.expect("proxy starts");
        fleet.options.backend_address = Some(proxy.address());
        fleet.start_serving().await;
        CutFleet { fleet, proxy }
    }

    async fn call(&self, call: &CutCall) -> Option<ReceivedResponse> {
        let caller = self.fleet.caller(0);
        caller.call(call.method.clone(), call.path, &[], call.body.clone()).await.ok()
    }

    /// Makes a call until its answer is cut, and returns what the caller gets.
    async fn call_until_cut(&self, call: &CutCall, cut: Cut) -> Option<ReceivedResponse> {
        let before = self.proxy.cut_count();
        self.proxy.set_cut(Some(cut));
        for _ in 0..MAX_TRIES {
            let response = self.call(call).await;
            if self.proxy.cut_count() > before {
                self.proxy.set_cut(None);
                return response;
            }
            tokio::time::sleep(std::time::Duration::from_millis(2)).await;
        }
        panic!("no answer was cut: {call:?}, {cut:?}");
    }

    /// Cuts an answer at each byte in all ways, and returns the successes that callers got.
    async fn successes(&self, call: &CutCall) -> Vec<(Cut, String)> {
        let cuts = |after_bytes| {
            KINDS.map(|kind| Cut { after_bytes, kind, framing: Framing::Kept }).into_iter()
        };
        self.successes_of(call, |whole_bytes| (1..whole_bytes).flat_map(cuts).collect()).await
    }

    /// Cuts answers, given the length of a whole one, and returns the successes that callers got.
    async fn successes_of(
        &self,
        call: &CutCall,
        cuts: impl Fn(usize) -> Vec<Cut>,
    ) -> Vec<(Cut, String)> {
        assert!(self.call(call).await.is_some_and(|whole| whole.status == 200));
        let whole_bytes = self.proxy.whole_bytes();
        assert!(whole_bytes > 0);
        let mut successes = Vec::new();
        for cut in cuts(whole_bytes) {
            let response = self.call_until_cut(call, cut).await;
            let success = response.filter(|response| response.status == 200);
            successes.extend(success.map(|success| (cut, success.body)));
        }
        successes
    }
}

fn one_plain_service() -> FleetOptions {
    FleetOptions { entries: 1, engines: 0, plain_services: 1, ..FleetOptions::default() }
}

/// Guards against a 200 with an empty or short body after an answer was cut in its head.
#[tokio::test(flavor = "multi_thread")]
async fn cut_lookup_never_looks_whole() {
    let fleet = CutFleet::start(one_plain_service(), "/cut-here").await;
    let call = CutCall { method: Method::GET, path: CUT_PATH, body: String::new() };

    let successes = fleet.successes(&call).await;

    assert!(successes.is_empty(), "{successes:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_answer_of_a_call_that_runs_once_never_looks_whole() {
    let fleet = CutFleet::start(one_plain_service(), "/cut-here").await;
    let call = CutCall { method: Method::POST, path: CUT_PATH, body: "{}".to_owned() };

    let successes = fleet.successes(&call).await;

    assert!(successes.is_empty(), "{successes:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_stream_never_looks_whole() {
    let options =
        FleetOptions { entries: 1, engines: 1, plain_services: 0, ..FleetOptions::default() };
    let fleet = CutFleet::start(options, CHAT_PATH).await;
    let body = chat_request("dent", STREAM_TOKENS, true);
    let call = CutCall { method: Method::POST, path: CHAT_PATH, body };

    // Each byte in one way: a stream that is cut is resumed at its engine, which takes a while.
    let cut = |after_bytes| {
        let kind = KINDS[after_bytes % KINDS.len()];
        Cut { after_bytes, kind, framing: Framing::Kept }
    };
    let successes = fleet.successes_of(&call, |bytes| (1..bytes).map(cut).collect()).await;

    let whole = (answer_text("dent", STREAM_TOKENS), true);
    for (cut, body) in successes {
        let text = streamed_text(&body);
        assert!(text == whole || !text.1, "{cut:?}: {body}");
    }
}
