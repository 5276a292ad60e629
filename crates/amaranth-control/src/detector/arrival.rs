//! A failure detector that estimates the arrival of the next heartbeat from the sequence numbers
//! and arrival times of the recent ones.
//!
//! Source: W. Chen, S. Toueg, M. K. Aguilera, "On the Quality of Service of Failure Detectors",
//! the estimator NFD-E.

use std::collections::VecDeque;
use std::time::Duration;

use amaranth_core::time::Timestamp;

use super::FailureDetector;

/// Parameters of an [`ArrivalDetector`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ArrivalOptions {
    /// Interval at which heartbeats are sent.
    pub interval: Duration,
    /// Number of recent heartbeats that are kept.
    pub window: usize,
    /// Time after the expected arrival at which the peer becomes suspect.
    pub margin: Duration,
}

/// Suspects a peer whose next heartbeat is later than its expected arrival by a margin.
#[derive(Debug, Clone)]
pub struct ArrivalDetector {
    options: ArrivalOptions,
    /// Arrival time and sequence number of the first heartbeat. All others are counted from it, so
    /// that sums stay small.
    first: Option<(Timestamp, u64)>,
    /// Arrival time minus expected sending time of each recent heartbeat, both counted from the
    /// first heartbeat, in microseconds.
    offsets: VecDeque<i64>,
    /// Sum of the offsets, in microseconds.
    sum: i64,
    /// Highest sequence number received.
    newest_sequence: u64,
}

impl ArrivalDetector {
    /// Creates a detector with these parameters.
    pub const fn new(options: ArrivalOptions) -> Self {
        Self {
            options,
            first: None,
            offsets: VecDeque::new(),
            sum: 0,
            newest_sequence: 0,
        }
    }

    fn interval_micros(&self) -> i64 {
        to_micros(self.options.interval)
    }
}

fn to_micros(duration: Duration) -> i64 {
    i64::try_from(duration.as_micros()).unwrap_or(i64::MAX)
}

fn to_signed(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

impl FailureDetector for ArrivalDetector {
    fn record_heartbeat(&mut self, now: Timestamp, sequence: u64) {
        let (first_arrival, first_sequence) = *self.first.get_or_insert((now, sequence));
        let sent = to_signed(sequence.saturating_sub(first_sequence))
            .saturating_mul(self.interval_micros());
        let offset = to_micros(now.since(first_arrival)).saturating_sub(sent);
        if self.offsets.len() >= self.options.window
            && let Some(oldest) = self.offsets.pop_front()
        {
            self.sum -= oldest;
        }
        self.offsets.push_back(offset);
        self.sum += offset;
        self.newest_sequence = self.newest_sequence.max(sequence);
    }

    fn suspect_at(&self) -> Option<Timestamp> {
        let (first_arrival, first_sequence) = self.first?;
        let count = i64::try_from(self.offsets.len()).ok()?;
        let mean = self.sum / count.max(1);
        let next = to_signed(self.newest_sequence.saturating_sub(first_sequence)) + 1;
        let expected = mean.saturating_add(next.saturating_mul(self.interval_micros()));
        let expected = Duration::from_micros(u64::try_from(expected).unwrap_or(0));
        Some(first_arrival + expected + self.options.margin)
    }
}
