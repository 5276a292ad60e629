//! Loads and unloads of adapters: their permits, orders and results.

use std::sync::Arc;

use amaranth_control::lease::manager::LeaseEvent;
use amaranth_control::lease::state::OrderPermit;
use amaranth_core::ids::AdapterRef;
use amaranth_placement::decision::PlacementDecision;
use amaranth_placement::planner::PlannerEvent;
use amaranth_ports::{PortError, PortResult};

use super::{EngineControl, EngineEvent};
use crate::permit_client::PermitOutcome;

impl EngineControl {
    pub(super) fn request_permit(&self, adapter: AdapterRef, saved_wait_ms: u64) {
        let handle = self.handle.clone();
        let endpoint = self.endpoint.clone();
        let permit_client = self.context.permit_client.clone();
        self.context.traffic_tasks.spawn(async move {
            let event = match permit_client
                .request(&endpoint, &adapter, saved_wait_ms)
                .await
            {
                PermitOutcome::Granted => EngineEvent::PermitGranted(adapter),
                PermitOutcome::Delayed(delay) => EngineEvent::PermitDelayed(adapter, delay),
            };
            handle.send(event).await;
        });
    }

    /// Returns the permit of a load that has ended or is no longer needed.
    pub(super) fn return_permit(&self, adapter: AdapterRef, loaded: bool) {
        let endpoint = self.endpoint.clone();
        let permit_client = self.context.permit_client.clone();
        self.context
            .traffic_tasks
            .spawn(async move { permit_client.release(&endpoint, &adapter, loaded).await });
    }

    pub(super) fn load(&mut self, adapter: AdapterRef) {
        self.begin_order();
        let handle = self.handle.clone();
        let orders = self.orders.clone();
        let permit = self.permit();
        self.record_reason(&adapter);
        let endpoint = self.endpoint.clone();
        let permit_client = self.context.permit_client.clone();
        self.context.traffic_tasks.spawn(async move {
            let loading = orders.load(&adapter, permit);
            let result = permit_client
                .renew_during(&endpoint, &adapter, loading)
                .await;
            handle.send(EngineEvent::LoadEnded(adapter, result)).await;
        });
    }

    pub(super) fn unload(&mut self, adapter: AdapterRef) {
        self.begin_order();
        let handle = self.handle.clone();
        let orders = self.orders.clone();
        let permit = self.permit();
        let order = permit
            .filter(|_| !self.predecessor.may_have_requests())
            .and_then(|permit| self.pins.evict(&adapter, permit));
        self.record_reason(&adapter);
        self.context.traffic_tasks.spawn(async move {
            let result = match order {
                Some(order) => orders.unload(order).await,
                None => {
                    orders
                        .refuse("the adapter is pinned or the lease is not held")
                        .await
                }
            };
            handle.send(EngineEvent::UnloadEnded(adapter, result)).await;
        });
    }

    /// Records the reason of the planner's latest decision on `adapter`.
    fn record_reason(&self, adapter: &AdapterRef) {
        let concerns = |decision: &PlacementDecision| match decision {
            PlacementDecision::Load { adapter: known, .. }
            | PlacementDecision::Evict { adapter: known, .. } => known == adapter,
        };
        let decisions = self.planner.decisions().map(|(_, decision)| decision);
        if let Some(decision) = decisions.filter(|decision| concerns(decision)).last() {
            self.record_decision(&decision.to_string());
        }
    }

    pub(super) fn permit(&self) -> Option<OrderPermit> {
        let leases = self.context.lease.published();
        leases.permit(&self.endpoint).filter(|_| !self.quiesced)
    }

    pub(super) fn finish_load(&mut self, adapter: AdapterRef, result: PortResult<()>) {
        self.end_order();
        self.return_permit(adapter.clone(), result.is_ok());
        match result {
            Ok(()) => {
                metrics::counter!("amaranth_agent_loads_total", "outcome" => "loaded").increment(1);
                self.record_decision(&format!("event=adapter_loaded adapter={adapter}"));
                self.record_resident(&adapter, true);
                self.plan(PlannerEvent::Loaded(adapter));
            }
            Err(error) => {
                metrics::counter!("amaranth_agent_loads_total", "outcome" => "failed").increment(1);
                self.handle_order_failure("load_failed", &adapter, &error);
                self.plan(PlannerEvent::LoadFailed(adapter));
            }
        }
    }

    pub(super) fn finish_unload(&mut self, adapter: AdapterRef, result: PortResult<()>) {
        self.end_order();
        self.pins.finish_unload(&adapter);
        match result {
            Ok(()) => {
                metrics::counter!("amaranth_agent_evictions_total").increment(1);
                self.record_decision(&format!("event=adapter_unloaded adapter={adapter}"));
                self.record_resident(&adapter, false);
                self.plan(PlannerEvent::Unloaded(adapter));
            }
            Err(error) => {
                self.handle_order_failure("unload_failed", &adapter, &error);
                self.plan(PlannerEvent::UnloadFailed(adapter));
            }
        }
    }

    pub(super) fn handle_order_failure(
        &mut self,
        event: &str,
        adapter: &AdapterRef,
        error: &PortError,
    ) {
        let cause = error.to_string();
        self.record_decision(&format!("event={event} adapter={adapter} cause={cause:?}"));
        if let PortError::Fenced(_) = error {
            self.report_fenced();
        }
        self.read_inventory();
    }

    /// Reports to the lease manager that another process sends orders to the engine.
    pub(super) fn report_fenced(&self) {
        let lease = self.context.lease.clone();
        let fenced = LeaseEvent::Fenced(self.endpoint.clone());
        self.context
            .traffic_tasks
            .spawn(async move { lease.send(fenced).await });
    }

    pub(super) fn begin_order(&mut self) {
        self.order_count += 1;
        self.orders_in_flight += 1;
    }

    pub(super) fn end_order(&mut self) {
        self.order_count += 1;
        self.orders_in_flight -= 1;
        if self.orders_in_flight == 0 {
            self.quiesce_done = None;
        }
    }

    /// Updates the list of resident adapters after an order that the engine confirmed.
    pub(super) fn record_resident(&mut self, adapter: &AdapterRef, resident: bool) {
        let Some(inventory) = &mut self.inventory else {
            return;
        };
        let adapters = &mut Arc::make_mut(inventory).adapters;
        adapters.retain(|known| known != adapter);
        if resident {
            adapters.push(adapter.clone());
        }
        self.context.change_signal.notify();
    }
}
