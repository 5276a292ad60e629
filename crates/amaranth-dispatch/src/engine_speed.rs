//! Learned speed of one engine: prefill time per token, time between events of a stream, and the
//! time of a first token beyond its prefill.
//!
//! An entry learns from its own first tokens and events. It reports what it learned to the engine's
//! agent, which merges the reports of all entries ([`crate::shared_speed`]) and publishes the result. Where
//! little was observed of an engine, the mean of its service is used.
//!
//! Lasting speed changes slowly, by the time over which observations were made and not by their
//! number, so that a moment of noise with many first tokens counts as one moment.

use std::time::Duration;

use amaranth_core::time::Timestamp;
use serde::{Deserialize, Serialize};

/// Start values of an engine of which, and of whose service, nothing was observed. Observations
/// replace them within seconds.
const START: SpeedEstimate = SpeedEstimate {
    prefill: LearnedValue::start(1.0 / 14.0),
    event: LearnedValue::start(10.0),
    fixed: LearnedValue::start(90.0),
    window: LearnedValue::start(8_192.0),
    event_batch: 0.0,
};

/// Weight of the service's mean against what was observed of one engine, in observations.
const PRIOR_WEIGHT: f64 = 2.0;

/// Largest weight of a learned value. It bounds how slowly a lasting change is learned: with
/// observations all the time, within about 10 s.
const MAX_WEIGHT: f64 = 24.0;

/// Time that one observation with full weight stands for.
const OBSERVATION_TIME: Duration = Duration::from_millis(250);

/// Half-life of the weight of observations, so that reports of entries that still use the engine
/// replace the own ones of long ago.
pub(crate) const WEIGHT_HALF_LIFE_S: f64 = 60.0;

/// Largest change towards one observation, as a natural logarithm, while little and after enough was
/// observed. It keeps a few disturbed observations from moving lasting speed.
const MAX_ERROR: (f64, f64) = (1.4, 0.4);

/// Weight from which the lower limit on the change applies.
const SETTLED_WEIGHT: f64 = 4.0;

/// Weight with which times of first tokens are fitted towards the expected values, in observations.
/// It decides while few or alike prompts were observed.
const FIT_PRIOR_WEIGHT: f64 = 0.5;

/// Logarithmic error at which a first token counts half, once enough was observed.
const HALF_WEIGHT_ERROR: f64 = 0.4;

/// Time after which errors beyond that, all in one direction, are a lasting change and count fully.
const LASTING_TIME: Duration = Duration::from_secs(5);

/// Limits of fitted values, in multiples of the expected ones.
const FIT_BOUNDS: (f64, f64) = (0.05, 20.0);

/// Growth of the time between events with each request in the batch.
const EVENT_GROWTH: f64 = 0.003;

/// Shortest time between events that is an observation; shorter ones arrived together.
const MIN_EVENT_TIME: Duration = Duration::from_micros(500);

/// Smallest number of prompt tokens in an observed pause that says something of the longest pause.
const MIN_WINDOW_TOKENS: f64 = 512.0;

/// Backlog, in multiples of the tokens that a pause held, from which the pause did not end because
/// the backlog did.
const UNCENSORED_BACKLOG: f64 = 1.3;

/// A learned positive value with the weight of its observations.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LearnedValue {
    /// The value.
    pub value: f64,
    /// The weight of the observations behind the value, in observations.
    pub weight: f64,
}

impl LearnedValue {
    const fn start(value: f64) -> Self {
        Self { value, weight: 0.0 }
    }

    /// Changes the value by a logarithmic error. `novelty` is the weight of the observation.
    fn learn(&mut self, error: f64, novelty: f64) {
        let (first, settled) = MAX_ERROR;
        let limit = if self.weight < SETTLED_WEIGHT {
            first
        } else {
            settled
        };
        let rate = novelty / (self.weight + novelty).max(1.0);
        self.value *= (error.clamp(-limit, limit) * rate).exp();
        self.weight = (self.weight + novelty).min(MAX_WEIGHT);
    }

    /// Returns the mean of both by weight.
    fn merge(self, other: Self) -> Self {
        let weight = self.weight + other.weight;
        if weight <= 0.0 {
            return self;
        }
        Self {
            value: (self.value * self.weight + other.value * other.weight) / weight,
            weight: weight.min(MAX_WEIGHT),
        }
    }

