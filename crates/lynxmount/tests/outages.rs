//! The platform's outages, and configurations that never go back.

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
use lynxmount_standin::{Caller, Faults};
use nix::sys::signal::Signal;
use tokio::{io::AsyncReadExt, net::TcpListener};

const CHAT: &str = "/v1/chat/completions";
const ORDERS: &str = "/bookings/orders";
const KEY: [(&str, &str); 1] = [("idempotency-key", "o-1")];

/// Keyed requests that are refused together.
const REFUSED: usize = 60;

/// Far less than all of them take one after the other.
const REFUSED_WITHIN: Duration = Duration::from_secs(15);

/// A platform that takes calls and answers none while the test lasts.
fn silent() -> Faults {
    Faults { delay: Duration::from_secs(30), ..Faults::default() }
}

fn down() -> Faults {
    Faults { is_down: true, ..Faults::default() }
}

fn plain_services(count: usize) -> FleetOptions {
    FleetOptions { engines: 0, plain_services: count, ..FleetOptions::default() }
}

fn runs(fleet: &Fleet) -> usize {
    fleet.plain_services.iter().map(|plain| plain.recorded_calls().len()).sum()
}

/// Raises the guests' limit, which makes a new version.
fn write_changed_file(fleet: &Fleet, max_concurrent: u32) {
    let changed = format!("\"max_concurrent\": {max_concurrent} }}\n  ]");
    let text = fleet.fleet_file().replace("\"max_concurrent\": 100 }\n  ]", &changed);
    assert!(text.contains(&changed));
    fleet.write_file("fleet.jsonc", &text);
}

