//! The keys of this incarnation and their answers.

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

/// Keys, each with the answer that is being or was recorded for it.
pub(crate) struct Keys {
    max_kept_answer_bytes: usize,
    inner: Mutex<Inner>,
}

struct Inner {
    dedup_table: DedupTable,
    recordings: HashMap<KeyDigest, Arc<Recording>>,
    finished: VecDeque<(KeyDigest, usize)>,
    kept_bytes: usize,
}

/// What becomes of a dispatch with a key.
pub(crate) enum KeyAdmission {
    /// The key was run and its answer is no longer kept.
    AnswerGone,
    /// Send what is recorded.
    Attach(Arc<Recording>),
    /// Refuse the dispatch.
    Refuse(RefusalReason),
    /// Run it and record the answer.
    Run(Arc<Recording>),
}

impl Keys {
    pub(crate) fn new(incarnation: Incarnation, settings: &EndpointSettings) -> Keys {
        let options = DedupOptions { max_keys: settings.max_keys };
        let inner = Inner {
            dedup_table: DedupTable::new(incarnation, options),
            recordings: HashMap::new(),
            finished: VecDeque::new(),
            kept_bytes: 0,
        };
        Keys { max_kept_answer_bytes: settings.max_kept_answer_bytes, inner: Mutex::new(inner) }
    }

    /// Decides about a dispatch with a key. `obstacle` says why a new key
    /// can't be run now; it is then revoked.
    pub(crate) fn admit(&self, binding: &Binding, obstacle: Option<RefusalReason>) -> KeyAdmission {
        let now_ms = wall_time_ms(SystemTime::now());
        let key = binding.key_digest;
        let mut inner = self.inner.lock();
        let admission = inner.dedup_table.admit(
            key,
            binding.request_digest,
            binding.incarnation,
            binding.claimed_at_ms,
            now_ms,
        );
        match (admission, obstacle) {
            (Admission::Run, Some(reason)) => {
                inner.dedup_table.revoke_unstarted(&key);
                KeyAdmission::Refuse(reason)
            }
            (Admission::Run, None) => {
                let recording = Arc::new(Recording::default());
                inner.recordings.insert(key, Arc::clone(&recording));
                KeyAdmission::Run(recording)
            }
            (Admission::Attach, _) => match inner.recordings.get(&key) {
                Some(recording) => KeyAdmission::Attach(Arc::clone(recording)),
                None => KeyAdmission::AnswerGone,
            },
            (Admission::Full, _) => KeyAdmission::Refuse(RefusalReason::LedgerFull),
            (Admission::KeyReused, _) => KeyAdmission::Refuse(RefusalReason::KeyReused),
            (Admission::NotBoundHere, _) => KeyAdmission::Refuse(RefusalReason::NotBoundHere),
            (Admission::Revoked, _) => KeyAdmission::Refuse(RefusalReason::Revoked),
        }
    }

    /// Revokes a key for ever whose run has not reached the back end.
    pub(crate) fn revoke_unstarted(&self, key: &KeyDigest) {
        let mut inner = self.inner.lock();
        inner.dedup_table.revoke_unstarted(key);
        inner.recordings.remove(key);
    }

    /// Keeps the answer of a run that has ended, at the expense of the oldest
    /// if there are too many bytes.
    pub(crate) fn keep(&self, key: KeyDigest, recording: &Recording) {
        let bytes = recording.len_bytes();
        let mut inner = self.inner.lock();
        inner.finished.push_back((key, bytes));
        inner.kept_bytes += bytes;
        while inner.kept_bytes > self.max_kept_answer_bytes {
            let Some((oldest, bytes)) = inner.finished.pop_front() else { break };
            inner.recordings.remove(&oldest);
            inner.kept_bytes -= bytes;
        }
    }
}
