//! Simulates crashes of a stand-in's process: the order in which its sockets close, and what
//! accepts connections afterwards.

use std::{future::Future, sync::Arc, time::Duration};

use parking_lot::Mutex;
use serde::Serialize;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// How a process crashes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub enum CrashKind {
    /// Its connections and its listener close at the same time.
    #[default]
    AllAtOnce,
    /// Its listener closes first.
    ListenerFirst {
        /// The delay until its connections break.
        connections_after: Duration,
    },
    /// Its connections break first, and so does each that is accepted afterwards.
    ListenerLast {
        /// The delay until its listener closes.
        listener_after: Duration,
    },
    /// Its connections break. Another process holds the listening socket, and accepts nothing.
    ListenerHeld,
    /// Its connections break, and a new process serves at its address.
    Restarted,
}

/// The lifecycle of a simulated process; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Lifecycle {
    counts: Arc<watch::Sender<LifecycleCounts>>,
    kind: Arc<Mutex<CrashKind>>,
}

/// How often the process has crashed and restarted.
#[derive(Clone, Copy, Debug, Default)]
struct LifecycleCounts {
    crashes: u32,
    restarts: u32,
}

impl LifecycleCounts {
    fn is_alive(self) -> bool {
        self.restarts >= self.crashes
    }
}

impl Lifecycle {
    /// Sets the kind of the process's next crashes.
    pub fn set_crash_kind(&self, kind: CrashKind) {
        *self.kind.lock() = kind;
    }

    /// Crashes the process unless it is down.
    pub fn crash(&self) {
        let is_restarted = self.kind() == CrashKind::Restarted;
        self.counts.send_if_modified(|counts| {
            let is_alive = counts.is_alive();
            counts.crashes += u32::from(is_alive);
            counts.restarts += u32::from(is_alive && is_restarted);
            is_alive
        });
    }

    /// Restarts a process that has crashed.
    pub fn restart(&self) {
        self.counts.send_modify(|counts| counts.restarts = counts.crashes);
    }

    /// Returns whether the process is running.
    pub fn is_up(&self) -> bool {
        self.counts.borrow().is_alive()
    }

    /// The number of crashes.
    pub fn crash_count(&self) -> u32 {
        self.counts.borrow().crashes
    }

    fn kind(&self) -> CrashKind {
        *self.kind.lock()
    }

    async fn wait_for(&self, condition: impl Fn(LifecycleCounts) -> bool) {
        // The sender lives as long as `self`, so that waiting can't fail.
        let _ = self.counts.subscribe().wait_for(|counts| condition(*counts)).await;
    }

    /// Waits until the connections break that were accepted at these counts.
    async fn wait_until_connections_break(&self, accepted: LifecycleCounts) {
        if !accepted.is_alive() {
            return;
        }
        self.wait_for(|counts| counts.crashes > accepted.crashes).await;
        if let CrashKind::ListenerFirst { connections_after } = self.kind() {
            tokio::time::sleep(connections_after).await;
        }
    }

    /// Waits until the listener stops accepting.
    async fn wait_until_listener_stops(&self) {
        self.wait_for(|counts| !counts.is_alive()).await;
        if let CrashKind::ListenerLast { listener_after } = self.kind() {
            tokio::time::sleep(listener_after).await;
        }
    }

    /// Accepts connections and serves each until a crash breaks it.
    pub async fn accept<F>(self, listener: TcpListener, serve: impl Fn(TcpStream) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let mut listening = Some(listener);
        while let Some(listener) = listening.take() {
            let address = listener.local_addr();
            tokio::select! {
                () = self.accept_from(&listener, &serve) => {}
                () = self.wait_until_listener_stops() => {}
            }
            let held = (self.kind() == CrashKind::ListenerHeld).then_some(listener);
            self.wait_for(LifecycleCounts::is_alive).await;
            listening = match (held, address) {
                (Some(listener), _) => Some(listener),
                // A process whose address is in use by now stays down.
                (None, Ok(address)) => TcpListener::bind(address).await.ok(),
                (None, Err(_)) => None,
            };
        }
    }

    async fn accept_from<F>(&self, listener: &TcpListener, serve: &impl Fn(TcpStream) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        while let Ok((stream, _)) = listener.accept().await {
            let lifecycle = self.clone();
            let accepted = *lifecycle.counts.borrow();
            let serving = serve(stream);
            tokio::spawn(async move {
                tokio::select! {
                    biased;
                    () = lifecycle.wait_until_connections_break(accepted) => {}
                    () = serving => {}
                }
            });
        }
    }
}
