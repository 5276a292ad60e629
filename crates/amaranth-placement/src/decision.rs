//! The load and eviction decisions of the planner, kept with their reasons for operators.

use std::collections::VecDeque;
use std::fmt;

use amaranth_core::ids::AdapterRef;
use amaranth_core::time::Timestamp;

/// The number of decisions that a history keeps.
const MAX_DECISIONS: usize = 64;

/// A load or eviction decision, with its reason.
#[derive(Debug, Clone, PartialEq)]
pub enum PlacementDecision {
    /// The planner loads an adapter.
    Load {
        /// The adapter to load.
        adapter: AdapterRef,
        /// The number of requests that wait for the adapter.
        waiting: usize,
        /// The demand for the adapter, in requests per second.
        demand: f64,
    },
    /// The planner evicts an adapter.
    Evict {
        /// The adapter to evict.
        adapter: AdapterRef,
        /// The demand for the adapter, in requests per second.
        demand: f64,
        /// The adapter that is loaded into the slot.
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

/// A bounded history of the latest decisions.
#[derive(Debug, Clone, Default)]
pub struct DecisionHistory {
    decisions: VecDeque<(Timestamp, PlacementDecision)>,
}

impl DecisionHistory {
    /// Adds a decision; drops the oldest one if the history is full.
    pub fn record(&mut self, now: Timestamp, decision: PlacementDecision) {
        if self.decisions.len() == MAX_DECISIONS {
            self.decisions.pop_front();
        }
        self.decisions.push_back((now, decision));
    }

    /// Returns the decisions, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &(Timestamp, PlacementDecision)> {
        self.decisions.iter()
    }
}
