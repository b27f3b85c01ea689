use std::sync::{Mutex, PoisonError};

/// Maximum number of retries that can be saved up for a burst of failures.
const MAX_SAVED: f64 = 50.0;
/// Retries that a new entry may make before it has seen any requests.
const INITIAL_SAVED: f64 = 10.0;

/// Limits the retries of one service to a share of its requests.
#[derive(Debug)]
pub struct RetryBudget {
    saved: Mutex<f64>,
}

impl RetryBudget {
    /// Creates a budget with its initial retries.
    pub const fn new() -> Self {
        Self { saved: Mutex::new(INITIAL_SAVED) }
    }

    /// Adds the share of a retry that one request earns.
    pub fn earn(&self, share: f64) {
        let mut saved = self.saved.lock().unwrap_or_else(PoisonError::into_inner);
        *saved = (*saved + share).min(MAX_SAVED);
    }

    /// Takes one retry from the budget, and returns whether there was one.
    ///
    /// ```
    /// # use ebonyusher::entry::RetryBudget;
    /// let budget = RetryBudget::new();
    /// assert_eq!((0..100).filter(|_| budget.spend()).count(), 10);
    /// ```
    pub fn spend(&self) -> bool {
        let mut saved = self.saved.lock().unwrap_or_else(PoisonError::into_inner);
        let enough = *saved >= 1.0;
        if enough {
            *saved -= 1.0;
        }
        enough
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
