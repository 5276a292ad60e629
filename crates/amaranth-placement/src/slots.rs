//! The adapter slots of one engine, with a type for each state of a slot.
//!
//! Only an [`IdleAdapter`] can be evicted: the method exists for no other state, so an eviction of
//! an adapter that serves a request can't be written.

use std::collections::BTreeMap;
use std::num::NonZeroU32;

use amaranth_core::ids::AdapterRef;
use amaranth_core::time::Timestamp;

/// An adapter that is resident and serves no request.
#[derive(Debug, Clone)]
pub struct IdleAdapter {
    loaded: Timestamp,
}

/// An adapter that serves at least one request.
#[derive(Debug, Clone)]
pub struct PinnedAdapter {
    loaded: Timestamp,
    pins: NonZeroU32,
}

/// An adapter whose load was ordered.
#[derive(Debug, Clone)]
pub struct LoadingAdapter;

/// An adapter whose unload was ordered.
#[derive(Debug, Clone)]
pub struct UnloadingAdapter {
    loaded: Timestamp,
}

/// An adapter that the engine no longer holds although requests were dispatched to it.
#[derive(Debug, Clone)]
pub struct LostAdapter {
    pins: NonZeroU32,
}

impl IdleAdapter {
    /// Pins the adapter for its first request.
    fn pin(self) -> PinnedAdapter {
        PinnedAdapter {
            loaded: self.loaded,
            pins: NonZeroU32::MIN,
        }
    }

    /// Starts an eviction.
    fn evict(self) -> UnloadingAdapter {
        UnloadingAdapter {
            loaded: self.loaded,
        }
    }
}

impl PinnedAdapter {
    fn pin(self) -> Self {
        Self {
            pins: self.pins.saturating_add(1),
            ..self
        }
    }

    /// Takes one pin away; the last one leaves the adapter idle.
    fn unpin(self) -> SlotState {
        match NonZeroU32::new(self.pins.get() - 1) {
            Some(pins) => SlotState::Pinned(Self { pins, ..self }),
            None => SlotState::Idle(IdleAdapter {
                loaded: self.loaded,
            }),
        }
    }
}

impl LoadingAdapter {
    fn finish(self, now: Timestamp) -> IdleAdapter {
        IdleAdapter { loaded: now }
    }
}

impl UnloadingAdapter {
    /// Makes the adapter resident again after an unload that failed.
    fn cancel(self) -> IdleAdapter {
        IdleAdapter {
            loaded: self.loaded,
        }
    }
}

/// The state of one slot.
#[derive(Debug, Clone)]
enum SlotState {
    Loading(LoadingAdapter),
    Idle(IdleAdapter),
    Pinned(PinnedAdapter),
    Unloading(UnloadingAdapter),
    Lost(LostAdapter),
}

/// All slots of one engine.
#[derive(Debug, Clone)]
pub struct AdapterSlots {
    limit: usize,
    states: BTreeMap<AdapterRef, SlotState>,
}

impl AdapterSlots {
    /// Opens the slots of an empty engine.
    pub const fn open(limit: usize) -> Self {
        Self {
            limit,
            states: BTreeMap::new(),
        }
    }

