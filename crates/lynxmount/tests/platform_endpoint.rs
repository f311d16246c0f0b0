//! Expert balancing by endpoint processes on the users' platform, beside engines in lock-step.

mod platform_common;

use std::{net::SocketAddr, time::Duration};

use http::Method;
use lynxmount_core::{Step, experts::GroupState};
use lynxmount_link::{GROUP_PORT_OFFSET, GroupMessage, HttpClient};
use lynxmount_platform_standin::{
    GroupStandin, StoreStandin, TopicSilence,
    fixture::{
        CONFIG_KEY, GroupService, IDEMPOTENT, OPERATOR_TOPIC, REGISTRATIONS_TOPIC, config_text,
        endpoint_settings_text, registration_text, service_of,
    },
};
use lynxmount_policy::rendezvous;
use nix::sys::signal::Signal;
use platform_common::{INTERNAL_PORT, Process, STORE_PORT, allocate_network, ip, wait_for};
use tokio::net::UdpSocket;

const RANKS: u8 = 4;
const EXPERTS: usize = 8;
const ENGINE_PORT: u16 = 8130;
/// The rank whose process leads the group.
const LEADER: usize = 0;
const PASS_PERIOD: Duration = Duration::from_millis(20);
/// How many passes begin between an order to hold a group and the hold.
const PASSES_BEFORE_HOLD: u64 = 20;
/// How many directories a group has.
const DIRECTORIES: usize = 2;
const HOLD_TIMEOUT: Duration = Duration::from_secs(1);

/// One group of engines with its endpoint processes.
struct TestGroup {
    group: GroupStandin,
    processes: Vec<Process>,
    settings: Vec<String>,
}

/// A service whose engines form several groups, with their endpoint processes.
struct TestService {
    store: StoreStandin,
    service: String,
    network: u8,
    groups: Vec<GroupStandin>,
    processes: Vec<Process>,
}

/// Starts groups of one service; the addresses of their ranks alternate.
async fn start_groups(names: &[&str]) -> TestService {
    let network = allocate_network() + 100;
    let store =
        StoreStandin::start((ip(network, 250), STORE_PORT).into()).await.expect("store starts");
    let service = service_of("model");
    let text = GroupService { service: &service, experts: EXPERTS };
    store.put(OPERATOR_TOPIC, CONFIG_KEY, &config_text(1, &[], Some(text)));
    let (groups, processes) = (Vec::new(), Vec::new());
    let mut test_service = TestService { store, service, network, groups, processes };
    for (index, name) in names.iter().enumerate() {
        let host = |rank: u8| 10 + rank * names.len() as u8 + index as u8;
        let engines: Vec<SocketAddr> =
            (0..RANKS).map(|rank| (ip(network, host(rank)), ENGINE_PORT).into()).collect();
        let group =
            GroupStandin::start(name, &engines, EXPERTS, PASS_PERIOD).await.expect("group starts");
        test_service.groups.push(group);
        for engine in engines {
            test_service.register(engine);
            test_service.processes.push(test_service.start_process(engine));
        }
    }
    test_service
}

impl TestService {
    /// Starts the endpoint process of an engine.
    fn start_process(&self, engine: SocketAddr) -> Process {
        let text =
            endpoint_settings_text(engine, &self.service, INTERNAL_PORT, self.store.address());
        Process::start("platform-endpoint", &text)
    }

    /// The engine of a rank, in a service with one group.
    fn engine(&self, rank: u8) -> SocketAddr {
        SocketAddr::from((ip(self.network, 10 + rank), ENGINE_PORT))
    }

    fn start_processes(&mut self, ranks: impl IntoIterator<Item = u8>) {
        for rank in ranks {
            let process = self.start_process(self.engine(rank));
            self.processes.push(process);
        }
    }

    /// Kills all processes, holds the only group through a rank, and waits until that stops it.
    /// Returns the step that it is held at.
    async fn hold_without_processes(&mut self, rank: u8) -> u64 {
        self.processes.clear();
        let held_at = self.groups[0].step() + PASSES_BEFORE_HOLD;
        hold(self.engine(rank), held_at).await;
        wait_for("the hold", async || self.groups[0].step() + 1 == held_at).await;
        held_at
    }

