//! Outages of the store in which registrations expire. Endpoints register again after its return;
//! entries have to by themselves.

use std::time::Duration;

use lynxmount_platform_standin::{
    StoreMode,
    fixture::{PEERS_TOPIC, REGISTRATIONS_TOPIC},
};

use crate::{fleet::Fleet, history::Disturbed, plan::ExpiryFault};

pub(crate) async fn expire_registrations(fleet: &Fleet, fault: ExpiryFault, away_for: Duration) {
    let _records = fleet.store_records.lock().await;
    let disturbance = fleet.start_disturbance(Disturbed::Store);
    fleet.store.set_mode(if fault.is_busy { StoreMode::Busy } else { StoreMode::Silent });
    tokio::time::sleep(away_for).await;
    let expired = fleet.store.latest(REGISTRATIONS_TOPIC);
    fleet.store.expire(REGISTRATIONS_TOPIC);
    fleet.store.expire(PEERS_TOPIC);
    fleet.store.set_mode(StoreMode::Up);
    tokio::time::sleep(Duration::from_millis(fault.register_delay_ms)).await;
    let registered = fleet.store.latest(REGISTRATIONS_TOPIC);
    let is_registered = |key: &str| registered.iter().any(|(registered, _)| registered == key);
    for (key, value) in expired.iter().filter(|(key, _)| !is_registered(key)) {
        fleet.store.put(REGISTRATIONS_TOPIC, key, value);
    }
    fleet.end_disturbance(disturbance);
}
