//! Slow ranks of a group on the users' platform: what their leader publishes, and what an entry
//! does with their calls.

mod platform_common;

use std::{net::SocketAddr, time::Duration};

use http::{Method, StatusCode};
use lynxmount_core::experts::GroupMap;
use lynxmount_link::{GROUP_PORT_OFFSET, GroupMembersNotice, GroupMessage, SlowRanksNotice};
use lynxmount_platform_standin::{
    Behaviour, Call, CallerOutcome, CallerStandin, GroupStandin, echo_events,
    fixture::{CONFIG_KEY, GroupService, OPERATOR_TOPIC, STREAM, config_text, service_of},
};
use platform_common::{
    EngineGroup, Fleet, INTERNAL_PORT, KEY, allocate_network, call, entry_ip, ip, wait_for,
};
use tokio::{net::UdpSocket, task::JoinHandle};

const RANKS: u8 = 4;
const EXPERTS: usize = 8;
const PASS_PERIOD: Duration = Duration::from_millis(20);

/// The position of the slow replica in a fleet.
const SLOW: usize = 0;

/// Sends an entry periodic notices that one replica of a fleet is a slow rank.
fn notify_periodically(fleet: &Fleet) -> JoinHandle<()> {
    let network = fleet.network;
    let group = "g".to_owned();
    let engines: Vec<SocketAddr> = fleet.replicas.iter().map(|replica| replica.address).collect();
    let slow = SlowRanksNotice { group: group.clone(), engines: vec![engines[SLOW]] };
    let members = GroupMembersNotice { group, engines };
    let entry = SocketAddr::new(entry_ip(network, 0), INTERNAL_PORT + GROUP_PORT_OFFSET);
    tokio::spawn(async move {
        let socket = UdpSocket::bind((ip(network, 200), 0)).await.expect("socket is bound");
        let messages = [GroupMessage::Members(members), GroupMessage::SlowRanks(slow)];
        loop {
            for message in &messages {
                let datagram = message.encode().expect("notice is encoded");
                socket.send_to(&datagram, entry).await.expect("notice is sent");
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    })
}

async fn start_fleet(behaviour: Behaviour) -> Fleet {
    let fleet = Fleet::start(STREAM, &[behaviour.clone(), behaviour]).await;
    let service = service_of(STREAM);
    let group = GroupService { service: &service, experts: EXPERTS };
    fleet.store.put(OPERATOR_TOPIC, CONFIG_KEY, &config_text(2, &[KEY], Some(group)));
    wait_for("the configuration", async || fleet.entry.logged("configuration applied").len() >= 2)
        .await;
    fleet
}

fn stream_call(id: &str) -> Call {
    Call {
        id: id.to_owned(),
        method: Method::POST,
        path: format!("/{STREAM}/7"),
        key: KEY.to_owned(),
        time_left: Duration::from_secs(8),
        prompt_parts: Vec::new(),
    }
}

#[tokio::test]
async fn slow_rank_gets_no_new_calls() {
    let fleet = start_fleet(Behaviour::Stream { events: 2, gap: Duration::ZERO }).await;
    let _notices = notify_periodically(&fleet);
    let is_avoided = async || {
        let before = fleet.replicas[SLOW].requests().len();
        for _ in 0..4 {
            let response = call(fleet.address(), Method::POST, &format!("/{STREAM}/7"), KEY).await;
            assert_eq!(response.expect("response").status, StatusCode::OK);
        }
        fleet.replicas[SLOW].requests().len() == before
    };
    wait_for("calls to avoid the slow rank", is_avoided).await;

    for _ in 0..6 {
        assert!(is_avoided().await);
    }
}

#[tokio::test]
async fn stream_at_a_rank_that_becomes_slow_is_finished_once_at_another() {
    let events = 30;
    let gap = Duration::from_millis(40);
    let fleet = start_fleet(Behaviour::EchoStream { events, gap }).await;
    let arrived_at_slow = async || !fleet.replicas[SLOW].requests().is_empty();
    let calling: Vec<_> = (0..4)
        .map(|number| {
            let mut caller = CallerStandin::new(fleet.address());
            tokio::spawn(
                async move { caller.call(&stream_call(&format!("attempt-{number}"))).await },
            )
        })
        .collect();
    wait_for("a stream at the rank", arrived_at_slow).await;

    let _notices = notify_periodically(&fleet);

    for (number, call) in calling.into_iter().enumerate() {
        let CallerOutcome::Response(response) = call.await.expect("task completes") else {
            panic!("no response")
        };
        let expected = echo_events(&format!("attempt-{number}"), events);
        assert_eq!(response.status, StatusCode::OK);
        assert_eq!(response.body, expected.as_bytes(), "attempt-{number}");
    }
    let resumed = fleet.replicas.iter().flat_map(|replica| replica.requests());
    let resumed = resumed.filter(|request| request.header("last-event-id").is_some()).count();
    assert!(resumed > 0);
    assert!(fleet.replicas[SLOW].canceled_count() > 0);
}

/// Subscribes at all processes, and returns the slow ranks in the next notice of them.
async fn next_slow_ranks(entry: &UdpSocket, engines: &[SocketAddr]) -> Option<Vec<SocketAddr>> {
    let request = GroupMessage::Subscribe { members: 0 }.encode().expect("request is encoded");
    for engine in engines {
        let process = (engine.ip(), INTERNAL_PORT + GROUP_PORT_OFFSET);
        entry.send_to(&request, process).await.expect("request is sent");
    }
    let mut datagram = [0; 2048];
    let receiving = entry.recv_from(&mut datagram);
    let (length, peer) = tokio::time::timeout(PASS_PERIOD * 20, receiving).await.ok()?.ok()?;
    match GroupMessage::decode(peer, &datagram[..length]) {
        Ok(GroupMessage::SlowRanks(notice)) => Some(notice.engines),
        _ => None,
    }
}

/// The load of a rank under even demand: its part of each expert that it holds.
fn load(map: &GroupMap, rank: usize) -> f64 {
    let holders = |expert: &usize| map[0].iter().filter(|held| held.contains(expert)).count();
    map[0][rank].iter().map(|expert| 1.0 / holders(expert) as f64).sum()
}

#[tokio::test]
async fn leader_publishes_a_slow_rank_and_moves_experts_away_from_it() {
    let network = allocate_network() + 100;
    let test_group = EngineGroup::start(network, RANKS, EXPERTS, PASS_PERIOD).await;
    let EngineGroup { group, engines, .. } = &test_group;
    let entry = UdpSocket::bind((ip(network, 200), 0)).await.expect("socket is bound");
    let slow_rank = 2;
    let load = |group: &GroupStandin| load(&group.map().1, slow_rank);
    let load_before = load(group);

    group.set_pace(slow_rank, 8.0);

    wait_for("the notice", async || {
        next_slow_ranks(&entry, engines).await == Some(vec![engines[slow_rank]])
    })
    .await;
    wait_for("a map with less load on it", async || load(group) <= load_before / 2.0).await;
    assert_eq!(group.map().2, None);
}
