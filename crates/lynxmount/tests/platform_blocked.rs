//! What the processes beside a group's engines tell entries while the machine of one rank is
//! frozen.

mod platform_common;

use std::{net::SocketAddr, time::Duration};

use lynxmount_core::experts::GroupState;
use lynxmount_link::{GROUP_PORT_OFFSET, GroupMessage};
use lynxmount_platform_standin::{
    GroupStandin, StoreStandin,
    fixture::{
        CONFIG_KEY, GroupText, OPERATOR_TOPIC, REGISTRATIONS_TOPIC, config_text,
        endpoint_settings_text, registration_text, service_of,
    },
};
use nix::sys::signal::Signal;
use platform_common::{GIVE_UP_AFTER, INTERNAL_PORT, Process, STORE_PORT, ip, network};
use tokio::{net::UdpSocket, time::Instant};

const RANKS: u8 = 4;
const EXPERTS: usize = 8;
const ENGINE_PORT: u16 = 8130;
const PASS: Duration = Duration::from_millis(20);

/// The rank whose process balances.
const FIRST: usize = 0;

/// A rank whose process does not balance.
const LAST: usize = 3;

/// How long notices are followed: more than reports are believed.
const FOLLOWED: Duration = Duration::from_millis(2500);

struct World {
    group: GroupStandin,
    processes: Vec<Process>,
    entry: UdpSocket,
    _store: StoreStandin,
}

async fn start() -> World {
    let network = network() + 200;
    let store = StoreStandin::start((ip(network, 250), STORE_PORT).into()).await.expect("a store");
    let service = service_of("model");
    let text = GroupText { service: &service, experts: EXPERTS };
    store.put(OPERATOR_TOPIC, CONFIG_KEY, &config_text(1, &[], Some(text)));
    let engines: Vec<SocketAddr> =
        (0..RANKS).map(|rank| (ip(network, 10 + rank), ENGINE_PORT).into()).collect();
    let group = GroupStandin::start("group", &engines, EXPERTS, PASS).await.expect("a group");
    let mut processes = Vec::new();
    for (rank, engine) in engines.iter().enumerate() {
        let registration = registration_text(*engine, &service, "ready");
        store.put(REGISTRATIONS_TOPIC, &format!("i-{rank}"), &registration);
        let settings = endpoint_settings_text(*engine, INTERNAL_PORT, store.address());
        processes.push(Process::start("platform-endpoint", &settings));
    }
    let entry = UdpSocket::bind((ip(network, 200), 0)).await.expect("a port");
    World { group, processes, entry, _store: store }
}

impl World {
    /// Asks the first three processes, as entries do, and returns the next notice's state.
    async fn next_state(&self, network: SocketAddr) -> Option<GroupState> {
        let ask = GroupMessage::Subscribe { members: 0 }.encode().expect("a datagram");
        let SocketAddr::V4(own) = network else { return None };
        let [a, b, c, _] = own.ip().octets();
        for rank in 0..3 {
            let to = SocketAddr::from(([a, b, c, 10 + rank], INTERNAL_PORT + GROUP_PORT_OFFSET));
            let _ = self.entry.send_to(&ask, to).await;
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
        let own = self.entry.local_addr().expect("an address");
        let waiting = async { while self.next_state(own).await != Some(state) {} };
        tokio::time::timeout(GIVE_UP_AFTER, waiting).await.expect("the state is told");
    }

    /// All states that are told for a time.
    async fn follow(&self, time: Duration) -> Vec<GroupState> {
        let own = self.entry.local_addr().expect("an address");
        let end = Instant::now() + time;
        let mut told = Vec::new();
        while Instant::now() < end {
            told.extend(self.next_state(own).await);
        }
        told
    }
}

/// Freezes the machine of a rank, and waits until the group is told as blocked.
async fn start_blocked(frozen: usize) -> World {
    let world = start().await;
    world.group.set_active(2);
    world.wait_for(GroupState::Serving).await;
    world.group.freeze(frozen);
    world.processes[frozen].signal(Signal::SIGSTOP);
    world.wait_for(GroupState::Blocked).await;
    world
}

async fn assert_blocked_until_awake(frozen: usize) {
    let world = start_blocked(frozen).await;

    world.group.set_active(0);
    let told = world.follow(FOLLOWED).await;

    assert!(!told.is_empty());
    assert!(!told.contains(&GroupState::Serving), "{told:?}");
    world.group.wake(frozen);
    world.processes[frozen].signal(Signal::SIGCONT);
    world.wait_for(GroupState::Serving).await;
}

#[tokio::test]
async fn a_group_of_which_a_machine_is_frozen_is_told_as_blocked() {
    let world = start_blocked(LAST).await;

    world.group.wake(LAST);
    world.processes[LAST].signal(Signal::SIGCONT);
    world.wait_for(GroupState::Serving).await;
}

/// Guards against a blocked group that looks idle, and gets calls, once entries have taken theirs
/// back.
#[tokio::test]
async fn a_blocked_group_does_not_serve_before_its_frozen_machine_wakes() {
    assert_blocked_until_awake(LAST).await;
}

#[tokio::test]
async fn a_blocked_group_does_not_serve_before_its_balancing_machine_wakes() {
    assert_blocked_until_awake(FIRST).await;
}
