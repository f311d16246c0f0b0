//! Finding the ranks of groups that stand in no list.

use std::{net::SocketAddr, time::Duration};

use lynxmount_core::experts::Membership;
use lynxmount_group::{Announcement, GroupDirectory, GroupMembers, MembershipView};

const MOMENT: Duration = Duration::from_millis(100);

fn engine(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 8000))
}

fn announcement(group: &str, rank: usize, number: u8) -> Announcement {
    Announcement { group: group.to_owned(), rank, ranks: 3, engine: engine(number) }
}

/// Lets each engine announce itself and take the answer, some rounds long.
fn exchange(directory: &mut GroupDirectory, ranks: &mut [(Announcement, MembershipView)]) {
    for round in 0..30 {
        let now = MOMENT * round;
        for (own, known) in ranks.iter_mut() {
            if known.set_own(own.clone(), now) {
                known.merge(directory.register(own.clone(), now));
            }
        }
    }
}

fn processes(announcements: &[Announcement]) -> Vec<(Announcement, MembershipView)> {
    announcements.iter().map(|own| (own.clone(), MembershipView::default())).collect()
}

#[test]
fn each_process_learns_the_ranks_of_its_own_group_only() {
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

    for (own, known) in &ranks {
        let expected = match own.group.as_str() {
            "a" => vec![engine(5), engine(4), engine(1)],
            _ => vec![engine(2), engine(3), engine(6)],
        };
        assert_eq!(known.engines(), expected);
    }
}

#[test]
fn a_rank_at_an_address_that_another_group_had_is_found() {
    let mut directory = GroupDirectory::default();
    directory.register(announcement("b", 1, 3), MOMENT);
    directory.register(announcement("a", 1, 4), MOMENT);

    let members = directory.register(announcement("a", 1, 3), 2 * MOMENT);

    let expected = GroupMembers { group: "a".into(), engines: vec![None, Some(engine(3)), None] };
    assert_eq!(members, expected);
}

#[test]
fn an_engine_that_is_another_rank_now_is_that_one_alone() {
    let mut directory = GroupDirectory::default();
    directory.register(announcement("a", 1, 4), MOMENT);

    let members = directory.register(announcement("a", 2, 4), 2 * MOMENT);

    assert_eq!(members.engines, [None, None, Some(engine(4))]);
}

#[test]
fn a_directory_that_has_forgotten_takes_no_rank_away() {
    let mut known = MembershipView::default();
    known.set_own(announcement("a", 0, 1), MOMENT);
    known.merge(GroupMembers {
        group: "a".into(),
        engines: vec![Some(engine(1)), Some(engine(2)), Some(engine(3))],
    });

    known.merge(GroupMembers {
        group: "a".into(),
        engines: vec![Some(engine(1)), None, Some(engine(9))],
    });

    assert_eq!(known.engines(), [engine(1), engine(2), engine(9)]);
}

#[test]
fn an_answer_for_another_group_is_not_taken() {
    let mut known = MembershipView::default();
    known.set_own(announcement("a", 0, 1), MOMENT);

    known.merge(GroupMembers { group: "b".into(), engines: vec![Some(engine(7)); 3] });

    assert_eq!(known.engines(), [engine(1)]);
}

#[test]
fn a_process_whose_engine_moves_to_another_group_forgets_the_first() {
    let mut known = MembershipView::default();
    known.set_own(announcement("a", 0, 1), MOMENT);
    known.merge(GroupMembers { group: "a".into(), engines: vec![Some(engine(1)); 3] });

    let is_due = known.set_own(announcement("b", 2, 1), 2 * MOMENT);

    assert!(is_due);
    assert_eq!(known.engines(), [engine(1)]);
    assert_eq!(known.joined_at(), 2 * MOMENT);
}

#[test]
fn announcements_are_frequent_only_as_long_as_ranks_are_missing() {
    let count = |known: &mut MembershipView, from_s: u64| {
        let moments = (0..100).map(|tick| Duration::from_secs(from_s) + MOMENT * tick);
        moments.filter(|now| known.set_own(announcement("a", 0, 1), *now)).count()
    };
    let mut searching = MembershipView::default();
    let mut complete = MembershipView::default();
    complete.set_own(announcement("a", 0, 1), Duration::ZERO);
    let engines = vec![Some(engine(1)), Some(engine(2)), Some(engine(3))];
    complete.merge(GroupMembers { group: "a".into(), engines });

    assert_eq!(count(&mut searching, 0), 50);
    assert_eq!(count(&mut searching, 20), 5);
    assert_eq!(count(&mut complete, 1), 5);
}