    /// The ranks of the only group whose processes are not its directories.
    fn ranks_that_are_no_directories(&self) -> Vec<u8> {
        let engines: Vec<String> = (0..RANKS).map(|rank| self.engine(rank).to_string()).collect();
        let directories = rendezvous("a", &engines, |engine| engine, DIRECTORIES);
        let is_directory = |rank: u8| directories.contains(&&engines[usize::from(rank)]);
        (0..RANKS).filter(|rank| !is_directory(*rank)).collect()
    }

    fn register(&self, engine: SocketAddr) {
        let registration = registration_text(engine, &self.service, "ready");
        self.store.put(REGISTRATIONS_TOPIC, &format!("i-{engine}"), &registration);
    }
}

/// Number of ranks in a group that hold an expert.
fn replicas_in(group: &GroupStandin, expert: usize) -> usize {
    let (_, map, _) = group.map();
    map[0].iter().filter(|held| held.contains(&expert)).count()
}

/// Checks that all ranks of a group had the same map in each pass.
fn assert_no_split(groups: &[GroupStandin]) {
    for group in groups {
        let (_, _, split) = group.map();
        assert_eq!(split, None, "ranks had different maps in a pass");
    }
}

/// Number of processes that are leaders according to their logs.
fn leaders(processes: &[Process]) -> usize {
    let is_leader = |process: &&Process| {
        process
            .logged("leadership changed")
            .last()
            .is_some_and(|record| record["attributes"]["is_leading"].to_string().contains("true"))
    };
    processes.iter().filter(is_leader).count()
}

/// Starts one group.
async fn start() -> TestGroup {
    let network = allocate_network() + 100;
    let store =
        StoreStandin::start((ip(network, 250), STORE_PORT).into()).await.expect("store starts");
    let service = service_of("model");
    let text = GroupService { service: &service, experts: EXPERTS };
    store.put(OPERATOR_TOPIC, CONFIG_KEY, &config_text(1, &[], Some(text)));
    let engines: Vec<SocketAddr> =
        (0..RANKS).map(|rank| (ip(network, 10 + rank), ENGINE_PORT).into()).collect();
    let group =
        GroupStandin::start("group", &engines, EXPERTS, PASS_PERIOD).await.expect("group starts");
    for (rank, engine) in engines.iter().enumerate() {
        let registration = registration_text(*engine, &service, "ready");
        store.put(REGISTRATIONS_TOPIC, &format!("i-{rank}"), &registration);
    }
    let to_settings = |engine: &SocketAddr| {
        endpoint_settings_text(*engine, &service, INTERNAL_PORT, store.address())
    };
    let settings: Vec<String> = engines.iter().map(to_settings).collect();
    let processes = settings.iter().map(|text| Process::start("platform-endpoint", text)).collect();
    TestGroup { group, processes, settings }
}

/// Holds a group through the engine of one of its ranks from a pass on.
async fn hold(engine: SocketAddr, step: u64) {
    let body = serde_json::json!({"Operation": "Retain", "step": step}).to_string();
    let response = HttpClient::new(engine)
        .call(Step::ControlCall, Method::POST, "/lynxmount/order", body.into(), HOLD_TIMEOUT)
        .await
        .expect("response");
    assert!(response.status.is_success(), "{}", response.status);
}

/// Demand counts with one hot expert.
fn demand_for(expert: usize) -> Vec<u64> {
    (0..EXPERTS).map(|other| if other == expert { 4000 } else { 100 }).collect()
}

fn replicas(test_group: &TestGroup, expert: usize) -> usize {
    let (_, map, _) = test_group.group.map();
    map[0].iter().filter(|held| held.contains(&expert)).count()
}

fn assert_one_map(test_group: &TestGroup) {
    let (_, _, split) = test_group.group.map();
    assert_eq!(split, None, "ranks had different maps in a pass");
}

#[tokio::test]
async fn hot_experts_are_replicated_and_all_ranks_switch_in_one_pass() {
    let test_group = start().await;

    for expert in [3, 6, 1] {
        test_group.group.set_demand(demand_for(expert));

        wait_for("replicas", async || replicas(&test_group, expert) >= 3).await;
        assert_one_map(&test_group);
    }
}

