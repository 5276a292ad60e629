//! Knowledge of future arrivals, which only the clairvoyant bound has.

use std::collections::HashMap;

use amaranth_core::ids::AdapterRef;
use amaranth_core::time::Timestamp;

use crate::policy::workload::ReplayWorkload;

/// The arrival times of the requests for each adapter.
#[derive(Debug, Clone)]
pub struct FutureArrivals {
    times: HashMap<AdapterRef, Vec<Timestamp>>,
}

impl FutureArrivals {
    /// Collects the arrival times of a workload.
    pub fn collect(workload: &ReplayWorkload) -> Self {
        let mut times: HashMap<AdapterRef, Vec<Timestamp>> = HashMap::new();
        for request in &workload.requests {
            let adapter = workload.adapters[request.adapter].clone();
            times.entry(adapter).or_default().push(request.at);
        }
        Self { times }
    }

    /// Returns the time of the next request for the adapter after `now`, or the largest timestamp
    /// if there is none.
    pub fn next_use(&self, adapter: &AdapterRef, now: Timestamp) -> Timestamp {
        let Some(times) = self.times.get(adapter) else {
            return Timestamp::from_micros(u64::MAX);
        };
        let next = times.partition_point(|&at| at <= now);
        times
            .get(next)
            .copied()
            .unwrap_or(Timestamp::from_micros(u64::MAX))
    }

    /// Returns the number of requests for the adapter after `now` and up to `until`.
    pub fn uses_between(&self, adapter: &AdapterRef, now: Timestamp, until: Timestamp) -> usize {
        self.times.get(adapter).map_or(0, |times| {
            times.partition_point(|&at| at <= until) - times.partition_point(|&at| at <= now)
        })
    }
}
