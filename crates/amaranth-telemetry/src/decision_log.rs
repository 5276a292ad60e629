//! The recent decisions that operators can ask for.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

/// Decisions that are kept.
const KEPT_DECISIONS: usize = 256;

/// Keeps the newest decisions as lines of key=value pairs.
#[derive(Debug, Default)]
pub struct DecisionLog {
    lines: Mutex<VecDeque<String>>,
}

impl DecisionLog {
    /// Logs a decision and keeps it.
    pub fn record(&self, line: String) {
        log::info!("{line}");
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.len() == KEPT_DECISIONS {
            lines.pop_front();
        }
        lines.push_back(line);
    }

    /// Returns the kept decisions, newest last.
    pub fn recent(&self) -> Vec<String> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.iter().cloned().collect()
    }
}
