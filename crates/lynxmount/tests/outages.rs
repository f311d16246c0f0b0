//! Outages of the platform, and configuration versions that never go backwards.

mod common;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use common::{Fleet, FleetOptions, OTHER_TEAM, chat_request, eventually, token_of};
use http::Method;
use lynxmount_idempotency::CLAIMS_STREAM;
use lynxmount_standin::{Caller, Faults};
use nix::sys::signal::Signal;
use tokio::{io::AsyncReadExt, net::TcpListener};

const CHAT_PATH: &str = "/v1/chat/completions";
const ORDERS_PATH: &str = "/bookings/orders";
const KEY_HEADER: [(&str, &str); 1] = [("idempotency-key", "o-1")];

/// Concurrent requests with keys that are refused.
const REFUSED_REQUESTS: usize = 60;

/// Far less time than refusing all of them one after the other takes.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(15);

/// A platform that accepts calls and responds to none during the test.
fn platform_unresponsive() -> Faults {
    Faults { delay: Duration::from_secs(30), ..Faults::default() }
}

fn platform_down() -> Faults {
    Faults { is_down: true, ..Faults::default() }
}

fn plain_services(count: usize) -> FleetOptions {
    FleetOptions { engines: 0, plain_services: count, ..FleetOptions::default() }
}

fn run_count(fleet: &Fleet) -> usize {
    fleet.plain_services.iter().map(|plain| plain.recorded_calls().len()).sum()
}

/// Writes a fleet file with another limit of the team of guests; applying it makes a new version.
fn write_changed_file(fleet: &Fleet, max_concurrent: u32) {
    let changed = format!("\"max_concurrent\": {max_concurrent} }}\n  ]");
    let text = fleet.fleet_file().replace("\"max_concurrent\": 100 }\n  ]", &changed);
    assert!(text.contains(&changed));
    fleet.write_file("fleet.jsonc", &text);
}

