//! Limiter of the loads from the weight store that one entry has in progress at once.
//!
//! When calls for many cold adapters arrive together, the weight store slows down: beyond some
//! number of concurrent loads, which it does not publish, all loads of the fleet take longer in
//! proportion, so that more concurrency serves no call sooner. The limiter adapts to the duration
//! of loads: the limit rises while they take the typical time and falls when they are much slower.
//! Waiting loads start by priority, then by age.

use std::collections::BTreeSet;
use std::time::Duration;

use amaranth_core::time::Timestamp;

/// Initial limit of concurrent loads.
const INITIAL_LIMIT: f64 = 4.0;

/// Lower bound of the limit.
const MIN_LIMIT: f64 = 1.0;

/// Upper bound of the limit.
const MAX_LIMIT: f64 = 24.0;

/// Multiple of the typical load time beyond which a load shows that too many are in progress.
const SLOW_FACTOR: f64 = 1.35;

/// Factor by which a slow load reduces the limit.
const BACKOFF_FACTOR: f64 = 0.8;

/// Minimum time between two reductions: loads in progress were started before the first one.
const BACKOFF_INTERVAL: Duration = Duration::from_millis(250);

/// Fraction of the typical load time below which a load came from the engine's cache and says
/// nothing about the store.
const CACHED_FRACTION: f64 = 0.5;

/// Weight of a load that is faster than typical in the moving average of the typical time.
const FASTER_WEIGHT: f64 = 0.1;

/// Weight of a load that is slower than typical: small, so that the store's overload does not raise
/// the typical time.
const SLOWER_WEIGHT: f64 = 0.01;

/// Weight of the newest load in the moving average of recent load times.
const RECENT_WEIGHT: f64 = 0.2;

/// Assumed time of a load from the weight store before one was observed.
const ASSUMED_LOAD_TIME: Duration = Duration::from_millis(260);

/// Identifies a load from its request until it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoadTicket(u64);

/// Limits the concurrent loads from the weight store, and orders those that wait.
#[derive(Debug)]
pub struct LoadLimiter {
    limit: f64,
    in_progress: u32,
    typical_s: f64,
    recent_s: f64,
    waiting: BTreeSet<(u8, LoadTicket)>,
    last_ticket: u64,
    last_backoff_at: Option<Timestamp>,
}

impl Default for LoadLimiter {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            in_progress: 0,
            typical_s: ASSUMED_LOAD_TIME.as_secs_f64(),
            recent_s: ASSUMED_LOAD_TIME.as_secs_f64(),
            waiting: BTreeSet::new(),
            last_ticket: 0,
            last_backoff_at: None,
        }
    }
}

impl LoadLimiter {
    /// Enqueues a load with a priority, 0 being the most urgent. The load may start when
    /// [`LoadLimiter::try_start`] returns its ticket.
    pub fn enqueue(&mut self, priority: u8) -> LoadTicket {
        self.last_ticket += 1;
        let ticket = LoadTicket(self.last_ticket);
        self.waiting.insert((priority, ticket));
        ticket
    }

    /// Starts the next waiting load and returns its ticket, unless the limit is reached.
    pub fn try_start(&mut self) -> Option<LoadTicket> {
        if f64::from(self.in_progress) >= self.limit.floor() {
            return None;
        }
        let (_, ticket) = self.waiting.pop_first()?;
        self.in_progress += 1;
        Some(ticket)
    }

    /// Removes a waiting load. Returns whether it was still waiting.
    pub fn cancel(&mut self, ticket: LoadTicket) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|(_, waiting)| *waiting != ticket);
        self.waiting.len() < before
    }

    /// Records that a load in progress ended; `duration` is given if the load was carried out.
    pub fn finish(&mut self, now: Timestamp, duration: Option<Duration>) {
        self.in_progress = self.in_progress.saturating_sub(1);
        let Some(duration_s) = duration.map(|duration| duration.as_secs_f64()) else {
            return;
        };
        if duration_s < self.typical_s * CACHED_FRACTION {
            return;
        }
        let weight = if duration_s < self.typical_s {
            FASTER_WEIGHT
        } else {
            SLOWER_WEIGHT
        };
        let slow = duration_s > self.typical_s * SLOW_FACTOR;
        self.typical_s += weight * (duration_s - self.typical_s);
        self.recent_s += RECENT_WEIGHT * (duration_s - self.recent_s);
        if slow {
            self.back_off(now);
        } else {
            self.limit = (self.limit + 1.0 / self.limit).min(MAX_LIMIT);
        }
    }

    /// Returns how long a load that is enqueued now is expected to wait before it may start.
    pub fn expected_wait(&self) -> Duration {
        let free = self.limit.floor() - f64::from(self.in_progress);
        let ahead = self.waiting.len() as f64 + 1.0 - free;
        if ahead <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(self.recent_s * ahead / self.limit)
    }

    /// Returns the number of loads that may be in progress at once, before it is rounded down.
    pub const fn limit(&self) -> f64 {
        self.limit
    }

    fn back_off(&mut self, now: Timestamp) {
        let backed_off_recently = self
            .last_backoff_at
            .is_some_and(|at| now.since(at) < BACKOFF_INTERVAL);
        if !backed_off_recently {
            self.limit = (self.limit * BACKOFF_FACTOR).max(MIN_LIMIT);
            self.last_backoff_at = Some(now);
        }
    }
}
