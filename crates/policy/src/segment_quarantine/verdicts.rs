//! Verdicts on segments: which of them explain the crashes, and for how long they are quarantined.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    time::Duration,
};

use lynxmount_core::{CallTag, EndpointIncarnation, EvidenceWeight, SegmentCrash, SegmentId};

use super::{
    CrashKey, CrashRecord, MIN_BURSTS, SegmentQuarantine, SegmentVerdict, Suspect, UNITS_PER_NAT,
};

/// Evidence from which on a segment is quarantined, in nats: one in 150 by chance.
const QUARANTINE_NATS: f64 = 5.0;

/// The same with what this entry has learned since the crashes, in nats. That changes with each
/// call, and so by chance more often.
const OWN_QUARANTINE_NATS: f64 = 8.0;

/// Bursts in which endpoints must have crashed for that.
const OWN_MIN_BURSTS: usize = 3;

/// The same after more bursts: an innocent segment is rarely in flight at many one after the other.
const OWN_LATER_QUARANTINE_NATS: f64 = 7.0;
const OWN_LATER_MIN_BURSTS: usize = 5;

/// Evidence down to which a quarantine continues, in nats. The calls at a crash become known one
/// after the other, and weigh against each other.
const KEEP_NATS: f64 = 5.0;

/// Evidence from which on a segment is quarantined for the whole time, in nats.
const CERTAIN_NATS: f64 = 10.0;

/// Own evidence, in nats, and bursts from which on it is reported to other processes. A burst may be
/// the loss of a failure domain, when many innocent segments are in flight.
const REPORTED_OWN_NATS: f64 = 13.0;
const REPORTED_OWN_MIN_BURSTS: usize = 6;

/// Crashes from which on a quarantined segment is so for the whole time: another trial would cost
/// more than the segment's calls lose.
const MAX_TRIAL_CRASHES: usize = 4;

/// Duration of a quarantine on little evidence. The next call is a trial.
const SHORT_QUARANTINE: Duration = Duration::from_secs(30);

/// Duration of a quarantine on sufficient evidence.
const QUARANTINE_TIME: Duration = Duration::from_secs(240);

/// Different calls under which endpoints must have crashed. A call that is repeated may be poison
/// by itself.
const MIN_CALLS: usize = 2;

/// A segment that may explain crashes.
struct Candidate<'a> {
    segment: SegmentId,
    suspect: &'a Suspect,
    /// The probability that a call in flight at this entry has it by chance.
    share: f64,
    /// Whether it is quarantined.
    is_kept: bool,
}

/// Crashes under a segment that no other segment explains.
struct UnexplainedCrashes<'a> {
    counted: &'a [(&'a SegmentCrash, &'a CrashRecord)],
    bursts: &'a BTreeSet<EndpointIncarnation>,
    /// Crashes of the service in each of its bursts.
    sizes: &'a HashMap<EndpointIncarnation, usize>,
}

/// A segment that explains crashes.
#[derive(Clone, Debug)]
struct Assessment {
    segment: SegmentId,
    incarnations: BTreeSet<EndpointIncarnation>,
    nats: f64,
}

impl SegmentQuarantine {
    /// The verdicts that explain the crashes, by greedy set cover.
    pub(super) fn cover(&self, now: Duration) -> Vec<SegmentVerdict> {
        let mut explained: HashSet<CrashKey> = HashSet::new();
        let mut verdicts = Vec::new();
        let suspects = self.suspects.iter().filter(|(_, suspect)| suspect.uncleared().count() > 1);
        let mut candidates: Vec<Candidate<'_>> =
            suspects.map(|(segment, suspect)| self.candidate(segment, suspect, now)).collect();
        candidates.sort_by_key(|candidate| candidate.segment);
        loop {
            let assessed =
                candidates.iter().filter_map(|candidate| self.assess(candidate, &explained));
            let best = assessed.clone().reduce(|best, other| match other.nats > best.nats {
                true => other,
                false => best,
            });
            let Some(best) = best else { return verdicts };
            let is_tied = |other: &Assessment| {
                other.incarnations == best.incarnations
                    && best.nats - other.nats < 1.0 / UNITS_PER_NAT
            };
            let segments = assessed.filter(is_tied).map(|tied| tied.segment).collect();
            let service = best.segment.service;
            explained.extend(best.incarnations.iter().map(|incarnation| (service, *incarnation)));
            verdicts.push(self.verdict(segments, best, now));
        }
    }

    /// Raises the reported weights of a verdict's crashes by what this process has learned since.
    /// Others may have seen too few calls to reach the verdict.
    pub(super) fn report_own_evidence(&mut self, verdict: &SegmentVerdict, now: Duration) {
        if verdict.evidence_nats < REPORTED_OWN_NATS
            || self.bursts_of(verdict) < REPORTED_OWN_MIN_BURSTS
        {
            return;
        }
        for segment in &verdict.segments {
            let share = self.survived_share(segment, now);
            let Some(suspect) = self.suspects.get_mut(segment) else { continue };
            let known_calls = |crash: &SegmentCrash| {
                let record = self.crashes.get(&(segment.service, crash.incarnation));
                record.map_or(0, |record| record.calls.len())
            };
            let calls: Vec<usize> = suspect.uncleared().map(known_calls).collect();
            let mean_calls = calls.iter().sum::<usize>() as f64 / calls.len().max(1) as f64;
            let uncleared = suspect.crashes.iter_mut().filter(|crash| !crash.is_cleared);
            for (crash, calls) in uncleared.zip(calls) {
                let nats = own_nats(share, mean_calls.max(calls as f64));
                crash.weight = crash.weight.max((nats * UNITS_PER_NAT) as EvidenceWeight);
            }
        }
    }

