//! A key runs at most once, whoever claims it and whoever dies.

use std::time::Duration;

use lynxmount_core::{Incarnation, Offset};
use lynxmount_idempotency::{
    Admission, Claim, ClaimBatch, ClaimTable, DEDUP_WINDOW, DedupOptions, DedupTable, KeyDigest,
    key_digest, request_digest,
};
use proptest::{prelude::*, test_runner::RngSeed};
use uuid::Uuid;

const NOW_MS: u64 = 1_000_000_000;

fn incarnation(number: u128) -> Incarnation {
    Uuid::from_u128(number)
}

fn key(name: &str) -> KeyDigest {
    key_digest("handlers", "claims", name.as_bytes())
}

fn claim(name: &str, at: u128, replaces: Option<Offset>) -> Claim {
    Claim {
        key_digest: key(name),
        request_digest: request_digest("POST", "/estimates", b"{}"),
        endpoint: "claims-1".into(),
        incarnation: incarnation(at),
        claimed_at_ms: NOW_MS,
        replaces,
    }
}

fn batch(claims: &[Claim]) -> ClaimBatch {
    ClaimBatch { claims: claims.to_vec() }
}

fn ledger(max_keys: usize) -> DedupTable {
    DedupTable::new(incarnation(1), DedupOptions { max_keys })
}

fn admit(ledger: &mut DedupTable, name: &str, body: &[u8], now_ms: u64) -> Admission {
    let request = request_digest("POST", "/estimates", body);
    ledger.admit(key(name), request, incarnation(1), NOW_MS, now_ms)
}

#[test]
fn the_first_claim_counts() {
    let mut table = ClaimTable::default();

    table.apply(0, batch(&[claim("a", 1, None)]));
    table.apply(1, batch(&[claim("a", 2, None)]));

    assert_eq!(table.get(&key("a")).map(|s| s.claim.incarnation), Some(incarnation(1)));
}

#[test]
fn a_claim_is_replaced_only_by_one_that_names_it() {
    let mut table = ClaimTable::default();
    table.apply(3, batch(&[claim("a", 1, None)]));

    table.apply(4, batch(&[claim("a", 2, Some(2))]));
    assert_eq!(table.get(&key("a")).map(|s| s.offset), Some(3));

    table.apply(5, batch(&[claim("a", 2, Some(3))]));
    table.apply(6, batch(&[claim("a", 3, Some(3))]));
    assert_eq!(table.get(&key("a")).map(|s| s.offset), Some(5));
}

#[test]
fn keys_of_different_teams_and_services_differ() {
    let keys = [
        key_digest("ab", "c", b"k"),
        key_digest("a", "bc", b"k"),
        key_digest("a", "b", b"ck"),
        key_digest("a", "b", b"k"),
    ];

    for (index, key) in keys.iter().enumerate() {
        assert!(!keys[index + 1..].contains(key));
    }
}

#[test]
fn a_key_runs_once_and_is_attached_to_afterwards() {
    let mut ledger = ledger(10);

    assert_eq!(admit(&mut ledger, "a", b"{}", NOW_MS), Admission::Run);
    assert_eq!(admit(&mut ledger, "a", b"{}", NOW_MS), Admission::Attach);
    assert_eq!(admit(&mut ledger, "a", b"other", NOW_MS), Admission::KeyReused);
}

#[test]
fn a_key_of_another_incarnation_is_refused() {
    let mut ledger = ledger(10);
    let request = request_digest("POST", "/estimates", b"{}");

    let admission = ledger.admit(key("a"), request, incarnation(2), NOW_MS, NOW_MS);

    assert_eq!(admission, Admission::NotBoundHere);
}

#[test]
fn a_revoked_key_never_runs() {
    let mut ledger = ledger(10);
    admit(&mut ledger, "a", b"{}", NOW_MS);

    ledger.revoke_unstarted(&key("a"));

    assert_eq!(admit(&mut ledger, "a", b"{}", NOW_MS), Admission::Revoked);
}

#[test]
fn a_full_ledger_refuses_rather_than_forgets() {
    let mut ledger = ledger(1);
    admit(&mut ledger, "a", b"{}", NOW_MS);

    assert_eq!(admit(&mut ledger, "b", b"{}", NOW_MS), Admission::Full);
    assert_eq!(admit(&mut ledger, "a", b"{}", NOW_MS), Admission::Attach);
}

#[test]
fn a_key_is_never_run_again_however_late_its_dispatch_arrives() {
    let mut ledger = ledger(10);
    admit(&mut ledger, "a", b"{}", NOW_MS);
    let window_ms = DEDUP_WINDOW.as_millis() as u64;

    for later_ms in (0..3 * window_ms).step_by(60_000) {
        let admission = admit(&mut ledger, "a", b"{}", NOW_MS + later_ms);
        assert!(matches!(admission, Admission::Attach | Admission::NotBoundHere), "{later_ms} ms");
    }
    assert!(ledger.is_empty());
}

#[test]
fn claims_are_forgotten_only_long_after_no_endpoint_runs_them() {
    let mut table = ClaimTable::default();
    table.apply(0, batch(&[claim("a", 1, None)]));
    let after = |duration: Duration| NOW_MS + duration.as_millis() as u64;

    table.expire(after(DEDUP_WINDOW + DEDUP_WINDOW / 2));
    assert_eq!(table.len(), 1);
    table.expire(after(DEDUP_WINDOW * 2));
    assert!(table.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Every entry comes to the same claims, also one whose reads overlap.
    #[test]
    fn all_readers_agree_on_the_claim_that_counts(
        log in prop::collection::vec((0..3_u8, 1..5_u128, prop::option::of(0..12_u64)), 1..12),
        reread in 0..12_usize,
    ) {
        let batches: Vec<ClaimBatch> = log
            .iter()
            .map(|(name, at, replaces)| batch(&[claim(&name.to_string(), *at, *replaces)]))
            .collect();
        let (mut straight, mut overlapping) = (ClaimTable::default(), ClaimTable::default());

        for (offset, batch) in batches.iter().enumerate() {
            straight.apply(offset as Offset, batch.clone());
            let read = batches.iter().enumerate().take(offset + 1);
            for (again, batch) in read.skip(offset.saturating_sub(reread)) {
                overlapping.apply(again as Offset, batch.clone());
            }
        }

        for name in 0..3_u8 {
            let key = key(&name.to_string());
            prop_assert_eq!(straight.get(&key), overlapping.get(&key));
        }
    }
}
