//! A limit on events per second.

use std::time::Duration;

use amaranth_core::units::EventRate;
use tokio::time::Instant;

/// A token bucket that says how long to stay away when it is empty.
#[derive(Debug, Clone)]
pub struct RateLimiter {
    rate: EventRate,
    burst: f64,
    tokens: f64,
    refilled: Instant,
}

impl RateLimiter {
    /// Opens a full bucket.
    pub fn open(rate: EventRate, burst: u32) -> Self {
        let burst = f64::from(burst.max(1));
        Self {
            rate,
            burst,
            tokens: burst,
            refilled: Instant::now(),
        }
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// Returns the time until there is one.
    pub fn take(&mut self) -> Result<(), Duration> {
        let now = Instant::now();
        let elapsed = now.duration_since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate.0).min(self.burst);
        self.refilled = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / self.rate.0))
    }
}
