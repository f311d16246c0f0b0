//! A store that comes back from an older copy: its latest records are lost, and their offsets are
//! given out again.

mod platform_common;

use http::Method;
use lynxmount_platform_standin::{
    Behaviour, StoreCopy, StoreMode, StoreStandin,
    fixture::{
        CONFIG_KEY, CRASH_REPORTS_TOPIC, IDEMPOTENT, OPERATOR_TOPIC, PEERS_TOPIC,
        REGISTRATIONS_TOPIC,
    },
};
use platform_common::{
    Fleet, KEY, Process, call, config, entry_ip, entry_settings, registration, wait_for,
};

/// What operators write again after the store's return.
#[derive(Clone, Copy, Debug)]
enum Rewrite {
    /// Nothing before the next version.
    Nothing,
    /// The newest configuration, after records of other keys.
    NewestAfterOthers(u64),
    /// All lost configurations.
    All,
}

fn put_config(store: &StoreStandin, version: u64) {
    store.put(OPERATOR_TOPIC, CONFIG_KEY, &config(version, &[KEY]));
}

async fn wait_for_version(fleet: &Fleet, version: u64) {
    let version = version.to_string();
    wait_for(&format!("version {version}"), async || {
        let applied = fleet.entry.logged("configuration applied");
        applied.iter().any(|record| record["attributes"]["version"] == *version)
    })
    .await;
}

/// Waits until the entry has sent this many further reads of configurations.
async fn wait_for_reads(fleet: &Fleet, count: u64) {
    let reads = || fleet.store.request_count_of_topic(OPERATOR_TOPIC);
    let before = reads();
    wait_for("reads of configurations", async || reads() >= before + count).await;
}

/// Writes `lost` versions, restores the store from a copy without them, and writes them again.
/// Returns the latest version.
async fn lose_versions(
    fleet: &Fleet,
    copy: &StoreCopy,
    first: u64,
    lost: u64,
    rewrite: Rewrite,
) -> u64 {
    let newest = first + lost - 1;
    for version in first..=newest {
        put_config(&fleet.store, version);
        wait_for_version(fleet, version).await;
    }
    fleet.store.restore(copy);
    match rewrite {
        Rewrite::Nothing => {}
        Rewrite::NewestAfterOthers(others) => {
            (0..others).for_each(|_| fleet.store.put(OPERATOR_TOPIC, "other", "{}"));
            put_config(&fleet.store, newest);
        }
        Rewrite::All => (first..=newest).for_each(|version| put_config(&fleet.store, version)),
    }
    newest
}

/// Guards against a revoked key that is served on because the offset of the newest configuration is
/// lower than that of an older one.
#[tokio::test]
async fn configuration_is_applied_after_its_offset_was_given_out_again() {
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Answer]).await;
    let rewrites = [
        Rewrite::NewestAfterOthers(0),
        Rewrite::NewestAfterOthers(1),
        Rewrite::All,
        Rewrite::Nothing,
    ];
    let mut newest = 1;
    for rewrite in rewrites {
        for reads_before_the_next in [0, 1] {
            let copy = fleet.store.copy();
            newest = lose_versions(&fleet, &copy, newest + 1, 4, rewrite).await;
            wait_for_reads(&fleet, reads_before_the_next).await;

            newest += 1;
            put_config(&fleet.store, newest);

            wait_for_version(&fleet, newest).await;
        }
    }
}

