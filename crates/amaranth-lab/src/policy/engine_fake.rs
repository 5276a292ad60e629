//! A fake engine with continuous batching; its decode steps slow down as the batch fills.

use std::collections::{BTreeSet, HashMap};

use amaranth_core::time::Timestamp;

use crate::policy::deployment::DeploymentSize;

/// Fraction of a decode step by which a request may end early, because times are rounded to whole
/// microseconds.
const STEP_TOLERANCE: f64 = 1e-3;

/// A number of decode steps with a total order, as keys of a set need.
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
/// Every request in the batch advances by one token per decode step, so all share one count of
/// steps; a request ends when the count reaches its end.
#[derive(Debug, Clone)]
pub struct EngineFake {
    size: DeploymentSize,
    steps: f64,
    advanced_at: Timestamp,
    ends: BTreeSet<(StepCount, usize)>,
    end_of: HashMap<usize, StepCount>,
    used_slot_seconds: f64,
    busy_seconds: f64,
}

impl EngineFake {
    /// Creates an idle engine.
    pub fn new(size: DeploymentSize) -> Self {
        Self {
            size,
            steps: 0.0,
            advanced_at: Timestamp::ZERO,
            ends: BTreeSet::new(),
            end_of: HashMap::new(),
            used_slot_seconds: 0.0,
            busy_seconds: 0.0,
        }
    }

    /// Returns the number of requests in the batch.
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

    /// Returns the time at which the next request ends if the batch does not change; `None` if the
    /// batch is empty.
    pub fn next_end(&self) -> Option<Timestamp> {
        let (end, _) = self.ends.first()?;
        let remaining = (end.0 - self.steps).max(0.0);
        let seconds = remaining * self.size.step_time(self.running());
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

    /// Removes all requests from the batch, as a restart does, and returns them in ascending order.
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

    /// Resets the measured usage of the batch slots.
    pub fn reset_usage(&mut self, now: Timestamp) {
        self.advance(now);
        self.used_slot_seconds = 0.0;
        self.busy_seconds = 0.0;
    }

    /// Returns the used and the available batch slots, in slot-seconds, over the time in which the
    /// engine had any request.
    pub fn slot_seconds(&self) -> (f64, f64) {
        let available = self.busy_seconds * self.size.batch_slots as f64;
        (self.used_slot_seconds, available)
    }

    fn advance(&mut self, now: Timestamp) {
        let seconds = now.since(self.advanced_at).as_secs_f64();
        self.advanced_at = now.max(self.advanced_at);
        let running = self.running();
        if running == 0 {
            return;
        }
        self.steps += seconds / self.size.step_time(running);
        self.used_slot_seconds += seconds * running as f64;
        self.busy_seconds += seconds;
    }
}
