//! The decision how often an entry exchanges usage and views with the agent of an engine.
//!
//! An entry uses a few of the engines that it knows. It exchanges often with those, so that their
//! adapters stay and their load is known, seldom with the other engines of its region, which
//! matter once an adapter is loaded there, and hardly ever with other regions, whose traffic is
//! charged, unless its own region can't serve its calls in time.

use std::time::Duration;

use strum::Display;

/// Time after the last call to an engine for which the engine counts as used.
pub const RECENT_USE_TIME: Duration = Duration::from_secs(3);

/// Time for which a region counts as short of engines after a call found none in time.
pub const SHORTAGE_TIME: Duration = Duration::from_secs(5);

/// Fraction of the objective beyond which the predicted first token of a call shows that the region
/// is short of engines.
pub const SHORTAGE_FRACTION: f64 = 0.7;

/// What an entry needs of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExchangeNeed {
    /// Whether the engine is in the entry's region.
    pub same_region: bool,
    /// Whether the entry has or recently had calls or loads at the engine.
    pub is_used: bool,
    /// Whether loads wait for a slot at the engine.
    pub has_waiting_loads: bool,
    /// Whether the entry's region is short of engines.
    pub region_short: bool,
}

/// The pace of the exchanges with one agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ExchangePace {
    /// Changes are needed at once, and waiting loads change quickly.
    Queued,
    /// Changes are needed at once.
    Used,
    /// The engine may be used soon.
    Nearby,
    /// The engine is used, and its traffic is charged.
    Remote,
    /// The engine is not used, and its traffic is charged.
    Distant,
}

impl ExchangePace {
    /// Returns the pace that a need calls for.
    pub const fn for_need(need: ExchangeNeed) -> Self {
        match (need.same_region, need.is_used || need.region_short) {
            (true, true) if need.has_waiting_loads => Self::Queued,
            (true, true) => Self::Used,
            (true, false) => Self::Nearby,
            (false, true) => Self::Remote,
            (false, false) => Self::Distant,
        }
    }

    /// Returns the maximum time for which the agent waits for a change before it answers.
    pub const fn wait(self) -> Duration {
        Duration::from_millis(match self {
            Self::Queued => 60,
            Self::Used => 400,
            Self::Nearby | Self::Remote => 1_000,
            Self::Distant => 0,
        })
    }

    /// Returns the minimum time between the answer and the next exchange.
    pub const fn interval(self) -> Duration {
        Duration::from_millis(match self {
            Self::Queued | Self::Used => 40,
            Self::Nearby => 1_000,
            Self::Remote => 1_200,
            Self::Distant => 10_000,
        })
    }

    /// Returns the delay after a failed exchange.
    pub const fn retry_delay(self) -> Duration {
        Duration::from_millis(match self {
            Self::Queued | Self::Used | Self::Nearby | Self::Remote => 700,
            Self::Distant => 4_000,
        })
    }

    /// Returns whether the entry ends the interval early when it starts to use the engine.
    pub const fn is_idle(self) -> bool {
        matches!(self, Self::Nearby | Self::Distant)
    }
}
