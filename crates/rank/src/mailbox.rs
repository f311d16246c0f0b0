//! Sending datagrams to the processes beside other engines.

use std::{net::SocketAddr, sync::Arc};

use tokio::net::UdpSocket;

use crate::message::Datagram;

/// The own socket, and the port of others'.
#[derive(Clone, Debug)]
pub(crate) struct Mailbox {
    socket: Arc<UdpSocket>,
    port: u16,
}

impl Mailbox {
    pub(crate) fn new(socket: Arc<UdpSocket>, port: u16) -> Mailbox {
        Mailbox { socket, port }
    }

    /// The process beside an engine.
    pub(crate) fn peer(&self, engine: SocketAddr) -> SocketAddr {
        SocketAddr::new(engine.ip(), self.port)
    }

    /// Sends a datagram.
    pub(crate) async fn send(&self, peer: SocketAddr, datagram: &Datagram) {
        self.send_to_all([peer], datagram).await;
    }

    /// Sends a datagram to each of some processes; returns its size in bytes.
    pub(crate) async fn send_to_all(
        &self,
        peers: impl IntoIterator<Item = SocketAddr>,
        datagram: &Datagram,
    ) -> usize {
        let bytes = match datagram.encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(error:% = error; "a datagram can't be written");
                return 0;
            }
        };
        for peer in peers {
            self.send_bytes(peer, &bytes).await;
        }
        bytes.len()
    }

    /// Sends a datagram that is written already.
    pub(crate) async fn send_bytes(&self, peer: SocketAddr, bytes: &[u8]) {
        if let Err(error) = self.socket.send_to(bytes, peer).await {
            log::debug!(peer:% = peer, error:% = error; "a datagram was not sent");
        }
    }
}
