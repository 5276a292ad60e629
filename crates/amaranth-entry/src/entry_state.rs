//! The state that all parts of a running entry share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use amaranth_core::errors::{Error, ErrorKind, Result};
use amaranth_core::membership::ProcessIdentity;
use amaranth_core::time::MonotonicClock;
use amaranth_follow::ConfigView;
use tokio::runtime::Handle;
use tokio::sync::Notify;

use crate::claim_client::ClaimClient;
use crate::config_follower::CurrentCatalogue;
use crate::directory::Directory;
use crate::readiness::EntryReadiness;
use crate::retry_budget::SharedRetryBudget;
use crate::settings::EntrySettings;
use amaranth_telemetry::decision_log::DecisionLog;

/// The state shared by the HTTP routes, the tarpc service and the control thread.
pub struct EntryState {
    /// The settings of the entry.
    pub settings: EntrySettings,
    /// The identity of this entry process.
    pub identity: ProcessIdentity,
    /// The clock of this process.
    pub clock: MonotonicClock,
    /// The agents and endpoints that requests are routed to.
    pub directory: Arc<Directory>,
    /// The retry budget of all requests.
    pub retries: SharedRetryBudget,
    /// The configuration in force.
    pub catalogue: CurrentCatalogue,
    /// The view of the configuration from which snapshots for other entries are read.
    pub configuration: ConfigView,
    /// The client of the claim coordinator.
    pub claims: ClaimClient,
    /// The log of recent decisions.
    pub decisions: DecisionLog,
    /// The readiness of this entry.
    pub readiness: EntryReadiness,
    /// The runtime for tasks that outlive a request.
    pub traffic: Handle,
    /// The limiter of requests in flight.
    pub limiter: Arc<AdmissionLimiter>,
}

/// Limits the requests in flight and admits none once the entry drains.
#[derive(Default)]
pub struct AdmissionLimiter {
    draining: AtomicBool,
    in_flight: AtomicU32,
    idle: Notify,
}

impl AdmissionLimiter {
    /// Admits a request, unless `limit` requests are in flight or the entry drains.
    ///
    /// # Errors
    ///
    /// `Draining` if the entry drains, `Overloaded` if the limit is reached.
    pub fn admit(self: &Arc<Self>, limit: u32) -> Result<AdmittedRequest> {
        // The count is raised before the flag is read, so that a drain that reads a count of zero
        // after setting the flag has counted every admitted request.
        let in_flight = self.in_flight.fetch_add(1, Ordering::SeqCst);
        let admitted = AdmittedRequest {
            limiter: Arc::clone(self),
        };
        if self.is_draining() {
            return Err(Error::new(ErrorKind::Draining, "this entry is draining"));
        }
        if in_flight >= limit {
            return Err(Error::new(
                ErrorKind::Overloaded,
                format!("{limit} requests are in flight at this entry"),
            ));
        }
        Ok(admitted)
    }

    /// Stops admission permanently.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Returns whether the entry drains and admits no new requests.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Waits until no request is in flight.
    pub async fn wait_until_idle(&self) {
        loop {
            let idle = self.idle.notified();
            if self.in_flight() == 0 {
                return;
            }
            idle.await;
        }
    }
}

/// An admitted request. Dropping it removes the request from the count of those in flight.
pub struct AdmittedRequest {
    limiter: Arc<AdmissionLimiter>,
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        if self.limiter.in_flight.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.limiter.idle.notify_waiters();
        }
    }
}
