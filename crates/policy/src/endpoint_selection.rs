//! Where a call goes when endpoints are called directly.
//!
//! The group goes first: one whose streams are on time, or a late one if those have
//! no room, and one that stands still only if all do.
//!
//! An entry knows its own calls exactly and those of others from late reports. It
//! takes slots at which it goes first before those of others, see
//! [`crate::SlotOwners`]. With few endpoints the least loaded one is taken; among
//! equals, the one that was chosen longest ago, and of those that never were the first
//! in the entry's own order, so that entries which start alike don't stay alike.

use std::time::Duration;

use crate::LatencyClass;

/// What an entry knows of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointSnapshot {
    /// This entry's calls in progress there.
    pub own_running: u32,
    /// Calls of others, by the last report.
    pub others_running: u32,
    /// Calls that may be in progress there from all entries.
    pub capacity: u32,
    /// Calls of this entry that may be in progress there.
    pub own_capacity: u32,
    /// Slots there at which this entry goes before others.
    pub own_slots: u32,
    /// Where it stands in this entry's own order of endpoints.
    pub own_order: u64,
    /// Of a group that takes no calls.
    pub is_closed: bool,
    /// What a stream may expect of its group.
    pub latency_class: LatencyClass,
    /// Of a group of which this entry runs as much as pauses allow.
    pub is_at_limit: bool,
    /// Left out because of failures, as long as others are not.
    pub is_ejected: bool,
    /// Tried by the same call before.
    pub was_tried: bool,
    /// When this entry last chose it, as a count of its choices; 0 for never.
    pub last_chosen: u64,
    /// It has said that it leaves.
    pub is_leaving: bool,
    /// When it takes the next call of this entry, if it has asked for a pause until then.
    pub resumes_at: Option<Duration>,
}

impl EndpointSnapshot {
    fn has_room(&self) -> bool {
        !self.is_at_limit
            && self.own_running < self.own_capacity.max(self.own_slots)
            && self.own_running + self.others_running < self.capacity
    }

    /// Says whether this entry would take a slot at which another goes first.
    fn is_of_others(&self) -> bool {
        self.own_running >= self.own_slots
    }

    /// Orders by load in parts of the capacity, without rounding.
    fn load(&self) -> u64 {
        let running = u64::from(self.own_running + self.others_running);
        running * 1_000_000 / u64::from(self.capacity.max(1))
    }
}

/// What the endpoints of a service have to offer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Selection {
    /// This endpoint, as an index.
    Endpoint(usize),
    /// All are of groups that take no calls now.
    Closed,
    /// All that could take the call are full.
    Full,
    /// There is no endpoint.
    NoEndpoint,
    /// All of open groups have asked for a pause.
    Paused {
        /// When the first of them takes a call again.
        until: Duration,
    },
}

/// When the next endpoint of an open group takes a call again that has asked for a pause.
pub fn earliest_resume(seats: &[EndpointSnapshot]) -> Option<Duration> {
    let takes_calls = |seat: &&EndpointSnapshot| !seat.is_closed && !seat.is_leaving;
    seats.iter().filter(takes_calls).filter_map(|seat| seat.resumes_at).min()
}

/// Chooses an endpoint. Those that were tried or are ejected are taken only if
/// there are no others: an ejection never empties a service.
pub fn select_endpoint(seats: &[EndpointSnapshot]) -> Selection {
    // A call that waits for a healthy endpoint is better off than at one that fails.
    let is_paused = |seat: &EndpointSnapshot| !seat.is_closed && seat.resumes_at.is_some();
    let staying = || seats.iter().enumerate().filter(|(_, seat)| !seat.is_leaving);
    let may_wait = staying().any(|(_, seat)| is_paused(seat) && !seat.is_ejected);
    let is_left_out = |seat: &EndpointSnapshot| seat.is_closed || seat.is_ejected && may_wait;
    let takes_calls = |seat: &EndpointSnapshot| !is_paused(seat) && !is_left_out(seat);
    let open: Vec<(usize, &EndpointSnapshot)> =
        staying().filter(|(_, seat)| takes_calls(seat)).collect();
    let Some(best) = open.iter().map(|(_, seat)| seat.latency_class).min() else {
        return match earliest_resume(seats) {
            Some(until) => Selection::Paused { until },
            None if staying().next().is_none() => Selection::NoEndpoint,
            None => Selection::Closed,
        };
    };
    let worst = match best {
        LatencyClass::OnTime | LatencyClass::Late => LatencyClass::Late,
        LatencyClass::Stalled => LatencyClass::Stalled,
    };
    let paces = [LatencyClass::OnTime, LatencyClass::Late, LatencyClass::Stalled];
    let mut chosen = paces.into_iter().filter(|pace| *pace <= worst).filter_map(|pace| {
        let of_pace: Vec<(usize, &EndpointSnapshot)> =
            open.iter().filter(|(_, seat)| seat.latency_class == pace).copied().collect();
        least_loaded(&of_pace)
    });
    chosen.next().map_or(Selection::Full, Selection::Endpoint)
}

/// The least loaded one with room of those that were neither tried nor ejected, as
/// far as there are such.
fn least_loaded(seats: &[(usize, &EndpointSnapshot)]) -> Option<usize> {
    let class = |seat: &EndpointSnapshot| (seat.is_ejected, seat.was_tried);
    let best = seats.iter().map(|(_, seat)| class(seat)).min()?;
    let with_room = seats.iter().filter(|(_, seat)| class(seat) == best && seat.has_room());
    let order = |seat: &EndpointSnapshot| {
        (seat.is_of_others(), seat.load(), seat.last_chosen, seat.own_order)
    };
    with_room.min_by_key(|(_, seat)| order(seat)).map(|(index, _)| *index)
}
