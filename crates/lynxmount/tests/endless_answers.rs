//! Ordinary calls beside a back end that sends bytes without end, on the product's own path.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{Fleet, FleetOptions, PLAIN_SERVICE};
use futures::future::join_all;
use http::{Method, StatusCode};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Answers to a load probe.
const LOAD: &str = "{\"running\":0,\"waiting\":0}";

/// Bytes that are sent at a time.
const PART_BYTES: usize = 64 * 1024;

/// Rounds of calls, and calls at a time.
const ROUNDS: usize = 12;
const CALLS_AT_A_TIME: usize = 20;

/// The pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(250);

/// The part of the calls that may fail: those by which the endpoint is found to fail, and trials
/// after its ejections.
const MAX_FAILED_FRACTION: f64 = 0.1;

/// What is sent without end, behind the beginning of an answer.
#[derive(Clone, Copy, Debug)]
enum Endless {
    Garbage,
    HeaderLine,
    HeaderLines,
    Trailers,
}

impl Endless {
    fn beginning(self) -> &'static str {
        match self {
            Endless::Garbage => "",
            Endless::HeaderLine => "HTTP/1.1 200 OK\r\nx-line: ",
            Endless::HeaderLines => "HTTP/1.1 200 OK\r\n",
            Endless::Trailers => "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        }
    }

    fn part(self) -> String {
        match self {
            Endless::Garbage => "\u{1}garbage".repeat(PART_BYTES / 8),
            Endless::HeaderLine => "x".repeat(PART_BYTES),
            Endless::HeaderLines | Endless::Trailers => "x-more: 1\r\n".repeat(PART_BYTES / 11),
        }
    }
}

/// Starts a back end that reports its load, and answers all else without end.
async fn start_endless_backend(address: SocketAddr, endless: Endless) -> SocketAddr {
    let listener = TcpListener::bind(address).await.expect("back end starts");
    let address = listener.local_addr().expect("it has an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            // The caller closes the connection.
            tokio::spawn(async move { answer(stream, endless).await.ok() });
        }
    });
    address
}

async fn answer(mut stream: TcpStream, endless: Endless) -> std::io::Result<()> {
    let mut request = Vec::new();
    while stream.read_buf(&mut request).await? > 0 {
        let head = String::from_utf8_lossy(&request).into_owned();
        if !head.contains("\r\n\r\n") {
            continue;
        }
        request.clear();
        if head.starts_with("GET /load") {
            let length = LOAD.len();
            let report = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{LOAD}"
            );
            stream.write_all(report.as_bytes()).await?;
            continue;
        }
        stream.write_all(endless.beginning().as_bytes()).await?;
        let part = endless.part();
        loop {
            stream.write_all(part.as_bytes()).await?;
        }
    }
    Ok(())
}

/// Statuses of lookups, some at a time.
async fn lookups(fleet: &Fleet) -> Vec<Option<StatusCode>> {
    let path = format!("/{PLAIN_SERVICE}/lookup");
    let mut statuses = Vec::new();
    for _ in 0..ROUNDS {
        let calls = (0..CALLS_AT_A_TIME).map(|_| {
            let caller = fleet.caller(0);
            let path = path.clone();
            async move { caller.call(Method::GET, &path, &[], "").await.ok() }
        });
        let answers = join_all(calls).await.into_iter();
        statuses.extend(answers.map(|answer| answer.map(|answer| answer.status)));
        tokio::time::sleep(ROUND_PAUSE).await;
    }
    statuses
}

/// Guards against an endpoint that gets most calls because it fails at once, and so looks free.
#[tokio::test(flavor = "multi_thread")]
async fn lookups_are_answered_beside_a_back_end_that_sends_bytes_without_end() {
    let plays = [Endless::Garbage, Endless::HeaderLine, Endless::HeaderLines, Endless::Trailers];
    let plays = plays.map(|endless| async move {
        let options =
            FleetOptions { entries: 1, engines: 0, plain_services: 2, ..FleetOptions::default() };
        let mut fleet = Fleet::start_without_config(options).await;
        let backend = start_endless_backend(fleet.address(0), endless).await;
        fleet.options.first_plain_backend = Some(backend);
        fleet.start_serving().await;
        (endless, lookups(&fleet).await)
    });

    let plays = join_all(plays).await;

    let failed = plays.iter().map(|(endless, statuses)| {
        let is_failed = |status: &&Option<StatusCode>| **status != Some(StatusCode::OK);
        (endless, statuses.iter().filter(is_failed).count())
    });
    let failed: Vec<_> = failed.collect();
    let max_failed = MAX_FAILED_FRACTION * (ROUNDS * CALLS_AT_A_TIME) as f64;
    assert!(failed.iter().all(|(_, failed)| *failed as f64 <= max_failed), "{failed:?}");
}
