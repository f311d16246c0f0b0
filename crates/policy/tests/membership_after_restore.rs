//! Membership while the registry comes back from an older copy.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use lynxmount_core::{EndpointList, EndpointRecord, EndpointState, LogPosition};
use lynxmount_policy::Membership;

const READ_PERIOD: Duration = Duration::from_millis(850);

/// Time after which a registration that is not renewed expires.
const LEASE: Duration = Duration::from_millis(3600);

/// How soon live endpoints register again after the store's return.
const REREGISTRATION: Duration = Duration::from_millis(2000);

/// The address of endpoints that replace each other.
const SHARED_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 9);

fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn position(era: u64, offset: u64) -> LogPosition {
    LogPosition { era, offset }
}

/// A registration of an endpoint with an address of its own; each id is one letter.
fn ready(id: &str, at: LogPosition) -> EndpointRecord {
    EndpointRecord {
        id: id.into(),
        service: "s".into(),
        address: ([127, 0, 0, id.as_bytes()[0]], 1).into(),
        failure_domain: "z".into(),
        slots: 1,
        state: EndpointState::Ready,
        started_ms: None,
        listed_at: at,
        written_at: at,
    }
}

fn draining(id: &str, at: LogPosition) -> EndpointRecord {
    EndpointRecord { state: EndpointState::Draining, ..ready(id, at) }
}

/// A registration of an endpoint that replaces another one, or is replaced.
fn at_shared_address(id: &str, at: LogPosition) -> EndpointRecord {
    EndpointRecord { address: SHARED_ADDRESS, ..ready(id, at) }
}

fn list(as_of: LogPosition, endpoints: &[EndpointRecord]) -> EndpointList {
    EndpointList { as_of, endpoints: endpoints.to_vec() }
}

fn membership() -> Membership {
    Membership::new(true, READ_PERIOD, LEASE)
}

/// The endpoints that may get calls.
fn ready_ids(membership: &Membership) -> Vec<String> {
    let endpoints = membership.endpoints(|_| true);
    let ready = endpoints.iter().filter(|endpoint| endpoint.state == EndpointState::Ready);
    ready.map(|endpoint| endpoint.id.to_string()).collect()
}

/// Guards against live endpoints that get no calls because the copy is older than they are, where
/// no read has failed.
#[test]
fn an_endpoint_that_the_copy_lacks_is_kept_until_it_registers_again() {
    let mut membership = membership();
    let a = ready("a", position(0, 1));
    membership.update(&list(position(0, 9), &[a.clone(), ready("b", position(0, 8))]), at_ms(0));

    let restored_at = READ_PERIOD;
    let reads = (0..5).map(|read| READ_PERIOD * read);
    let kept: Vec<Vec<String>> = reads
        .map(|since| {
            let copy = list(position(1, 5), std::slice::from_ref(&a));
            membership.update(&copy, restored_at + since);
            ready_ids(&membership)
        })
        .collect();

    let reads_in_time = (REREGISTRATION.as_millis() / READ_PERIOD.as_millis()) as usize;
    assert!(kept[..=reads_in_time].iter().all(|ids| ids == &["a", "b"]), "{kept:?}");
    assert_eq!(kept[4], ["a"]);
}

/// Guards against calls to an endpoint that has left, and that the copy lists.
#[test]
fn an_endpoint_that_has_left_stays_gone_unless_it_registers_again() {
    let (a, b) = (ready("a", position(0, 1)), ready("b", position(0, 2)));
    let mut membership = membership();
    membership.update(&list(position(0, 3), &[a.clone(), b]), at_ms(0));
    membership.update(&list(position(0, 4), std::slice::from_ref(&a)), READ_PERIOD);

    let (restored_a, restored_b) = (ready("a", position(1, 1)), ready("b", position(1, 2)));
    let restored_at = 2 * READ_PERIOD;
    let copy = [restored_a.clone(), restored_b.clone()];
    membership.update(&list(position(1, 3), &copy), restored_at);
    membership.update(&list(position(1, 3), &copy), restored_at + READ_PERIOD);
    assert_eq!(ready_ids(&membership), ["a"]);

    let renewed = EndpointRecord { written_at: position(1, 3), ..restored_b };
    membership.update(&list(position(1, 4), &[restored_a, renewed]), restored_at + 2 * READ_PERIOD);
    assert_eq!(ready_ids(&membership), ["a", "b"]);
}

#[test]
fn an_endpoint_that_the_copy_lists_is_believed_once_its_registration_would_have_expired() {
    let mut membership = membership();
    membership.update(&list(position(0, 3), &[ready("a", position(0, 1))]), at_ms(0));
    membership.update(&list(position(0, 4), &[]), READ_PERIOD);
    let copy = list(position(1, 2), &[ready("a", position(1, 1))]);
    membership.update(&copy, 2 * READ_PERIOD);

    membership.update(&copy, 2 * READ_PERIOD + LEASE);

    assert_eq!(ready_ids(&membership), ["a"]);
}

/// Guards against calls to a draining endpoint that the copy lists as ready.
#[test]
fn a_draining_endpoint_stays_draining_until_it_registers_again() {
    let mut membership = membership();
    membership.update(&list(position(0, 3), &[draining("a", position(0, 2))]), at_ms(0));

    let restored = ready("a", position(1, 1));
    membership.update(&list(position(1, 2), std::slice::from_ref(&restored)), READ_PERIOD);
    assert!(ready_ids(&membership).is_empty());

    let renewed = EndpointRecord { written_at: position(1, 2), ..restored };
    membership.update(&list(position(1, 3), &[renewed]), 2 * READ_PERIOD);
    assert_eq!(ready_ids(&membership), ["a"]);
}