    fn bursts_of(&self, verdict: &SegmentVerdict) -> usize {
        let service = verdict.segments.first().map(|segment| segment.service);
        let record_of = |incarnation: &EndpointIncarnation| {
            self.crashes.get(&(service?, *incarnation)).map(|record| record.burst)
        };
        verdict.incarnations.iter().filter_map(record_of).collect::<HashSet<_>>().len()
    }

    fn candidate<'a>(
        &self,
        segment: &SegmentId,
        suspect: &'a Suspect,
        now: Duration,
    ) -> Candidate<'a> {
        let is_kept = self.verdicts.iter().any(|known| known.segments.contains(segment));
        Candidate { segment: *segment, suspect, share: self.survived_share(segment, now), is_kept }
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
        candidate: &Candidate<'_>,
        explained: &HashSet<CrashKey>,
    ) -> Option<Assessment> {
        let Candidate { segment, suspect, share, is_kept } = *candidate;
        let service = segment.service;
        let counted: Vec<(&SegmentCrash, &CrashRecord)> = suspect
            .uncleared()
            .filter(|crash| !explained.contains(&(service, crash.incarnation)))
            .filter_map(|crash| Some((crash, self.crashes.get(&(service, crash.incarnation))?)))
            .collect();
        let since = counted.iter().map(|(_, record)| record.learned_at).min()?;
        let bursts: BTreeSet<EndpointIncarnation> =
            counted.iter().map(|(_, record)| record.burst).collect();
        let calls: HashSet<CallTag> = counted.iter().map(|(crash, _)| crash.call).collect();
        if calls.len() < MIN_CALLS {
            return None;
        }
        let sizes = self.unexplained_bursts(service, since, explained);
        let crashes = UnexplainedCrashes { counted: &counted, bursts: &bursts, sizes: &sizes };
        let reported = crashes.evidence_nats(reported_nats);
        let known_calls: usize = counted.iter().map(|(_, record)| record.calls.len()).sum();
        let mean_calls = known_calls as f64 / counted.len() as f64;
        let own = crashes.evidence_nats(|crash, record| {
            reported_nats(crash, record)
                .max(own_nats(share, mean_calls.max(record.calls.len() as f64)))
        });
        let is_enough = match bursts.len() {
            _ if is_kept => own >= KEEP_NATS,
            count if count < MIN_BURSTS => own >= CERTAIN_NATS,
            count if is_own_evidence_enough(count, own) => true,
            _ => reported >= QUARANTINE_NATS,
        };
        is_enough.then(|| Assessment {
            segment,
            incarnations: suspect.uncleared().map(|crash| crash.incarnation).collect(),
            nats: own,
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

impl UnexplainedCrashes<'_> {
    /// Adds up what each crash says, less the ways to choose the bursts, and the crashes of each.
    fn evidence_nats(&self, nats: impl Fn(&SegmentCrash, &CrashRecord) -> f64) -> f64 {
        let of_burst = |burst: &EndpointIncarnation| {
            let in_burst = self.counted.iter().filter(|(_, record)| record.burst == *burst);
            let sum: f64 = in_burst.clone().map(|(crash, record)| nats(crash, record)).sum();
            let size = self.sizes.get(burst).copied().unwrap_or(1);
            (sum - ln_choose(size, in_burst.count())).max(0.0)
        };
        let evidence: f64 = self.bursts.iter().map(of_burst).sum();
        evidence - ln_choose(self.sizes.len().saturating_sub(1), self.bursts.len() - 1)
    }
}

/// Whether evidence from a number of bursts suffices with what this entry has learned since.
fn is_own_evidence_enough(bursts: usize, nats: f64) -> bool {
    let is_enough = bursts >= OWN_MIN_BURSTS && nats >= OWN_QUARANTINE_NATS;
    is_enough || bursts >= OWN_LATER_MIN_BURSTS && nats >= OWN_LATER_QUARANTINE_NATS
}

/// How much a crash speaks against a segment by what its observer knew then.
fn reported_nats(crash: &SegmentCrash, _record: &CrashRecord) -> f64 {
    f64::from(crash.weight) / UNITS_PER_NAT
}

/// How much a crash speaks against a segment that a call in flight has with a certain probability.
fn own_nats(share: f64, calls_in_flight: f64) -> f64 {
    -(share * calls_in_flight).min(1.0).ln()
}

/// The logarithm of the number of ways to choose `k` of `n`.
fn ln_choose(n: usize, k: usize) -> f64 {
    let k = k.min(n);
    (0..k).map(|index| ((n - index) as f64 / (index + 1) as f64).ln()).sum()
}
