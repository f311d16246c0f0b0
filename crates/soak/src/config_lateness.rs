//! Checks by when entries have the newest configuration in force, as probes of their callers' ports
//! show.

use std::time::Duration;

use lynxmount_platform_standin::fixture::{CONFIG_APPLY_BOUND, SETTLE_BOUND};

use crate::{
    history::{ConfigRecord, Disturbed, History, ProbeRecord},
    plan::{LinkId, ProcessId},
    promises::{Promise, SLACK, Violation, record_violation},
};

/// A probe that was refused although its key belongs to the newest configuration.
struct Refusal<'a> {
    probe: &'a ProbeRecord,
    config: &'a ConfigRecord,
    /// Since when neither the entry nor its reads have been disturbed.
    undisturbed_since: Duration,
}

impl Refusal<'_> {
    fn settled_at(&self) -> Duration {
        self.undisturbed_since + SETTLE_BOUND
    }

    /// How much later than both bounds the probe was sent, in seconds; negative if it was earlier.
    fn lateness_s(&self) -> f64 {
        let due = self.settled_at().max(self.config.at + CONFIG_APPLY_BOUND);
        self.probe.sent.as_secs_f64() - due.as_secs_f64()
    }

    fn is_violation(&self) -> bool {
        self.probe.sent > self.settled_at().max(self.config.at + CONFIG_APPLY_BOUND + SLACK)
    }
}

/// Checks that the newest configuration is in force once it has been in the store for the
/// documented time and nothing has disturbed the entry's reads for the settle time.
pub(crate) fn check_configs_in_force(history: &History, violations: &mut Vec<Violation>) {
    for refusal in refusals(history).filter(Refusal::is_violation) {
        let Refusal { probe, config, undisturbed_since } = refusal;
        let seen = format!("{probe:?} of {config:?}, undisturbed since {undisturbed_since:?}");
        record_violation(violations, Promise::ConfigInForce, seen);
    }
}

/// The latest refusal of a key of the newest configuration, in seconds from its bound; `None` if no
/// entry refused one.
pub(crate) fn worst_lateness_s(history: &History) -> Option<f64> {
    refusals(history).map(|refusal| refusal.lateness_s()).reduce(f64::max)
}

fn refusals(history: &History) -> impl Iterator<Item = Refusal<'_>> {
    history.probes.iter().filter(|probe| !probe.is_known).filter_map(|probe| {
        let newest = history.configs.iter().rfind(|config| config.at <= probe.ended)?;
        let config = (newest.version == probe.version).then_some(newest)?;
        let matters = |what| disturbs_configs(what, probe.entry);
        let is_disturbed = history.is_disturbed(probe.sent, probe.ended, matters);
        let undisturbed_since = history.undisturbed_since(probe.sent, matters);
        (!is_disturbed).then_some(Refusal { probe, config, undisturbed_since })
    })
}

fn disturbs_configs(what: Disturbed, entry: usize) -> bool {
    let entry = ProcessId::Entry(entry);
    match what {
        Disturbed::Configs | Disturbed::Store => true,
        Disturbed::Leaving(process)
        | Disturbed::Link(LinkId::Store(process))
        | Disturbed::Process(process) => process == entry,
        Disturbed::Crash(_)
        | Disturbed::Endpoint(_)
        | Disturbed::Frozen(_)
        | Disturbed::Link(_)
        | Disturbed::Paused(_)
        | Disturbed::Responses(_) => false,
    }
}
