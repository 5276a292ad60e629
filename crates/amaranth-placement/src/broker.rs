//! Permits for adapter loads, granted to the load that saves the most waiting.
//!
//! The broker is a duty that one live entry holds for a scope. Two brokers at once, or none, cost
//! speed and not safety: an engine can hold no more adapters than its slots either way.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use amaranth_core::ids::{AdapterRef, EndpointId};
use amaranth_core::time::Timestamp;
use amaranth_core::units::EventRate;

/// Shortest wait that an asker is told.
const MIN_WAIT: Duration = Duration::from_millis(5);

/// Longest wait that an asker is told, so that a changed order is noticed soon.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// How late an asker may come before a permit goes to the next one.
const ASK_GRACE: Duration = Duration::from_millis(50);

/// Limits of the store that the broker shares out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BrokerOptions {
    /// Loads that the store allows per second.
    pub load_rate: EventRate,
    /// Loads in transit at once before all become slower.
    pub transit_limit: usize,
    /// Time after which a permit lapses unless it is renewed or returned.
    pub permit_term: Duration,
    /// Time after which an ask that is not repeated is forgotten.
    pub ask_term: Duration,
}

impl Default for BrokerOptions {
    fn default() -> Self {
        Self {
            load_rate: EventRate(4.0),
            transit_limit: 8,
            permit_term: Duration::from_secs(10),
            ask_term: Duration::from_secs(2),
        }
    }
}

/// One load that an engine would start.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadKey {
    /// The engine.
    pub endpoint: EndpointId,
    /// The adapter.
    pub adapter: AdapterRef,
}

/// What the broker answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokerReply {
    /// The load may start; the permit lapses after this time unless renewed or returned.
    Granted(Duration),
    /// Other loads save more; ask again after this time.
    Wait(Duration),
}

/// One load that waits for a permit.
#[derive(Debug, Clone, Copy)]
struct LoadAsk {
    saved_wait_ms: u64,
    expected_again: Timestamp,
    sequence: u64,
}

type AskRank = (Reverse<u64>, u64);

impl LoadAsk {
    const fn rank(&self) -> AskRank {
        (Reverse(self.saved_wait_ms), self.sequence)
    }
}

/// Shares the store's load rate and transit limit among engines.
#[derive(Debug, Clone)]
pub struct LoadBroker {
    options: BrokerOptions,
    next_start: Timestamp,
    next_sequence: u64,
    permits: BTreeMap<LoadKey, Timestamp>,
    asks: BTreeMap<LoadKey, LoadAsk>,
    order: BTreeMap<AskRank, LoadKey>,
    ask_terms: BTreeSet<(Timestamp, LoadKey)>,
}

impl LoadBroker {
    /// Opens a broker that knows of no load.
    pub fn open(options: BrokerOptions) -> Self {
        Self {
            options,
            next_start: Timestamp::ZERO,
            next_sequence: 0,
            permits: BTreeMap::new(),
            asks: BTreeMap::new(),
            order: BTreeMap::new(),
            ask_terms: BTreeSet::new(),
        }
    }

    /// Returns the number of permits that are out.
    pub fn in_transit(&self) -> usize {
        self.permits.len()
    }

    /// Returns the number of loads that wait for a permit.
    pub fn waiting(&self) -> usize {
        self.asks.len()
    }

    /// Rules on a load that would save `saved_wait_ms` of waiting.
    ///
    /// A renewal is honoured even for an unknown permit: the load already runs, and a broker that
    /// has just taken over the duty learns of it this way.
    pub fn request(
        &mut self,
        now: Timestamp,
        key: LoadKey,
        saved_wait_ms: u64,
        renewal: bool,
    ) -> BrokerReply {
        self.lapse(now);
        if renewal || self.permits.contains_key(&key) {
            return self.grant(now, key);
        }
        self.note_ask(now, &key, saved_wait_ms);
        if self.may_start(now) && self.is_first(now, &key) {
            self.next_start = self.spaced_start(now);
            return self.grant(now, key);
        }
        let wait = self.expected_wait(now, &key);
        self.expect_again(now + wait, key);
        BrokerReply::Wait(wait)
    }

    /// Takes a permit back whose load has ended, or an ask whose load is no longer wanted.
    pub fn release(&mut self, key: &LoadKey) {
        self.permits.remove(key);
        self.forget_ask(key);
    }

    fn grant(&mut self, now: Timestamp, key: LoadKey) -> BrokerReply {
        self.forget_ask(&key);
        self.permits.insert(key, now + self.options.permit_term);
        BrokerReply::Granted(self.options.permit_term)
    }

    /// Returns when the start after one at `now` may be, with credit for one unused start.
    fn spaced_start(&self, now: Timestamp) -> Timestamp {
        now.max(self.next_start + self.spacing())
    }

    fn spacing(&self) -> Duration {
        Duration::from_secs_f64(1.0 / self.options.load_rate.0)
    }

    fn may_start(&self, now: Timestamp) -> bool {
        self.permits.len() < self.options.transit_limit && now >= self.next_start
    }

    /// Returns whether every ask that saves more is overdue.
    fn is_first(&self, now: Timestamp, key: &LoadKey) -> bool {
        self.order
            .values()
            .take_while(|&ahead| ahead != key)
            .all(|ahead| self.asks[ahead].expected_again + ASK_GRACE < now)
    }

    fn expected_wait(&self, now: Timestamp, key: &LoadKey) -> Duration {
        let until_start = self.next_start.since(now);
        let mut wait = until_start;
        for ahead in self.order.values() {
            if ahead == key || wait >= MAX_WAIT {
                break;
            }
            wait += self.spacing();
        }
        wait.clamp(MIN_WAIT, MAX_WAIT)
    }

    fn note_ask(&mut self, now: Timestamp, key: &LoadKey, saved_wait_ms: u64) {
        let sequence = self.asks.get(key).map(|known| known.sequence);
        self.forget_ask(key);
        let sequence = sequence.unwrap_or_else(|| {
            self.next_sequence += 1;
            self.next_sequence
        });
        let ask = LoadAsk {
            saved_wait_ms,
            expected_again: now,
            sequence,
        };
        self.order.insert(ask.rank(), key.clone());
        self.asks.insert(key.clone(), ask);
    }

    fn expect_again(&mut self, again: Timestamp, key: LoadKey) {
        if let Some(ask) = self.asks.get_mut(&key) {
            ask.expected_again = again;
            self.ask_terms.insert((again + self.options.ask_term, key));
        }
    }

    fn forget_ask(&mut self, key: &LoadKey) {
        if let Some(ask) = self.asks.remove(key) {
            self.order.remove(&ask.rank());
            let term = ask.expected_again + self.options.ask_term;
            self.ask_terms.remove(&(term, key.clone()));
        }
    }

    /// Forgets permits that were neither renewed nor returned, and asks that were not repeated.
    fn lapse(&mut self, now: Timestamp) {
        self.permits.retain(|_, expiry| *expiry > now);
        while let Some((term, key)) = self.ask_terms.first().cloned() {
            if term > now {
                return;
            }
            self.ask_terms.pop_first();
            self.forget_ask(&key);
        }
    }
}
