//! Gossip of crash reports between entries.
//!
//! Reports are published through the platform, so that entries which start later can read them. An
//! entry that the platform rejects pushes them to three random peers, which forward them.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use lynxmount_core::{
    CrashReport, Evidence, EvidenceKey, LogPosition, ProcessId, ReceivedEvidence, SegmentReport,
    adapter::FleetSource,
};
use lynxmount_link::GossipTopic;
use lynxmount_quarantine::{SharedQuarantine, split};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::{peers::Peers, watch::Reachability};

/// Wait of a long-poll read for new reports; it determines the cost of an idle entry, 6 reads per
/// minute. Connection probes detect dead connections, and other reads that are lost or answered
/// again end the poll. If the platform loses responses to this read alone, it is blind for this time.
const LONG_POLL_WAIT: Duration = Duration::from_secs(10);

/// Pause after a read that returned reports. Several entries report one crash within some 10 ms;
/// with the pause, each entry gets these reports in two reads.
const READ_PAUSE: Duration = Duration::from_millis(300);

/// Delay before a failed read or publication is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// How often expired reports are deleted.
const EXPIRY_PERIOD: Duration = Duration::from_secs(60);

/// Publishes and receives crash reports; shared by the gossip tasks.
pub(crate) struct CrashGossip<S> {
    pub(crate) process: ProcessId,
    pub(crate) source: Arc<S>,
    pub(crate) quarantine: Arc<SharedQuarantine>,
    pub(crate) peers: Arc<Peers>,
    /// Notified when a long poll at the platform may have been lost.
    pub(crate) poll_loss_suspected: Arc<Notify>,
    /// What this process has published evidence against. The platform loses it when its store is
    /// restored from an older copy.
    pub(crate) published: Mutex<BTreeSet<EvidenceKey>>,
}

impl<S: FleetSource> CrashGossip<S> {
    /// Publishes this process's reports until the task is dropped.
    pub(crate) async fn publish(self: Arc<CrashGossip<S>>) {
        let mut reachability = Reachability::new("crash report publication");
        // Each report is pushed to peers once: they forward it, and other peers pull it.
        let mut pushed: HashMap<EvidenceKey, Evidence> = HashMap::new();
        loop {
            self.quarantine.wait_for_unsent().await;
            let reports = self.quarantine.take_unsent();
            match self.source.publish_crash_reports(&self.process, &reports).await {
                Ok(()) => {
                    reachability.on_success();
                    self.published.lock().extend(reports.iter().map(Evidence::key));
                    pushed.clear();
                }
                Err(error) => {
                    reachability.on_failure(&error);
                    self.quarantine.requeue(&reports);
                    let is_new =
                        |evidence: &Evidence| pushed.get(&evidence.key()) != Some(evidence);
                    let new: Vec<Evidence> = reports.into_iter().filter(is_new).collect();
                    pushed.extend(new.iter().map(|evidence| (evidence.key(), evidence.clone())));
                    self.push_to_peers(&new).await;
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn push_to_peers(&self, evidence: &[Evidence]) {
        let (calls, segments) = split(evidence.iter());
        let calls: Vec<CrashReport> = calls.into_iter().cloned().collect();
        let segments: Vec<SegmentReport> = segments.into_iter().cloned().collect();
        tokio::join!(
            self.peers.publish(GossipTopic::CrashReports, &calls),
            self.peers.publish(GossipTopic::SegmentReports, &segments),
        );
    }

    /// Reads all processes' reports from the platform until the task is dropped.
    pub(crate) async fn subscribe(self: Arc<CrashGossip<S>>) {
        let mut reachability = Reachability::new("crash reports");
        let mut from: Option<LogPosition> = None;
        // The first read after a failure does not wait, so that it detects recovery at once.
        let mut wait = Duration::ZERO;
        loop {
            let started_at = Instant::now();
            let read = tokio::select! {
                read = self.source.crash_reports_from(from, wait) => read,
                () = self.poll_loss_suspected.notified() => {
                    wait = Duration::ZERO;
                    continue;
                }
            };
            match read {
                Ok(read) => {
                    let reports = read.value;
                    reachability.on_success();
                    wait = LONG_POLL_WAIT;
                    self.quarantine
                        .merge_from_platform(reports.iter().map(|report| &report.evidence));
                    match from.replace(read.next) {
                        None => self.delete_expired_of_all(&reports).await,
                        Some(_) if read.is_complete => self.publish_again(&reports),
                        Some(_) => {}
                    }
                    let is_early = started_at.elapsed() < READ_PAUSE;
                    if !reports.is_empty() || is_early {
                        tokio::time::sleep(READ_PAUSE).await;
                    }
                }
                Err(error) => {
                    reachability.on_failure(&error);
                    wait = Duration::ZERO;
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Publishes this process's reports again that the platform has lost.
    fn publish_again(&self, current: &[ReceivedEvidence]) {
        let own = current.iter().filter(|report| report.reporter == self.process);
        let own: Vec<&Evidence> = own.map(|report| &report.evidence).collect();
        let published = self.quarantine.evidence_against(&self.published.lock());
        let lost: Vec<Evidence> =
            published.into_iter().filter(|evidence| !own.contains(&evidence)).collect();
        if !lost.is_empty() {
            log::info!(reports = lost.len(); "lost crash reports published again");
            self.quarantine.requeue(&lost);
        }
    }

    /// Deletes expired reports of all processes, as their authors may no longer run.
    async fn delete_expired_of_all(&self, reports: &[ReceivedEvidence]) {
        let expired = reports.iter().filter(|report| self.quarantine.is_expired(&report.evidence));
        let expired: Vec<(ProcessId, EvidenceKey)> = expired
            .map(|report| (ProcessId::clone(&report.reporter), report.evidence.key()))
            .collect();
        self.delete(expired).await;
    }

    /// Deletes expired reports of this process until the task is dropped.
    pub(crate) async fn delete_expired(self: Arc<CrashGossip<S>>) {
        loop {
            tokio::time::sleep(EXPIRY_PERIOD).await;
            let expired = self.quarantine.expire();
            self.published.lock().retain(|key| !expired.contains(key));
            let own = expired.into_iter().map(|key| (ProcessId::clone(&self.process), key));
            self.delete(own.collect()).await;
        }
    }

    async fn delete(&self, expired: Vec<(ProcessId, EvidenceKey)>) {
        if expired.is_empty() {
            return;
        }
        if let Err(error) = self.source.retract_crash_reports(&expired).await {
            // The next entry that starts deletes them.
            log::info!(reports = expired.len(), error:% = error;
                "expired crash reports not deleted");
        }
    }
}