    fn scaled(self, factor: f64) -> Self {
        Self {
            weight: self.weight * factor,
            ..self
        }
    }
}

/// An estimate of an engine's lasting speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedEstimate {
    /// The time to prefill one prompt token, in milliseconds.
    pub prefill: LearnedValue,
    /// The time between two events of a stream without prefills, in milliseconds. The number of
    /// tokens in an event is not known to entries.
    pub event: LearnedValue,
    /// The time of a first token beyond prefill and one event, in milliseconds.
    pub fixed: LearnedValue,
    /// The number of prompt tokens that the engine prefills at most between two events of a stream.
    pub window: LearnedValue,
    /// The number of requests in the batch at which the time between events was learned.
    pub event_batch: f64,
}

impl Default for SpeedEstimate {
    fn default() -> Self {
        START
    }
}

impl SpeedEstimate {
    /// Returns the time between two events of a stream in a batch of `batch` requests, in
    /// milliseconds.
    pub fn event_ms(&self, batch: u32) -> f64 {
        let growth = EVENT_GROWTH * (f64::from(batch) - self.event_batch);
        self.event.value * (1.0 + growth).max(0.5)
    }

    /// Returns the time until a first token after `tokens` prompt tokens, in milliseconds.
    pub fn first_token_ms(&self, tokens: f64, batch: u32) -> f64 {
        self.fixed.value + tokens * self.prefill.value + self.event_ms(batch)
    }

    /// Returns the mean of both by the weight of each value.
    pub fn merge(self, other: Self) -> Self {
        let event = self.event.merge(other.event);
        let event_weight = self.event.weight + other.event.weight;
        let event_batch = if event_weight > 0.0 {
            (self.event_batch * self.event.weight + other.event_batch * other.event.weight)
                / event_weight
        } else {
            self.event_batch
        };
        Self {
            prefill: self.prefill.merge(other.prefill),
            event,
            fixed: self.fixed.merge(other.fixed),
            window: self.window.merge(other.window),
            event_batch,
        }
    }

    /// Returns the estimate with all weights multiplied by a factor.
    pub fn scaled(self, factor: f64) -> Self {
        Self {
            prefill: self.prefill.scaled(factor),
            event: self.event.scaled(factor),
            fixed: self.fixed.scaled(factor),
            window: self.window.scaled(factor),
            event_batch: self.event_batch,
        }
    }

    /// Returns the estimate with each weight limited to `weight`.
    pub fn with_max_weight(self, weight: f64) -> Self {
        let limit = |learned: LearnedValue| LearnedValue {
            weight: learned.weight.min(weight),
            ..learned
        };
        Self {
            prefill: limit(self.prefill),
            event: limit(self.event),
            fixed: limit(self.fixed),
            window: limit(self.window),
            event_batch: self.event_batch,
        }
    }

    /// Returns the start value for the engines of a service: the mean of the known ones, each of
    /// which counts alike once enough was observed of it.
    pub fn prior_of(engines: impl IntoIterator<Item = Self>) -> Self {
        let start = Self {
            prefill: LearnedValue {
                weight: PRIOR_WEIGHT / 2.0,
                ..START.prefill
            },
            event: LearnedValue {
                weight: PRIOR_WEIGHT / 2.0,
                ..START.event
            },
            fixed: LearnedValue {
                weight: PRIOR_WEIGHT / 2.0,
                ..START.fixed
            },
            window: LearnedValue {
                weight: PRIOR_WEIGHT / 2.0,
                ..START.window
            },
            event_batch: START.event_batch,
        };
        let sum = engines.into_iter().fold(start, |sum, engine| {
            // Without the limit of a merge, since the number of engines must not change their mean.
            let engine = engine.with_max_weight(SETTLED_WEIGHT);
            sum.merge_unlimited(engine)
        });
        sum.with_max_weight(PRIOR_WEIGHT)
    }

    pub(crate) fn merge_unlimited(self, other: Self) -> Self {
        let mut merged = self.merge(other);
        merged.prefill.weight = self.prefill.weight + other.prefill.weight;
        merged.event.weight = self.event.weight + other.event.weight;
        merged.fixed.weight = self.fixed.weight + other.fixed.weight;
        merged.window.weight = self.window.weight + other.window.weight;
        merged
    }
}

