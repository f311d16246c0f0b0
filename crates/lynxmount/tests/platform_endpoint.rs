//! Endpoint processes on the users' platform, beside engines in lock-step.

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
use platform_common::{INTERNAL_PORT, Process, STORE_PORT, ip, network, wait_for};
use tokio::net::UdpSocket;

const RANKS: u8 = 4;
const EXPERTS: usize = 8;
const ENGINE_PORT: u16 = 8130;
const PASS: Duration = Duration::from_millis(20);

struct World {
    group: GroupStandin,
    processes: Vec<Process>,
    settings: Vec<String>,
}

/// A service whose engines form several groups.
struct GroupsWorld {
    store: StoreStandin,
    service: String,
    network: u8,
    groups: Vec<GroupStandin>,
    processes: Vec<Process>,
}

/// Starts groups of one service whose ranks' addresses alternate.
async fn start_groups(names: &[&str]) -> GroupsWorld {
    let network = network() + 100;
    let store = StoreStandin::start((ip(network, 250), STORE_PORT).into()).await.expect("a store");
    let service = service_of("model");
    let text = GroupText { service: &service, experts: EXPERTS };
    store.put(OPERATOR_TOPIC, CONFIG_KEY, &config_text(1, &[], Some(text)));
    let (groups, processes) = (Vec::new(), Vec::new());
    let mut world = GroupsWorld { store, service, network, groups, processes };
    for (index, name) in names.iter().enumerate() {
        let host = |rank: u8| 10 + rank * names.len() as u8 + index as u8;
        let engines: Vec<SocketAddr> =
            (0..RANKS).map(|rank| (ip(network, host(rank)), ENGINE_PORT).into()).collect();
        let started = GroupStandin::start(name, &engines, EXPERTS, PASS).await.expect("a group");
        world.groups.push(started);
        for engine in engines {
            world.register(engine);
            world.processes.push(world.start_process(engine));
        }
    }
    world
}

impl GroupsWorld {
    /// Starts the process beside an engine.
    fn start_process(&self, engine: SocketAddr) -> Process {
        let text = endpoint_settings_text(engine, INTERNAL_PORT, self.store.address());
        Process::start("platform-endpoint", &text)
    }

    /// The engine of a rank, in a world of one group.
    fn engine(&self, rank: u8) -> SocketAddr {
        SocketAddr::from((ip(self.network, 10 + rank), ENGINE_PORT))
    }

    fn register(&self, engine: SocketAddr) {
        let registration = registration_text(engine, &self.service, "ready");
        self.store.put(REGISTRATIONS_TOPIC, &format!("i-{engine}"), &registration);
    }
}

fn replicas_in(group: &GroupStandin, expert: usize) -> usize {
    let (_, map, _) = group.map();
    map[0].iter().filter(|held| held.contains(&expert)).count()
}

fn assert_no_split(groups: &[GroupStandin]) {
    for group in groups {
        let (_, _, split) = group.map();
        assert_eq!(split, None, "ranks had different maps in a pass");
    }
}

/// How many processes balance, by their own logs.
fn leaders(processes: &[Process]) -> usize {
    let leads = |process: &&Process| {
        process
            .logged("leadership changed")
            .last()
            .is_some_and(|line| line["attributes"]["is_leading"].to_string().contains("true"))
    };
    processes.iter().filter(leads).count()
}

async fn start() -> World {
    let network = network() + 100;
    let store = StoreStandin::start((ip(network, 250), STORE_PORT).into()).await.expect("a store");
    let service = service_of("model");
    let group = GroupText { service: &service, experts: EXPERTS };
    store.put(OPERATOR_TOPIC, CONFIG_KEY, &config_text(1, &[], Some(group)));
    let engines: Vec<SocketAddr> =
        (0..RANKS).map(|rank| (ip(network, 10 + rank), ENGINE_PORT).into()).collect();
    let group = GroupStandin::start("group", &engines, EXPERTS, PASS).await.expect("a group");
    for (rank, engine) in engines.iter().enumerate() {
        let registration = registration_text(*engine, &service, "ready");
        store.put(REGISTRATIONS_TOPIC, &format!("i-{rank}"), &registration);
    }
    let own = |engine: &SocketAddr| endpoint_settings_text(*engine, INTERNAL_PORT, store.address());
    let settings: Vec<String> = engines.iter().map(own).collect();
    let processes = settings.iter().map(|text| Process::start("platform-endpoint", text)).collect();
    World { group, processes, settings }
}

