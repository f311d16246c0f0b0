//! Which of several registrations at one address is valid.

use std::{net::SocketAddr, time::Duration};

use lynxmount_core::{EndpointList, EndpointRecord, EndpointState, LogPosition};
use lynxmount_policy::Membership;

fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn registration(id: &str, offset: u64) -> EndpointRecord {
    let at = LogPosition { era: 0, offset };
    EndpointRecord {
        id: id.into(),
        service: "s".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        failure_domain: "z".into(),
        slots: 1,
        state: EndpointState::Ready,
        started_ms: None,
        listed_at: at,
        written_at: at,
    }
}

/// A membership that has read these registrations.
fn membership_of(endpoints: &[EndpointRecord]) -> Membership {
    let mut membership = Membership::default();
    let as_of = LogPosition { era: 0, offset: 9 };
    membership.update(&EndpointList { as_of, endpoints: endpoints.to_vec() }, at_ms(0));
    membership
}

/// Another endpoint answers a call to this one. Returns whether its address is contested.
fn misdirect(membership: &mut Membership, endpoint: &EndpointRecord, now: Duration) -> bool {
    membership.on_misdirected(endpoint.id.clone(), endpoint.started_ms, now)
}

fn valid_ids(membership: &Membership) -> Vec<String> {
    membership.endpoints(|_| true).iter().map(|endpoint| endpoint.id.to_string()).collect()
}

#[test]
fn an_endpoint_that_answers_keeps_its_address_from_a_later_registration() {
    let (live, odd) = (registration("live", 1), registration("odd", 2));
    let mut membership = membership_of(&[live, odd.clone()]);
    let before = valid_ids(&membership);

    let is_contested = misdirect(&mut membership, &odd, at_ms(100));

    assert!(is_contested);
    assert_eq!(before, ["odd"]);
    assert_eq!(valid_ids(&membership), ["live"]);
}

/// A start time of another writer is no evidence either.
#[test]
fn an_endpoint_that_answers_keeps_its_address_from_one_that_claims_to_have_started_later() {
    let live = EndpointRecord { started_ms: Some(5), ..registration("live", 1) };
    let odd = EndpointRecord { started_ms: Some(u64::MAX), ..registration("odd", 2) };
    let mut membership = membership_of(&[live, odd.clone()]);

    misdirect(&mut membership, &odd, at_ms(100));

    assert_eq!(valid_ids(&membership), ["live"]);
}

/// The address of an endpoint that has ended may be used again at any time.
#[test]
fn a_reused_address_goes_over_with_the_first_answer_for_its_new_endpoint() {
    let (first, second) = (registration("first", 1), registration("second", 2));
    let mut membership = membership_of(&[first.clone(), second.clone()]);
    misdirect(&mut membership, &second, at_ms(100));
    let before = valid_ids(&membership);

    misdirect(&mut membership, &first, at_ms(200));

    assert_eq!(before, ["first"]);
    assert_eq!(valid_ids(&membership), ["second"]);
}

#[test]
fn a_later_incarnation_is_not_misdirected_by_what_was_known_of_the_former_one() {
    let former = registration("a", 1);
    let mut membership = membership_of(std::slice::from_ref(&former));
    misdirect(&mut membership, &former, at_ms(100));
    let restarted = EndpointRecord { started_ms: Some(7), ..registration("a", 3) };
    let as_of = LogPosition { era: 0, offset: 12 };
    let other = registration("b", 2);
    let list = EndpointList { as_of, endpoints: vec![restarted, other.clone()] };

    membership.update(&list, at_ms(800));
    misdirect(&mut membership, &other, at_ms(900));

    assert_eq!(valid_ids(&membership), ["a"]);
}

#[test]
fn a_registration_without_a_rival_stays_though_another_endpoint_answers() {
    let only = registration("only", 1);
    let mut membership = membership_of(std::slice::from_ref(&only));

    let is_contested = misdirect(&mut membership, &only, at_ms(100));

    assert!(!is_contested);
    assert_eq!(valid_ids(&membership), ["only"]);
}
