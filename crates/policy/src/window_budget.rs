//! A retry budget over a sliding window, shared by entries without coordination.
//!
//! Each entry knows its own calls and retries since its process started. Each call earns a fraction
//! of a retry, its credit. Credits expire soon, as callers may move to other entries, and those of
//! different times at different entries add up. A retry may have to wait for an endpoint; it is
//! reserved until it is sent, and paid then, as it arrives in the window of that moment.
//!
//! Retries that calls have not earned come from a slack for each window. It is divided among the
//! entries, and what a former process at an entry's address, or an entry that has just left, has used
//! of it in the same window is unknown. So a share starts small and grows with the time for which the
//! entries are known, one that doesn't know them has none, and the largest number of entries in the
//! window counts. The load is endpoints that fail while entries crash, join, leave or lose their
//! registrations, and while callers move from one entry to another.

use std::{collections::VecDeque, time::Duration};

use crate::{MembershipEvidence, membership_evidence::MAX_LIST_AGE};

/// Fraction of the retries that calls earn which entries use.
const EARNED_FRACTION: f64 = 0.8;

/// Fraction of its share of the slack that a process gets once entries that it does not see have
/// stopped using theirs.
const STEADY_FRACTION: f64 = 0.6;

/// Fraction up to which the share grows in the first window, as in a slow start. What successive
/// processes at one address use in any window stays within the share, and so does what entries that
/// miss those which have joined use beside them.
const SLOW_START_FRACTION: f64 = 1.0 - STEADY_FRACTION;

/// Fraction of its share of the slack that a process with a possible predecessor gets at first, up
/// to one retry.
const FIRST_RETRY_FRACTION: f64 = 0.05;

/// Fraction of its share that a process without a predecessor gets until it knows its peers.
const UNCONFIRMED_FRACTION: f64 = 0.15;

/// Time after the start until a process knows the peers that have started with it.
const PEERS_KNOWN_AFTER: Duration = Duration::from_secs(2);

/// Slices in which the window is counted.
const SLICES: u32 = 20;

/// Lifetime of a call's credit, in slices after that of the call.
const CREDIT_SLICES: u32 = 3;

// Retries in a window are paid by credits of calls in it, or in the lifetime of a credit before it.
const _: () = {
    let earning_slices = (SLICES + 1 + CREDIT_SLICES) as f64;
    assert!(EARNED_FRACTION * earning_slices <= SLICES as f64);
};

/// Largest rounding error of sums of credits.
const TOLERANCE: f64 = 1e-9;

/// Bound of the repeated arrivals at a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowBudgetOptions {
    /// Repeated arrivals as a fraction of the calls.
    pub ratio: f64,
    /// Additional repeated arrivals, from all entries together.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Whether another process has used an entry's share of the slack before the current one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Predecessor {
    /// No entry has run before those that start together with this one.
    None,
    /// A process may have run until the current one started, at its address or elsewhere.
    #[default]
    Possible,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    index: u64,
    calls: u32,
    /// Retries paid by the credits of these calls.
    paid_by_credit: f64,
    /// Retries paid by the slack in this slice.
    paid_by_slack: f64,
    /// The largest number of entries.
    entries: usize,
}

/// The retry budget of one entry for one service.
#[derive(Clone, Debug)]
pub struct WindowBudget {
    options: WindowBudgetOptions,
    predecessor: Predecessor,
    evidence: MembershipEvidence,
    /// Retries since the start.
    withdrawn: u64,
    /// Those of them that the slack has paid.
    paid_by_slack: f64,
    /// Retries that are reserved and not sent.
    reserved: u32,
    slices: VecDeque<Slice>,
}

impl WindowBudget {
    /// Starts with an empty window.
    pub fn new(options: WindowBudgetOptions) -> WindowBudget {
        WindowBudget {
            options,
            predecessor: Predecessor::default(),
            evidence: MembershipEvidence::default(),
            withdrawn: 0,
            paid_by_slack: 0.0,
            reserved: 0,
            slices: VecDeque::new(),
        }
    }

