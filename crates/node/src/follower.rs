//! Follows the configuration stream of the platform's log, and asks peers while it is unavailable.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use lynxmount_config::{CONFIG_STREAM, ConfigRecord, ProcessSettings};
use lynxmount_core::{Offset, Result};
use lynxmount_platform::{PlatformClient, StreamRead};
use tokio::{
    sync::{Notify, mpsc},
    task::JoinSet,
};

use crate::{
    control_port::ControlClient,
    control_state::{ConfigRead, Event},
    view::SharedState,
};

/// Wait time of a long poll for new records.
const LONG_POLL_TIME: Duration = Duration::from_secs(5);

/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Number of peers that are asked at the same time.
const MAX_PEERS_ASKED: usize = 3;

/// Follows the configuration for as long as the process runs.
pub(crate) struct Follower {
    pub(crate) settings: ProcessSettings,
    pub(crate) platform: PlatformClient,
    pub(crate) events: mpsc::UnboundedSender<Event>,
    pub(crate) shared: Arc<SharedState>,
    /// Notified when a peer has a newer configuration.
    pub(crate) peer_is_ahead: Arc<Notify>,
}

impl Follower {
    /// Reads the log to its end, then long-polls for new records forever.
    pub(crate) async fn run(self) {
        let peer_query_requested = Notify::new();
        tokio::join!(
            self.follow_log(&peer_query_requested),
            self.follow_peers(&peer_query_requested)
        );
    }

    async fn follow_log(&self, peer_query_requested: &Notify) {
        let mut next = 0;
        let mut wait = Duration::ZERO;
        loop {
            let read = tokio::select! {
                read = self.read(next, wait) => read,
                // A read that does not wait is not canceled, so that it completes however often
                // peers are ahead.
                () = self.peer_is_ahead.notified(), if !wait.is_zero() => {
                    peer_query_requested.notify_one();
                    wait = Duration::ZERO;
                    continue;
                }
            };
            match read {
                Ok(read) => {
                    next = read.next;
                    self.send_records(read);
                    wait = LONG_POLL_TIME;
                }
                Err(error) => {
                    let _ = self.events.send(Event::PlatformFailed(error));
                    peer_query_requested.notify_one();
                    // The first read after a failure does not wait.
                    wait = Duration::ZERO;
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Asks peers beside the reads of the log, as peers that are down respond late.
    async fn follow_peers(&self, peer_query_requested: &Notify) {
        loop {
            peer_query_requested.notified().await;
            self.ask_peers().await;
        }
    }

    async fn read(&self, next: Offset, wait: Duration) -> Result<StreamRead<ConfigRecord>> {
        match wait {
            Duration::ZERO => self.platform.read_to_end(CONFIG_STREAM, next).await,
            wait => self.platform.read(CONFIG_STREAM, next, wait).await,
        }
    }

    /// Sends records to the control thread.
    fn send_records(&self, read: StreamRead<ConfigRecord>) {
        let newest_time_ms = read.records.last().map(|record| record.time_ms);
        let records = read.records.into_iter().map(|record| (record.offset, record.data)).collect();
        let read = ConfigRead { first: read.first, records, newest_time_ms };
        let _ = self.events.send(Event::ConfigRead(read));
    }

    /// Fetches the peers' configurations concurrently: unresponsive peers must not delay the
    /// responses of others.
    async fn ask_peers(&self) {
        let mut tasks = JoinSet::new();
        for peer in self.peers() {
            tasks.spawn(ask_peer(peer, self.events.clone()));
        }
        tasks.join_all().await;
    }

    /// Peers from the settings and from the fleet in force, chosen by rendezvous hashing so
    /// that processes ask different peers.
    fn peers(&self) -> Vec<SocketAddr> {
        let view = self.shared.view.load();
        let fleet = view.config.as_ref().map(|config| Arc::clone(&config.fleet));
        let mut peers = self.settings.peers.clone();
        if let Some(fleet) = fleet {
            peers.extend(fleet.entries.iter().map(|entry| entry.control_address));
            peers.extend(fleet.endpoints.iter().map(|endpoint| endpoint.control_address));
        }
        peers.retain(|peer| *peer != self.settings.control_address);
        peers.sort_unstable();
        peers.dedup();
        let own = self.settings.process_id.to_string();
        let mut ranked: Vec<(String, SocketAddr)> =
            peers.iter().map(|p| (p.to_string(), *p)).collect();
        ranked.sort_by_key(|(name, _)| {
            std::cmp::Reverse(lynxmount_policy::rendezvous_weight(&own, name))
        });
        ranked.into_iter().map(|(_, peer)| peer).take(MAX_PEERS_ASKED).collect()
    }
}

async fn ask_peer(peer: SocketAddr, events: mpsc::UnboundedSender<Event>) {
    let head = match ControlClient::new(peer) {
        Ok(client) => client.config_head().await,
        Err(error) => Err(error),
    };
    if let Ok(Some(head)) = head {
        let _ = events.send(Event::PeerHead { peer, head: Box::new(head) });
    }
}
