//! Reads of the platform's store whose responses are lost while others are answered.

mod platform_common;

use lynxmount_platform_standin::{
    Behaviour, StoreMode, TopicSilence,
    fixture::{CONFIG_KEY, CRASH_REPORTS_TOPIC, IDEMPOTENT, OPERATOR_TOPIC, PEERS_TOPIC},
};
use platform_common::{Fleet, KEY, Process, config, entry_ip, entry_settings, wait_for};

/// Guards against a configuration that comes into force late because the entry still waits for the
/// answer to a poll that the store received during its outage.
#[tokio::test]
async fn configuration_is_read_as_soon_as_the_store_answers_again() {
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Answer]).await;
    let applied = || fleet.entry.logged("configuration applied").len();
    let lost = |what: &str| {
        let records = fleet.entry.logged("dependency lost");
        records.iter().any(|record| record["attributes"]["what"] == what)
    };
    // The pending poll returns this configuration, and the next one arrives during the outage.
    fleet.store.set_mode(StoreMode::Silent);
    fleet.store.put(OPERATOR_TOPIC, CONFIG_KEY, &config(2, &[KEY]));
    wait_for("the second configuration", async || applied() >= 2).await;
    wait_for("loss of the store", async || lost("endpoints")).await;

    fleet.store.put(OPERATOR_TOPIC, CONFIG_KEY, &config(3, &[KEY]));
    fleet.store.set_mode(StoreMode::Up);

    wait_for("the third configuration", async || applied() >= 3).await;
    assert!(!lost("configuration"), "the entry waited for the pending poll");
}

/// Guards against a configuration that comes into force late because the entry waits for the
/// response to a lost poll while its other reads are answered.
#[tokio::test]
async fn configuration_is_read_again_before_a_lost_poll_times_out() {
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Answer]).await;
    let has_lost = |what: &str| {
        let records = fleet.entry.logged("dependency lost");
        records.iter().any(|record| record["attributes"]["what"] == what)
    };

    fleet.store.set_silence(OPERATOR_TOPIC, Some(TopicSilence::All));
    fleet.store.put(OPERATOR_TOPIC, CONFIG_KEY, &config(2, &[KEY]));
    wait_for("a lost poll", async || fleet.store.lost_response_count() >= 1).await;
    fleet.store.set_silence(OPERATOR_TOPIC, None);

    let applied = || fleet.entry.logged("configuration applied").len();
    wait_for("the second configuration", async || applied() >= 2).await;
    assert!(!has_lost("configuration"), "the entry waited for the lost poll");
    assert!(!has_lost("endpoints"), "the store was silent for registrations, too");
}

/// Guards against poison requests that go on crashing endpoints after an outage, because an entry
/// waits for the response to a lost poll of crash reports while its other reads are answered.
#[tokio::test]
async fn crash_reports_are_read_soon_after_an_outage_of_several_topics() {
    const MAX_CONFIG_READS: u64 = 3;
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Answer]).await;
    let reads = |topic: &str| fleet.store.request_count_of_topic(topic);
    wait_for("a poll of reports", async || reads(CRASH_REPORTS_TOPIC) >= 2).await;
    for topic in [OPERATOR_TOPIC, CRASH_REPORTS_TOPIC] {
        fleet.store.set_silence(topic, Some(TopicSilence::All));
    }
    fleet.store.put(OPERATOR_TOPIC, CONFIG_KEY, &config(2, &[KEY]));
    fleet.store.put(CRASH_REPORTS_TOPIC, "expired", "");
    wait_for("two lost polls", async || fleet.store.lost_response_count() >= 2).await;
    let (config_reads, report_reads) = (reads(OPERATOR_TOPIC), reads(CRASH_REPORTS_TOPIC));

    for topic in [OPERATOR_TOPIC, CRASH_REPORTS_TOPIC] {
        fleet.store.set_silence(topic, None);
    }
    wait_for("a read of reports", async || reads(CRASH_REPORTS_TOPIC) > report_reads).await;

    let config_reads = reads(OPERATOR_TOPIC) - config_reads;
    assert!(config_reads <= MAX_CONFIG_READS, "{config_reads} reads of the configuration before");
}

/// Guards against an entry that others do not know, and with which they do not share endpoints' rate
/// limits, for a whole period after its registration has failed.
#[tokio::test]
async fn failed_registration_is_retried_within_a_few_other_reads() {
    const MAX_OTHER_READS: u64 = 8;
    let fleet = Fleet::start_unready(IDEMPOTENT, &[Behaviour::Answer]).await;
    fleet.store.set_silence(PEERS_TOPIC, Some(TopicSilence::All));
    let own_ip = entry_ip(fleet.network, 1);
    let entry =
        Process::start("platform-entry", &entry_settings(own_ip, fleet.store.address(), &[]));
    let failures = || entry.logged("peer registration failed").len();
    wait_for("a failed registration", async || failures() >= 1).await;
    let appends = fleet.store.request_count_of("/lynxmount/log-append");
    let reads = fleet.store.request_count_of("/lynxmount/log-read");

    fleet.store.set_silence(PEERS_TOPIC, None);
    let is_retried = async || fleet.store.request_count_of("/lynxmount/log-append") > appends;
    wait_for("another registration", is_retried).await;

    let other_reads = fleet.store.request_count_of("/lynxmount/log-read") - reads;
    assert!(other_reads <= 2 * MAX_OTHER_READS, "{other_reads} reads by two entries meanwhile");
}
