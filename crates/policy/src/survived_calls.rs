//! The latest calls that endpoints have survived, in a bounded first-in, first-out multiset.

use std::collections::{HashMap, VecDeque};

use lynxmount_core::CallFingerprint;

/// Calls that are kept: 70 s of an entry's calls at 14 a second, its share of 35,000 a second at
/// 2,500 entries. 16 bytes each, twice.
const MAX_CALLS: usize = 1024;

/// The latest calls that endpoints have survived.
#[derive(Debug, Default)]
pub(crate) struct SurvivedCalls {
    in_order: VecDeque<CallFingerprint>,
    /// How often each call is among them.
    counts: HashMap<CallFingerprint, u32>,
}

impl SurvivedCalls {
    pub(crate) fn insert(&mut self, call: CallFingerprint) {
        if self.in_order.len() >= MAX_CALLS {
            self.evict_oldest();
        }
        self.in_order.push_back(call);
        *self.counts.entry(call).or_default() += 1;
    }

    pub(crate) fn contains(&self, call: &CallFingerprint) -> bool {
        self.counts.contains_key(call)
    }

    fn evict_oldest(&mut self) {
        let Some(oldest) = self.in_order.pop_front() else { return };
        if let Some(count) = self.counts.get_mut(&oldest) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&oldest);
            }
        }
    }
}