#[tokio::test]
async fn lost_responses_to_orders_do_not_split_the_map() {
    let test_group = start().await;
    test_group.group.lose_answers(3);

    test_group.group.set_demand(demand_for(5));

    wait_for("replicas", async || replicas(&test_group, 5) >= 3).await;
    assert_one_map(&test_group);
}

#[tokio::test]
async fn balancing_continues_after_restart_of_the_leader() {
    let mut test_group = start().await;
    test_group.group.set_demand(demand_for(2));
    wait_for("replicas", async || replicas(&test_group, 2) >= 3).await;

    test_group.processes.remove(0);
    test_group.group.set_demand(demand_for(7));

    // No other process reads or orders the rank of the removed process directly, so the group waits
    // for that process.
    test_group.processes.insert(0, Process::start("platform-endpoint", &test_group.settings[0]));
    wait_for("replicas", async || replicas(&test_group, 7) >= 3).await;
    assert_one_map(&test_group);
}

/// Guards against a leader that takes another writer's registration at its engine's address for its
/// own, and then neither balances its group nor settles a hold.
#[tokio::test]
async fn group_is_balanced_although_an_unknown_service_is_registered_at_its_leader() {
    let mut test_service = start_groups(&["a"]).await;
    test_service.groups[0].set_demand(demand_for(2));
    wait_for("replicas", async || replicas_in(&test_service.groups[0], 2) >= 3).await;

    let foreign = registration_text(test_service.engine(0), "unknown", "ready");
    test_service.store.put(REGISTRATIONS_TOPIC, "a-foreign", &foreign);
    test_service.processes.remove(0);
    test_service.processes.insert(0, test_service.start_process(test_service.engine(0)));
    test_service.groups[0].set_demand(demand_for(7));

    wait_for("replicas", async || replicas_in(&test_service.groups[0], 7) >= 3).await;
    assert_no_split(&test_service.groups);
}

#[tokio::test]
async fn passes_go_on_after_short_pauses_of_a_process() {
    let test_group = start().await;
    for round in 0..6 {
        test_group.group.set_demand(demand_for(round % EXPERTS));
        test_group.processes[0].signal(Signal::SIGSTOP);
        tokio::time::sleep(Duration::from_millis(150)).await;
        test_group.processes[0].signal(Signal::SIGCONT);
    }
    let step = test_group.group.step();

    wait_for("passes", async || test_group.group.step() > step + 20).await;

    assert_one_map(&test_group);
}

/// Guards against a group that stays held until the machine of the process that has placed the
/// hold resumes.
#[tokio::test]
async fn passes_go_on_if_machines_freeze_just_after_the_group_was_held() {
    let test_group = start().await;
    test_group.group.silence_others_on_hold(LEADER);

    test_group.group.set_demand(demand_for(2));
    wait_for("the hold", async || test_group.group.has_silent_ranks()).await;
    let step = test_group.group.step();

    wait_for("passes", async || test_group.group.step() > step + 20).await;
    assert_one_map(&test_group);
}

/// Guards against a group that stays held, with all its streams, because a restarted leader waits
/// for the configuration before it settles the hold of its former life.
#[tokio::test]
async fn hold_of_a_dead_leader_is_settled_while_configurations_cannot_be_read() {
    let mut test_service = start_groups(&["a"]).await;
    test_service.groups[0].set_demand(demand_for(2));
    wait_for("replicas", async || replicas_in(&test_service.groups[0], 2) >= 3).await;

    test_service.store.set_silence(OPERATOR_TOPIC, Some(TopicSilence::All));
    let held_at = test_service.hold_without_processes(1).await;
    test_service.start_processes(0..RANKS);

    wait_for("passes", async || test_service.groups[0].step() > held_at + 20).await;
    assert_no_split(&test_service.groups);
}

/// Guards against a group that stays held, with all its streams, because a process takes another
/// service that is registered at its engine's address for its own, and its rank stays unknown.
#[tokio::test]
async fn hold_is_settled_although_another_service_is_registered_at_a_rank() {
    let mut test_service = start_groups(&["a"]).await;
    test_service.groups[0].set_demand(demand_for(2));
    wait_for("replicas", async || replicas_in(&test_service.groups[0], 2) >= 3).await;

    // The name of this service sorts before that of the group's.
    let plain = service_of(IDEMPOTENT);
    for rank in test_service.ranks_that_are_no_directories() {
        let foreign = registration_text(test_service.engine(rank), &plain, "ready");
        test_service.store.put(REGISTRATIONS_TOPIC, &format!("x-{rank}"), &foreign);
    }
    let held_at = test_service.hold_without_processes(1).await;
    test_service.start_processes(0..RANKS);

    wait_for("passes", async || test_service.groups[0].step() > held_at + 20).await;
    test_service.groups[0].set_demand(demand_for(7));
    wait_for("replicas", async || replicas_in(&test_service.groups[0], 7) >= 3).await;
    assert_no_split(&test_service.groups);
}