    /// Sets whether the entry has had another process.
    pub fn set_predecessor(&mut self, predecessor: Predecessor) {
        self.predecessor = predecessor;
    }

    /// Sets whether this entry knows all entries.
    pub fn set_evidence(&mut self, evidence: MembershipEvidence) {
        self.evidence = evidence;
    }

    /// Counts the first arrival of a call.
    pub fn record_call(&mut self, now: Duration) {
        self.current_slice(now).calls += 1;
    }

    /// Whether this entry's share of the budget has a number of retries besides the reserved ones.
    /// `now` is the time since the start of the process.
    pub fn has_retries(&mut self, count: u32, entries: usize, now: Duration) -> bool {
        let needed = f64::from(count + self.reserved);
        needed <= self.available(entries, now) + TOLERANCE
    }

    /// The retries that were withdrawn since the start.
    pub fn withdrawn(&self) -> u64 {
        self.withdrawn
    }

    /// Those of them that calls had not earned.
    pub fn paid_by_slack(&self) -> f64 {
        self.paid_by_slack
    }

    /// Withdraws a number of retries from this entry's share of the budget, all or none. Returns
    /// whether it had them. `now` is the time since the start of the process.
    pub fn try_withdraw(&mut self, count: u32, entries: usize, now: Duration) -> bool {
        let has_retries = self.has_retries(count, entries, now);
        if has_retries {
            self.pay(count, now);
        }
        has_retries
    }

    /// Reserves a retry, which may have to wait before it is sent. Returns whether there was one.
    pub fn try_reserve(&mut self, entries: usize, now: Duration) -> bool {
        let has_retry = self.has_retries(1, entries, now);
        self.reserved += u32::from(has_retry);
        has_retry
    }

    /// Withdraws a reserved retry as it is sent. It is gone if the credits for it have expired and the
    /// slack is used up. Returns whether it may be sent.
    pub fn try_withdraw_reserved(&mut self, entries: usize, now: Duration) -> bool {
        self.release_reserved();
        let has_retry = 1.0 <= self.available(entries, now) + TOLERANCE;
        if has_retry {
            self.pay(1, now);
        }
        has_retry
    }

