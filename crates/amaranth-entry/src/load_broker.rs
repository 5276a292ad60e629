//! The load broker of this entry, shared by the agents that request permits from it.

use std::sync::{Mutex, PoisonError};

use amaranth_config::catalogue::Catalogue;
use amaranth_core::ids::{AdapterRef, EndpointId};
use amaranth_core::time::Timestamp;
use amaranth_placement::broker::{BrokerOptions, BrokerReply, LoadBroker, LoadKey};
use amaranth_wire::entry::{PermitReply, PermitRequest};

/// A broker and the options that it was created with.
struct ConfiguredBroker {
    options: BrokerOptions,
    broker: LoadBroker,
}

/// Load broker that shares the weight store's limits among agents, behind a lock.
pub struct SharedLoadBroker {
    configured: Mutex<ConfiguredBroker>,
}

impl Default for SharedLoadBroker {
    fn default() -> Self {
        Self::new()
    }
}

impl SharedLoadBroker {
    /// Creates a broker with the default limits. Each request replaces them by those of the
    /// configuration, if they differ.
    pub fn new() -> Self {
        let options = BrokerOptions::default();
        Self {
            configured: Mutex::new(ConfiguredBroker {
                options,
                broker: LoadBroker::new(options),
            }),
        }
    }

    /// Grants a permit for one load, or returns the time to wait before the next request.
    pub fn request(
        &self,
        now: Timestamp,
        catalogue: &Catalogue,
        request: PermitRequest,
    ) -> PermitReply {
        let mut configured = self
            .configured
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let limits = catalogue.limits();
        let options = BrokerOptions {
            load_rate: limits.store_loads,
            transit_limit: usize::from(limits.loads_in_transit),
            ..BrokerOptions::default()
        };
        // A change of limits replaces the broker. The new one learns of the loads in transit when
        // their permits are renewed.
        if configured.options != options {
            *configured = ConfiguredBroker {
                options,
                broker: LoadBroker::new(options),
            };
        }
        let key = LoadKey {
            endpoint: request.endpoint,
            adapter: request.adapter,
        };
        let broker = &mut configured.broker;
        match broker.request(now, key, request.saved_wait_ms, request.renewal) {
            BrokerReply::Granted(term) => PermitReply::Granted(term),
            BrokerReply::Wait(delay) => PermitReply::Wait(delay),
        }
    }

    /// Releases the permit of a load.
    pub fn release(&self, endpoint: EndpointId, adapter: AdapterRef) {
        let mut configured = self
            .configured
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        configured.broker.release(&LoadKey { endpoint, adapter });
    }
}
