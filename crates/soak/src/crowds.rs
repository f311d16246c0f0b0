//! Crowds of clients that don't behave: they keep connections, and stop before the end of a request.

use std::{net::SocketAddr, time::Duration};

use lynxmount_platform_standin::fixture::{HOST, IDEMPOTENT};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use serde::Serialize;
use tokio::{io::AsyncWriteExt, net::TcpStream, task::JoinSet};

use crate::plan::{Fault, FaultKind, LENGTH_MS, Size};

/// The mean gap between two crowds, in milliseconds.
const CROWD_GAP_MS: u64 = 3000;

/// The clients of a crowd: more than an entry has connections for, in the largest ones.
const CLIENTS: std::ops::Range<usize> = 50..500;

/// Separates the random sequence of crowds from the others of a seed.
const CROWD_SEED: u64 = 0x4352_4f57_4453;

/// What the clients of a crowd send before they only keep their connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum CrowdKind {
    /// A request whose body lacks its last byte.
    Body,
    /// The start of a request head.
    Head,
    /// A whole request.
    Request,
    /// Nothing.
    Silent,
}

impl CrowdKind {
    fn bytes(self) -> String {
        let host = format!("Host: {HOST}\r\n");
        match self {
            CrowdKind::Body => {
                let body = "b".repeat(999);
                format!("POST /{IDEMPOTENT}/7 HTTP/1.1\r\n{host}Content-Length: 1000\r\n\r\n{body}")
            }
            CrowdKind::Head => {
                format!("GET /{IDEMPOTENT}/7 HTTP/1.1\r\n{host}X-Padding: {}", "a".repeat(15_000))
            }
            CrowdKind::Request => format!("GET /nowhere/ HTTP/1.1\r\n{host}\r\n"),
            CrowdKind::Silent => String::new(),
        }
    }
}

/// Draws crowds from a random sequence of their own, so that the other faults of a seed do not depend
/// on them.
pub(crate) fn draw_crowds(seed: u64, size: Size, time: Duration) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ CROWD_SEED);
    let kinds = [CrowdKind::Body, CrowdKind::Head, CrowdKind::Request, CrowdKind::Silent];
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(0..CROWD_GAP_MS));
    while at < time {
        let crowd = *kinds.choose(&mut rng).expect("not empty");
        let entry = rng.random_range(0..size.entries);
        let kind = FaultKind::Crowd { entry, clients: rng.random_range(CLIENTS), crowd };
        let length = Duration::from_millis(rng.random_range(LENGTH_MS));
        faults.push(Fault { at, length, kind });
        at += Duration::from_millis(rng.random_range(0..2 * CROWD_GAP_MS));
    }
    faults
}

/// Keeps a crowd at an address for some time.
pub(crate) async fn keep_crowd(
    address: SocketAddr,
    clients: usize,
    crowd: CrowdKind,
    length: Duration,
) {
    let mut running = JoinSet::new();
    for _ in 0..clients {
        running.spawn(async move {
            let Ok(mut stream) = TcpStream::connect(address).await else { return };
            // The entry may close the connection at any time.
            let _ = stream.write_all(crowd.bytes().as_bytes()).await;
            std::future::pending::<()>().await;
        });
    }
    tokio::time::sleep(length).await;
}