    /// Returns a reserved retry that is not sent.
    pub fn release_reserved(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Whether nothing in the window counts any more.
    pub fn is_unused(&mut self, now: Duration) -> bool {
        self.drop_old_slices(now);
        self.slices.is_empty() && self.reserved == 0
    }

    /// The retries that this entry's share of the budget has, including the reserved ones.
    fn available(&mut self, entries: usize, now: Duration) -> f64 {
        let current = self.current_slice(now);
        current.entries = current.entries.max(entries);
        self.credit(now) + self.free_slack(now)
    }

    /// Pays retries with the credits that expire first, and with the slack beyond these.
    fn pay(&mut self, count: u32, now: Duration) {
        self.withdrawn += u64::from(count);
        let (oldest, rate) = (self.oldest_credit(now), self.credit_per_call());
        let mut due = f64::from(count);
        for slice in self.slices.iter_mut().filter(|slice| slice.index >= oldest) {
            let part = slice.credit(rate).min(due);
            slice.paid_by_credit += part;
            due -= part;
        }
        self.current_slice(now).paid_by_slack += due;
        self.paid_by_slack += due;
    }

    /// The retries that calls have earned and not paid.
    fn credit(&self, now: Duration) -> f64 {
        let (oldest, rate) = (self.oldest_credit(now), self.credit_per_call());
        let slices = self.slices.iter().filter(|slice| slice.index >= oldest);
        slices.map(|slice| slice.credit(rate)).sum()
    }

    fn credit_per_call(&self) -> f64 {
        EARNED_FRACTION * self.options.ratio
    }

    /// Index of the oldest slice whose calls have their credit.
    fn oldest_credit(&self, now: Duration) -> u64 {
        self.slice_index(now).saturating_sub(CREDIT_SLICES.into())
    }

    fn used_slack(&self) -> f64 {
        self.slices.iter().map(|slice| slice.paid_by_slack).sum()
    }

    /// This entry's part of the slack less the retries that it has paid.
    fn free_slack(&self, now: Duration) -> f64 {
        (self.own_slack(now) - self.used_slack()).max(0.0)
    }

    /// This entry's part of the slack.
    fn own_slack(&self, now: Duration) -> f64 {
        let entries = self.slices.iter().map(|slice| slice.entries).max();
        let share = self.options.slack / entries.unwrap_or_default().max(1) as f64;
        let (known_since, is_current) = match self.evidence {
            MembershipEvidence::None | MembershipEvidence::Unconfirmed => {
                return self.unconfirmed_slack(share, now);
            }
            MembershipEvidence::Current { since } => (since, true),
            MembershipEvidence::Stale { since } => (since, false),
        };
        let windows = now.saturating_sub(known_since).as_secs_f64() / self.window().as_secs_f64();
        let slow_start = SLOW_START_FRACTION * windows.min(1.0) * share;
        match self.predecessor {
            Predecessor::None if now < PEERS_KNOWN_AFTER => {
                slow_start.max(UNCONFIRMED_FRACTION * share)
            }
            Predecessor::None if now < self.window() => STEADY_FRACTION * share,
            // No entry is older than its list, so that none is unseen.
            Predecessor::None if is_current && known_since < self.window() => {
                STEADY_FRACTION * share
            }
            _ if is_current && now >= known_since + self.unseen_shares_expiry() => {
                STEADY_FRACTION * share
            }
            Predecessor::None | Predecessor::Possible => slow_start.max(first_retry(share)),
        }
    }

    /// Time after this entry's first list until the shares of entries that it lacks have expired: these
    /// use them until their own list is old, and what they have used counts for a window.
    fn unseen_shares_expiry(&self) -> Duration {
        MAX_LIST_AGE + self.window()
    }

    /// This entry's part of the slack while it does not know all entries. Those that start together
    /// without a predecessor may all divide by one.
    fn unconfirmed_slack(&self, share: f64, now: Duration) -> f64 {
        match self.predecessor {
            Predecessor::None if now < PEERS_KNOWN_AFTER => UNCONFIRMED_FRACTION * share,
            _ if self.evidence == MembershipEvidence::Unconfirmed => first_retry(share),
            Predecessor::None | Predecessor::Possible => 0.0,
        }
    }

    fn window(&self) -> Duration {
        self.options.window.max(Duration::from_millis(1))
    }

    /// The current slice; those that have left the window are dropped.
    fn current_slice(&mut self, now: Duration) -> &mut Slice {
        let index = self.drop_old_slices(now);
        if self.slices.back().is_none_or(|slice| slice.index != index) {
            self.slices.push_back(Slice { index, ..Slice::default() });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }

    /// Drops the slices that have left the window, and returns the index of the current one.
    fn drop_old_slices(&mut self, now: Duration) -> u64 {
        let index = self.slice_index(now);
        while self.slices.front().is_some_and(|s| s.index + u64::from(SLICES) < index) {
            self.slices.pop_front();
        }
        index
    }

    fn slice_index(&self, now: Duration) -> u64 {
        let width = self.window() / SLICES;
        (now.as_nanos() / width.as_nanos().max(1)) as u64
    }
}

impl Slice {
    /// What its calls have earned at this rate and not paid.
    fn credit(&self, per_call: f64) -> f64 {
        (per_call * f64::from(self.calls) - self.paid_by_credit).max(0.0)
    }
}

/// What a process gets at first of its share.
fn first_retry(share: f64) -> f64 {
    (FIRST_RETRY_FRACTION * share).min(1.0)
}
