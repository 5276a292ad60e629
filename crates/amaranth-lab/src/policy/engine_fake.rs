//! A fake engine: continuous batching whose token rate falls as the batch fills.

use std::collections::{BTreeSet, HashMap};

use amaranth_core::time::Timestamp;

use crate::policy::deployment::DeploymentSize;

/// Part of a step by which a request may end early, since times are whole microseconds.
const STEP_TOLERANCE: f64 = 1e-3;

/// Orders floating-point step counts in a map.
#[derive(Debug, Clone, Copy, PartialEq)]
struct StepCount(f64);

impl Eq for StepCount {}

impl PartialOrd for StepCount {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for StepCount {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// The batch of one engine.
///
/// Every request in the batch advances by one token a step, so that one count of steps serves
/// all: a request ends when the count reaches its own end.
#[derive(Debug, Clone)]
pub struct EngineFake {
    size: DeploymentSize,
    steps: f64,
    advanced_at: Timestamp,
    ends: BTreeSet<(StepCount, usize)>,
    end_of: HashMap<usize, StepCount>,
    filled_seconds: f64,
    busy_seconds: f64,
}

impl EngineFake {
    /// Opens an idle engine.
    pub fn open(size: DeploymentSize) -> Self {
        Self {
            size,
            steps: 0.0,
            advanced_at: Timestamp::ZERO,
            ends: BTreeSet::new(),
            end_of: HashMap::new(),
            filled_seconds: 0.0,
            busy_seconds: 0.0,
        }
    }

    /// Returns the requests in the batch.
    pub fn running(&self) -> usize {
        self.end_of.len()
    }

    /// Adds a request that needs `steps` decode steps.
    pub fn start(&mut self, now: Timestamp, request: usize, steps: f64) {
        self.advance(now);
        let end = StepCount(self.steps + steps);
        self.ends.insert((end, request));
        self.end_of.insert(request, end);
    }

    /// Returns when the next request ends if the batch stays as it is.
    pub fn next_end(&self) -> Option<Timestamp> {
        let (end, _) = self.ends.first()?;
        let left = (end.0 - self.steps).max(0.0);
        let seconds = left * self.size.step_time(self.running());
        let micros = (seconds * 1e6).ceil() as u64;
        Some(Timestamp::from_micros(
            self.advanced_at.as_micros() + micros,
        ))
    }

    /// Removes and returns the requests that ended by `now`.
    pub fn take_ended(&mut self, now: Timestamp) -> Vec<usize> {
        self.advance(now);
        let mut ended = Vec::new();
        while let Some(&(end, request)) = self.ends.first() {
            if end.0 > self.steps + STEP_TOLERANCE {
                break;
            }
            self.ends.pop_first();
            self.end_of.remove(&request);
            ended.push(request);
        }
        ended
    }

    /// Drops the whole batch, as a restart does, and returns its requests.
    pub fn drop_all(&mut self, now: Timestamp) -> Vec<usize> {
        self.advance(now);
        self.ends.clear();
        let mut dropped: Vec<usize> = self.end_of.drain().map(|(request, _)| request).collect();
        dropped.sort_unstable();
        dropped
    }

    /// Returns the requests in the batch, in no order.
    pub fn requests(&self) -> impl Iterator<Item = usize> {
        self.end_of.keys().copied()
    }

    /// Forgets how full batches were so far.
    pub fn reset_counts(&mut self, now: Timestamp) {
        self.advance(now);
        self.filled_seconds = 0.0;
        self.busy_seconds = 0.0;
    }

    /// Returns the batch places filled and offered, in seconds, over the time with any request.
    pub fn batch_seconds(&self) -> (f64, f64) {
        let offered = self.busy_seconds * self.size.batch_slots as f64;
        (self.filled_seconds, offered)
    }

    fn advance(&mut self, now: Timestamp) {
        let seconds = now.since(self.advanced_at).as_secs_f64();
        self.advanced_at = now.max(self.advanced_at);
        let running = self.running();
        if running == 0 {
            return;
        }
        self.steps += seconds / self.size.step_time(running);
        self.filled_seconds += seconds * running as f64;
        self.busy_seconds += seconds;
    }
}
