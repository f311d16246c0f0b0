//! Discovery of the members of a group through directories.

use std::{net::SocketAddr, time::Duration};

use lynxmount_group::{Announcement, GroupDirectory, GroupMembers, MembershipView};

const TICK: Duration = Duration::from_millis(100);

fn engine(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 8000))
}

fn announcement(group: &str, rank: usize, number: u8) -> Announcement {
    Announcement { group: group.to_owned(), rank, ranks: 3, engine: engine(number) }
}

/// Runs rounds in which each process announces its rank and merges the directory's answer.
fn exchange(directory: &mut GroupDirectory, ranks: &mut [(Announcement, MembershipView)]) {
    for round in 0..30 {
        let now = TICK * round;
        for (own, view) in ranks.iter_mut() {
            if view.set_own(own.clone(), now) {
                view.merge(directory.register(own.clone(), now));
            }
        }
    }
}

fn processes(announcements: &[Announcement]) -> Vec<(Announcement, MembershipView)> {
    announcements.iter().map(|own| (own.clone(), MembershipView::default())).collect()
}

#[test]
fn each_process_discovers_the_members_of_its_own_group_only() {
    let mut directory = GroupDirectory::default();
    let mut ranks = processes(&[
        announcement("a", 0, 5),
        announcement("b", 0, 2),
        announcement("a", 2, 1),
        announcement("b", 1, 3),
        announcement("a", 1, 4),
        announcement("b", 2, 6),
    ]);

    exchange(&mut directory, &mut ranks);

    for (own, view) in &ranks {
        let expected = match own.group.as_str() {
            "a" => vec![engine(5), engine(4), engine(1)],
            _ => vec![engine(2), engine(3), engine(6)],
        };
        assert_eq!(view.engines(), expected);
    }
}

#[test]
fn a_rank_at_the_former_address_of_another_groups_rank_is_found() {
    let mut directory = GroupDirectory::default();
    directory.register(announcement("b", 1, 3), TICK);
    directory.register(announcement("a", 1, 4), TICK);

    let members = directory.register(announcement("a", 1, 3), 2 * TICK);

    let expected = GroupMembers { group: "a".into(), engines: vec![None, Some(engine(3)), None] };
    assert_eq!(members, expected);
}

#[test]
fn an_engine_that_changes_its_rank_loses_the_old_one() {
    let mut directory = GroupDirectory::default();
    directory.register(announcement("a", 1, 4), TICK);

    let members = directory.register(announcement("a", 2, 4), 2 * TICK);

    assert_eq!(members.engines, [None, None, Some(engine(4))]);
}

#[test]
fn a_directory_without_a_rank_does_not_remove_it_from_the_view() {
    let mut view = MembershipView::default();
    view.set_own(announcement("a", 0, 1), TICK);
    view.merge(GroupMembers {
        group: "a".into(),
        engines: vec![Some(engine(1)), Some(engine(2)), Some(engine(3))],
    });

    view.merge(GroupMembers {
        group: "a".into(),
        engines: vec![Some(engine(1)), None, Some(engine(9))],
    });

    assert_eq!(view.engines(), [engine(1), engine(2), engine(9)]);
}

#[test]
fn an_answer_for_another_group_is_ignored() {
    let mut view = MembershipView::default();
    view.set_own(announcement("a", 0, 1), TICK);

    view.merge(GroupMembers { group: "b".into(), engines: vec![Some(engine(7)); 3] });

    assert_eq!(view.engines(), [engine(1)]);
}

#[test]
fn a_process_whose_engine_joins_another_group_drops_the_old_view() {
    let mut view = MembershipView::default();
    view.set_own(announcement("a", 0, 1), TICK);
    view.merge(GroupMembers { group: "a".into(), engines: vec![Some(engine(1)); 3] });

    let is_due = view.set_own(announcement("b", 2, 1), 2 * TICK);

    assert!(is_due);
    assert_eq!(view.engines(), [engine(1)]);
    assert_eq!(view.joined_at(), 2 * TICK);
}

#[test]
fn announcements_are_frequent_only_during_discovery() {
    let count = |view: &mut MembershipView, from_s: u64| {
        let moments = (0..100).map(|tick| Duration::from_secs(from_s) + TICK * tick);
        moments.filter(|now| view.set_own(announcement("a", 0, 1), *now)).count()
    };
    let mut discovering = MembershipView::default();
    let mut complete = MembershipView::default();
    complete.set_own(announcement("a", 0, 1), Duration::ZERO);
    let engines = vec![Some(engine(1)), Some(engine(2)), Some(engine(3))];
    complete.merge(GroupMembers { group: "a".into(), engines });

    assert_eq!(count(&mut discovering, 0), 50);
    assert_eq!(count(&mut discovering, 20), 5);
    assert_eq!(count(&mut complete, 1), 5);
}