/// Guards against a group that stays held, with all its streams, because some of its processes do not
/// come back after all were killed: a directory, the leader, or all leader candidates.
#[tokio::test]
async fn hold_is_settled_by_the_processes_that_come_back() {
    for present in [vec![0, 1, 3], vec![1, 2, 3], vec![2, 3], vec![3]] {
        for held in [1, 3] {
            let mut test_service = start_groups(&["a"]).await;
            test_service.groups[0].set_demand(demand_for(2));
            wait_for("replicas", async || replicas_in(&test_service.groups[0], 2) >= 3).await;

            let held_at = test_service.hold_without_processes(held).await;
            test_service.start_processes(present.iter().copied());

            let has_passes = async || test_service.groups[0].step() > held_at + 20;
            wait_for(&format!("passes with {present:?}, held at {held}"), has_passes).await;
            assert_no_split(&test_service.groups);
        }
    }
}

#[tokio::test]
async fn groups_of_one_service_are_balanced_independently() {
    let test_service = start_groups(&["a", "b", "c"]).await;

    for round in 0..2 {
        for (index, group) in test_service.groups.iter().enumerate() {
            group.set_demand(demand_for(round * test_service.groups.len() + index));
        }

        for (index, group) in test_service.groups.iter().enumerate() {
            let expert = round * test_service.groups.len() + index;
            wait_for("replicas", async || replicas_in(group, expert) >= 3).await;
        }
    }
    assert_no_split(&test_service.groups);
}

#[tokio::test]
async fn each_group_has_one_leader() {
    let test_service = start_groups(&["a", "b"]).await;
    for (index, group) in test_service.groups.iter().enumerate() {
        group.set_demand(demand_for(index));
        wait_for("replicas", async || replicas_in(group, index) >= 3).await;
    }

    let (first, second) = test_service.processes.split_at(usize::from(RANKS));
    wait_for("one leader each", async || (leaders(first), leaders(second)) == (1, 1)).await;
}

#[tokio::test]
async fn loss_of_one_groups_leader_does_not_affect_the_other_group() {
    let test_service = start_groups(&["a", "b"]).await;
    for group in &test_service.groups {
        group.set_demand(demand_for(2));
        wait_for("replicas", async || replicas_in(group, 2) >= 3).await;
    }

    // The process of the first group's first rank is its leader.
    test_service.processes[0].signal(Signal::SIGKILL);
    test_service.groups[1].set_demand(demand_for(5));

    wait_for("replicas", async || replicas_in(&test_service.groups[1], 5) >= 3).await;
    test_service.groups[0].set_demand(demand_for(6));
    wait_for("replicas", async || replicas_in(&test_service.groups[0], 6) >= 3).await;
    assert_no_split(&test_service.groups);
}

