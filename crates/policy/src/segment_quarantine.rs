//! Quarantine of prompt segments: parts of prompts under which endpoints crash, whatever else the
//! calls with them contain.
//!
//! A crashed endpoint ran a dozen calls, and most of their segments are innocent. Each crash
//! speaks against the segments in flight by its weight of evidence (I. J. Good): the less time a
//! segment is in flight at endpoints that don't crash, the less likely it was there by chance.
//! Weights add up over crashes at different moments; crashes at about the same moment have a cause
//! of their own, such as the loss of a failure domain. An endpoint may crash at any moment of a
//! call, so only a call that has completed is evidence for its segments: it clears them of half of
//! the crashes before the call was sent. Some calls with a poison segment may end too soon to crash
//! their endpoints.
//!
//! Verdicts are a greedy set cover: the segment with the most evidence explains its crashes, which
//! then no longer count against others. So a segment that always comes with a poison one is not
//! quarantined, unless the two can't be told apart.
//!
//! The evidence merges in any order and any number of times to the same result, like that of
//! [`Quarantine`](crate::Quarantine).

mod verdicts;

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    time::Duration,
};

use lynxmount_core::{
    CallIdentity, CallPhase, CallTag, EndpointIncarnation, EvidenceWeight, SegmentCrash, SegmentId,
    SegmentReport,
};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::segment_exposure::SegmentExposure;

/// Bursts in which endpoints must have crashed under a segment, unless the evidence is certain. A
/// single one may be a shared failure of machines.
const MIN_BURSTS: usize = 2;

/// Crashes of a service within this time are one burst.
const BURST_TIME: Duration = Duration::from_millis(300);

/// Largest fraction by which a process lengthens its quarantines, so that entries do not all try
/// a segment again at once.
const MAX_STAGGER: f64 = 0.5;

/// How long evidence is kept after the latest crash.
const RETENTION: Duration = Duration::from_secs(900);

/// Calls that compete for the blame at a crash if none of them was seen to begin its answer: the
/// slots of an endpoint, of which each entry sees a part.
const USUAL_CALLS: usize = 16;

/// A completed call clears its segments of one in so many of their crashes, rounded up.
const CLEARED_DIVISOR: usize = 2;

/// Calls at one crash that are told apart.
const MAX_CALLS_AT_CRASH: usize = 64;

/// Crashes of one segment that are kept: those that count, and of these the latest ones.
const MAX_CRASHES: usize = 32;

/// Segments that are kept: eight segments of a dozen calls each at 40 endpoints.
const MAX_SEGMENTS_KEPT: usize = 4096;

/// Units of [`EvidenceWeight`] in a nat.
const UNITS_PER_NAT: f64 = 100.0;

/// Evidence against prompt segments, and the verdicts on them.
#[derive(Debug, Default)]
pub struct SegmentQuarantine {
    exposure: SegmentExposure,
    suspects: HashMap<SegmentId, Suspect>,
    crashes: HashMap<CrashKey, CrashRecord>,
    verdicts: Vec<SegmentVerdict>,
    /// Fraction by which this process lengthens its quarantines.
    stagger: f64,
}

/// A service and one of its incarnations.
type CrashKey = (u32, EndpointIncarnation);

#[derive(Clone, Debug)]
struct CrashRecord {
    burst: EndpointIncarnation,
    learned_at: Duration,
    /// Calls of all entries that were in flight, as far as their segments tell them apart.
    calls: HashSet<CallTag>,
}

/// A crash that this process has detected, and its calls that were in flight.
struct ObservedCrash<'a> {
    incarnation: EndpointIncarnation,
    calls: &'a [(CallIdentity, CallPhase)],
    now: Duration,
    now_s: u64,
}

#[derive(Debug, Default)]
struct Suspect {
    crashes: Vec<SegmentCrash>,
}

/// A verdict: calls with all of these segments crash their endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct SegmentVerdict {
    /// One segment, or several that can't be told apart.
    pub segments: Vec<SegmentId>,
    /// The crashes that it explains.
    pub incarnations: BTreeSet<EndpointIncarnation>,
    /// The evidence in nats.
    pub evidence_nats: f64,
    /// Until when the segments are quarantined.
    pub until: Duration,
}