/// Writes a fleet file without the team of the guests.
fn write_file_without_guests(fleet: &Fleet) {
    let text = fleet.fleet_file();
    let start = text.find(",\n    { \"id\": \"guests\"").expect("a section of the guests");
    let end = text.rfind("\n  ]\n}").expect("the end of the list of teams");
    fleet.write_file("fleet.jsonc", &format!("{}{}", &text[..start], &text[end..]));
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotent_routes_are_served_during_an_outage() {
    let fleet =
        Fleet::start(FleetOptions { engines: 1, plain_services: 1, ..FleetOptions::default() })
            .await;

    fleet.platform.log.set_faults(platform_down());
    eventually("the entry has detected the outage", async || {
        fleet.entry_status(0).await.is_some_and(|status| !status.platform_up)
    })
    .await;

    for number in 0..10 {
        let caller = fleet.caller(number % 2);
        let lookup = caller.call(Method::GET, "/bookings/1", &[], "").await.unwrap();
        let whole =
            caller.call(Method::POST, CHAT_PATH, &[], chat_request("x", 2, false)).await.unwrap();
        assert_eq!((lookup.status.as_u16(), whole.status.as_u16()), (200, 200));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn new_orders_are_refused_during_an_outage_and_run_afterwards() {
    let fleet = Fleet::start(plain_services(2)).await;
    fleet.platform.log.set_faults(platform_down());

    let refused = fleet.caller(0).call(Method::POST, ORDERS_PATH, &KEY_HEADER, "{}").await.unwrap();

    assert_eq!(refused.status, 503);
    assert_eq!(refused.json()["reason"], "platform-out");
    assert!(!refused.header("retry-after").is_empty());
    assert_eq!(run_count(&fleet), 0);
    fleet.platform.log.set_faults(Faults::default());
    let accepted =
        fleet.caller(1).call(Method::POST, ORDERS_PATH, &KEY_HEADER, "{}").await.unwrap();
    assert_eq!(accepted.status, 200);
    assert_eq!(run_count(&fleet), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_order_is_answered_from_its_run_during_an_outage() {
    let fleet = Fleet::start(plain_services(2)).await;
    let first = fleet.caller(0).call(Method::POST, ORDERS_PATH, &KEY_HEADER, "{}").await.unwrap();
    // The other entry has read the claim once it has answered from the run.
    let second = fleet.caller(1).call(Method::POST, ORDERS_PATH, &KEY_HEADER, "{}").await.unwrap();

    fleet.platform.log.set_faults(platform_down());
    let third = fleet.caller(1).call(Method::POST, ORDERS_PATH, &KEY_HEADER, "{}").await.unwrap();

    assert_eq!((&first.body, &first.body), (&second.body, &third.body));
    assert_eq!(run_count(&fleet), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_whose_append_response_is_lost_runs_once() {
    let fleet = Fleet::start(plain_services(2)).await;
    // Audit records are appended, too, so more than one response must be lost.
    fleet.platform.log.set_faults(Faults { responses_to_lose: 50, ..Faults::default() });

    let answer = fleet.caller(0).call(Method::POST, ORDERS_PATH, &KEY_HEADER, "{}").await.unwrap();

    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(run_count(&fleet), 1);
    let claims = fleet.platform.log.read("claims", 0, 10).records.len();
    assert_eq!(claims, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_entry_gets_the_latest_version_from_its_peers_during_an_outage() {
    let mut fleet = Fleet::start(plain_services(1)).await;
    write_changed_file(&fleet, 41);
    let applied = fleet.run_command(&["config", "apply", "fleet.jsonc"]);
    assert_eq!(applied.status.code(), Some(0), "{}", String::from_utf8_lossy(&applied.stderr));

    fleet.platform.log.set_faults(platform_down());
    fleet.entries[0] = None;
    fleet.entries[0] = Some(fleet.spawn_entry(0));
    fleet.wait_until_ready(async || fleet.entry_status(0).await).await;

    let status = fleet.entry_status(0).await.unwrap();
    assert_eq!(status.config_version, Some(1));
    assert!(!status.platform_up);
    fleet.wait_until_entry_serves(0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_entry_without_log_and_peers_refuses_requests() {
    let mut fleet =
        Fleet::start_without_config(FleetOptions { entries: 1, ..plain_services(0) }).await;
    fleet.platform.log.set_faults(platform_down());
    let entry = fleet.spawn_entry(0);
    fleet.entries.push(Some(entry));

    eventually("the entry answers", async || {
        let answer = fleet.caller(0).call(Method::GET, "/bookings/1", &[], "").await;
        answer.is_ok_and(|a| {
            (a.status.as_u16(), a.outcome()) == (503, "not-run")
                && a.json()["reason"] == "not-ready"
        })
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_frozen_during_a_change_serves_no_request_with_the_old_version() {
    let fleet = Fleet::start(plain_services(1)).await;
    let other_team = Caller::new(fleet.callers_address(0), token_of(OTHER_TEAM));
    assert_eq!(other_team.call(Method::GET, "/bookings/1", &[], "").await.unwrap().status, 200);
    let entry = fleet.entries[0].as_ref().unwrap();

    entry.signal(Signal::SIGSTOP);
    write_file_without_guests(&fleet);
    let applied = fleet.run_command(&["config", "apply", "fleet.jsonc", "--timeout-ms", "0"]);
    assert!(String::from_utf8_lossy(&applied.stderr).contains("accepted"));
    eventually("the endpoint has the change in force", async || {
        fleet.endpoint_status(0).await.is_some_and(|s| s.config_version == Some(1))
    })
    .await;
    // The request waits in the socket of the frozen entry. It needs a new connection, as the old
    // one has been idle for longer than the entry's idle timeout.
    let other_team = Caller::new(fleet.callers_address(0), token_of(OTHER_TEAM));
    let waiting =
        tokio::spawn(async move { other_team.call(Method::GET, "/bookings/1", &[], "").await });
    entry.signal(Signal::SIGCONT);

    let answer = waiting.await.unwrap().unwrap();
    assert_eq!(answer.status, 401, "{}", answer.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_that_resumes_after_a_freeze_applies_the_latest_version() {
    let fleet = Fleet::start(plain_services(1)).await;
    let endpoint = fleet.endpoints[0].as_ref().unwrap();

    endpoint.signal(Signal::SIGSTOP);
    for max_concurrent in [41, 42] {
        write_changed_file(&fleet, max_concurrent);
        fleet.run_command(&["config", "apply", "fleet.jsonc", "--timeout-ms", "0"]);
    }
    endpoint.signal(Signal::SIGCONT);

    eventually("the endpoint has the newest version", async || {
        fleet.endpoint_status(0).await.is_some_and(|s| s.config_version == Some(2))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_entry_starts_from_a_snapshot_when_the_first_records_are_trimmed() {
    let mut fleet =
        Fleet::start(FleetOptions { log_retention_ms: 1_000, ..plain_services(1) }).await;
    let before = fleet.entry_status(0).await.unwrap();

    let snapshot_offset = async || {
        let records = fleet.platform.log.read("config", 0, 100).records;
        records.iter().rev().find_map(|record| record.data["snapshot"]["as_of"].as_u64())
    };
    eventually("a snapshot was appended", async || snapshot_offset().await.is_some()).await;
    // The records that the snapshot covers are trimmed, as retention does, and no peer is left.
    fleet.platform.log.trim("config", snapshot_offset().await.unwrap());
    fleet.entries = vec![None, None];
    fleet.endpoints = vec![None];
    fleet.entries[0] = Some(fleet.spawn_entry(0));
    fleet.endpoints[0] = Some(fleet.spawn_endpoint(0));
    fleet.wait_until_ready(async || fleet.entry_status(0).await).await;

    let after = fleet.entry_status(0).await.unwrap();
    assert_eq!(after.config_version, before.config_version);
    assert_eq!(after.change_id, before.change_id);
    fleet.wait_until_entry_serves(0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outage_is_recorded_in_the_audit_log() {
    let fleet = Fleet::start(plain_services(1)).await;

    fleet.platform.log.set_faults(platform_down());
    eventually("the entry has detected the outage", async || {
        fleet.entry_status(0).await.is_some_and(|status| !status.platform_up)
    })
    .await;
    fleet.platform.log.set_faults(Faults::default());

    for event in ["platform-out", "platform-back"] {
        eventually("the audit log has the event", async || {
            let audit = fleet.run_command(&["audit", "--event", event, "--process", "entry-0"]);
            String::from_utf8_lossy(&audit.stdout).contains(event)
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_with_keys_are_refused_concurrently_while_the_log_is_unresponsive() {
    let fleet = Fleet::start(plain_services(1)).await;
    fleet.platform.log.set_faults(platform_unresponsive());

    let other_team = Caller::new(fleet.callers_address(0), token_of(OTHER_TEAM));
    let refused = (0..REFUSED_REQUESTS).map(|number| {
        let (other_team, key) = (other_team.clone(), format!("o-{number}"));
        async move {
            other_team.call(Method::POST, ORDERS_PATH, &[("idempotency-key", &key)], "{}").await
        }
    });
    let answers = tokio::time::timeout(REFUSAL_TIMEOUT, futures::future::join_all(refused)).await;

    for answer in answers.expect("all are answered within the time limit") {
        let answer = answer.unwrap();
        assert_ne!(answer.outcome(), "complete", "{}", answer.body);
    }
}

/// Guards against orders that are refused because their entry waits for the response to a lost poll,
/// although the log accepts their claims and answers other reads.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_runs_although_the_log_has_lost_the_response_to_a_poll() {
    let fleet = Fleet::start(plain_services(1)).await;
    fleet.platform.log.set_faults(Faults { is_silent: true, ..Faults::default() });
    let are_polls_lost =
        async || fleet.platform.log.lost_read_count(CLAIMS_STREAM) >= fleet.entries.len() as u64;
    eventually("the responses to the polls of all entries are lost", are_polls_lost).await;
    fleet.platform.log.set_faults(Faults::default());

    let answer = fleet.caller(0).call(Method::POST, ORDERS_PATH, &KEY_HEADER, "{}").await.unwrap();

    assert_eq!((answer.status.as_u16(), run_count(&fleet)), (200, 1), "{}", answer.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_claim_is_not_confirmed_is_refused_at_its_deadline() {
    let fleet =
        Fleet::start(FleetOptions { plain_service_timeout_ms: 500, ..plain_services(1) }).await;
    fleet.platform.log.set_faults(platform_unresponsive());

    let answer = fleet.caller(0).call(Method::POST, ORDERS_PATH, &KEY_HEADER, "{}").await.unwrap();

    assert_eq!((&answer.json()["reason"], run_count(&fleet)), (&"timed-out".into(), 0));
}

/// Starts a peer that accepts connections and never responds. Returns the count of open ones.
async fn unresponsive_peer(address: SocketAddr) -> Arc<AtomicUsize> {
    let listener = TcpListener::bind(address).await.expect("bind the address");
    let open = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&open);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let open = Arc::clone(&counted);
            tokio::spawn(async move {
                open.fetch_add(1, Ordering::Relaxed);
                while stream.read(&mut [0; 512]).await.is_ok_and(|read| read > 0) {}
                open.fetch_sub(1, Ordering::Relaxed);
            });
        }
    });
    open
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unresponsive_peer_does_not_delay_the_others() {
    let mut fleet =
        Fleet::start_without_config(FleetOptions { entries: 1, ..plain_services(0) }).await;
    fleet.platform.log.set_faults(platform_down());
    let mut peers = Vec::new();
    for address in fleet.peers_of_entry(0) {
        peers.push(unresponsive_peer(address).await);
    }

    let entry = fleet.spawn_entry(0);
    fleet.entries.push(Some(entry));

    eventually("all peers are queried concurrently", async || {
        peers.len() > 1 && peers.iter().all(|open| open.load(Ordering::Relaxed) > 0)
    })
    .await;
}
