//! Claims of idempotency keys: reading the log, and appending in batches.

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use lynxmount_core::{Error, Offset, Result, Step, timed_out, wall_time_ms};
use lynxmount_idempotency::{ActiveClaim, CLAIMS_STREAM, Claim, ClaimBatch, ClaimTable, KeyDigest};
use lynxmount_node::{Counter, NodeHandle};
use lynxmount_platform::{Page, PlatformClient};
use parking_lot::Mutex;
use tokio::sync::{Mutex as AsyncMutex, mpsc, oneshot, watch};

/// How long a read waits for a new record.
const LONG_POLL: Duration = Duration::from_secs(5);

/// The pause after a failed read.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(250);

/// How long to wait for the log to show a claim that was appended.
const SHOW_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a refused caller may be kept while its key is looked up.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);

/// How many claims go into one append.
const MAX_BATCH: usize = 256;

type Appended = oneshot::Sender<Result<Offset>>;

/// What this entry knows of claims.
pub(crate) struct Claims {
    node: NodeHandle,
    platform: PlatformClient,
    table: Mutex<ClaimTable>,
    read_to: watch::Sender<Offset>,
    confirming: AsyncMutex<()>,
    to_append: mpsc::UnboundedSender<(Claim, Appended)>,
    batches: AsyncMutex<mpsc::UnboundedReceiver<(Claim, Appended)>>,
}

impl Claims {
    pub(crate) fn new(node: NodeHandle, platform: PlatformClient) -> Claims {
        let (to_append, batches) = mpsc::unbounded_channel();
        Claims {
            node,
            platform,
            table: Mutex::default(),
            read_to: watch::Sender::new(0),
            confirming: AsyncMutex::default(),
            to_append,
            batches: AsyncMutex::new(batches),
        }
    }

    /// The claim that counts for a key, as far as the log was read.
    pub(crate) fn get(&self, key: &KeyDigest) -> Option<ActiveClaim> {
        self.table.lock().get(key).cloned()
    }

    /// The claim that counts for a key, as of now.
    ///
    /// Fails if the log can't be read in time.
    pub(crate) async fn get_confirmed(&self, key: &KeyDigest) -> Result<Option<ActiveClaim>> {
        let confirmed = tokio::time::timeout(CONFIRM_TIMEOUT, self.read_to_end()).await;
        confirmed.map_err(|_| timed_out(Step::ReadLog, "platform", "no answer in time"))??;
        Ok(self.get(key))
    }

    /// Reads the log to its end. Requests that wait for their turn find what the one before
    /// them has read.
    async fn read_to_end(&self) -> Result<()> {
        let _turn = self.confirming.lock().await;
        let next = self.table.lock().next_offset();
        let page = self.platform.read_to_end(CLAIMS_STREAM, next).await?;
        self.take(page);
        Ok(())
    }

    /// Appends a claim and returns the one that counts for its key.
    ///
    /// Fails if that can't be learnt. The claim may still count then, but
    /// nobody has acted on it.
    pub(crate) async fn claim(&self, claim: Claim) -> Result<ActiveClaim> {
        let (sender, receiver) = oneshot::channel();
        let key = claim.key_digest;
        let step = Step::Claim;
        let gone = |_| timed_out(step, "platform", "the claim was not appended");
        self.to_append.send((claim, sender)).map_err(|_| gone(()))?;
        // An append whose answer is lost is resolved by reading, never by a
        // second append.
        match receiver.await.map_err(|_| gone(()))? {
            Ok(offset) => self.wait_for(offset).await?,
            Err(error) if was_not_appended(&error) => return Err(error),
            Err(_) => drop(self.get_confirmed(&key).await?),
        }
        self.node.counters().count(Counter::KeysClaimed);
        self.get(&key).ok_or_else(|| timed_out(step, "platform", "the log does not show the claim"))
    }

    /// Reads the log and appends claims for as long as the process runs.
    pub(crate) async fn follow(self: Arc<Claims>) {
        tokio::spawn(Arc::clone(&self).append_batches());
        loop {
            let next = self.table.lock().next_offset();
            match self.platform.read(CLAIMS_STREAM, next, LONG_POLL).await {
                Ok(page) => self.take(page),
                Err(_) => tokio::time::sleep(PAUSE_AFTER_FAILURE).await,
            }
            self.table.lock().expire(wall_time_ms(SystemTime::now()));
        }
    }

    /// Appends what has gathered while the last append was under way.
    async fn append_batches(self: Arc<Claims>) {
        let mut waiting = self.batches.lock().await;
        let mut batch = Vec::new();
        while waiting.recv_many(&mut batch, MAX_BATCH).await > 0 {
            let (claims, senders): (Vec<Claim>, Vec<Appended>) = batch.drain(..).unzip();
            let appended = self.platform.append(CLAIMS_STREAM, &ClaimBatch { claims }).await;
            for sender in senders {
                let _ = sender.send(appended.clone());
            }
        }
    }

    fn take(&self, page: Page) {
        let mut table = self.table.lock();
        table.skip_to(page.first);
        for record in page.records {
            // A record that is no claim has no effect at any process.
            let batch = serde_json::from_value(record.data);
            table.apply(record.offset, batch.unwrap_or(ClaimBatch { claims: Vec::new() }));
        }
        self.read_to.send_replace(table.next_offset());
    }

    async fn wait_for(&self, offset: Offset) -> Result<()> {
        let mut read_to = self.read_to.subscribe();
        let shown = read_to.wait_for(|&next| next > offset);
        match tokio::time::timeout(SHOW_TIMEOUT, shown).await {
            Ok(Ok(_)) => Ok(()),
            _ => Err(timed_out(Step::Claim, "platform", "the log does not show the claim")),
        }
    }
}

fn was_not_appended(error: &Error) -> bool {
    use lynxmount_core::Cause;
    match error.cause {
        Cause::Invalid | Cause::Refused | Cause::Unreachable => true,
        Cause::Indeterminate | Cause::TimedOut => false,
    }
}
