//! The line of calls that wait for a place at an engine.
//!
//! Answers the peaks in which more adapters are wanted at once than engines have places. Places
//! are free again within a fraction of a second, so waiting a little serves more callers than
//! refusing at once; and whoever is first in line tries first, by rank, then by age.

use std::collections::BTreeSet;
use std::time::Duration;

/// Calls at the head of the line that try when something changes. One that can't use what became
/// free does not hold up those behind it.
const HEAD: usize = 6;

/// Part of the objective for which a call waits for a place at engines that hold its model.
const PLACE_PART: f64 = 0.6;

/// The same while every engine still loads the model, as after a loss of all VMs: loads from what
/// engines keep at hand take about a second, and whoever is refused comes back to the same crowd.
const MODEL_PART: f64 = 1.5;

/// Returns how long a call waits in line. `model_coming` says that no engine holds its model, and
/// that some load it.
pub fn patience(objective: Duration, model_coming: bool) -> Duration {
    objective.mul_f64(if model_coming { MODEL_PART } else { PLACE_PART })
}

/// A call's position in the line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinePosition {
    rank: u8,
    number: u64,
}

/// The calls that wait for a place, most urgent first.
#[derive(Debug, Default)]
pub struct PlaceLine {
    waiting: BTreeSet<LinePosition>,
    numbers: u64,
}

impl PlaceLine {
    /// Joins the line.
    pub fn join(&mut self, rank: u8) -> LinePosition {
        self.numbers += 1;
        let position = LinePosition {
            rank,
            number: self.numbers,
        };
        self.waiting.insert(position);
        position
    }

    /// Leaves the line.
    pub fn leave(&mut self, position: LinePosition) {
        self.waiting.remove(&position);
    }

    /// Returns whether a call may try now.
    pub fn may_try(&self, position: LinePosition) -> bool {
        self.waiting
            .iter()
            .take(HEAD)
            .any(|waiting| *waiting == position)
    }

    /// Returns whether a call that has not joined has to join first: others that are at least as
    /// urgent wait.
    pub fn is_taken(&self, rank: u8) -> bool {
        self.waiting
            .iter()
            .take_while(|waiting| waiting.rank <= rank)
            .count()
            >= HEAD
    }

    /// Returns how many calls wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
