//! Forecast of pauses between events at one engine: the longest that a prompt would cause to the
//! streams there, and the longest that its own stream would get.
//!
//! The prefill of a prompt delays every stream of the batch. An engine prefills in pieces between
//! decode steps, and an event holds several tokens, so a pause grows with the tokens that await
//! prefill up to the learned window of the engine.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::engine_speed::SpeedEstimate;

/// Multiples of a pause objective between which the predicted pause counts as more and more
/// probably too long. Engines with noise take up to 2.5 times as long now and then, and the prompts
/// of other entries are known late.
const PAUSE_BOUNDS: (f64, f64) = (0.5, 1.3);

/// Fraction of a pause objective up to which the longest pause that an engine's prefills can cause
/// needs no attention. At 0.7, first events came later where no pause exceeded its objective.
const SAFE_PAUSE_FRACTION: f64 = 0.95;

/// The streams with a pause objective that run at an engine, as processes exchange them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StreamLoad {
    /// The number of streams.
    pub streams: u16,
    /// The smallest of their pause objectives, in milliseconds; 0 without streams.
    pub tightest_ms: u16,
}

impl StreamLoad {
    /// Adds streams with a pause objective of `objective` or more.
    pub fn add(&mut self, streams: u16, objective: Duration) {
        if streams == 0 {
            return;
        }
        let millis = u16::try_from(objective.as_millis()).unwrap_or(u16::MAX);
        self.streams = self.streams.saturating_add(streams);
        self.tightest_ms = if self.tightest_ms == 0 {
            millis
        } else {
            self.tightest_ms.min(millis)
        };
    }

    /// Returns the sum of both.
    #[must_use]
    pub fn sum(mut self, other: Self) -> Self {
        self.add(other.streams, other.objective());
        self
    }

    /// Returns the smallest pause objective.
    pub fn objective(&self) -> Duration {
        Duration::from_millis(u64::from(self.tightest_ms))
    }
}

/// A stream of this entry that runs or will run at an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamAtRisk {
    /// The pause objective of the stream.
    pub objective: Duration,
    /// The longest pause that the stream has had.
    pub longest: Duration,
    /// The prompt tokens of this entry that await prefill after the stream's own prompt.
    pub tokens_after: f64,
}

/// The pauses that a call would cause and get at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PauseForecast {
    /// The longest pause that the call's prompt would cause to streams there.
    pub caused: Duration,
    /// The longest pause that the call's stream would get.
    pub suffered: Duration,
}

/// The length of pauses at an engine, by the prompt tokens that await prefill.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PauseCurve {
    event_ms: f64,
    prefill_ms: f64,
    window: f64,
}

impl PauseCurve {
    /// Creates the curve of an engine with a batch of `batch` requests that takes `disturbance`
    /// times as long as usual.
    pub fn new(speed: &SpeedEstimate, batch: u32, disturbance: f64) -> Self {
        Self {
            event_ms: speed.event_ms(batch) * disturbance,
            prefill_ms: speed.prefill.value * disturbance,
            window: speed.window.value,
        }
    }

    /// Returns the longest pause while `tokens` prompt tokens are prefilled.
    pub fn pause(&self, tokens: f64) -> Duration {
        let prefill_ms = tokens.min(self.window) * self.prefill_ms;
        Duration::from_secs_f64((self.event_ms + prefill_ms) / 1_000.0)
    }

    /// Returns whether prefills may cause pauses near or over an objective. Where an engine prefills few
    /// tokens between two events, prompts need not be kept apart or sent in turn.
    pub fn may_exceed(&self, objective: Duration) -> bool {
        self.pause(self.window) > objective.mul_f64(SAFE_PAUSE_FRACTION)
    }

    /// Returns the share of streams with a pause objective that become late by a prompt of `tokens`
    /// tokens where `ahead` tokens await prefill already.
    ///
    /// The window is not considered: a prompt that can't make the pause longer makes the time longer
    /// in which streams get such pauses, and an engine beyond its window would otherwise attract all
    /// further prompts.
    pub fn added_late_share(&self, objective: Duration, ahead: f64, tokens: f64) -> f64 {
        if !self.may_exceed(objective) {
            return 0.0;
        }
        let pause = |tokens: f64| {
            Duration::from_secs_f64((self.event_ms + tokens * self.prefill_ms) / 1_000.0)
        };
        late_share(pause(ahead + tokens), objective) - late_share(pause(ahead), objective)
    }

    /// Returns the number of streams that become late by a prompt of `tokens` tokens, of those that
    /// are not late already.
    pub fn late_streams(&self, streams: impl Iterator<Item = StreamAtRisk>, tokens: f64) -> f64 {
        streams
            .filter(|stream| stream.longest <= stream.objective)
            .map(|stream| self.added_late_share(stream.objective, stream.tokens_after, tokens))
            .sum()
    }
}

/// Returns the probability that a stream with a predicted longest pause is late.
pub fn late_share(pause: Duration, objective: Duration) -> f64 {
    let fraction = pause.as_secs_f64() / objective.as_secs_f64().max(0.001);
    let (in_time, late) = PAUSE_BOUNDS;
    ((fraction - in_time) / (late - in_time)).clamp(0.0, 1.0)
}
