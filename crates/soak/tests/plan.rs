//! Faults are a function of the seed.

use std::time::Duration;

use lynxmount_soak::plan::{Fault, FaultKind, LinkId, ProcessId, Size, draw};

const SIZE: Size = Size { entries: 3, ranks: 6, endpoints: 3 };
const TIME: Duration = Duration::from_secs(60);

fn is_in_size(kind: FaultKind) -> bool {
    let fits = |process: ProcessId| match process {
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
        | FaultKind::Hangup(process) => fits(process),
        _ => true,
    }
}

#[test]
fn a_seed_draws_the_same_faults_every_time_and_another_seed_others() {
    let first = draw(7, SIZE, TIME);

    assert_eq!(first, draw(7, SIZE, TIME));
    assert_ne!(first, draw(8, SIZE, TIME));
}

#[test]
fn faults_come_in_order_overlap_and_fit_the_fleet() {
    let faults: Vec<Fault> = (0..40).flat_map(|seed| draw(seed, SIZE, TIME)).collect();

    assert!(faults.iter().all(|fault| fault.at < TIME && is_in_size(fault.kind)));
    for seed in 0..40 {
        let faults = draw(seed, SIZE, TIME);
        let overlaps = faults.windows(2).filter(|two| two[1].at < two[0].at + two[0].length);
        assert!(faults.is_sorted_by_key(|fault| fault.at));
        assert!(overlaps.count() * 2 > faults.len(), "seed {seed}");
    }
}

#[test]
fn an_endpoint_asks_for_one_thing_at_a_time() {
    for seed in 0..40 {
        let mut over_at = [Duration::ZERO; 3 * SIZE.endpoints];
        for fault in draw(seed, SIZE, TIME) {
            let FaultKind::Advise(endpoint, _) = fault.kind else { continue };

            assert!(fault.at > over_at[endpoint], "seed {seed}: {fault:?}");
            over_at[endpoint] = fault.at + fault.length;
        }
    }
}
