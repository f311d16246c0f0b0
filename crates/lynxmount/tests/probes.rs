//! The operators' port of a process: liveness, readiness and counters.

mod common;

use common::{Fleet, FleetOptions, eventually};
use http::Method;
use lynxmount_standin::{Caller, Faults};
use tokio::net::UdpSocket;

fn fleet_options() -> FleetOptions {
    FleetOptions { entries: 1, engines: 0, plain_services: 1, ..FleetOptions::default() }
}

async fn get_status(operators: &Caller, path: &str) -> Option<u16> {
    operators.call(Method::GET, path, &[], "").await.ok().map(|answer| answer.status.as_u16())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_is_live_before_it_is_ready() {
    let mut fleet = Fleet::start_without_config(fleet_options()).await;
    fleet.platform.log.set_faults(Faults { is_down: true, ..Faults::default() });
    let entry = fleet.spawn_entry(0);
    fleet.entries.push(Some(entry));
    let operators = Caller::new(fleet.operators_address(0), "");

    eventually("the process is live", async || get_status(&operators, "/live").await == Some(200))
        .await;
    assert_eq!(get_status(&operators, "/ready").await, Some(503));
    fleet.platform.log.set_faults(Faults::default());
    fleet.apply_config();

    eventually("the process is ready", async || {
        get_status(&operators, "/ready").await == Some(200)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn counters_are_served_and_sent_to_statsd() {
    let statsd = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let statsd_address = Some(statsd.local_addr().unwrap());
    let fleet = Fleet::start(FleetOptions { statsd_address, ..fleet_options() }).await;
    let operators = Caller::new(fleet.operators_address(0), "");

    let counters = operators.call(Method::GET, "/counters", &[], "").await.unwrap();

    let counters = counters.json();
    let complete = counters.as_array().unwrap().iter().find(|c| c["name"] == "requests.complete");
    assert!(complete.unwrap()["count"].as_u64() >= Some(1));
    let mut sent = String::new();
    eventually("the counter is sent to statsd", async || {
        let mut packet = vec![0; 2_048];
        let length = statsd.recv(&mut packet).await.unwrap();
        sent.push_str(&String::from_utf8_lossy(&packet[..length]));
        sent.contains("lynxmount.requests.complete:")
    })
    .await;
}
