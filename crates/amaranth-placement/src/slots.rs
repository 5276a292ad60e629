//! The adapter slots of one engine, with a type for each state of a slot.
//!
//! Only [`IdleAdapter`] has a method for eviction, so the compiler rules out the eviction of an
//! adapter that serves a request.

use std::collections::BTreeMap;
use std::num::NonZeroU32;

use amaranth_core::ids::AdapterRef;
use amaranth_core::time::Timestamp;

/// A resident adapter that serves no request.
#[derive(Debug, Clone)]
pub struct IdleAdapter {
    loaded_at: Timestamp,
}

/// A resident adapter that serves at least one request.
#[derive(Debug, Clone)]
pub struct PinnedAdapter {
    loaded_at: Timestamp,
    pins: NonZeroU32,
}

/// An adapter that is being loaded.
#[derive(Debug, Clone)]
pub struct LoadingAdapter;

/// An adapter that is being unloaded.
#[derive(Debug, Clone)]
pub struct UnloadingAdapter {
    loaded_at: Timestamp,
}

/// An adapter that the engine no longer holds although it serves dispatched requests.
#[derive(Debug, Clone)]
pub struct RemovedAdapter {
    pins: NonZeroU32,
}

impl IdleAdapter {
    /// Pins the adapter for the first request.
    fn pin(self) -> PinnedAdapter {
        PinnedAdapter {
            loaded_at: self.loaded_at,
            pins: NonZeroU32::MIN,
        }
    }

