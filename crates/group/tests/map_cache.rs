//! The cache of maps by version.

use std::sync::Arc;

use lynxmount_core::experts::{Action, EngineOrder, GroupMap};
use lynxmount_group::{MapCache, RankRow};

const EPOCH: u64 = 3;

fn map(expert: usize) -> Arc<GroupMap> {
    Arc::new(vec![vec![vec![expert], vec![0]]])
}

fn prepare(version: u64, expert: usize) -> EngineOrder {
    EngineOrder { epoch: EPOCH, action: Action::Prepare { version, map: map(expert) } }
}

#[test]
fn the_map_in_use_survives_many_prepared_maps() {
    let mut maps = MapCache::default();
    maps.set_in_use(EPOCH, 0);
    maps.insert_from_order(&prepare(1, 7));
    maps.set_in_use(EPOCH, 1);

    (2..40).for_each(|version| maps.insert_from_order(&prepare(version, 9)));

    assert_eq!(maps.get(EPOCH, 1), Some(map(7)));
}

#[test]
fn only_the_newest_maps_are_kept() {
    let mut maps = MapCache::default();
    maps.set_in_use(EPOCH, 0);

    (1..=10).for_each(|version| maps.insert_from_order(&prepare(version, 9)));

    let cached: Vec<u64> = (1..=10).filter(|version| maps.get(EPOCH, *version).is_some()).collect();
    assert_eq!(cached, [8, 9, 10]);
}

#[test]
fn maps_of_another_epoch_are_dropped_and_not_inserted() {
    let mut maps = MapCache::default();
    maps.set_in_use(EPOCH, 0);
    maps.insert_from_order(&prepare(1, 7));

    maps.set_in_use(EPOCH + 1, 0);
    maps.insert_from_order(&prepare(2, 8));

    assert_eq!(maps.get(EPOCH, 1), None);
    assert_eq!(maps.get(EPOCH + 1, 1), None);
    assert_eq!(maps.get(EPOCH + 1, 2), None);
}

fn row(version: u64, rank: usize) -> RankRow {
    RankRow { epoch: EPOCH, version, rank, ranks: 3, experts: vec![vec![rank, 7], vec![9 + rank]] }
}

#[test]
fn an_unknown_map_is_assembled_from_the_rows_of_all_ranks() {
    let mut maps = MapCache::default();
    maps.set_in_use(EPOCH, 5);

    [2, 0, 2].into_iter().for_each(|rank| maps.insert_row(row(5, rank)));
    assert_eq!(maps.get(EPOCH, 5), None);
    maps.insert_row(row(5, 1));

    let expected =
        vec![vec![vec![0, 7], vec![1, 7], vec![2, 7]], vec![vec![9], vec![10], vec![11]]];
    assert_eq!(maps.get(EPOCH, 5).as_deref(), Some(&expected));
}

#[test]
fn rows_of_different_maps_are_not_mixed() {
    let mut maps = MapCache::default();
    maps.set_in_use(EPOCH, 5);
    maps.insert_row(row(5, 0));
    maps.insert_row(row(5, 1));

    maps.set_in_use(EPOCH, 6);
    maps.insert_row(row(5, 2));
    maps.insert_row(row(6, 2));

    assert_eq!(maps.get(EPOCH, 5), None);
    assert_eq!(maps.get(EPOCH, 6), None);
}
