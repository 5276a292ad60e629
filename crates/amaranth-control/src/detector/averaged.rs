//! A failure detector that averages observed and expected heartbeat gaps.
//!
//! Source: P.-W. Tsai, W.-H. Fong, W.-H. Chang, C.-S. Yang, "Using Adaptive Message Replication on
//! Improving Control Resilience of SDN", section 3.3.4, Algorithms 1 and 2.

use std::time::Duration;

use amaranth_core::time::Timestamp;

use super::FailureDetector;

/// Parameters of an [`AveragedDetector`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AveragedOptions {
    /// Interval at which heartbeats are sent, which is the first expected gap.
    pub initial: Duration,
    /// Number of consecutive misses after which the peer is suspect; 2 in the paper.
    pub max_misses: u32,
    /// Factor by which each expected gap is multiplied; 1 in the paper.
    pub slack: f64,
}

impl AveragedOptions {
    /// Returns the parameters of the paper for heartbeats sent every `interval`.
    pub const fn paper(interval: Duration) -> Self {
        Self {
            initial: interval,
            max_misses: 2,
            slack: 1.0,
        }
    }
}

/// The last heartbeat and the expected gap to the next one.
#[derive(Debug, Clone, Copy)]
struct Expectation {
    last_heartbeat: Timestamp,
    /// Expected time from the last heartbeat to the next one, before any miss.
    gap: Duration,
}

/// Suspects a peer that misses several expected heartbeats in a row.
///
/// Each heartbeat sets the next expected gap to the mean of the observed and the expected gap.
#[derive(Debug, Clone)]
pub struct AveragedDetector {
    options: AveragedOptions,
    expectation: Option<Expectation>,
}

impl AveragedDetector {
    /// Creates a detector with these parameters.
    pub const fn new(options: AveragedOptions) -> Self {
        Self {
            options,
            expectation: None,
        }
    }

    /// Returns the expected gap after a number of misses. Each miss adds the time that has passed
    /// since the last heartbeat, which doubles the gap.
    fn gap_after(gap: Duration, misses: u32) -> Duration {
        gap.saturating_mul(1_u32.checked_shl(misses).unwrap_or(u32::MAX))
    }

    /// Returns the gap that was expected when a heartbeat arrived `observed` after the last one.
    fn expected_at(&self, gap: Duration, observed: Duration) -> Duration {
        (0..self.options.max_misses)
            .map(|misses| Self::gap_after(gap, misses))
            .find(|expected| observed < *expected)
            .unwrap_or_else(|| Self::gap_after(gap, self.options.max_misses.saturating_sub(1)))
    }
}

impl FailureDetector for AveragedDetector {
    fn record_heartbeat(&mut self, now: Timestamp, _sequence: u64) {
        let gap = match self.expectation {
            None => self.options.initial.mul_f64(self.options.slack),
            Some(Expectation {
                last_heartbeat,
                gap,
            }) => {
                let observed = now.since(last_heartbeat);
                let expected = self.expected_at(gap, observed);
                let expected_without_slack = expected.div_f64(self.options.slack);
                (observed + expected_without_slack)
                    .div_f64(2.0)
                    .mul_f64(self.options.slack)
            }
        };
        self.expectation = Some(Expectation {
            last_heartbeat: now,
            gap,
        });
    }

    fn suspect_at(&self) -> Option<Timestamp> {
        let Expectation {
            last_heartbeat,
            gap,
        } = self.expectation?;
        Some(last_heartbeat + Self::gap_after(gap, self.options.max_misses.saturating_sub(1)))
    }
}
