//! Returns of the store from a copy: what was written since is lost, and operators and endpoints
//! write it again.

use std::time::Duration;

use lynxmount_platform_standin::{
    StoreCopy, StoreMode,
    fixture::{OPERATOR_TOPIC, REGISTRATIONS_TOPIC},
};

use crate::{
    fleet::Fleet,
    history::Disturbed,
    plan::{RestoreFault, Rewrite},
};

/// Copies the store, lets it go away later for a time, restores it, and writes lost records again.
pub(crate) async fn restore_store(fleet: &Fleet, fault: RestoreFault, away_for: Duration) {
    let _records = fleet.store_records.lock().await;
    let copy = fleet.store.copy();
    tokio::time::sleep(Duration::from_millis(fault.copy_age_ms)).await;
    let disturbance = fleet.start_disturbance(Disturbed::Store);
    if !away_for.is_zero() {
        let mode = if fault.is_busy { StoreMode::Busy } else { StoreMode::Silent };
        fleet.store.set_mode(mode);
        tokio::time::sleep(away_for).await;
    }
    let registrations = lost_records(fleet, &copy, REGISTRATIONS_TOPIC, fault.rewrite);
    let configs = lost_records(fleet, &copy, OPERATOR_TOPIC, fault.rewrite);
    fleet.store.restore(&copy);
    fleet.store.set_mode(StoreMode::Up);
    tokio::time::sleep(Duration::from_millis(fault.rewrite_delay_ms)).await;
    write_again(fleet, &copy, REGISTRATIONS_TOPIC, &registrations);
    write_again(fleet, &copy, OPERATOR_TOPIC, &configs);
    fleet.rewrite_newest_config();
    fleet.end_disturbance(disturbance);
}

fn lost_records(
    fleet: &Fleet,
    copy: &StoreCopy,
    topic: &str,
    rewrite: Rewrite,
) -> Vec<(String, String)> {
    let newest = || fleet.store.latest_since(topic, copy);
    match rewrite {
        Rewrite::All => fleet.store.records_since(topic, copy),
        Rewrite::Newest => newest(),
        Rewrite::NewestAfterOthers(count) => {
            let other = |index| (format!("other-{index}"), String::new());
            (0..count).map(other).chain(newest()).collect()
        }
    }
}

/// Writes records again, unless their keys have newer ones that were written since the return.
fn write_again(fleet: &Fleet, copy: &StoreCopy, topic: &str, lost: &[(String, String)]) {
    let newer = fleet.store.latest_since(topic, copy);
    let is_newer = |key: &str| newer.iter().any(|(newer, _)| newer == key);
    for (key, value) in lost.iter().filter(|(key, _)| !is_newer(key)) {
        fleet.store.put(topic, key, value);
    }
}
