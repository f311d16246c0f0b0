//! Which change is accepted: one winner, never back, the same for every reader.

use std::sync::Arc;

use lynxmount_config::{
    ChangeRecord, ChangeRefusal, ConfigRecord, ConfigState, DiffKind, Fleet, FleetChange,
    FleetDigest, Head, Verdict, diff_fleets, parse_fleet,
};
use lynxmount_core::Offset;
use proptest::{prelude::*, test_runner::RngSeed};
use uuid::Uuid;

const SCOPE: &str = "daugava";

/// A fleet whose regions have the given names.
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

/// A reader that has accepted the first change.
fn reader() -> ConfigState {
    let mut config_state = ConfigState::new(SCOPE);
    config_state.apply(0, &record(&change(1, None)));
    config_state
}

fn head_offset(config_state: &ConfigState) -> Option<Offset> {
    config_state.head().map(|head| head.offset)
}

fn regions(config_state: &ConfigState) -> Vec<String> {
    let head = config_state.head().expect("a change was accepted");
    head.fleet.regions.iter().map(|region| region.id.to_string()).collect()
}

#[test]
fn of_two_racing_operators_the_first_in_the_log_wins() {
    let mut config_state = reader();
    let head = config_state.head().cloned();

    let first = config_state.apply(1, &record(&change(2, head.as_ref())));
    let second = config_state.apply(2, &record(&change(3, head.as_ref())));

    assert_eq!(first, Some(Verdict::Accepted));
    let overtaken = ChangeRefusal::Overtaken { by: Some(1), author: Some("author-2".to_owned()) };
    assert_eq!(second, Some(Verdict::Refused(overtaken)));
    assert_eq!(regions(&config_state), ["always", "r2"]);
}

#[test]
fn the_same_change_twice_is_one_change() {
    let mut config_state = reader();

    let repeated = config_state.apply(1, &record(&change(1, None)));

    assert_eq!(repeated, Some(Verdict::Repeated { of: 0 }));
    assert_eq!(head_offset(&config_state), Some(0));
}

#[test]
fn a_refused_change_stays_refused_when_it_is_repeated() {
    let mut config_state = reader();
    config_state.apply(1, &record(&change(2, None)));

    let again = ChangeRecord { base: Some(0), ..change(2, None) };
    let repeated = config_state.apply(2, &record(&again));

    assert_eq!(repeated, Some(Verdict::Repeated { of: 1 }));
    assert_eq!(head_offset(&config_state), Some(0));
}

#[test]
fn a_change_that_does_not_lead_to_its_digest_is_refused() {
    let mut config_state = reader();
    let head = config_state.head().cloned();
    let altered = ChangeRecord { change: FleetChange::default(), ..change(2, head.as_ref()) };

    let verdict = config_state.apply(1, &record(&altered));

    assert_eq!(verdict, Some(Verdict::Refused(ChangeRefusal::DigestWrong)));
    assert_eq!(head_offset(&config_state), Some(0));
}

#[test]
fn changes_of_other_scopes_do_not_count() {
    let mut config_state = reader();
    let head = config_state.head().cloned();
    let elsewhere = fleet_of("elsewhere", &[]);
    let other = ChangeRecord::new(Uuid::from_u128(9), None, "o".to_owned(), &elsewhere);

    assert_eq!(config_state.apply(1, &record(&other)), None);
    let own = config_state.apply(2, &record(&change(2, head.as_ref())));
    assert_eq!(own, Some(Verdict::Accepted));
}

#[test]
fn a_peers_head_is_adopted_only_if_it_is_newer() {
    let mut ahead = reader();
    let first = ahead.head().cloned().expect("a change was accepted");
    ahead.apply(1, &record(&change(2, Some(&first))));
    let second = ahead.head().cloned().expect("a change was accepted");
    let mut behind = reader();

    assert!(behind.adopt_head(second));
    assert!(!behind.adopt_head(first));

    assert_eq!(head_offset(&behind), Some(1));
    // The record itself, when the log is read again, changes nothing.
    assert_eq!(behind.apply(1, &record(&change(2, None))), None);
}

#[test]
fn a_peers_head_with_altered_content_is_not_adopted() {
    let sound = reader().head().cloned().expect("a change was accepted");
    let altered = Head { offset: 3, fleet: Arc::new(fleet("other")), ..sound };

    assert!(!ConfigState::new(SCOPE).adopt_head(altered));
}

