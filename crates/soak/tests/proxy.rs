//! Tests that the proxy injects the selected link fault and nothing else.

use std::{net::SocketAddr, time::Duration};

use lynxmount_soak::{plan::LinkFault, proxy::Proxy};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Far longer than any step takes; reaching it fails the test.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts an echo server behind a proxy.
async fn echo_behind_proxy() -> Proxy {
    let listener = TcpListener::bind(LOOPBACK).await.expect("a free port");
    let target = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut from, mut to) = stream.split();
                tokio::io::copy(&mut from, &mut to).await
            });
        }
    });
    Proxy::start(LOOPBACK, target).await.expect("a proxy")
}

async fn echo(stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<Vec<u8>> {
    stream.write_all(bytes).await?;
    let mut back = vec![0; bytes.len()];
    tokio::time::timeout(TEST_TIMEOUT, stream.read_exact(&mut back)).await??;
    Ok(back)
}

#[tokio::test]
async fn bytes_and_the_close_are_forwarded_in_both_directions() {
    let proxy = echo_behind_proxy().await;
    let mut stream = TcpStream::connect(proxy.address()).await.expect("a connection");

    let back = echo(&mut stream, b"first").await;
    stream.shutdown().await.expect("the close is sent");
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.expect("the close is forwarded");

    assert_eq!(back.expect("bytes"), b"first");
    assert_eq!(rest, b"");
}

#[tokio::test]
async fn withheld_bytes_are_delivered_once_the_fault_is_cleared() {
    for fault in [LinkFault::Silence, LinkFault::CutForth, LinkFault::CutBack] {
        let proxy = echo_behind_proxy().await;
        let mut stream = TcpStream::connect(proxy.address()).await.expect("a connection");
        echo(&mut stream, b"before").await.expect("bytes");
        proxy.set_fault(Some(fault));
        stream.write_all(b"held").await.expect("the bytes are sent");
        let mut back = [0; 4];
        let early = tokio::time::timeout(Duration::from_millis(80), stream.read(&mut back)).await;

        proxy.set_fault(None);

        assert!(early.is_err(), "{fault:?}");
        let read = tokio::time::timeout(TEST_TIMEOUT, stream.read_exact(&mut back)).await;
        read.expect("in time").expect("bytes");
        assert_eq!(&back, b"held");
    }
}

#[tokio::test]
async fn a_reset_closes_open_connections_and_spares_later_ones() {
    let proxy = echo_behind_proxy().await;
    let mut open = TcpStream::connect(proxy.address()).await.expect("a connection");
    echo(&mut open, b"before").await.expect("bytes");

    proxy.set_fault(Some(LinkFault::Reset));
    proxy.set_fault(None);

    let mut back = [0; 1];
    let read = tokio::time::timeout(TEST_TIMEOUT, open.read(&mut back)).await.expect("in time");
    assert!(!matches!(read, Ok(1)), "{read:?}");
    let mut later = TcpStream::connect(proxy.address()).await.expect("a connection");
    assert_eq!(echo(&mut later, b"after").await.expect("bytes"), b"after");
}
