//! How many loads from the weight store one entry has under way at once, and which comes next.
//!
//! Answers the load in which calls for many cold adapters come together: beyond a number of loads
//! that nobody tells, all of the fleet's take longer in proportion, so more at once serve nobody
//! sooner. The gate finds its share by the time that loads take: it opens while they take the usual
//! time and closes when they are much slower. Waiting loads go by rank, then by age.

use std::collections::BTreeSet;
use std::time::Duration;

use amaranth_core::time::Timestamp;

/// Loads at once at the start.
const FIRST_LIMIT: f64 = 4.0;

/// Loads at once at least.
const LEAST_LIMIT: f64 = 1.0;

/// Loads at once at most.
const MOST_LIMIT: f64 = 24.0;

/// A load this many times as long as the fastest ones shows that too many are under way.
const SLOW_FACTOR: f64 = 1.35;

/// What is left of the limit after a slow load.
const BACK_OFF: f64 = 0.8;

/// Time between two steps back: the loads under way were started before the first one.
const BACK_OFF_INTERVAL: Duration = Duration::from_millis(250);

/// A load this short a part of a usual one was at hand and says nothing of the store.
const AT_HAND_PART: f64 = 0.5;

/// Weight of a load that is faster than usual.
const FASTER_WEIGHT: f64 = 0.1;

/// Weight of a load that is slower than usual: small, so that crowding does not become usual.
const SLOWER_WEIGHT: f64 = 0.01;

/// Weight of the newest load in what loads take now.
const CURRENT_WEIGHT: f64 = 0.2;

/// The time of a load from the weight store before one was seen.
const ASSUMED_LOAD_TIME: Duration = Duration::from_millis(260);

/// Identifies a load that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoadTicket(u64);

/// Lets loads start.
#[derive(Debug)]
pub struct LoadGate {
    limit: f64,
    under_way: u32,
    usual: f64,
    current: f64,
    waiting: BTreeSet<(u8, LoadTicket)>,
    tickets: u64,
    backed_off_at: Option<Timestamp>,
}

impl Default for LoadGate {
    fn default() -> Self {
        Self {
            limit: FIRST_LIMIT,
            under_way: 0,
            usual: ASSUMED_LOAD_TIME.as_secs_f64(),
            current: ASSUMED_LOAD_TIME.as_secs_f64(),
            waiting: BTreeSet::new(),
            tickets: 0,
            backed_off_at: None,
        }
    }
}

impl LoadGate {
    /// Asks to start a load. The load may start when [`LoadGate::grant`] returns its ticket.
    pub fn ask(&mut self, rank: u8) -> LoadTicket {
        self.tickets += 1;
        let ticket = LoadTicket(self.tickets);
        self.waiting.insert((rank, ticket));
        ticket
    }

    /// Returns the next load that may start now, if there is one.
    pub fn grant(&mut self) -> Option<LoadTicket> {
        if f64::from(self.under_way) >= self.limit.floor() {
            return None;
        }
        let (_, ticket) = self.waiting.pop_first()?;
        self.under_way += 1;
        Some(ticket)
    }

    /// Takes a load back that waits. Returns whether it did.
    pub fn withdraw(&mut self, ticket: LoadTicket) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|(_, waiting)| *waiting != ticket);
        self.waiting.len() < before
    }

    /// Notes that a load under way ended; `took` is given if it was carried out.
    pub fn ended(&mut self, now: Timestamp, took: Option<Duration>) {
        self.under_way = self.under_way.saturating_sub(1);
        let Some(took) = took.map(|took| took.as_secs_f64()) else {
            return;
        };
        if took < self.usual * AT_HAND_PART {
            return;
        }
        let weight = if took < self.usual {
            FASTER_WEIGHT
        } else {
            SLOWER_WEIGHT
        };
        let slow = took > self.usual * SLOW_FACTOR;
        self.usual += weight * (took - self.usual);
        self.current += CURRENT_WEIGHT * (took - self.current);
        if slow {
            self.back_off(now);
        } else {
            self.limit = (self.limit + 1.0 / self.limit).min(MOST_LIMIT);
        }
    }

    /// Returns how long a load that is asked for now waits before it may start.
    pub fn expected_wait(&self) -> Duration {
        let free = self.limit.floor() - f64::from(self.under_way);
        let ahead = self.waiting.len() as f64 + 1.0 - free;
        if ahead <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(self.current * ahead / self.limit)
    }

    /// Returns the loads that may be under way at once.
    pub const fn limit(&self) -> f64 {
        self.limit
    }

    fn back_off(&mut self, now: Timestamp) {
        let recently = self
            .backed_off_at
            .is_some_and(|at| now.since(at) < BACK_OFF_INTERVAL);
        if !recently {
            self.limit = (self.limit * BACK_OFF).max(LEAST_LIMIT);
            self.backed_off_at = Some(now);
        }
    }
}
