//! A budget that bounds retries to a share of the requests.

/// How many retries are allowed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetOptions {
    /// Retries that each request earns.
    pub retries_per_request: f64,
    /// Retries that may be saved up.
    pub saved_retries: u32,
}

impl Default for RetryBudgetOptions {
    fn default() -> Self {
        Self {
            retries_per_request: 0.1,
            saved_retries: 32,
        }
    }
}

/// Spends what requests earned.
///
/// When everything fails, the offered load grows by `retries_per_request` at most, so retries
/// can't turn the loss of a data centre into a storm on the others.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    options: RetryBudgetOptions,
    saved: f64,
}

impl RetryBudget {
    /// Opens a budget with all that may be saved.
    pub fn open(options: RetryBudgetOptions) -> Self {
        Self {
            saved: f64::from(options.saved_retries),
            options,
        }
    }

    /// Notes a first try of a request.
    pub fn deposit(&mut self) {
        let limit = f64::from(self.options.saved_retries);
        self.saved = (self.saved + self.options.retries_per_request).min(limit);
    }

    /// Takes one retry and returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// Returns the whole retries that are saved.
    pub fn saved(&self) -> u32 {
        self.saved as u32
    }
}
