//! A fake weight store with a rate limit, which slows down under concurrent loads and can fail.

use std::time::Duration;

use amaranth_core::time::Timestamp;
use amaranth_core::units::EventRate;

use crate::policy::deployment::{LOAD_TIME, TRANSIT_LIMIT};

/// Time after which a load fails during an outage of the store.
const OUTAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// The health of the store, which determines the speed and success of loads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreHealth {
    /// Loads run normally.
    #[default]
    Good,
    /// Loads take four times as long at half the rate limit.
    Slow,
    /// Loads fail.
    Out,
}

/// The end of a load, computed when the load starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadEnd {
    /// The time of the end.
    pub at: Timestamp,
    /// Whether the adapter is resident after the load.
    pub succeeded: bool,
}

/// The weight store of one deployment.
#[derive(Debug, Clone)]
pub struct StoreFake {
    rate: EventRate,
    health: StoreHealth,
    next_start: Timestamp,
    in_transit: usize,
}

impl StoreFake {
    /// Creates a store that runs normally.
    pub fn new(rate: EventRate) -> Self {
        Self {
            rate,
            health: StoreHealth::Good,
            next_start: Timestamp::ZERO,
            in_transit: 0,
        }
    }

    /// Sets the health of the store, which applies to loads that start later.
    pub fn set_health(&mut self, health: StoreHealth) {
        self.health = health;
    }

    /// Starts a load and returns its end.
    pub fn start_load(&mut self, now: Timestamp) -> LoadEnd {
        self.in_transit += 1;
        if self.health == StoreHealth::Out {
            return LoadEnd {
                at: now + OUTAGE_TIMEOUT,
                succeeded: false,
            };
        }
        let slowdown = if self.health == StoreHealth::Slow {
            4
        } else {
            1
        };
        let rate_factor = if self.health == StoreHealth::Slow {
            0.5
        } else {
            1.0
        };
        let spacing = Duration::from_secs_f64(1.0 / (self.rate.0 * rate_factor));
        let start = now.max(self.next_start);
        self.next_start = start + spacing;
        let contention = (self.in_transit as f64 / TRANSIT_LIMIT as f64).max(1.0);
        LoadEnd {
            at: start + LOAD_TIME.mul_f64(contention) * slowdown,
            succeeded: true,
        }
    }

    /// Records the end of a load.
    pub fn record_load_end(&mut self) {
        self.in_transit = self.in_transit.saturating_sub(1);
    }
}
