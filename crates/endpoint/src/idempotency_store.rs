//! The idempotency keys that this incarnation has accepted, with their recorded answers.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::SystemTime,
};

use lynxmount_config::EndpointSettings;
use lynxmount_core::{Incarnation, wall_time_ms};
use lynxmount_idempotency::{Admission, DedupOptions, DedupTable, KeyDigest};
use lynxmount_wire::{Binding, RefusalReason};
use parking_lot::Mutex;

use crate::recording::Recording;

/// The deduplication table of idempotency keys and the answer recorded for each of them.
pub(crate) struct IdempotencyStore {
    max_kept_answer_bytes: usize,
    state: Mutex<StoreState>,
}

struct StoreState {
    dedup_table: DedupTable,
    recordings: HashMap<KeyDigest, Arc<Recording>>,
    finished: VecDeque<(KeyDigest, usize)>,
    retained_bytes: usize,
}

/// The decision about a dispatch with a key.
pub(crate) enum KeyAdmission {
    /// The key was run and its answer has been evicted.
    AnswerEvicted,
    /// The key is being run or was run: send its recorded answer.
    Attach(Arc<Recording>),
    /// Refuse the dispatch.
    Refuse(RefusalReason),
    /// Run the dispatch and record the answer.
    Run(Arc<Recording>),
}

impl IdempotencyStore {
    pub(crate) fn new(incarnation: Incarnation, settings: &EndpointSettings) -> IdempotencyStore {
        let options = DedupOptions { max_keys: settings.max_keys };
        let state = StoreState {
            dedup_table: DedupTable::new(incarnation, options),
            recordings: HashMap::new(),
            finished: VecDeque::new(),
            retained_bytes: 0,
        };
        IdempotencyStore {
            max_kept_answer_bytes: settings.max_kept_answer_bytes,
            state: Mutex::new(state),
        }
    }

    /// Decides about a dispatch with a key. A key that was not run before is revoked if
    /// `refusal_reason` is set, which is the reason why it cannot be run now.
    pub(crate) fn admit(
        &self,
        binding: &Binding,
        refusal_reason: Option<RefusalReason>,
    ) -> KeyAdmission {
        let now_ms = wall_time_ms(SystemTime::now());
        let key = binding.key_digest;
        let mut state = self.state.lock();
        let admission = state.dedup_table.admit(
            key,
            binding.request_digest,
            binding.incarnation,
            binding.claimed_at_ms,
            now_ms,
        );
        match (admission, refusal_reason) {
            (Admission::Run, Some(reason)) => {
                state.dedup_table.revoke_unstarted(&key);
                KeyAdmission::Refuse(reason)
            }
            (Admission::Run, None) => {
                let recording = Arc::new(Recording::default());
                state.recordings.insert(key, Arc::clone(&recording));
                KeyAdmission::Run(recording)
            }
            (Admission::Attach, _) => match state.recordings.get(&key) {
                Some(recording) => KeyAdmission::Attach(Arc::clone(recording)),
                None => KeyAdmission::AnswerEvicted,
            },
            (Admission::Full, _) => KeyAdmission::Refuse(RefusalReason::DedupTableFull),
            (Admission::KeyReused, _) => KeyAdmission::Refuse(RefusalReason::KeyReused),
            (Admission::NotBoundHere, _) => KeyAdmission::Refuse(RefusalReason::NotBoundHere),
            (Admission::Revoked, _) => KeyAdmission::Refuse(RefusalReason::Revoked),
        }
    }

    /// Permanently revokes a key whose run has not reached the back end.
    pub(crate) fn revoke_unstarted(&self, key: &KeyDigest) {
        let mut state = self.state.lock();
        state.dedup_table.revoke_unstarted(key);
        state.recordings.remove(key);
    }

    /// Retains the answer of a run that has ended, and evicts the oldest answers while they exceed
    /// the size limit.
    pub(crate) fn retain_answer(&self, key: KeyDigest, recording: &Recording) {
        let bytes = recording.len_bytes();
        let mut state = self.state.lock();
        state.finished.push_back((key, bytes));
        state.retained_bytes += bytes;
        while state.retained_bytes > self.max_kept_answer_bytes {
            let Some((oldest, bytes)) = state.finished.pop_front() else { break };
            state.recordings.remove(&oldest);
            state.retained_bytes -= bytes;
        }
    }
}
