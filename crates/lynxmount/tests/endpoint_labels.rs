//! Changes of the configuration that concern an endpoint, but not the connection to it.

mod common;

use common::{Fleet, FleetOptions, eventually};
use http::Method;
use nix::sys::signal::Signal;

/// The number of an entry's audit records of an event that contain a text.
fn audited(fleet: &Fleet, event: &str, text: &str) -> usize {
    let audit = fleet.run_command(&["audit", "--event", event, "--process", "entry-0"]);
    String::from_utf8_lossy(&audit.stdout).lines().filter(|line| line.contains(text)).count()
}

/// Guards against calls that are refused because the connection to each endpoint is given up, with a
/// new label of the endpoint, before the next one is open.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_stays_connected_when_its_failure_domain_is_changed() {
    let options =
        FleetOptions { entries: 1, engines: 0, plain_services: 1, ..FleetOptions::default() };
    let mut fleet = Fleet::start(options).await;
    let version = fleet.entry_status(0).await.unwrap().config_version;
    let endpoint = r#""service": "bookings", "failure_domain": "#;
    let relabelled = fleet
        .fleet_file()
        .replace(&format!("{endpoint}\"north\""), &format!("{endpoint}\"south\""));
    fleet.write_file("fleet.jsonc", &relabelled);

    fleet.apply_config();
    eventually("the change is in force", async || {
        fleet.entry_status(0).await.is_some_and(|status| status.config_version > version)
    })
    .await;
    let answer = fleet.caller(0).call(Method::GET, "/bookings/1", &[], "").await.unwrap();
    fleet.endpoints[0].as_ref().unwrap().signal(Signal::SIGTERM);
    assert_eq!(fleet.endpoints[0].as_mut().unwrap().exit_code().await, Some(0));
    eventually("the entry has disconnected", async || {
        audited(&fleet, "endpoint-down", "the endpoint has drained") == 1
    })
    .await;

    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(audited(&fleet, "endpoint-up", "bookings-0"), 1);
}
