//! Rates of work that arrives or leaves, from recent observations.

use std::time::Duration;

use amaranth_core::time::Timestamp;

use super::request::CallWork;

/// Half-life of observations. An entry sees about ten calls a second, so that a rate rests on about
/// thirty.
const HALF_LIFE_S: f64 = 2.0;

/// Half-life of observations that show a burst.
const BURST_HALF_LIFE_S: f64 = 0.4;

/// Observed time from which a rate of departures is known. The first few after an outage come in a
/// group.
const MIN_OBSERVED_S: f64 = 0.1;

/// Shortest time over which arrivals are averaged, so that one call is not a rate.
const MIN_WINDOW_S: f64 = 0.5;

/// Time without a waiting call after which the rate of departures is unknown again: engines may have
/// joined or left.
const MAX_UNOBSERVED: Duration = Duration::from_secs(30);

/// Multiple of the typical time between departures from which the time is a stall.
const STALL_FACTOR: f64 = 4.0;

/// Shortest stall: entries learn of free places within this time.
const MIN_STALL_S: f64 = 0.1;

/// Weight of the newest time between departures in the typical one.
const GAP_WEIGHT: f64 = 0.1;

/// Work over a window that decays exponentially.
#[derive(Debug, Clone, Copy, Default)]
struct WorkWindow {
    work: f64,
    observed_s: f64,
}

impl WorkWindow {
    fn advance(&mut self, elapsed_s: f64, half_life_s: f64) {
        let keep = (-elapsed_s / half_life_s).exp2();
        let length_s = half_life_s / std::f64::consts::LN_2;
        self.work *= keep;
        self.observed_s = self.observed_s * keep + length_s * (1.0 - keep);
    }

    fn rate(self) -> f64 {
        self.work / self.observed_s.max(MIN_WINDOW_S)
    }
}

/// The rate at which work arrives.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ArrivalRate {
    mean: WorkWindow,
    burst: WorkWindow,
    updated_at: Timestamp,
}

impl ArrivalRate {
    /// Records work that arrives at `now`.
    pub(super) fn record(&mut self, now: Timestamp, work: CallWork) {
        self.advance(now);
        self.mean.work += work.tokens() as f64;
        self.burst.work += work.tokens() as f64;
    }

    /// Returns the rate at `now` in work per second.
    pub(super) fn at(&self, now: Timestamp) -> f64 {
        let mut rate = *self;
        rate.advance(now);
        rate.mean.rate()
    }

    /// Returns the higher of the rate at `now` and that of a burst, which the mean shows too late.
    pub(super) fn peak_at(&self, now: Timestamp) -> f64 {
        let mut rate = *self;
        rate.advance(now);
        rate.mean.rate().max(rate.burst.rate())
    }

    fn advance(&mut self, now: Timestamp) {
        let elapsed_s = now.since(self.updated_at).as_secs_f64();
        self.mean.advance(elapsed_s, HALF_LIFE_S);
        self.burst.advance(elapsed_s, BURST_HALF_LIFE_S);
        self.updated_at = self.updated_at.max(now);
    }
}

/// The rate at which work leaves the queue while calls wait.
///
/// Stalls count as little more than a usual time between departures. With their whole length, the rate
/// would be that of the arrivals whenever the queue empties after a stall, and nobody behind a more
/// urgent rank would seem to be served.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DepartureRate {
    window: WorkWindow,
    typical_gap_s: Option<f64>,
    last_at: Timestamp,
    busy_at: Timestamp,
}

impl DepartureRate {
    /// Records that no call waits at `now`.
    pub(super) fn record_idle(&mut self, now: Timestamp) {
        self.last_at = now;
        if now.since(self.busy_at) > MAX_UNOBSERVED {
            self.window = WorkWindow::default();
            self.typical_gap_s = None;
        }
    }

    /// Records work that leaves at `now`, while calls wait.
    pub(super) fn record(&mut self, now: Timestamp, work: CallWork) {
        let gap_s = now.since(self.last_at).as_secs_f64().min(self.stall_s());
        let typical = self.typical_gap_s.unwrap_or(gap_s);
        self.typical_gap_s = Some(typical + GAP_WEIGHT * (gap_s - typical));
        self.window.advance(gap_s, HALF_LIFE_S);
        self.window.work += work.tokens() as f64;
        self.last_at = now;
        self.busy_at = now;
    }

    /// Returns the rate in work per second, if work was observed for long enough.
    pub(super) fn known(&self) -> Option<f64> {
        let WorkWindow { work, observed_s } = self.window;
        (observed_s >= MIN_OBSERVED_S && work > 0.0).then(|| work / observed_s)
    }

    /// Returns the time since the last departure if it is longer than usual. A stall is expected to last
    /// as long again.
    pub(super) fn stall(&self, now: Timestamp) -> Duration {
        let gap = now.since(self.last_at);
        if gap.as_secs_f64() > self.stall_s() {
            gap
        } else {
            Duration::ZERO
        }
    }

    fn stall_s(&self) -> f64 {
        let typical = self.typical_gap_s.unwrap_or_default();
        (typical * STALL_FACTOR).max(MIN_STALL_S)
    }
}