impl SegmentQuarantine {
    /// A process's quarantine without evidence.
    pub fn new(process: &str) -> SegmentQuarantine {
        let fraction = xxh3_64(process.as_bytes()) as f64 / u64::MAX as f64;
        SegmentQuarantine { stagger: MAX_STAGGER * fraction, ..SegmentQuarantine::default() }
    }

    /// Records that a call is sent for the first time.
    pub fn record_call(&mut self, call: &CallIdentity, now: Duration) {
        self.exposure.record_call(call, now);
    }

    /// Records that a call is not in flight any more.
    pub fn record_end(&mut self, call: CallTag, now: Duration) {
        self.exposure.record_end(call, now);
    }

    /// Records that an endpoint crashed while calls of this entry were in flight there. Returns
    /// the segments against which that is new evidence.
    pub fn record_crash(
        &mut self,
        incarnation: EndpointIncarnation,
        calls: &[(CallIdentity, CallPhase)],
        now: Duration,
        now_s: u64,
    ) -> Vec<SegmentId> {
        calls.iter().for_each(|(call, _)| self.exposure.record_crash(call.fingerprint.tag()));
        let segments: BTreeSet<SegmentId> =
            calls.iter().flat_map(|(call, _)| call.segments.iter().copied()).collect();
        let crash = ObservedCrash { incarnation, calls, now, now_s };
        let report = |segment: SegmentId| {
            let crash = self.crash_under(segment, &crash)?;
            Some(SegmentReport { segment, crashes: vec![crash] })
        };
        let reports: Vec<SegmentReport> = segments.into_iter().filter_map(report).collect();
        let new = reports.iter().filter(|report| self.merge(report, now));
        new.map(|report| report.segment).collect()
    }

    /// Records that an endpoint has completed a call that was sent at a moment, and was at no
    /// other endpoint before. Returns the segments that were cleared of crashes although they were,
    /// or might soon have been, quarantined.
    pub fn record_survival(
        &mut self,
        call: &CallIdentity,
        sent_at: Duration,
        now: Duration,
    ) -> Vec<SegmentId> {
        self.exposure.record_completion(call.fingerprint.tag(), now);
        let is_cleared = |segment: &&SegmentId| self.clear_crashes(segment, sent_at);
        call.segments.iter().filter(is_cleared).copied().collect()
    }

    /// Clears a segment of the first half of its crashes before a moment. Returns whether others
    /// need to know.
    fn clear_crashes(&mut self, segment: &SegmentId, before: Duration) -> bool {
        let Some(suspect) = self.suspects.get_mut(segment) else { return false };
        let record_of =
            |crash: &SegmentCrash| self.crashes.get(&(segment.service, crash.incarnation));
        let bursts: HashSet<EndpointIncarnation> =
            suspect.uncleared().filter_map(record_of).map(|record| record.burst).collect();
        let is_earlier = |crash: &&mut SegmentCrash| {
            !crash.is_cleared && record_of(crash).is_some_and(|record| record.learned_at < before)
        };
        let mut earlier: Vec<&mut SegmentCrash> =
            suspect.crashes.iter_mut().filter(is_earlier).collect();
        if earlier.is_empty() {
            return false;
        }
        earlier.sort_by_key(|crash| (crash.at_s, crash.incarnation));
        let cleared = earlier.len().div_ceil(CLEARED_DIVISOR);
        earlier.into_iter().take(cleared).for_each(|crash| crash.is_cleared = true);
        let is_condemned = self.verdicts.iter().any(|verdict| verdict.segments.contains(segment));
        is_condemned || bursts.len() >= MIN_BURSTS
    }

    /// Merges evidence against a segment. Returns whether it contains anything new.
    pub fn merge(&mut self, received: &SegmentReport, now: Duration) -> bool {
        self.evict_for(&received.segment);
        let mut is_new = false;
        for crash in &received.crashes {
            is_new |= self.merge_burst((received.segment.service, crash.incarnation), crash, now);
            is_new |= self.suspects.entry(received.segment).or_default().merge(crash);
        }
        is_new
    }

    /// Updates the verdicts after new evidence. Returns those that are new.
    pub fn update_verdicts(&mut self, now: Duration) -> Vec<SegmentVerdict> {
        let verdicts = self.cover(now);
        let is_new = |verdict: &&SegmentVerdict| {
            let is_same = |known: &SegmentVerdict| {
                known.segments == verdict.segments && known.until >= verdict.until
            };
            !self.verdicts.iter().any(is_same)
        };
        let new: Vec<SegmentVerdict> = verdicts.iter().filter(is_new).cloned().collect();
        self.verdicts = verdicts;
        new.iter().for_each(|verdict| self.report_own_evidence(verdict, now));
        new
    }

