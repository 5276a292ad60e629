//! How soon an engine would send the first event of a generation.
//!
//! An engine reads prompts one after another, in pieces between the tokens of running requests.
//! The estimate counts the tokens that this entry sent and that are not read yet, and learns a
//! factor for each engine from what its first events took.

use std::time::Duration;

use amaranth_core::time::Timestamp;
use smallvec::SmallVec;

use crate::call::{GenerationNeed, PromptPart};

/// Prompt tokens that an engine reads in a millisecond between the tokens of running requests,
/// before its own pace is known.
const PREFILL_TOKENS_PER_MS: f64 = 14.0;

/// Time of a first event beyond the reading of prompts, in milliseconds.
const FIRST_MS: f64 = 80.0;

/// Tokens that are left to read of another entry's prompt, on average: half of a usual one.
const OTHERS_TOKENS: f64 = 1_000.0;

/// Time of one step of an idle batch, in milliseconds, before the engine's own pace is known.
const STEP_MS: f64 = 10.0;

/// Weight of the newest observation in an engine's pace.
const PACE_WEIGHT: f64 = 0.15;

/// Bounds of an engine's pace against the expected one.
const PACE_BOUNDS: (f64, f64) = (0.5, 8.0);

/// Time after which a pace is half forgotten, so that a slow engine is tried again.
const PACE_HALF_LIFE_S: f64 = 3.0;

/// Prompt parts that are remembered for each engine.
const PARTS_KEPT: usize = 256;

/// Least time without a first event after which an engine counts as silent.
const LEAST_SILENCE: Duration = Duration::from_millis(900);

/// Time without a first event after which an engine counts as silent, in multiples of the time
/// that was expected.
const SILENCE_FACTOR: u32 = 3;

/// Time without an event of any running stream after which an engine counts as silent.
const RUNNING_SILENCE: Duration = Duration::from_millis(1_000);

/// A prompt that was sent and whose first event has not come.
#[derive(Debug, Clone, Copy)]
struct UnreadPrompt {
    ticket: u64,
    tokens: u32,
    sent_at: Timestamp,
    expected: Duration,
}

/// Identifies a prompt between [`EngineEstimate::begin`] and its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptTicket {
    number: u64,
    expected: Duration,
}

impl PromptTicket {
    /// Returns the time that the first event was expected to take.
    pub const fn expected(self) -> Duration {
        self.expected
    }
}

/// What is known of one engine's speed.
#[derive(Debug, Clone)]
pub struct EngineEstimate {
    unread: SmallVec<[UnreadPrompt; 8]>,
    tickets: u64,
    pace: f64,
    pace_at: Timestamp,
    parts: Vec<(u64, Timestamp)>,
    heard_at: Timestamp,
    running: u32,
    silent_at: Option<Timestamp>,
}

impl Default for EngineEstimate {
    fn default() -> Self {
        Self {
            unread: SmallVec::new(),
            tickets: 0,
            pace: 1.0,
            pace_at: Timestamp::ZERO,
            parts: Vec::new(),
            heard_at: Timestamp::ZERO,
            running: 0,
            silent_at: None,
        }
    }
}

impl EngineEstimate {
    /// Returns the engine's pace: how many times longer than usual it takes.
    pub fn pace(&self, now: Timestamp) -> f64 {
        let age = now.since(self.pace_at).as_secs_f64();
        1.0 + (self.pace - 1.0) * (-age / PACE_HALF_LIFE_S).exp2()
    }

    /// Returns whether the engine has sent nothing for much longer than was expected, though it
    /// owes a first event or runs a stream. Events of other streams show that it is alive.
    pub fn is_silent(&self, now: Timestamp) -> bool {
        let owes = self.unread.iter().any(|prompt| {
            let limit = (prompt.expected * SILENCE_FACTOR).max(LEAST_SILENCE);
            now.since(prompt.sent_at.max(self.heard_at)) > limit
        });
        let was_silent = self
            .silent_at
            .is_some_and(|at| self.unread.iter().any(|prompt| prompt.sent_at <= at));
        owes || was_silent || (self.running > 0 && now.since(self.heard_at) > RUNNING_SILENCE)
    }

    /// Returns whether an event of some stream came within a time.
    pub fn was_heard_within(&self, now: Timestamp, time: Duration) -> bool {
        now.since(self.heard_at) <= time
    }

    /// Returns whether the engine owes a first event or runs a stream.
    pub fn owes(&self) -> bool {
        self.running > 0 || !self.unread.is_empty()
    }

    /// Notes that an event of some stream came.
    pub const fn heard(&mut self, now: Timestamp) {
        self.heard_at = now;
        self.silent_at = None;
    }

    /// Notes that a call left the engine for its silence. What was sent until then does not wait
    /// for as long again when the calls that showed the silence are gone.
    pub const fn note_silent(&mut self, now: Timestamp) {
        self.silent_at = Some(now);
    }

