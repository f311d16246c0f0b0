//! A receive loop for UDP datagrams.

use std::net::SocketAddr;

use lynxmount_core::Result;
use tokio::net::UdpSocket;

/// Receives datagrams of at most `max_bytes` until the task is dropped, and passes each to
/// `on_datagram`. One that can't be decoded is logged and passed on as an error.
pub async fn receive_datagrams<T>(
    socket: &UdpSocket,
    max_bytes: usize,
    decode: impl Fn(SocketAddr, &[u8]) -> Result<T>,
    mut on_datagram: impl FnMut(SocketAddr, Result<T>),
) {
    let mut bytes = vec![0; max_bytes];
    loop {
        let (length, peer) = match socket.recv_from(&mut bytes).await {
            Ok(received) => received,
            Err(error) => {
                // The error may concern an earlier datagram that was undeliverable (ICMP).
                log::debug!("datagram receive failed: {error}");
                continue;
            }
        };
        let decoded = decode(peer, &bytes[..length]);
        if let Err(error) = &decoded {
            log::warn!(error:% = error; "datagram decode failed");
        }
        on_datagram(peer, decoded);
    }
}
