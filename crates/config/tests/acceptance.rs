//! Which change is accepted: one winner, never back, the same for every reader.

use std::sync::Arc;

use lynxmount_config::{
    Acceptance, ChangeRecord, DifferenceKind, Fleet, Head, RefusedChange, Verdict, differences,
};
use lynxmount_core::Offset;
use proptest::{prelude::*, test_runner::RngSeed};
use uuid::Uuid;

const SCOPE: &str = "daugava";

fn fleet(scope: &str, region: &str) -> Fleet {
    let text = format!(
        r#"{{ "scope": "{scope}", "regions": [{{ "id": "{region}", "failure_domains": [] }}],
             "entries": [], "services": [], "endpoints": [], "teams": [] }}"#
    );
    lynxmount_config::parse_fleet("fleet", &text).expect("the fleet is valid")
}

fn change(id: u128, base: Option<Offset>) -> ChangeRecord {
    let author = format!("author-{id}");
    ChangeRecord::new(Uuid::from_u128(id), base, author, fleet(SCOPE, &format!("r{id}")))
}

fn head_offset(acceptance: &Acceptance) -> Option<Offset> {
    acceptance.head().map(|head| head.offset)
}

#[test]
fn of_two_racing_operators_the_first_in_the_log_wins() {
    let mut acceptance = Acceptance::new(SCOPE);
    acceptance.take(0, change(1, None));

    let first = acceptance.take(1, change(2, Some(0)));
    let second = acceptance.take(2, change(3, Some(0)));

    assert_eq!(first, Some(Verdict::Accepted));
    let overtaken = RefusedChange::Overtaken { by: Some(1), author: Some("author-2".to_owned()) };
    assert_eq!(second, Some(Verdict::Refused(overtaken)));
    assert_eq!(head_offset(&acceptance), Some(1));
}

#[test]
fn the_same_change_twice_is_one_change() {
    let mut acceptance = Acceptance::new(SCOPE);
    acceptance.take(0, change(1, None));

    let repeated = acceptance.take(1, change(1, None));

    assert_eq!(repeated, Some(Verdict::Repeated { of: 0 }));
    assert_eq!(head_offset(&acceptance), Some(0));
}

#[test]
fn a_refused_change_stays_refused_when_it_is_repeated() {
    let mut acceptance = Acceptance::new(SCOPE);
    acceptance.take(0, change(1, None));
    acceptance.take(1, change(2, None));

    let repeated = acceptance.take(2, ChangeRecord { base: Some(0), ..change(2, None) });

    assert_eq!(repeated, Some(Verdict::Repeated { of: 1 }));
    assert_eq!(head_offset(&acceptance), Some(0));
}

#[test]
fn a_change_whose_content_was_altered_is_refused() {
    let mut acceptance = Acceptance::new(SCOPE);
    let altered = ChangeRecord { fleet: Arc::new(fleet(SCOPE, "other")), ..change(1, None) };

    let verdict = acceptance.take(0, altered);

    assert_eq!(verdict, Some(Verdict::Refused(RefusedChange::DigestWrong)));
    assert_eq!(head_offset(&acceptance), None);
}

#[test]
fn changes_of_other_scopes_do_not_count() {
    let mut acceptance = Acceptance::new(SCOPE);
    acceptance.take(0, change(1, None));
    let other = ChangeRecord::new(Uuid::from_u128(9), None, "o".to_owned(), fleet("other", "r"));

    assert_eq!(acceptance.take(1, other), None);
    assert_eq!(acceptance.take(2, change(2, Some(0))), Some(Verdict::Accepted));
}

#[test]
fn a_peers_head_is_adopted_only_if_it_is_newer() {
    let mut acceptance = Acceptance::new(SCOPE);
    acceptance.take(5, change(1, None));
    let older = Head { offset: 4, change: change(2, None) };
    let newer = Head { offset: 6, change: change(3, Some(5)) };

    assert!(!acceptance.adopt(older));
    assert!(acceptance.adopt(newer));

    assert_eq!(head_offset(&acceptance), Some(6));
    // The record itself, when the log is read again, changes nothing.
    assert_eq!(acceptance.take(6, change(3, Some(5))), None);
}

