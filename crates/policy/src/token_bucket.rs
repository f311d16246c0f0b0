//! A token bucket.

use std::time::Duration;

/// Allows a rate for long and a burst after a pause.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    filled_at: Duration,
}

impl TokenBucket {
    /// Makes a full bucket. A burst below 1 would never let a request pass
    /// and counts as 1.
    pub fn new(rate_per_s: f64, burst: f64, now: Duration) -> TokenBucket {
        let burst = burst.max(1.0);
        TokenBucket { rate_per_s, burst, tokens: burst, filled_at: now }
    }

    /// Takes a token; fails with the time until there is one.
    pub fn try_take(&mut self, now: Duration) -> Result<(), Duration> {
        self.fill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / self.rate_per_s))
    }

    /// Changes rate and burst and keeps what is in the bucket.
    pub fn adjust(&mut self, rate_per_s: f64, burst: f64, now: Duration) {
        self.fill(now);
        self.rate_per_s = rate_per_s;
        self.burst = burst.max(1.0);
        self.tokens = self.tokens.min(self.burst);
    }

    fn fill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.filled_at);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate_per_s).min(self.burst);
        self.filled_at = self.filled_at.max(now);
    }
}
