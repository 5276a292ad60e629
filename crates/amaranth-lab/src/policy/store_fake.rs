//! A fake weight store: rate-limited, slower when crowded, at times slow or out.

use std::time::Duration;

use amaranth_core::time::Timestamp;
use amaranth_core::units::EventRate;

use crate::policy::deployment::{LOAD_TIME, TRANSIT_LIMIT};

/// Time after which a load from a store that is out fails.
const OUTAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// The state of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreHealth {
    /// It works.
    #[default]
    Good,
    /// Loads take four times as long and half as many are allowed.
    Slow,
    /// Loads fail.
    Out,
}

/// How a load will end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadEnd {
    /// When.
    pub at: Timestamp,
    /// Whether the adapter is resident then.
    pub succeeded: bool,
}

/// The store of one deployment.
#[derive(Debug, Clone)]
pub struct StoreFake {
    rate: EventRate,
    health: StoreHealth,
    next_start: Timestamp,
    in_transit: usize,
}

impl StoreFake {
    /// Opens a store that works.
    pub fn open(rate: EventRate) -> Self {
        Self {
            rate,
            health: StoreHealth::Good,
            next_start: Timestamp::ZERO,
            in_transit: 0,
        }
    }

    /// Changes the state of the store for loads that start later.
    pub fn set_health(&mut self, health: StoreHealth) {
        self.health = health;
    }

    /// Starts a load and returns how it will end.
    pub fn start_load(&mut self, now: Timestamp) -> LoadEnd {
        self.in_transit += 1;
        if self.health == StoreHealth::Out {
            return LoadEnd {
                at: now + OUTAGE_TIMEOUT,
                succeeded: false,
            };
        }
        let slowness = if self.health == StoreHealth::Slow {
            4
        } else {
            1
        };
        let rate_share = if self.health == StoreHealth::Slow {
            0.5
        } else {
            1.0
        };
        let spacing = Duration::from_secs_f64(1.0 / (self.rate.0 * rate_share));
        let start = now.max(self.next_start);
        self.next_start = start + spacing;
        let crowding = (self.in_transit as f64 / TRANSIT_LIMIT as f64).max(1.0);
        LoadEnd {
            at: start + LOAD_TIME.mul_f64(crowding) * slowness,
            succeeded: true,
        }
    }

    /// Notes that a load ended.
    pub fn end_load(&mut self) {
        self.in_transit = self.in_transit.saturating_sub(1);
    }
}
