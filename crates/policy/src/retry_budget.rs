//! A retry budget for a whole service.

/// Retries that are available before any request has made a deposit.
const INITIAL_RETRIES: f64 = 10.0;

/// Upper bound of the balance, in retries.
const MAX_BALANCE_RETRIES: f64 = 100.0;

/// Each first attempt deposits a fraction of a retry, so that retries stay a fixed share of all
/// work and can't amplify an overload.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance_retries: f64,
}

impl Default for RetryBudget {
    /// Starts with a small reserve.
    fn default() -> RetryBudget {
        RetryBudget { balance_retries: INITIAL_RETRIES }
    }
}

impl RetryBudget {
    /// Counts a first attempt, which deposits `percent` hundredths of a retry.
    pub fn deposit(&mut self, percent: u32) {
        self.balance_retries =
            (self.balance_retries + f64::from(percent) / 100.0).min(MAX_BALANCE_RETRIES);
    }

    /// Withdraws one retry; `false` if there is none left.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance_retries < 1.0 {
            return false;
        }
        self.balance_retries -= 1.0;
        true
    }
}