#[test]
fn a_snapshot_that_leaves_out_a_record_that_is_gone_is_not_used() {
    let mut writer = reader();
    let early = ConfigRecord::Snapshot(writer.snapshot().expect("a change was accepted"));
    let head = writer.head().cloned();
    writer.apply(1, &record(&change(2, head.as_ref())));
    let late = ConfigRecord::Snapshot(writer.snapshot().expect("a change was accepted"));
    let resumed = |records: &[ConfigRecord]| {
        let mut fresh = ConfigState::new(SCOPE);
        fresh.restore(2, records.iter());
        head_offset(&fresh)
    };

    // The second change, at offset 1, is gone.
    assert_eq!(resumed(std::slice::from_ref(&early)), None);
    assert_eq!(resumed(&[early, late]), Some(1));
}

#[test]
fn differences_name_members_by_their_ids() {
    let (before, after) = (fleet("a"), fleet("b"));

    let found = diff_fleets(Some(&before), &after);

    let paths: Vec<(&str, DiffKind)> =
        found.iter().map(|difference| (difference.path.as_str(), difference.kind)).collect();
    assert_eq!(paths, [("regions[a]", DiffKind::Removed), ("regions[b]", DiffKind::Added)]);
}

/// What happens next in the log.
#[derive(Clone, Copy, Debug)]
enum Act {
    /// An operator's last change is appended again.
    Again,
    /// An operator changes the newest version.
    Fresh,
    /// A process tells what the log had come to a few records ago.
    Snapshot { back: usize },
    /// An operator changes an older version.
    Stale { back: usize },
}

fn acts() -> impl Strategy<Value = Vec<Act>> {
    let act = prop_oneof![
        1 => Just(Act::Again),
        3 => Just(Act::Fresh),
        1 => (0..4_usize).prop_map(|back| Act::Snapshot { back }),
        2 => (1..4_usize).prop_map(|back| Act::Stale { back }),
    ];
    prop::collection::vec(act, 1..24)
}

/// A log and what a reader of all of it had come to after each record.
struct Written {
    log: Vec<ConfigRecord>,
    states: Vec<ConfigState>,
}

fn write(acts: &[Act]) -> Written {
    let mut written = Written { log: Vec::new(), states: vec![ConfigState::new(SCOPE)] };
    for (index, act) in acts.iter().enumerate() {
        let back = |back: usize| &written.states[written.states.len().saturating_sub(1 + back)];
        let fresh = |head: Option<&Head>| record(&change(index as u128, head));
        let next = match act {
            Act::Again => written.log.last().cloned().unwrap_or_else(|| fresh(None)),
            Act::Fresh => fresh(back(0).head()),
            Act::Stale { back: count } => fresh(back(*count).head()),
            Act::Snapshot { back: count } => match back(*count).snapshot() {
                Some(snapshot) => ConfigRecord::Snapshot(snapshot),
                None => fresh(back(0).head()),
            },
        };
        let mut state = back(0).clone();
        state.apply(written.log.len() as Offset, &next);
        written.log.push(next);
        written.states.push(state);
    }
    written
}

/// The greatest offset from which a late reader can start.
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
    fn the_version_never_goes_back(acts in acts()) {
        let states = write(&acts).states;

        prop_assert!(states.windows(2).all(|pair| head_offset(&pair[0]) <= head_offset(&pair[1])));
    }

    #[test]
    fn a_reader_of_a_log_without_its_beginning_comes_to_the_same(
        acts in acts(),
        cut in 0..24_u64,
    ) {
        let written = write(&acts);
        let first = cut.min(latest_start(&written.log));
        let kept = &written.log[first as usize..];
        let mut late = ConfigState::new(SCOPE);

        if first > 0 {
            late.restore(first, kept.iter());
        }
        for (index, record) in kept.iter().enumerate() {
            late.apply(first + index as Offset, record);
        }

        prop_assert_eq!(late.head(), written.states.last().and_then(ConfigState::head));
    }

    #[test]
    fn reading_records_again_changes_nothing(acts in acts()) {
        let written = write(&acts);
        let mut reader = ConfigState::new(SCOPE);
        for round in 0..2 {
            for (offset, record) in written.log.iter().enumerate() {
                let verdict = reader.apply(offset as Offset, record);
                prop_assert!(round == 0 || verdict.is_none());
            }
        }

        prop_assert_eq!(reader.head(), written.states.last().and_then(ConfigState::head));
    }

    #[test]
    fn a_change_leads_from_any_fleet_to_any_other(
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
