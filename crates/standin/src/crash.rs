//! How the process of a stand-in crashes: in which order its sockets go, and what takes
//! connections afterwards.

use std::{future::Future, sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// How a process crashes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
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
    crashes: Arc<watch::Sender<u32>>,
    kind: Arc<Mutex<CrashKind>>,
}

impl Lifecycle {
    /// Sets how the process crashes.
    pub fn set_kind(&self, kind: CrashKind) {
        *self.kind.lock() = kind;
    }

    /// Crashes the process.
    pub fn crash(&self) {
        self.crashes.send_modify(|crashes| *crashes += 1);
    }

    /// How often the process has crashed.
    pub fn crashes(&self) -> u32 {
        *self.crashes.borrow()
    }

    fn kind(&self) -> CrashKind {
        *self.kind.lock()
    }

    async fn until_crashes(&self, least: u32) {
        // The sender lives as long as this.
        let _ = self.crashes.subscribe().wait_for(|crashes| *crashes >= least).await;
    }

    /// Waits until connections break that were accepted after some crashes.
    async fn until_connections_break(&self, crashes: u32) {
        let is_dead = crashes > 0 && self.kind() != CrashKind::Restarted;
        if is_dead {
            return;
        }
        self.until_crashes(crashes + 1).await;
        if let CrashKind::ListenerFirst { connections_after } = self.kind() {
            tokio::time::sleep(connections_after).await;
        }
    }

    /// Waits until the listener accepts nothing any more.
    async fn until_listener_stops(&self) {
        self.until_crashes(1).await;
        match self.kind() {
            CrashKind::AllAtOnce | CrashKind::ListenerFirst { .. } | CrashKind::ListenerHeld => {}
            CrashKind::ListenerLast { listener_after } => tokio::time::sleep(listener_after).await,
            CrashKind::Restarted => std::future::pending().await,
        }
    }

    /// Accepts connections until the listener closes. Each is served until it breaks.
    pub async fn accept<F>(self, listener: TcpListener, serve: impl Fn(TcpStream) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let accepting = async {
            while let Ok((stream, _)) = listener.accept().await {
                let lifecycle = self.clone();
                let crashes = lifecycle.crashes();
                let serving = serve(stream);
                tokio::spawn(async move {
                    tokio::select! {
                        biased;
                        () = lifecycle.until_connections_break(crashes) => {}
                        () = serving => {}
                    }
                });
            }
        };
        tokio::select! {
            () = accepting => {}
            () = self.until_listener_stops() => {}
        }
        if self.kind() == CrashKind::ListenerHeld {
            std::future::pending::<()>().await;
        }
        drop(listener);
    }
}
