//! The resource budget of a process, with its counters.

use std::sync::Arc;

use lynxmount_core::SiteSettings;
use lynxmount_policy::ResourceLimits;
use lynxmount_resources::SharedBudget;

use crate::Metrics;

/// Memory of a process whose settings name no limit.
const DEFAULT_MEMORY_BYTES: usize = 256_000_000;

/// Descriptors of a process whose settings name no limit.
const DEFAULT_DESCRIPTORS: usize = 4096;

/// Creates the resource budget of a process, and counts the limits that take effect.
pub fn process_budget(settings: &SiteSettings, metrics: &Arc<Metrics>) -> SharedBudget {
    let memory_bytes = settings.memory_bytes().unwrap_or(DEFAULT_MEMORY_BYTES);
    let descriptors = settings.max_descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
    let limits = ResourceLimits::of_process(memory_bytes, descriptors);
    let metrics = Arc::clone(metrics);
    SharedBudget::new(limits, move |event| metrics.count(event.counter()))
}
