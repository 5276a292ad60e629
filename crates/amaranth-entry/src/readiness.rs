//! Whether the entry has caught up with the platform's log.

use std::sync::atomic::{AtomicBool, Ordering};

use amaranth_core::errors::{Error, ErrorKind, Result};
use amaranth_telemetry::admin::ReadyFlag;

/// What the entry has caught up with. It shows in `/readyz`.
#[derive(Debug, Default)]
pub struct EntryReadiness {
    configuration: AtomicBool,
    claims: AtomicBool,
    leaving: AtomicBool,
    flag: ReadyFlag,
}

impl EntryReadiness {
    /// Returns the flag behind `/readyz`.
    pub fn flag(&self) -> ReadyFlag {
        self.flag.clone()
    }

    /// Notes that the configuration stream was read to its end.
    pub fn configuration_caught_up(&self) {
        if !self.configuration.swap(true, Ordering::AcqRel) {
            log::info!("event=configuration_caught_up");
        }
        self.update();
    }

    /// Notes that the claims stream was read to its end.
    pub fn claims_caught_up(&self) {
        if !self.claims.swap(true, Ordering::AcqRel) {
            log::info!("event=claims_caught_up");
        }
        self.update();
    }

    /// Notes that the entry stops.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
        self.update();
    }

    /// Returns whether the entry is caught up and stays.
    pub fn is_ready(&self) -> bool {
        self.flag.get()
    }

    /// Checks that names can be resolved: before the configuration is known, a name that is not
    /// found may well exist.
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
            .set(caught_up && !self.leaving.load(Ordering::Acquire));
    }
}
