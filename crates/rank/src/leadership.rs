//! Leader election: the first candidate in rank order that is not suspected to have failed.
//!
//! Reports serve as heartbeats. No votes are exchanged, so two processes may lead at the same
//! time for a while; switches of the expert map are safe against that.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;

use crate::{discovery::Discovery, rank_states::RankStates};

/// How long a process must be silent before the next candidate leads: eight report periods
/// of the ranks that report most often. A group that a failed leader holds stays held for this
/// time and until the hold counts as abandoned (`ABANDONED_AFTER` in `coordinator`); 1.2 s and
/// 0.9 s are too long when all processes die at once.
const MAX_SILENCE: Duration = Duration::from_millis(800);

/// How long a process that joins its group waits for heartbeats of earlier candidates before it
/// may lead.
const JOIN_DELAY: Duration = Duration::from_millis(1500);

/// The leader election of the engine's group.
pub(crate) struct Leadership {
    pub(crate) own_engine: SocketAddr,
    pub(crate) discovery: Arc<Discovery>,
    pub(crate) rank_states: Arc<Mutex<RankStates>>,
}

impl Leadership {
    /// Whether this process leads: all earlier candidates have missed their heartbeats.
    pub(crate) fn is_leader(&self) -> bool {
        let candidates = self.discovery.leader_candidates();
        let Some(position) = candidates.iter().position(|engine| *engine == self.own_engine) else {
            return false;
        };
        let states = self.rank_states.lock();
        let is_silent =
            |engine: &SocketAddr| states.report_age(*engine).is_none_or(|age| age > MAX_SILENCE);
        let has_waited = position == 0 || self.discovery.time_in_group() > JOIN_DELAY;
        has_waited && candidates[..position].iter().all(is_silent)
    }
}
