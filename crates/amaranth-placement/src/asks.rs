//! The loads that an engine wants and how far each is on its way to a permit.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use amaranth_core::ids::AdapterRef;
use amaranth_core::time::Timestamp;

/// Pause after the first failed load of an adapter; it doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(250);

/// Longest pause after failed loads.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Doublings after which the pause grows no more.
const MAX_DOUBLINGS: u32 = 5;

/// How far a wanted load is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AskState {
    /// The broker was asked and has not replied.
    Asked,
    /// The broker is asked again at this time.
    Delayed(Timestamp),
    /// The permit is held and the load waits for its slot to become free.
    Granted,
}

/// One wanted load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LoadAsk {
    state: AskState,
    since: Timestamp,
}

/// The wanted loads of one engine.
#[derive(Debug, Clone, Default)]
pub struct LoadAsks {
    asks: BTreeMap<AdapterRef, LoadAsk>,
    failures: HashMap<AdapterRef, u32>,
}

impl LoadAsks {
    /// Opens an empty list.
    pub fn open() -> Self {
        Self::default()
    }

    /// Returns the state of a wanted load.
    pub fn state(&self, adapter: &AdapterRef) -> Option<AskState> {
        self.asks.get(adapter).map(|ask| ask.state)
    }

    /// Returns the adapters of all wanted loads in order.
    pub fn adapters(&self) -> impl Iterator<Item = &AdapterRef> {
        self.asks.keys()
    }

    /// Returns the number of loads that hold a permit or may get one any moment.
    pub fn committed(&self) -> usize {
        self.asks
            .values()
            .filter(|ask| !matches!(ask.state, AskState::Delayed(_)))
            .count()
    }

    /// Returns the adapter of a load that holds a permit.
    pub fn granted(&self) -> Option<AdapterRef> {
        self.asks
            .iter()
            .find(|(_, ask)| ask.state == AskState::Granted)
            .map(|(adapter, _)| adapter.clone())
    }

    /// Returns the number of loads that hold a permit.
    pub fn granted_count(&self) -> usize {
        self.asks
            .values()
            .filter(|ask| ask.state == AskState::Granted)
            .count()
    }

    /// Returns when the next delayed load is due.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.asks
            .values()
            .filter_map(|ask| match ask.state {
                AskState::Delayed(until) => Some(until),
                AskState::Asked | AskState::Granted => None,
            })
            .min()
    }

    /// Returns whether the broker may be asked for the adapter now.
    pub fn is_due(&self, now: Timestamp, adapter: &AdapterRef) -> bool {
        match self.state(adapter) {
            None => true,
            Some(AskState::Delayed(until)) => until <= now,
            Some(AskState::Asked | AskState::Granted) => false,
        }
    }

    /// Sets the state of a load, which keeps the time at which it was first wanted.
    pub fn set(&mut self, now: Timestamp, adapter: &AdapterRef, state: AskState) {
        match self.asks.get_mut(adapter) {
            Some(ask) => ask.state = state,
            None => {
                let ask = LoadAsk { state, since: now };
                self.asks.insert(adapter.clone(), ask);
            }
        }
    }

    /// Drops a load from the list and returns how long it was wanted.
    pub fn remove(&mut self, now: Timestamp, adapter: &AdapterRef) -> Option<Duration> {
        self.asks.remove(adapter).map(|ask| now.since(ask.since))
    }

    /// Drops the delayed loads that `keep` does not name.
    pub fn retain_delayed(&mut self, keep: impl Fn(&AdapterRef) -> bool) {
        self.asks
            .retain(|adapter, ask| !matches!(ask.state, AskState::Delayed(_)) || keep(adapter));
    }

    /// Notes a failed load and puts the next one off.
    pub fn back_off(&mut self, now: Timestamp, adapter: &AdapterRef) {
        let failures = self.failures.entry(adapter.clone()).or_default();
        let pause = FIRST_BACKOFF * 2_u32.pow((*failures).min(MAX_DOUBLINGS));
        *failures += 1;
        let until = now + pause.min(MAX_BACKOFF);
        self.set(now, adapter, AskState::Delayed(until));
    }

    /// Notes that an adapter was loaded or is wanted no more.
    pub fn clear_failures(&mut self, adapter: &AdapterRef) {
        self.failures.remove(adapter);
    }

    /// Returns whether the last load of the adapter failed.
    pub fn has_failed(&self, adapter: &AdapterRef) -> bool {
        self.failures.contains_key(adapter)
    }
}
