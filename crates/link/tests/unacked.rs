//! Connections whose peer does not acknowledge data.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use lynxmount_link::Connection;
use tokio::net::TcpSocket;

/// Far more than the socket buffers of both ends hold.
const BODY_BYTES: usize = 64 * 1024 * 1024;

/// Fails the test when reached; much longer than any step takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against calls that wait on a dead connection until their callers disconnect. A peer
/// with a full receive window stands in for one whose acknowledgements are lost.
#[tokio::test]
async fn unacknowledged_data_breaks_a_connection() {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small window");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let listener = socket.listen(1).expect("a listener");
    let address = listener.local_addr().expect("its address");
    let connection = Connection::open_with_reset(address, TEST_TIMEOUT).await;
    let mut connection = connection.expect("a connection");
    let _unread = listener.accept().await.expect("the peer's side");

    let request = Request::new(Full::new(Bytes::from(vec![0; BODY_BYTES])));
    let sent = tokio::time::timeout(TEST_TIMEOUT, connection.send(request)).await;

    assert!(sent.expect("the connection breaks").is_err());
}