/// Demand for one expert above all others.
fn demand_for(expert: usize) -> Vec<u64> {
    (0..EXPERTS).map(|other| if other == expert { 4000 } else { 100 }).collect()
}

fn replicas(world: &World, expert: usize) -> usize {
    let (_, map, _) = world.group.map();
    map[0].iter().filter(|held| held.contains(&expert)).count()
}

fn assert_one_map(world: &World) {
    let (_, _, split) = world.group.map();
    assert_eq!(split, None, "ranks had different maps in a pass");
}

#[tokio::test]
async fn experts_in_demand_get_replicas_and_all_ranks_switch_together() {
    let world = start().await;

    for expert in [3, 6, 1] {
        world.group.set_demand(demand_for(expert));

        wait_for("replicas", async || replicas(&world, expert) >= 3).await;
        assert_one_map(&world);
    }
}

#[tokio::test]
async fn lost_answers_to_orders_delay_a_switch_and_split_nothing() {
    let world = start().await;
    world.group.lose_answers(3);

    world.group.set_demand(demand_for(5));

    wait_for("replicas", async || replicas(&world, 5) >= 3).await;
    assert_one_map(&world);
}

#[tokio::test]
async fn another_process_balances_when_the_first_is_gone() {
    let mut world = start().await;
    world.group.set_demand(demand_for(2));
    wait_for("replicas", async || replicas(&world, 2) >= 3).await;

    world.processes.remove(0);
    world.group.set_demand(demand_for(7));

    // The rank whose process is gone is told and read directly by nobody, so that
    // the group waits for its process.
    world.processes.insert(0, Process::start("platform-endpoint", &world.settings[0]));
    wait_for("replicas", async || replicas(&world, 7) >= 3).await;
    assert_one_map(&world);
}

#[tokio::test]
async fn a_paused_process_holds_the_group_up_for_a_while_only() {
    let world = start().await;
    for round in 0..6 {
        world.group.set_demand(demand_for(round % EXPERTS));
        world.processes[0].signal(Signal::SIGSTOP);
        tokio::time::sleep(Duration::from_millis(150)).await;
        world.processes[0].signal(Signal::SIGCONT);
    }
    let step = world.group.step();

    wait_for("passes", async || world.group.step() > step + 20).await;

    assert_one_map(&world);
}

#[tokio::test]
async fn each_group_of_a_service_follows_its_own_demand() {
    let world = start_groups(&["a", "b", "c"]).await;

    for round in 0..2 {
        for (index, group) in world.groups.iter().enumerate() {
            group.set_demand(demand_for(round * world.groups.len() + index));
        }

        for (index, group) in world.groups.iter().enumerate() {
            let expert = round * world.groups.len() + index;
            wait_for("replicas", async || replicas_in(group, expert) >= 3).await;
        }
    }
    assert_no_split(&world.groups);
}

#[tokio::test]
async fn one_process_of_each_group_balances() {
    let world = start_groups(&["a", "b"]).await;
    for (index, group) in world.groups.iter().enumerate() {
        group.set_demand(demand_for(index));
        wait_for("replicas", async || replicas_in(group, index) >= 3).await;
    }

    let (first, second) = world.processes.split_at(usize::from(RANKS));
    wait_for("one leader each", async || (leaders(first), leaders(second)) == (1, 1)).await;
}

#[tokio::test]
async fn a_group_whose_balancing_process_is_gone_leaves_the_other_as_it_is() {
    let world = start_groups(&["a", "b"]).await;
    for group in &world.groups {
        group.set_demand(demand_for(2));
        wait_for("replicas", async || replicas_in(group, 2) >= 3).await;
    }

    // The first rank's process of the first group balances it.
    world.processes[0].signal(Signal::SIGKILL);
    world.groups[1].set_demand(demand_for(5));

    wait_for("replicas", async || replicas_in(&world.groups[1], 5) >= 3).await;
    world.groups[0].set_demand(demand_for(6));
    wait_for("replicas", async || replicas_in(&world.groups[0], 6) >= 3).await;
    assert_no_split(&world.groups);
}

