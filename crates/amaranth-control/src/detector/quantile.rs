//! A timeout from the longest gaps of late.

use std::collections::VecDeque;
use std::time::Duration;

use amaranth_core::time::Timestamp;

use super::FailureDetector;

/// Parameters of the quantile detector.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuantileOptions {
    /// Gaps that are remembered.
    pub window: usize,
    /// The share of gaps that are shorter than the basis of the timeout.
    pub quantile: f64,
    /// Factor on that gap.
    pub factor: f64,
    /// The timeout until the window is full.
    pub initial: Duration,
}

/// Suspects a peer after a silence of a factor on a quantile of its gaps.
#[derive(Debug, Clone)]
pub struct QuantileDetector {
    options: QuantileOptions,
    last: Option<Timestamp>,
    gaps: VecDeque<Duration>,
    sorted: Vec<Duration>,
}

impl QuantileDetector {
    /// Opens a detector with these parameters.
    pub const fn open(options: QuantileOptions) -> Self {
        Self {
            options,
            last: None,
            gaps: VecDeque::new(),
            sorted: Vec::new(),
        }
    }

    fn remember(&mut self, gap: Duration) {
        if self.gaps.len() >= self.options.window
            && let Some(oldest) = self.gaps.pop_front()
            && let Ok(index) = self.sorted.binary_search(&oldest)
        {
            self.sorted.remove(index);
        }
        self.gaps.push_back(gap);
        let index = self.sorted.partition_point(|known| *known < gap);
        self.sorted.insert(index, gap);
    }

    fn timeout(&self) -> Duration {
        if self.gaps.len() < self.options.window {
            return self.options.initial;
        }
        let last = self.sorted.len() - 1;
        let index = (last as f64 * self.options.quantile).round() as usize;
        self.sorted[index.min(last)].mul_f64(self.options.factor)
    }
}

impl FailureDetector for QuantileDetector {
    fn heard(&mut self, now: Timestamp, _sequence: u64) {
        if let Some(last) = self.last {
            self.remember(now.since(last));
        }
        self.last = Some(now);
    }

    fn suspect_at(&self) -> Option<Timestamp> {
        self.last.map(|last| last + self.timeout())
    }
}
