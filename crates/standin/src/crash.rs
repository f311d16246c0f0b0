//! How the process of a stand-in crashes: in which order its sockets go, and what takes
//! connections afterwards.

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
    /// Its connections and its listener close in one moment.
    #[default]
    AllAtOnce,
    /// Its listener closes first.
    ListenerFirst {
        /// How much later its connections break.
        connections_after: Duration,
    },
    /// Its connections break first, and so does each that is accepted afterwards.
    ListenerLast {
        /// How much later its listener closes.
        listener_after: Duration,
    },
    /// Its connections break. Another process holds the listening socket, and accepts nothing.
    ListenerHeld,
    /// Its connections break, and a new process serves at its address.
    Restarted,
}

/// A process that may crash; clones are one.
#[derive(Clone, Debug, Default)]
pub struct Lifecycle {
    lives: Arc<watch::Sender<Lives>>,
    kind: Arc<Mutex<CrashKind>>,
}

/// How many lives have begun anew, and how many have ended.
#[derive(Clone, Copy, Debug, Default)]
struct Lives {
    crashes: u32,
    restarts: u32,
}

impl Lives {
    fn is_alive(self) -> bool {
        self.restarts >= self.crashes
    }
}

impl Lifecycle {
    /// Sets how the process crashes.
    pub fn set_crash_kind(&self, kind: CrashKind) {
        *self.kind.lock() = kind;
    }

    /// Crashes the process, unless it has crashed.
    pub fn crash(&self) {
        let is_restarted = self.kind() == CrashKind::Restarted;
        self.lives.send_if_modified(|lives| {
            let is_alive = lives.is_alive();
            lives.crashes += u32::from(is_alive);
            lives.restarts += u32::from(is_alive && is_restarted);
            is_alive
        });
    }

    /// Starts a process that has crashed again.
    pub fn restart(&self) {
        self.lives.send_modify(|lives| lives.restarts = lives.crashes);
    }

    /// Says whether a process serves.
    pub fn is_up(&self) -> bool {
        self.lives.borrow().is_alive()
    }

    /// How often the process has crashed.
    pub fn crash_count(&self) -> u32 {
        self.lives.borrow().crashes
    }

    fn kind(&self) -> CrashKind {
        *self.kind.lock()
    }

    async fn wait_for(&self, is_so: impl Fn(Lives) -> bool) {
        // The sender lives as long as this.
        let _ = self.lives.subscribe().wait_for(|lives| is_so(*lives)).await;
    }

    /// Waits until connections break that were accepted in some state.
    async fn until_connections_break(&self, accepted: Lives) {
        if !accepted.is_alive() {
            return;
        }
        self.wait_for(|lives| lives.crashes > accepted.crashes).await;
        if let CrashKind::ListenerFirst { connections_after } = self.kind() {
            tokio::time::sleep(connections_after).await;
        }
    }

    /// Waits until the listener accepts nothing any more.
    async fn until_listener_stops(&self) {
        self.wait_for(|lives| !lives.is_alive()).await;
        if let CrashKind::ListenerLast { listener_after } = self.kind() {
            tokio::time::sleep(listener_after).await;
        }
    }

    /// Accepts connections. Each is served until it breaks.
    pub async fn accept<F>(self, listener: TcpListener, serve: impl Fn(TcpStream) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let mut listening = Some(listener);
        while let Some(listener) = listening.take() {
            let address = listener.local_addr();
            tokio::select! {
                () = self.accept_from(&listener, &serve) => {}
                () = self.until_listener_stops() => {}
            }
            let held = (self.kind() == CrashKind::ListenerHeld).then_some(listener);
            self.wait_for(Lives::is_alive).await;
            listening = match (held, address) {
                (Some(listener), _) => Some(listener),
                // One whose address is taken stays down.
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
            let accepted = *lifecycle.lives.borrow();
            let serving = serve(stream);
            tokio::spawn(async move {
                tokio::select! {
                    biased;
                    () = lifecycle.until_connections_break(accepted) => {}
                    () = serving => {}
                }
            });
        }
    }
}
