//! The prefix cache and its events.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use amaranth_core::digest::hash64;
use amaranth_ports::engine::CacheEvent;
use tokio::time::Instant;

/// Length of the prefix by which prompts are told apart, in bytes.
pub const PREFIX_BYTES: usize = 256;

/// Events that are kept for readers.
const KEPT_EVENTS: usize = 4_096;

/// Returns the hash of a prompt's prefix.
pub fn prefix_hash(model: &str, prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    let prefix = &bytes[..bytes.len().min(PREFIX_BYTES)];
    hash64(hash64(0, model.as_bytes()), prefix)
}

/// A cache of prompt prefixes that drops the least recently used one.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    uses: u64,
    last_use: BTreeMap<u64, u64>,
    events: VecDeque<(Instant, CacheEvent)>,
    next_event: u64,
}

impl PrefixCache {
    /// Opens an empty cache.
    pub fn open(capacity: u16) -> Self {
        Self {
            capacity: usize::from(capacity),
            uses: 0,
            last_use: BTreeMap::new(),
            events: VecDeque::new(),
            next_event: 1,
        }
    }

    /// Uses a prefix and returns whether it was cached.
    pub fn touch(&mut self, prefix: u64) -> bool {
        if self.capacity == 0 {
            return false;
        }
        self.uses += 1;
        if let Some(last) = self.last_use.get_mut(&prefix) {
            *last = self.uses;
            return true;
        }
        if self.last_use.len() >= self.capacity {
            self.drop_oldest();
        }
        self.last_use.insert(prefix, self.uses);
        self.publish(prefix, true);
        false
    }

    /// Returns the number of cached prefixes.
    pub fn len(&self) -> usize {
        self.last_use.len()
    }

    /// Returns events numbered above `after` that are at least `lag` old, with gaps.
    pub fn events(&self, after: u64, lag: Duration, gap: u64) -> Vec<CacheEvent> {
        let lost = |event: &CacheEvent| gap > 0 && event.number.is_multiple_of(gap);
        self.events
            .iter()
            .filter(|(when, _)| when.elapsed() >= lag)
            .map(|(_, event)| event)
            .filter(|event| event.number > after && !lost(event))
            .cloned()
            .collect()
    }

    fn drop_oldest(&mut self) {
        let oldest = self.last_use.iter().min_by_key(|(_, last)| **last);
        if let Some(prefix) = oldest.map(|(prefix, _)| *prefix) {
            self.last_use.remove(&prefix);
            self.publish(prefix, false);
        }
    }

    fn publish(&mut self, prefix: u64, cached: bool) {
        let event = CacheEvent {
            number: self.next_event,
            prefix,
            cached,
        };
        self.next_event += 1;
        self.events.push_back((Instant::now(), event));
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}
