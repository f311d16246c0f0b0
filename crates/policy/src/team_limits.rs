//! Rate and concurrency limits of each team.

use std::{collections::HashMap, time::Duration};

use lynxmount_core::TeamId;

use crate::TokenBucket;

/// When a team that exceeds its concurrency limit is asked to retry.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A team's quota at one entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamQuota {
    /// Sustained rate, in requests a second.
    pub rate_per_s: f64,
    /// Requests at once after a pause.
    pub burst: f64,
    /// Requests in progress.
    pub max_concurrent: u32,
}

impl TeamQuota {
    /// The share of a team's limits that each of several entries enforces.
    ///
    /// Burst and concurrency are at least 1, so that every entry admits a small team's requests.
    pub fn share(rate_per_s: u32, burst: u32, max_concurrent: u32, entries: usize) -> TeamQuota {
        let entries = entries.max(1) as u32;
        TeamQuota {
            rate_per_s: f64::from(rate_per_s) / f64::from(entries),
            burst: (f64::from(burst) / f64::from(entries)).max(1.0),
            max_concurrent: max_concurrent.div_ceil(entries),
        }
    }
}

/// A team exceeds one of its limits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitExceeded {
    /// When it should retry.
    pub retry_after: Duration,
}

#[derive(Debug)]
struct TeamState {
    quota: TeamQuota,
    bucket: TokenBucket,
    running: u32,
}

/// The limits of all teams at one entry. Only teams that have sent requests use memory.
#[derive(Debug, Default)]
pub struct TeamLimits {
    teams: HashMap<TeamId, TeamState>,
}

impl TeamLimits {
    /// Admits a request of a team and counts it as in progress.
    ///
    /// Fails with the time to retry if the team exceeds a limit.
    pub fn admit(
        &mut self,
        team: &TeamId,
        quota: TeamQuota,
        now: Duration,
    ) -> Result<(), LimitExceeded> {
        let state = self.state(team, quota, now);
        if state.running >= quota.max_concurrent {
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

    /// Number of teams with state.
    pub fn len(&self) -> usize {
        self.teams.len()
    }

    /// Whether no team has state.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    fn state(&mut self, team: &TeamId, quota: TeamQuota, now: Duration) -> &mut TeamState {
        if !self.teams.contains_key(team) {
            let bucket = TokenBucket::new(quota.rate_per_s, quota.burst, now);
            self.teams.insert(TeamId::clone(team), TeamState { quota, bucket, running: 0 });
        }
        let state = self.teams.get_mut(team).expect("the team was inserted above");
        if state.quota != quota {
            state.bucket.adjust(quota.rate_per_s, quota.burst, now);
            state.quota = quota;
        }
        state
    }
}
