//! For how long the outcome under an idempotency key is known.
//!
//! The log keeps claims for a limited time, so a key that is older than that looks free although
//! its call may have run. A key that carries its date (UUIDv7) shows its age and is refused; for
//! any other the deployment chooses between trusting callers and refusing them.

use std::time::Duration;

use amaranth_core::errors::{Error, ErrorKind, Result, invalid_request};
use amaranth_core::ids::IdempotencyKey;

/// How far the clocks of callers may be ahead.
const CLOCK_SKEW: Duration = Duration::from_secs(300);

/// Checks the age of keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyWindow {
    /// The age at which a key is refused. It is shorter than the log's retention.
    pub window: Duration,
    /// Whether keys without a date are refused.
    pub require_dated: bool,
}

impl KeyWindow {
    /// Checks `key` at the time `now`, counted from the Unix epoch.
    ///
    /// # Errors
    ///
    /// `KeyExpired` for an older key; `InvalidRequest` for one that is dated ahead, or that is
    /// undated where dates are required.
    pub fn check(&self, key: &IdempotencyKey, now: Duration) -> Result<()> {
        let Some(date) = key_date(key) else {
            if self.require_dated {
                return Err(invalid_request(format!(
                    "key {key} is not a UUID of version 7"
                )));
            }
            return Ok(());
        };
        if date > now + CLOCK_SKEW {
            return Err(invalid_request(format!("key {key} is dated in the future")));
        }
        if now.saturating_sub(date) > self.window {
            return Err(Error::new(
                ErrorKind::KeyExpired,
                format!(
                    "key {key} is older than {} s, for which outcomes are known",
                    self.window.as_secs()
                ),
            ));
        }
        Ok(())
    }
}

/// Returns the date in a key that is a UUID of version 7, counted from the Unix epoch.
///
/// Source: RFC 9562, section 5.7.
pub fn key_date(key: &IdempotencyKey) -> Option<Duration> {
    let digits: String = key.as_str().chars().filter(|digit| *digit != '-').collect();
    let number = u128::from_str_radix(&digits, 16).ok()?;
    let is_uuid = digits.len() == 32 && matches!(key.as_str().len(), 32 | 36);
    let version = (number >> 76) & 0xf;
    let variant = (number >> 62) & 0b11;
    if !is_uuid || version != 7 || variant != 0b10 {
        return None;
    }
    u64::try_from(number >> 80).ok().map(Duration::from_millis)
}
