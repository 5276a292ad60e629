//! Demand for adapters, estimated from the gaps between their requests.
//!
//! The estimate is a mean over the last few gaps. It adapts fast for adapters in steady use, and
//! slowly for adapters that are requested rarely. An adapter that is idle for much longer than
//! its mean gap is probably no longer in use, so its demand decays.

use std::collections::HashMap;
use std::time::Duration;

use amaranth_core::ids::AdapterRef;
use amaranth_core::time::Timestamp;

/// The number of gaps over which the mean is taken.
const MEAN_GAPS: f64 = 8.0;

/// The gap that is assumed before the first request for an adapter.
const PRIOR_GAP: Duration = Duration::from_secs(300);

/// The shortest gap in seconds; it keeps the demand finite for simultaneous requests.
const MIN_GAP_S: f64 = 1e-3;

/// The rate at which adapters in use stop being used permanently, per second.
const DISUSE_RATE: f64 = 2e-4;

/// The maximum number of adapters in a table.
const MAX_ADAPTERS: usize = 16_384;

/// An estimate of the demand for one adapter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdapterDemand {
    /// The mean gap, in seconds.
    mean_gap: f64,
    /// The number of gaps in the mean, up to [`MEAN_GAPS`].
    gap_count: f64,
    last_request: Timestamp,
}

impl AdapterDemand {
    /// Creates an estimate from the first request for an adapter.
    pub const fn first(now: Timestamp) -> Self {
        Self {
            mean_gap: PRIOR_GAP.as_secs() as f64,
            gap_count: 1.0,
            last_request: now,
        }
    }

    /// Records another request for the adapter.
    pub fn record(&mut self, now: Timestamp) {
        let gap = now.since(self.last_request).as_secs_f64().max(MIN_GAP_S);
        self.gap_count = (self.gap_count + 1.0).min(MEAN_GAPS);
        self.mean_gap += (gap - self.mean_gap) / self.gap_count;
        self.last_request = now;
    }

    /// Returns the time of the last request for the adapter.
    pub const fn last_request(&self) -> Timestamp {
        self.last_request
    }

    /// Returns the expected requests per second from now on.
    ///
    /// The estimate is the inverse of the mean gap, multiplied by the probability that the adapter
    /// is still in use after its current idle time.
    pub fn rate(&self, now: Timestamp) -> f64 {
        let rate = 1.0 / self.mean_gap;
        let idle = now.since(self.last_request).as_secs_f64();
        let idle_in_use = (-rate * idle).exp();
        let disused = DISUSE_RATE * idle;
        rate * idle_in_use / (idle_in_use + disused)
    }
}

/// A table of the demand for recently requested adapters.
#[derive(Debug, Clone, Default)]
pub struct DemandTable {
    demands: HashMap<AdapterRef, AdapterDemand>,
}

impl DemandTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request for `adapter`.
    pub fn record(&mut self, now: Timestamp, adapter: &AdapterRef) {
        if let Some(demand) = self.demands.get_mut(adapter) {
            demand.record(now);
            return;
        }
        if self.demands.len() >= MAX_ADAPTERS {
            self.remove_oldest_half();
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

    /// Returns the number of adapters in the table.
    pub fn len(&self) -> usize {
        self.demands.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.demands.is_empty()
    }

    fn remove_oldest_half(&mut self) {
        let mut oldest: Vec<(Timestamp, AdapterRef)> = self
            .demands
            .iter()
            .map(|(adapter, demand)| (demand.last_request(), adapter.clone()))
            .collect();
        let half = oldest.len() / 2;
        // Requests of the same moment are told apart by their adapters, so that no more are removed.
        oldest.select_nth_unstable(half);
        for (_, adapter) in oldest.drain(..half) {
            self.demands.remove(&adapter);
        }
    }
}
