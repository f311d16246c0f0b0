//! Mechanisms that can be switched off, to see what each is worth.

use std::{collections::BTreeSet, str::FromStr};

/// A mechanism of an entry or of an endpoint process on the users' platform.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Mechanism {
    /// Streams that have ended give their connections back.
    ConnectionReuse,
    /// A silent process's engine is read and ordered directly.
    DirectReads,
    /// Limits that endpoints name are held to.
    EndpointLimits,
    /// Endpoints that ask for rest get no calls.
    EndpointRests,
    /// Calls go to groups that are on time first.
    GroupChoice,
    /// Groups' processes tell entries whether a group is open, and its pace.
    GroupNotices,
    /// Endpoints that fail are left out for a while.
    Health,
    /// Calls wait for a group that is expected to open in time.
    Holds,
    /// Of two registrations at one address the later life holds.
    LaterLives,
    /// Endpoints that say with an answer that they leave get no calls.
    LeavingAnswers,
    /// A group is held further ahead while answers to orders are lost.
    LossyLead,
    /// A group that refuses is sent one call at a time.
    OutageWatch,
    /// An entry takes the slots of engines first at which it goes before others.
    OwnSlots,
    /// What runs is limited so that pauses are on time.
    PaceLimit,
    /// Calls under which endpoints end are held back.
    Quarantine,
    /// Calls are repeated where that is allowed.
    Repeats,
    /// Endpoints' reports of their load count when one is chosen.
    ReportedLoad,
    /// Refused callers are told to come back after a part of their time.
    ReturnTimes,
    /// A change of map has to gain more while pauses have room.
    RoomForGains,
    /// Demand is taken from those windows only that are alike.
    ShiftDetection,
    /// A change of map copies few experts.
    ShortCopies,
    /// Calls that would wait for too long are refused on arrival.
    WaitEstimate,
}

impl Mechanism {
    /// All mechanisms, with the names that operators use.
    pub const ALL: [(Mechanism, &'static str); 22] = [
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
        (Mechanism::PaceLimit, "pace-limit"),
        (Mechanism::Quarantine, "quarantine"),
        (Mechanism::Repeats, "repeats"),
        (Mechanism::ReportedLoad, "reported-load"),
        (Mechanism::ReturnTimes, "return-times"),
        (Mechanism::RoomForGains, "room-for-gains"),
        (Mechanism::ShiftDetection, "shift-detection"),
        (Mechanism::ShortCopies, "short-copies"),
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

/// Which mechanisms are in use: all but those that are switched off.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Mechanisms {
    off: BTreeSet<Mechanism>,
}

impl Mechanisms {
    /// All but some.
    pub fn without(off: impl IntoIterator<Item = Mechanism>) -> Mechanisms {
        Mechanisms { off: off.into_iter().collect() }
    }

    /// Says whether a mechanism is in use.
    pub fn has(&self, mechanism: Mechanism) -> bool {
        !self.off.contains(&mechanism)
    }
}
