//! Reads the engine's inventory and updates the planner from it.

use std::sync::Arc;

use amaranth_control::lease::manager::LeaseEvent;
use amaranth_placement::planner::PlannerEvent;
use amaranth_ports::engine::EngineInventory;
use amaranth_ports::{PortError, PortResult};
use tokio::time::timeout;

use super::{EngineControl, EngineEvent};

impl EngineControl {
    pub(super) fn read_inventory(&mut self) {
        if self.is_reading_inventory {
            return;
        }
        self.is_reading_inventory = true;
        let port = self.orders.port.clone();
        let handle = self.handle.clone();
        let count = self.order_count;
        let limit = self.context.limits.order_timeout;
        self.context.traffic_tasks.spawn(async move {
            let read = timeout(limit, port.inventory()).await;
            let timed_out =
                || PortError::Uncertain("no inventory within the order timeout".to_owned());
            let result = read.unwrap_or_else(|_| Err(timed_out()));
            handle.send(EngineEvent::Inventory(count, result)).await;
        });
    }

    pub(super) fn handle_inventory(&mut self, count: u64, result: PortResult<EngineInventory>) {
        self.is_reading_inventory = false;
        match result {
            Ok(inventory) => {
                // An inventory that was read across an order may show the engine before or after
                // the order. A changed incarnation proves a restart in either case.
                let is_current = count == self.order_count && self.orders_in_flight == 0;
                if is_current || self.is_restart(&inventory) {
                    self.apply_inventory(inventory);
                }
                self.requeue_awaiting();
            }
            Err(error) => {
                self.mark_unreachable(&error);
                self.refuse_awaiting();
            }
        }
    }

    pub(super) fn is_restart(&self, inventory: &EngineInventory) -> bool {
        self.inventory
            .as_ref()
            .is_none_or(|known| known.incarnation != inventory.incarnation)
    }

    pub(super) fn apply_inventory(&mut self, inventory: EngineInventory) {
        if self.inventory.as_deref() == Some(&inventory) {
            return;
        }
        if self.is_restart(&inventory) {
            self.report_fencing_support(&inventory);
        } else if self.shows_foreign_orders(&inventory.adapters) {
            self.record_decision("event=foreign_orders_seen");
            self.report_fenced();
        }
        self.planner
            .resize(inventory.adapter_slots.into(), inventory.batch_slots.into());
        let adapters = inventory.adapters.clone();
        self.inventory = Some(Arc::new(inventory));
        self.plan(PlannerEvent::Inventory(adapters));
        self.context.change_signal.notify();
    }

    /// Records that the engine was found, and reports to the lease manager whether the engine
    /// checks fencing tokens.
    pub(super) fn report_fencing_support(&self, inventory: &EngineInventory) {
        self.record_decision(&format!(
            "event=engine_found incarnation={} resident={} checks_fencing={}",
            inventory.incarnation,
            inventory.adapters.len(),
            inventory.checks_fencing
        ));
        let lease = self.context.lease.clone();
        let support = LeaseEvent::FencingSupport {
            endpoint: self.endpoint.clone(),
            checks_fencing: inventory.checks_fencing,
        };
        self.context
            .traffic_tasks
            .spawn(async move { lease.send(support).await });
    }

    pub(super) fn mark_unreachable(&mut self, error: &PortError) {
        if self.inventory.take().is_some() {
            let cause = error.to_string();
            self.record_decision(&format!("event=engine_lost cause={cause:?}"));
            self.context.change_signal.notify();
        }
    }
}
