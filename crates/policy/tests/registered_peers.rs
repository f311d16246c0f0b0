//! Peers' addresses while their registry lacks living peers.

use std::{net::SocketAddr, time::Duration};

use lynxmount_core::{LogPosition, PeerRegistration};
use lynxmount_policy::{MEMBERSHIP_CONVERGENCE_TIME, RegisteredPeers, shows_first_start};

fn peer(host: u8) -> SocketAddr {
    ([127, 0, 0, host], 1).into()
}

/// Registrations that are not renewed.
fn registered(hosts: &[u8]) -> Vec<PeerRegistration> {
    hosts.iter().map(|host| renewed(*host, 0)).collect()
}

fn renewed(host: u8, offset: u64) -> PeerRegistration {
    PeerRegistration { address: peer(host), written_at: LogPosition { era: 0, offset } }
}

fn hosts(peers: &RegisteredPeers) -> Vec<SocketAddr> {
    peers.addresses().into_iter().collect()
}

/// Guards against entries that take larger shares of endpoints' rate limits than they have, because
/// the copy lacks peers that have registered since.
#[test]
fn peers_that_the_copy_lacks_are_kept_until_they_have_had_time_to_register_again() {
    let mut peers = RegisteredPeers::default();
    peers.update(0, &registered(&[1, 2]), Duration::ZERO);

    let restored_at = Duration::from_secs(8);
    peers.update(1, &registered(&[1]), restored_at);
    assert_eq!(hosts(&peers), [peer(1), peer(2)]);

    peers.update(1, &registered(&[1, 3]), restored_at + Duration::from_secs(1));
    assert_eq!(hosts(&peers), [peer(1), peer(2), peer(3)]);

    for second in 2..=9 {
        peers.update(1, &registered(&[1, 3]), restored_at + Duration::from_secs(second));
    }
    assert_eq!(hosts(&peers), [peer(1), peer(3)]);
}

/// Guards against shares that grow for all peers at once, because their registrations have expired.
#[test]
fn a_peer_that_is_no_longer_listed_is_kept_until_it_has_had_time_to_register_again() {
    let mut peers = RegisteredPeers::default();
    peers.update(4, &registered(&[1, 2, 3]), Duration::ZERO);
    let expired_at = Duration::from_secs(8);

    for second in 0..9 {
        let listed = if second < 4 { registered(&[]) } else { registered(&[1, 3]) };
        peers.update(4, &listed, expired_at + Duration::from_secs(second));
        assert_eq!(hosts(&peers), [peer(1), peer(2), peer(3)]);
        assert!(!peers.is_settled());
    }
    peers.update(4, &registered(&[1, 3]), expired_at + MEMBERSHIP_CONVERGENCE_TIME);

    assert_eq!(hosts(&peers), [peer(1), peer(3)]);
    assert!(peers.is_settled());
}

#[test]
fn time_without_reads_is_no_time_to_register_again() {
    let mut peers = RegisteredPeers::default();
    peers.update(4, &registered(&[1, 2]), Duration::ZERO);
    peers.update(4, &registered(&[1]), Duration::from_secs(1));

    let regained_at = Duration::from_secs(30);
    peers.update(4, &registered(&[1]), regained_at);
    assert_eq!(hosts(&peers), [peer(1), peer(2)]);

    for second in 1..=9 {
        peers.update(4, &registered(&[1]), regained_at + Duration::from_secs(second));
    }
    assert_eq!(hosts(&peers), [peer(1)]);
}

#[test]
fn a_late_list_of_an_earlier_era_is_ignored() {
    let mut peers = RegisteredPeers::default();
    peers.update(2, &registered(&[1]), Duration::ZERO);

    peers.update(1, &registered(&[2]), Duration::from_secs(1));

    assert_eq!(hosts(&peers), [peer(1)]);
}

/// Guards against an entry that is held to its share among peers that are gone.
#[test]
fn a_peer_that_does_not_renew_its_registration_expires() {
    let mut peers = RegisteredPeers::default();
    let read = |peers: &mut RegisteredPeers, second: u64| {
        let registrations = [renewed(1, second / 24), renewed(2, 0)];
        peers.update(0, &registrations, Duration::from_secs(second));
    };
    for second in (0..75).step_by(8) {
        read(&mut peers, second);
        assert_eq!(hosts(&peers), [peer(1), peer(2)], "{second} s");
    }

    read(&mut peers, 75);

    assert_eq!(hosts(&peers), [peer(1)]);
}

#[test]
fn registrations_do_not_expire_while_nobody_can_renew_them() {
    let mut peers = RegisteredPeers::default();
    peers.update(0, &registered(&[1, 2]), Duration::ZERO);

    let regained_at = Duration::from_secs(300);
    peers.update(0, &registered(&[1, 2]), regained_at);
    assert_eq!(hosts(&peers), [peer(1), peer(2)]);

    for second in (8..=80).step_by(8) {
        peers.update(0, &registered(&[1, 2]), regained_at + Duration::from_secs(second));
    }
    assert!(hosts(&peers).is_empty());
}

#[test]
fn the_newest_registration_of_an_address_counts() {
    let mut peers = RegisteredPeers::default();
    for second in (0..=80).step_by(8) {
        let registrations = [renewed(1, 100 + second / 24), renewed(1, 7)];
        peers.update(0, &registrations, Duration::from_secs(second));
    }

    assert_eq!(hosts(&peers), [peer(1)]);
}

/// Guards against entries that start together and take each other for their predecessors, so that
/// callers get failures although retries are left.
#[test]
fn processes_that_start_together_have_no_predecessor() {
    let at = |host: u8| SocketAddr::from(([10, 0, 0, host], 8000));
    let is_first = |era, offset, hosts: &[u8]| {
        shows_first_start(LogPosition { era, offset }, hosts.iter().map(|host| at(*host)), at(9))
    };

    assert!(is_first(0, 0, &[]));
    assert!(is_first(0, 2, &[1, 2]));
    // Another record was written: a process has started again, or was dropped.
    assert!(!is_first(0, 3, &[1, 2]));
    assert!(!is_first(0, 1, &[]));
    // This process's address has registered before.
    assert!(!is_first(0, 2, &[1, 9]));
    // One address under two names.
    assert!(!is_first(0, 2, &[1, 1]));
    // The registry was restored from a copy.
    assert!(!is_first(1, 2, &[1, 2]));
}
