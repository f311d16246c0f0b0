//! Taking datagrams from a socket.

use std::net::SocketAddr;

use lynxmount_core::Result;
use tokio::net::UdpSocket;

/// Takes datagrams of at most `max_bytes` until the task is dropped. One that can't
/// be read is told in a line, and handed on as its error.
pub async fn receive_datagrams<T>(
    socket: &UdpSocket,
    max_bytes: usize,
    decode: impl Fn(SocketAddr, &[u8]) -> Result<T>,
    mut take: impl FnMut(SocketAddr, Result<T>),
) {
    let mut bytes = vec![0; max_bytes];
    loop {
        let (length, peer) = match socket.recv_from(&mut bytes).await {
            Ok(received) => received,
            Err(error) => {
                // An earlier datagram may have come back as undeliverable.
                log::debug!("nothing received: {error}");
                continue;
            }
        };
        let decoded = decode(peer, &bytes[..length]);
        if let Err(error) = &decoded {
            log::warn!(error:% = error; "a datagram can't be read");
        }
        take(peer, decoded);
    }
}