    /// The verdict under which calls with these segments are quarantined, if any, and its
    /// remaining time.
    pub fn verdict_on(
        &self,
        segments: &[SegmentId],
        now: Duration,
    ) -> Option<(&SegmentVerdict, Duration)> {
        let applies = |verdict: &&SegmentVerdict| {
            verdict.until > now && verdict.segments.iter().all(|s| segments.contains(s))
        };
        let verdict = self.verdicts.iter().filter(applies).max_by_key(|verdict| verdict.until)?;
        Some((verdict, verdict.until - now))
    }

    /// The evidence against a segment.
    pub fn report(&self, segment: &SegmentId) -> Option<SegmentReport> {
        let suspect = self.suspects.get(segment)?;
        let crashes = suspect
            .crashes
            .iter()
            .map(|crash| SegmentCrash { burst: self.known_burst(segment, crash), ..*crash });
        Some(SegmentReport { segment: *segment, crashes: crashes.collect() })
    }

    /// The evidence against all segments.
    pub fn reports(&self) -> impl Iterator<Item = SegmentReport> {
        self.suspects.keys().filter_map(|segment| self.report(segment))
    }

    /// A digest of all evidence, independent of its order: equal if two processes have the same.
    pub fn digest(&self) -> u64 {
        let of = |segment: &SegmentId, crash: &SegmentCrash| {
            let state = u64::from(crash.weight) << 1 | u64::from(crash.is_cleared);
            let key = [segment.number, u64::from(segment.service), crash.incarnation, state];
            let bytes: Vec<u8> = key.iter().flat_map(|number| number.to_be_bytes()).collect();
            xxh3_64_with_seed(&bytes, self.known_burst(segment, crash))
        };
        let crashes = self.suspects.iter().flat_map(|(segment, suspect)| {
            suspect.crashes.iter().map(move |crash| of(segment, crash))
        });
        crashes.fold(0, u64::wrapping_add)
    }

    /// Drops expired evidence, and returns the segments that it was against.
    pub fn expire(&mut self, now: Duration) -> Vec<SegmentId> {
        let crashes = &mut self.crashes;
        crashes.retain(|_, record| now.saturating_sub(record.learned_at) < RETENTION);
        let is_kept = |segment: &SegmentId, suspect: &Suspect| {
            suspect
                .crashes
                .iter()
                .any(|crash| crashes.contains_key(&(segment.service, crash.incarnation)))
        };
        let expired = self.suspects.extract_if(|segment, suspect| !is_kept(segment, suspect));
        expired.map(|(segment, _)| segment).collect()
    }

    /// The probability that a call in flight has a segment, if endpoints survive it: the lower one
    /// of all calls, and of those since its first crash, as a segment may have been sound until
    /// then.
    fn survived_share(&self, segment: &SegmentId, now: Duration) -> f64 {
        let share = self.exposure.survived_share(segment, Duration::ZERO, now);
        let learned_at = |crash: &SegmentCrash| {
            self.crashes.get(&(segment.service, crash.incarnation)).map(|record| record.learned_at)
        };
        let suspect = self.suspects.get(segment);
        let since = suspect.and_then(|suspect| suspect.uncleared().filter_map(learned_at).min());
        since.map_or(share, |since| share.min(self.exposure.survived_share(segment, since, now)))
    }

