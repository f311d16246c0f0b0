//! The configuration's state machine: of conflicting changes one is accepted, the version never
//! decreases, and all readers reach the same state.

use std::sync::Arc;

use lynxmount_config::{
    ChangeRecord, ChangeRefusal, ConfigRecord, ConfigState, DiffKind, Fleet, FleetChange,
    FleetDigest, Head, Verdict, diff_fleets, parse_fleet,
};
use lynxmount_core::Offset;
use proptest::{prelude::*, test_runner::RngSeed};
use uuid::Uuid;

const SCOPE: &str = "daugava";

/// A fleet with regions of the given names.
fn fleet_of(scope: &str, regions: &[String]) -> Fleet {
    let regions: Vec<String> =
        regions.iter().map(|r| format!(r#"{{ "id": "{r}", "failure_domains": [] }}"#)).collect();
    let text = format!(
        r#"{{ "scope": "{scope}", "regions": [{}],
             "entries": [], "services": [], "endpoints": [], "teams": [] }}"#,
        regions.join(",")
    );
    parse_fleet("fleet", &text).expect("the fleet is valid")
}

fn fleet(region: &str) -> Fleet {
    fleet_of(SCOPE, &[region.to_owned(), "always".to_owned()])
}

fn change(id: u128, head: Option<&Head>) -> ChangeRecord {
    let author = format!("author-{id}");
    ChangeRecord::new(Uuid::from_u128(id), head, author, &fleet(&format!("r{id}")))
}

fn record(change: &ChangeRecord) -> ConfigRecord {
    ConfigRecord::Change(Box::new(change.clone()))
}

/// State of a reader that has accepted the first change.
fn reader() -> ConfigState {
    let mut state = ConfigState::new(SCOPE);
    state.apply(0, &record(&change(1, None)));
    state
}

fn head_offset(state: &ConfigState) -> Option<Offset> {
    state.head().map(|head| head.offset)
}

fn regions(state: &ConfigState) -> Vec<String> {
    let head = state.head().expect("a change was accepted");
    head.fleet.regions.iter().map(|region| region.id.to_string()).collect()
}

#[test]
fn the_first_of_two_concurrent_changes_is_accepted() {
    let mut state = reader();
    let head = state.head().cloned();

    let first = state.apply(1, &record(&change(2, head.as_ref())));
    let second = state.apply(2, &record(&change(3, head.as_ref())));

    assert_eq!(first, Some(Verdict::Accepted));
    let conflict = ChangeRefusal::Overtaken { by: Some(1), author: Some("author-2".to_owned()) };
    assert_eq!(second, Some(Verdict::Refused(conflict)));
    assert_eq!(regions(&state), ["always", "r2"]);
}

#[test]
fn a_duplicate_change_has_no_effect() {
    let mut state = reader();

    let repeated = state.apply(1, &record(&change(1, None)));

    assert_eq!(repeated, Some(Verdict::Repeated { of: 0 }));
    assert_eq!(head_offset(&state), Some(0));
}

#[test]
fn a_duplicate_of_a_refused_change_stays_refused() {
    let mut state = reader();
    state.apply(1, &record(&change(2, None)));

    let again = ChangeRecord { base: Some(0), ..change(2, None) };
    let repeated = state.apply(2, &record(&again));

    assert_eq!(repeated, Some(Verdict::Repeated { of: 1 }));
    assert_eq!(head_offset(&state), Some(0));
}

#[test]
fn a_change_with_a_wrong_digest_is_refused() {
    let mut state = reader();
    let head = state.head().cloned();
    let altered = ChangeRecord { change: FleetChange::default(), ..change(2, head.as_ref()) };

    let verdict = state.apply(1, &record(&altered));

    assert_eq!(verdict, Some(Verdict::Refused(ChangeRefusal::DigestWrong)));
    assert_eq!(head_offset(&state), Some(0));
}

#[test]
fn changes_of_other_scopes_are_ignored() {
    let mut state = reader();
    let head = state.head().cloned();
    let elsewhere = fleet_of("elsewhere", &[]);
    let other = ChangeRecord::new(Uuid::from_u128(9), None, "o".to_owned(), &elsewhere);

    assert_eq!(state.apply(1, &record(&other)), None);
    let own = state.apply(2, &record(&change(2, head.as_ref())));
    assert_eq!(own, Some(Verdict::Accepted));
}

#[test]
fn only_a_newer_head_of_a_peer_is_adopted() {
    let mut ahead = reader();
    let first = ahead.head().cloned().expect("a change was accepted");
    ahead.apply(1, &record(&change(2, Some(&first))));
    let second = ahead.head().cloned().expect("a change was accepted");
    let mut behind = reader();

    assert!(behind.adopt_head(second));
    assert!(!behind.adopt_head(first));

    assert_eq!(head_offset(&behind), Some(1));
    // The change's own record has no effect when the log is read afterwards.
    assert_eq!(behind.apply(1, &record(&change(2, None))), None);
}

#[test]
fn a_peer_head_with_a_wrong_digest_is_not_adopted() {
    let head = reader().head().cloned().expect("a change was accepted");
    let altered = Head { offset: 3, fleet: Arc::new(fleet("other")), ..head };

    assert!(!ConfigState::new(SCOPE).adopt_head(altered));
}

