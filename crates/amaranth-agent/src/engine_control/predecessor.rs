//! What a former holder of the lease may still run on the engine.
//!
//! A holder that was cut off from the log lets its lease lapse, and may go on to serve what it
//! dispatched. Its pins are unknown here, so its successor evicts nothing until the engine has
//! reported for a while that it runs no requests but the successor's own.

use amaranth_core::ids::AdapterRef;
use amaranth_ports::engine::EngineLoadReport;

use super::{EngineControl, EngineEvent};

/// Load reports in a row without a foreign request after which a predecessor is gone. They lag,
/// so one alone proves little.
const QUIET_REPORTS: u32 = 5;

/// Watches for requests of a former holder.
#[derive(Debug, Default)]
pub(super) struct PredecessorWatch {
    quiet_reports_wanted: u32,
}

impl PredecessorWatch {
    /// Notes that the lease was taken from a process that let it lapse.
    pub(super) fn appear(&mut self) {
        self.quiet_reports_wanted = QUIET_REPORTS;
    }

    /// Returns whether a former holder's requests may run on the engine.
    pub(super) const fn may_run(&self) -> bool {
        self.quiet_reports_wanted > 0
    }

    /// Takes the number of requests that the engine runs and that are not this holder's.
    pub(super) fn report(&mut self, foreign: usize) {
        self.quiet_reports_wanted = if foreign > 0 {
            QUIET_REPORTS
        } else {
            self.quiet_reports_wanted.saturating_sub(1)
        };
    }
}

impl EngineControl {
    /// Reads the engine's load while a former holder's requests may run on it.
    pub(super) fn read_load(&self) {
        if !self.predecessor.may_run() {
            return;
        }
        let port = self.orders.port.clone();
        let handle = self.handle.clone();
        self.context.traffic.spawn(async move {
            if let Ok(report) = port.load_report().await {
                handle.send(EngineEvent::Load(report)).await;
            }
        });
    }

    pub(super) fn take_load(&mut self, report: EngineLoadReport) {
        if !self.predecessor.may_run() {
            return;
        }
        let known = usize::from(report.running) + usize::from(report.waiting);
        self.predecessor
            .report(known.saturating_sub(self.planner.in_flight()));
        if !self.predecessor.may_run() {
            self.decide("event=predecessor_gone");
        }
    }

    /// Returns whether the engine shows orders that this holder did not give.
    ///
    /// That ends a lease whose term is over: another process has taken it, although this one
    /// can't read so in the log.
    pub(super) fn shows_foreign_orders(&self, adapters: &[AdapterRef]) -> bool {
        let Some(known) = &self.inventory else {
            return false;
        };
        let same = known.adapters.len() == adapters.len()
            && adapters
                .iter()
                .all(|adapter| known.adapters.contains(adapter));
        let board = self.context.lease.board();
        !same && board.holds(&self.endpoint) && !board.in_term(&self.endpoint)
    }
}
