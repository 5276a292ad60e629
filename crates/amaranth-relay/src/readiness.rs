//! Whether an entry may take callers, by what it knows.

use std::sync::atomic::{AtomicU8, Ordering};

use strum::{Display, FromRepr};

/// The stages of an entry's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, FromRepr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum EntryStage {
    /// No configuration is known.
    Starting = 0,
    /// The configuration is known, and no endpoints.
    Configured = 1,
    /// Calls are answered.
    Ready = 2,
    /// The process is asked to stop; what is in flight goes on.
    Stopping = 3,
}

/// The stage of an entry, shared between its tasks.
#[derive(Debug, Default)]
pub struct StageCell {
    stage: AtomicU8,
}

impl StageCell {
    /// Returns the stage.
    pub fn get(&self) -> EntryStage {
        EntryStage::from_repr(self.stage.load(Ordering::Acquire)).unwrap_or(EntryStage::Starting)
    }

    /// Moves to a later stage and returns whether it was one. No stage is left backwards.
    pub fn advance(&self, stage: EntryStage) -> bool {
        let before = self.stage.fetch_max(stage as u8, Ordering::AcqRel);
        before < stage as u8
    }
}
