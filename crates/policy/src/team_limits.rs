//! Limits of each team: its rate, and its requests in progress.

use std::{collections::HashMap, time::Duration};

use lynxmount_core::TeamId;

use crate::TokenBucket;

/// How long a team over its concurrency is asked to stay away.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What one entry allows a team.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamQuota {
    /// Requests a second for long.
    pub rate_per_s: f64,
    /// Requests at once after a pause.
    pub burst: f64,
    /// Requests in progress.
    pub max_concurrent: u32,
}

impl TeamQuota {
    /// The part of a team's limits that each of several entries enforces.
    ///
    /// Bursts and concurrency are at least 1, so that every entry lets a
    /// small team through.
    pub fn share(rate_per_s: u32, burst: u32, max_concurrent: u32, entries: usize) -> TeamQuota {
        let entries = entries.max(1) as u32;
        TeamQuota {
            rate_per_s: f64::from(rate_per_s) / f64::from(entries),
            burst: (f64::from(burst) / f64::from(entries)).max(1.0),
            max_concurrent: max_concurrent.div_ceil(entries),
        }
    }
}

/// A team is over a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitExceeded {
    /// When it should come back.
    pub retry_after: Duration,
}

#[derive(Debug)]
struct TeamState {
    rate: TeamQuota,
    bucket: TokenBucket,
    running: u32,
}

/// The state of all teams at one entry. Only teams that have called take room.
#[derive(Debug, Default)]
pub struct TeamLimits {
    teams: HashMap<TeamId, TeamState>,
}

impl TeamLimits {
    /// Lets a request of a team pass and counts it as in progress.
    ///
    /// Fails with the time to come back if the team is over a limit.
    pub fn admit(
        &mut self,
        team: &TeamId,
        rate: TeamQuota,
        now: Duration,
    ) -> Result<(), LimitExceeded> {
        let state = self.state(team, rate, now);
        if state.running >= rate.max_concurrent {
            return Err(LimitExceeded { retry_after: CONCURRENCY_RETRY_AFTER });
        }
        state.bucket.try_take(now).map_err(|retry_after| LimitExceeded { retry_after })?;
        state.running += 1;
        Ok(())
    }

    /// Counts a request of a team as finished.
    pub fn release(&mut self, team: &TeamId) {
        if let Some(state) = self.teams.get_mut(team) {
            state.running = state.running.saturating_sub(1);
        }
    }

    /// How many teams take room.
    pub fn len(&self) -> usize {
        self.teams.len()
    }

    /// Says whether no team takes room.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    fn state(&mut self, team: &TeamId, rate: TeamQuota, now: Duration) -> &mut TeamState {
        if !self.teams.contains_key(team) {
            let bucket = TokenBucket::new(rate.rate_per_s, rate.burst, now);
            self.teams.insert(TeamId::clone(team), TeamState { rate, bucket, running: 0 });
        }
        let state = self.teams.get_mut(team).expect("the team was inserted above");
        if state.rate != rate {
            state.bucket.adjust(rate.rate_per_s, rate.burst, now);
            state.rate = rate;
        }
        state
    }
}
