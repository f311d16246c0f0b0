//! Withdraws and reserves retries in the retry budget of a service.

use std::{sync::Arc, time::Duration};

use lynxmount_core::Mechanism;
use lynxmount_policy::WindowBudget;

use super::Service;

/// A retry that may have to wait before it is sent. Dropping it unused returns it to the budget.
pub(crate) struct ReservedRetry {
    service: Arc<Service>,
    is_used: bool,
}

impl ReservedRetry {
    /// Withdraws the retry, which is sent at once. Returns false if it is gone, as it has waited.
    pub(crate) fn withdraw(mut self) -> bool {
        self.is_used = true;
        self.service.use_budget(WindowBudget::try_withdraw_reserved)
    }
}

impl Drop for ReservedRetry {
    fn drop(&mut self) {
        if !self.is_used {
            self.service.inner.lock().history.budget.lock().release_reserved();
        }
    }
}

impl Service {
    /// Whether the service's retry budget has a number of retries.
    pub(crate) fn has_retries(&self, count: u32) -> bool {
        let inner = self.inner.lock();
        let mut budget = inner.history.budget.lock();
        self.mechanisms.has(Mechanism::Repeats)
            && budget.has_retries(count, inner.entry_count(), self.now())
    }

    /// Withdraws a retry that is sent at once. Returns whether one was available.
    pub(crate) fn withdraw_retry(&self) -> bool {
        self.use_budget(|budget, entries, now| budget.try_withdraw(1, entries, now))
    }

    /// Reserves a retry that may have to wait; `None` if there is none.
    pub(crate) fn reserve_retry(self: &Arc<Service>) -> Option<ReservedRetry> {
        let is_allowed = self.use_budget(|budget, entries, now| budget.try_reserve(entries, now));
        is_allowed.then(|| ReservedRetry { service: Arc::clone(self), is_used: false })
    }

    /// Asks the retry budget for retries with `withdraw`, and counts those that are sent or denied.
    fn use_budget(
        &self,
        withdraw: impl FnOnce(&mut WindowBudget, usize, Duration) -> bool,
    ) -> bool {
        let inner = self.inner.lock();
        let mut budget = inner.history.budget.lock();
        let (withdrawn, paid_by_slack) = (budget.withdrawn(), budget.paid_by_slack());
        let is_allowed = self.mechanisms.has(Mechanism::Repeats)
            && withdraw(&mut budget, inner.entry_count(), self.now());
        if !is_allowed {
            self.metrics.count("retries.denied");
        }
        if budget.withdrawn() > withdrawn {
            self.metrics.count("retries.withdrawn");
        }
        if budget.paid_by_slack() > paid_by_slack {
            self.metrics.count("retries.withdrawn_from_slack");
        }
        is_allowed
    }
}
