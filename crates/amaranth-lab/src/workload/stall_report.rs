//! Times and counts of a run.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Largest time that is told apart, in microseconds.
const MAX_MICROS: u64 = 600_000_000;

/// Significant digits of the histogram.
const DIGITS: u8 = 3;

/// A histogram of times.
#[derive(Debug, Clone)]
pub struct TimeHistogram {
    micros: Histogram<u64>,
}

impl Default for TimeHistogram {
    fn default() -> Self {
        Self::open()
    }
}

impl TimeHistogram {
    /// Opens an empty histogram.
    ///
    /// # Panics
    ///
    /// Never: the bounds are valid.
    pub fn open() -> Self {
        Self {
            micros: Histogram::new_with_bounds(1, MAX_MICROS, DIGITS).expect("bounds are valid"),
        }
    }

    /// Records one time.
    pub fn record(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_MICROS);
        self.micros.saturating_record(micros);
    }

    /// Returns the time below which this share of the records lies.
    pub fn quantile(&self, share: f64) -> Duration {
        Duration::from_micros(self.micros.value_at_quantile(share))
    }

    /// Returns the number of records.
    pub fn count(&self) -> u64 {
        self.micros.len()
    }
}
