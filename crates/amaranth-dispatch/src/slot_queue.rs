//! The queue of calls that wait for an adapter slot at an engine.
//!
//! The queue absorbs peaks in which more adapters are requested at once than engines have slots.
//! Slots become free again within a fraction of a second, so a short wait serves more callers than
//! an immediate refusal. Calls are served by priority, then by age.

use std::collections::BTreeSet;
use std::time::Duration;

/// Number of calls at the head of the queue that retry when something changes. With more than one,
/// a call that can't use the freed slot does not block those behind it.
const HEAD_CALLS: usize = 6;

/// Fraction of the objective for which a call waits for a slot at engines that hold its model.
const SLOT_WAIT_FRACTION: f64 = 0.6;

/// Multiple of the objective for which a call waits while every engine still loads the model, as
/// after a loss of all VMs. Loads from the engines' caches take about a second, and the retries
/// of refused callers would only compete with each other.
const MODEL_WAIT_FRACTION: f64 = 1.5;

/// Returns how long a call waits in the queue. `loading_model` says that no engine holds the call's
/// model, and that some load it.
pub fn max_wait(objective: Duration, loading_model: bool) -> Duration {
    objective.mul_f64(if loading_model {
        MODEL_WAIT_FRACTION
    } else {
        SLOT_WAIT_FRACTION
    })
}

/// A call's position in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueuePosition {
    priority: u8,
    number: u64,
}

/// The calls that wait for an adapter slot, most urgent first.
#[derive(Debug, Default)]
pub struct SlotQueue {
    waiting: BTreeSet<QueuePosition>,
    last_number: u64,
}

impl SlotQueue {
    /// Inserts a call behind all others of its priority, and returns its position.
    pub fn insert(&mut self, priority: u8) -> QueuePosition {
        self.last_number += 1;
        let position = QueuePosition {
            priority,
            number: self.last_number,
        };
        self.waiting.insert(position);
        position
    }

    /// Removes a call.
    pub fn remove(&mut self, position: QueuePosition) {
        self.waiting.remove(&position);
    }

    /// Returns whether a queued call may try to get a slot now.
    pub fn may_try(&self, position: QueuePosition) -> bool {
        self.waiting
            .iter()
            .take(HEAD_CALLS)
            .any(|waiting| *waiting == position)
    }

    /// Returns whether a call that is not queued has to queue before it may try: enough calls that
    /// are at least as urgent wait already.
    pub fn must_wait(&self, priority: u8) -> bool {
        self.waiting
            .iter()
            .take_while(|waiting| waiting.priority <= priority)
            .count()
            >= HEAD_CALLS
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
