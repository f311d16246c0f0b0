//! Rendezvous (highest random weight) hashing: every process derives the same order of members for
//! a key, and a member that leaves moves only its own keys.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The members with the highest weights for a key, highest first.
pub fn rendezvous<'a, T>(
    key: &str,
    members: &'a [T],
    name: impl Fn(&T) -> &str,
    count: usize,
) -> Vec<&'a T> {
    let mut weighted: Vec<(u64, &T)> =
        members.iter().map(|m| (rendezvous_weight(key, name(m)), m)).collect();
    weighted.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    weighted.into_iter().take(count).map(|(_, member)| member).collect()
}

/// The weight of one member for a key.
pub fn rendezvous_weight(key: &str, member: &str) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(member.as_bytes(), seed)
}
