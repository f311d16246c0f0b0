//! What is known of a service for longer than a configuration has it.

use std::{collections::HashMap, sync::Arc, time::Duration};

use lynxmount_core::EndpointIncarnation;
use lynxmount_policy::{EndpointBackpressure, WindowBudget, WindowBudgetOptions};
use parking_lot::Mutex;

/// The retries that a service has been sent, and what its endpoints have asked for. Without it, a
/// service that is configured again would start with its whole retry budget and without limits.
pub(crate) struct ServiceHistory {
    pub(super) budget: Mutex<WindowBudget>,
    /// Backpressure by incarnation, including those that are temporarily not listed.
    backpressure: Mutex<HashMap<EndpointIncarnation, Arc<Mutex<EndpointBackpressure>>>>,
}

impl ServiceHistory {
    pub(crate) fn new(options: WindowBudgetOptions) -> ServiceHistory {
        let budget = Mutex::new(WindowBudget::new(options));
        ServiceHistory { budget, backpressure: Mutex::default() }
    }

    /// Whether it would be the same if it were new.
    pub(crate) fn is_empty(&self, now: Duration) -> bool {
        self.remove_old_backpressure(now);
        self.backpressure.lock().is_empty() && self.budget.lock().is_unused(now)
    }

    /// The backpressure of an endpoint's incarnation.
    pub(super) fn backpressure_of(
        &self,
        incarnation: EndpointIncarnation,
    ) -> Arc<Mutex<EndpointBackpressure>> {
        Arc::clone(self.backpressure.lock().entry(incarnation).or_default())
    }

    /// Forgets what no endpoint uses and is not recent.
    pub(super) fn remove_old_backpressure(&self, now: Duration) {
        let is_in_use = |state: &Arc<_>| Arc::strong_count(state) > 1;
        let mut backpressure = self.backpressure.lock();
        backpressure.retain(|_, state| is_in_use(state) || state.lock().is_recent(now));
    }
}
