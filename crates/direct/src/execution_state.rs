//! Whether a call in progress may have run, so that it can be told at any moment.

use std::sync::atomic::{AtomicBool, Ordering};

/// Whether a call may have run. It is set before anything is sent.
#[derive(Debug, Default)]
pub struct ExecutionState {
    may_have_run: AtomicBool,
}

/// An attempt that may run, unless its endpoint or connection shows that it did not.
#[derive(Debug)]
#[must_use]
pub struct AttemptMark<'a> {
    state: &'a ExecutionState,
    could_have_run_before: bool,
}

impl ExecutionState {
    /// Whether the call may have run, or may still run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run.load(Ordering::Relaxed)
    }

    /// Records that an attempt is about to be sent. One that is sent beside another finds the call marked.
    pub fn start_attempt(&self) -> AttemptMark<'_> {
        let could_have_run_before = self.may_have_run.swap(true, Ordering::Relaxed);
        AttemptMark { state: self, could_have_run_before }
    }
}

impl AttemptMark<'_> {
    /// Records that the attempt has not run and never will.
    pub fn on_not_run(self) {
        self.state.may_have_run.store(self.could_have_run_before, Ordering::Relaxed);
    }
}
