//! Connections whose peer acknowledges nothing.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use lynxmount_link::Connection;
use tokio::net::TcpSocket;

/// Far more than the buffers of both ends hold.
const BODY_BYTES: usize = 64 * 1024 * 1024;

/// Far longer than anything waits; reaching it fails the test.
const GIVE_UP_AFTER: Duration = Duration::from_secs(20);

/// Guards against calls that wait on a dead connection until their callers leave. A peer with a
/// full receive window stands in for one whose acknowledgements are lost.
#[tokio::test]
async fn a_connection_breaks_when_its_peer_takes_no_data() {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small window");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let listener = socket.listen(1).expect("a listener");
    let address = listener.local_addr().expect("its address");
    let connection = Connection::open_with_reset(address, GIVE_UP_AFTER).await;
    let mut connection = connection.expect("a connection");
    let _unread = listener.accept().await.expect("the peer's side");

    let request = Request::new(Full::new(Bytes::from(vec![0; BODY_BYTES])));
    let sent = tokio::time::timeout(GIVE_UP_AFTER, connection.send(request)).await;

    assert!(sent.expect("the connection breaks").is_err());
}
