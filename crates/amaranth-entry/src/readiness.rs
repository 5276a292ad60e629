//! Readiness of the entry: whether it has caught up with the platform's log.

use std::sync::atomic::{AtomicBool, Ordering};

use amaranth_core::errors::{Error, ErrorKind, Result};
use amaranth_telemetry::admin::ReadyFlag;

/// The readiness of the entry, which `/readyz` reports: ready once the configuration and the claims
/// have caught up with the log, until the drain.
#[derive(Debug, Default)]
pub struct EntryReadiness {
    configuration: AtomicBool,
    claims: AtomicBool,
    draining: AtomicBool,
    flag: ReadyFlag,
}

impl EntryReadiness {
    /// Returns the flag that `/readyz` reports.
    pub fn flag(&self) -> ReadyFlag {
        self.flag.clone()
    }

    /// Records that the configuration stream was read to its end.
    pub fn mark_configuration_caught_up(&self) {
        if !self.configuration.swap(true, Ordering::AcqRel) {
            log::info!("event=configuration_caught_up");
        }
        self.update();
    }

    /// Records that the claims stream was read to its end.
    pub fn mark_claims_caught_up(&self) {
        if !self.claims.swap(true, Ordering::AcqRel) {
            log::info!("event=claims_caught_up");
        }
        self.update();
    }

    /// Marks the entry as draining, and thus as not ready.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Release);
        self.update();
    }

    /// Returns whether the entry has caught up and does not drain.
    pub fn is_ready(&self) -> bool {
        self.flag.get()
    }

    /// Checks that names can be resolved. Before the configuration has caught up, a name that is
    /// not found may still exist.
    ///
    /// # Errors
    ///
    /// `NotReady` until the configuration stream was read to its end.
    pub fn check_configuration(&self) -> Result<()> {
        if self.configuration.load(Ordering::Acquire) {
            return Ok(());
        }
        Err(Error::new(
            ErrorKind::NotReady,
            "this entry has not caught up with the configuration",
        ))
    }

    fn update(&self) {
        let caught_up =
            self.configuration.load(Ordering::Acquire) && self.claims.load(Ordering::Acquire);
        self.flag
            .set(caught_up && !self.draining.load(Ordering::Acquire));
    }
}
