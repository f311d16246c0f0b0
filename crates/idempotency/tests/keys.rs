//! The claim table and the deduplication table: a key runs at most once.

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

fn claim(name: &str, incarnation_number: u128, replaces: Option<Offset>) -> Claim {
    Claim {
        key_digest: key(name),
        request_digest: request_digest("POST", "/estimates", b"{}"),
        endpoint: "claims-1".into(),
        incarnation: incarnation(incarnation_number),
        claimed_at_ms: NOW_MS,
        replaces,
    }
}

fn batch(claims: &[Claim]) -> ClaimBatch {
    ClaimBatch { claims: claims.to_vec() }
}

fn dedup_table(max_keys: usize) -> DedupTable {
    DedupTable::new(incarnation(1), DedupOptions { max_keys })
}

fn admit(table: &mut DedupTable, name: &str, body: &[u8], now_ms: u64) -> Admission {
    let request = request_digest("POST", "/estimates", body);
    table.admit(key(name), request, incarnation(1), NOW_MS, now_ms)
}

#[test]
fn the_first_claim_wins() {
    let mut table = ClaimTable::default();

    table.apply(0, batch(&[claim("a", 1, None)]));
    table.apply(1, batch(&[claim("a", 2, None)]));

    assert_eq!(table.get(&key("a")).map(|active| active.claim.incarnation), Some(incarnation(1)));
}

#[test]
fn a_claim_is_only_replaced_by_one_that_names_its_offset() {
    let mut table = ClaimTable::default();
    table.apply(3, batch(&[claim("a", 1, None)]));

    table.apply(4, batch(&[claim("a", 2, Some(2))]));
    assert_eq!(table.get(&key("a")).map(|active| active.offset), Some(3));

    table.apply(5, batch(&[claim("a", 2, Some(3))]));
    table.apply(6, batch(&[claim("a", 3, Some(3))]));
    assert_eq!(table.get(&key("a")).map(|active| active.offset), Some(5));
}

#[test]
fn digests_of_different_teams_services_and_keys_differ() {
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
fn a_key_runs_once_and_later_requests_attach() {
    let mut table = dedup_table(10);

    assert_eq!(admit(&mut table, "a", b"{}", NOW_MS), Admission::Run);
    assert_eq!(admit(&mut table, "a", b"{}", NOW_MS), Admission::Attach);
    assert_eq!(admit(&mut table, "a", b"other", NOW_MS), Admission::KeyReused);
}

#[test]
fn a_key_of_another_incarnation_is_refused() {
    let mut table = dedup_table(10);
    let request = request_digest("POST", "/estimates", b"{}");

    let admission = table.admit(key("a"), request, incarnation(2), NOW_MS, NOW_MS);

    assert_eq!(admission, Admission::NotBoundHere);
}

#[test]
fn a_revoked_key_never_runs() {
    let mut table = dedup_table(10);
    admit(&mut table, "a", b"{}", NOW_MS);

    table.revoke_unstarted(&key("a"));

    assert_eq!(admit(&mut table, "a", b"{}", NOW_MS), Admission::Revoked);
}

#[test]
fn a_full_table_refuses_new_keys_rather_than_evict_one() {
    let mut table = dedup_table(1);
    admit(&mut table, "a", b"{}", NOW_MS);

    assert_eq!(admit(&mut table, "b", b"{}", NOW_MS), Admission::Full);
    assert_eq!(admit(&mut table, "a", b"{}", NOW_MS), Admission::Attach);
}

#[test]
fn a_key_never_runs_again_however_late_a_dispatch_arrives() {
    let mut table = dedup_table(10);
    admit(&mut table, "a", b"{}", NOW_MS);
    let window_ms = DEDUP_WINDOW.as_millis() as u64;

    for delay_ms in (0..3 * window_ms).step_by(60_000) {
        let admission = admit(&mut table, "a", b"{}", NOW_MS + delay_ms);
        assert!(matches!(admission, Admission::Attach | Admission::NotBoundHere), "{delay_ms} ms");
    }
    assert!(table.is_empty());
}

#[test]
fn claims_are_kept_longer_than_any_endpoint_runs_them() {
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

    /// All readers reach the same active claims, even if their reads overlap.
    #[test]
    fn all_readers_agree_on_the_active_claim(
        log in prop::collection::vec((0..3_u8, 1..5_u128, prop::option::of(0..12_u64)), 1..12),
        reread in 0..12_usize,
    ) {
        let batches: Vec<ClaimBatch> = log
            .iter()
            .map(|(name, number, replaces)| batch(&[claim(&name.to_string(), *number, *replaces)]))
            .collect();
        let (mut in_order, mut overlapping) = (ClaimTable::default(), ClaimTable::default());

        for (offset, batch) in batches.iter().enumerate() {
            in_order.apply(offset as Offset, batch.clone());
            let read = batches.iter().enumerate().take(offset + 1);
            for (reread_offset, batch) in read.skip(offset.saturating_sub(reread)) {
                overlapping.apply(reread_offset as Offset, batch.clone());
            }
        }

        for name in 0..3_u8 {
            let key = key(&name.to_string());
            prop_assert_eq!(in_order.get(&key), overlapping.get(&key));
        }
    }
}