#[test]
fn discovery_ends_when_all_ranks_are_known_or_one_is_lost() {
    let mut view = MembershipView::default();
    assert!(view.is_discovering(TICK));

    view.set_own(announcement("a", 0, 1), TICK);
    assert!(view.is_discovering(2 * TICK));
    assert!(!view.is_discovering(Duration::from_secs(11)));

    let engines = vec![Some(engine(1)), Some(engine(2)), Some(engine(3))];
    view.merge(GroupMembers { group: "a".into(), engines });
    assert!(!view.is_discovering(2 * TICK));
}

/// A group whose engines have addresses in the order of ranks.
fn large_group(ranks: usize) -> (GroupDirectory, Vec<(Announcement, MembershipView)>) {
    let engine =
        |rank: usize| SocketAddr::from(([10, 0, (rank / 250) as u8, (rank % 250) as u8], 8000));
    let own = |rank| Announcement { group: "a".to_owned(), rank, ranks, engine: engine(rank) };
    let announcements: Vec<Announcement> = (0..ranks).map(own).collect();
    (GroupDirectory::default(), processes(&announcements))
}

#[test]
fn leader_candidates_receive_all_members_and_others_only_the_candidates() {
    let (mut directory, mut ranks) = large_group(192);

    exchange(&mut directory, &mut ranks);

    let first: Vec<SocketAddr> = ranks[..3].iter().map(|(own, _)| own.engine).collect();
    for (own, view) in &ranks {
        assert_eq!(view.leader_candidates(), first);
        assert!(!view.is_discovering(30 * TICK), "rank {} is still discovering", own.rank);
        assert_eq!(view.engines().len() == 192, own.rank < 3, "rank {}", own.rank);
    }
}

#[test]
fn the_answer_of_a_directory_does_not_grow_with_the_group() {
    let answered_ranks = |ranks: usize| {
        let (mut directory, mut group) = large_group(ranks);
        exchange(&mut directory, &mut group);
        let last = group[ranks - 1].0.clone();
        directory.register(last, 40 * TICK).engines.len()
    };

    assert_eq!(answered_ranks(480), answered_ranks(8));
}

#[test]
fn a_rank_becomes_a_candidate_with_all_members_when_one_before_it_is_missing() {
    let (mut directory, mut ranks) = large_group(12);
    ranks.remove(1);

    exchange(&mut directory, &mut ranks);

    let (fourth, view) = &ranks[2];
    assert_eq!(fourth.rank, 3);
    assert!(view.leader_candidates().contains(&fourth.engine));
    assert_eq!(view.engines().len(), 11);
}

#[test]
fn a_candidate_answers_with_all_members_when_directories_are_gone() {
    let (mut directory, mut ranks) = large_group(12);
    exchange(&mut directory, &mut ranks);
    let (silent, restarted) = (ranks[11].0.engine, ranks[0].0.clone());
    let mut candidates_directory = GroupDirectory::default();

    candidates_directory.fill_missing(&ranks[1].1, 40 * TICK);
    let mut view = MembershipView::default();
    view.set_own(restarted.clone(), 40 * TICK);
    view.merge(candidates_directory.register(restarted, 40 * TICK));

    assert_eq!(view.engines().len(), 12);
    assert!(view.engines().contains(&silent));
}

#[test]
fn filling_from_a_view_replaces_no_announcement() {
    let mut directory = GroupDirectory::default();
    let mut view = MembershipView::default();
    view.set_own(announcement("a", 0, 1), TICK);
    let engines = vec![Some(engine(1)), Some(engine(2)), Some(engine(3))];
    view.merge(GroupMembers { group: "a".into(), engines });
    directory.register(announcement("a", 1, 9), TICK);

    directory.fill_missing(&view, 2 * TICK);

    let members = directory.register(announcement("a", 0, 1), 3 * TICK);
    assert_eq!(members.engines, [Some(engine(1)), Some(engine(9)), Some(engine(3))]);
}

#[test]
fn a_candidate_learns_ranks_from_their_reports() {
    let mut view = MembershipView::default();
    view.set_own(announcement("a", 0, 1), TICK);

    view.on_process(engine(3), "a", 2);
    view.on_process(engine(7), "b", 1);
    view.on_process(engine(8), "a", 0);
    view.on_process(engine(9), "a", 5);

    assert_eq!(view.engines(), [engine(1), engine(3)]);
}
