//! Entries on the users' platform beside records that another writer has left in the store.

mod crowd;
mod platform_common;

use std::{net::SocketAddr, time::Duration};

use crowd::Held;
use http::{Method, StatusCode};
use lynxmount_platform_standin::{
    Behaviour,
    fixture::{
        CONFIG_KEY, CRASH_REPORTS_TOPIC, IDEMPOTENT, OPERATOR_TOPIC, PEERS_TOPIC,
        REGISTRATIONS_TOPIC,
    },
};
use platform_common::{
    CALLERS_PORT, Fleet, KEY, Process, REPLICA_PORT, call, config, entry_ip, entry_settings, ip,
    registration, wait_for,
};

const REPLICAS: [Behaviour; 3] = [Behaviour::Answer, Behaviour::Answer, Behaviour::Answer];

/// The memory of an entry.
const MEMORY_BYTES: u64 = 128_000_000;

/// The size of a value that ends its page of a list.
const PAGE_BYTES: usize = 1_000_000;

/// An unreadable value with this many bytes.
fn odd_value(bytes: usize) -> String {
    "[".repeat(bytes)
}

async fn lookup(entry: SocketAddr) -> Option<StatusCode> {
    let answer = call(entry, Method::GET, &format!("/{IDEMPOTENT}/7"), KEY).await;
    answer.map(|answer| answer.status)
}

/// A second entry, which reads all lists from their beginning.
fn start_second_entry(fleet: &Fleet) -> (Process, SocketAddr) {
    let address = entry_ip(fleet.network, 1);
    let settings = entry_settings(address, fleet.store.address(), &[]);
    (Process::start("platform-entry", &settings), (address, CALLERS_PORT).into())
}

async fn wait_until_answered(entry: SocketAddr) {
    wait_for("an answer", async || lookup(entry).await == Some(StatusCode::OK)).await;
}

/// Guards against entries that follow nothing any more, or run out of memory, as a key or a value of
/// another writer is odd.
#[tokio::test]
async fn lookups_are_answered_beside_odd_records_in_all_lists() {
    let fleet = Fleet::start(IDEMPOTENT, &REPLICAS).await;
    for topic in [REGISTRATIONS_TOPIC, PEERS_TOPIC, CRASH_REPORTS_TOPIC, OPERATOR_TOPIC] {
        fleet.store.put(topic, "", &odd_value(PAGE_BYTES));
        for key in ["a b", "zz\u{e9}#", "#"] {
            fleet.store.put(topic, key, &odd_value(PAGE_BYTES));
        }
    }

    let (process, entry) = start_second_entry(&fleet);
    wait_until_answered(entry).await;
    // What is written behind the odd records is read, too.
    fleet.store.put(OPERATOR_TOPIC, CONFIG_KEY, &config(2, &["another key"]));
    wait_for("the second configuration", async || {
        lookup(entry).await == Some(StatusCode::UNAUTHORIZED)
    })
    .await;

    let unreadable = process.logged("unreadable record");
    for topic in [REGISTRATIONS_TOPIC, PEERS_TOPIC, CRASH_REPORTS_TOPIC] {
        let is_logged = unreadable.iter().any(|line| {
            let attributes = &line["attributes"];
            attributes["topic"] == topic && attributes["key"] == "a b" && attributes["offset"] != ""
        });
        assert!(is_logged, "{topic}: {unreadable:?}");
    }
    let held = Held::by(process.child.id());
    assert!(held.peak_bytes <= MEMORY_BYTES, "{} bytes of memory", held.peak_bytes);
}

/// Guards against a reader that holds all pages of a list until it has read the last.
#[tokio::test]
async fn memory_is_bounded_beside_many_large_records() {
    let fleet = Fleet::start(IDEMPOTENT, &REPLICAS).await;
    const RECORDS: usize = 100;
    const LITTLE_MEMORY_BYTES: u64 = 48_000_000;
    for number in 0..RECORDS {
        fleet.store.put(REGISTRATIONS_TOPIC, &format!("odd-{number}"), &odd_value(900_000));
    }

    let (process, entry) = start_second_entry(&fleet);
    wait_until_answered(entry).await;
    wait_for("the whole list", async || {
        process.logged_with_prefix("unreadable re").len() >= RECORDS
    })
    .await;

    let held = Held::by(process.child.id());
    assert!(held.peak_bytes <= LITTLE_MEMORY_BYTES, "{} bytes of memory", held.peak_bytes);
}

