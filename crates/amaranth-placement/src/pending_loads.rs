//! The adapter loads of one engine that have not started, each with the state of its permit.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use amaranth_core::ids::AdapterRef;
use amaranth_core::time::Timestamp;

/// The delay after the first failed load of an adapter; it doubles with each further failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(250);

/// The longest delay after failed loads.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// The number of doublings after which the delay grows no further.
const MAX_DOUBLINGS: u32 = 5;

/// The state of the permit for a pending load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitState {
    /// The permit was requested and the broker has not replied.
    Requested,
    /// The permit is to be requested at this time.
    Delayed(Timestamp),
    /// The permit is granted, and the load waits for a free slot.
    Granted,
}

/// A pending load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PendingLoad {
    permit: PermitState,
    pending_since: Timestamp,
}

/// The pending loads of one engine, and the failures of earlier loads.
#[derive(Debug, Clone, Default)]
pub struct PendingLoads {
    loads: BTreeMap<AdapterRef, PendingLoad>,
    failures: HashMap<AdapterRef, u32>,
}

impl PendingLoads {
    /// Creates a list without loads.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the permit state of a pending load.
    pub fn permit_state(&self, adapter: &AdapterRef) -> Option<PermitState> {
        self.loads.get(adapter).map(|load| load.permit)
    }

    /// Returns the adapters of all pending loads, sorted.
    pub fn adapters(&self) -> impl Iterator<Item = &AdapterRef> {
        self.loads.keys()
    }

    /// Returns the number of loads whose permits are requested or granted.
    pub fn committed_count(&self) -> usize {
        self.loads
            .values()
            .filter(|load| !matches!(load.permit, PermitState::Delayed(_)))
            .count()
    }

    /// Returns the adapter of the first load with a granted permit.
    pub fn first_granted(&self) -> Option<AdapterRef> {
        self.loads
            .iter()
            .find(|(_, load)| load.permit == PermitState::Granted)
            .map(|(adapter, _)| adapter.clone())
    }

    /// Returns the number of loads with a granted permit.
    pub fn granted_count(&self) -> usize {
        self.loads
            .values()
            .filter(|load| load.permit == PermitState::Granted)
            .count()
    }

    /// Returns the earliest time at which a delayed load is due.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.loads
            .values()
            .filter_map(|load| match load.permit {
                PermitState::Delayed(until) => Some(until),
                PermitState::Requested | PermitState::Granted => None,
            })
            .min()
    }

    /// Returns whether a permit for the adapter may be requested now.
    pub fn is_due(&self, now: Timestamp, adapter: &AdapterRef) -> bool {
        match self.permit_state(adapter) {
            None => true,
            Some(PermitState::Delayed(until)) => until <= now,
            Some(PermitState::Requested | PermitState::Granted) => false,
        }
    }

    /// Sets the permit state of a load, and adds the load at `now` if it is not pending yet.
    pub fn set_permit(&mut self, now: Timestamp, adapter: &AdapterRef, permit: PermitState) {
        match self.loads.get_mut(adapter) {
            Some(load) => load.permit = permit,
            None => {
                let load = PendingLoad {
                    permit,
                    pending_since: now,
                };
                self.loads.insert(adapter.clone(), load);
            }
        }
    }

    /// Removes a load and returns the time for which it was pending.
    pub fn remove(&mut self, now: Timestamp, adapter: &AdapterRef) -> Option<Duration> {
        self.loads
            .remove(adapter)
            .map(|load| now.since(load.pending_since))
    }

    /// Removes the delayed loads for which `keep` returns false.
    pub fn retain_delayed(&mut self, keep: impl Fn(&AdapterRef) -> bool) {
        self.loads.retain(|adapter, load| {
            !matches!(load.permit, PermitState::Delayed(_)) || keep(adapter)
        });
    }

    /// Records a failed load and delays the next attempt by an exponential backoff.
    pub fn back_off(&mut self, now: Timestamp, adapter: &AdapterRef) {
        let failures = self.failures.entry(adapter.clone()).or_default();
        let delay = FIRST_BACKOFF * 2_u32.pow((*failures).min(MAX_DOUBLINGS));
        *failures += 1;
        let until = now + delay.min(MAX_BACKOFF);
        self.set_permit(now, adapter, PermitState::Delayed(until));
    }

    /// Clears the failures of an adapter that was loaded.
    pub fn clear_failures(&mut self, adapter: &AdapterRef) {
        self.failures.remove(adapter);
    }

    /// Returns whether the last load of the adapter failed.
    pub fn has_failed(&self, adapter: &AdapterRef) -> bool {
        self.failures.contains_key(adapter)
    }
}
