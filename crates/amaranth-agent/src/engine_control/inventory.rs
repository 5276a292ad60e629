//! Reading the engine, and making the plan agree with it.

use std::sync::Arc;

use amaranth_control::lease::manager::LeaseEvent;
use amaranth_placement::planner::PlannerEvent;
use amaranth_ports::engine::EngineInventory;
use amaranth_ports::{PortError, PortResult};
use tokio::time::timeout;

use super::{EngineControl, EngineEvent};

impl EngineControl {
    pub(super) fn read_inventory(&mut self) {
        if self.reading {
            return;
        }
        self.reading = true;
        let port = self.orders.port.clone();
        let handle = self.handle.clone();
        let count = self.order_count;
        let limit = self.context.limits.order_timeout;
        self.context.traffic.spawn(async move {
            let read = timeout(limit, port.inventory()).await;
            let late = || PortError::Uncertain("no inventory in time".to_owned());
            let result = read.unwrap_or_else(|_| Err(late()));
            handle.send(EngineEvent::Inventory(count, result)).await;
        });
    }

    pub(super) fn take_inventory(&mut self, count: u64, result: PortResult<EngineInventory>) {
        self.reading = false;
        match result {
            Ok(inventory) => {
                // Read across an order, it may show the engine before or after it; but another
                // incarnation is certain.
                let settled = count == self.order_count && self.open_orders == 0;
                if settled || self.is_restart(&inventory) {
                    self.adopt(inventory);
                }
                self.readmit();
            }
            Err(error) => {
                self.lose_engine(&error);
                self.refuse_stalled();
            }
        }
    }

    pub(super) fn is_restart(&self, inventory: &EngineInventory) -> bool {
        self.inventory
            .as_ref()
            .is_none_or(|known| known.incarnation != inventory.incarnation)
    }

    pub(super) fn adopt(&mut self, inventory: EngineInventory) {
        if self.inventory.as_deref() == Some(&inventory) {
            return;
        }
        if self.is_restart(&inventory) {
            self.greet(&inventory);
        } else if self.shows_foreign_orders(&inventory.adapters) {
            self.decide("event=foreign_orders_seen");
            self.lose_lease();
        }
        self.planner
            .resize(inventory.adapter_slots.into(), inventory.batch_slots.into());
        let adapters = inventory.adapters.clone();
        self.inventory = Some(Arc::new(inventory));
        self.plan(PlannerEvent::Inventory(adapters));
        self.context.changed.raise();
    }

    /// Learns what kind of engine this is.
    pub(super) fn greet(&self, inventory: &EngineInventory) {
        self.decide(&format!(
            "event=engine_found incarnation={} resident={} checks_fencing={}",
            inventory.incarnation,
            inventory.adapters.len(),
            inventory.checks_fencing
        ));
        let lease = self.context.lease.clone();
        let kind = LeaseEvent::FencingSupport {
            endpoint: self.endpoint.clone(),
            checks_fencing: inventory.checks_fencing,
        };
        self.context
            .traffic
            .spawn(async move { lease.send(kind).await });
    }

    pub(super) fn lose_engine(&mut self, error: &PortError) {
        if self.inventory.take().is_some() {
            let cause = error.to_string();
            self.decide(&format!("event=engine_lost cause={cause:?}"));
            self.context.changed.raise();
        }
    }
}
