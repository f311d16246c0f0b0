//! Simulation of the adaptive concurrency limit of a lock-step service under overload.

use std::time::Duration;

use lynxmount_policy::AdaptiveConcurrencyLimit;

/// Objective for the longest gap between events.
const GAP_GOAL: Duration = Duration::from_millis(120);
const SLOTS: usize = 190;
const EVENTS: u32 = 24;
const DURATION: Duration = Duration::from_secs(60);

struct Stream {
    events_left: u32,
    is_late: bool,
}

/// Duration of a pass: a fixed part, and one for each running stream.
fn pass_time(running: usize, slowdown: f64) -> Duration {
    Duration::from_secs_f64((0.02 + 0.0009 * running as f64) * slowdown)
}

/// Factor by which passes are longer after a shift of demand, until maps have followed.
fn slowdown_after_shift(now: Duration) -> f64 {
    match now.as_secs_f64() % 2.33 {
        since_s if since_s < 0.7 => 1.35,
        _ => 1.0,
    }
}

/// Simulates arrivals at a rate. Returns how many streams were on time, late and refused.
fn simulate(per_s: f64, slowdown: f64, has_limit: bool) -> (u32, u32, u32) {
    simulate_with(per_s, |_| slowdown, has_limit)
}

fn simulate_with(
    per_s: f64,
    slowdown: impl Fn(Duration) -> f64,
    has_limit: bool,
) -> (u32, u32, u32) {
    let mut limit = AdaptiveConcurrencyLimit::default();
    let (mut on_time, mut late, mut refused) = (0, 0, 0);
    let mut streams: Vec<Stream> = Vec::new();
    let mut now = Duration::ZERO;
    let mut due_arrivals = 0.0;
    while now < DURATION {
        let gap = pass_time(streams.len(), slowdown(now));
        now += gap;
        due_arrivals += per_s * gap.as_secs_f64();
        for stream in &mut streams {
            stream.is_late |= gap > GAP_GOAL;
            stream.events_left -= 1;
            limit.record_gap(gap, GAP_GOAL, 1.0, now);
        }
        on_time += streams.iter().filter(|s| s.events_left == 0 && !s.is_late).count() as u32;
        late += streams.iter().filter(|s| s.events_left == 0 && s.is_late).count() as u32;
        streams.retain(|stream| stream.events_left > 0);
        let fraction = if has_limit { limit.fraction() } else { 1.0 };
        let max_streams = (SLOTS as f64 * fraction) as usize;
        while due_arrivals >= 1.0 {
            due_arrivals -= 1.0;
            match streams.len() < max_streams {
                true => streams.push(Stream { events_left: EVENTS, is_late: false }),
                false => refused += 1,
            }
        }
    }
    (on_time, late, refused)
}

#[test]
fn most_admitted_streams_are_on_time_under_overload() {
    let without = simulate(60.0, 1.0, false);
    let with = simulate(60.0, 1.0, true);

    // Without a limit only the streams of the first seconds are on time.
    assert!(without.0 < 200, "{without:?}");
    assert!(with.0 > 8 * without.0, "{with:?} against {without:?}");
    assert!(with.1 < with.0 / 4, "{with:?}");
}

#[test]
fn a_load_within_capacity_is_not_limited() {
    let (on_time, late, refused) = simulate(25.0, 1.0, true);

    assert_eq!((late, refused), (0, 0));
    assert!(on_time > 1400, "{on_time}");
}

#[test]
fn the_limit_is_suspended_for_a_service_that_is_late_in_any_case() {
    let without = simulate(30.0, 8.0, false);
    let with = simulate(30.0, 8.0, true);

    assert_eq!(without.0, 0);
    assert!(f64::from(with.1) > 0.7 * f64::from(without.1), "{with:?} against {without:?}");
}

#[test]
fn most_admitted_streams_are_on_time_while_demand_shifts() {
    let (on_time, late, refused) = simulate_with(60.0, slowdown_after_shift, true);

    assert!(on_time > 1600, "{on_time} on time, {late} late, {refused} refused");
    assert!(late < on_time / 8, "{on_time} on time, {late} late, {refused} refused");
}
