//! The period of demand samples.

use std::time::Duration;

use lynxmount_balance::sample_period;

/// Links of 6 and 20 Mbit/s.
const LINKS_BYTES_PER_S: [f64; 2] = [750_000.0, 2_500_000.0];

#[test]
fn samples_of_all_ranks_take_at_most_a_third_of_a_link() {
    for link_bytes_per_s in LINKS_BYTES_PER_S {
        for (sample_bytes, ranks) in [(300, 16), (1_500, 16), (4_000, 16), (1_500, 40)] {
            let period = sample_period(sample_bytes, ranks, link_bytes_per_s);

            let rate = (sample_bytes * ranks) as f64 / period.as_secs_f64();
            assert!(rate <= link_bytes_per_s / 3.0, "{rate} bytes a second");
        }
    }
}

#[test]
fn small_samples_are_sent_once_per_demand_window() {
    assert_eq!(sample_period(400, 16, LINKS_BYTES_PER_S[1]), Duration::from_millis(100));
    assert_eq!(sample_period(400, 16, f64::INFINITY), Duration::from_millis(100));
}

#[test]
fn samples_are_sent_at_least_every_second() {
    assert_eq!(sample_period(60_000, 500, LINKS_BYTES_PER_S[0]), Duration::from_secs(1));
}
