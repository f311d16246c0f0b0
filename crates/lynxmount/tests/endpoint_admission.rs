//! Checks that an endpoint process makes by itself on the frames of an entry.

mod common;

use std::time::{Duration, SystemTime};

use bytes::Bytes;
use common::{Fleet, FleetOptions, PLAIN_SERVICE};
use lynxmount_core::{Incarnation, RequestId, wall_time_ms};
use lynxmount_node::Readiness;
use lynxmount_wire::{
    AttemptId, Binding, Dispatch, ExecutionFailure, FrameReader, FrameWriter, PROTOCOL_VERSION,
    RefusalReason, ToEndpoint, ToEntry,
};
use nix::sys::signal::Signal;
use tokio::net::{
    TcpStream,
    tcp::{OwnedReadHalf, OwnedWriteHalf},
};

const DATA_PORT: u16 = 7400;

/// A connection to an endpoint process that sends arbitrary frames, in place of an entry's.
struct FakeEntry {
    incarnation: Incarnation,
    reader: FrameReader<OwnedReadHalf, ToEntry>,
    writer: FrameWriter<OwnedWriteHalf, ToEndpoint>,
}

impl FakeEntry {
    async fn connect(fleet: &Fleet) -> FakeEntry {
        let stream = TcpStream::connect(fleet.address(DATA_PORT)).await.unwrap();
        let (read, write) = stream.into_split();
        let mut reader = FrameReader::new(read, "endpoint");
        let mut writer = FrameWriter::new(write, "endpoint");
        let hello =
            ToEndpoint::Hello { protocol_version: PROTOCOL_VERSION, process: "peer".into() };
        writer.send(&hello).await.unwrap();
        let Some(ToEntry::Welcome { incarnation }) = reader.next().await.unwrap() else {
            panic!("expected a welcome frame")
        };
        FakeEntry { incarnation, reader, writer }
    }

    async fn send(&mut self, dispatch: &Dispatch) {
        self.writer.send(&ToEndpoint::Dispatch(Box::new(dispatch.clone()))).await.unwrap();
    }

    /// Waits for the last frame of an attempt's answer.
    async fn last_frame_of(&mut self, id: AttemptId) -> ToEntry {
        loop {
            let frame = self.reader.next().await.unwrap().expect("connection closed");
            let is_end = !matches!(frame, ToEntry::Head { .. } | ToEntry::Data { .. });
            if frame.attempt() == Some(id) && is_end {
                return frame;
            }
        }
    }

    async fn refusal_reason_of(&mut self, dispatch: &Dispatch) -> Option<RefusalReason> {
        self.send(dispatch).await;
        match self.last_frame_of(dispatch.id).await {
            ToEntry::Refused { reason, .. } => Some(reason),
            _ => None,
        }
    }
}

fn now_ms() -> u64 {
    wall_time_ms(SystemTime::now())
}

fn dispatch(number: u128) -> Dispatch {
    Dispatch {
        id: AttemptId { request: RequestId::from_u128(number), attempt: 1 },
        service: PLAIN_SERVICE.into(),
        config_version: 0,
        deadline_at_ms: now_ms() + 20_000,
        priority: 0,
        method: "POST".to_owned(),
        path: "/orders".to_owned(),
        headers: Vec::new(),
        body: Bytes::from_static(b"{}"),
        binding: None,
    }
}

fn dispatch_with_key(number: u128, key: u8, incarnation: Incarnation) -> Dispatch {
    let binding = Binding {
        key_digest: [key; 32],
        request_digest: [1; 32],
        incarnation,
        claim_offset: 0,
        claimed_at_ms: now_ms(),
    };
    Dispatch { binding: Some(binding), ..dispatch(number) }
}

fn fleet_options() -> FleetOptions {
    FleetOptions {
        entries: 1,
        engines: 0,
        plain_services: 1,
        max_running: 1,
        ..FleetOptions::default()
    }
}

