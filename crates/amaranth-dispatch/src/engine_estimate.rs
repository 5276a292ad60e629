//! Estimate of the time until an engine sends the first token of a generation.
//!
//! An engine prefills prompts one after another, in chunks between the decode steps of running
//! requests. The estimate counts the prompt tokens that this entry sent and whose prefill is
//! pending. Lasting speed is learned ([`crate::engine_speed`]); a short disturbance of the engine
//! is a factor on it that fades.

use std::time::Duration;

use amaranth_core::time::Timestamp;
use smallvec::SmallVec;

use crate::call::{GenerationNeed, PromptPart};
use crate::engine_speed::{EventSample, FirstTokenSample, SpeedEstimate, SpeedLearner};
use crate::pause_forecast::{StreamAtRisk, StreamLoad};

/// Average number of tokens that remain to be prefilled of another entry's prompt: half of a
/// typical prompt.
const OTHERS_PREFILL_TOKENS: f64 = 1_000.0;

/// Mean length of prompts before any was sent, in tokens.
const START_PROMPT_TOKENS: f64 = 2_000.0;

/// Weight of the newest prompt in the mean length of prompts.
const PROMPT_WEIGHT: f64 = 0.05;

/// Weight of the newest stream in the ratio of longest pauses to their forecasts, and in the time of
/// a stream for each token of its expected output.
const STREAM_WEIGHT: f64 = 0.1;

/// Time of a stream for each token of its expected output before any ended, in milliseconds.
const START_OUTPUT_MS: f64 = 10.0;

/// Time after which a stream has got most of the pauses that it would get in a longer one.
const EXPOSURE_TIME_MS: f64 = 1_000.0;

/// Bounds of the ratio of longest pauses to their forecasts.
const PAUSE_RATIO_BOUNDS: (f64, f64) = (0.3, 5.0);

/// Weight of the newest observation in an engine's disturbance.
const DISTURBANCE_WEIGHT: f64 = 0.15;

/// Time by which the first token of a stream may be recorded after the event that carries it.
const CLOCK_SLACK: Duration = Duration::from_millis(1);

/// Bounds of an engine's disturbance.
const DISTURBANCE_BOUNDS: (f64, f64) = (0.5, 8.0);

/// Half-life in seconds with which a disturbance fades, so that a disturbed engine is tried again.
const DISTURBANCE_HALF_LIFE_S: f64 = 2.0;

/// Distance of a disturbance from one below which it counts as none.
const NO_DISTURBANCE: f64 = 0.01;

/// Largest number of prompt parts that are believed cached at one engine.
const MAX_CACHED_PARTS: usize = 256;

/// Minimum time without a first token after which an engine counts as silent.
const MIN_SILENCE: Duration = Duration::from_millis(900);

/// Time without a first token after which an engine counts as silent, in multiples of the expected
/// time.
const SILENCE_FACTOR: u32 = 3;

/// Time without an event of any running stream after which an engine counts as silent.
const RUNNING_SILENCE: Duration = Duration::from_millis(1_000);

/// A prompt that was sent and whose first token has not arrived.
#[derive(Debug, Clone, Copy)]
struct PendingPrefill {
    ticket: u64,
    tokens: u32,
    sent_at: Timestamp,
    expected: Duration,
    /// The prompt tokens of this entry to prefill, those ahead included.
    own_tokens: f64,
    pause_objective: Option<Duration>,
    predicted_pause: Duration,
    /// The prompt tokens of other entries that were believed to be ahead.
    others_tokens: f64,
    batch: u32,
}

/// A stream whose first token has arrived.
#[derive(Debug, Clone, Copy)]
struct RunningStream {
    ticket: u64,
    pause_objective: Option<Duration>,
    predicted_pause: Duration,
    longest_pause: Duration,
    begun_at: Timestamp,
    expected_output: u32,
}

/// The time between two events of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventGap {
    /// The time since the stream's last event.
    pub elapsed: Duration,
    /// The number of events that arrived together after that time.
    pub events: u32,
    /// The number of requests at the engine.
    pub batch: u32,
    /// The number of pending prefills of other entries.
    pub others: u32,
}

/// Identifies a prompt from [`EngineEstimate::begin_prefill`] until its first token or its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptTicket {
    number: u64,
    expected: Duration,
}

