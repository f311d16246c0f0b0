//! What a change of map does about holds that are not its own.

use std::time::Duration;

use lynxmount_core::experts::{
    Action, EngineOrder, EngineReport, GroupMap, Membership, OrderResult,
};
use lynxmount_group::{MapSwitch, RankRequest, SwitchInputs, SwitchOptions, SwitchOutcome};

const RANKS: usize = 4;
const EPOCH: u64 = 1;

/// The rank whose machine is frozen.
const FROZEN: usize = 0;

/// The rank through which another has held the group.
const HELD: usize = 1;

fn report(rank: usize) -> EngineReport {
    EngineReport {
        membership: Some(Membership {
            group: "g".to_owned(),
            epoch: EPOCH,
            rank,
            ranks: RANKS,
            is_open: true,
        }),
        step: 7,
        map: 0,
        prepared: None,
        armed: None,
        held: None,
        running: 0,
        waiting: 0,
        pace: 1.0,
    }
}

fn map(first: usize) -> GroupMap {
    vec![(0..RANKS).map(|rank| vec![first + rank]).collect()]
}

fn start_change() -> MapSwitch {
    let start = SwitchInputs {
        options: SwitchOptions::default(),
        hold_rank: RANKS - 1,
        min_step: 0,
        epoch: EPOCH,
        reports: (0..RANKS).map(report).collect(),
        current: map(0),
        nonce: 1,
        now: Duration::ZERO,
    };
    MapSwitch::start(start, map(10), 0)
}

/// Gives what the change orders to all ranks but the frozen one.
fn carry_out(switch: &mut MapSwitch, now: Duration) -> Vec<Action> {
    let orders = switch.tick(now);
    let reached = orders.iter().filter(|order| order.rank != FROZEN);
    reached.for_each(|order| {
        let mut after = report(order.rank);
        if let RankRequest::Order(EngineOrder { action: Action::Prepare { version, .. }, .. }) =
            order.request
        {
            after.prepared = Some(version);
        }
        switch.observe(order.rank, after);
        switch.on_answer(order.rank, order.id, Some(OrderResult::Accepted));
    });
    let requests = orders.into_iter().map(|order| order.request);
    requests
        .filter_map(|request| match request {
            RankRequest::Order(order) => Some(order.action),
            RankRequest::Report { .. } => None,
        })
        .collect()
}

#[test]
fn a_change_that_waits_for_a_frozen_rank_does_not_hold_the_group() {
    let mut switch = start_change();

    let mut now = Duration::ZERO;
    while switch.outcome().is_none() {
        let orders = carry_out(&mut switch, now);
        assert!(orders.iter().all(|order| matches!(order, Action::Prepare { .. })), "{orders:?}");
        now += Duration::from_millis(20);
    }

    assert_eq!(switch.outcome(), Some(SwitchOutcome::PrepareFailed));
}

#[test]
fn a_change_that_waits_for_a_frozen_rank_gives_way_to_a_hold_that_another_left() {
    let mut switch = start_change();
    carry_out(&mut switch, Duration::ZERO);

    let held = EngineReport { held: Some(9), prepared: Some(switch.version()), ..report(HELD) };
    switch.observe(HELD, held);
    switch.tick(Duration::from_millis(20));

    assert_eq!(switch.outcome(), Some(SwitchOutcome::PrepareFailed));
}
