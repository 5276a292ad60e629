//! Loads and unloads: permits, orders and what they led to.

use std::sync::Arc;

use amaranth_control::lease::manager::LeaseEvent;
use amaranth_control::lease::state::OrderPermit;
use amaranth_core::ids::AdapterRef;
use amaranth_placement::decision::PlacementDecision;
use amaranth_placement::planner::PlannerEvent;
use amaranth_ports::{PortError, PortResult};

use super::{EngineControl, EngineEvent};
use crate::load_permits::PermitVerdict;

impl EngineControl {
    pub(super) fn request_permit(&self, adapter: AdapterRef, saved_wait_ms: u64) {
        let handle = self.handle.clone();
        let endpoint = self.endpoint.clone();
        let permits = self.context.permits.clone();
        self.context.traffic.spawn(async move {
            let event = match permits.ask(&endpoint, &adapter, saved_wait_ms).await {
                PermitVerdict::Granted => EngineEvent::PermitGranted(adapter),
                PermitVerdict::Delayed(delay) => EngineEvent::PermitDelayed(adapter, delay),
            };
            handle.send(event).await;
        });
    }

    /// Gives a permit back whose load has ended or is no longer wanted.
    pub(super) fn return_permit(&self, adapter: AdapterRef, loaded: bool) {
        let endpoint = self.endpoint.clone();
        let permits = self.context.permits.clone();
        self.context
            .traffic
            .spawn(async move { permits.release(&endpoint, &adapter, loaded).await });
    }

    pub(super) fn load(&mut self, adapter: AdapterRef) {
        self.begin_order();
        let handle = self.handle.clone();
        let orders = self.orders.clone();
        let permit = self.permit();
        self.explain(&adapter);
        let endpoint = self.endpoint.clone();
        let permits = self.context.permits.clone();
        self.context.traffic.spawn(async move {
            let loading = orders.load(&adapter, permit);
            let result = permits.keep_during(&endpoint, &adapter, loading).await;
            handle.send(EngineEvent::LoadEnded(adapter, result)).await;
        });
    }

    pub(super) fn unload(&mut self, adapter: AdapterRef) {
        self.begin_order();
        let handle = self.handle.clone();
        let orders = self.orders.clone();
        let permit = self.permit();
        let order = permit
            .filter(|_| !self.predecessor.may_run())
            .and_then(|permit| self.pins.evict(&adapter, permit));
        self.explain(&adapter);
        self.context.traffic.spawn(async move {
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

    /// Keeps the reason of the planner's latest decision on `adapter`.
    fn explain(&self, adapter: &AdapterRef) {
        let concerns = |decision: &PlacementDecision| match decision {
            PlacementDecision::Load { adapter: known, .. }
            | PlacementDecision::Evict { adapter: known, .. } => known == adapter,
        };
        let decisions = self.planner.decisions().map(|(_, decision)| decision);
        if let Some(decision) = decisions.filter(|decision| concerns(decision)).last() {
            self.decide(&decision.to_string());
        }
    }

    pub(super) fn permit(&self) -> Option<OrderPermit> {
        let board = self.context.lease.board();
        board.permit(&self.endpoint).filter(|_| !self.leaving)
    }

    pub(super) fn end_load(&mut self, adapter: AdapterRef, result: PortResult<()>) {
        self.end_order();
        self.return_permit(adapter.clone(), result.is_ok());
        match result {
            Ok(()) => {
                metrics::counter!("amaranth_agent_loads_total", "outcome" => "loaded").increment(1);
                self.decide(&format!("event=adapter_loaded adapter={adapter}"));
                self.note_resident(&adapter, true);
                self.plan(PlannerEvent::Loaded(adapter));
            }
            Err(error) => {
                metrics::counter!("amaranth_agent_loads_total", "outcome" => "failed").increment(1);
                self.note_refused("load_failed", &adapter, &error);
                self.plan(PlannerEvent::LoadFailed(adapter));
            }
        }
    }

    pub(super) fn end_unload(&mut self, adapter: AdapterRef, result: PortResult<()>) {
        self.end_order();
        self.pins.finish_unload(&adapter);
        match result {
            Ok(()) => {
                metrics::counter!("amaranth_agent_evictions_total").increment(1);
                self.decide(&format!("event=adapter_unloaded adapter={adapter}"));
                self.note_resident(&adapter, false);
                self.plan(PlannerEvent::Unloaded(adapter));
            }
            Err(error) => {
                self.note_refused("unload_failed", &adapter, &error);
                self.plan(PlannerEvent::UnloadFailed(adapter));
            }
        }
    }

    pub(super) fn note_refused(&mut self, event: &str, adapter: &AdapterRef, error: &PortError) {
        let cause = error.to_string();
        self.decide(&format!("event={event} adapter={adapter} cause={cause:?}"));
        if let PortError::Fenced(_) = error {
            self.lose_lease();
        }
        self.read_inventory();
    }

    /// Tells the lease keeper that another process gives the engine orders.
    pub(super) fn lose_lease(&self) {
        let lease = self.context.lease.clone();
        let fenced = LeaseEvent::Fenced(self.endpoint.clone());
        self.context
            .traffic
            .spawn(async move { lease.send(fenced).await });
    }

    pub(super) fn begin_order(&mut self) {
        self.order_count += 1;
        self.open_orders += 1;
    }

    pub(super) fn end_order(&mut self) {
        self.order_count += 1;
        self.open_orders -= 1;
        if self.open_orders == 0 {
            self.quiescing = None;
        }
    }

    /// Keeps the resident list in step with an order that the engine confirmed.
    pub(super) fn note_resident(&mut self, adapter: &AdapterRef, resident: bool) {
        let Some(inventory) = &mut self.inventory else {
            return;
        };
        let adapters = &mut Arc::make_mut(inventory).adapters;
        adapters.retain(|held| held != adapter);
        if resident {
            adapters.push(adapter.clone());
        }
        self.context.changed.raise();
    }
}
