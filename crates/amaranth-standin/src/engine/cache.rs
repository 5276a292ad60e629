//! The prefix cache of an engine and its events.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use amaranth_core::digest::hash64;
use amaranth_ports::engine::CacheEvent;
use tokio::time::Instant;

/// Length of the prefix by which prompts are cached, in bytes.
pub const PREFIX_BYTES: usize = 256;

/// Largest number of events that are retained for readers.
const MAX_RETAINED_EVENTS: usize = 4_096;

/// Returns the hash of a model and the prefix of a prompt.
pub fn prefix_hash(model: &str, prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    let prefix = &bytes[..bytes.len().min(PREFIX_BYTES)];
    hash64(hash64(0, model.as_bytes()), prefix)
}

/// A cache of prompt prefixes that evicts the least recently used one.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    accesses: u64,
    last_access: BTreeMap<u64, u64>,
    events: VecDeque<(Instant, CacheEvent)>,
    next_event: u64,
}

impl PrefixCache {
    /// Creates an empty cache with a capacity in prefixes.
    pub fn new(capacity: u16) -> Self {
        Self {
            capacity: usize::from(capacity),
            accesses: 0,
            last_access: BTreeMap::new(),
            events: VecDeque::new(),
            next_event: 1,
        }
    }

    /// Looks up a prefix, inserts it if it is absent, and returns whether it was cached.
    pub fn access(&mut self, prefix: u64) -> bool {
        if self.capacity == 0 {
            return false;
        }
        self.accesses += 1;
        if let Some(last) = self.last_access.get_mut(&prefix) {
            *last = self.accesses;
            return true;
        }
        if self.last_access.len() >= self.capacity {
            self.evict_least_recent();
        }
        self.last_access.insert(prefix, self.accesses);
        self.publish(prefix, true);
        false
    }

    /// Returns the number of cached prefixes.
    pub fn len(&self) -> usize {
        self.last_access.len()
    }

    /// Returns the events with numbers above `after` that are at least `lag` old.
    ///
    /// Skips the events whose number is a multiple of `gap`; 0 skips none.
    pub fn events(&self, after: u64, lag: Duration, gap: u64) -> Vec<CacheEvent> {
        let is_skipped = |event: &CacheEvent| gap > 0 && event.number.is_multiple_of(gap);
        self.events
            .iter()
            .filter(|(published_at, _)| published_at.elapsed() >= lag)
            .map(|(_, event)| event)
            .filter(|event| event.number > after && !is_skipped(event))
            .cloned()
            .collect()
    }

    fn evict_least_recent(&mut self) {
        let oldest = self.last_access.iter().min_by_key(|(_, last)| **last);
        if let Some(prefix) = oldest.map(|(prefix, _)| *prefix) {
            self.last_access.remove(&prefix);
            self.publish(prefix, false);
        }
    }

    /// Adds an event that the prefix was inserted or evicted.
    fn publish(&mut self, prefix: u64, cached: bool) {
        let event = CacheEvent {
            number: self.next_event,
            prefix,
            cached,
        };
        self.next_event += 1;
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_RETAINED_EVENTS {
            self.events.pop_front();
        }
    }
}