    /// Starts the eviction of the adapter.
    fn evict(self) -> UnloadingAdapter {
        UnloadingAdapter {
            loaded_at: self.loaded_at,
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

    /// Removes one pin; the adapter is idle after the last one.
    fn unpin(self) -> SlotState {
        match NonZeroU32::new(self.pins.get() - 1) {
            Some(pins) => SlotState::Pinned(Self { pins, ..self }),
            None => SlotState::Idle(IdleAdapter {
                loaded_at: self.loaded_at,
            }),
        }
    }
}

impl LoadingAdapter {
    fn finish(self, now: Timestamp) -> IdleAdapter {
        IdleAdapter { loaded_at: now }
    }
}

impl UnloadingAdapter {
    /// Makes the adapter resident again after a failed unload.
    fn cancel(self) -> IdleAdapter {
        IdleAdapter {
            loaded_at: self.loaded_at,
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
    Removed(RemovedAdapter),
}

/// The adapter slots of one engine.
#[derive(Debug, Clone)]
pub struct AdapterSlots {
    limit: usize,
    states: BTreeMap<AdapterRef, SlotState>,
}

impl AdapterSlots {
    /// Creates the slots of an empty engine.
    pub const fn new(limit: usize) -> Self {
        Self {
            limit,
            states: BTreeMap::new(),
        }
    }

    /// Changes the number of slots; adapters in excess stay until they are evicted.
    pub fn resize(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Returns the number of adapters that are being unloaded.
    pub fn unloading_count(&self) -> usize {
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

    /// Returns whether the adapter occupies a slot, in any state.
    pub fn contains(&self, adapter: &AdapterRef) -> bool {
        self.states.contains_key(adapter)
    }

    /// Returns whether a slot is free.
    pub fn has_free_slot(&self) -> bool {
        self.states.len() < self.limit
    }

    /// Returns the number of free slots.
    pub fn free_count(&self) -> usize {
        self.limit.saturating_sub(self.states.len())
    }

    /// Returns the resident adapters, sorted.
    pub fn resident(&self) -> impl Iterator<Item = &AdapterRef> {
        self.states
            .iter()
            .filter(|(_, state)| matches!(state, SlotState::Idle(_) | SlotState::Pinned(_)))
            .map(|(adapter, _)| adapter)
    }

    /// Returns the adapters that are being loaded, sorted.
    pub fn loading(&self) -> impl Iterator<Item = &AdapterRef> {
        self.states
            .iter()
            .filter(|(_, state)| matches!(state, SlotState::Loading(_)))
            .map(|(adapter, _)| adapter)
    }

    /// Returns the idle adapters, sorted, with the time at which each was loaded.
    pub fn idle(&self) -> impl Iterator<Item = (&AdapterRef, Timestamp)> {
        self.states
            .iter()
            .filter_map(|(adapter, state)| match state {
                SlotState::Idle(idle) => Some((adapter, idle.loaded_at)),
                _ => None,
            })
    }

    /// Occupies a free slot for a load; returns false if no slot is free or the adapter has one.
    pub fn begin_load(&mut self, adapter: AdapterRef) -> bool {
        if !self.has_free_slot() || self.states.contains_key(&adapter) {
            return false;
        }
        self.states
            .insert(adapter, SlotState::Loading(LoadingAdapter));
        true
    }

    /// Records that the engine holds the adapter, whether or not its load was ordered.
    pub fn mark_resident(&mut self, now: Timestamp, adapter: AdapterRef) {
        match self.states.remove(&adapter) {
            Some(SlotState::Loading(loading)) => {
                self.states
                    .insert(adapter, SlotState::Idle(loading.finish(now)));
            }
            Some(SlotState::Removed(removed)) => {
                let pinned = PinnedAdapter {
                    loaded_at: now,
                    pins: removed.pins,
                };
                self.states.insert(adapter, SlotState::Pinned(pinned));
            }
            Some(state) => {
                self.states.insert(adapter, state);
            }
            None => {
                let idle = IdleAdapter { loaded_at: now };
                self.states.insert(adapter, SlotState::Idle(idle));
            }
        }
    }

    /// Frees the slot of a load that failed; returns whether the adapter was being loaded.
    pub fn fail_load(&mut self, adapter: &AdapterRef) -> bool {
        let was_loading = matches!(self.states.get(adapter), Some(SlotState::Loading(_)));
        if was_loading {
            self.states.remove(adapter);
        }
        was_loading
    }

    /// Adds a pin to a resident adapter; returns whether the adapter is resident.
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

    /// Removes one pin from an adapter.
    pub fn unpin(&mut self, adapter: &AdapterRef) {
        let Some((adapter, state)) = self.states.remove_entry(adapter) else {
            return;
        };
        let state = match state {
            SlotState::Pinned(pinned) => pinned.unpin(),
            SlotState::Removed(removed) => match NonZeroU32::new(removed.pins.get() - 1) {
                Some(pins) => SlotState::Removed(RemovedAdapter { pins }),
                None => return,
            },
            other => other,
        };
        self.states.insert(adapter, state);
    }

    /// Starts the eviction of an idle adapter; returns whether the adapter was idle.
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

    /// Records that the engine no longer holds the adapter.
    pub fn mark_removed(&mut self, adapter: &AdapterRef) {
        let Some((adapter, state)) = self.states.remove_entry(adapter) else {
            return;
        };
        match state {
            SlotState::Pinned(PinnedAdapter { pins, .. })
            | SlotState::Removed(RemovedAdapter { pins }) => {
                let removed = SlotState::Removed(RemovedAdapter { pins });
                self.states.insert(adapter, removed);
            }
            SlotState::Loading(loading) => {
                self.states.insert(adapter, SlotState::Loading(loading));
            }
            SlotState::Idle(_) | SlotState::Unloading(_) => {}
        }
    }

    /// Makes an adapter idle again whose unload failed, as it may still be resident.
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

    /// Updates the slots to the adapters that the engine holds; loads and unloads in progress stay.
    pub fn reconcile(&mut self, now: Timestamp, held: &[AdapterRef]) {
        let removed: Vec<AdapterRef> = self
            .resident()
            .filter(|adapter| !held.contains(adapter))
            .cloned()
            .collect();
        for adapter in &removed {
            self.mark_removed(adapter);
        }
        for adapter in held {
            self.mark_resident(now, adapter.clone());
        }
    }
}
