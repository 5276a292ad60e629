//! A failure detector with a timeout from a quantile of the recent heartbeat gaps.

use std::collections::VecDeque;
use std::time::Duration;

use amaranth_core::time::Timestamp;

use super::FailureDetector;

/// Parameters of a [`QuantileDetector`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuantileOptions {
    /// Number of recent gaps that are kept.
    pub window: usize,
    /// Quantile of the gaps on which the timeout is based, from 0 to 1.
    pub quantile: f64,
    /// Factor by which the quantile is multiplied to get the timeout.
    pub factor: f64,
    /// Timeout until the window is full.
    pub initial: Duration,
}

/// Suspects a peer that is silent for longer than a multiple of a quantile of its recent heartbeat
/// gaps.
#[derive(Debug, Clone)]
pub struct QuantileDetector {
    options: QuantileOptions,
    last_heartbeat: Option<Timestamp>,
    /// The recent gaps in the order of their arrival.
    gaps: VecDeque<Duration>,
    /// The same gaps, shortest first.
    sorted_gaps: Vec<Duration>,
}

impl QuantileDetector {
    /// Creates a detector with these parameters.
    pub const fn new(options: QuantileOptions) -> Self {
        Self {
            options,
            last_heartbeat: None,
            gaps: VecDeque::new(),
            sorted_gaps: Vec::new(),
        }
    }

    fn record_gap(&mut self, gap: Duration) {
        if self.gaps.len() >= self.options.window
            && let Some(oldest) = self.gaps.pop_front()
            && let Ok(index) = self.sorted_gaps.binary_search(&oldest)
        {
            self.sorted_gaps.remove(index);
        }
        self.gaps.push_back(gap);
        let index = self.sorted_gaps.partition_point(|other| *other < gap);
        self.sorted_gaps.insert(index, gap);
    }

    fn timeout(&self) -> Duration {
        if self.gaps.len() < self.options.window {
            return self.options.initial;
        }
        let last = self.sorted_gaps.len() - 1;
        let index = (last as f64 * self.options.quantile).round() as usize;
        self.sorted_gaps[index.min(last)].mul_f64(self.options.factor)
    }
}

impl FailureDetector for QuantileDetector {
    fn record_heartbeat(&mut self, now: Timestamp, _sequence: u64) {
        if let Some(last) = self.last_heartbeat {
            self.record_gap(now.since(last));
        }
        self.last_heartbeat = Some(now);
    }

    fn suspect_at(&self) -> Option<Timestamp> {
        self.last_heartbeat.map(|last| last + self.timeout())
    }
}
