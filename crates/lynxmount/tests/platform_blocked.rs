//! Group states that endpoint processes report to entries while the machine of one rank is frozen.

mod platform_common;

use std::{net::SocketAddr, time::Duration};

use lynxmount_core::experts::GroupState;
use lynxmount_link::{GROUP_PORT_OFFSET, GroupMessage};
use lynxmount_platform_standin::{GroupStandin, StoreStandin};
use nix::sys::signal::Signal;
use platform_common::{EngineGroup, INTERNAL_PORT, Process, WAIT_TIMEOUT, allocate_network, ip};
use tokio::{net::UdpSocket, time::Instant};

const RANKS: u8 = 4;
const EXPERTS: usize = 8;
const PASS_PERIOD: Duration = Duration::from_millis(20);

/// The rank whose process is the leader.
const LEADER: usize = 0;

/// A rank whose process is not the leader.
const FOLLOWER: usize = 3;

/// How long notices are collected: longer than the lifetime of a rank's report.
const COLLECTION_TIME: Duration = Duration::from_millis(2500);

/// A group of engines with its endpoint processes, and the socket of an entry.
struct TestGroup {
    group: GroupStandin,
    processes: Vec<Process>,
    entry: UdpSocket,
    _store: StoreStandin,
}

async fn start() -> TestGroup {
    let network = allocate_network() + 200;
    let engines = EngineGroup::start(network, RANKS, EXPERTS, PASS_PERIOD).await;
    let entry = UdpSocket::bind((ip(network, 200), 0)).await.expect("socket is bound");
    let EngineGroup { group, processes, store, .. } = engines;
    TestGroup { group, processes, entry, _store: store }
}

impl TestGroup {
    /// Polls the first three processes, as an entry does, and returns the state in the next notice.
    async fn next_state(&self, entry: SocketAddr) -> Option<GroupState> {
        let request = GroupMessage::Subscribe { members: 0 }.encode().expect("request is encoded");
        let SocketAddr::V4(entry) = entry else { return None };
        let [a, b, c, _] = entry.ip().octets();
        for rank in 0..3 {
            let to = SocketAddr::from(([a, b, c, 10 + rank], INTERNAL_PORT + GROUP_PORT_OFFSET));
            let _ = self.entry.send_to(&request, to).await;
        }
        let mut datagram = [0; 2048];
        let received = self.entry.recv_from(&mut datagram);
        let (length, peer) =
            tokio::time::timeout(Duration::from_millis(300), received).await.ok()?.ok()?;
        match GroupMessage::decode(peer, &datagram[..length]) {
            Ok(GroupMessage::Notice(notice)) => Some(notice.state),
            _ => None,
        }
    }

    async fn wait_for(&self, state: GroupState) {
        let entry = self.entry.local_addr().expect("local address");
        let waiting = async { while self.next_state(entry).await != Some(state) {} };
        tokio::time::timeout(WAIT_TIMEOUT, waiting).await.expect("state is reported");
    }

    /// Collects all states that are reported during a period.
    async fn collect_states(&self, period: Duration) -> Vec<GroupState> {
        let entry = self.entry.local_addr().expect("local address");
        let end = Instant::now() + period;
        let mut states = Vec::new();
        while Instant::now() < end {
            states.extend(self.next_state(entry).await);
        }
        states
    }
}

/// Freezes the machine of a rank, and waits until the group is reported as blocked.
async fn start_blocked(frozen: usize) -> TestGroup {
    let test_group = start().await;
    test_group.group.set_running_requests(2);
    test_group.wait_for(GroupState::Serving).await;
    test_group.group.freeze(frozen);
    test_group.processes[frozen].signal(Signal::SIGSTOP);
    test_group.wait_for(GroupState::Blocked).await;
    test_group
}

async fn assert_blocked_until_thawed(frozen: usize) {
    let test_group = start_blocked(frozen).await;

    test_group.group.set_running_requests(0);
    let states = test_group.collect_states(COLLECTION_TIME).await;

    assert!(!states.is_empty());
    assert!(!states.contains(&GroupState::Serving), "{states:?}");
    test_group.group.thaw(frozen);
    test_group.processes[frozen].signal(Signal::SIGCONT);
    test_group.wait_for(GroupState::Serving).await;
}

#[tokio::test]
async fn group_with_frozen_machine_is_reported_as_blocked() {
    let test_group = start_blocked(FOLLOWER).await;

    test_group.group.thaw(FOLLOWER);
    test_group.processes[FOLLOWER].signal(Signal::SIGCONT);
    test_group.wait_for(GroupState::Serving).await;
}

/// Guards against a blocked group that looks idle, and gets calls again, once entries have
/// canceled their calls there.
#[tokio::test]
async fn blocked_group_does_not_serve_until_follower_machine_thaws() {
    assert_blocked_until_thawed(FOLLOWER).await;
}

#[tokio::test]
async fn blocked_group_does_not_serve_until_leader_machine_thaws() {
    assert_blocked_until_thawed(LEADER).await;
}
