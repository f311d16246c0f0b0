//! How often ranks tell what was chosen at them.

use std::time::Duration;

/// The part of a listening process's link that samples of demand may take up, from all
/// ranks together. Reports, orders and maps need the rest: counts in full of 16 ranks
/// with 3,840 experts would fill a link of 6 Mbit/s twice, by arithmetic. Less of it is dear: with 0.15 and samples of two bytes an
/// expert, two heaviest days of two groups of 32 ranks on links of 8 Mbit/s were worth
/// 0.465 and 0.415, with samples each 100 ms 0.517 and 0.464 (one seed each).
const LINK_PART: f64 = 0.3;

/// The shortest period: demand is looked at in windows of this length.
const LEAST_PERIOD: Duration = Duration::from_millis(100);

/// The longest period: demand stays for some seconds, so that a map for what was asked
/// for longer ago comes too late.
const MOST_PERIOD: Duration = Duration::from_millis(1000);

/// How often each of so many ranks tells a sample of so many bytes.
pub fn sample_period(sample_bytes: usize, ranks: usize, link_bytes_per_s: f64) -> Duration {
    let budget = (link_bytes_per_s * LINK_PART).max(f64::MIN_POSITIVE);
    let period_s = (sample_bytes * ranks) as f64 / budget;
    let longest_s = MOST_PERIOD.as_secs_f64();
    Duration::from_secs_f64(period_s.clamp(LEAST_PERIOD.as_secs_f64(), longest_s))
}
