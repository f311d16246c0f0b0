//! Costs of the quarantine for a call and for the network.
//!
//! `cargo bench -p lynxmount-quarantine --bench cost` prints times for each call, and sizes of the
//! messages between entries.

use std::{hint::black_box, time::Instant};

use lynxmount_core::{CallContent, CallFingerprint, CallIdentity, CallPhase, CrashReport};
use lynxmount_quarantine::SharedQuarantine;

const ROUNDS: u32 = 200_000;

fn fingerprint(number: u32, body: &[u8]) -> CallFingerprint {
    let path = format!("/drafts/{number}");
    let content = CallContent { team: None, method: "POST", host: "h", path: &path, body };
    CallFingerprint::of(content)
}

/// A quarantine with evidence against so many calls, two crashes each.
fn quarantine_of(calls: u32) -> SharedQuarantine {
    let quarantine = SharedQuarantine::new(true, "entry");
    for number in 0..calls {
        for crash in 0..2 {
            let incarnation = u64::from(number * 2 + crash);
            quarantine.record_crash(
                incarnation,
                &[(fingerprint(number, b"").into(), CallPhase::Waiting)],
            );
        }
    }
    quarantine
}

fn time_ns(mut operation: impl FnMut(u32)) -> f64 {
    let began = Instant::now();
    (0..ROUNDS).for_each(&mut operation);
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
    let innocent: Vec<CallFingerprint> =
        (0..1000).map(|n| fingerprint(1_000_000 + n, b"")).collect();
    let identities: Vec<CallIdentity> = innocent.iter().map(|call| (*call).into()).collect();
    for known in [0, 20, 4096] {
        let quarantine = quarantine_of(known);
        let lookup_ns = time_ns(|number| {
            let call = &identities[number as usize % identities.len()];
            black_box(quarantine.quarantined_for(call));
        });
        let survival_ns = time_ns(|number| {
            quarantine.record_survival(innocent[number as usize % innocent.len()]);
        });
        println!("{known} known: lookup {lookup_ns:.0} ns, survival {survival_ns:.0} ns a call");
    }
    for crashes in [1, 2, 8] {
        let quarantine = SharedQuarantine::new(true, "entry");
        for incarnation in 0..crashes {
            // Incarnations are hashes.
            let incarnation = u64::MAX / (incarnation + 2);
            quarantine
                .record_crash(incarnation, &[(fingerprint(0, b"").into(), CallPhase::Waiting)]);
        }
        let crash_reports: Vec<CrashReport> = quarantine.crash_reports();
        let record = postcard::to_stdvec(&crash_reports[0].crashes)
            .expect("crashes can be serialized")
            .len();
        let message =
            serde_json::to_vec(&crash_reports).expect("crash reports can be serialized").len();
        println!(
            "{crashes} crashes: record's value {record} bytes, message to a peer {message} bytes"
        );
    }
}
