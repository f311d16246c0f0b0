//! Which endpoints prompts with the same beginning are sent to.
//!
//! All entries come to the same holders by rendezvous hashing, without telling
//! each other. A beginning that many prompts share gets several holders, so
//! that it fills none of them.

use std::collections::HashMap;

use crate::rendezvous_weight;

/// The part of an endpoint's fair share that one beginning may take.
const MAX_PART_OF_SHARE: f64 = 0.5;

/// After so many prompts all counts are halved, so that old ones fade.
const HALVED_AFTER: u32 = 2_048;

/// How many beginnings are counted at most.
const MAX_COUNTED: usize = 1_024;

/// How often each beginning came lately, at one entry.
#[derive(Clone, Debug, Default)]
pub struct PrefixCounts {
    counts: HashMap<u64, u32>,
    total: u32,
}

impl PrefixCounts {
    /// Counts a prompt and returns how many holders its beginning should have
    /// among so many endpoints.
    pub fn count(&mut self, prefix: &str, endpoints: usize) -> usize {
        let key = rendezvous_weight(prefix, "");
        self.total += 1;
        if self.counts.len() < MAX_COUNTED || self.counts.contains_key(&key) {
            *self.counts.entry(key).or_insert(0) += 1;
        }
        let part = f64::from(self.counts.get(&key).copied().unwrap_or(0)) / f64::from(self.total);
        if self.total >= HALVED_AFTER {
            self.fade();
        }
        let holders = (part * endpoints as f64 / MAX_PART_OF_SHARE).ceil() as usize;
        holders.clamp(1, endpoints.max(1))
    }

    fn fade(&mut self) {
        self.counts.values_mut().for_each(|count| *count /= 2);
        self.counts.retain(|_, count| *count > 0);
        self.total /= 2;
    }
}
