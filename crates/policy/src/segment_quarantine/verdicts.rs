//! Verdicts on segments: which of them explain the crashes, and for how long they are quarantined.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    time::Duration,
};

use lynxmount_core::{CallTag, EndpointIncarnation, SegmentCrash, SegmentId};

use super::{
    CrashKey, CrashRecord, MIN_BURSTS, SegmentQuarantine, SegmentVerdict, Suspect, UNITS_PER_NAT,
};

/// Evidence from which on a segment is quarantined, in nats: one in 150 by chance.
const QUARANTINE_NATS: f64 = 5.0;

/// Evidence from which on a segment is quarantined for the whole time, in nats.
const CERTAIN_NATS: f64 = 10.0;

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
                other.incarnations == best.incarnations
                    && best.nats - other.nats < 1.0 / UNITS_PER_NAT
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
                let weight: f64 = of_burst
                    .clone()
                    .map(|(crash, _)| f64::from(crash.weight) / UNITS_PER_NAT)
                    .sum();
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

/// The logarithm of the number of ways to choose `k` of `n`.
fn ln_choose(n: usize, k: usize) -> f64 {
    let k = k.min(n);
    (0..k).map(|index| ((n - index) as f64 / (index + 1) as f64).ln()).sum()
}