#[test]
fn a_snapshot_that_does_not_cover_a_removed_record_is_not_used() {
    let mut writer = reader();
    let early = ConfigRecord::Snapshot(writer.snapshot().expect("a change was accepted"));
    let head = writer.head().cloned();
    writer.apply(1, &record(&change(2, head.as_ref())));
    let late = ConfigRecord::Snapshot(writer.snapshot().expect("a change was accepted"));
    let head_after_restore = |records: &[ConfigRecord]| {
        let mut restored = ConfigState::new(SCOPE);
        restored.restore(2, records.iter());
        head_offset(&restored)
    };

    // The second change, at offset 1, has been removed from the log.
    assert_eq!(head_after_restore(std::slice::from_ref(&early)), None);
    assert_eq!(head_after_restore(&[early, late]), Some(1));
}

#[test]
fn diff_paths_identify_members_by_id() {
    let (before, after) = (fleet("a"), fleet("b"));

    let entries = diff_fleets(Some(&before), &after);

    let paths: Vec<(&str, DiffKind)> =
        entries.iter().map(|entry| (entry.path.as_str(), entry.kind)).collect();
    assert_eq!(paths, [("regions[a]", DiffKind::Removed), ("regions[b]", DiffKind::Added)]);
}

/// Kind of the next record of a generated log.
#[derive(Clone, Copy, Debug)]
enum RecordKind {
    /// The last record is appended again.
    Duplicate,
    /// A change of the latest version.
    Current,
    /// A snapshot of the state a few records ago.
    Snapshot { age: usize },
    /// A change of an older version.
    Stale { age: usize },
}

fn kinds() -> impl Strategy<Value = Vec<RecordKind>> {
    let kind = prop_oneof![
        1 => Just(RecordKind::Duplicate),
        3 => Just(RecordKind::Current),
        1 => (0..4_usize).prop_map(|age| RecordKind::Snapshot { age }),
        2 => (1..4_usize).prop_map(|age| RecordKind::Stale { age }),
    ];
    prop::collection::vec(kind, 1..24)
}

/// A log and the state of a reader of the whole log before the first and after each record.
struct GeneratedLog {
    log: Vec<ConfigRecord>,
    states: Vec<ConfigState>,
}

fn generate(kinds: &[RecordKind]) -> GeneratedLog {
    let mut generated = GeneratedLog { log: Vec::new(), states: vec![ConfigState::new(SCOPE)] };
    for (index, kind) in kinds.iter().enumerate() {
        let past = |age: usize| &generated.states[generated.states.len().saturating_sub(1 + age)];
        let change_of = |head: Option<&Head>| record(&change(index as u128, head));
        let next = match kind {
            RecordKind::Duplicate => {
                generated.log.last().cloned().unwrap_or_else(|| change_of(None))
            }
            RecordKind::Current => change_of(past(0).head()),
            RecordKind::Stale { age } => change_of(past(*age).head()),
            RecordKind::Snapshot { age } => match past(*age).snapshot() {
                Some(snapshot) => ConfigRecord::Snapshot(snapshot),
                None => change_of(past(0).head()),
            },
        };
        let mut state = past(0).clone();
        state.apply(generated.log.len() as Offset, &next);
        generated.log.push(next);
        generated.states.push(state);
    }
    generated
}

/// Greatest offset from which a reader can start with the help of a snapshot.
fn latest_start(log: &[ConfigRecord]) -> Offset {
    let starts = log.iter().map(|record| match record {
        ConfigRecord::Snapshot(snapshot) => snapshot.as_of,
        ConfigRecord::Change(_) => 0,
    });
    starts.max().unwrap_or(0)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn the_version_never_decreases(kinds in kinds()) {
        let states = generate(&kinds).states;

        prop_assert!(states.windows(2).all(|pair| head_offset(&pair[0]) <= head_offset(&pair[1])));
    }

    #[test]
    fn a_reader_of_a_truncated_log_reaches_the_same_state(
        kinds in kinds(),
        cut in 0..24_u64,
    ) {
        let generated = generate(&kinds);
        let first = cut.min(latest_start(&generated.log));
        let kept = &generated.log[first as usize..];
        let mut late = ConfigState::new(SCOPE);

        if first > 0 {
            late.restore(first, kept.iter());
        }
        for (index, record) in kept.iter().enumerate() {
            late.apply(first + index as Offset, record);
        }

        prop_assert_eq!(late.head(), generated.states.last().and_then(ConfigState::head));
    }

    #[test]
    fn rereading_records_has_no_effect(kinds in kinds()) {
        let generated = generate(&kinds);
        let mut reader = ConfigState::new(SCOPE);
        for round in 0..2 {
            for (offset, record) in generated.log.iter().enumerate() {
                let verdict = reader.apply(offset as Offset, record);
                prop_assert!(round == 0 || verdict.is_none());
            }
        }

        prop_assert_eq!(reader.head(), generated.states.last().and_then(ConfigState::head));
    }

    #[test]
    fn a_change_can_turn_any_fleet_into_any_other(
        before in prop::collection::btree_set("[a-e]", 0..5),
        after in prop::collection::btree_set("[a-e]", 0..5),
    ) {
        let names = |set: std::collections::BTreeSet<String>| set.into_iter().collect::<Vec<_>>();
        let (before, after) = (fleet_of(SCOPE, &names(before)), fleet_of(SCOPE, &names(after)));

        let change = FleetChange::between(&before, &after);

        prop_assert_eq!(&change.apply(&before), &after);
        let digest = FleetDigest::of(&before).after(&before, &change);
        prop_assert_eq!(digest, FleetDigest::of(&after));
    }
}
