//! A histogram of durations.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Largest time that the histogram distinguishes, in microseconds; longer times count as this one.
const MAX_MICROS: u64 = 600_000_000;

/// Significant decimal digits that the histogram keeps of a time.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A histogram of durations with a resolution of one microsecond.
#[derive(Debug, Clone)]
pub struct TimeHistogram {
    micros: Histogram<u64>,
}

impl Default for TimeHistogram {
    fn default() -> Self {
        Self::new()
    }
}

impl TimeHistogram {
    /// Creates an empty histogram.
    ///
    /// # Panics
    ///
    /// Never panics: the constant bounds are valid.
    pub fn new() -> Self {
        Self {
            micros: Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS)
                .expect("the constant bounds are valid"),
        }
    }

    /// Records one duration.
    pub fn record(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_MICROS);
        self.micros.saturating_record(micros);
    }

    /// Returns the duration that the fraction `share` (0 to 1) of the records does not exceed.
    pub fn quantile(&self, share: f64) -> Duration {
        Duration::from_micros(self.micros.value_at_quantile(share))
    }

    /// Returns the number of recorded durations.
    pub fn count(&self) -> u64 {
        self.micros.len()
    }
}