impl PromptTicket {
    /// Returns the time that was expected until the first token.
    pub const fn expected(self) -> Duration {
        self.expected
    }
}

/// Estimate of one engine's speed, backlog and responsiveness.
#[derive(Debug, Clone)]
pub struct EngineEstimate {
    pending: SmallVec<[PendingPrefill; 8]>,
    last_ticket: u64,
    speed: SpeedLearner,
    disturbance: f64,
    disturbance_at: Timestamp,
    prefill_end_at: Timestamp,
    cached_parts: Vec<(u64, Timestamp)>,
    last_event_at: Timestamp,
    running: SmallVec<[RunningStream; 4]>,
    prompt_tokens: f64,
    pause_ratio: f64,
    output_ms: f64,
    silence_at: Option<Timestamp>,
}

impl Default for EngineEstimate {
    fn default() -> Self {
        Self {
            pending: SmallVec::new(),
            last_ticket: 0,
            speed: SpeedLearner::default(),
            disturbance: 1.0,
            disturbance_at: Timestamp::ZERO,
            prefill_end_at: Timestamp::ZERO,
            cached_parts: Vec::new(),
            last_event_at: Timestamp::ZERO,
            running: SmallVec::new(),
            prompt_tokens: START_PROMPT_TOKENS,
            pause_ratio: 1.0,
            output_ms: START_OUTPUT_MS,
            silence_at: None,
        }
    }
}

impl EngineEstimate {
    /// Returns the engine's disturbance: the factor by which it takes longer now than its lasting
    /// speed lets expect.
    pub fn disturbance(&self, now: Timestamp) -> f64 {
        let excess = self.disturbance - 1.0;
        if excess.abs() < NO_DISTURBANCE {
            return 1.0;
        }
        let age = now.since(self.disturbance_at).as_secs_f64();
        1.0 + excess * (-age / DISTURBANCE_HALF_LIFE_S).exp2()
    }

    /// Returns the lasting speed of the engine.
    pub const fn speed(&self) -> &SpeedEstimate {
        self.speed.speed()
    }

    /// Returns the learner of the engine's lasting speed.
    pub const fn learner(&self) -> &SpeedLearner {
        &self.speed
    }

    /// Returns the learner of the engine's lasting speed.
    pub const fn learner_mut(&mut self) -> &mut SpeedLearner {
        &mut self.speed
    }

    /// Learns from the time between two events of a stream.
    pub fn record_gap(&mut self, now: Timestamp, stream: PromptTicket, gap: EventGap) {
        let running = self
            .running
            .iter_mut()
            .find(|running| running.ticket == stream.number);
        if let Some(running) = running {
            running.longest_pause = running.longest_pause.max(gap.elapsed);
        }
        let backlog_tokens = if !self.pending.is_empty() || gap.others > 0 {
            // What was prefilled in the meantime was a part of the backlog.
            let prefilled = gap.elapsed.as_secs_f64() * 1_000.0 / self.prefill_ms(now);
            self.tokens_ahead(now, gap.others) + prefilled
        } else if now.since(self.prefill_end_at) + CLOCK_SLACK < gap.elapsed {
            // A prefill ended in the meantime; how much of it had been left is not known.
            1.0
        } else {
            0.0
        };
        let sample = EventSample {
            elapsed: gap.elapsed,
            events: gap.events,
            backlog_tokens,
            batch: gap.batch,
        };
        self.speed.record_events(now, sample);
    }

    /// Returns the time to prefill one token now, in milliseconds.
    fn prefill_ms(&self, now: Timestamp) -> f64 {
        self.speed().prefill.value * self.disturbance(now)
    }

    /// Returns whether the engine has sent nothing for much longer than expected, though a first
    /// token or further events are outstanding. Events of other streams show that the engine is
    /// alive.
    pub fn is_silent(&self, now: Timestamp) -> bool {
        let overdue = self.pending.iter().any(|prompt| {
            let limit = (prompt.expected * SILENCE_FACTOR).max(MIN_SILENCE);
            now.since(prompt.sent_at.max(self.last_event_at)) > limit
        });
        let was_silent = self
            .silence_at
            .is_some_and(|at| self.pending.iter().any(|prompt| prompt.sent_at <= at));
        overdue
            || was_silent
            || (!self.running.is_empty() && now.since(self.last_event_at) > RUNNING_SILENCE)
    }

