//! Which calls are held back because endpoints end under them.
//!
//! Answers the load of a call that ends each endpoint which begins to run it, and is sent
//! again under another id, at any entry. An endpoint that ends holds a dozen calls, of which
//! one is to blame at most. Which one shows by the next end: an innocent call is seldom at
//! two of them. How far a call was tells more: one whose answer had just begun counts as
//! much as two that waited or had run for a while.
//!
//! What is known is a set of ends for each call. Two such sets join in any order, and as
//! often as one likes, to the same set, so that it does not matter by which ways, or how
//! late, processes tell each other.

use std::{collections::HashMap, time::Duration};

use lynxmount_core::{CallFingerprint, CallPhase, EndUnderCall, EndpointLife, Suspicion};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::survived_calls::SurvivedCalls;

/// Points from which on a call is quarantined: two crashes, one of which found it beginning, or
/// three.
const VERDICT_POINTS: u32 = 3;

/// How long a call is held back after the latest end: a caller that comes back for some
/// minutes is over it, and a call that was held back in error is lost to its caller after
/// seconds in any case.
const VERDICT_LIFE: Duration = Duration::from_secs(240);

/// How long a call is held back under which an endpoint has ended again after that time: it
/// costs an endpoint a day at most. A call that many ask, and that is held back in error as
/// several endpoints end at once, gets through after the first time.
const LASTING_VERDICT_LIFE: Duration = Duration::from_secs(24 * 3600);

/// How long ends are remembered that are not enough for a verdict. An innocent call would
/// collect ends over days otherwise.
const SUSPICION_LIFE: Duration = Duration::from_secs(600);

/// Ends of one call that are kept, the latest ones.
const MAX_ENDS: usize = 8;

/// Calls that are kept: 2,500 entries with a dozen calls each at 300 endpoints that end
/// together. About 200 bytes each.
const MAX_CALLS: usize = 4096;

/// What processes know of calls under which endpoints end.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspicions: HashMap<CallFingerprint, Suspicion>,
    answered: SurvivedCalls,
}

/// What has come of taking what another process knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MergeOutcome {
    /// It was known before.
    Unchanged,
    /// It was new.
    Updated,
    /// It was new, and this process knows that an endpoint has outlived the call.
    Cleared,
}

impl Quarantine {
    /// Takes that an endpoint ended while a call was there. Returns whether that is new.
    pub fn record_crash(
        &mut self,
        call: CallFingerprint,
        life: EndpointLife,
        phase: CallPhase,
        now_s: u64,
    ) -> bool {
        let end = EndUnderCall { life, at_s: now_s, phase, is_cleared: false };
        self.merge(&Suspicion { call, ends: vec![end] }, now_s) != MergeOutcome::Unchanged
    }

    /// Takes that an endpoint has outlived a call: what ended endpoints while it was there
    /// was something else. Returns whether it was suspected.
    pub fn record_survival(&mut self, call: CallFingerprint) -> bool {
        self.answered.insert(call);
        self.suspicions.get_mut(&call).is_some_and(clear)
    }

    /// Takes what another process knows of a call.
    pub fn merge(&mut self, told: &Suspicion, now_s: u64) -> MergeOutcome {
        if Quarantine::is_expired(told, now_s) {
            return MergeOutcome::Unchanged;
        }
        self.make_room(&told.call);
        let empty = || Suspicion { call: told.call, ends: Vec::new() };
        let known = self.suspicions.entry(told.call).or_insert_with(empty);
        let new_ends = told.ends.iter().filter(|end| join(known, end)).count();
        match new_ends {
            0 => MergeOutcome::Unchanged,
            _ if self.answered.contains(&told.call) && clear(known) => MergeOutcome::Cleared,
            _ => MergeOutcome::Updated,
        }
    }

    /// For how long a call is held back; `None` if it may be sent.
    pub fn quarantined_for(&self, call: &CallFingerprint, now_s: u64) -> Option<Duration> {
        let suspicion = self.suspicions.get(call)?;
        let life = verdict_life(suspicion)?;
        let until_s = latest_end_s(suspicion) + life.as_secs();
        (until_s > now_s).then(|| Duration::from_secs(until_s - now_s))
    }

    /// What is known of a call.
    pub fn suspicion(&self, call: &CallFingerprint) -> Option<&Suspicion> {
        self.suspicions.get(call)
    }