    /// Changes the number of slots; adapters beyond it stay until they are evicted.
    pub fn resize(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Returns the number of evictions under way.
    pub fn unloading(&self) -> usize {
        self.states
            .values()
            .filter(|state| matches!(state, SlotState::Unloading(_)))
            .count()
    }

    /// Returns whether requests for the adapter can be dispatched.
    pub fn is_resident(&self, adapter: &AdapterRef) -> bool {
        matches!(
            self.states.get(adapter),
            Some(SlotState::Idle(_) | SlotState::Pinned(_))
        )
    }

    /// Returns whether the adapter takes a slot in whatever state.
    pub fn contains(&self, adapter: &AdapterRef) -> bool {
        self.states.contains_key(adapter)
    }

    /// Returns whether one more adapter fits.
    pub fn has_free(&self) -> bool {
        self.states.len() < self.limit
    }

    /// Returns the number of slots that hold nothing.
    pub fn free(&self) -> usize {
        self.limit.saturating_sub(self.states.len())
    }

    /// Returns the resident adapters in order.
    pub fn resident(&self) -> impl Iterator<Item = &AdapterRef> {
        self.states
            .iter()
            .filter(|(_, state)| matches!(state, SlotState::Idle(_) | SlotState::Pinned(_)))
            .map(|(adapter, _)| adapter)
    }

    /// Returns the adapters in transit in order.
    pub fn loading(&self) -> impl Iterator<Item = &AdapterRef> {
        self.states
            .iter()
            .filter(|(_, state)| matches!(state, SlotState::Loading(_)))
            .map(|(adapter, _)| adapter)
    }

    /// Returns the idle adapters in order, with the time since when each is resident.
    pub fn idle(&self) -> impl Iterator<Item = (&AdapterRef, Timestamp)> {
        self.states
            .iter()
            .filter_map(|(adapter, state)| match state {
                SlotState::Idle(idle) => Some((adapter, idle.loaded)),
                _ => None,
            })
    }

    /// Takes a free slot for a load; returns whether there was one.
    pub fn begin_load(&mut self, adapter: AdapterRef) -> bool {
        if !self.has_free() || self.states.contains_key(&adapter) {
            return false;
        }
        self.states
            .insert(adapter, SlotState::Loading(LoadingAdapter));
        true
    }

    /// Notes that the engine holds the adapter, whether or not a load was ordered.
    pub fn note_resident(&mut self, now: Timestamp, adapter: AdapterRef) {
        match self.states.remove(&adapter) {
            Some(SlotState::Loading(loading)) => {
                self.states
                    .insert(adapter, SlotState::Idle(loading.finish(now)));
            }
            Some(SlotState::Lost(lost)) => {
                let pinned = PinnedAdapter {
                    loaded: now,
                    pins: lost.pins,
                };
                self.states.insert(adapter, SlotState::Pinned(pinned));
            }
            Some(state) => {
                self.states.insert(adapter, state);
            }
            None => {
                let idle = IdleAdapter { loaded: now };
                self.states.insert(adapter, SlotState::Idle(idle));
            }
        }
    }

    /// Notes that a load ended without the adapter being resident; returns whether one was under
    /// way.
    pub fn fail_load(&mut self, adapter: &AdapterRef) -> bool {
        let was_loading = matches!(self.states.get(adapter), Some(SlotState::Loading(_)));
        if was_loading {
            self.states.remove(adapter);
        }
        was_loading
    }

    /// Pins a resident adapter; returns whether it is resident.
    pub fn pin(&mut self, adapter: &AdapterRef) -> bool {
        let Some((adapter, state)) = self.states.remove_entry(adapter) else {
            return false;
        };
        let (state, pinned) = match state {
            SlotState::Idle(idle) => (SlotState::Pinned(idle.pin()), true),
            SlotState::Pinned(pinned) => (SlotState::Pinned(pinned.pin()), true),
            other => (other, false),
        };
        self.states.insert(adapter, state);
        pinned
    }

    /// Takes one pin away.
    pub fn unpin(&mut self, adapter: &AdapterRef) {
        let Some((adapter, state)) = self.states.remove_entry(adapter) else {
            return;
        };
        let state = match state {
            SlotState::Pinned(pinned) => pinned.unpin(),
            SlotState::Lost(lost) => match NonZeroU32::new(lost.pins.get() - 1) {
                Some(pins) => SlotState::Lost(LostAdapter { pins }),
                None => return,
            },
            other => other,
        };
        self.states.insert(adapter, state);
    }

    /// Starts the eviction of an idle adapter; returns whether it was idle.
    pub fn begin_eviction(&mut self, adapter: &AdapterRef) -> bool {
        let Some((adapter, state)) = self.states.remove_entry(adapter) else {
            return false;
        };
        let (state, evicting) = match state {
            SlotState::Idle(idle) => (SlotState::Unloading(idle.evict()), true),
            other => (other, false),
        };
        self.states.insert(adapter, state);
        evicting
    }

    /// Notes that the engine no longer holds the adapter.
    pub fn note_gone(&mut self, adapter: &AdapterRef) {
        let Some((adapter, state)) = self.states.remove_entry(adapter) else {
            return;
        };
        match state {
            SlotState::Pinned(PinnedAdapter { pins, .. })
            | SlotState::Lost(LostAdapter { pins }) => {
                let lost = SlotState::Lost(LostAdapter { pins });
                self.states.insert(adapter, lost);
            }
            SlotState::Loading(loading) => {
                self.states.insert(adapter, SlotState::Loading(loading));
            }
            SlotState::Idle(_) | SlotState::Unloading(_) => {}
        }
    }

    /// Notes that an unload failed, so that the adapter may still be resident.
    pub fn cancel_eviction(&mut self, adapter: &AdapterRef) {
        let Some((adapter, state)) = self.states.remove_entry(adapter) else {
            return;
        };
        let state = match state {
            SlotState::Unloading(unloading) => SlotState::Idle(unloading.cancel()),
            other => other,
        };
        self.states.insert(adapter, state);
    }

    /// Makes the slots agree with what the engine holds; loads and unloads under way stay.
    pub fn reconcile(&mut self, now: Timestamp, held: &[AdapterRef]) {
        let gone: Vec<AdapterRef> = self
            .resident()
            .filter(|adapter| !held.contains(adapter))
            .cloned()
            .collect();
        for adapter in &gone {
            self.note_gone(adapter);
        }
        for adapter in held {
            self.note_resident(now, adapter.clone());
        }
    }
}
