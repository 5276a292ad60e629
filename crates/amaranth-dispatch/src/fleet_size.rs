//! The number of entries in the fleet, as an entry learns it from agents.
//!
//! Every entry exchanges with every agent at times, so each agent can count the entries that it
//! heard from. An agent that has just restarted listens for some seconds before it states a count, and
//! one that is cut off counts too few; the largest recent count is used. Limits that all entries share
//! are divided by it.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use amaranth_core::time::Timestamp;

/// Time for which an agent counts an entry after its last exchange: longer than the longest time
/// between two exchanges of an entry with the same agent.
pub const ENTRY_TIMEOUT: Duration = Duration::from_secs(15);

/// Time for which an agent that has heard from no entry listens before it states a count. Entries that
/// start together with the agent, as after a loss of power, exchange with it within this time; a count of
/// the first of them would give each a large part of the limits that all share.
pub const LISTEN_TIME: Duration = Duration::from_secs(4);

/// Time for which an entry divides by a count after it heard it, so that agents which restart
/// together have time to hear from all entries.
pub const COUNT_HOLD_TIME: Duration = Duration::from_secs(20);

/// The entries that an agent heard from.
#[derive(Debug, Clone, Default)]
pub struct HeardEntries {
    last_heard: HashMap<String, Timestamp>,
    listening_since: Timestamp,
}

impl HeardEntries {
    /// Records an exchange with an entry.
    pub fn record(&mut self, now: Timestamp, entry: &str) {
        self.forget_silent(now);
        if self.last_heard.is_empty() {
            self.listening_since = now;
        }
        match self.last_heard.get_mut(entry) {
            Some(at) => *at = now,
            None => {
                self.last_heard.insert(entry.to_owned(), now);
            }
        }
    }

    /// Returns the number of entries that were heard from recently, or zero if the agent has not listened
    /// for [`LISTEN_TIME`] yet.
    pub fn count(&mut self, now: Timestamp) -> u32 {
        self.forget_silent(now);
        if now.since(self.listening_since) < LISTEN_TIME {
            return 0;
        }
        u32::try_from(self.last_heard.len()).unwrap_or(u32::MAX)
    }

    fn forget_silent(&mut self, now: Timestamp) {
        self.last_heard
            .retain(|_, at| now.since(*at) < ENTRY_TIMEOUT);
    }
}

/// The largest number of entries that agents stated recently.
#[derive(Debug, Clone, Default)]
pub struct FleetSize {
    /// Counts in the order of their arrival, each larger than all later ones.
    counts: VecDeque<(Timestamp, u32)>,
}

impl FleetSize {
    /// Records the count of an agent.
    pub fn record(&mut self, now: Timestamp, count: u32) {
        if count == 0 {
            return;
        }
        while self.counts.back().is_some_and(|(_, known)| *known <= count) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, count));
        while self.counts.len() > 1
            && self
                .counts
                .front()
                .is_some_and(|(at, _)| now.since(*at) > COUNT_HOLD_TIME)
        {
            self.counts.pop_front();
        }
    }

    /// Returns the number of entries to divide shared limits by, if an agent has stated one recently. An
    /// entry that was frozen for longer knows none.
    pub fn entries(&self, now: Timestamp) -> Option<u32> {
        let mut counts = self.counts.iter();
        let recent = counts.find(|(at, _)| now.since(*at) <= COUNT_HOLD_TIME);
        recent.map(|(_, count)| *count)
    }
}
