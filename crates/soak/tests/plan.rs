//! Tests that the schedule of faults is a function of the seed and fits the fleet.

use std::{ops::Range, time::Duration};

use lynxmount_soak::plan::{Fault, FaultKind, LinkId, Paused, ProcessId, Size, draw_faults};

const SIZE: Size = Size { entries: 3, ranks: 6, endpoints: 3 };
const TIME: Duration = Duration::from_secs(60);
const STREAM_ENDPOINTS: Range<usize> = 2 * SIZE.endpoints..3 * SIZE.endpoints;

fn fits_fleet(kind: FaultKind) -> bool {
    let is_process_in_fleet = |process: ProcessId| match process {
        ProcessId::Endpoint(rank) => rank < SIZE.ranks,
        ProcessId::Entry(entry) => entry < SIZE.entries,
    };
    match kind {
        FaultKind::Advise(endpoint, _)
        | FaultKind::BlockGroup { frozen: Some(endpoint) }
        | FaultKind::Freeze(endpoint)
        | FaultKind::Leave(endpoint)
        | FaultKind::Misbehave(endpoint, _) => endpoint < 3 * SIZE.endpoints,
        FaultKind::Link(LinkId::Endpoint(endpoint), _) => endpoint < 3 * SIZE.endpoints,
        FaultKind::Link(LinkId::Callers(entry), _) => entry < SIZE.entries,
        FaultKind::Link(LinkId::Store(process), _)
        | FaultKind::Kill(process)
        | FaultKind::Pause(process)
        | FaultKind::Terminate(process)
        | FaultKind::Hangup(process) => is_process_in_fleet(process),
        _ => true,
    }
}

#[test]
fn the_same_seed_draws_the_same_faults_and_another_seed_different_ones() {
    let first = draw_faults(7, SIZE, TIME);

    assert_eq!(first, draw_faults(7, SIZE, TIME));
    assert_ne!(first, draw_faults(8, SIZE, TIME));
}

#[test]
fn faults_are_ordered_by_start_overlap_and_fit_the_fleet() {
    let faults: Vec<Fault> = (0..40).flat_map(|seed| draw_faults(seed, SIZE, TIME)).collect();

    assert!(faults.iter().all(|fault| fault.at < TIME && fits_fleet(fault.kind)));
    for seed in 0..40 {
        let faults = draw_faults(seed, SIZE, TIME);
        let overlaps = faults.windows(2).filter(|pair| pair[1].at < pair[0].at + pair[0].length);
        assert!(faults.is_sorted_by_key(|fault| fault.at));
        assert!(overlaps.count() * 2 > faults.len(), "seed {seed}");
    }
}

#[test]
fn an_endpoint_applies_one_kind_of_backpressure_at_a_time() {
    for seed in 0..40 {
        let mut over_at = [Duration::ZERO; 3 * SIZE.endpoints];
        for fault in draw_faults(seed, SIZE, TIME) {
            let FaultKind::Advise(endpoint, _) = fault.kind else { continue };

            assert!(fault.at > over_at[endpoint], "seed {seed}: {fault:?}");
            over_at[endpoint] = fault.at + fault.length;
        }
    }
}

#[test]
fn silences_of_configurations_follow_each_other_with_a_change_in_each() {
    for seed in 0..40 {
        let faults = draw_faults(seed, SIZE, TIME);
        let silences: Vec<&Fault> = faults
            .iter()
            .filter(|fault| matches!(fault.kind, FaultKind::SilenceConfigs(_)))
            .collect();
        let changes = faults.iter().filter(|fault| fault.kind == FaultKind::ChangeConfig).count();

        assert!(silences.len() >= 3 && changes + 1 >= silences.len(), "seed {seed}");
        let overlap = silences.windows(2).find(|pair| pair[0].at + pair[0].length > pair[1].at);
        assert!(overlap.is_none(), "seed {seed}: {overlap:?}");
    }
}

fn is_drain(fault: &Fault) -> bool {
    matches!(fault.kind, FaultKind::Terminate(ProcessId::Entry(_)))
}

fn is_pause(fault: &Fault) -> bool {
    matches!(fault.kind, FaultKind::PauseStreams(_))
}

#[test]
fn each_pause_of_streams_begins_within_four_seconds_after_a_drain() {
    for seed in 0..40 {
        let faults = draw_faults(seed, SIZE, TIME);
        for pause in faults.iter().filter(|fault| is_pause(fault)) {
            let drains = faults.iter().filter(|fault| is_drain(fault) && fault.at <= pause.at);
            let last = drains.map(|drain| drain.at).max().expect("a drain");

            assert!(pause.at - last < Duration::from_secs(4), "seed {seed}: {pause:?}");
        }
    }
}

#[test]
fn pauses_of_all_kinds_are_drawn() {
    let mut counts = [0; 3];
    for fault in (0..40).flat_map(|seed| draw_faults(seed, SIZE, TIME)) {
        let FaultKind::PauseStreams(paused) = fault.kind else { continue };
        let (kind, is_stream_endpoint) = match paused {
            Paused::AllStreams => (0, true),
            Paused::Endpoint(endpoint) => (1, STREAM_ENDPOINTS.contains(&endpoint)),
            Paused::Stream(endpoint) => (2, STREAM_ENDPOINTS.contains(&endpoint)),
        };
        counts[kind] += 1;

        assert!(is_stream_endpoint, "{fault:?}");
        assert!((800..2600).contains(&fault.length.as_millis()), "{fault:?}");
    }
    assert!(counts.into_iter().all(|count| count > 100), "{counts:?}");
}
