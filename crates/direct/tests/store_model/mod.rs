//! A model of the platform's store in virtual time, which loses responses during an outage.

use std::{future::pending, net::SocketAddr, time::Duration};

use http::StatusCode;
use lynxmount_core::{
    CallerLimits, EndpointList, Evidence, EvidenceKey, FleetConfig, LogPosition, LogRead,
    PeerRegistration, ProcessId, ReceivedEvidence, Result, Step, adapter::FleetSource, refused,
};
use parking_lot::Mutex;
use tokio::time::Instant;

/// Which responses an outage loses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Loss {
    /// All that are due during it.
    All,
    /// Those to every second request that arrives during it.
    EverySecond,
}

/// An outage; times are counted from the model's creation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outage {
    pub(crate) from: Duration,
    pub(crate) to: Duration,
    pub(crate) loss: Loss,
}

/// A store that gets its first configuration at one time.
pub(crate) struct StoreModel {
    pub(crate) response_time: Duration,
    /// Reads that are answered in any second; more are rejected.
    pub(crate) max_reads_per_s: u64,
    created_at: Instant,
    outage: Option<Outage>,
    configured_at: Duration,
    reads: Mutex<Vec<Duration>>,
}

impl StoreModel {
    pub(crate) fn new(outage: Option<Outage>, configured_at: Duration) -> StoreModel {
        StoreModel {
            response_time: Duration::from_millis(4),
            max_reads_per_s: u64::MAX,
            created_at: Instant::now(),
            outage,
            configured_at,
            reads: Mutex::default(),
        }
    }

    /// The time since the model's creation.
    pub(crate) fn now(&self) -> Duration {
        self.created_at.elapsed()
    }

    /// Number of reads that arrived within a time span.
    pub(crate) fn reads_within(&self, from: Duration, to: Duration) -> u64 {
        let reads = self.reads.lock();
        let first = reads.partition_point(|at| *at < from);
        reads[first..].iter().take_while(|at| **at < to).count() as u64
    }

    fn is_lost(&self, arrived_at: Duration, number: usize) -> bool {
        let Some(Outage { from, to, loss }) = self.outage else { return false };
        let outage = from..to;
        match loss {
            Loss::All => outage.contains(&arrived_at) || outage.contains(&self.now()),
            Loss::EverySecond => outage.contains(&arrived_at) && number.is_multiple_of(2),
        }
    }
}

impl FleetSource for StoreModel {
    async fn config_from(
        &self,
        from: Option<LogPosition>,
        wait: Duration,
    ) -> Result<LogRead<Option<FleetConfig>>> {
        let arrived_at = self.now();
        let second_ago = arrived_at.saturating_sub(Duration::from_secs(1));
        if self.reads_within(second_ago, Duration::MAX) >= self.max_reads_per_s {
            return Err(refused(Step::ReadLog, "the store", StatusCode::TOO_MANY_REQUESTS));
        }
        let number = {
            let mut reads = self.reads.lock();
            reads.push(arrived_at);
            reads.len()
        };
        let due_at = self.configured_at.clamp(arrived_at, arrived_at + wait);
        tokio::time::sleep(due_at - arrived_at + self.response_time).await;
        if self.is_lost(arrived_at, number) {
            return pending().await;
        }
        let is_configured = self.configured_at <= due_at;
        let value = is_configured.then(config);
        let next = LogPosition { era: 0, offset: u64::from(is_configured) };
        Ok(LogRead { next, is_complete: from.is_none(), value })
    }

    async fn refresh_endpoints(&self, _: &EndpointList) -> Result<EndpointList> {
        unimplemented!("only configurations are read")
    }

    async fn register_peer(&self, _: &str, _: SocketAddr) -> Result<()> {
        unimplemented!("only configurations are read")
    }

    async fn peers(&self) -> Result<(LogPosition, Vec<PeerRegistration>)> {
        unimplemented!("only configurations are read")
    }

    async fn publish_crash_reports(&self, _: &ProcessId, _: &[Evidence]) -> Result<()> {
        unimplemented!("only configurations are read")
    }

    async fn retract_crash_reports(&self, _: &[(ProcessId, EvidenceKey)]) -> Result<()> {
        unimplemented!("only configurations are read")
    }

    async fn crash_reports_from(
        &self,
        _: Option<LogPosition>,
        _: Duration,
    ) -> Result<LogRead<Vec<ReceivedEvidence>>> {
        unimplemented!("only configurations are read")
    }
}

fn config() -> FleetConfig {
    let limits = CallerLimits {
        head_bytes: 16_384,
        body_bytes: 65_536,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    FleetConfig { version: 1, routes: Vec::new(), services: Vec::new(), teams: Vec::new(), limits }
}
