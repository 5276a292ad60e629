//! The retry budget that all requests of the entry share.

use std::sync::{Mutex, MutexGuard, PoisonError};

use amaranth_control::retry_budget::{RetryBudget, RetryBudgetOptions};

/// Retry budget behind a lock, which limits the retries of the entry to a share of its requests.
#[derive(Debug)]
pub struct SharedRetryBudget {
    budget: Mutex<RetryBudget>,
}

impl Default for SharedRetryBudget {
    fn default() -> Self {
        Self {
            budget: Mutex::new(RetryBudget::new(RetryBudgetOptions::default())),
        }
    }
}

impl SharedRetryBudget {
    /// Records the first attempt of a request.
    pub fn deposit(&self) {
        self.lock().deposit();
    }

    /// Spends one retry, and returns whether the budget allowed it.
    pub fn withdraw(&self) -> bool {
        self.lock().withdraw()
    }

    fn lock(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