    /// Returns whether an event of some stream arrived within the last `time`.
    pub fn had_event_within(&self, now: Timestamp, time: Duration) -> bool {
        now.since(self.last_event_at) <= time
    }

    /// Returns whether a first token or further events of a stream are outstanding.
    pub fn has_outstanding(&self) -> bool {
        !self.running.is_empty() || !self.pending.is_empty()
    }

    /// Records that an event of some stream arrived.
    pub const fn record_event(&mut self, now: Timestamp) {
        self.last_event_at = now;
        self.silence_at = None;
    }

    /// Records that a call is retried elsewhere because the engine is silent. Until the next event,
    /// the engine then counts as silent while a prompt that was sent before is pending, so that the
    /// call of that prompt does not wait for the full time again.
    pub const fn record_silence(&mut self, now: Timestamp) {
        self.silence_at = Some(now);
    }

    /// Records the end of a stream whose first token had arrived.
    pub fn record_stream_end(&mut self, now: Timestamp, stream: PromptTicket) {
        let position = self
            .running
            .iter()
            .position(|running| running.ticket == stream.number);
        let Some(ended) = position.map(|position| self.running.swap_remove(position)) else {
            return;
        };
        let run_ms = now.since(ended.begun_at).as_secs_f64() * 1_000.0;
        let token_ms = run_ms / f64::from(ended.expected_output.max(1));
        self.output_ms += STREAM_WEIGHT * (token_ms - self.output_ms);
        if !ended.predicted_pause.is_zero() && !ended.longest_pause.is_zero() {
            let error = ended.longest_pause.as_secs_f64() / ended.predicted_pause.as_secs_f64();
            let change = STREAM_WEIGHT * error.ln().clamp(-1.0, 1.0);
            let (low, high) = PAUSE_RATIO_BOUNDS;
            self.pause_ratio = (self.pause_ratio * change.exp()).clamp(low, high);
        }
    }

    /// Records that a pending prompt is sent now, after it waited for its turn, with `tokens_ahead`
    /// prompt tokens before it at the engine. Returns the ticket with the time that is expected from
    /// now on.
    pub fn record_turn(
        &mut self,
        now: Timestamp,
        ticket: PromptTicket,
        tokens_ahead: u32,
    ) -> PromptTicket {
        let Some(position) = self.position(ticket) else {
            return ticket;
        };
        let prompt = self.pending[position];
        let tokens = tokens_ahead + prompt.tokens;
        let expected = self.time_to_first(now, f64::from(tokens), prompt.batch);
        let prompt = &mut self.pending[position];
        prompt.sent_at = now;
        // The agent counts what it let through, so this is known as well as an own backlog.
        prompt.own_tokens = f64::from(tokens);
        prompt.others_tokens = 0.0;
        prompt.expected = expected;
        PromptTicket { expected, ..ticket }
    }

    /// Returns the factor by which the longest pauses of this entry's streams at the engine differ from
    /// their forecasts.
    pub const fn pause_ratio(&self) -> f64 {
        self.pause_ratio
    }

    /// Returns the exposure of a stream with an expected output to pauses, from 0 to 1: a short stream
    /// ends before most prompts that would delay it arrive.
    pub fn exposure(&self, expected_output: u32) -> f64 {
        let run_ms = self.output_ms * f64::from(expected_output);
        run_ms / (run_ms + EXPOSURE_TIME_MS)
    }

    /// Sets the pause objective of the stream that begins with a pending prompt, and the longest
    /// pause that is predicted for it.
    pub fn set_pause_objective(
        &mut self,
        stream: PromptTicket,
        objective: Option<Duration>,
        predicted: Duration,
    ) {
        if let Some(position) = self.position(stream) {
            self.pending[position].pause_objective = objective;
            self.pending[position].predicted_pause = predicted;
        }
    }

    /// Returns this entry's streams with a pause objective at the engine, with those whose prompts
    /// are pending.
    pub fn load(&self) -> StreamLoad {
        let mut load = StreamLoad::default();
        let running = self
            .running
            .iter()
            .filter_map(|stream| stream.pause_objective);
        let pending = self
            .pending
            .iter()
            .filter_map(|prompt| prompt.pause_objective);
        for objective in running.chain(pending) {
            load.add(1, objective);
        }
        load
    }

