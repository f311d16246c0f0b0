//! Detection of endpoints that stall alone, and of groups that stall as a whole.

use std::time::Duration;

use lynxmount_policy::{GroupProgress, InterEventLatency, Liveness, Stall};

const PROGRESS: GroupProgress = progress(60, 60);
const SLOW_PROGRESS: GroupProgress = progress(60, 300);
const SILENT: GroupProgress = progress(1200, 60);

const fn progress(silent_for_ms: u64, mean_gap_ms: u64) -> GroupProgress {
    GroupProgress {
        silent_for: Some(Duration::from_millis(silent_for_ms)),
        mean_gap: Duration::from_millis(mean_gap_ms),
        live_for: Duration::MAX,
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn calls_are_rerouted_from_an_endpoint_that_is_silent_while_its_group_makes_progress() {
    assert_eq!(Stall::detect(ms(899), PROGRESS, true), None);
    assert_eq!(Stall::detect(ms(900), PROGRESS, false), Some(Stall::Endpoint));
}

#[test]
fn calls_are_rerouted_from_a_silent_group_only_to_a_better_one() {
    assert_eq!(Stall::detect(ms(1199), SILENT, true), None);
    assert_eq!(Stall::detect(ms(5000), SILENT, false), None);
    assert_eq!(Stall::detect(ms(1200), SILENT, true), Some(Stall::Group));
}

#[test]
fn an_endpoint_is_not_suspected_before_the_first_event_of_its_group() {
    let mut liveness = Liveness::default();
    liveness.on_sent(ms(0));

    let unknown = GroupProgress::default();
    assert!(!liveness.is_suspect(unknown, ms(5000)));
    assert_eq!(Stall::detect(ms(5000), unknown, false), None);
}

/// Guards against calls that are rerouted while the group is slow, for example after it has opened.
#[test]
fn thresholds_are_longer_in_a_slow_group() {
    let mut liveness = Liveness::default();
    liveness.on_sent(ms(0));

    assert!(!liveness.is_suspect(SLOW_PROGRESS, ms(1199)));
    assert!(liveness.is_suspect(SLOW_PROGRESS, ms(1200)));
    assert_eq!(Stall::detect(ms(1499), SLOW_PROGRESS, false), None);
    assert_eq!(Stall::detect(ms(1500), SLOW_PROGRESS, false), Some(Stall::Endpoint));
}

#[test]
fn silence_is_measured_from_the_first_unanswered_call() {
    let mut liveness = Liveness::default();
    liveness.on_sent(ms(100));
    liveness.on_sent(ms(450));

    assert_eq!(liveness.silent_for(ms(500)), ms(400));
    assert!(!liveness.is_suspect(PROGRESS, ms(499)));
    assert!(liveness.is_suspect(PROGRESS, ms(500)));
    assert!(!liveness.is_suspect(SILENT, ms(500)));
}

#[test]
fn events_and_idleness_reset_the_silence() {
    let mut liveness = Liveness::default();
    liveness.on_sent(ms(0));

    liveness.on_received(ms(600));
    let after_event = liveness.silent_for(ms(700));
    liveness.on_idle();

    assert_eq!(after_event, ms(100));
    assert_eq!(liveness.silent_for(ms(9000)), Duration::ZERO);
}

/// Guards against calls that are sent to a frozen endpoint for as long as its group is slow.
#[test]
fn the_suspicion_threshold_is_bounded_in_a_group_with_long_passes() {
    let mut liveness = Liveness::default();
    liveness.on_sent(ms(0));

    for age in [60, 400, 700] {
        assert!(!liveness.is_suspect(progress(age, 700), ms(1199)));
    }
    assert!(liveness.is_suspect(progress(60, 700), ms(1200)));
    assert!(liveness.is_suspect(progress(400, 700), ms(1200)));
}

#[test]
fn an_endpoint_is_not_suspected_before_its_group_has_completed_a_pass() {
    let mut liveness = Liveness::default();
    liveness.on_sent(ms(0));

    assert!(!liveness.is_suspect(progress(900, 700), ms(1500)));
    assert!(!liveness.is_suspect(progress(1200, 700), ms(1500)));
}

/// Guards against ejections of healthy endpoints when their group resumes after a stall.
#[test]
fn an_endpoint_is_not_suspected_for_a_stall_of_its_whole_group() {
    let mut liveness = Liveness::default();
    liveness.on_sent(ms(0));
    let resumed = GroupProgress { live_for: ms(300), ..PROGRESS };
    let steady = GroupProgress { live_for: ms(900), ..PROGRESS };

    assert!(!liveness.is_suspect(resumed, ms(4300)));
    assert_eq!(Stall::detect(ms(4300), resumed, false), None);
    assert!(liveness.is_suspect(steady, ms(4900)));
    assert_eq!(Stall::detect(ms(4900), steady, false), Some(Stall::Endpoint));
}

#[test]
fn passes_that_read_prompts_do_not_hide_a_frozen_endpoint() {
    let (mut latency, mut frozen) = (InterEventLatency::default(), Liveness::default());
    frozen.on_sent(ms(0));
    let (mut now, mut is_suspected, mut has_stalled) = (0, false, false);

    for gap in [400, 120, 120, 120, 120].into_iter().cycle().take(50) {
        now += gap;
        latency.on_event(Some(ms(gap)), ms(now));
        let at = ms(now + 20);
        let group = GroupProgress {
            silent_for: latency.silent_for(at),
            mean_gap: latency.mean(at).unwrap_or_default(),
            live_for: latency.live_for(at),
        };
        is_suspected |= frozen.is_suspect(group, at);
        has_stalled |= Stall::detect(frozen.silent_for(at), group, false).is_some();
    }

    assert!(is_suspected && has_stalled);
}
