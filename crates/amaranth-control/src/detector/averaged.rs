//! The averaged heartbeat expectation.
//!
//! Source: P.-W. Tsai, W.-H. Fong, W.-H. Chang, C.-S. Yang, "Using Adaptive Message Replication on
//! Improving Control Resilience of SDN", section 3.3.4, Algorithms 1 and 2.

use std::time::Duration;

use amaranth_core::time::Timestamp;

use super::FailureDetector;

/// Parameters of the averaged expectation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AveragedOptions {
    /// The interval at which heartbeats are sent, the first expectation.
    pub initial: Duration,
    /// Expectations missed in a row after which the peer is suspect; 2 in the paper.
    pub misses: u32,
    /// Factor on each expectation; 1 in the paper.
    pub slack: f64,
}

impl AveragedOptions {
    /// Returns the parameters of the paper for heartbeats sent every `interval`.
    pub const fn paper(interval: Duration) -> Self {
        Self {
            initial: interval,
            misses: 2,
            slack: 1.0,
        }
    }
}

/// What was heard and is expected.
#[derive(Debug, Clone, Copy)]
struct Expectation {
    last: Timestamp,
    /// From the last heartbeat to when the next one is expected, with no miss so far.
    gap: Duration,
}

/// Suspects a peer that misses expectations in a row, where each heartbeat sets the next
/// expectation to the mean of the observed gap and the expected one.
#[derive(Debug, Clone)]
pub struct AveragedDetector {
    options: AveragedOptions,
    expectation: Option<Expectation>,
}

impl AveragedDetector {
    /// Opens a detector with these parameters.
    pub const fn open(options: AveragedOptions) -> Self {
        Self {
            options,
            expectation: None,
        }
    }

    /// Returns the gap after `misses` missed expectations. Each miss grants as much time again
    /// as has passed since the last heartbeat, which doubles the gap.
    fn gap_after(gap: Duration, misses: u32) -> Duration {
        gap.saturating_mul(1_u32.checked_shl(misses).unwrap_or(u32::MAX))
    }

    /// Returns the gap that was expected when a heartbeat came `observed` after the last one.
    fn expected_at(&self, gap: Duration, observed: Duration) -> Duration {
        (0..self.options.misses)
            .map(|misses| Self::gap_after(gap, misses))
            .find(|expected| observed < *expected)
            .unwrap_or_else(|| Self::gap_after(gap, self.options.misses.saturating_sub(1)))
    }
}

impl FailureDetector for AveragedDetector {
    fn heard(&mut self, now: Timestamp, _sequence: u64) {
        let gap = match self.expectation {
            None => self.options.initial.mul_f64(self.options.slack),
            Some(Expectation { last, gap }) => {
                let observed = now.since(last);
                let expected = self.expected_at(gap, observed);
                let slack_free = expected.div_f64(self.options.slack);
                (observed + slack_free)
                    .div_f64(2.0)
                    .mul_f64(self.options.slack)
            }
        };
        self.expectation = Some(Expectation { last: now, gap });
    }

    fn suspect_at(&self) -> Option<Timestamp> {
        let Expectation { last, gap } = self.expectation?;
        Some(last + Self::gap_after(gap, self.options.misses.saturating_sub(1)))
    }
}
