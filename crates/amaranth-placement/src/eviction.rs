//! The selection of the adapter that an engine evicts.

use std::time::Duration;

use amaranth_core::ids::AdapterRef;
use amaranth_core::time::Timestamp;

use crate::demand::DemandTable;
use crate::queue::RequestQueue;
use crate::slots::AdapterSlots;

/// The time after a load in which an adapter is evicted only if no other adapter can be.
const PROTECTED_TIME: Duration = Duration::from_secs(2);

/// An adapter that can be evicted, with the cost of its eviction.
#[derive(Debug, Clone, PartialEq)]
pub struct EvictionVictim {
    /// The adapter to evict.
    pub adapter: AdapterRef,
    /// The demand for the adapter, in requests per second.
    pub demand: f64,
    recently_loaded: bool,
}

/// Selects the adapter with the least demand among the idle ones that no request waits for.
///
/// Recently loaded adapters come last. Reloading costs the same for every adapter, so demand is
/// the only cost.
pub fn select_victim(
    now: Timestamp,
    slots: &AdapterSlots,
    queue: &RequestQueue,
    demands: &DemandTable,
) -> Option<EvictionVictim> {
    slots
        .idle()
        .filter(|(adapter, _)| queue.waiting_for(adapter) == 0)
        .map(|(adapter, loaded_at)| EvictionVictim {
            adapter: adapter.clone(),
            demand: demands.rate(now, adapter),
            recently_loaded: now.since(loaded_at) < PROTECTED_TIME,
        })
        .min_by(|one, other| {
            let by_age = one.recently_loaded.cmp(&other.recently_loaded);
            by_age.then(one.demand.total_cmp(&other.demand))
        })
}
