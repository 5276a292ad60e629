//! The stage of an entry, which decides whether readiness checks succeed.

use std::sync::atomic::{AtomicU8, Ordering};

use strum::{Display, FromRepr};

/// A stage between the start and the stop of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, FromRepr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum EntryStage {
    /// No configuration is known.
    Starting = 0,
    /// The configuration is known, but no endpoints.
    Configured = 1,
    /// The configuration and endpoints are known, and calls are accepted.
    Ready = 2,
    /// A stop was requested, and the calls in flight are finished.
    Stopping = 3,
}

/// The stage of an entry, shared between its tasks.
#[derive(Debug, Default)]
pub struct StageCell {
    stage: AtomicU8,
}

impl StageCell {
    /// Returns the current stage.
    pub fn get(&self) -> EntryStage {
        EntryStage::from_repr(self.stage.load(Ordering::Acquire)).unwrap_or(EntryStage::Starting)
    }

    /// Moves to a later stage and returns whether the stage changed. An earlier stage is ignored.
    pub fn advance(&self, stage: EntryStage) -> bool {
        let before = self.stage.fetch_max(stage as u8, Ordering::AcqRel);
        before < stage as u8
    }
}