    /// What is known of all calls.
    pub fn suspicions(&self) -> impl Iterator<Item = &Suspicion> {
        self.suspicions.values()
    }

    /// Tells apart whether two processes know the same, whatever its order.
    pub fn digest(&self) -> u64 {
        let ends = self.suspicions.values().flat_map(|suspicion| {
            suspicion.ends.iter().map(|end| {
                let state = (end.phase as u64) << 1 | u64::from(end.is_cleared);
                xxh3_64_with_seed(suspicion.call.as_bytes(), end.life.wrapping_add(state))
            })
        });
        ends.fold(0, u64::wrapping_add)
    }

    /// Forgets what no longer counts, and returns of which calls.
    pub fn expire(&mut self, now_s: u64) -> Vec<CallFingerprint> {
        let over = self.suspicions.extract_if(|_, s| Quarantine::is_expired(s, now_s));
        over.map(|(call, _)| call).collect()
    }

    /// Says whether what was told of a call no longer counts.
    pub fn is_expired(told: &Suspicion, now_s: u64) -> bool {
        lives_until_s(told) <= now_s
    }

    /// Forgets the call that would be forgotten first, if there is no room for another.
    fn make_room(&mut self, call: &CallFingerprint) {
        if self.suspicions.len() < MAX_CALLS || self.suspicions.contains_key(call) {
            return;
        }
        let first = self.suspicions.values().min_by_key(|s| (lives_until_s(s), s.call));
        if let Some(first) = first.map(|suspicion| suspicion.call) {
            self.suspicions.remove(&first);
        }
    }
}

/// Joins an end to those that are known. Returns whether it says anything new.
fn join(known: &mut Suspicion, told: &EndUnderCall) -> bool {
    if let Some(end) = known.ends.iter_mut().find(|end| end.life == told.life) {
        let joined = EndUnderCall {
            life: told.life,
            at_s: end.at_s.max(told.at_s),
            phase: end.phase.max(told.phase),
            is_cleared: end.is_cleared || told.is_cleared,
        };
        // Clocks differ; another time of the same end is no news.
        let is_new = joined.phase != end.phase || joined.is_cleared != end.is_cleared;
        *end = joined;
        return is_new;
    }
    known.ends.push(*told);
    known.ends.sort_by_key(|end| (end.at_s, end.life));
    let is_kept = known.ends.len() <= MAX_ENDS || known.ends[0] != *told;
    if known.ends.len() > MAX_ENDS {
        known.ends.remove(0);
    }
    is_kept
}

/// Clears a call of all ends. Returns whether any spoke against it.
fn clear(suspicion: &mut Suspicion) -> bool {
    let was_suspected = suspicion.ends.iter().any(|end| !end.is_cleared);
    suspicion.ends.iter_mut().for_each(|end| end.is_cleared = true);
    was_suspected
}

/// The points of ends up to a moment.
fn points_until(suspicion: &Suspicion, until_s: u64) -> u32 {
    let against = suspicion.ends.iter().filter(|end| !end.is_cleared && end.at_s <= until_s);
    against.map(|end| points_of(end.phase)).sum()
}

fn points_of(phase: CallPhase) -> u32 {
    match phase {
        CallPhase::Waiting | CallPhase::Running => 1,
        CallPhase::Beginning => 2,
    }
}

/// How long a call is held back after the latest end, if it is.
fn verdict_life(suspicion: &Suspicion) -> Option<Duration> {
    let latest_s = latest_end_s(suspicion);
    let is_enough = |until_s: u64| points_until(suspicion, until_s) >= VERDICT_POINTS;
    match is_enough(latest_s) {
        true if is_enough(latest_s.saturating_sub(VERDICT_LIFE.as_secs())) => {
            Some(LASTING_VERDICT_LIFE)
        }
        true => Some(VERDICT_LIFE),
        false => None,
    }
}

fn latest_end_s(suspicion: &Suspicion) -> u64 {
    suspicion.ends.iter().map(|end| end.at_s).max().unwrap_or_default()
}

/// Until when it is remembered: beyond the end of a verdict, so that the next end counts
/// with those before.
fn lives_until_s(suspicion: &Suspicion) -> u64 {
    let verdict_life = verdict_life(suspicion).unwrap_or_default();
    latest_end_s(suspicion) + (verdict_life + SUSPICION_LIFE).as_secs()
}
