//! Mechanisms that can be switched off to measure the effect of each (ablation).

use std::{collections::BTreeSet, str::FromStr};

/// A mechanism of an entry or of an endpoint process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Mechanism {
    /// Adaptive concurrency limit: fewer calls run if gaps between events exceed the objective.
    ConcurrencyLimit,
    /// Connections of completed streams return to the pool.
    ConnectionReuse,
    /// Engines of unresponsive processes are read and sent orders directly.
    DirectReads,
    /// Rate limits that endpoints announce are enforced.
    EndpointLimits,
    /// Circuit breaker: endpoints get no calls for as long as they asked for.
    EndpointRests,
    /// Groups that meet their latency objective are preferred.
    GroupChoice,
    /// Leaders of groups notify entries of the group's state and pass time.
    GroupNotices,
    /// Outlier ejection: failing endpoints get no calls for a while.
    Health,
    /// Calls wait for a group that is expected to open in time.
    Holds,
    /// Of two registrations at one address, the later incarnation is valid.
    LaterLives,
    /// Endpoints that announce their shutdown with a response get no calls.
    LeavingAnswers,
    /// A group is held at a later step while responses to orders are lost.
    LossyLead,
    /// Outage detection: a group that refuses calls gets one probe call at a time.
    OutageWatch,
    /// Slot ownership: an entry uses its own slots of engines before those of others.
    OwnSlots,
    /// Poison requests, which crash endpoints, are quarantined.
    Quarantine,
    /// Calls are retried where that is allowed.
    Repeats,
    /// Endpoint selection considers the loads that endpoints report.
    ReportedLoad,
    /// During an outage, `Retry-After` is a fraction of the caller's remaining time.
    ReturnTimes,
    /// A map change must gain more while gaps between events are far below the objective.
    RoomForGains,
    /// Demand is estimated only from windows since its last shift.
    ShiftDetection,
    /// The copy time of experts limits how many a map change copies.
    ShortCopies,
    /// Ranks that report to be slow get fewer experts and no calls.
    SlowRanks,
    /// Calls whose estimated wait is too long are refused on arrival.
    WaitEstimate,
}

impl Mechanism {
    /// All mechanisms with their names in settings.
    pub const ALL: [(Mechanism, &'static str); 23] = [
        (Mechanism::ConcurrencyLimit, "pace-limit"),
        (Mechanism::ConnectionReuse, "connection-reuse"),
        (Mechanism::DirectReads, "direct-reads"),
        (Mechanism::EndpointLimits, "endpoint-limits"),
        (Mechanism::EndpointRests, "endpoint-rests"),
        (Mechanism::GroupChoice, "group-choice"),
        (Mechanism::GroupNotices, "group-notices"),
        (Mechanism::Health, "health"),
        (Mechanism::Holds, "holds"),
        (Mechanism::LaterLives, "later-lives"),
        (Mechanism::LeavingAnswers, "leaving-answers"),
        (Mechanism::LossyLead, "lossy-lead"),
        (Mechanism::OutageWatch, "outage-watch"),
        (Mechanism::OwnSlots, "own-slots"),
        (Mechanism::Quarantine, "quarantine"),
        (Mechanism::Repeats, "repeats"),
        (Mechanism::ReportedLoad, "reported-load"),
        (Mechanism::ReturnTimes, "return-times"),
        (Mechanism::RoomForGains, "room-for-gains"),
        (Mechanism::ShiftDetection, "shift-detection"),
        (Mechanism::ShortCopies, "short-copies"),
        (Mechanism::SlowRanks, "slow-ranks"),
        (Mechanism::WaitEstimate, "wait-estimate"),
    ];
}

impl FromStr for Mechanism {
    type Err = String;

    fn from_str(name: &str) -> Result<Mechanism, String> {
        let named = Mechanism::ALL.into_iter().find(|(_, known)| *known == name);
        named.map(|(mechanism, _)| mechanism).ok_or_else(|| format!("no mechanism \"{name}\""))
    }
}

/// The enabled mechanisms: all except those that are switched off.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Mechanisms {
    disabled: BTreeSet<Mechanism>,
}

impl Mechanisms {
    /// Enables all mechanisms except the given ones.
    pub fn without(disabled: impl IntoIterator<Item = Mechanism>) -> Mechanisms {
        Mechanisms { disabled: disabled.into_iter().collect() }
    }

    /// Returns whether a mechanism is enabled.
    pub fn has(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }
}