/// An engine's speed as processes exchange it, in integers that take one to three bytes each. A
/// weight of zero states that nothing was observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineSpeed {
    /// The time to prefill 1,024 tokens, in microseconds.
    pub prefill_us: u32,
    /// The time between two events of a stream without prefills, in microseconds.
    pub event_us: u32,
    /// The time of a first token beyond prefill and one event, in microseconds.
    pub fixed_us: u32,
    /// The largest number of prompt tokens that are prefilled between two events of a stream.
    pub window_tokens: u32,
    /// The batch at which the time between events holds.
    pub event_batch: u8,
    /// The weights of these times and of the window, in observations.
    pub weights: [u8; 4],
}

impl From<SpeedEstimate> for EngineSpeed {
    fn from(speed: SpeedEstimate) -> Self {
        let micros = |millis: f64| (millis * 1_000.0).round() as u32;
        let weight = |learned: LearnedValue| learned.weight.round() as u8;
        Self {
            prefill_us: micros(speed.prefill.value * 1_024.0),
            event_us: micros(speed.event.value),
            fixed_us: micros(speed.fixed.value),
            window_tokens: speed.window.value.round() as u32,
            event_batch: speed.event_batch.round() as u8,
            weights: [
                weight(speed.prefill),
                weight(speed.event),
                weight(speed.fixed),
                weight(speed.window),
            ],
        }
    }
}

impl From<EngineSpeed> for SpeedEstimate {
    /// Values of zero or without weight are not used, whatever a peer sent.
    fn from(speed: EngineSpeed) -> Self {
        let learned = |value: f64, weight: u8, start: LearnedValue| {
            if value > 0.0 && weight > 0 {
                LearnedValue {
                    value,
                    weight: f64::from(weight).min(MAX_WEIGHT),
                }
            } else {
                start
            }
        };
        let millis = |micros: u32| f64::from(micros) / 1_000.0;
        let [prefill, event, fixed, window] = speed.weights;
        Self {
            prefill: learned(millis(speed.prefill_us) / 1_024.0, prefill, START.prefill),
            event: learned(millis(speed.event_us), event, START.event),
            fixed: learned(millis(speed.fixed_us), fixed, START.fixed),
            window: learned(f64::from(speed.window_tokens), window, START.window),
            event_batch: f64::from(speed.event_batch),
        }
    }
}

/// A first token with what was known when its prompt was sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FirstTokenSample {
    /// The time from the prompt to the first token.
    pub elapsed: Duration,
    /// The prompt tokens of this entry that were ahead, and the prompt's own.
    pub own_tokens: f64,
    /// The prompt tokens of other entries that were believed to be ahead.
    pub others_tokens: f64,
    /// The number of requests at the engine.
    pub batch: u32,
}

/// A time between two events of a stream with what is known of prefills meanwhile.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EventSample {
    /// The time since the stream's last event.
    pub elapsed: Duration,
    /// The number of events that arrived together after that time.
    pub events: u32,
    /// The prompt tokens that awaited prefill when the time began.
    pub backlog_tokens: f64,
    /// The number of requests at the engine.
    pub batch: u32,
}

/// Weighted least squares of the times of first tokens, as a fixed time and a time per prompt
/// token. Errors count relative to the expected time, and old observations fade.
#[derive(Debug, Clone, Copy, Default)]
struct FirstTokenFit {
    weight: f64,
    fixed: f64,
    mixed: f64,
    tokens: f64,
    fixed_time: f64,
    tokens_time: f64,
}

impl FirstTokenFit {
    fn add(&mut self, weight: f64, expected_ms: f64, tokens: f64, elapsed_ms: f64) {
        self.scale(1.0 - weight / MAX_WEIGHT);
        let row = weight / (expected_ms * expected_ms);
        self.weight += weight;
        self.fixed += row;
        self.mixed += row * tokens;
        self.tokens += row * tokens * tokens;
        self.fixed_time += row * elapsed_ms;
        self.tokens_time += row * tokens * elapsed_ms;
    }

    fn scale(&mut self, factor: f64) {
        self.weight *= factor;
        self.fixed *= factor;
        self.mixed *= factor;
        self.tokens *= factor;
        self.fixed_time *= factor;
        self.tokens_time *= factor;
    }

