//! Detects requests that a former holder of the lease still runs on the engine.
//!
//! A holder that was cut off from the log lets its lease expire, but may still serve the requests
//! that it dispatched. Its successor does not know its pins, and therefore evicts nothing until
//! the engine has reported several times that it runs no requests but the successor's own.

use amaranth_core::ids::AdapterRef;
use amaranth_ports::engine::EngineLoadReport;

use super::{EngineControl, EngineEvent};

/// Number of consecutive load reports without a foreign request after which the former holder's
/// requests count as ended. Reports lag, so one alone is not enough.
const REQUIRED_QUIET_REPORTS: u32 = 5;

/// Tracks whether requests of a former holder may still run on the engine.
#[derive(Debug, Default)]
pub(super) struct PredecessorWatch {
    quiet_reports_needed: u32,
}

impl PredecessorWatch {
    /// Starts the watch after the lease was acquired from a process that let it expire.
    pub(super) fn start(&mut self) {
        self.quiet_reports_needed = REQUIRED_QUIET_REPORTS;
    }

    /// Returns whether a former holder's requests may run on the engine.
    pub(super) const fn may_have_requests(&self) -> bool {
        self.quiet_reports_needed > 0
    }

    /// Records a load report with the number of requests on the engine that are not this
    /// holder's.
    pub(super) fn record_report(&mut self, foreign: usize) {
        self.quiet_reports_needed = if foreign > 0 {
            REQUIRED_QUIET_REPORTS
        } else {
            self.quiet_reports_needed.saturating_sub(1)
        };
    }
}

impl EngineControl {
    /// Reads the engine's load while a former holder's requests may run on it.
    pub(super) fn read_load(&self) {
        if !self.predecessor.may_have_requests() {
            return;
        }
        let port = self.orders.port.clone();
        let handle = self.handle.clone();
        self.context.traffic_tasks.spawn(async move {
            if let Ok(report) = port.load_report().await {
                handle.send(EngineEvent::LoadReport(report)).await;
            }
        });
    }

    pub(super) fn handle_load_report(&mut self, report: EngineLoadReport) {
        if !self.predecessor.may_have_requests() {
            return;
        }
        let total = usize::from(report.running) + usize::from(report.waiting);
        self.predecessor
            .record_report(total.saturating_sub(self.planner.in_flight()));
        if !self.predecessor.may_have_requests() {
            self.record_decision("event=predecessor_gone");
        }
    }

    /// Returns whether `adapters` show orders to the engine that this holder did not send, while
    /// the term of its lease is over.
    ///
    /// Another process has then acquired the lease, although this one can't read that in the log.
    pub(super) fn shows_foreign_orders(&self, adapters: &[AdapterRef]) -> bool {
        let Some(known) = &self.inventory else {
            return false;
        };
        let same = known.adapters.len() == adapters.len()
            && adapters
                .iter()
                .all(|adapter| known.adapters.contains(adapter));
        let leases = self.context.lease.published();
        !same && leases.is_held(&self.endpoint) && !leases.is_in_term(&self.endpoint)
    }
}
