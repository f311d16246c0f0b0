//! What a process knows of the members among which a whole is divided.
//!
//! A process that has not read the list of members knows neither how many there are nor whether they
//! count it. Its settings and its age show neither, so that a share of the whole needs a list that
//! names the process, and is taken back once such lists are missing.

use std::time::Duration;

/// Time between a list that names the process and a later one that confirms it. Members that have
/// started together with the process may not be in its first list.
const CONFIRMED_AFTER: Duration = Duration::from_millis(800);

/// Longest time between two lists. Members that have joined meanwhile may not be known.
pub(crate) const MAX_LIST_AGE: Duration = Duration::from_secs(10);

/// Time without a list after which other members may have dropped this process.
const DROPPED_AFTER: Duration = Duration::from_secs(75);

/// Whether a process knows all members. Times are since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum MembershipEvidence {
    /// No list names it.
    #[default]
    None,
    /// A recent list names it, which no later one has confirmed yet.
    Unconfirmed,
    /// Lists have named it since a time, the last one recently.
    Current {
        /// When the first of these lists was read.
        since: Duration,
    },
    /// Lists have named it since a time, but none does any more, or none was read recently.
    Stale {
        /// When the first of these lists was read.
        since: Duration,
    },
}

/// Tracks the lists that name a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct MembershipTracker {
    since: Option<Duration>,
    listed_at: Duration,
    is_listed: bool,
}

impl MembershipTracker {
    /// Records that the list of members was read, and whether it names this process.
    pub fn on_list(&mut self, is_listed: bool, now: Duration) {
        let is_dropped = now >= self.listed_at + DROPPED_AFTER;
        self.is_listed = is_listed;
        if is_listed {
            self.since = self.since.filter(|_| !is_dropped).or(Some(now));
            self.listed_at = now;
        }
    }

    /// What is known now.
    pub fn evidence(&self, now: Duration) -> MembershipEvidence {
        let age = now.saturating_sub(self.listed_at);
        let is_recent = self.is_listed && age <= MAX_LIST_AGE;
        match self.since {
            Some(since) if self.listed_at < since + CONFIRMED_AFTER => match is_recent {
                true => MembershipEvidence::Unconfirmed,
                false => MembershipEvidence::None,
            },
            Some(since) if is_recent => MembershipEvidence::Current { since },
            Some(since) if age < DROPPED_AFTER => MembershipEvidence::Stale { since },
            Some(_) | None => MembershipEvidence::None,
        }
    }
}
