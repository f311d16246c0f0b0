//! Responses that are cut at any byte, as all readers of heads get them: engines' reports, peers'
//! state, gossip, health checks and the store go through these two clients.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use lynxmount_core::Step;
use lynxmount_link::{Connection, HttpClient};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const TIMEOUT: Duration = Duration::from_secs(10);

const HEAD: &str = "HTTP/1.1 200 OK\r\nX-Instance-Id: i-0\r\n";

const BODY: &str = "[1,2,3]";

/// A server whose n-th connection gets the first n bytes of a response, and is closed or reset.
async fn start_cutting_server(response: Vec<u8>, is_reset: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        for end in 0..=response.len() {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            stream.read_buf(&mut Vec::new()).await.expect("a request");
            stream.write_all(&response[..end]).await.expect("written");
            if is_reset {
                stream.set_zero_linger().expect("linger is set");
            }
        }
    });
    address
}

fn with_length() -> String {
    format!("{HEAD}Content-Length: {}\r\n\r\n{BODY}", BODY.len())
}

fn in_chunks() -> String {
    let (first, rest) = BODY.split_at(3);
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n{}{}0\r\n\r\n", chunk(first), chunk(rest))
}

/// A response that ends with its connection.
fn until_close() -> String {
    format!("{HEAD}\r\n{BODY}")
}

fn head_bytes(response: &str) -> usize {
    response.find("\r\n\r\n").expect("a head") + 4
}

/// Guards against a success with an empty or short body after a response was cut in its head.
#[tokio::test]
async fn a_cut_response_with_a_length_or_in_chunks_is_an_error() {
    for response in [with_length(), in_chunks()] {
        for is_reset in [false, true] {
            let address = start_cutting_server(response.clone().into_bytes(), is_reset).await;
            for end in 0..response.len() {
                let client = HttpClient::new(address);
                let called =
                    client.call(Step::ControlCall, Method::GET, "/", Bytes::new(), TIMEOUT).await;

                assert!(called.is_err(), "{end} bytes of {response:?}, reset: {is_reset}");
            }
        }
    }
}

#[tokio::test]
async fn a_response_that_is_cut_in_its_head_is_an_error_however_its_body_ends() {
    for response in [with_length(), in_chunks(), until_close()] {
        for is_reset in [false, true] {
            let address = start_cutting_server(response.clone().into_bytes(), is_reset).await;
            for end in 0..head_bytes(&response) {
                let mut connection = Connection::open(address, TIMEOUT).await.expect("connected");
                let request = Request::get("/").header("host", "h").body(Full::default());

                let sent = connection.send(request.expect("a request")).await;

                assert!(sent.is_err(), "{end} bytes of {response:?}, reset: {is_reset}");
            }
        }
    }
}

/// Guards against a shorter JSON document that passes for a whole one.
#[tokio::test]
async fn a_document_that_ends_with_its_connection_is_whole_or_unreadable() {
    let response = until_close();
    let address = start_cutting_server(response.clone().into_bytes(), false).await;
    for end in 0..response.len() {
        let client = HttpClient::new(address);
        let called = client.call(Step::ControlCall, Method::GET, "/", Bytes::new(), TIMEOUT).await;
        let read = called.map(|response| serde_json::from_slice::<Vec<u8>>(&response.body).ok());

        assert!(!matches!(read, Ok(Some(_))), "{end} bytes of {response:?}");
    }
}
