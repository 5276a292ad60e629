//! A budget that limits retries to a share of the requests.

/// Limits of a [`RetryBudget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetOptions {
    /// Number of retries that each request adds to the budget.
    pub retries_per_request: f64,
    /// Highest number of retries in the budget.
    pub max_saved_retries: u32,
}

impl Default for RetryBudgetOptions {
    fn default() -> Self {
        Self {
            retries_per_request: 0.1,
            max_saved_retries: 32,
        }
    }
}

/// Permits retries in proportion to the requests.
///
/// When every request fails, the offered load grows by the share `retries_per_request` at most,
/// so that retries after the failure of a data centre can't overload the other ones.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    options: RetryBudgetOptions,
    saved: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(options: RetryBudgetOptions) -> Self {
        Self {
            saved: f64::from(options.max_saved_retries),
            options,
        }
    }

    /// Adds the share of one request; called once for each request, at its first attempt.
    pub fn deposit(&mut self) {
        let limit = f64::from(self.options.max_saved_retries);
        self.saved = (self.saved + self.options.retries_per_request).min(limit);
    }

    /// Withdraws one retry and returns whether the budget had one.
    pub fn withdraw(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// Returns the number of whole retries in the budget.
    pub fn saved(&self) -> u32 {
        self.saved as u32
    }
}
