//! Counters and latency histograms of a process, and the port that exposes them.

use std::{
    collections::BTreeMap,
    fmt::Write,
    sync::{Arc, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use cadence::{Counted, MetricSink, StatsdClient};
use hdrhistogram::Histogram;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use lynxmount_link::RequestHandler;
use parking_lot::Mutex;

/// The prefix of all names.
const PREFIX: &str = "lynxmount";

/// Significant digits of histograms: a resolution of 1% is finer than any comparison needs.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Upper limit of histograms in microseconds; longer latencies are recorded as this.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Exposed quantiles with their labels.
const QUANTILES: [(&str, f64); 4] = [("0.5", 0.5), ("0.9", 0.9), ("0.99", 0.99), ("1", 1.0)];

type Totals = Arc<std::sync::Mutex<BTreeMap<String, i64>>>;

/// A metric sink that adds up counters in memory.
struct TotalsSink(Totals);

impl MetricSink for TotalsSink {
    fn emit(&self, metric: &str) -> std::io::Result<usize> {
        let increment = metric.split_once(':').and_then(|(name, suffix)| {
            let value: i64 = suffix.split('|').next()?.parse().ok()?;
            Some((name, value))
        });
        if let Some((name, value)) = increment {
            let mut totals = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            match totals.get_mut(name) {
                Some(total) => *total += value,
                None => {
                    totals.insert(name.to_owned(), value);
                }
            }
        }
        Ok(metric.len())
    }
}

/// The metrics of a process.
pub struct Metrics {
    client: StatsdClient,
    totals: Totals,
    latencies: Mutex<BTreeMap<&'static str, Histogram<u64>>>,
}

impl Default for Metrics {
    /// Creates metrics without any values.
    fn default() -> Metrics {
        let totals = Totals::default();
        let client = StatsdClient::from_sink(PREFIX, TotalsSink(Arc::clone(&totals)));
        Metrics { client, totals, latencies: Mutex::default() }
    }
}

impl Metrics {
    /// Increments a counter by one.
    pub fn count(&self, name: &'static str) {
        self.add(name, 1);
    }

    /// Increments a counter.
    pub fn add(&self, name: &'static str, count: i64) {
        // The in-memory sink can't fail.
        let _ = self.client.count(name, count);
    }

    /// Records a latency.
    pub fn record_latency(&self, name: &'static str, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        let mut latencies = self.latencies.lock();
        let histogram = latencies.entry(name).or_insert_with(|| {
            Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
                .expect("bounds in order and at most 5 significant digits")
        });
        histogram.saturating_record(micros.clamp(1, MAX_LATENCY_US));
    }

    /// Renders all metrics as text, one per line.
    pub fn render(&self) -> String {
        let mut text = String::new();
        for (name, total) in self.totals.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            let _ = writeln!(text, "{} {total}", name.replace('.', "_"));
        }
        for (name, histogram) in self.latencies.lock().iter() {
            for (label, quantile) in QUANTILES {
                let micros = histogram.value_at_quantile(quantile);
                let _ = writeln!(
                    text,
                    "{PREFIX}_{}_us{{quantile=\"{label}\"}} {micros}",
                    name.replace('.', "_")
                );
            }
            let name = name.replace('.', "_");
            let _ = writeln!(text, "{PREFIX}_{name}_us_count {}", histogram.len());
        }
        text
    }
}

/// Responds to every request with the metrics.
pub struct MetricsHandler(pub Arc<Metrics>);

impl RequestHandler for MetricsHandler {
    async fn handle(&self, _request: Request<Incoming>) -> Response<Full<Bytes>> {
        Response::new(Full::new(self.0.render().into()))
    }
}
