//! Prefix-cache affinity: counts prompt prefixes, and sizes the set of endpoints for each.
//!
//! All entries derive the same holders of a prefix by rendezvous hashing, without coordination. A
//! prefix that many prompts share gets several holders, so that it fills none of them.

use std::collections::HashMap;

use crate::rendezvous_weight;

/// Fraction of an endpoint's fair share of prompts that one prefix may take.
const MAX_FRACTION_OF_SHARE: f64 = 0.5;

/// Prompts after which all counts are halved, so that old ones decay.
const DECAY_PERIOD_PROMPTS: u32 = 2_048;

/// Prefixes that are counted at most.
const MAX_PREFIXES: usize = 1_024;

/// How many recent prompts of one entry had each prefix.
#[derive(Clone, Debug, Default)]
pub struct PrefixCounts {
    counts: HashMap<u64, u32>,
    total: u32,
}

impl PrefixCounts {
    /// Counts a prompt. Returns how many of so many endpoints should hold its prefix.
    pub fn count(&mut self, prefix: &str, endpoints: usize) -> usize {
        let key = rendezvous_weight(prefix, "");
        self.total += 1;
        if self.counts.len() < MAX_PREFIXES || self.counts.contains_key(&key) {
            *self.counts.entry(key).or_insert(0) += 1;
        }
        let fraction =
            f64::from(self.counts.get(&key).copied().unwrap_or(0)) / f64::from(self.total);
        if self.total >= DECAY_PERIOD_PROMPTS {
            self.decay();
        }
        let holders = (fraction * endpoints as f64 / MAX_FRACTION_OF_SHARE).ceil() as usize;
        holders.clamp(1, endpoints.max(1))
    }

    fn decay(&mut self) {
        self.counts.values_mut().for_each(|count| *count /= 2);
        self.counts.retain(|_, count| *count > 0);
        self.total /= 2;
    }
}