    /// Returns this entry's streams with a pause objective that a further prompt would interrupt.
    pub fn streams_at_risk(&self, now: Timestamp) -> impl Iterator<Item = StreamAtRisk> {
        let backlog = self.backlog_tokens(now);
        let running = self.running.iter().filter_map(move |stream| {
            Some(StreamAtRisk {
                objective: stream.pause_objective?,
                longest: stream.longest_pause,
                tokens_after: backlog,
            })
        });
        let mut tokens_after = 0.0;
        let pending = self.pending.iter().rev().filter_map(move |prompt| {
            let after = tokens_after;
            tokens_after += f64::from(prompt.tokens);
            Some(StreamAtRisk {
                objective: prompt.pause_objective?,
                longest: Duration::ZERO,
                tokens_after: f64::min(after, backlog),
            })
        });
        running.chain(pending)
    }

    /// Returns the mean length of this entry's prompts at the engine, in tokens to prefill.
    pub const fn mean_prompt_tokens(&self) -> f64 {
        self.prompt_tokens
    }

    /// Returns the estimated number of prompt tokens that were sent and still await prefill.
    pub fn backlog_tokens(&self, now: Timestamp) -> f64 {
        if self.pending.is_empty() {
            return 0.0;
        }
        let total: f64 = self
            .pending
            .iter()
            .map(|prompt| f64::from(prompt.tokens))
            .sum();
        let oldest = self.pending.iter().map(|prompt| prompt.sent_at).min();
        let elapsed_ms = oldest.map_or(0.0, |at| now.since(at).as_secs_f64() * 1_000.0);
        let newest = self
            .pending
            .last()
            .map_or(0.0, |prompt| f64::from(prompt.tokens));
        (total - elapsed_ms / self.prefill_ms(now)).max(newest.min(total) * 0.25)
    }

    /// Returns the number of tokens of a prompt that the engine has to prefill: those beyond the
    /// leading parts that it is believed to have cached.
    pub fn prefill_tokens(&self, need: &GenerationNeed, adapter_seed: u64) -> u32 {
        let cached: u32 = prefix_keys(&need.parts, adapter_seed)
            .take_while(|(key, _)| self.cached_parts.iter().any(|(known, _)| known == key))
            .map(|(_, tokens)| tokens)
            .sum();
        need.prompt_tokens.saturating_sub(cached)
    }

    /// Returns the number of prompts that were sent and whose first token has not arrived.
    pub fn pending_prefills(&self) -> u32 {
        u32::try_from(self.pending.len()).unwrap_or(u32::MAX)
    }

    /// Returns the expected time until the first token of a generation.
    ///
    /// `tokens` is the number of prompt tokens to prefill, `batch` the number of requests at the
    /// engine, and `others` the number of pending prefills of other entries.
    pub fn first_token_time(
        &self,
        now: Timestamp,
        tokens: u32,
        batch: u32,
        others: u32,
    ) -> Duration {
        let ahead = self.tokens_ahead(now, others);
        self.time_to_first(now, ahead + f64::from(tokens), batch)
    }

    /// Returns the estimated number of prompt tokens that await prefill, with those of `others`
    /// pending prefills of other entries.
    pub fn tokens_ahead(&self, now: Timestamp, others: u32) -> f64 {
        self.backlog_tokens(now) + f64::from(others) * OTHERS_PREFILL_TOKENS
    }

    /// Returns the expected time until a first token that `tokens` prompt tokens precede.
    pub fn time_to_first(&self, now: Timestamp, tokens: f64, batch: u32) -> Duration {
        let speed = self.speed();
        let lasting_ms = speed.first_token_ms(tokens, batch);
        let disturbed_ms = (lasting_ms - speed.fixed.value) * self.disturbance(now);
        Duration::from_secs_f64((speed.fixed.value + disturbed_ms) / 1_000.0)
    }

