//! Logs why the leader can neither balance its group nor roll back an abandoned map switch.

use std::time::{Duration, Instant};

use lynxmount_group::RankNumber;

/// How long an obstacle must last to be logged. States are incomplete for a moment after each start.
const LOG_AFTER: Duration = Duration::from_secs(2);

/// What the leader lacks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Obstacle {
    /// The states of these ranks. One of them may be armed for another map.
    MissingRanks(Vec<RankNumber>),
    /// The map in use, which all ranks would prepare again.
    UnknownMap,
    /// A rank on which it could place a hold of its own.
    NoHoldRank,
}

/// The current obstacle; each one that lasts is logged once.
#[derive(Debug, Default)]
pub(crate) struct ObstacleLog {
    current: Option<(Obstacle, Instant)>,
    is_logged: bool,
}

impl ObstacleLog {
    /// Records what the leader lacks now, if anything.
    pub(crate) fn set(&mut self, obstacle: Option<Obstacle>) {
        if self.current.as_ref().map(|(current, _)| current) != obstacle.as_ref() {
            if obstacle.is_none() && self.is_logged {
                log::info!("balancing resumed");
            }
            self.current = obstacle.map(|obstacle| (obstacle, Instant::now()));
            self.is_logged = false;
        }
        match &self.current {
            Some((obstacle, since)) if !self.is_logged && since.elapsed() >= LOG_AFTER => {
                self.is_logged = true;
                log::warn!(obstacle:? = obstacle; "balancing suspended");
            }
            _ => {}
        }
    }
}
