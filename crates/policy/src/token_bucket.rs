//! A token bucket.

use std::time::Duration;

/// Limits a rate, and allows a burst after a pause.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// Creates a full bucket. A burst below 1 would never admit a request and counts as 1.
    pub fn new(rate_per_s: f64, burst: f64, now: Duration) -> TokenBucket {
        let burst = burst.max(1.0);
        TokenBucket { rate_per_s, burst, tokens: burst, refilled_at: now }
    }

    /// Takes a token; fails with the time until one is available.
    pub fn try_take(&mut self, now: Duration) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / self.rate_per_s))
    }

    /// Changes rate and burst; the tokens in the bucket stay.
    pub fn adjust(&mut self, rate_per_s: f64, burst: f64, now: Duration) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.burst = burst.max(1.0);
        self.tokens = self.tokens.min(self.burst);
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate_per_s).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}