    /// Notes that a stream whose first event came has ended.
    pub const fn stream_ended(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Returns the tokens that were sent and, by the pace of reading, are not read yet.
    pub fn backlog_tokens(&self, now: Timestamp) -> f64 {
        let total: f64 = self
            .unread
            .iter()
            .map(|prompt| f64::from(prompt.tokens))
            .sum();
        let oldest = self.unread.iter().map(|prompt| prompt.sent_at).min();
        let waited = oldest.map_or(0.0, |at| now.since(at).as_secs_f64() * 1_000.0);
        let newest = self
            .unread
            .last()
            .map_or(0.0, |prompt| f64::from(prompt.tokens));
        (total - waited * PREFILL_TOKENS_PER_MS / self.pace(now)).max(newest.min(total) * 0.25)
    }

    /// Returns the tokens of a prompt that the engine has to read.
    pub fn unread_tokens(&self, need: &GenerationNeed, adapter_seed: u64) -> u32 {
        let kept: u32 = chain(&need.parts, adapter_seed)
            .take_while(|(key, _)| self.parts.iter().any(|(known, _)| known == key))
            .map(|(_, tokens)| tokens)
            .sum();
        need.prompt_tokens.saturating_sub(kept)
    }

    /// Returns the prompts that were sent and whose first event has not come.
    pub fn unread_prompts(&self) -> u32 {
        u32::try_from(self.unread.len()).unwrap_or(u32::MAX)
    }

    /// Returns how long the first event of a generation would take.
    ///
    /// `others` is the number of prompts of other entries that the engine has not read.
    pub fn first_event(&self, now: Timestamp, tokens: u32, batch: u32, others: u32) -> Duration {
        let ahead = self.backlog_tokens(now) + f64::from(others) * OTHERS_TOKENS;
        let prefill = (ahead + f64::from(tokens)) / PREFILL_TOKENS_PER_MS;
        let steps = 2.0 * (STEP_MS + 0.03 * f64::from(batch));
        Duration::from_secs_f64((FIRST_MS + (prefill + steps) * self.pace(now)) / 1_000.0)
    }

    /// Notes that a prompt is sent.
    pub fn begin(
        &mut self,
        now: Timestamp,
        need: &GenerationNeed,
        adapter_seed: u64,
        batch: u32,
        others: u32,
    ) -> PromptTicket {
        let tokens = self.unread_tokens(need, adapter_seed);
        let expected = self.first_event(now, tokens, batch, others);
        self.tickets += 1;
        self.unread.push(UnreadPrompt {
            ticket: self.tickets,
            tokens,
            sent_at: now,
            expected,
        });
        PromptTicket {
            number: self.tickets,
            expected,
        }
    }

    /// Notes the first event of a prompt, from which the pace is learned, and returns the time
    /// that it took.
    pub fn first_event_came(
        &mut self,
        now: Timestamp,
        ticket: PromptTicket,
        need: &GenerationNeed,
        adapter_seed: u64,
    ) -> Option<Duration> {
        let position = self.position(ticket)?;
        self.heard(now);
        self.running += 1;
        let elapsed = now.since(self.unread[position].sent_at);
        let took = elapsed.as_secs_f64();
        self.unread.remove(position);
        let pace = self.pace(now);
        let base = FIRST_MS / 1_000.0;
        let expected = (ticket.expected.as_secs_f64() - base).max(0.01);
        let seen = ((took - base).max(0.0) / expected * pace).clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
        self.pace = pace + PACE_WEIGHT * (seen - pace);
        self.pace_at = now;
        self.keep_parts(now, &need.parts, adapter_seed);
        Some(elapsed)
    }

    /// Notes that a prompt ended without a first event.
    pub fn abandon(&mut self, ticket: PromptTicket) {
        if let Some(position) = self.position(ticket) {
            self.unread.remove(position);
        }
    }

    fn position(&self, ticket: PromptTicket) -> Option<usize> {
        self.unread
            .iter()
            .position(|prompt| prompt.ticket == ticket.number)
    }

    fn keep_parts(&mut self, now: Timestamp, parts: &[PromptPart], adapter_seed: u64) {
        // The last part belongs to one request or session and is seldom asked for again.
        let shared = &parts[..parts.len().saturating_sub(1)];
        for (key, _) in chain(shared, adapter_seed) {
            match self.parts.iter_mut().find(|(known, _)| *known == key) {
                Some(known) => known.1 = now,
                None => self.parts.push((key, now)),
            }
        }
        if self.parts.len() > PARTS_KEPT {
            self.parts.sort_by_key(|(_, at)| std::cmp::Reverse(*at));
            self.parts.truncate(PARTS_KEPT * 3 / 4);
        }
    }
}

/// Returns a key for each part that names it and all parts before it, and the part's tokens.
fn chain(parts: &[PromptPart], seed: u64) -> impl Iterator<Item = (u64, u32)> {
    parts.iter().scan(seed, |key, part| {
        *key = amaranth_core::digest::hash64(*key, &part.id.to_le_bytes());
        Some((*key, part.tokens))
    })
}
