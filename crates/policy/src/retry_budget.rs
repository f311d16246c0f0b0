//! A budget of retries for a whole service.

/// Retries that are allowed before any request has paid for them.
const RESERVE_RETRIES: f64 = 10.0;

/// The most retries that can be saved up.
const MAX_SAVED_RETRIES: f64 = 100.0;

/// Each first attempt pays a part of a retry, so that retries stay a fixed
/// share of all work and can't feed an overload.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    retries: f64,
}

impl Default for RetryBudget {
    /// Starts with a small reserve.
    fn default() -> RetryBudget {
        RetryBudget { retries: RESERVE_RETRIES }
    }
}

impl RetryBudget {
    /// Counts a first attempt, which pays `percent` hundredths of a retry.
    pub fn deposit(&mut self, percent: u32) {
        self.retries = (self.retries + f64::from(percent) / 100.0).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry; `false` if there is none left.
    pub fn try_withdraw(&mut self) -> bool {
        if self.retries < 1.0 {
            return false;
        }
        self.retries -= 1.0;
        true
    }
}