    /// Returns the fixed time and the time per token, which tend to the expected ones.
    fn solve(&self, fixed_ms: f64, prefill_ms: f64) -> (f64, f64) {
        let a = self.fixed + FIT_PRIOR_WEIGHT / (fixed_ms * fixed_ms);
        let c = self.tokens + FIT_PRIOR_WEIGHT / (prefill_ms * prefill_ms);
        let x = self.fixed_time + FIT_PRIOR_WEIGHT / fixed_ms;
        let y = self.tokens_time + FIT_PRIOR_WEIGHT / prefill_ms;
        // Positive, since both expected values add to the diagonal.
        let determinant = a * c - self.mixed * self.mixed;
        let fixed = (x * c - y * self.mixed) / determinant;
        let prefill = (y * a - x * self.mixed) / determinant;
        let (low, high) = FIT_BOUNDS;
        (
            fixed.clamp(fixed_ms * low, fixed_ms * high),
            prefill.clamp(prefill_ms * low, prefill_ms * high),
        )
    }
}

/// The last errors of predictions that were large and all in one direction.
#[derive(Debug, Clone, Copy, Default)]
struct ErrorRun {
    since: Timestamp,
    is_slow: bool,
}

impl ErrorRun {
    /// Records an error, in multiples of that of half weight. Returns whether errors have been large
    /// in this direction for long.
    fn is_lasting(&mut self, now: Timestamp, error: f64) -> bool {
        let is_slow = error > 0.0;
        if error.abs() < 1.0 || is_slow != self.is_slow {
            *self = Self {
                since: now,
                is_slow,
            };
        }
        now.since(self.since) >= LASTING_TIME
    }
}

/// What one entry learns of one engine's speed.
#[derive(Debug, Clone, Copy, Default)]
pub struct SpeedLearner {
    own: SpeedEstimate,
    fit: FirstTokenFit,
    errors: ErrorRun,
    shared: SpeedEstimate,
    prior: SpeedEstimate,
    current: SpeedEstimate,
    first_token_at: Timestamp,
    event_at: Timestamp,
    decayed_at: Timestamp,
}

impl SpeedLearner {
    /// Returns the speed by which the engine's times are predicted.
    pub const fn speed(&self) -> &SpeedEstimate {
        &self.current
    }

    /// Returns what this entry itself observed, for the report to the engine's agent, if it observed
    /// anything.
    pub fn own(&self) -> Option<EngineSpeed> {
        let wire = EngineSpeed::from(self.own);
        (wire.weights != [0; 4]).then_some(wire)
    }

    /// Returns the estimate from which the mean of the service is taken.
    pub fn observed(&self) -> SpeedEstimate {
        self.own.merge(self.shared)
    }

    /// Sets the mean of the service.
    pub fn set_prior(&mut self, prior: SpeedEstimate) {
        self.prior = prior;
        self.refresh();
    }

    /// Sets the speed that the engine's agent merged from the reports of all entries.
    pub fn set_shared(&mut self, now: Timestamp, shared: EngineSpeed) {
        self.decay(now);
        self.shared = shared.into();
        self.refresh();
    }

    /// Learns from a first token.
    pub fn record_first_token(&mut self, now: Timestamp, sample: FirstTokenSample) {
        self.decay(now);
        let event = if self.own.event.weight > 0.0 {
            &self.own
        } else {
            &self.current
        };
        let elapsed_ms = sample.elapsed.as_secs_f64() * 1_000.0;
        let elapsed_ms = (elapsed_ms - event.event_ms(sample.batch)).max(1.0);
        let tokens = sample.own_tokens + sample.others_tokens;
        let known = if self.fit.weight > 0.0 {
            &self.own
        } else {
            &self.current
        };
        let expected_ms = known.fixed.value + tokens * known.prefill.value;
        // The backlog of other entries is only estimated.
        let certainty = sample.own_tokens / tokens.max(1.0);
        let mut weight = certainty * novelty(now, &mut self.first_token_at);
        let error = (elapsed_ms / expected_ms).ln() / HALF_WEIGHT_ERROR;
        let is_lasting = self.errors.is_lasting(now, error);
        if self.fit.weight >= SETTLED_WEIGHT && !is_lasting {
            weight /= 1.0 + error * error;
        }
        self.fit.add(weight, expected_ms, tokens, elapsed_ms);
        let expected = self.shared.merge(self.prior);
        let (fixed, prefill) = self.fit.solve(expected.fixed.value, expected.prefill.value);
        let weight = self.fit.weight.min(MAX_WEIGHT);
        self.own.fixed = LearnedValue {
            value: fixed,
            weight,
        };
        self.own.prefill = LearnedValue {
            value: prefill,
            weight,
        };
        self.refresh();
    }

