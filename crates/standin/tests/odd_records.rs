//! Reads of a stream in which another writer has left records that can't be read.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use lynxmount_platform::{PlatformClient, StreamRead};
use lynxmount_standin::{PlatformLog, PlatformServer};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const STREAM: &str = "claims";

#[derive(Debug, Deserialize, Eq, PartialEq)]
struct Item {
    n: u64,
}

fn nested_arrays(depth: usize) -> Value {
    (0..depth).fold(json!(1), |inner, _| json!([inner]))
}

/// Serves the same page for ever.
async fn serve_page(records: &str) -> SocketAddr {
    let page = format!(r#"{{"first":0,"end":9,"records":[{records}]}}"#);
    serve(move |_, _| page.clone()).await
}

/// Serves pages that are made from the first offset and the number of records that are asked for.
async fn serve(page: impl Fn(u64, u64) -> String + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port is bound");
    let address = listener.local_addr().expect("listener has an address");
    let page = Arc::new(page);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let page = Arc::clone(&page);
            tokio::spawn(async move {
                let mut request = [0; 4096];
                while let Ok(length @ 1..) = stream.read(&mut request).await {
                    let request = String::from_utf8_lossy(&request[..length]);
                    let page = page(parameter(&request, "from"), parameter(&request, "limit"));
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", page.len());
                    let _ = stream.write_all(head.as_bytes()).await;
                    let _ = stream.write_all(page.as_bytes()).await;
                }
            });
        }
    });
    address
}

/// A number in the query of a request.
fn parameter(request: &str, name: &str) -> u64 {
    let rest = request.split(&format!("{name}=")).nth(1).unwrap_or_default();
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or_default()
}

async fn read(address: SocketAddr, from: u64) -> lynxmount_core::Result<StreamRead<Item>> {
    PlatformClient::new(address).read(STREAM, from, Duration::ZERO).await
}

fn numbers(read: &StreamRead<Item>) -> Vec<(u64, u64)> {
    read.records.iter().map(|record| (record.offset, record.data.n)).collect()
}

/// Guards against a page of which nothing is read as one of its records is nested too deeply.
#[tokio::test]
async fn deeply_nested_records_cost_only_themselves() {
    let log = PlatformLog::default();
    for depth in [3, 125, 126, 1000] {
        log.append(STREAM, json!({"n": depth}));
        log.append(STREAM, nested_arrays(depth));
    }
    log.append(STREAM, json!({"n": 0}));
    let server = PlatformServer::start(([127, 0, 0, 1], 0).into(), log).expect("platform starts");

    let read = read(server.address(), 0).await.expect("the stream is read");

    assert_eq!(numbers(&read), [(0, 3), (2, 125), (4, 126), (6, 1000), (8, 0)]);
    assert_eq!(read.next, 9);
}

#[tokio::test]
async fn records_with_numbers_beyond_all_types_cost_only_themselves() {
    let digits = "9".repeat(400);
    let odd = [
        r#"{"offset":0,"time_ms":1,"data":{"n":1e999}}"#.to_owned(),
        format!(r#"{{"offset":1,"time_ms":1,"data":{{"n":{digits}}}}}"#),
        r#"{"offset":2,"time_ms":1e999,"data":{"n":2}}"#.to_owned(),
        r#"{"offset":3,"time_ms":-1,"data":{"n":3}}"#.to_owned(),
        format!("{}1{}", "[".repeat(100_000), "]".repeat(100_000)),
        r#"{"offset":5,"time_ms":1,"data":{"n":5}}"#.to_owned(),
    ];
    let address = serve_page(&odd.join(",")).await;

    let read = read(address, 0).await.expect("the page is read");

    assert_eq!(numbers(&read), [(5, 5)]);
    assert_eq!(read.next, 6);
}

/// Guards against a reader that loops over a page for good.
#[tokio::test]
async fn a_page_that_brings_a_reader_no_further_is_an_error() {
    for offset in ["0", "18446744073709551615"] {
        let record = format!(r#"{{"offset":{offset},"time_ms":1,"data":{{"n":1}}}}"#);
        let address = serve_page(&record).await;

        let read = read(address, 3).await;

        assert!(read.is_err(), "offset {offset}: {read:?}");
    }
}

#[tokio::test]
async fn a_read_to_the_end_ends_at_a_platform_that_repeats_a_page() {
    let address = serve_page(r#"{"offset":1,"time_ms":1,"data":{"n":1}}"#).await;

    let client = PlatformClient::new(address);
    let read: lynxmount_core::Result<StreamRead<Item>> = client.read_to_end(STREAM, 0).await;

    assert!(read.is_err(), "{read:?}");
}

/// Guards against a reader that never passes more records than a response may have bytes.
#[tokio::test]
async fn records_that_do_not_fit_into_one_response_are_read_in_several() {
    const RECORDS: u64 = 10;
    let log = PlatformLog::default();
    let padding = "a".repeat(1024 * 1024);
    for n in 0..RECORDS {
        log.append(STREAM, json!({"n": n, "padding": padding}));
    }
    let server = PlatformServer::start(([127, 0, 0, 1], 0).into(), log).expect("platform starts");

    let client = PlatformClient::new(server.address());
    let read: StreamRead<Item> = client.read_to_end(STREAM, 0).await.expect("the stream is read");

    assert_eq!(read.next, RECORDS);
    assert_eq!(read.records.len() as u64, RECORDS);
}

#[tokio::test]
async fn a_record_that_no_response_can_hold_is_skipped() {
    const OVERSIZED: u64 = 1;
    let address = serve(|from, limit| {
        if (from..from + limit).contains(&OVERSIZED) {
            return "a".repeat(65 * 1024 * 1024);
        }
        let record = format!(r#"{{"offset":{from},"time_ms":1,"data":{{"n":{from}}}}}"#);
        format!(r#"{{"first":0,"end":3,"records":[{record}]}}"#)
    })
    .await;

    let client = PlatformClient::new(address);
    let read: StreamRead<Item> = client.read_to_end(STREAM, 0).await.expect("the stream is read");

    assert_eq!(numbers(&read), [(0, 0), (2, 2)]);
    assert_eq!(read.next, 3);
}
