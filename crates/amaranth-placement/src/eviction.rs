//! The choice of the adapter that an engine gives up.

use std::time::Duration;

use amaranth_core::ids::AdapterRef;
use amaranth_core::time::Timestamp;

use crate::demand::DemandTable;
use crate::queue::RequestQueue;
use crate::slots::AdapterSlots;

/// Time after a load in which an adapter is given up only if there is no other.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// An adapter that may be evicted, and what that loses.
#[derive(Debug, Clone, PartialEq)]
pub struct EvictionVictim {
    /// The adapter.
    pub adapter: AdapterRef,
    /// The requests per second that will ask for it again.
    pub demand: f64,
    settling: bool,
}

/// Returns the idle adapter with the least demand that no request waits for.
///
/// All adapters cost one load to bring back, so demand alone ranks them.
pub fn choose_victim(
    now: Timestamp,
    slots: &AdapterSlots,
    queue: &RequestQueue,
    demands: &DemandTable,
) -> Option<EvictionVictim> {
    slots
        .idle()
        .filter(|(adapter, _)| queue.waiting_for(adapter) == 0)
        .map(|(adapter, loaded)| EvictionVictim {
            adapter: adapter.clone(),
            demand: demands.rate(now, adapter),
            settling: now.since(loaded) < SETTLING_TIME,
        })
        .min_by(|one, other| {
            let settled = one.settling.cmp(&other.settling);
            settled.then(one.demand.total_cmp(&other.demand))
        })
}
