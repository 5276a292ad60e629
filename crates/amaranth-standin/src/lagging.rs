//! A value that is shown as it was some time ago.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Keeps past values as long as a lag may still show them.
#[derive(Debug, Clone)]
pub struct LaggingValue<T> {
    history: VecDeque<(Instant, T)>,
}

/// Longest lag that is kept, so that the history stays bounded.
pub const MAX_LAG: Duration = Duration::from_secs(60);

impl<T: Clone + PartialEq> LaggingValue<T> {
    /// Opens with a value that always was.
    pub fn open(value: T) -> Self {
        Self {
            history: VecDeque::from([(Instant::now(), value)]),
        }
    }

    /// Sets the present value.
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

    /// Returns the value as it was `lag` ago, at most [`MAX_LAG`].
    pub fn get(&self, lag: Duration) -> T {
        let now = Instant::now();
        let shown = self
            .history
            .iter()
            .rev()
            .find(|(since, _)| now.duration_since(*since) >= lag)
            .or_else(|| self.history.front());
        let (_, value) = shown.expect("the history is never empty");
        value.clone()
    }
}