    /// Learns from the time between two events of a stream: the time between events if no prompt was
    /// pending, and otherwise how many prompt tokens are prefilled between two events.
    pub fn record_events(&mut self, now: Timestamp, sample: EventSample) {
        if sample.elapsed < MIN_EVENT_TIME {
            return;
        }
        let elapsed_ms = sample.elapsed.as_secs_f64() * 1_000.0 / f64::from(sample.events.max(1));
        if sample.backlog_tokens <= 0.0 {
            self.decay(now);
            self.learn_event_time(now, elapsed_ms, sample.batch);
        } else if sample.events == 1 {
            self.learn_window(now, elapsed_ms, sample);
        }
    }

    fn learn_event_time(&mut self, now: Timestamp, elapsed_ms: f64, batch: u32) {
        let own = &mut self.own;
        if own.event.weight <= 0.0 {
            own.event.value = self.current.event.value;
            own.event_batch = f64::from(batch);
        }
        let error = (elapsed_ms / own.event_ms(batch)).ln();
        let novelty = novelty(now, &mut self.event_at);
        own.event.learn(error, novelty);
        let rate = novelty / own.event.weight.max(1.0);
        own.event_batch += rate * (f64::from(batch) - own.event_batch);
        self.refresh();
    }

    /// Learns the window from a pause that the end of the backlog did not end.
    fn learn_window(&mut self, now: Timestamp, elapsed_ms: f64, sample: EventSample) {
        let speed = &self.current;
        let prefilled = (elapsed_ms - speed.event_ms(sample.batch)) / speed.prefill.value;
        if prefilled < MIN_WINDOW_TOKENS {
            return;
        }
        let is_censored = sample.backlog_tokens < prefilled * UNCENSORED_BACKLOG;
        if is_censored && prefilled <= speed.window.value {
            return;
        }
        self.decay(now);
        if self.own.window.weight <= 0.0 {
            self.own.window.value = self.current.window.value;
        }
        let error = (prefilled / self.own.window.value).ln();
        let novelty = novelty(now, &mut self.event_at);
        self.own.window.learn(error, novelty);
        self.refresh();
    }

    fn decay(&mut self, now: Timestamp) {
        let age = now.since(self.decayed_at);
        if age < Duration::from_secs(1) {
            return;
        }
        let factor = (-age.as_secs_f64() / WEIGHT_HALF_LIFE_S).exp2();
        self.own = self.own.scaled(factor);
        self.fit.scale(factor);
        self.decayed_at = now;
    }

    fn refresh(&mut self) {
        self.current = self.own.merge(self.shared).merge(self.prior);
    }
}

/// Returns the weight of an observation: the time since the last one, as a part of the time that one
/// observation stands for.
fn novelty(now: Timestamp, last_at: &mut Timestamp) -> f64 {
    let age = now.since(*last_at);
    *last_at = now;
    (age.as_secs_f64() / OBSERVATION_TIME.as_secs_f64()).min(1.0)
}

impl SpeedEstimate {
    /// Returns this estimate, completed by `kept` up to the weight that `kept` has.
    pub(crate) fn completed_by(self, kept: Self) -> Self {
        let rest = |live: LearnedValue, kept: LearnedValue| {
            live.merge(LearnedValue {
                weight: (kept.weight - live.weight).max(0.0),
                ..kept
            })
        };
        Self {
            prefill: rest(self.prefill, kept.prefill),
            event: rest(self.event, kept.event),
            fixed: rest(self.fixed, kept.fixed),
            window: rest(self.window, kept.window),
            event_batch: if self.event.weight >= kept.event.weight {
                self.event_batch
            } else {
                kept.event_batch
            },
        }
    }
}
