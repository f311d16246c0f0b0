//! Answers of replicas that are cut at any byte, on the way through an entry of the users' platform:
//! none may look whole.

mod platform_common;

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, StatusCode};
use lynxmount_platform_standin::{
    Behaviour, ReplicaStandin, StoreStandin,
    fixture::{
        CONFIG_KEY, IDEMPOTENT, NON_IDEMPOTENT, OPERATOR_TOPIC, REGISTRATIONS_TOPIC, STREAM,
        registration_text, service_of,
    },
};
use lynxmount_standin::{Cut, CutKind, CuttingProxy, Framing};
use platform_common::{
    CALLERS_PORT, CallerResponse, KEY, Process, REPLICA_PORT, STORE_PORT, allocate_network, call,
    config, entry_ip, entry_settings, ip, wait_for,
};

const KINDS: [CutKind; 3] = [CutKind::Close, CutKind::HalfClose, CutKind::Reset];

const EVENTS: u64 = 2;

/// Mechanisms that keep calls from a replica whose answers are cut.
const WITHOUT: &str = "health,quarantine,outage-watch";

/// An entry with one replica behind a proxy.
struct CutFleet {
    network: u8,
    route: &'static str,
    proxy: CuttingProxy,
    _store: StoreStandin,
    _replica: ReplicaStandin,
    _entry: Process,
}

impl CutFleet {
    async fn start(route: &'static str, behaviour: Behaviour) -> CutFleet {
        let network = allocate_network();
        let store = StoreStandin::start((ip(network, 250), STORE_PORT).into()).await;
        let store = store.expect("store starts");
        store.put(OPERATOR_TOPIC, CONFIG_KEY, &config(1, &[KEY]));
        let address = (ip(network, 100), REPLICA_PORT).into();
        let replica = ReplicaStandin::start("i-0", address, behaviour).await.expect("replica");
        let own = (ip(network, 101), REPLICA_PORT).into();
        let proxy = CuttingProxy::start(own, address, &format!("/{route}/")).await;
        let proxy = proxy.expect("proxy starts");
        let registration = registration_text(proxy.address(), &service_of(route), "ready");
        store.put(REGISTRATIONS_TOPIC, "i-0", &registration);
        let settings = entry_settings(entry_ip(network, 0), store.address(), &[]);
        let entry = Process::start_without("platform-entry", &settings, WITHOUT);
        let fleet =
            CutFleet { network, route, proxy, _store: store, _replica: replica, _entry: entry };
        wait_for("a whole answer", async || {
            fleet.call().await.is_some_and(|response| is_whole(&response))
        })
        .await;
        fleet
    }

    async fn call(&self) -> Option<CallerResponse> {
        let entry: SocketAddr = (entry_ip(self.network, 0), CALLERS_PORT).into();
        call(entry, Method::POST, &format!("/{}/7", self.route), KEY).await
    }

    /// Cuts answers at each byte in all ways, and returns the whole answers that callers got.
    async fn whole_answers(&self, framing: Framing, cut_bytes: usize) -> Vec<(Cut, Bytes)> {
        let mut whole = Vec::new();
        for after_bytes in 1..cut_bytes {
            for kind in KINDS {
                let cut = Cut { after_bytes, kind, framing };
                let before = self.proxy.cut_count();
                self.proxy.set_cut(Some(cut));
                let mut response = None;
                while self.proxy.cut_count() == before {
                    response = self.call().await;
                }
                let body = response.filter(is_whole).and_then(|response| response.body);
                whole.extend(body.map(|body| (cut, body)));
            }
        }
        whole
    }
}

fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

fn is_whole(response: &CallerResponse) -> bool {
    response.status == StatusCode::OK && response.body.is_some()
}

/// Guards against a 200 with an empty or short body after an answer was cut in its head.
#[tokio::test]
async fn cut_lookup_never_looks_whole() {
    let fleet = CutFleet::start(IDEMPOTENT, Behaviour::Answer).await;

    let whole = fleet.whole_answers(Framing::Kept, fleet.proxy.whole_bytes()).await;

    assert!(whole.is_empty(), "{whole:?}");
}

#[tokio::test]
async fn cut_answer_of_a_call_that_runs_once_never_looks_whole() {
    let fleet = CutFleet::start(NON_IDEMPOTENT, Behaviour::Answer).await;

    let whole = fleet.whole_answers(Framing::Kept, fleet.proxy.whole_bytes()).await;

    assert!(whole.is_empty(), "{whole:?}");
}

/// Where the body ends with the connection, only a cut in the head can be told.
#[tokio::test]
async fn head_that_is_cut_never_looks_whole_if_the_body_has_no_length() {
    let fleet = CutFleet::start(NON_IDEMPOTENT, Behaviour::Answer).await;
    let length_line = "Content-Length: 13\r\n".len();
    let body = "answer of i-0".len();

    let head_bytes = fleet.proxy.whole_bytes() - length_line - body;
    let whole = fleet.whole_answers(Framing::UntilClose, head_bytes).await;

    assert!(whole.is_empty(), "{whole:?}");
}

#[tokio::test]
async fn cut_stream_never_looks_whole() {
    let stream = Behaviour::Stream { events: EVENTS, gap: std::time::Duration::ZERO };
    let fleet = CutFleet::start(STREAM, stream).await;

    let whole = fleet.whole_answers(Framing::Kept, fleet.proxy.whole_bytes()).await;

    // A stream that is cut is resumed; its rest is too short to be cut at a late byte.
    let all: String = (1..=EVENTS).map(event).collect();
    assert!(whole.iter().all(|(_, body)| *body == all), "{whole:?}");
}
