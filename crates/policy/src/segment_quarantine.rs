//! Quarantine of prompt segments: parts of prompts under which endpoints crash, whatever else the
//! calls with them contain.
//!
//! A crashed endpoint ran a dozen calls, and most of their segments are innocent. Each crash
//! speaks against the segments in flight by its weight of evidence (I. J. Good): the less popular a
//! segment, the less likely it was there by chance. Weights add up over crashes at different
//! moments; crashes at about the same moment have a cause of their own, such as the loss of a
//! failure domain. A call with a segment that survives its beginning clears the segment of all
//! crashes before the call was sent.
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
    sync::Arc,
    time::Duration,
};

use lynxmount_core::{
    CallIdentity, CallPhase, EndpointIncarnation, EvidenceWeight, SegmentCrash, SegmentId,
    SegmentReport,
};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::SegmentPopularity;

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

/// Crashes of one segment that are kept: those that count, and of these the latest ones.
const MAX_CRASHES: usize = 32;

/// Segments that are kept: eight segments of a dozen calls each at 40 endpoints.
const MAX_SEGMENTS_KEPT: usize = 4096;

/// Units of [`EvidenceWeight`] in a nat.
const UNITS_PER_NAT: f64 = 100.0;

/// Evidence against prompt segments, and the verdicts on them.
#[derive(Debug, Default)]
pub struct SegmentQuarantine {
    popularity: SegmentPopularity,
    suspects: HashMap<SegmentId, Suspect>,
    crashes: HashMap<CrashKey, CrashRecord>,
    verdicts: Vec<SegmentVerdict>,
    /// Fraction by which this process lengthens its quarantines.
    stagger: f64,
}

/// A service and one of its incarnations.
type CrashKey = (u32, EndpointIncarnation);

#[derive(Clone, Copy, Debug)]
struct CrashRecord {
    burst: EndpointIncarnation,
    learned_at: Duration,
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

    /// Counts a call, whether it is sent or not.
    pub fn record_call(&mut self, segments: &Arc<[SegmentId]>) {
        self.popularity.record_call(segments);
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
        let segments: BTreeSet<SegmentId> =
            calls.iter().flat_map(|(call, _)| call.segments.iter().copied()).collect();
        let is_new = |segment: &SegmentId| {
            let Some(crash) = self.crash_under(*segment, incarnation, calls, now, now_s) else {
                return false;
            };
            self.merge(&SegmentReport { segment: *segment, crashes: vec![crash] }, now)
        };
        segments.into_iter().filter(is_new).collect()
    }

    /// Records that the endpoint of a call survived the beginning of its answer. Returns the
    /// segments that were cleared although they were, or might soon have been, quarantined.
    pub fn record_survival(&mut self, segments: &[SegmentId], sent_at: Duration) -> Vec<SegmentId> {
        let mut cleared = Vec::new();
        for segment in segments {
            let Some(suspect) = self.suspects.get_mut(segment) else { continue };
            let burst_of = |crash: &SegmentCrash| {
                let record = self.crashes.get(&(segment.service, crash.incarnation));
                record.map(|record| record.burst)
            };
            let bursts: HashSet<EndpointIncarnation> =
                suspect.uncleared().filter_map(burst_of).collect();
            let earlier = suspect.crashes.iter_mut().filter(|crash| {
                let key = (segment.service, crash.incarnation);
                !crash.is_cleared
                    && self.crashes.get(&key).is_some_and(|record| record.learned_at < sent_at)
            });
            let count = earlier.map(|crash| crash.is_cleared = true).count();
            let is_condemned = self.verdicts.iter().any(|v| v.segments.contains(segment));
            if count > 0 && (is_condemned || bursts.len() >= MIN_BURSTS) {
                cleared.push(*segment);
            }
        }
        cleared
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
        let new = verdicts.iter().filter(is_new).cloned().collect();
        self.verdicts = verdicts;
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

    /// The crash of an endpoint as evidence against a segment; `None` if no call had it.
    fn crash_under(
        &self,
        segment: SegmentId,
        incarnation: EndpointIncarnation,
        calls: &[(CallIdentity, CallPhase)],
        now: Duration,
        now_s: u64,
    ) -> Option<SegmentCrash> {
        let with_segment = calls.iter().filter(|(call, _)| call.segments.contains(&segment));
        let is_beginning = |(_, phase): &&(CallIdentity, CallPhase)| *phase == CallPhase::Beginning;
        let tag = |(call, _): &(CallIdentity, CallPhase)| call.fingerprint.tag();
        let beginning = with_segment.clone().filter(is_beginning).map(tag).min();
        let call = beginning.or_else(|| with_segment.map(tag).min())?;
        let competitors = match beginning.is_some() {
            true => calls.iter().filter(is_beginning).count(),
            false => calls.len().max(USUAL_CALLS),
        };
        let by_chance = (self.popularity.share(&segment) * competitors as f64).min(1.0);
        let burst = self.burst_of((segment.service, incarnation), now);
        Some(SegmentCrash {
            incarnation,
            burst,
            call,
            at_s: now_s,
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
        let record = CrashRecord { burst: received.burst, learned_at: now };
        let known = self.crashes.entry(key).or_insert(record);
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
