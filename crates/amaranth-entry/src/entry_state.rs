//! What all parts of a running entry share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use amaranth_core::errors::{Error, ErrorKind, Result};
use amaranth_core::membership::ProcessIdentity;
use amaranth_core::time::MonotonicClock;
use amaranth_follow::ConfigView;
use tokio::runtime::Handle;
use tokio::sync::Notify;

use crate::claim_client::ClaimClient;
use crate::config_tail::CurrentCatalogue;
use crate::directory::Directory;
use crate::readiness::EntryReadiness;
use crate::retry_budget::SharedRetryBudget;
use crate::settings::EntrySettings;
use amaranth_telemetry::decision_log::DecisionLog;

/// Shared by the HTTP routes, the tarpc service and the control thread.
pub struct EntryState {
    /// The settings.
    pub settings: EntrySettings,
    /// Who this entry is.
    pub identity: ProcessIdentity,
    /// The clock of this process.
    pub clock: MonotonicClock,
    /// The agents.
    pub directory: Arc<Directory>,
    /// What may be spent on retries.
    pub retries: SharedRetryBudget,
    /// The configuration.
    pub catalogue: CurrentCatalogue,
    /// The configuration's source, from which other entries start.
    pub configuration: ConfigView,
    /// The way to the claim desk.
    pub claims: ClaimClient,
    /// Recent decisions.
    pub decisions: DecisionLog,
    /// What this entry has caught up with.
    pub readiness: EntryReadiness,
    /// Where tasks that outlive a request run.
    pub traffic: Handle,
    /// Who is inside.
    pub gate: Arc<AdmissionGate>,
}

/// Counts the requests in flight and lets none in once the entry leaves.
#[derive(Default)]
pub struct AdmissionGate {
    leaving: AtomicBool,
    in_flight: AtomicU32,
    left: Notify,
}

impl AdmissionGate {
    /// Lets a request in, unless `limit` are inside or the entry leaves.
    ///
    /// # Errors
    ///
    /// `Draining` or `Overloaded`.
    pub fn enter(self: &Arc<Self>, limit: u32) -> Result<AdmittedRequest> {
        // The count goes up before the flag is read, so that a drain that saw a count of zero
        // after setting the flag has seen every request that was let in.
        let inside = self.in_flight.fetch_add(1, Ordering::SeqCst);
        let admitted = AdmittedRequest {
            gate: Arc::clone(self),
        };
        if self.is_leaving() {
            return Err(Error::new(ErrorKind::Draining, "this entry is stopping"));
        }
        if inside >= limit {
            return Err(Error::new(
                ErrorKind::Overloaded,
                format!("{limit} requests are in flight at this entry"),
            ));
        }
        Ok(admitted)
    }

    /// Stops admission for good.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Returns whether the entry takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Returns when no request is in flight.
    pub async fn emptied(&self) {
        loop {
            let left = self.left.notified();
            if self.in_flight() == 0 {
                return;
            }
            left.await;
        }
    }
}

/// A request in flight. Dropping it lets it out.
pub struct AdmittedRequest {
    gate: Arc<AdmissionGate>,
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        if self.gate.in_flight.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.gate.left.notify_waiters();
        }
    }
}
