//! Why the planner loaded and evicted, kept for operators who ask.

use std::collections::VecDeque;
use std::fmt;

use amaranth_core::ids::AdapterRef;
use amaranth_core::time::Timestamp;

/// Decisions that are kept.
const KEPT_DECISIONS: usize = 64;

/// One decision with its reason.
#[derive(Debug, Clone, PartialEq)]
pub enum PlacementDecision {
    /// An adapter is loaded.
    Load {
        /// The adapter.
        adapter: AdapterRef,
        /// Requests that wait for it.
        waiting: usize,
        /// Its demand in requests per second.
        demand: f64,
    },
    /// An adapter is evicted.
    Evict {
        /// The adapter.
        adapter: AdapterRef,
        /// Its demand in requests per second.
        demand: f64,
        /// The adapter that takes its slot.
        replaced_by: AdapterRef,
    },
}

impl fmt::Display for PlacementDecision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Load {
                adapter,
                waiting,
                demand,
            } => write!(
                formatter,
                "event=load_decided adapter={adapter} waiting={waiting} demand={demand:.4}/s"
            ),
            Self::Evict {
                adapter,
                demand,
                replaced_by,
            } => write!(
                formatter,
                "event=eviction_decided adapter={adapter} demand={demand:.4}/s \
                 replaced_by={replaced_by} reason=least-demand"
            ),
        }
    }
}

/// The latest decisions, oldest first.
#[derive(Debug, Clone, Default)]
pub struct DecisionHistory {
    decisions: VecDeque<(Timestamp, PlacementDecision)>,
}

impl DecisionHistory {
    /// Adds a decision and drops the oldest beyond the limit.
    pub fn record(&mut self, now: Timestamp, decision: PlacementDecision) {
        if self.decisions.len() == KEPT_DECISIONS {
            self.decisions.pop_front();
        }
        self.decisions.push_back((now, decision));
    }

    /// Returns the decisions, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &(Timestamp, PlacementDecision)> {
        self.decisions.iter()
    }
}
