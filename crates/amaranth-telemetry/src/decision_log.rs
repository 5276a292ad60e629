//! The recent decisions of a program, kept in memory for operators.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

/// Maximum number of decisions that are kept.
const MAX_DECISIONS: usize = 256;

/// A bounded log of the newest decisions, as lines of key=value pairs.
#[derive(Debug, Default)]
pub struct DecisionLog {
    lines: Mutex<VecDeque<String>>,
}

impl DecisionLog {
    /// Logs a decision and keeps it, evicting the oldest one if the log is full.
    pub fn record(&self, line: String) {
        log::info!("{line}");
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.len() == MAX_DECISIONS {
            lines.pop_front();
        }
        lines.push_back(line);
    }

    /// Returns the kept decisions, oldest first.
    pub fn recent(&self) -> Vec<String> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.iter().cloned().collect()
    }
}