#[tokio::test]
async fn group_is_discovered_if_its_engines_register_one_after_another() {
    let mut test_service = start_groups(&[]).await;
    let network = test_service.network;
    let engines: Vec<SocketAddr> =
        (0..RANKS).map(|rank| (ip(network, 10 + rank), ENGINE_PORT).into()).collect();
    let group =
        GroupStandin::start("a", &engines, EXPERTS, PASS_PERIOD).await.expect("group starts");
    test_service.processes =
        engines.iter().map(|engine| test_service.start_process(*engine)).collect();

    for engine in engines {
        test_service.register(engine);
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    group.set_demand(demand_for(3));

    wait_for("replicas", async || replicas_in(&group, 3) >= 3).await;
    assert_no_split(&[group]);
}

#[tokio::test]
async fn rank_without_a_process_is_balanced_with_its_group_repeatedly() {
    let test_service = start_groups(&["a"]).await;
    let group = &test_service.groups[0];
    group.set_demand(demand_for(1));
    wait_for("replicas", async || replicas_in(group, 1) >= 3).await;

    // The last rank's process is not the leader; without it, nothing reports what the rank holds.
    test_service.processes[usize::from(RANKS) - 1].signal(Signal::SIGKILL);

    for expert in [4, 7, 2] {
        group.set_demand(demand_for(expert));
        wait_for("replicas", async || replicas_in(group, expert) >= 3).await;
    }
    assert_no_split(&test_service.groups);
}

#[tokio::test]
async fn restarted_process_learns_the_current_map_and_reads_an_unreported_rank() {
    let mut test_service = start_groups(&["a"]).await;
    test_service.groups[0].set_demand(demand_for(1));
    wait_for("replicas", async || replicas_in(&test_service.groups[0], 1) >= 3).await;

    // The restarted process has no history of the map, and gets no reports from the last rank.
    test_service.processes[usize::from(RANKS) - 1].signal(Signal::SIGKILL);
    test_service.processes.remove(0);
    test_service.processes.insert(0, test_service.start_process(test_service.engine(0)));
    test_service.groups[0].set_demand(demand_for(6));

    wait_for("replicas", async || replicas_in(&test_service.groups[0], 6) >= 3).await;
    assert_no_split(&test_service.groups);
}

#[tokio::test]
async fn group_is_balanced_from_its_engines_state_after_restart_of_all_processes() {
    let mut test_service = start_groups(&["a"]).await;
    test_service.groups[0].set_demand(demand_for(1));
    wait_for("replicas", async || replicas_in(&test_service.groups[0], 1) >= 3).await;

    test_service.processes.clear();
    test_service.processes =
        (0..RANKS).map(|rank| test_service.start_process(test_service.engine(rank))).collect();
    test_service.groups[0].set_demand(demand_for(6));

    wait_for("replicas", async || replicas_in(&test_service.groups[0], 6) >= 3).await;
    assert_no_split(&test_service.groups);
}

/// Polls a group's endpoint processes, as an entry does, until one reports a state.
async fn wait_for_state(test_service: &TestService, entry: &UdpSocket, state: GroupState) {
    wait_for("the group's state", async || {
        let request = GroupMessage::Subscribe { members: 0 }.encode().expect("request is encoded");
        for rank in 0..RANKS {
            let process = (test_service.engine(rank).ip(), INTERNAL_PORT + GROUP_PORT_OFFSET);
            entry.send_to(&request, process).await.expect("request is sent");
        }
        let mut datagram = [0; 2048];
        let receiving = entry.recv_from(&mut datagram);
        let Ok(Ok((length, peer))) = tokio::time::timeout(PASS_PERIOD * 20, receiving).await else {
            return false;
        };
        match GroupMessage::decode(peer, &datagram[..length]) {
            Ok(GroupMessage::Notice(notice)) => notice.state == state,
            _ => false,
        }
    })
    .await;
}

/// Guards against a stalled group that is reported to entries as serving.
#[tokio::test]
async fn entries_learn_that_a_group_is_blocked_and_that_it_serves_again() {
    let test_service = start_groups(&["group"]).await;
    let entry = UdpSocket::bind((ip(test_service.network, 200), 0)).await.expect("socket is bound");
    wait_for_state(&test_service, &entry, GroupState::Serving).await;

    test_service.groups[0].set_stalled(true);
    wait_for_state(&test_service, &entry, GroupState::Blocked).await;
    test_service.groups[0].set_stalled(false);

    wait_for_state(&test_service, &entry, GroupState::Serving).await;
}

/// Guards against a stall that goes unreported because the leader process is stopped, too.
#[tokio::test]
async fn blocked_group_is_reported_while_its_leader_process_is_stopped() {
    let test_service = start_groups(&["group"]).await;
    let entry = UdpSocket::bind((ip(test_service.network, 200), 0)).await.expect("socket is bound");
    wait_for_state(&test_service, &entry, GroupState::Serving).await;
    wait_for("a leader", async || leaders(&test_service.processes) == 1).await;

    test_service.processes[0].signal(Signal::SIGSTOP);
    test_service.groups[0].set_stalled(true);

    wait_for_state(&test_service, &entry, GroupState::Blocked).await;
    test_service.processes[0].signal(Signal::SIGCONT);
}
