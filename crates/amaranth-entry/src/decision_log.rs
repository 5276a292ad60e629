//! The latest decisions, kept for operators who ask why.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

/// Decisions that are kept.
const KEPT_DECISIONS: usize = 256;

/// Keeps the latest decisions, one line of key=value pairs each.
#[derive(Default)]
pub struct DecisionLog {
    lines: Mutex<VecDeque<String>>,
}

impl DecisionLog {
    /// Notes a decision and logs it.
    pub fn note(&self, line: String) {
        log::info!("{line}");
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.len() == KEPT_DECISIONS {
            lines.pop_front();
        }
        lines.push_back(line);
    }

    /// Returns the decisions that are kept, newest last.
    pub fn recent(&self) -> Vec<String> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.iter().cloned().collect()
    }
}
