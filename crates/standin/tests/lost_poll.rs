//! Long polls of the platform's log whose responses are lost.

use std::time::Duration;

use lynxmount_platform::PlatformClient;
use lynxmount_standin::{Faults, PlatformLog, PlatformServer};

const STREAM: &str = "config";

/// Guards against readers of the log that learn of nothing until a lost poll times out.
#[tokio::test]
async fn lost_poll_is_replaced_before_its_timeout() {
    let server = PlatformServer::start(([127, 93, 0, 1], 0).into(), PlatformLog::default())
        .expect("platform starts");
    let client = PlatformClient::new(server.address());
    server.log.set_faults(Faults { is_silent: true, ..Faults::default() });
    let polling = tokio::spawn(async move {
        client.read::<serde_json::Value>(STREAM, 0, Duration::from_millis(100)).await
    });
    while server.log.lost_read_count(STREAM) == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }

    server.log.set_faults(Faults::default());
    server.log.append(STREAM, serde_json::json!({"version": 1}));

    let page = polling.await.expect("task completes").expect("the poll does not time out");
    assert_eq!(page.records.len(), 1);
}
