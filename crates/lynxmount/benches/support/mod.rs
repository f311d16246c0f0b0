//! Reads the resource usage of processes and fits lines through measured points.

#![allow(dead_code, unreachable_pub)]

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use hdrhistogram::Histogram;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
};

const PAGE_BYTES: u64 = 4_096;

/// The resource usage of a process since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time of all threads.
    pub cpu: Duration,
    /// Processor time of the thread named `control`.
    pub control_cpu: Duration,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
}

impl Usage {
    /// The usage between an earlier reading and this one; memory is that of this reading.
    pub fn since(self, earlier: Usage) -> Usage {
        Usage {
            cpu: self.cpu.saturating_sub(earlier.cpu),
            control_cpu: self.control_cpu.saturating_sub(earlier.control_cpu),
            resident_bytes: self.resident_bytes,
        }
    }
}

/// Reads the resource usage of a process. Processor time is the kernel's `schedstat`, in
/// nanoseconds.
pub fn usage_of(pid: u32) -> Usage {
    let mut usage = Usage::default();
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    for task in tasks {
        let read = |file: &str| std::fs::read_to_string(task.path().join(file)).unwrap_or_default();
        let on_cpu_ns = read("schedstat").split(' ').next().and_then(|ns| ns.parse().ok());
        let on_cpu = Duration::from_nanos(on_cpu_ns.unwrap_or(0));
        usage.cpu += on_cpu;
        if read("comm").trim() == "control" {
            usage.control_cpu += on_cpu;
        }
    }
    usage.resident_bytes = resident_bytes(&pid.to_string());
    usage
}

/// The resident memory of a process; the pid `self` stands for this process.
pub fn resident_bytes(pid: &str) -> u64 {
    let statm = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// A line fitted through points by least squares.
#[derive(Clone, Copy, Debug)]
pub struct Fit {
    pub intercept: f64,
    pub slope: f64,
    /// The largest vertical distance of a point from the line, as a fraction of the largest value.
    pub error: f64,
}

/// Fits a line through points by least squares.
pub fn fit(points: &[(f64, f64)]) -> Fit {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    let intercept = mean_y - slope * mean_x;
    let largest = points.iter().map(|p| p.1.abs()).fold(f64::MIN_POSITIVE, f64::max);
    let distance = points.iter().map(|p| (p.1 - intercept - slope * p.0).abs()).fold(0.0, f64::max);
    Fit { intercept, slope, error: distance / largest }
}

/// The median and the 99th percentile, in milliseconds, of a histogram of nanoseconds.
pub fn p50_p99_ms(histogram: &Histogram<u64>) -> (f64, f64) {
    let ms = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e6;
    (ms(0.5), ms(0.99))
}

/// An empty histogram of nanoseconds with three significant digits.
pub fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are allowed")
}

/// A TCP relay that counts the bytes it forwards.
pub struct CountingRelay {
    pub address: SocketAddr,
    bytes: Arc<AtomicU64>,
}

impl CountingRelay {
    /// Listens on `listen` and forwards each connection to `target`.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> CountingRelay {
        let listener = TcpListener::bind(listen).await.expect("the address is free");
        let address = listener.local_addr().expect("the listener is bound");
        let bytes = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&bytes);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let Ok(server) = TcpStream::connect(target).await else { continue };
                let ((client_read, client_write), (server_read, server_write)) =
                    (client.into_split(), server.into_split());
                tokio::spawn(copy(client_read, server_write, Arc::clone(&counted)));
                tokio::spawn(copy(server_read, client_write, Arc::clone(&counted)));
            }
        });
        CountingRelay { address, bytes }
    }

    /// The bytes forwarded in both directions.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, bytes: Arc<AtomicU64>) {
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
        bytes.fetch_add(length as u64, Ordering::Relaxed);
    }
}