/// Guards against the same where reads fail while the store is away, and it returns twice.
#[tokio::test]
async fn configuration_is_applied_after_two_outages_that_end_with_a_restored_store() {
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Answer]).await;
    let lost = || fleet.entry.logged("dependency lost").len();
    for (mode, first) in [(StoreMode::Silent, 2), (StoreMode::Busy, 7)] {
        let copy = fleet.store.copy();
        let newest = lose_versions(&fleet, &copy, first, 4, Rewrite::NewestAfterOthers(0)).await;
        let lost_before = lost();
        fleet.store.set_mode(mode);
        wait_for("loss of the store", async || lost() > lost_before).await;
        fleet.store.restore(&copy);
        put_config(&fleet.store, newest);
        fleet.store.set_mode(StoreMode::Up);
        wait_for_reads(&fleet, 1).await;

        put_config(&fleet.store, newest + 1);

        wait_for_version(&fleet, newest + 1).await;
    }
}
/// Guards against reads without a pause, which take the store's capacity from all processes, while
/// the position to read from is not available.
#[tokio::test]
async fn restored_store_is_read_as_often_as_before() {
    const MAX_READS: u64 = 12;
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Answer]).await;
    let copy = fleet.store.copy();
    lose_versions(&fleet, &copy, 2, 4, Rewrite::Nothing).await;
    let reads = || fleet.store.request_count_of("/lynxmount/log-read");
    let config_reads = || fleet.store.request_count_of_topic(OPERATOR_TOPIC);
    wait_for("a read of the restored store", async || config_reads() >= 4).await;
    let (reads_before, config_reads_before) = (reads(), config_reads());

    // Reads of registrations have a period of their own, which measures the time.
    wait_for("reads of registrations", async || {
        let others = (reads() - reads_before).saturating_sub(config_reads() - config_reads_before);
        others >= 4 || config_reads() - config_reads_before > MAX_READS
    })
    .await;

    let config_reads = config_reads() - config_reads_before;
    assert!(config_reads <= MAX_READS, "{config_reads} reads of configurations");
}

/// Guards against a process that serves what its peers know to be outdated, as it has started before
/// the lost configurations were written again.
#[tokio::test]
async fn process_that_starts_with_an_older_copy_learns_the_configuration_from_a_peer() {
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Answer]).await;
    let copy = fleet.store.copy();
    lose_versions(&fleet, &copy, 2, 4, Rewrite::Nothing).await;

    let seeds = [entry_ip(fleet.network, 0)];
    let settings = entry_settings(entry_ip(fleet.network, 1), fleet.store.address(), &seeds);
    let second = Process::start("platform-entry", &settings);

    wait_for("version 5 at the second entry", async || {
        let received = second.logged("configuration received from peer");
        received.iter().any(|record| record["attributes"]["version"] == "5")
    })
    .await;
}

/// Guards against entries that do not know each other, and exceed the rate limits of endpoints.
#[tokio::test]
async fn entry_registers_again_after_its_registration_was_lost() {
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Answer]).await;
    let is_registered = || !fleet.store.latest(PEERS_TOPIC).is_empty();
    wait_for("registration", async || is_registered()).await;

    fleet.store.restore(&fleet.store.copy().without_topic(PEERS_TOPIC));

    wait_for("another registration", async || is_registered()).await;
}

/// Guards against a poison request that crashes endpoints again, as entries that start later do not
/// learn of it.
#[tokio::test]
async fn lost_crash_reports_are_published_again() {
    let poison = format!("/{IDEMPOTENT}/poison/1");
    let otherwise = Box::new(Behaviour::Answer);
    let behaviour = Behaviour::CrashOnRequest { path: "poison".to_owned(), otherwise };
    let fleet = Fleet::start(IDEMPOTENT, &[behaviour]).await;
    let reports = || fleet.store.latest(CRASH_REPORTS_TOPIC).len();
    call(fleet.address(), Method::POST, &poison, KEY).await;
    wait_for("a crash report", async || reports() >= 1).await;

    fleet.store.restore(&fleet.store.copy().without_topic(CRASH_REPORTS_TOPIC));

    wait_for("the same report", async || reports() >= 1).await;
}

/// Guards against endpoints whose connections and measured load are dropped with each heartbeat, or
/// when the store was restored.
#[tokio::test]
async fn endpoint_that_renews_its_registration_keeps_its_connections() {
    let fleet = Fleet::start(IDEMPOTENT, &[Behaviour::Answer]).await;
    let path = format!("/{IDEMPOTENT}/7");
    let reads = || fleet.store.request_count_of_topic(REGISTRATIONS_TOPIC);
    let renewed = registration(&fleet.replicas[0], IDEMPOTENT, "ready");
    for restored in [false, true] {
        call(fleet.address(), Method::POST, &path, KEY).await.expect("response");
        let connections = fleet.replicas[0].connection_count();
        if restored {
            fleet.store.restore(&fleet.store.copy());
        }
        fleet.store.put(REGISTRATIONS_TOPIC, "i-0", &renewed);
        let reads_before = reads();
        wait_for("two reads", async || reads() >= reads_before + 2).await;

        call(fleet.address(), Method::POST, &path, KEY).await.expect("response");

        assert_eq!(fleet.replicas[0].connection_count(), connections, "restored: {restored}");
    }
}
