//! Which resident adapters serve requests, as typestate: an unload can't be written for one.
//!
//! Only an [`Adapter<Idle>`] writes an [`UnloadOrder`], and writing it makes the adapter
//! [`Evicting`], which can't be pinned. So no interleaving evicts an adapter in flight.

use std::collections::HashMap;

use amaranth_core::ids::AdapterRef;

use crate::lease::stage::OrderPermit;

/// No request runs on the adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Idle;

/// Requests run on the adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pinned {
    requests: u32,
}

/// An unload is on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evicting;

/// A resident adapter in one stage of its use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Adapter<Use> {
    adapter: AdapterRef,
    usage: Use,
}

/// An order to unload an adapter on which no request runs.
#[derive(Debug, PartialEq, Eq)]
pub struct UnloadOrder {
    adapter: AdapterRef,
    permit: OrderPermit,
}

impl Adapter<Idle> {
    /// Opens the stage of an adapter on which no request runs.
    pub const fn open(adapter: AdapterRef) -> Self {
        Self {
            adapter,
            usage: Idle,
        }
    }

    /// Notes that a request runs on the adapter.
    pub fn pin(self) -> Adapter<Pinned> {
        Adapter {
            adapter: self.adapter,
            usage: Pinned { requests: 1 },
        }
    }

    /// Writes the order to unload the adapter.
    pub fn evict(self, permit: OrderPermit) -> (Adapter<Evicting>, UnloadOrder) {
        let order = UnloadOrder {
            adapter: self.adapter.clone(),
            permit,
        };
        let evicting = Adapter {
            adapter: self.adapter,
            usage: Evicting,
        };
        (evicting, order)
    }
}

impl Adapter<Pinned> {
    /// Notes that another request runs on the adapter.
    pub fn pin(self) -> Self {
        let requests = self.usage.requests + 1;
        Self {
            usage: Pinned { requests },
            ..self
        }
    }

    /// Notes that a request ended, and returns the idle adapter if it was the last one.
    pub fn unpin(self) -> Result<Adapter<Idle>, Self> {
        match self.usage.requests {
            0 | 1 => Ok(Adapter::open(self.adapter)),
            requests => Err(Self {
                usage: Pinned {
                    requests: requests - 1,
                },
                ..self
            }),
        }
    }
}

impl Adapter<Evicting> {
    /// Notes that the unload ended, in whatever way.
    pub fn end(self) -> Adapter<Idle> {
        Adapter::open(self.adapter)
    }
}

impl UnloadOrder {
    /// Returns the adapter.
    pub const fn adapter(&self) -> &AdapterRef {
        &self.adapter
    }

    /// Returns the leave to send the order.
    pub const fn permit(&self) -> &OrderPermit {
        &self.permit
    }
}

/// One adapter in any stage.
#[derive(Debug, Clone)]
enum AnyAdapter {
    Pinned(Adapter<Pinned>),
    Evicting(Adapter<Evicting>),
}

/// The adapters of one engine that are pinned or evicted; all others are idle.
#[derive(Debug, Clone, Default)]
pub struct PinBook {
    adapters: HashMap<AdapterRef, AnyAdapter>,
}

impl PinBook {
    /// Opens a book without pins.
    pub fn open() -> Self {
        Self::default()
    }

    /// Pins `adapter` for a request, unless an unload of it is on its way.
    ///
    /// Returns whether it is pinned.
    pub fn pin(&mut self, adapter: &AdapterRef) -> bool {
        let pinned = match self.adapters.remove(adapter) {
            None => Adapter::open(adapter.clone()).pin(),
            Some(AnyAdapter::Pinned(pinned)) => pinned.pin(),
            Some(evicting @ AnyAdapter::Evicting(_)) => {
                self.adapters.insert(adapter.clone(), evicting);
                return false;
            }
        };
        self.adapters
            .insert(adapter.clone(), AnyAdapter::Pinned(pinned));
        true
    }

    /// Ends the pin of one request.
    pub fn unpin(&mut self, adapter: &AdapterRef) {
        match self.adapters.remove(adapter) {
            Some(AnyAdapter::Pinned(pinned)) => {
                if let Err(pinned) = pinned.unpin() {
                    self.adapters
                        .insert(adapter.clone(), AnyAdapter::Pinned(pinned));
                }
            }
            Some(evicting) => {
                self.adapters.insert(adapter.clone(), evicting);
            }
            None => {}
        }
    }

    /// Writes the order to unload `adapter`, unless a request runs on it or an unload is out.
    pub fn evict(&mut self, adapter: &AdapterRef, permit: OrderPermit) -> Option<UnloadOrder> {
        if self.adapters.contains_key(adapter) {
            return None;
        }
        let (evicting, order) = Adapter::open(adapter.clone()).evict(permit);
        self.adapters
            .insert(adapter.clone(), AnyAdapter::Evicting(evicting));
        Some(order)
    }

    /// Notes that the unload of `adapter` ended, in whatever way.
    pub fn unload_ended(&mut self, adapter: &AdapterRef) {
        match self.adapters.remove(adapter) {
            // An idle adapter has no row, so what `end` returns is not kept.
            Some(AnyAdapter::Evicting(evicting)) => drop(evicting.end()),
            Some(pinned) => {
                self.adapters.insert(adapter.clone(), pinned);
            }
            None => {}
        }
    }
}
