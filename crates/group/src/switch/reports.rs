//! What the reports of all ranks say together.

use lynxmount_core::experts::{EngineReport, GroupStep, MapVersion};

/// Numbers of maps go up in steps. Within a step the number is drawn, so that two
/// coordinators, or two lives of one, never give one number to two maps: a rank
/// would tell the one as prepared where the other is meant.
pub(super) const VERSION_STEP: MapVersion = 1 << 20;

/// The step of a switch that was left behind, if there is one.
///
/// All ranks armed alike without a hold are a switch that takes place as soon as
/// the group has work.
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

/// A number above another, in the next step.
pub(super) fn next_version(above: MapVersion, nonce: u64) -> MapVersion {
    (above / VERSION_STEP + 1) * VERSION_STEP + nonce % VERSION_STEP
}

/// The highest version that any rank knows.
pub(super) fn highest_version(reports: &[EngineReport]) -> MapVersion {
    let versions = reports.iter().flat_map(|report| {
        let armed = report.armed.map(|(version, _)| version);
        [Some(report.map), report.prepared, armed]
    });
    versions.flatten().max().unwrap_or_default()
}
