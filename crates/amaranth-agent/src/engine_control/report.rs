//! The engine's report for entries and operators, and its metrics.

use std::sync::Arc;

use amaranth_core::ids::AdapterRef;
use amaranth_core::membership::{EndpointLoad, EndpointOffer, EndpointReport};

use super::EngineControl;

impl EngineControl {
    pub(super) fn publish(&mut self) {
        let report = self.report();
        if self.published.as_ref() != Some(&report) {
            let running = f64::from(report.load.in_flight);
            let queued = f64::from(report.load.queued);
            let endpoint = self.endpoint.to_string();
            metrics::gauge!("amaranth_agent_batch_running", "endpoint" => endpoint.clone())
                .set(running);
            metrics::gauge!("amaranth_agent_queued", "endpoint" => endpoint).set(queued);
            self.handle.report.store(Arc::new(report.clone()));
            self.published = Some(report);
        }
    }

    pub(super) fn report(&self) -> EndpointReport {
        let Some(inventory) = &self.inventory else {
            let mut report = EndpointReport::clone(&self.handle.report());
            report.ready = false;
            return report;
        };
        let count = |number: usize| u16::try_from(number).unwrap_or(u16::MAX);
        let loading: Vec<AdapterRef> = self.planner.loading().cloned().collect();
        EndpointReport {
            endpoint: self.endpoint.clone(),
            offer: EndpointOffer::Engine {
                bases: inventory.bases.iter().cloned().collect(),
                adapter_slots: inventory.adapter_slots,
                batch_slots: inventory.batch_slots,
            },
            ready: self.context.lease.published().is_held(&self.endpoint),
            load: EndpointLoad {
                in_flight: count(self.planner.in_flight()),
                queued: count(self.planner.queued()),
                loads_pending: count(loading.len()),
                spare_slots: count(self.planner.spare_slots()),
                eviction_cost: self
                    .planner
                    .reported_eviction_cost(self.context.clock.now()),
            },
            resident: self.planner.resident().cloned().collect(),
            loading,
        }
    }
}
