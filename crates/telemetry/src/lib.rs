//! Non-blocking JSON logging, counters and latency histograms.

#![forbid(unsafe_code)]

mod logging;
mod metrics;

pub use logging::init_json_logging;
pub use metrics::{Metrics, MetricsHandler};
