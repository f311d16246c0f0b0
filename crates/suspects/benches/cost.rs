//! What holding calls back costs a call and a node.
//!
//! `cargo bench -p lynxmount-suspects --bench cost` prints times for each call, and bytes of
//! what entries tell each other.

use std::{hint::black_box, time::Instant};

use lynxmount_core::{CallContent, CallFingerprint, CallPhase, Suspicion};
use lynxmount_suspects::SharedQuarantine;

const ROUNDS: u32 = 200_000;

fn fingerprint(number: u32, body: &[u8]) -> CallFingerprint {
    let path = format!("/drafts/{number}");
    let content = CallContent { team: None, method: "POST", host: "h", path: &path, body };
    CallFingerprint::of(content)
}

/// SharedQuarantine of which as many calls are known, each by two ends.
fn suspects(calls: u32) -> SharedQuarantine {
    let suspects = SharedQuarantine::new(true);
    for number in 0..calls {
        for end in 0..2 {
            let life = u64::from(number * 2 + end);
            suspects.record_crash(life, &[(fingerprint(number, b""), CallPhase::Waiting)]);
        }
    }
    suspects
}

fn time_ns(mut work: impl FnMut(u32)) -> f64 {
    let began = Instant::now();
    (0..ROUNDS).for_each(&mut work);
    began.elapsed().as_nanos() as f64 / f64::from(ROUNDS)
}

fn main() {
    for bytes in [0, 1000, 4000, 100_000] {
        let body = vec![b'x'; bytes];
        let ns = time_ns(|number| {
            black_box(fingerprint(number, &body));
        });
        println!("fingerprint, body of {bytes} bytes: {ns:.0} ns");
    }
    let asked: Vec<CallFingerprint> = (0..1000).map(|n| fingerprint(1_000_000 + n, b"")).collect();
    for known in [0, 20, 4096] {
        let suspects = suspects(known);
        let held_ns = time_ns(|number| {
            black_box(suspects.quarantined_for(&asked[number as usize % asked.len()]));
        });
        let answered_ns = time_ns(|number| {
            suspects.record_survival(asked[number as usize % asked.len()]);
        });
        println!("{known} known: asked {held_ns:.0} ns, answered {answered_ns:.0} ns a call");
    }
    for ends in [1, 2, 8] {
        let suspects = SharedQuarantine::new(true);
        for life in 0..ends {
            // Lives are hashes.
            let life = u64::MAX / (life + 2);
            suspects.record_crash(life, &[(fingerprint(0, b""), CallPhase::Waiting)]);
        }
        let known: Vec<Suspicion> = suspects.suspicions();
        let record = postcard::to_stdvec(&known[0].ends).expect("ends are written").len();
        let message = serde_json::to_vec(&known).expect("suspicions are written").len();
        println!("{ends} ends: record's value {record} bytes, message to a peer {message} bytes");
    }
}
