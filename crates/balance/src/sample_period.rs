//! The period at which ranks send samples of their demand, limited by the receiver's link.

use std::time::Duration;

/// The maximum fraction of a receiver's link for the demand samples of all ranks. Reports,
/// orders and maps need the rest. A smaller fraction makes samples rarer, and maps follow shifts of
/// demand later.
const MAX_LINK_FRACTION: f64 = 0.3;

/// The shortest period: the length of the windows in which demand is counted.
const MIN_PERIOD: Duration = Duration::from_millis(100);

/// The longest period: demand lasts for a few seconds, so that a map planned from older
/// samples comes too late.
const MAX_PERIOD: Duration = Duration::from_millis(1000);

/// The period at which each rank sends a sample of `sample_bytes`.
pub fn sample_period(sample_bytes: usize, ranks: usize, link_bytes_per_s: f64) -> Duration {
    let budget_bytes_per_s = (link_bytes_per_s * MAX_LINK_FRACTION).max(f64::MIN_POSITIVE);
    let period_s = (sample_bytes * ranks) as f64 / budget_bytes_per_s;
    let max_period_s = MAX_PERIOD.as_secs_f64();
    Duration::from_secs_f64(period_s.clamp(MIN_PERIOD.as_secs_f64(), max_period_s))
}
