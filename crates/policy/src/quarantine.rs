//! Quarantine of poison requests: calls that crash each endpoint which begins to run them.
//!
//! A poison request is sent again under another id, at any entry, and takes down one endpoint after
//! the other. An endpoint that crashes runs a dozen calls, of which one is to blame at most. The
//! next crash shows which one, as an innocent call is seldom at two of them. The phase of a call is
//! further evidence: one whose answer had just begun counts as much as two that waited or had run
//! for a while.
//!
//! The evidence is a set of crashes for each call, a state-based CRDT: sets merge in any order and
//! any number of times to the same result, so that it does not matter by which paths, or how late,
//! processes exchange them.

use std::{collections::HashMap, time::Duration};

use lynxmount_core::{CallFingerprint, CallPhase, CrashReport, EndpointCrash, EndpointIncarnation};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::survived_calls::SurvivedCalls;

/// Score from which a call is quarantined: two crashes, in one of which it was beginning, or three.
const QUARANTINE_SCORE: u32 = 3;

/// Duration of a quarantine after the latest crash. A caller that retries for some minutes has
/// stopped by then, and a caller whose call is quarantined by mistake has given up after seconds
/// in any case.
const QUARANTINE_TIME: Duration = Duration::from_secs(240);

/// Duration of the quarantine of a call that was at another crash after that time: such a call
/// costs an endpoint a day at most. A popular call that is quarantined by mistake, as several
/// endpoints crash at once, gets through after the first quarantine.
const REPEATED_QUARANTINE_TIME: Duration = Duration::from_secs(24 * 3600);

/// How long crashes are kept that are not enough for a quarantine. An innocent call would collect
/// crashes over days otherwise.
const CRASH_RETENTION: Duration = Duration::from_secs(600);

/// Crashes of one call that are kept, the latest ones.
const MAX_CRASHES: usize = 8;

/// Calls that are kept: 2,500 entries with a dozen calls each at 300 endpoints that crash together.
/// About 200 bytes each.
const MAX_CALLS: usize = 4096;

/// Evidence against calls that were in progress at endpoints when these crashed.
#[derive(Debug, Default)]
pub struct Quarantine {
    crash_reports: HashMap<CallFingerprint, CrashReport>,
    survived: SurvivedCalls,
}

/// Result of merging another process's evidence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MergeOutcome {
    /// It contained nothing new.
    Unchanged,
    /// It contained something new.
    Updated,
    /// It contained something new, and this process has seen an endpoint survive the call.
    Cleared,
}

impl Quarantine {
    /// Records that an endpoint crashed while a call was in progress there. Returns whether that
    /// is new.
    pub fn record_crash(
        &mut self,
        call: CallFingerprint,
        incarnation: EndpointIncarnation,
        phase: CallPhase,
        now_s: u64,
    ) -> bool {
        let crash = EndpointCrash { incarnation, at_s: now_s, phase, is_cleared: false };
        self.merge(&CrashReport { call, crashes: vec![crash] }, now_s) != MergeOutcome::Unchanged
    }

    /// Records that an endpoint survived a call: crashes while it was in progress had another
    /// cause. Returns whether the call was suspected.
    pub fn record_survival(&mut self, call: CallFingerprint) -> bool {
        self.survived.insert(call);
        self.crash_reports.get_mut(&call).is_some_and(clear)
    }

    /// Merges another process's evidence against a call.
    pub fn merge(&mut self, received: &CrashReport, now_s: u64) -> MergeOutcome {
        if Quarantine::is_expired(received, now_s) {
            return MergeOutcome::Unchanged;
        }
        self.evict_for(&received.call);
        let empty = || CrashReport { call: received.call, crashes: Vec::new() };
        let known = self.crash_reports.entry(received.call).or_insert_with(empty);
        let new_crashes = received.crashes.iter().filter(|crash| merge_crash(known, crash)).count();
        match new_crashes {
            0 => MergeOutcome::Unchanged,
            _ if self.survived.contains(&received.call) && clear(known) => MergeOutcome::Cleared,
            _ => MergeOutcome::Updated,
        }
    }

    /// Remaining time of a call's quarantine; `None` if it may be sent.
    pub fn quarantined_for(&self, call: &CallFingerprint, now_s: u64) -> Option<Duration> {
        let crash_report = self.crash_reports.get(call)?;
        let duration = quarantine_time(crash_report)?;
        let until_s = latest_crash_s(crash_report) + duration.as_secs();
        (until_s > now_s).then(|| Duration::from_secs(until_s - now_s))
    }

    /// The evidence against a call.
    pub fn crash_report(&self, call: &CallFingerprint) -> Option<&CrashReport> {
        self.crash_reports.get(call)
    }

