//! Groups whose leader's process is told to terminate.

mod platform_common;

use std::time::Duration;

use nix::sys::signal::Signal;
use platform_common::{EngineGroup, allocate_network, wait_for};

const RANKS: u8 = 4;
const EXPERTS: usize = 8;
/// The rank whose process leads the group.
const LEADER: usize = 0;
const PASS_PERIOD: Duration = Duration::from_millis(20);

/// Demand counts with one hot expert.
fn demand_for(expert: usize) -> Vec<u64> {
    (0..EXPERTS).map(|other| if other == expert { 4000 } else { 100 }).collect()
}

/// Guards against a group that stays held, with all its streams, because its leader exits during a
/// map switch. No other process can settle it: it can't read the ranks that have frozen.
#[tokio::test]
async fn passes_go_on_if_the_leader_terminates_just_after_the_group_was_held() {
    let network = allocate_network() + 100;
    let test_group = EngineGroup::start(network, RANKS, EXPERTS, PASS_PERIOD).await;
    test_group.group.silence_others_on_hold(LEADER);
    test_group.group.set_demand(demand_for(2));
    wait_for("the hold", async || test_group.group.has_silent_ranks()).await;

    test_group.processes[LEADER].signal(Signal::SIGTERM);
    let leader = &test_group.processes[LEADER];
    wait_for("the leader's exit", async || !leader.logged("stopped").is_empty()).await;

    let step = test_group.group.step();
    wait_for("passes", async || test_group.group.step() > step + 20).await;
    let (_, _, split) = test_group.group.map();
    assert_eq!(split, None, "ranks had different maps in a pass");
}
