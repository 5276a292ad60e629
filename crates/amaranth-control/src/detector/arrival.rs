//! The expected arrival of the next heartbeat, from the numbers and arrivals of the last ones.
//!
//! Source: W. Chen, S. Toueg, M. K. Aguilera, "On the Quality of Service of Failure Detectors",
//! the estimator NFD-E.

use std::collections::VecDeque;
use std::time::Duration;

use amaranth_core::time::Timestamp;

use super::FailureDetector;

/// Parameters of the arrival detector.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ArrivalOptions {
    /// The interval at which heartbeats are sent.
    pub interval: Duration,
    /// Heartbeats that are remembered.
    pub window: usize,
    /// How long after the expected arrival the peer is suspect.
    pub margin: Duration,
}

/// Suspects a peer whose next heartbeat is late by a margin on its expected arrival.
#[derive(Debug, Clone)]
pub struct ArrivalDetector {
    options: ArrivalOptions,
    /// The sequence that arrivals are counted from, so that sums stay small.
    first: Option<(Timestamp, u64)>,
    /// Arrival less sending time of each remembered heartbeat, in microseconds.
    offsets: VecDeque<i64>,
    sum: i64,
    newest: u64,
}

impl ArrivalDetector {
    /// Opens a detector with these parameters.
    pub const fn open(options: ArrivalOptions) -> Self {
        Self {
            options,
            first: None,
            offsets: VecDeque::new(),
            sum: 0,
            newest: 0,
        }
    }

    fn interval_micros(&self) -> i64 {
        micros(self.options.interval)
    }
}

fn micros(duration: Duration) -> i64 {
    i64::try_from(duration.as_micros()).unwrap_or(i64::MAX)
}

fn signed(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

impl FailureDetector for ArrivalDetector {
    fn heard(&mut self, now: Timestamp, sequence: u64) {
        let (origin, first) = *self.first.get_or_insert((now, sequence));
        let sent = signed(sequence.saturating_sub(first)).saturating_mul(self.interval_micros());
        let offset = micros(now.since(origin)).saturating_sub(sent);
        if self.offsets.len() >= self.options.window
            && let Some(oldest) = self.offsets.pop_front()
        {
            self.sum -= oldest;
        }
        self.offsets.push_back(offset);
        self.sum += offset;
        self.newest = self.newest.max(sequence);
    }

    fn suspect_at(&self) -> Option<Timestamp> {
        let (origin, first) = self.first?;
        let count = i64::try_from(self.offsets.len()).ok()?;
        let mean = self.sum / count.max(1);
        let next = signed(self.newest.saturating_sub(first)) + 1;
        let expected = mean.saturating_add(next.saturating_mul(self.interval_micros()));
        let expected = Duration::from_micros(u64::try_from(expected).unwrap_or(0));
        Some(origin + expected + self.options.margin)
    }
}
