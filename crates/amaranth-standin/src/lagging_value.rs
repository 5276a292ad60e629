//! A value whose reads lag behind its writes.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// A value with enough of its history for reads with a lag of up to [`MAX_LAG`].
#[derive(Debug, Clone)]
pub struct LaggingValue<T> {
    history: VecDeque<(Instant, T)>,
}

/// Longest lag of a read, which bounds the history by time.
pub const MAX_LAG: Duration = Duration::from_secs(60);

impl<T: Clone + PartialEq> LaggingValue<T> {
    /// Creates a value that reads as `value` for any time in the past.
    pub fn new(value: T) -> Self {
        Self {
            history: VecDeque::from([(Instant::now(), value)]),
        }
    }

    /// Sets the current value.
    pub fn set(&mut self, value: T) {
        if self.history.back().is_some_and(|(_, last)| *last == value) {
            return;
        }
        let now = Instant::now();
        self.history.push_back((now, value));
        while self
            .history
            .get(1)
            .is_some_and(|(since, _)| now.duration_since(*since) > MAX_LAG)
        {
            self.history.pop_front();
        }
    }

    /// Returns the value as it was `lag` ago, where `lag` is at most [`MAX_LAG`].
    pub fn get(&self, lag: Duration) -> T {
        let now = Instant::now();
        let entry = self
            .history
            .iter()
            .rev()
            .find(|(since, _)| now.duration_since(*since) >= lag)
            .or_else(|| self.history.front());
        let (_, value) = entry.expect("the history is never empty");
        value.clone()
    }
}
