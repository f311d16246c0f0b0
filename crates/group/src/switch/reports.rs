//! The state of a group, derived from the reports of all ranks.

use lynxmount_core::experts::{EngineReport, GroupStep, MapVersion};

/// Map versions grow in steps. Within a step the version is random, so that two
/// coordinators, or two incarnations of one, never assign the same version to two maps: a
/// rank would report one of them as prepared where the other is meant.
pub(super) const VERSION_STEP: MapVersion = 1 << 20;

/// The step of an abandoned switch, if there is one.
///
/// If all ranks are armed alike and none has a hold, the switch is not abandoned: it takes
/// effect as soon as the group has work.
pub fn abandoned_step(reports: &[EngineReport]) -> Option<GroupStep> {
    let held = reports.iter().filter_map(|report| report.held).min();
    let armed: Vec<_> = reports.iter().filter_map(|report| report.armed).collect();
    let is_uniform =
        armed.len() == reports.len() && armed.windows(2).all(|pair| pair[0] == pair[1]);
    match held {
        Some(step) => Some(step),
        None if armed.is_empty() || is_uniform => None,
        None => armed.iter().map(|(_, step)| *step).min(),
    }
}

/// A version in the step after that of `above`.
pub(super) fn next_version(above: MapVersion, nonce: u64) -> MapVersion {
    (above / VERSION_STEP + 1) * VERSION_STEP + nonce % VERSION_STEP
}

/// The highest version that any rank reports.
pub(super) fn highest_version(reports: &[EngineReport]) -> MapVersion {
    let versions = reports.iter().flat_map(|report| {
        let armed = report.armed.map(|(version, _)| version);
        [Some(report.map), report.prepared, armed]
    });
    versions.flatten().max().unwrap_or_default()
}