    /// Records that a prompt is sent, and returns a ticket with the expected time until its first
    /// token.
    pub fn begin_prefill(
        &mut self,
        now: Timestamp,
        need: &GenerationNeed,
        adapter_seed: u64,
        batch: u32,
        others: u32,
    ) -> PromptTicket {
        let tokens = self.prefill_tokens(need, adapter_seed);
        let own_tokens = self.backlog_tokens(now) + f64::from(tokens);
        let others_tokens = f64::from(others) * OTHERS_PREFILL_TOKENS;
        let expected = self.time_to_first(now, own_tokens + others_tokens, batch);
        self.prompt_tokens += PROMPT_WEIGHT * (f64::from(tokens) - self.prompt_tokens);
        self.last_ticket += 1;
        self.pending.push(PendingPrefill {
            ticket: self.last_ticket,
            tokens,
            sent_at: now,
            expected,
            own_tokens,
            pause_objective: None,
            predicted_pause: Duration::ZERO,
            others_tokens,
            batch,
        });
        PromptTicket {
            number: self.last_ticket,
            expected,
        }
    }

    /// Records the first token of a prompt, learns from its time, and returns that time. Returns nothing if the prompt is not pending.
    pub fn record_first_token(
        &mut self,
        now: Timestamp,
        ticket: PromptTicket,
        need: &GenerationNeed,
        adapter_seed: u64,
    ) -> Option<Duration> {
        let position = self.position(ticket)?;
        self.record_event(now);
        let prompt = self.pending.remove(position);
        self.running.push(RunningStream {
            ticket: prompt.ticket,
            pause_objective: prompt.pause_objective,
            predicted_pause: prompt.predicted_pause,
            longest_pause: Duration::ZERO,
            begun_at: now,
            expected_output: need.expected_output(),
        });
        self.prefill_end_at = now;
        let elapsed = now.since(prompt.sent_at);
        let sample = FirstTokenSample {
            elapsed,
            own_tokens: prompt.own_tokens,
            others_tokens: prompt.others_tokens,
            batch: prompt.batch,
        };
        self.record_disturbance(now, sample);
        self.speed.record_first_token(now, sample);
        self.record_cached_parts(now, &need.parts, adapter_seed);
        Some(elapsed)
    }

    /// Updates the disturbance from the time of a first token, as a factor on the lasting speed.
    fn record_disturbance(&mut self, now: Timestamp, sample: FirstTokenSample) {
        let speed = self.speed();
        let fixed_ms = speed.fixed.value;
        let tokens = sample.own_tokens + sample.others_tokens;
        let lasting_ms = (speed.first_token_ms(tokens, sample.batch) - fixed_ms).max(10.0);
        let elapsed_ms = sample.elapsed.as_secs_f64() * 1_000.0;
        let (low, high) = DISTURBANCE_BOUNDS;
        let observed = ((elapsed_ms - fixed_ms).max(0.0) / lasting_ms).clamp(low, high);
        let known = self.disturbance(now);
        self.disturbance = known + DISTURBANCE_WEIGHT * (observed - known);
        self.disturbance_at = now;
    }

    /// Records that a prompt ended without a first token.
    pub fn abandon(&mut self, now: Timestamp, ticket: PromptTicket) {
        if let Some(position) = self.position(ticket) {
            self.pending.remove(position);
            self.prefill_end_at = now;
        }
    }

    fn position(&self, ticket: PromptTicket) -> Option<usize> {
        self.pending
            .iter()
            .position(|prompt| prompt.ticket == ticket.number)
    }

    fn record_cached_parts(&mut self, now: Timestamp, parts: &[PromptPart], adapter_seed: u64) {
        // The last part belongs to one request or session and is seldom reused.
        let shared = &parts[..parts.len().saturating_sub(1)];
        for (key, _) in prefix_keys(shared, adapter_seed) {
            match self
                .cached_parts
                .iter_mut()
                .find(|(known, _)| *known == key)
            {
                Some(known) => known.1 = now,
                None => self.cached_parts.push((key, now)),
            }
        }
        if self.cached_parts.len() > MAX_CACHED_PARTS {
            self.cached_parts
                .sort_by_key(|(_, at)| std::cmp::Reverse(*at));
            self.cached_parts.truncate(MAX_CACHED_PARTS * 3 / 4);
        }
    }
}

/// Returns, for each part, a key that identifies it together with all parts before it, and the
/// part's number of tokens.
fn prefix_keys(parts: &[PromptPart], seed: u64) -> impl Iterator<Item = (u64, u32)> {
    parts.iter().scan(seed, |key, part| {
        *key = amaranth_core::digest::hash64(*key, &part.id.0.to_le_bytes());
        Some((*key, part.tokens))
    })
}