    /// The evidence against all calls.
    pub fn crash_reports(&self) -> impl Iterator<Item = &CrashReport> {
        self.crash_reports.values()
    }

    /// A digest of all evidence, independent of its order: equal if two processes have the same.
    pub fn digest(&self) -> u64 {
        let crashes = self.crash_reports.values().flat_map(|crash_report| {
            crash_report.crashes.iter().map(|crash| {
                let state = (crash.phase as u64) << 1 | u64::from(crash.is_cleared);
                xxh3_64_with_seed(
                    crash_report.call.as_bytes(),
                    crash.incarnation.wrapping_add(state),
                )
            })
        });
        crashes.fold(0, u64::wrapping_add)
    }

    /// Drops expired evidence, and returns the calls that it was against.
    pub fn expire(&mut self, now_s: u64) -> Vec<CallFingerprint> {
        let expired = self.crash_reports.extract_if(|_, s| Quarantine::is_expired(s, now_s));
        expired.map(|(call, _)| call).collect()
    }

    /// Whether the evidence against a call has expired.
    pub fn is_expired(crash_report: &CrashReport, now_s: u64) -> bool {
        expires_at_s(crash_report) <= now_s
    }

    /// Evicts the call that would expire first, if there is no capacity for another.
    fn evict_for(&mut self, call: &CallFingerprint) {
        if self.crash_reports.len() < MAX_CALLS || self.crash_reports.contains_key(call) {
            return;
        }
        let first = self.crash_reports.values().min_by_key(|s| (expires_at_s(s), s.call));
        if let Some(first) = first.map(|crash_report| crash_report.call) {
            self.crash_reports.remove(&first);
        }
    }
}

/// Merges one crash into the known ones. Returns whether it contains anything new.
fn merge_crash(known: &mut CrashReport, received: &EndpointCrash) -> bool {
    if let Some(crash) =
        known.crashes.iter_mut().find(|crash| crash.incarnation == received.incarnation)
    {
        let merged = EndpointCrash {
            incarnation: received.incarnation,
            at_s: crash.at_s.max(received.at_s),
            phase: crash.phase.max(received.phase),
            is_cleared: crash.is_cleared || received.is_cleared,
        };
        // Clocks differ; another time of the same crash is nothing new.
        let is_new = merged.phase != crash.phase || merged.is_cleared != crash.is_cleared;
        *crash = merged;
        return is_new;
    }
    known.crashes.push(*received);
    known.crashes.sort_by_key(|crash| (crash.at_s, crash.incarnation));
    let is_kept = known.crashes.len() <= MAX_CRASHES || known.crashes[0] != *received;
    if known.crashes.len() > MAX_CRASHES {
        known.crashes.remove(0);
    }
    is_kept
}

/// Clears a call of all crashes. Returns whether any counted against it.
fn clear(crash_report: &mut CrashReport) -> bool {
    let was_suspected = crash_report.crashes.iter().any(|crash| !crash.is_cleared);
    crash_report.crashes.iter_mut().for_each(|crash| crash.is_cleared = true);
    was_suspected
}

/// The score of a call by the crashes up to a moment.
fn score_until(crash_report: &CrashReport, until_s: u64) -> u32 {
    let counted =
        crash_report.crashes.iter().filter(|crash| !crash.is_cleared && crash.at_s <= until_s);
    counted.map(|crash| phase_score(crash.phase)).sum()
}

fn phase_score(phase: CallPhase) -> u32 {
    match phase {
        CallPhase::Waiting | CallPhase::Running => 1,
        CallPhase::Beginning => 2,
    }
}

/// Duration of a call's quarantine after the latest crash, if it is quarantined.
fn quarantine_time(crash_report: &CrashReport) -> Option<Duration> {
    let latest_s = latest_crash_s(crash_report);
    let is_enough = |until_s: u64| score_until(crash_report, until_s) >= QUARANTINE_SCORE;
    match is_enough(latest_s) {
        true if is_enough(latest_s.saturating_sub(QUARANTINE_TIME.as_secs())) => {
            Some(REPEATED_QUARANTINE_TIME)
        }
        true => Some(QUARANTINE_TIME),
        false => None,
    }
}

fn latest_crash_s(crash_report: &CrashReport) -> u64 {
    crash_report.crashes.iter().map(|crash| crash.at_s).max().unwrap_or_default()
}

/// When the evidence expires: some time after the quarantine, so that the next crash counts with
/// those before.
fn expires_at_s(crash_report: &CrashReport) -> u64 {
    let quarantine_time = quarantine_time(crash_report).unwrap_or_default();
    latest_crash_s(crash_report) + (quarantine_time + CRASH_RETENTION).as_secs()
}
