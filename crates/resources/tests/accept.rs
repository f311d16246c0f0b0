//! Accepting connections within the resource budget.

use std::time::Duration;

use lynxmount_policy::{PeerKind, ResourceLimits};
use lynxmount_resources::{Acceptor, SharedBudget};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const LIMITS: ResourceLimits = ResourceLimits {
    caller_connections: 2,
    internal_connections: 1,
    connection_bytes: 1024 * 1024,
    body_bytes: 1024 * 1024,
    small_body_bytes: 256 * 1024,
};

/// Time limit of accepting; far longer than it takes.
const ACCEPT_LIMIT: Duration = Duration::from_secs(10);

/// Guards against a connection that is accepted and dropped because something else has happened
/// while room was made for it.
#[tokio::test]
async fn a_connection_is_not_lost_if_accepting_is_canceled_while_room_is_made() {
    let budget = SharedBudget::new(LIMITS, |_| {});
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port is bound");
    let address = listener.local_addr().expect("listener has an address");
    let mut acceptor = Acceptor::new(&listener, &budget, PeerKind::Caller);
    let mut held = Vec::new();
    for _ in 0..2 {
        let client = TcpStream::connect(address).await.expect("client connects");
        let accepted = acceptor.accept().await.expect("accepted");
        held.push((client, accepted));
    }
    let mut client = TcpStream::connect(address).await.expect("client connects");

    // Each attempt evicts one of the others.
    for _ in 0..2 {
        let canceled = tokio::time::timeout(Duration::from_millis(20), acceptor.accept()).await;
        assert!(canceled.is_err(), "evicted connections are still open");
    }
    held.clear();
    let accepted = tokio::time::timeout(ACCEPT_LIMIT, acceptor.accept()).await;
    let (mut stream, _connection) = accepted.expect("a connection is pending").expect("accepted");

    stream.write_all(b"x").await.expect("the client is connected");
    let mut byte = [0];
    client.read_exact(&mut byte).await.expect("the connection is open");
    assert_eq!(&byte, b"x");
}
