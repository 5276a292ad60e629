//! Maximum age of idempotency keys.
//!
//! The log retains claims for a limited time, so a key that is older than that looks free although
//! its call may have run. A key that contains its date (UUIDv7) is refused when it is too old. For
//! other keys, the deployment either relies on its callers or refuses them all.

use std::time::Duration;

use amaranth_core::errors::{Error, ErrorKind, Result, invalid_request};
use amaranth_core::ids::IdempotencyKey;

/// Maximum time by which the clocks of callers may be ahead.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(300);

/// Limits the age of idempotency keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyWindow {
    /// Maximum age of a key, shorter than the log's retention.
    pub window: Duration,
    /// Whether keys without a date are refused.
    pub require_dated: bool,
}

impl KeyWindow {
    /// Checks the age of `key` at the time `now` since the Unix epoch.
    ///
    /// # Errors
    ///
    /// Returns `KeyExpired` if the key is older than the window, and `InvalidRequest` if its date
    /// lies in the future or is missing where it is required.
    pub fn check(&self, key: &IdempotencyKey, now: Duration) -> Result<()> {
        let Some(date) = key_date(key) else {
            if self.require_dated {
                return Err(invalid_request(format!(
                    "key {key} is not a UUID of version 7"
                )));
            }
            return Ok(());
        };
        if date > now + MAX_CLOCK_SKEW {
            return Err(invalid_request(format!("key {key} is dated in the future")));
        }
        if now.saturating_sub(date) > self.window {
            return Err(Error::new(
                ErrorKind::KeyExpired,
                format!(
                    "key {key} is older than {} s, the time for which outcomes are retained",
                    self.window.as_secs()
                ),
            ));
        }
        Ok(())
    }
}

/// Returns the date of a key that is a UUID of version 7, as time since the Unix epoch.
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