#[test]
fn a_later_incarnation_of_a_draining_endpoint_is_ready() {
    let first = EndpointRecord { started_ms: Some(1000), ..draining("a", position(0, 2)) };
    let second = EndpointRecord { started_ms: Some(2000), ..ready("a", position(1, 1)) };
    let mut membership = membership();
    membership.update(&list(position(0, 3), &[first]), at_ms(0));

    membership.update(&list(position(1, 2), &[second]), READ_PERIOD);

    assert_eq!(ready_ids(&membership), ["a"]);
}

#[test]
fn what_was_known_outlasts_a_second_return_from_a_copy() {
    let mut membership = membership();
    let (a, b) = (draining("a", position(0, 1)), ready("b", position(0, 2)));
    membership.update(&list(position(0, 3), &[a.clone(), b]), at_ms(0));
    membership.update(&list(position(0, 4), &[a]), READ_PERIOD);

    for era in [1, 2] {
        let copy = [ready("a", position(era, 0)), ready("b", position(era, 1))];
        membership.update(&list(position(era, 2), &copy), READ_PERIOD * (1 + era as u32));
    }

    assert!(ready_ids(&membership).is_empty());
}

#[test]
fn a_late_list_of_an_earlier_era_is_ignored() {
    let mut membership = membership();
    membership.update(&list(position(1, 2), &[ready("a", position(1, 1))]), at_ms(0));

    membership.update(&list(position(0, 90), &[ready("b", position(0, 1))]), at_ms(100));
    membership.update_from_peer(&list(position(0, 91), &[ready("b", position(0, 1))]), at_ms(200));

    assert_eq!(ready_ids(&membership), ["a"]);
}

/// Guards against an earlier incarnation that replaces a later one at its address because it was
/// registered again at a higher offset.
#[test]
fn the_later_incarnation_at_an_address_stays_valid_whatever_is_written_again_first() {
    let address = ([127, 0, 0, 9], 1).into();
    let at = |id: &str, position| EndpointRecord { address, ..ready(id, position) };
    let mut membership = membership();
    let both = [at("a", position(0, 3)), at("b", position(0, 7))];
    membership.update(&list(position(0, 8), &both), at_ms(0));

    membership.update(
        &list(position(1, 5), &[at("b", position(1, 3)), at("a", position(1, 4))]),
        READ_PERIOD,
    );

    assert_eq!(ready_ids(&membership), ["b"]);
}

/// Guards against calls to a former incarnation that the copy lists, at a process that has never
/// seen it because it started later.
#[test]
fn a_former_incarnation_that_the_copy_lists_does_not_replace_the_known_one() {
    let mut membership = membership();
    membership.update(&list(position(0, 8), &[at_shared_address("b", position(0, 7))]), at_ms(0));
    let former = at_shared_address("a", position(1, 3));
    let copy = list(position(1, 5), std::slice::from_ref(&former));
    let rewritten = list(position(1, 6), &[former, at_shared_address("b", position(1, 5))]);

    let reads = [(&copy, 1), (&rewritten, 2), (&rewritten, 3), (&rewritten, 9)];
    let valid = reads.map(|(list, periods)| {
        membership.update(list, READ_PERIOD * periods);
        ready_ids(&membership)
    });

    assert!(valid.iter().all(|ids| ids == &["b"]), "{valid:?}");
}

/// Guards against the same after a second return, where the known incarnation was listed first in
/// an era that the copy is not of.
#[test]
fn a_former_incarnation_that_a_second_copy_lists_does_not_replace_the_known_one() {
    let mut membership = membership();
    membership.update(&list(position(0, 8), &[at_shared_address("b", position(0, 7))]), at_ms(0));
    let rewritten = at_shared_address("b", position(1, 5));
    membership.update(&list(position(1, 6), &[rewritten]), READ_PERIOD);

    let copy = [at_shared_address("a", position(2, 3)), at_shared_address("b", position(2, 5))];
    membership.update(&list(position(2, 6), &copy), 2 * READ_PERIOD);

    assert_eq!(ready_ids(&membership), ["b"]);
}

/// Guards against a new incarnation that gets no calls while the copy lists the former one.
#[test]
fn an_incarnation_that_registers_before_the_first_read_replaces_the_one_in_the_copy() {
    let mut membership = membership();
    membership.update(&list(position(0, 8), &[at_shared_address("a", position(0, 3))]), at_ms(0));

    let listed = [at_shared_address("a", position(1, 3)), at_shared_address("b", position(1, 5))];
    membership.update(&list(position(1, 6), &listed), READ_PERIOD);

    assert_eq!(ready_ids(&membership), ["b"]);
}

/// Guards against a new incarnation that gets no calls because the copy lacks the former one, whose
/// offset was higher.
#[test]
fn an_incarnation_that_registers_after_a_return_replaces_one_that_the_copy_lacks() {
    let mut membership = membership();
    membership.update(&list(position(0, 8), &[at_shared_address("a", position(0, 7))]), at_ms(0));
    membership.update(&list(position(1, 5), &[]), READ_PERIOD);

    let new = at_shared_address("b", position(1, 5));
    membership.update(&list(position(1, 6), &[new]), 2 * READ_PERIOD);

    assert_eq!(ready_ids(&membership), ["b"]);
}
