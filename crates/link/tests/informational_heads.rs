//! Peers that send informational heads before a response.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use lynxmount_link::Connection;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const HEAD: &str = "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n";

/// Bytes that the peer may send in vain, sockets' buffers among them, and when it stops.
const MAX_TAKEN_BYTES: usize = 16 << 20;
const LAST_BYTE: usize = 64 << 20;

/// Starts a peer that sends a number of informational heads, in parts, and then a response. Counts
/// the bytes that it has sent.
async fn start_peer(heads: usize) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("peer starts");
    let address = listener.local_addr().expect("it has an address");
    let sent = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&sent);
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await?;
        stream.read_buf(&mut Vec::new()).await?;
        let mut left = heads;
        while left > 0 && counted.load(Ordering::Relaxed) < LAST_BYTE {
            let part = HEAD.repeat(left.min(1000));
            stream.write_all(part.as_bytes()).await?;
            left -= left.min(1000);
            counted.fetch_add(part.len(), Ordering::Relaxed);
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await
    });
    (address, sent)
}

async fn status_of(address: SocketAddr) -> Option<StatusCode> {
    let connection = Connection::open(address, Duration::from_secs(1)).await;
    let request = Request::get("/").header("host", "peer").body(Full::<Bytes>::default());
    let response = connection.expect("connected").send(request.expect("a request")).await;
    response.ok().map(|response| response.status())
}

/// Guards against a call that waits for a peer which never begins its response.
#[tokio::test]
async fn informational_heads_without_end_break_the_connection() {
    let (address, sent) = start_peer(usize::MAX).await;

    let status = status_of(address).await;

    assert_eq!(status, None);
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent <= MAX_TAKEN_BYTES, "{sent} bytes");
}

#[tokio::test]
async fn response_behind_some_informational_heads_is_received() {
    let (address, _) = start_peer(16).await;

    assert_eq!(status_of(address).await, Some(StatusCode::OK));
}