    /// The crash of an endpoint as evidence against a segment; `None` if no call had it.
    fn crash_under(&self, segment: SegmentId, crash: &ObservedCrash<'_>) -> Option<SegmentCrash> {
        let with_segment = crash.calls.iter().filter(|(call, _)| call.segments.contains(&segment));
        let tag = |(call, _): &(CallIdentity, CallPhase)| call.fingerprint.tag();
        let in_phase = |phase: CallPhase| {
            let is_in_phase = move |(_, other): &&(CallIdentity, CallPhase)| *other == phase;
            with_segment.clone().filter(is_in_phase).map(tag).min()
        };
        let beginning = in_phase(CallPhase::Beginning);
        let waiting = in_phase(CallPhase::Waiting);
        let running = in_phase(CallPhase::Running);
        let call = beginning.or(waiting).or(running)?;
        let is_beginning = |(_, phase): &&(CallIdentity, CallPhase)| *phase == CallPhase::Beginning;
        let competitors = match (beginning, waiting) {
            (Some(_), _) => crash.calls.iter().filter(is_beginning).count() as f64,
            (None, Some(_)) => crash.calls.len().max(USUAL_CALLS) as f64,
            // Segments of running calls are told apart by each entry for itself.
            (None, None) => f64::INFINITY,
        };
        let by_chance = (self.exposure.sent_share(&segment) * competitors).min(1.0);
        Some(SegmentCrash {
            incarnation: crash.incarnation,
            burst: self.burst_of((segment.service, crash.incarnation), crash.now),
            call,
            at_s: crash.now_s,
            weight: (-by_chance.ln() * UNITS_PER_NAT) as EvidenceWeight,
            is_cleared: false,
        })
    }

    /// The burst of a crash: that of the first crash of its service shortly before.
    fn burst_of(&self, key: CrashKey, now: Duration) -> EndpointIncarnation {
        let (service, incarnation) = key;
        if let Some(known) = self.crashes.get(&key) {
            return known.burst;
        }
        let is_opener = |(other, record): &(&CrashKey, &CrashRecord)| {
            other.0 == service
                && other.1 == record.burst
                && now.saturating_sub(record.learned_at) < BURST_TIME
        };
        let opener = self.crashes.iter().filter(is_opener).map(|(_, record)| record.burst).min();
        opener.unwrap_or(incarnation)
    }

    /// Records the burst of a crash. The lower of two wins, so that all processes agree. Returns
    /// whether that is new.
    fn merge_burst(&mut self, key: CrashKey, received: &SegmentCrash, now: Duration) -> bool {
        let record =
            CrashRecord { burst: received.burst, learned_at: now, calls: HashSet::default() };
        let known = self.crashes.entry(key).or_insert(record);
        if known.calls.len() < MAX_CALLS_AT_CRASH {
            known.calls.insert(received.call);
        }
        let is_new = received.burst < known.burst;
        known.burst = known.burst.min(received.burst);
        is_new
    }

    /// The burst of a crash as far as it is known, which may be newer than the evidence.
    fn known_burst(&self, segment: &SegmentId, crash: &SegmentCrash) -> EndpointIncarnation {
        let record = self.crashes.get(&(segment.service, crash.incarnation));
        record.map_or(crash.burst, |record| record.burst)
    }

    fn evict_for(&mut self, segment: &SegmentId) {
        if self.suspects.len() < MAX_SEGMENTS_KEPT || self.suspects.contains_key(segment) {
            return;
        }
        let least = self.suspects.iter().min_by_key(|(segment, suspect)| {
            let weight: u32 = suspect.uncleared().map(|crash| u32::from(crash.weight)).sum();
            (suspect.uncleared().count(), weight, **segment)
        });
        if let Some(least) = least.map(|(segment, _)| *segment) {
            self.suspects.remove(&least);
        }
    }
}

impl Suspect {
    fn uncleared(&self) -> impl Iterator<Item = &SegmentCrash> {
        self.crashes.iter().filter(|crash| !crash.is_cleared)
    }

    /// Merges a crash. Returns whether it contains anything new.
    fn merge(&mut self, received: &SegmentCrash) -> bool {
        let is_same = |crash: &&mut SegmentCrash| crash.incarnation == received.incarnation;
        let Some(known) = self.crashes.iter_mut().find(is_same) else {
            self.crashes.push(*received);
            self.crashes.sort_by_key(|crash| (!crash.is_cleared, crash.at_s, crash.incarnation));
            if self.crashes.len() > MAX_CRASHES {
                let dropped = self.crashes.remove(0);
                return dropped.incarnation != received.incarnation;
            }
            return true;
        };
        let merged = SegmentCrash {
            incarnation: known.incarnation,
            burst: known.burst.min(received.burst),
            call: known.call.min(received.call),
            at_s: known.at_s.max(received.at_s),
            weight: known.weight.max(received.weight),
            is_cleared: known.is_cleared || received.is_cleared,
        };
        // Clocks differ; another time of the same crash is nothing new.
        let is_new = SegmentCrash { at_s: known.at_s, ..merged } != *known;
        *known = merged;
        is_new
    }
}