#[tokio::test]
async fn a_configuration_is_followed_behind_an_unreadable_one() {
    let fleet = Fleet::start(IDEMPOTENT, &REPLICAS).await;
    wait_until_answered(fleet.address()).await;

    fleet.store.put(OPERATOR_TOPIC, CONFIG_KEY, r#"{"Version":2,"Routes":[{"TimeoutMs":1e999}]}"#);
    wait_for("the unreadable configuration", async || {
        let lines = fleet.entry.logged("unreadable record");
        lines.iter().any(|line| line["attributes"]["key"] == CONFIG_KEY)
    })
    .await;
    let served = lookup(fleet.address()).await;
    fleet.store.put(OPERATOR_TOPIC, CONFIG_KEY, &config(3, &["another key"]));

    assert_eq!(served, Some(StatusCode::OK));
    wait_for("the third configuration", async || {
        lookup(fleet.address()).await == Some(StatusCode::UNAUTHORIZED)
    })
    .await;
    assert_eq!(fleet.entry.logged("dependency lost").len(), 0);
}

/// Guards against a registration of another writer that takes the address of a live replica.
#[tokio::test]
async fn lookups_are_answered_beside_odd_registrations_at_the_addresses_of_all_replicas() {
    let fleet = Fleet::start(IDEMPOTENT, &REPLICAS).await;
    wait_until_answered(fleet.address()).await;

    let reads = fleet.store.request_count_of_topic(REGISTRATIONS_TOPIC);
    for (index, replica) in fleet.replicas.iter().enumerate() {
        let odd = registration(replica, IDEMPOTENT, "ready");
        let odd = odd.replacen('{', r#"{"born":18446744073709551615,"#, 1 - index % 2);
        fleet.store.put(REGISTRATIONS_TOPIC, &format!("odd-{index}"), &odd);
    }
    wait_for("reads of the odd registrations", async || {
        fleet.store.request_count_of_topic(REGISTRATIONS_TOPIC) >= reads + 2
    })
    .await;

    // Replicas renew nothing here, so that only their answers tell them from the odd ones.
    wait_until_answered(fleet.address()).await;
    for _ in 0..10 {
        assert_eq!(lookup(fleet.address()).await, Some(StatusCode::OK));
    }
}

/// Guards against capacities that overflow, and against calls that wait for an address where nothing
/// can listen.
#[tokio::test]
async fn lookups_are_answered_beside_registrations_with_numbers_out_of_range() {
    let fleet = Fleet::start(IDEMPOTENT, &REPLICAS).await;
    let sound = registration(&fleet.replicas[0], IDEMPOTENT, "ready");
    let own = fleet.replicas[0].address.to_string();
    let odd = [
        sound.replace("\"Slots\":8", "\"Slots\":4294967295"),
        sound.replace(&format!(":{REPLICA_PORT}"), ":0"),
        sound.replace(&own, "0.0.0.0:8110"),
        sound.replace(&own, "255.255.255.255:8110"),
        sound.replace(&own, &format!("{}:70000", ip(fleet.network, 100))),
    ];
    // The first one is another description of a live replica.
    fleet.store.put(REGISTRATIONS_TOPIC, "i-0", &odd[0]);
    for (index, odd) in odd.iter().enumerate().skip(1) {
        fleet.store.put(REGISTRATIONS_TOPIC, &format!("odd-{index}"), odd);
    }
    wait_for("the odd registrations", async || {
        fleet.entry.logged("unreadable record").len() >= odd.len() - 1
    })
    .await;

    for _ in 0..30 {
        assert_eq!(lookup(fleet.address()).await, Some(StatusCode::OK));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