#[test]
fn a_process_searches_until_all_ranks_are_known_or_one_is_lost() {
    let mut known = MembershipView::default();
    assert!(known.is_discovering(MOMENT));

    known.set_own(announcement("a", 0, 1), MOMENT);
    assert!(known.is_discovering(2 * MOMENT));
    assert!(!known.is_discovering(Duration::from_secs(11)));

    let engines = vec![Some(engine(1)), Some(engine(2)), Some(engine(3))];
    known.merge(GroupMembers { group: "a".into(), engines });
    assert!(!known.is_discovering(2 * MOMENT));
}

/// A large group whose ranks announce themselves in order.
fn large_group(ranks: usize) -> (GroupDirectory, Vec<(Announcement, MembershipView)>) {
    let engine =
        |rank: usize| SocketAddr::from(([10, 0, (rank / 250) as u8, (rank % 250) as u8], 8000));
    let own = |rank| Announcement { group: "a".to_owned(), rank, ranks, engine: engine(rank) };
    let announcements: Vec<Announcement> = (0..ranks).map(own).collect();
    (GroupDirectory::default(), processes(&announcements))
}

#[test]
fn the_first_ranks_are_told_all_and_the_others_whom_to_tell() {
    let (mut directory, mut ranks) = large_group(192);

    exchange(&mut directory, &mut ranks);

    let first: Vec<SocketAddr> = ranks[..3].iter().map(|(own, _)| own.engine).collect();
    for (own, known) in &ranks {
        assert_eq!(known.leader_candidates(), first);
        assert!(!known.is_discovering(30 * MOMENT), "rank {} searches", own.rank);
        assert_eq!(known.engines().len() == 192, own.rank < 3, "rank {}", own.rank);
    }
}

#[test]
fn what_a_directory_answers_does_not_grow_with_the_group() {
    let answered_ranks = |ranks: usize| {
        let (mut directory, mut group) = large_group(ranks);
        exchange(&mut directory, &mut group);
        let last = group[ranks - 1].0.clone();
        directory.register(last, 40 * MOMENT).engines.len()
    };

    assert_eq!(answered_ranks(480), answered_ranks(8));
}

#[test]
fn a_rank_becomes_a_listener_and_learns_all_when_one_before_it_is_not_there() {
    let (mut directory, mut ranks) = large_group(12);
    ranks.remove(1);

    exchange(&mut directory, &mut ranks);

    let (fourth, known) = &ranks[2];
    assert_eq!(fourth.rank, 3);
    assert!(known.leader_candidates().contains(&fourth.engine));
    assert_eq!(known.engines().len(), 11);
}

#[test]
fn a_process_that_listens_tells_all_ranks_when_directories_have_ended() {
    let (mut directory, mut ranks) = large_group(12);
    exchange(&mut directory, &mut ranks);
    let (gone, fresh) = (ranks[11].0.engine, ranks[0].0.clone());
    let mut of_listener = GroupDirectory::default();

    of_listener.fill_missing(&ranks[1].1, 40 * MOMENT);
    let mut known = MembershipView::default();
    known.set_own(fresh.clone(), 40 * MOMENT);
    known.merge(of_listener.register(fresh, 40 * MOMENT));

    assert_eq!(known.engines().len(), 12);
    assert!(known.engines().contains(&gone));
}

#[test]
fn what_a_listener_knows_replaces_no_announcement() {
    let mut directory = GroupDirectory::default();
    let mut known = MembershipView::default();
    known.set_own(announcement("a", 0, 1), MOMENT);
    let engines = vec![Some(engine(1)), Some(engine(2)), Some(engine(3))];
    known.merge(GroupMembers { group: "a".into(), engines });
    directory.register(announcement("a", 1, 9), MOMENT);

    directory.fill_missing(&known, 2 * MOMENT);

    let members = directory.register(announcement("a", 0, 1), 3 * MOMENT);
    assert_eq!(members.engines, [Some(engine(1)), Some(engine(9)), Some(engine(3))]);
}

#[test]
fn a_process_that_listens_knows_ranks_by_their_reports() {
    let membership = |group: &str, rank| Membership {
        group: group.to_owned(),
        epoch: 1,
        rank,
        ranks: 3,
        is_open: true,
    };
    let mut known = MembershipView::default();
    known.set_own(announcement("a", 0, 1), MOMENT);

    known.on_report(engine(3), &membership("a", 2));
    known.on_report(engine(7), &membership("b", 1));
    known.on_report(engine(8), &membership("a", 0));
    known.on_report(engine(9), &membership("a", 5));

    assert_eq!(known.engines(), [engine(1), engine(3)]);
}
