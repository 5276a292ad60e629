//! Demand for adapters, estimated from the gaps between their requests.
//!
//! A mean over the last few gaps adapts fast for adapters in steady use and remembers for long
//! those that are asked for rarely. An adapter that stays idle for much longer than its mean gap
//! is probably asked for no more, and its demand falls off accordingly.

use std::collections::HashMap;
use std::time::Duration;

use amaranth_core::ids::AdapterRef;
use amaranth_core::time::Timestamp;

/// Gaps over which the mean runs.
const GAP_MEMORY: f64 = 8.0;

/// Gap assumed before the first request of an adapter.
const PRIOR_GAP: Duration = Duration::from_secs(300);

/// Shortest gap that counts, so that requests at one instant keep demand finite.
const SHORTEST_GAP: f64 = 1e-3;

/// Rate at which adapters in use fall idle for good, per second.
const FALL_IDLE_RATE: f64 = 2e-4;

/// Adapters whose demand is remembered at once.
const TABLE_LIMIT: usize = 16_384;

/// The demand for one adapter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdapterDemand {
    mean_gap: f64,
    gaps: f64,
    last_request: Timestamp,
}

impl AdapterDemand {
    /// Starts with the first request of an adapter.
    pub const fn first(now: Timestamp) -> Self {
        Self {
            mean_gap: PRIOR_GAP.as_secs() as f64,
            gaps: 1.0,
            last_request: now,
        }
    }

    /// Notes another request.
    pub fn record(&mut self, now: Timestamp) {
        let gap = now.since(self.last_request).as_secs_f64().max(SHORTEST_GAP);
        self.gaps = (self.gaps + 1.0).min(GAP_MEMORY);
        self.mean_gap += (gap - self.mean_gap) / self.gaps;
        self.last_request = now;
    }

    /// Returns when the adapter was asked for last.
    pub const fn last_request(&self) -> Timestamp {
        self.last_request
    }

    /// Returns the expected requests per second from now on.
    ///
    /// It is the rate by the mean gap, times the probability that the adapter is still in use
    /// after having been idle for so long.
    pub fn rate(&self, now: Timestamp) -> f64 {
        let rate = 1.0 / self.mean_gap;
        let idle = now.since(self.last_request).as_secs_f64();
        let silent = (-rate * idle).exp();
        let gone = FALL_IDLE_RATE * idle;
        rate * silent / (silent + gone)
    }
}

/// The demand for every adapter that was asked for lately.
#[derive(Debug, Clone, Default)]
pub struct DemandTable {
    demands: HashMap<AdapterRef, AdapterDemand>,
}

impl DemandTable {
    /// Opens an empty table.
    pub fn open() -> Self {
        Self::default()
    }

    /// Notes a request for `adapter`.
    pub fn record(&mut self, now: Timestamp, adapter: &AdapterRef) {
        if let Some(demand) = self.demands.get_mut(adapter) {
            demand.record(now);
            return;
        }
        if self.demands.len() >= TABLE_LIMIT {
            self.forget_oldest_half();
        }
        self.demands
            .insert(adapter.clone(), AdapterDemand::first(now));
    }

    /// Returns the expected requests per second for `adapter`.
    pub fn rate(&self, now: Timestamp, adapter: &AdapterRef) -> f64 {
        self.demands
            .get(adapter)
            .map_or(0.0, |demand| demand.rate(now))
    }

    /// Returns the number of adapters remembered.
    pub fn len(&self) -> usize {
        self.demands.len()
    }

    /// Returns whether no adapter is remembered.
    pub fn is_empty(&self) -> bool {
        self.demands.is_empty()
    }

    fn forget_oldest_half(&mut self) {
        let mut times: Vec<Timestamp> = self
            .demands
            .values()
            .map(AdapterDemand::last_request)
            .collect();
        let middle = times.len() / 2;
        let (_, &mut median, _) = times.select_nth_unstable(middle);
        self.demands
            .retain(|_, demand| demand.last_request() > median);
    }
}
