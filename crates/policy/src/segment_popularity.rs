//! How popular prompt segments are among an entry's latest calls, in a bounded sliding window.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use lynxmount_core::SegmentId;

/// Calls that are counted, the latest ones. A caller with many segments of its own takes up no
/// more than its share of them.
const WINDOW_CALLS: usize = 256;

/// Calls that are added to each count of all calls, so that a new entry takes no segment for rare.
const PRIOR_CALLS: f64 = 10.0;

/// Counts segments among the latest calls.
#[derive(Debug, Default)]
pub struct SegmentPopularity {
    in_order: VecDeque<Arc<[SegmentId]>>,
    counts: HashMap<SegmentId, u32>,
    /// Calls with segments, by service.
    calls: HashMap<u32, u32>,
}

impl SegmentPopularity {
    /// Counts a call.
    pub fn record_call(&mut self, segments: &Arc<[SegmentId]>) {
        let Some(first) = segments.first() else { return };
        if self.in_order.len() >= WINDOW_CALLS
            && let Some(oldest) = self.in_order.pop_front()
        {
            self.forget(&oldest);
        }
        *self.calls.entry(first.service).or_default() += 1;
        for segment in segments.iter() {
            *self.counts.entry(*segment).or_default() += 1;
        }
        self.in_order.push_back(Arc::clone(segments));
    }

    /// Estimated share of a service's calls that have a segment, from 0 to 1.
    pub fn share(&self, segment: &SegmentId) -> f64 {
        let count = self.counts.get(segment).copied().unwrap_or_default();
        let calls = self.calls.get(&segment.service).copied().unwrap_or_default();
        ((f64::from(count) + 1.0) / (f64::from(calls) + PRIOR_CALLS)).min(1.0)
    }

    fn forget(&mut self, segments: &[SegmentId]) {
        for segment in segments {
            decrement(&mut self.counts, segment);
        }
        if let Some(first) = segments.first() {
            decrement(&mut self.calls, &first.service);
        }
    }
}

fn decrement<K: Copy + Eq + std::hash::Hash>(counts: &mut HashMap<K, u32>, key: &K) {
    match counts.get_mut(key) {
        Some(count) if *count > 1 => *count -= 1,
        Some(_) => {
            counts.remove(key);
        }
        None => {}
    }
}
