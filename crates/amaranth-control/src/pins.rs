//! Pins on resident adapters, as typestate: no unload order exists for an adapter in use.
//!
//! Only an [`Adapter<Idle>`] creates an [`UnloadOrder`], and creating it makes the adapter
//! [`Evicting`], which can't be pinned. So no interleaving evicts an adapter in use.

use std::collections::HashMap;

use amaranth_core::ids::AdapterRef;

use crate::lease::state::OrderPermit;

/// The state of an adapter on which no request runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Idle;

/// The state of an adapter on which requests run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pinned {
    requests: u32,
}

/// The state of an adapter whose unload is in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evicting;

/// A resident adapter in one state of its use: [`Idle`], [`Pinned`] or [`Evicting`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Adapter<State> {
    adapter: AdapterRef,
    state: State,
}

/// An order to unload an adapter on which no request runs.
#[derive(Debug, PartialEq, Eq)]
pub struct UnloadOrder {
    adapter: AdapterRef,
    permit: OrderPermit,
}

impl Adapter<Idle> {
    /// Creates an idle adapter.
    pub const fn new(adapter: AdapterRef) -> Self {
        Self {
            adapter,
            state: Idle,
        }
    }

    /// Pins the adapter for its first request.
    pub fn pin(self) -> Adapter<Pinned> {
        Adapter {
            adapter: self.adapter,
            state: Pinned { requests: 1 },
        }
    }

    /// Creates the order to unload the adapter.
    pub fn evict(self, permit: OrderPermit) -> (Adapter<Evicting>, UnloadOrder) {
        let order = UnloadOrder {
            adapter: self.adapter.clone(),
            permit,
        };
        let evicting = Adapter {
            adapter: self.adapter,
            state: Evicting,
        };
        (evicting, order)
    }
}

impl Adapter<Pinned> {
    /// Pins the adapter for another request.
    pub fn pin(self) -> Self {
        let requests = self.state.requests + 1;
        Self {
            state: Pinned { requests },
            ..self
        }
    }

    /// Removes the pin of one request, and returns the idle adapter if it was the last one.
    ///
    /// # Errors
    ///
    /// Returns the pinned adapter if other requests still run on it.
    pub fn unpin(self) -> Result<Adapter<Idle>, Self> {
        match self.state.requests {
            0 | 1 => Ok(Adapter::new(self.adapter)),
            requests => Err(Self {
                state: Pinned {
                    requests: requests - 1,
                },
                ..self
            }),
        }
    }
}

impl Adapter<Evicting> {
    /// Ends the unload, whether it succeeded or failed.
    pub fn finish(self) -> Adapter<Idle> {
        Adapter::new(self.adapter)
    }
}

impl UnloadOrder {
    /// Returns the adapter to unload.
    pub const fn adapter(&self) -> &AdapterRef {
        &self.adapter
    }

    /// Returns the permit to send the order.
    pub const fn permit(&self) -> &OrderPermit {
        &self.permit
    }
}

/// An adapter that is pinned or being evicted.
#[derive(Debug, Clone)]
enum BusyAdapter {
    Pinned(Adapter<Pinned>),
    Evicting(Adapter<Evicting>),
}

/// The adapters of one engine that are pinned or being evicted; all others are idle.
#[derive(Debug, Clone, Default)]
pub struct PinTable {
    adapters: HashMap<AdapterRef, BusyAdapter>,
}

impl PinTable {
    /// Creates a table without pins.
    pub fn new() -> Self {
        Self::default()
    }

    /// Pins `adapter` for a request, unless its unload is in progress.
    ///
    /// Returns whether the adapter is pinned.
    pub fn pin(&mut self, adapter: &AdapterRef) -> bool {
        let pinned = match self.adapters.remove(adapter) {
            None => Adapter::new(adapter.clone()).pin(),
            Some(BusyAdapter::Pinned(pinned)) => pinned.pin(),
            Some(evicting @ BusyAdapter::Evicting(_)) => {
                self.adapters.insert(adapter.clone(), evicting);
                return false;
            }
        };
        self.adapters
            .insert(adapter.clone(), BusyAdapter::Pinned(pinned));
        true
    }

    /// Removes the pin of one request.
    pub fn unpin(&mut self, adapter: &AdapterRef) {
        match self.adapters.remove(adapter) {
            Some(BusyAdapter::Pinned(pinned)) => {
                if let Err(pinned) = pinned.unpin() {
                    self.adapters
                        .insert(adapter.clone(), BusyAdapter::Pinned(pinned));
                }
            }
            Some(evicting) => {
                self.adapters.insert(adapter.clone(), evicting);
            }
            None => {}
        }
    }

    /// Creates the order to unload `adapter`, unless a request runs on the adapter or its unload
    /// is in progress.
    pub fn evict(&mut self, adapter: &AdapterRef, permit: OrderPermit) -> Option<UnloadOrder> {
        if self.adapters.contains_key(adapter) {
            return None;
        }
        let (evicting, order) = Adapter::new(adapter.clone()).evict(permit);
        self.adapters
            .insert(adapter.clone(), BusyAdapter::Evicting(evicting));
        Some(order)
    }

    /// Ends the unload of `adapter`, whether it succeeded or failed.
    pub fn finish_unload(&mut self, adapter: &AdapterRef) {
        match self.adapters.remove(adapter) {
            // An idle adapter has no entry, so the result of `finish` is dropped.
            Some(BusyAdapter::Evicting(evicting)) => drop(evicting.finish()),
            Some(pinned) => {
                self.adapters.insert(adapter.clone(), pinned);
            }
            None => {}
        }
    }
}
