//! Checks by the arrivals at endpoints that entries keep the retry budget of each service.

use std::{collections::HashSet, time::Duration};

use lynxmount_platform_standin::{RetryWindow, worst_retry_window};

use crate::{
    history::{CallClass, History, RetryBudgetRecord},
    promises::{Promise, Violation, record_violation},
};

/// The number of services.
const SERVICES: usize = 3;

/// The worst window of each service.
pub(crate) fn worst_windows(history: &History) -> Vec<Option<RetryWindow>> {
    let Some(budget) = history.retry_budget else { return Vec::new() };
    (0..SERVICES).map(|service| worst_window(history, budget, service)).collect()
}

/// Checks the budgets of all services.
pub(crate) fn check_retry_budgets(history: &History, violations: &mut Vec<Violation>) {
    for (service, worst) in worst_windows(history).into_iter().enumerate() {
        if let Some(worst) = worst.filter(|worst| worst.is_exceeded()) {
            let seen = format!("service {service}: {worst:?}");
            record_violation(violations, Promise::KeepsRetryBudget, seen);
        }
    }
}

fn worst_window(
    history: &History,
    budget: RetryBudgetRecord,
    service: usize,
) -> Option<RetryWindow> {
    let calls = history.calls.iter().filter(|call| service_of(call.class) == service);
    let ids: HashSet<&str> = calls.clone().map(|call| &*call.id).collect();
    let is_probed = service == service_of(CallClass::Lookup);
    let probes = history.probes.iter().filter(|_| is_probed).map(|probe| probe.sent);
    let sent: Vec<Duration> = calls.map(|call| call.sent).chain(probes).collect();
    let arrivals = history.arrivals.iter().filter(|arrival| {
        arrival.endpoint / budget.endpoints_per_service == service && ids.contains(&*arrival.id)
    });
    let arrivals = arrivals.map(|arrival| (&*arrival.id, arrival.at));
    worst_retry_window(&sent, arrivals, budget.bounds)
}

/// The service of a call, in the order of the routes.
fn service_of(class: CallClass) -> usize {
    match class {
        CallClass::Lookup => 0,
        CallClass::Booking => 1,
        CallClass::Draft | CallClass::Report => 2,
    }
}