#[tokio::test]
async fn a_group_is_found_whose_engines_register_one_after_the_other() {
    let mut world = start_groups(&[]).await;
    let network = world.network;
    let engines: Vec<SocketAddr> =
        (0..RANKS).map(|rank| (ip(network, 10 + rank), ENGINE_PORT).into()).collect();
    let group = GroupStandin::start("a", &engines, EXPERTS, PASS).await.expect("a group");
    world.processes = engines.iter().map(|engine| world.start_process(*engine)).collect();

    for engine in engines {
        world.register(engine);
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    group.set_demand(demand_for(3));

    wait_for("replicas", async || replicas_in(&group, 3) >= 3).await;
    assert_no_split(&[group]);
}

#[tokio::test]
async fn a_rank_whose_process_is_gone_is_balanced_with_its_group_again_and_again() {
    let world = start_groups(&["a"]).await;
    let group = &world.groups[0];
    group.set_demand(demand_for(1));
    wait_for("replicas", async || replicas_in(group, 1) >= 3).await;

    // The last rank's process does not balance, and nobody tells what the rank holds.
    world.processes[usize::from(RANKS) - 1].signal(Signal::SIGKILL);

    for expert in [4, 7, 2] {
        group.set_demand(demand_for(expert));
        wait_for("replicas", async || replicas_in(group, expert) >= 3).await;
    }
    assert_no_split(&world.groups);
}

#[tokio::test]
async fn a_process_that_starts_anew_learns_the_map_in_use_and_reads_a_rank_that_never_told() {
    let mut world = start_groups(&["a"]).await;
    world.groups[0].set_demand(demand_for(1));
    wait_for("replicas", async || replicas_in(&world.groups[0], 1) >= 3).await;

    // The first process has not seen how the map came about, and hears nothing of the
    // last rank.
    world.processes[usize::from(RANKS) - 1].signal(Signal::SIGKILL);
    world.processes.remove(0);
    world.processes.insert(0, world.start_process(world.engine(0)));
    world.groups[0].set_demand(demand_for(6));

    wait_for("replicas", async || replicas_in(&world.groups[0], 6) >= 3).await;
    assert_no_split(&world.groups);
}

#[tokio::test]
async fn a_group_whose_processes_all_start_anew_is_balanced_from_what_its_engines_hold() {
    let mut world = start_groups(&["a"]).await;
    world.groups[0].set_demand(demand_for(1));
    wait_for("replicas", async || replicas_in(&world.groups[0], 1) >= 3).await;

    world.processes.clear();
    world.processes = (0..RANKS).map(|rank| world.start_process(world.engine(rank))).collect();
    world.groups[0].set_demand(demand_for(6));

    wait_for("replicas", async || replicas_in(&world.groups[0], 6) >= 3).await;
    assert_no_split(&world.groups);
}

/// Asks the processes beside a group's engines for its state until one tells this one.
async fn wait_for_state(world: &GroupsWorld, entry: &UdpSocket, state: GroupState) {
    wait_for("the group's state", async || {
        let ask = GroupMessage::Ask { members: 0 }.encode().expect("a datagram");
        for rank in 0..RANKS {
            let process = (world.engine(rank).ip(), INTERNAL_PORT + GROUP_PORT_OFFSET);
            entry.send_to(&ask, process).await.expect("the question is sent");
        }
        let mut received = [0; 2048];
        let receiving = entry.recv_from(&mut received);
        let Ok(Ok((length, peer))) = tokio::time::timeout(PASS * 20, receiving).await else {
            return false;
        };
        match GroupMessage::decode(peer, &received[..length]) {
            Ok(GroupMessage::Notice(notice)) => notice.state == state,
            _ => false,
        }
    })
    .await;
}

/// Guards against groups that stand still and are told to be open.
#[tokio::test]
async fn entries_are_told_when_a_group_stands_still_and_when_it_goes_on() {
    let world = start_groups(&["group"]).await;
    let entry = UdpSocket::bind((ip(world.network, 200), 0)).await.expect("a socket");
    wait_for_state(&world, &entry, GroupState::Serving).await;

    world.groups[0].set_stalled(true);
    wait_for_state(&world, &entry, GroupState::Blocked).await;
    world.groups[0].set_stalled(false);

    wait_for_state(&world, &entry, GroupState::Serving).await;
}

/// Guards against a standstill that nobody tells as the process that balances is part of it.
#[tokio::test]
async fn another_process_tells_that_a_group_stands_still_when_the_first_is_paused() {
    let world = start_groups(&["group"]).await;
    let entry = UdpSocket::bind((ip(world.network, 200), 0)).await.expect("a socket");
    wait_for_state(&world, &entry, GroupState::Serving).await;
    wait_for("one process to balance", async || leaders(&world.processes) == 1).await;

    world.processes[0].signal(Signal::SIGSTOP);
    world.groups[0].set_stalled(true);

    wait_for_state(&world, &entry, GroupState::Blocked).await;
    world.processes[0].signal(Signal::SIGCONT);
}
