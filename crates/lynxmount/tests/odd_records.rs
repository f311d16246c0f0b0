//! Processes beside records that another writer has left in the streams of the platform's log.

mod common;

use common::{Fleet, FleetOptions, PLAIN_SERVICE, eventually};
use http::Method;
use serde_json::{Value, json};

/// The streams that entries follow.
const STREAMS: [&str; 3] = ["claims", "config", "suspicions"];

fn nested_arrays(depth: usize) -> Value {
    (0..depth).fold(json!(1), |inner, _| json!([inner]))
}

/// Leaves records that nobody can parse in all streams.
fn leave_odd_records(fleet: &Fleet) {
    for stream in STREAMS.into_iter().chain(["audit"]) {
        for depth in [3, 125, 126, 1000] {
            fleet.platform.log.append(stream, nested_arrays(depth));
        }
    }
}

fn options() -> FleetOptions {
    FleetOptions { engines: 0, ..FleetOptions::default() }
}

fn log_of(fleet: &Fleet, process: &str) -> String {
    let path = fleet.directory.path().join(format!("{process}.log"));
    std::fs::read_to_string(path).expect("the log is readable")
}

async fn status_of_keyed_order(fleet: &Fleet, entry: usize, key: &str) -> Option<u16> {
    let headers = [("idempotency-key", key)];
    let path = format!("/{PLAIN_SERVICE}/orders");
    let answer = fleet.caller(entry).call(Method::POST, &path, &headers, "{}").await;
    answer.ok().map(|answer| answer.status.as_u16())
}

/// Guards against keyed calls that are refused for good behind an unreadable claim.
#[tokio::test(flavor = "multi_thread")]
async fn keyed_calls_are_answered_behind_odd_records() {
    let fleet = Fleet::start(options()).await;
    leave_odd_records(&fleet);

    eventually("a keyed call is answered", async || {
        status_of_keyed_order(&fleet, 0, "a").await == Some(200)
    })
    .await;
    let repeated = status_of_keyed_order(&fleet, 1, "a").await;

    assert_eq!(repeated, Some(200));
    for stream in STREAMS {
        let line = format!("of stream {stream} unreadable");
        eventually("the odd records are logged", async || {
            log_of(&fleet, "entry-0").contains(&line)
        })
        .await;
    }
}

/// Guards against an entry that starts and has no configuration, as its stream has an odd record.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_behind_odd_records_serves() {
    let mut fleet = Fleet::start_without_config(options()).await;
    leave_odd_records(&fleet);

    fleet.start_serving().await;
    fleet.entries[0] = None;
    fleet.entries[0] = Some(fleet.spawn_entry(0));

    fleet.wait_until_entry_serves(0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_file_is_applied_behind_odd_records() {
    let fleet = Fleet::start(options()).await;
    leave_odd_records(&fleet);
    let changed = fleet.fleet_file().replace("\"max_queue_ms\": 2000", "\"max_queue_ms\": 1999");
    fleet.write_file("fleet.jsonc", &changed);

    let applied = fleet.run_command(&["config", "apply", "fleet.jsonc"]);
    let audit = fleet.run_command(&["audit", "--event", "change"]);

    assert!(applied.status.success(), "{}", String::from_utf8_lossy(&applied.stderr));
    let trail = String::from_utf8_lossy(&audit.stdout);
    assert!(audit.status.success() && trail.lines().count() >= 3, "{trail}");
}
