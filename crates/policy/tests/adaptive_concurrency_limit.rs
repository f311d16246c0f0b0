//! Streams of a lock-step service under more load than it can carry on time.

use std::time::Duration;

use lynxmount_policy::AdaptiveConcurrencyLimit;

/// The longest pause that is on time.
const GOAL: Duration = Duration::from_millis(120);
const SLOTS: usize = 190;
const EVENTS: u32 = 24;
const PLAYED: Duration = Duration::from_secs(60);

struct Stream {
    events_left: u32,
    is_late: bool,
}

/// What a pass takes: a fixed part, and one for each running stream.
fn pass(running: usize, slowness: f64) -> Duration {
    Duration::from_secs_f64((0.02 + 0.0009 * running as f64) * slowness)
}

/// How much longer passes take after a shift of demand, until maps have followed.
fn after_shift(now: Duration) -> f64 {
    match now.as_secs_f64() % 2.33 {
        since_s if since_s < 0.7 => 1.35,
        _ => 1.0,
    }
}

/// Plays arrivals at a rate; returns the streams that were on time, late and refused.
fn play(per_s: f64, slowness: f64, has_limit: bool) -> (u32, u32, u32) {
    play_with(per_s, |_| slowness, has_limit)
}

fn play_with(per_s: f64, slowness: impl Fn(Duration) -> f64, has_limit: bool) -> (u32, u32, u32) {
    let mut limit = AdaptiveConcurrencyLimit::default();
    let (mut on_time, mut late, mut refused) = (0, 0, 0);
    let mut streams: Vec<Stream> = Vec::new();
    let mut now = Duration::ZERO;
    let mut due = 0.0;
    while now < PLAYED {
        let pause = pass(streams.len(), slowness(now));
        now += pause;
        due += per_s * pause.as_secs_f64();
        for stream in &mut streams {
            stream.is_late |= pause > GOAL;
            stream.events_left -= 1;
            limit.record_gap(pause, GOAL, 1.0, now);
        }
        on_time += streams.iter().filter(|s| s.events_left == 0 && !s.is_late).count() as u32;
        late += streams.iter().filter(|s| s.events_left == 0 && s.is_late).count() as u32;
        streams.retain(|stream| stream.events_left > 0);
        let fraction = if has_limit { limit.fraction() } else { 1.0 };
        let places = (SLOTS as f64 * fraction) as usize;
        while due >= 1.0 {
            due -= 1.0;
            match streams.len() < places {
                true => streams.push(Stream { events_left: EVENTS, is_late: false }),
                false => refused += 1,
            }
        }
    }
    (on_time, late, refused)
}

#[test]
fn an_overload_keeps_most_of_what_runs_on_time() {
    let without = play(60.0, 1.0, false);
    let with = play(60.0, 1.0, true);

    // Without a limit nothing but the first seconds is on time.
    assert!(without.0 < 200, "{without:?}");
    assert!(with.0 > 8 * without.0, "{with:?} against {without:?}");
    assert!(with.1 < with.0 / 4, "{with:?}");
}

#[test]
fn a_load_that_fits_is_not_limited() {
    let (on_time, late, refused) = play(25.0, 1.0, true);

    assert_eq!((late, refused), (0, 0));
    assert!(on_time > 1400, "{on_time}");
}

#[test]
fn a_service_that_is_late_in_any_case_is_given_all_that_fits() {
    let without = play(30.0, 8.0, false);
    let with = play(30.0, 8.0, true);

    assert_eq!(without.0, 0);
    assert!(f64::from(with.1) > 0.7 * f64::from(without.1), "{with:?} against {without:?}");
}

#[test]
fn shifts_of_demand_leave_most_of_what_runs_on_time() {
    let (on_time, late, refused) = play_with(60.0, after_shift, true);

    assert!(on_time > 1600, "{on_time} on time, {late} late, {refused} refused");
    assert!(late < on_time / 8, "{on_time} on time, {late} late, {refused} refused");
}