/// Takes the guests out of the file.
fn write_file_without_guests(fleet: &Fleet) {
    let text = fleet.fleet_file();
    let start = text.find(",\n    { \"id\": \"guests\"").expect("the guests are there");
    let end = text.rfind("\n  ]\n}").expect("the list ends");
    fleet.write_file("fleet.jsonc", &format!("{}{}", &text[..start], &text[end..]));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_platform_is_none_for_callers_of_idempotent_routes() {
    let fleet =
        Fleet::start(FleetOptions { engines: 1, plain_services: 1, ..FleetOptions::default() })
            .await;

    fleet.platform.log.set_faults(down());
    eventually("the entry has noticed", async || {
        fleet.entry_status(0).await.is_some_and(|status| !status.platform_up)
    })
    .await;

    for number in 0..10 {
        let caller = fleet.caller(number % 2);
        let lookup = caller.call(Method::GET, "/bookings/1", &[], "").await.unwrap();
        let whole =
            caller.call(Method::POST, CHAT, &[], chat_request("x", 2, false)).await.unwrap();
        assert_eq!((lookup.status.as_u16(), whole.status.as_u16()), (200, 200));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn during_an_outage_new_orders_are_not_run_and_afterwards_they_are() {
    let fleet = Fleet::start(plain_services(2)).await;
    fleet.platform.log.set_faults(down());

    let refused = fleet.caller(0).call(Method::POST, ORDERS, &KEY, "{}").await.unwrap();

    assert_eq!(refused.status, 503);
    assert_eq!(refused.json()["reason"], "platform-out");
    assert!(!refused.header("retry-after").is_empty());
    assert_eq!(runs(&fleet), 0);
    fleet.platform.log.set_faults(Faults::default());
    let accepted = fleet.caller(1).call(Method::POST, ORDERS, &KEY, "{}").await.unwrap();
    assert_eq!(accepted.status, 200);
    assert_eq!(runs(&fleet), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn during_an_outage_a_repeated_order_is_answered_from_its_run() {
    let fleet = Fleet::start(plain_services(2)).await;
    let first = fleet.caller(0).call(Method::POST, ORDERS, &KEY, "{}").await.unwrap();
    // The other entry has read the claim when it attaches to the run.
    let second = fleet.caller(1).call(Method::POST, ORDERS, &KEY, "{}").await.unwrap();

    fleet.platform.log.set_faults(down());
    let third = fleet.caller(1).call(Method::POST, ORDERS, &KEY, "{}").await.unwrap();

    assert_eq!((&first.body, &first.body), (&second.body, &third.body));
    assert_eq!(runs(&fleet), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_whose_append_answer_is_lost_still_runs_once() {
    let fleet = Fleet::start(plain_services(2)).await;
    // Audit records are appended too, so the loss has to cover them.
    fleet.platform.log.set_faults(Faults { responses_to_lose: 50, ..Faults::default() });

    let answer = fleet.caller(0).call(Method::POST, ORDERS, &KEY, "{}").await.unwrap();

    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(runs(&fleet), 1);
    let claims = fleet.platform.log.read("claims", 0, 10).records.len();
    assert_eq!(claims, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_fresh_entry_learns_the_newest_version_from_its_peers_during_an_outage() {
    let mut fleet = Fleet::start(plain_services(1)).await;
    write_changed_file(&fleet, 41);
    let applied = fleet.run_command(&["config", "apply", "fleet.jsonc"]);
    assert_eq!(applied.status.code(), Some(0), "{}", String::from_utf8_lossy(&applied.stderr));

    fleet.platform.log.set_faults(down());
    fleet.entries[0] = None;
    fleet.entries[0] = Some(fleet.spawn_entry(0));
    fleet.wait_until_ready(async || fleet.entry_status(0).await).await;

    let status = fleet.entry_status(0).await.unwrap();
    assert_eq!(status.config_version, Some(1));
    assert!(!status.platform_up);
    fleet.wait_until_entry_serves(0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_fresh_entry_without_log_and_peers_takes_no_work() {
    let mut fleet =
        Fleet::start_without_config(FleetOptions { entries: 1, ..plain_services(0) }).await;
    fleet.platform.log.set_faults(down());
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
async fn an_entry_that_was_frozen_over_a_change_serves_nobody_under_the_old_one() {
    let fleet = Fleet::start(plain_services(1)).await;
    let guest = Caller::new(fleet.callers_address(0), token_of(OTHER_TEAM));
    assert_eq!(guest.call(Method::GET, "/bookings/1", &[], "").await.unwrap().status, 200);
    let entry = fleet.entries[0].as_ref().unwrap();

    entry.signal(Signal::SIGSTOP);
    write_file_without_guests(&fleet);
    let applied = fleet.run_command(&["config", "apply", "fleet.jsonc", "--timeout-ms", "0"]);
    assert!(String::from_utf8_lossy(&applied.stderr).contains("accepted"));
    eventually("the endpoint has the change in force", async || {
        fleet.endpoint_status(0).await.is_some_and(|s| s.config_version == Some(1))
    })
    .await;
    // The call waits in the frozen entry's socket. Its connection is a new one:
    // the old one has been idle for longer than the entry keeps it.
    let guest = Caller::new(fleet.callers_address(0), token_of(OTHER_TEAM));
    let waiting =
        tokio::spawn(async move { guest.call(Method::GET, "/bookings/1", &[], "").await });
    entry.signal(Signal::SIGCONT);

    let answer = waiting.await.unwrap().unwrap();
    assert_eq!(answer.status, 401, "{}", answer.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_process_that_is_woken_goes_to_the_newest_version() {
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
async fn a_fresh_entry_starts_from_a_snapshot_when_the_first_records_are_gone() {
    let mut fleet =
        Fleet::start(FleetOptions { log_retention_ms: 1_000, ..plain_services(1) }).await;
    let before = fleet.entry_status(0).await.unwrap();

    let kept_from = async || {
        let records = fleet.platform.log.read("config", 0, 100).records;
        records.iter().rev().find_map(|record| record.data["snapshot"]["as_of"].as_u64())
    };
    eventually("a snapshot was appended", async || kept_from().await.is_some()).await;
    // What it takes in goes, as it would by its age, and no peer is left.
    fleet.platform.log.trim("config", kept_from().await.unwrap());
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
async fn an_outage_leaves_its_traces_in_the_audit_trail() {
    let fleet = Fleet::start(plain_services(1)).await;

    fleet.platform.log.set_faults(down());
    eventually("the entry has noticed", async || {
        fleet.entry_status(0).await.is_some_and(|status| !status.platform_up)
    })
    .await;
    fleet.platform.log.set_faults(Faults::default());

    for event in ["platform-out", "platform-back"] {
        eventually("the trail tells", async || {
            let audit = fleet.run_command(&["audit", "--event", event, "--process", "entry-0"]);
            String::from_utf8_lossy(&audit.stdout).contains(event)
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_calls_refused_while_the_log_is_silent_do_not_wait_for_each_other() {
    let fleet = Fleet::start(plain_services(1)).await;
    fleet.platform.log.set_faults(silent());

    let guest = Caller::new(fleet.callers_address(0), token_of(OTHER_TEAM));
    let refused = (0..REFUSED).map(|number| {
        let (guest, key) = (guest.clone(), format!("o-{number}"));
        async move { guest.call(Method::POST, ORDERS, &[("idempotency-key", &key)], "{}").await }
    });
    let answers = tokio::time::timeout(REFUSED_WITHIN, futures::future::join_all(refused)).await;

    for answer in answers.expect("all are answered long before one by one") {
        let answer = answer.unwrap();
        assert_ne!(answer.outcome(), "complete", "{}", answer.body);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_claim_the_silent_log_leaves_unanswered_is_told_by_its_deadline() {
    let fleet =
        Fleet::start(FleetOptions { plain_service_timeout_ms: 500, ..plain_services(1) }).await;
    fleet.platform.log.set_faults(silent());

    let answer = fleet.caller(0).call(Method::POST, ORDERS, &KEY, "{}").await.unwrap();

    assert_eq!((&answer.json()["reason"], runs(&fleet)), (&"timed-out".into(), 0));
}

/// A peer that takes connections and answers nothing; tells how many are open.
async fn silent_peer(address: SocketAddr) -> Arc<AtomicUsize> {
    let listener = TcpListener::bind(address).await.expect("an address");
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
async fn a_silent_peer_does_not_hold_up_what_another_would_tell() {
    let mut fleet =
        Fleet::start_without_config(FleetOptions { entries: 1, ..plain_services(0) }).await;
    fleet.platform.log.set_faults(down());
    let mut peers = Vec::new();
    for address in fleet.peers_of_entry(0) {
        peers.push(silent_peer(address).await);
    }

    let entry = fleet.spawn_entry(0);
    fleet.entries.push(Some(entry));

    eventually("all peers are asked at once", async || {
        peers.len() > 1 && peers.iter().all(|open| open.load(Ordering::Relaxed) > 0)
    })
    .await;
}
