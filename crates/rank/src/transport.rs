//! Sending datagrams to the endpoint processes of other engines.

use std::{net::SocketAddr, sync::Arc};

use tokio::net::UdpSocket;

use crate::message::Datagram;

/// A UDP socket, and the port that all endpoint processes listen on.
#[derive(Clone, Debug)]
pub(crate) struct Transport {
    socket: Arc<UdpSocket>,
    port: u16,
}

impl Transport {
    pub(crate) fn new(socket: Arc<UdpSocket>, port: u16) -> Transport {
        Transport { socket, port }
    }

    /// The address of an engine's endpoint process.
    pub(crate) fn peer(&self, engine: SocketAddr) -> SocketAddr {
        SocketAddr::new(engine.ip(), self.port)
    }

    pub(crate) async fn send(&self, peer: SocketAddr, datagram: &Datagram) {
        self.send_to_all([peer], datagram).await;
    }

    /// Sends a datagram to each peer; returns its size in bytes.
    pub(crate) async fn send_to_all(
        &self,
        peers: impl IntoIterator<Item = SocketAddr>,
        datagram: &Datagram,
    ) -> usize {
        let bytes = match datagram.encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(error:% = error; "datagram encoding failed");
                return 0;
            }
        };
        for peer in peers {
            self.send_bytes(peer, &bytes).await;
        }
        bytes.len()
    }

    /// Sends an encoded datagram.
    pub(crate) async fn send_bytes(&self, peer: SocketAddr, bytes: &[u8]) {
        if let Err(error) = self.socket.send_to(bytes, peer).await {
            log::debug!(peer:% = peer, error:% = error; "datagram send failed");
        }
    }
}
