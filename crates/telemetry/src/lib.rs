//! Non-blocking JSON logging, counters and latency histograms.

#![forbid(unsafe_code)]

mod logging;
mod metrics;
mod process_budget;

pub use logging::init_json_logging;
pub use metrics::{Metrics, MetricsHandler};
pub use process_budget::process_budget;
