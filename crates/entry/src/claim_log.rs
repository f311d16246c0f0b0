//! The log of idempotency key claims: follows the log and appends claims in batches.

use std::{
    convert::Infallible,
    sync::Arc,
    time::{Duration, SystemTime},
};

use lynxmount_core::{Error, Offset, Result, Step, timed_out, wall_time_ms};
use lynxmount_idempotency::{ActiveClaim, CLAIMS_STREAM, Claim, ClaimBatch, ClaimTable, KeyDigest};
use lynxmount_node::{Counter, NodeHandle};
use lynxmount_platform::{PlatformClient, StreamRead};
use parking_lot::Mutex;
use tokio::sync::{Mutex as AsyncMutex, mpsc, oneshot, watch};

/// How long a read waits for new records.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay before a failed read is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(250);

/// How long to wait until an appended claim has been read back from the log.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the long poll may take to return an appended claim before it is hedged by another read.
const READ_BACK_HEDGE_DELAY: Duration = Duration::from_millis(200);

const _: () = assert!(READ_BACK_HEDGE_DELAY.as_millis() < READ_BACK_TIMEOUT.as_millis());

/// How long a refused request may wait while the log is read for its key.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);

/// The largest number of claims in one append.
const MAX_BATCH_CLAIMS: usize = 256;

type AppendSender = oneshot::Sender<Result<Offset>>;

/// This entry's replica of the claim log, and the queue of claims to append.
pub(crate) struct ClaimLog {
    node: NodeHandle,
    platform: PlatformClient,
    table: Mutex<ClaimTable>,
    applied_to: watch::Sender<Offset>,
    confirm_lock: AsyncMutex<()>,
    append_queue: mpsc::UnboundedSender<(Claim, AppendSender)>,
    queued_claims: AsyncMutex<mpsc::UnboundedReceiver<(Claim, AppendSender)>>,
}

impl ClaimLog {
    pub(crate) fn new(node: NodeHandle, platform: PlatformClient) -> ClaimLog {
        let (append_queue, queued_claims) = mpsc::unbounded_channel();
        ClaimLog {
            node,
            platform,
            table: Mutex::default(),
            applied_to: watch::Sender::new(0),
            confirm_lock: AsyncMutex::default(),
            append_queue,
            queued_claims: AsyncMutex::new(queued_claims),
        }
    }

    /// The active claim of a key, as far as the log has been read.
    pub(crate) fn get(&self, key: &KeyDigest) -> Option<ActiveClaim> {
        self.table.lock().get(key).cloned()
    }

    /// The active claim of a key after reading the log to its current end.
    ///
    /// Fails if the log cannot be read in time.
    pub(crate) async fn get_confirmed(&self, key: &KeyDigest) -> Result<Option<ActiveClaim>> {
        let confirmed = tokio::time::timeout(CONFIRM_TIMEOUT, self.read_to_end()).await;
        confirmed.map_err(|_| timed_out(Step::ReadLog, "platform", "no answer in time"))??;
        Ok(self.get(key))
    }

    /// Reads the log to its end. Calls are serialized, so that each reads only the records that
    /// the call before it has not read.
    async fn read_to_end(&self) -> Result<()> {
        let _guard = self.confirm_lock.lock().await;
        let next = self.table.lock().next_offset();
        self.platform.read_pages_to_end(CLAIMS_STREAM, next, |page| self.apply(page)).await
    }

    /// Appends a claim and returns the active claim of its key, which may be another entry's.
    ///
    /// Fails if the active claim cannot be determined. The claim may still become active then, but
    /// no attempt has been sent under it.
    pub(crate) async fn claim(&self, claim: Claim) -> Result<ActiveClaim> {
        let (sender, receiver) = oneshot::channel();
        let key = claim.key_digest;
        let step = Step::Claim;
        let not_appended = |_| timed_out(step, "platform", "the claim was not appended");
        self.append_queue.send((claim, sender)).map_err(|_| not_appended(()))?;
        // An append whose response is lost is resolved by reading the log, never by a second
        // append.
        match receiver.await.map_err(|_| not_appended(()))? {
            Ok(offset) => self.wait_until_applied(offset).await?,
            Err(error) if had_no_effect(&error) => return Err(error),
            Err(_) => drop(self.get_confirmed(&key).await?),
        }
        self.node.counters().count(Counter::KeysClaimed);
        self.get(&key).ok_or_else(|| timed_out(step, "platform", "the log does not show the claim"))
    }

    /// Follows the log and appends queued claims until the process exits.
    pub(crate) async fn follow(self: Arc<ClaimLog>) {
        tokio::spawn(Arc::clone(&self).append_batches());
        loop {
            let next = self.table.lock().next_offset();
            match self.platform.read(CLAIMS_STREAM, next, LONG_POLL_TIMEOUT).await {
                Ok(page) => self.apply(page),
                Err(_) => tokio::time::sleep(READ_RETRY_DELAY).await,
            }
            self.table.lock().expire(wall_time_ms(SystemTime::now()));
        }
    }

    /// Appends in one batch all claims that were queued during the previous append.
    async fn append_batches(self: Arc<ClaimLog>) {
        let mut queued = self.queued_claims.lock().await;
        let mut batch = Vec::new();
        while queued.recv_many(&mut batch, MAX_BATCH_CLAIMS).await > 0 {
            let (claims, senders): (Vec<Claim>, Vec<AppendSender>) = batch.drain(..).unzip();
            let appended = self.platform.append(CLAIMS_STREAM, &ClaimBatch { claims }).await;
            for sender in senders {
                let _ = sender.send(appended.clone());
            }
        }
    }

    fn apply(&self, read: StreamRead<ClaimBatch>) {
        let mut table = self.table.lock();
        table.skip_to(read.first);
        for record in read.records {
            table.apply(record.offset, record.data);
        }
        // Unreadable records are skipped by all processes alike.
        table.skip_to(read.next);
        self.applied_to.send_replace(table.next_offset());
    }

    async fn wait_until_applied(&self, offset: Offset) -> Result<()> {
        let mut applied_to = self.applied_to.subscribe();
        let applied = applied_to.wait_for(|&next| next > offset);
        let is_applied = tokio::select! {
            result = tokio::time::timeout(READ_BACK_TIMEOUT, applied) => matches!(result, Ok(Ok(_))),
            never = self.hedge_read_back() => match never {},
        };
        let not_shown = || timed_out(Step::Claim, "platform", "the log does not show the claim");
        is_applied.then_some(()).ok_or_else(not_shown)
    }

    /// Hedges the long poll by one read of the log if it has not returned an appended claim in
    /// time, as its response may be lost. Never returns.
    async fn hedge_read_back(&self) -> Infallible {
        tokio::time::sleep(READ_BACK_HEDGE_DELAY).await;
        self.node.counters().count(Counter::ClaimReadsHedged);
        if let Err(error) = self.read_to_end().await {
            log::info!("hedged claim read failed: {error}");
        }
        std::future::pending().await
    }
}

fn had_no_effect(error: &Error) -> bool {
    use lynxmount_core::Cause;
    match error.cause {
        Cause::Invalid | Cause::Refused | Cause::Unreachable => true,
        Cause::Indeterminate | Cause::TimedOut => false,
    }
}
