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

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use lynxmount_core::{
    CallIdentity, CallPhase, CallTag, EndpointIncarnation, EvidenceWeight, SegmentCrash, SegmentId,
    SegmentReport,
};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::SegmentPopularity;

/// Evidence from which on a segment is quarantined, in nats: one in 150 by chance.
const QUARANTINE_NATS: f64 = 5.0;

/// Evidence from which on a segment is quarantined for the whole time, in nats.
const CERTAIN_NATS: f64 = 10.0;

/// Crashes from which on a quarantined segment is so for the whole time: another trial would cost
/// more than the segment's calls lose.
const MAX_TRIAL_CRASHES: usize = 4;

/// Bursts in which endpoints must have crashed under a segment, unless the evidence is certain. A
/// single one may be a shared failure of machines.
const MIN_BURSTS: usize = 2;

/// Different calls under which endpoints must have crashed. A call that is repeated may be poison
/// by itself.
const MIN_CALLS: usize = 2;

/// Crashes of a service within this time are one burst.
const BURST_TIME: Duration = Duration::from_millis(300);

/// Duration of a quarantine on little evidence. The next call is a trial.
const SHORT_QUARANTINE: Duration = Duration::from_secs(30);

/// Duration of a quarantine on sufficient evidence.
const QUARANTINE_TIME: Duration = Duration::from_secs(240);

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

const NAT: f64 = 100.0;

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
            weight: (-by_chance.ln() * NAT) as EvidenceWeight,
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

    /// The verdicts that explain the crashes, by greedy set cover.
    fn cover(&self, now: Duration) -> Vec<SegmentVerdict> {
        let mut explained: HashSet<CrashKey> = HashSet::new();
        let mut verdicts = Vec::new();
        let mut candidates: Vec<(&SegmentId, &Suspect)> =
            self.suspects.iter().filter(|(_, suspect)| suspect.uncleared().count() > 1).collect();
        candidates.sort_by_key(|(segment, _)| **segment);
        loop {
            let assessed = candidates
                .iter()
                .filter_map(|(segment, suspect)| self.assess(segment, suspect, &explained));
            let best = assessed.clone().reduce(|best, other| match other.nats > best.nats {
                true => other,
                false => best,
            });
            let Some(best) = best else { return verdicts };
            let is_tied = |other: &Assessment| {
                other.incarnations == best.incarnations && best.nats - other.nats < 1.0 / NAT
            };
            let segments = assessed.filter(is_tied).map(|tied| tied.segment).collect();
            let service = best.segment.service;
            explained.extend(best.incarnations.iter().map(|incarnation| (service, *incarnation)));
            verdicts.push(self.verdict(segments, best, now));
        }
    }

    fn verdict(&self, segments: Vec<SegmentId>, best: Assessment, now: Duration) -> SegmentVerdict {
        let service = best.segment.service;
        let learned_at = |incarnation: &EndpointIncarnation| {
            self.crashes.get(&(service, *incarnation)).map(|record| record.learned_at)
        };
        let latest = best.incarnations.iter().filter_map(learned_at).max();
        let is_certain = best.nats >= CERTAIN_NATS || best.incarnations.len() >= MAX_TRIAL_CRASHES;
        let time = if is_certain { QUARANTINE_TIME } else { SHORT_QUARANTINE };
        SegmentVerdict {
            segments,
            incarnations: best.incarnations,
            evidence_nats: best.nats,
            until: latest.unwrap_or(now) + time.mul_f64(1.0 + self.stagger),
        }
    }

    /// Adds up the evidence against a segment from crashes that no other segment explains. `None`
    /// if it is not enough.
    fn assess(
        &self,
        segment: &SegmentId,
        suspect: &Suspect,
        explained: &HashSet<CrashKey>,
    ) -> Option<Assessment> {
        let service = segment.service;
        let counted: Vec<(&SegmentCrash, CrashRecord)> = suspect
            .uncleared()
            .filter(|crash| !explained.contains(&(service, crash.incarnation)))
            .filter_map(|crash| Some((crash, *self.crashes.get(&(service, crash.incarnation))?)))
            .collect();
        let since = counted.iter().map(|(_, record)| record.learned_at).min()?;
        let bursts: BTreeSet<EndpointIncarnation> =
            counted.iter().map(|(_, record)| record.burst).collect();
        let calls: HashSet<CallTag> = counted.iter().map(|(crash, _)| crash.call).collect();
        if calls.len() < MIN_CALLS {
            return None;
        }
        let sizes = self.unexplained_bursts(service, since, explained);
        let evidence: f64 = bursts
            .iter()
            .map(|burst| {
                let of_burst = counted.iter().filter(|(_, record)| record.burst == *burst);
                let weight: f64 =
                    of_burst.clone().map(|(crash, _)| f64::from(crash.weight) / NAT).sum();
                let size = sizes.get(burst).copied().unwrap_or(1);
                (weight - ln_choose(size, of_burst.count())).max(0.0)
            })
            .sum();
        let nats = evidence - ln_choose(sizes.len().saturating_sub(1), bursts.len() - 1);
        let needed = if bursts.len() < MIN_BURSTS { CERTAIN_NATS } else { QUARANTINE_NATS };
        (nats >= needed).then(|| Assessment {
            segment: *segment,
            incarnations: suspect.uncleared().map(|crash| crash.incarnation).collect(),
            nats,
        })
    }

    /// The bursts of a service since a moment, and how many crashes of each are not explained.
    fn unexplained_bursts(
        &self,
        service: u32,
        since: Duration,
        explained: &HashSet<CrashKey>,
    ) -> HashMap<EndpointIncarnation, usize> {
        let mut sizes = HashMap::new();
        for (key, record) in &self.crashes {
            if key.0 == service && record.learned_at >= since && !explained.contains(key) {
                *sizes.entry(record.burst).or_default() += 1;
            }
        }
        sizes
    }
}

/// A segment that explains crashes.
#[derive(Clone, Debug)]
struct Assessment {
    segment: SegmentId,
    incarnations: BTreeSet<EndpointIncarnation>,
    nats: f64,
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

/// The logarithm of the number of ways to choose `k` of `n`.
fn ln_choose(n: usize, k: usize) -> f64 {
    let k = k.min(n);
    (0..k).map(|index| ((n - index) as f64 / (index + 1) as f64).ln()).sum()
}
