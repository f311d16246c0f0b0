//! Decides whether an endpoint may replace one that still runs an attempt.
//!
//! Giving up a running attempt for one that is refused loses it, so that the last attempt of a
//! response that has begun moves only where a slot is certain.

/// An endpoint that could replace another one, as an entry sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReplacementCandidate {
    /// Whether the call was sent there before.
    pub was_tried: bool,
    /// Whether its group is the one that has stalled.
    pub is_in_stalled_group: bool,
    /// Whether it delays its group.
    pub is_slow: bool,
    /// This entry's calls in progress there.
    pub own_running: u32,
    /// Slots there that no other entry uses: those that this one owns, or else its even share.
    pub own_slots: u32,
    /// Calls in progress there from all entries, by a recent report.
    pub reported_running: Option<u32>,
    /// All slots.
    pub slots: u32,
}

impl ReplacementCandidate {
    /// Whether it may replace another endpoint. `is_slot_required` is set if a refusal would lose
    /// the call.
    pub fn may_replace(&self, is_slot_required: bool) -> bool {
        let is_better = !self.was_tried && !self.is_in_stalled_group && !self.is_slow;
        is_better && (!is_slot_required || self.has_certain_slot())
    }

    fn has_certain_slot(&self) -> bool {
        self.own_running < self.own_slots
            || self.reported_running.is_some_and(|running| running < self.slots)
    }
}