fn run_count(fleet: &Fleet) -> usize {
    fleet.plain_services[0].recorded_calls().len()
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_attempts_are_refused() {
    let fleet = Fleet::start(fleet_options()).await;
    fleet.write_file(
        "fleet.jsonc",
        &fleet.fleet_file().replace("\"rate_per_s\": 2", "\"rate_per_s\": 3"),
    );
    assert_eq!(fleet.run_command(&["config", "apply", "fleet.jsonc"]).status.code(), Some(0));
    let mut entry = FakeEntry::connect(&fleet).await;
    let other_incarnation = Incarnation::from_u128(7);
    let current = |dispatch: Dispatch| Dispatch { config_version: 1, ..dispatch };
    let cases = [
        (dispatch(1), RefusalReason::ConfigOutdated),
        (current(Dispatch { deadline_at_ms: now_ms() - 1, ..dispatch(2) }), RefusalReason::Expired),
        (current(Dispatch { service: "lm".into(), ..dispatch(3) }), RefusalReason::WrongService),
        (current(dispatch_with_key(4, 1, other_incarnation)), RefusalReason::NotBoundHere),
    ];

    for (dispatch, reason) in cases {
        assert_eq!(entry.refusal_reason_of(&dispatch).await, Some(reason));
    }

    assert_eq!(run_count(&fleet), 0);
    assert_eq!(entry.refusal_reason_of(&current(dispatch(5))).await, None);
    assert_eq!(run_count(&fleet), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_was_refused_is_revoked() {
    let fleet = Fleet::start(fleet_options()).await;
    let mut entry = FakeEntry::connect(&fleet).await;
    let late =
        Dispatch { deadline_at_ms: now_ms() - 1, ..dispatch_with_key(1, 1, entry.incarnation) };

    assert_eq!(entry.refusal_reason_of(&late).await, Some(RefusalReason::Expired));

    // The same key within its deadline, from another entry that was paused in the meantime.
    let again = dispatch_with_key(2, 1, entry.incarnation);
    assert_eq!(entry.refusal_reason_of(&again).await, Some(RefusalReason::Revoked));
    assert_eq!(run_count(&fleet), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_duplicate_frame_runs_once() {
    let fleet = Fleet::start(FleetOptions {
        plain_service_delay: Duration::from_millis(100),
        ..fleet_options()
    })
    .await;
    let mut entry = FakeEntry::connect(&fleet).await;
    let duplicate = dispatch(1);

    entry.send(&duplicate).await;
    entry.send(&duplicate).await;

    assert!(matches!(entry.last_frame_of(duplicate.id).await, ToEntry::End { .. }));
    assert_eq!(run_count(&fleet), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_attempt_ends_and_a_cancelled_key_keeps_running() {
    let fleet = Fleet::start(FleetOptions {
        plain_service_delay: Duration::from_millis(300),
        ..fleet_options()
    })
    .await;
    let mut entry = FakeEntry::connect(&fleet).await;
    let plain = dispatch(1);
    entry.send(&plain).await;
    common::eventually("the request runs", async || run_count(&fleet) == 1).await;
    entry.writer.send(&ToEndpoint::Cancel(plain.id)).await.unwrap();
    let cancelled = ToEntry::Failed { id: plain.id, failure: ExecutionFailure::Cancelled };
    assert_eq!(entry.last_frame_of(plain.id).await, cancelled);

    let first = dispatch_with_key(2, 1, entry.incarnation);
    entry.send(&first).await;
    entry.writer.send(&ToEndpoint::Cancel(first.id)).await.unwrap();
    let again = dispatch_with_key(3, 1, entry.incarnation);
    entry.send(&again).await;

    assert!(matches!(entry.last_frame_of(again.id).await, ToEntry::End { .. }));
    assert_eq!(run_count(&fleet), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_endpoint_refuses_all_attempts() {
    let fleet = Fleet::start(FleetOptions {
        plain_service_delay: Duration::from_secs(5),
        ..fleet_options()
    })
    .await;
    let mut entry = FakeEntry::connect(&fleet).await;
    let running = dispatch(1);
    entry.send(&running).await;
    common::eventually("the request runs", async || run_count(&fleet) == 1).await;

    fleet.run_command(&["drain", "bookings-0"]);
    common::eventually("the endpoint is draining", async || {
        let status = fleet.endpoint_status(0).await;
        status.is_some_and(|status| status.readiness == Readiness::Draining)
    })
    .await;

    assert_eq!(entry.refusal_reason_of(&dispatch(2)).await, Some(RefusalReason::Draining));
    let key = dispatch_with_key(3, 1, entry.incarnation);
    assert_eq!(entry.refusal_reason_of(&key).await, Some(RefusalReason::Draining));
    assert!(matches!(entry.last_frame_of(running.id).await, ToEntry::End { .. }));
    assert_eq!(run_count(&fleet), 1);
}

/// Guards against attempts that are lost, and keys whose outcome is unknown, because the endpoint
/// exits while they are on their way to it.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_has_drained_refuses_attempts_until_its_entries_disconnect() {
    let mut fleet = Fleet::start(fleet_options()).await;
    let mut entry = FakeEntry::connect(&fleet).await;

    fleet.endpoints[0].as_ref().unwrap().signal(Signal::SIGTERM);
    common::eventually("the drain has ended", async || {
        TcpStream::connect(fleet.address(DATA_PORT)).await.is_err()
    })
    .await;

    assert_eq!(entry.refusal_reason_of(&dispatch(1)).await, Some(RefusalReason::Draining));
    let key = dispatch_with_key(2, 1, entry.incarnation);
    assert_eq!(entry.refusal_reason_of(&key).await, Some(RefusalReason::Draining));
    drop(entry);
    assert_eq!(fleet.endpoints[0].as_mut().unwrap().exit_code().await, Some(0));
    assert_eq!(run_count(&fleet), 0);
}

/// Guards against endpoints that wait in vain for an entry that has no attempts there.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_disconnects_from_an_endpoint_that_has_drained() {
    let mut fleet = Fleet::start(fleet_options()).await;

    fleet.endpoints[0].as_ref().unwrap().signal(Signal::SIGTERM);
    let code = fleet.endpoints[0].as_mut().unwrap().exit_code().await;

    assert_eq!(code, Some(0));
    common::eventually("the entry records why it has disconnected", async || {
        let audit = fleet.run_command(&["audit", "--event", "endpoint-down"]);
        String::from_utf8_lossy(&audit.stdout).contains("the endpoint has drained")
    })
    .await;
}
