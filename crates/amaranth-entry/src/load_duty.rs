//! The load broker's duty, as this entry holds it for the agents that ask it.

use std::sync::{Mutex, PoisonError};

use amaranth_config::catalogue::Catalogue;
use amaranth_core::ids::{AdapterRef, EndpointId};
use amaranth_core::time::Timestamp;
use amaranth_placement::broker::{BrokerOptions, BrokerReply, LoadBroker, LoadKey};
use amaranth_wire::entry::{PermitReply, PermitRequest};

/// A broker with the limits by which it was opened.
struct OpenedBroker {
    options: BrokerOptions,
    broker: LoadBroker,
}

/// Shares the weight store's limits among the agents that ask.
pub struct LoadDuty {
    opened: Mutex<OpenedBroker>,
}

impl LoadDuty {
    /// Opens the duty with the usual limits; the configuration replaces them.
    pub fn open() -> Self {
        let options = BrokerOptions::default();
        Self {
            opened: Mutex::new(OpenedBroker {
                options,
                broker: LoadBroker::new(options),
            }),
        }
    }

    /// Rules on one load.
    pub fn request(
        &self,
        now: Timestamp,
        catalogue: &Catalogue,
        request: PermitRequest,
    ) -> PermitReply {
        let mut opened = self.opened.lock().unwrap_or_else(PoisonError::into_inner);
        let limits = catalogue.limits();
        let options = BrokerOptions {
            load_rate: limits.store_loads,
            transit_limit: usize::from(limits.loads_in_transit),
            ..BrokerOptions::default()
        };
        // A broker with other limits starts anew. It learns of the loads in transit when their
        // permits are renewed.
        if opened.options != options {
            *opened = OpenedBroker {
                options,
                broker: LoadBroker::new(options),
            };
        }
        let key = LoadKey {
            endpoint: request.endpoint,
            adapter: request.adapter,
        };
        let broker = &mut opened.broker;
        match broker.request(now, key, request.saved_wait_ms, request.renewal) {
            BrokerReply::Granted(term) => PermitReply::Granted(term),
            BrokerReply::Wait(delay) => PermitReply::Wait(delay),
        }
    }

    /// Takes a permit back.
    pub fn release(&self, endpoint: EndpointId, adapter: AdapterRef) {
        let mut opened = self.opened.lock().unwrap_or_else(PoisonError::into_inner);
        opened.broker.release(&LoadKey { endpoint, adapter });
    }
}