#[test]
fn a_peers_head_with_altered_content_is_not_adopted() {
    let mut acceptance = Acceptance::new(SCOPE);
    let altered = ChangeRecord { fleet: Arc::new(fleet(SCOPE, "other")), ..change(1, None) };

    assert!(!acceptance.adopt(Head { offset: 3, change: altered }));
}

#[test]
fn differences_name_members_by_their_ids() {
    let (before, after) = (fleet(SCOPE, "a"), fleet(SCOPE, "b"));

    let found = differences(Some(&before), &after);

    let paths: Vec<(&str, DifferenceKind)> =
        found.iter().map(|difference| (difference.path.as_str(), difference.kind)).collect();
    assert_eq!(
        paths,
        [("regions[a]", DifferenceKind::Removed), ("regions[b]", DifferenceKind::Added)]
    );
}

/// What an operator does when its turn comes.
#[derive(Clone, Copy, Debug)]
enum Act {
    /// Appends a change on the newest version it knows.
    Fresh,
    /// Appends a change on an older version.
    Stale { back: usize },
    /// Appends its last change again.
    Again,
}

fn acts() -> impl Strategy<Value = Vec<Act>> {
    let act = prop_oneof![
        3 => Just(Act::Fresh),
        2 => (1..4_usize).prop_map(|back| Act::Stale { back }),
        1 => Just(Act::Again),
    ];
    prop::collection::vec(act, 1..24)
}

/// Plays the acts against one reader of the whole log, and returns the log.
fn log_of(acts: &[Act]) -> (Vec<ChangeRecord>, Vec<Option<Offset>>) {
    let mut reader = Acceptance::new(SCOPE);
    let mut accepted: Vec<Option<Offset>> = vec![None];
    let mut log: Vec<ChangeRecord> = Vec::new();
    let mut heads = Vec::new();
    for (index, act) in acts.iter().enumerate() {
        let base_back = |back: usize| accepted[accepted.len().saturating_sub(1 + back)];
        let record = match act {
            Act::Fresh => change(index as u128, base_back(0)),
            Act::Stale { back } => change(index as u128, base_back(*back)),
            Act::Again => log.last().cloned().unwrap_or_else(|| change(index as u128, None)),
        };
        let offset = log.len() as Offset;
        log.push(record.clone());
        if reader.take(offset, record) == Some(Verdict::Accepted) {
            accepted.push(Some(offset));
        }
        heads.push(head_offset(&reader));
    }
    (log, heads)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn the_version_never_goes_back(acts in acts()) {
        let (_, heads) = log_of(&acts);

        prop_assert!(heads.windows(2).all(|pair| pair[0] <= pair[1]));
    }

    #[test]
    fn a_reader_of_a_log_without_its_beginning_finds_the_same_head(
        acts in acts(),
        cut in 0..24_usize,
    ) {
        let (log, heads) = log_of(&acts);
        let head = heads.last().copied().flatten();
        // The head is appended again before it goes, so the log still has it.
        let first = head.map_or(0, |head| head.min(cut as Offset));
        let kept: Vec<(Offset, ChangeRecord)> = log
            .iter()
            .enumerate()
            .skip(first as usize)
            .map(|(offset, record)| (offset as Offset, record.clone()))
            .collect();
        let mut late = Acceptance::new(SCOPE);

        if first > 0 {
            late.resume(first, &kept);
        }
        for (offset, record) in kept {
            late.take(offset, record);
        }

        prop_assert_eq!(head_offset(&late), head);
    }

    #[test]
    fn reading_records_again_changes_nothing(acts in acts()) {
        let (log, heads) = log_of(&acts);
        let mut reader = Acceptance::new(SCOPE);
        for round in 0..2 {
            for (offset, record) in log.iter().enumerate() {
                let verdict = reader.take(offset as Offset, record.clone());
                prop_assert!(round == 0 || verdict.is_none());
            }
        }

        prop_assert_eq!(head_offset(&reader), heads.last().copied().flatten());
    }
}
