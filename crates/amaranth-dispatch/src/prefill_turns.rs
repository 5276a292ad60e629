//! Turns of prompts at one engine, which its agent gives to entries that never talk to each other.
//!
//! The prefill of several prompts in a row delays the streams of the batch by the sum. The agent
//! therefore lets prompts go to the engine only while those that were sent and have no first token
//! take less than a part of the pause objective, or none is there. The entry ends a turn with the
//! first event of its stream; the events of the others come in between.

use std::collections::VecDeque;
use std::time::Duration;

use amaranth_core::ids::EndpointId;
use amaranth_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::engine_speed::SpeedEstimate;

/// Part of the pause objective that the prefill of prompts in flight may take. A stream that misses
/// its objective gets the prefills of several steps in one event, and steps of an engine with noise
/// take 2.5 times as long.
const IN_FLIGHT_SHARE: f64 = 0.25;

/// Part of the waiting prompt tokens that may be in flight beyond that. Turns take a few percent of
/// the engine's capacity; an engine that is short of it has fewer of them the more prompts wait.
const WAITING_SHARE: f64 = 0.25;

/// Time after which a turn ends by itself, in multiples of the time that its prefill takes: the
/// entry or the engine has failed.
const TURN_FACTOR: f64 = 4.0;

/// Time that is added to that for the way of messages and a disturbed engine.
const TURN_SLACK: Duration = Duration::from_millis(400);

/// Identifies a turn at one agent. Zero is no turn.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct TurnId(pub u64);

/// An entry's request for the turn of a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRequest {
    /// The endpoint to which the prompt is to be sent.
    pub endpoint: EndpointId,
    /// The number of prompt tokens to prefill.
    pub tokens: u32,
    /// The pause objective of the call's route.
    pub pause_objective: Duration,
    /// The rank of the call, 0 being the most urgent.
    pub priority: u8,
    /// The time after which the prompt is sent without a turn.
    pub max_wait: Duration,
}

/// The turn of a prompt. The default is a prompt that is sent without one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct TurnGrant {
    /// The turn, which the entry ends with the first event of the stream.
    pub turn: TurnId,
    /// The prompt tokens that were sent to the engine before and have no first token yet.
    pub tokens_ahead: u32,
}

#[derive(Debug, Clone, Copy)]
struct WaitingPrompt {
    turn: TurnId,
    tokens: u32,
    priority: u8,
    pause_objective: Duration,
}

#[derive(Debug, Clone, Copy)]
struct SentPrompt {
    turn: TurnId,
    tokens: u32,
    expires_at: Timestamp,
}

/// Orders the prompts that go to one engine.
#[derive(Debug, Default)]
pub struct PrefillTurns {
    waiting: VecDeque<WaitingPrompt>,
    sent: Vec<SentPrompt>,
    last_turn: u64,
}

impl PrefillTurns {
    /// Enqueues a prompt behind those of the same or a more urgent rank.
    pub fn enqueue(&mut self, request: &TurnRequest) -> TurnId {
        self.last_turn += 1;
        let turn = TurnId(self.last_turn);
        let position = self
            .waiting
            .iter()
            .position(|other| other.priority > request.priority)
            .unwrap_or(self.waiting.len());
        let prompt = WaitingPrompt {
            turn,
            tokens: request.tokens,
            priority: request.priority,
            pause_objective: request.pause_objective,
        };
        self.waiting.insert(position, prompt);
        turn
    }

    /// Returns the turns that begin now.
    pub fn grant(&mut self, now: Timestamp, speed: &SpeedEstimate) -> Vec<TurnGrant> {
        self.sent.retain(|prompt| prompt.expires_at > now);
        let mut granted = Vec::new();
        while let Some(next) = self.waiting.front().copied() {
            let objective_ms = next.pause_objective.as_secs_f64() * 1_000.0;
            let limit = objective_ms * IN_FLIGHT_SHARE / speed.prefill.value
                + f64::from(self.waiting_tokens()) * WAITING_SHARE;
            let tokens_ahead = self.tokens_in_flight();
            if tokens_ahead > 0 && f64::from(tokens_ahead + next.tokens) > limit {
                break;
            }
            self.waiting.pop_front();
            granted.push(self.begin(now, next, speed));
        }
        granted
    }

    /// Begins the turn of a prompt that has waited for its time, if it still waits.
    pub fn force(
        &mut self,
        now: Timestamp,
        turn: TurnId,
        speed: &SpeedEstimate,
    ) -> Option<TurnGrant> {
        let position = self.waiting.iter().position(|prompt| prompt.turn == turn)?;
        let prompt = self.waiting.remove(position)?;
        Some(self.begin(now, prompt, speed))
    }

    fn begin(&mut self, now: Timestamp, prompt: WaitingPrompt, speed: &SpeedEstimate) -> TurnGrant {
        let tokens_ahead = self.tokens_in_flight();
        let tokens = f64::from(tokens_ahead + prompt.tokens);
        let prefill_ms = speed.fixed.value + tokens * speed.prefill.value;
        self.sent.push(SentPrompt {
            turn: prompt.turn,
            tokens: prompt.tokens,
            expires_at: now
                + Duration::from_secs_f64(prefill_ms * TURN_FACTOR / 1_000.0)
                + TURN_SLACK,
        });
        TurnGrant {
            turn: prompt.turn,
            tokens_ahead,
        }
    }

    /// Ends a turn, or the wait for it.
    pub fn end(&mut self, turn: TurnId) {
        self.sent.retain(|prompt| prompt.turn != turn);
        self.waiting.retain(|prompt| prompt.turn != turn);
    }

    /// Returns the time at which the next turn ends by itself, if prompts wait for it.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        let expiries = self.sent.iter().map(|prompt| prompt.expires_at);
        expiries.min().filter(|_| !self.waiting.is_empty())
    }

    /// Returns the number of prompt tokens that wait or are in flight.
    pub fn backlog_tokens(&self) -> u32 {
        self.waiting_tokens()
            .saturating_add(self.tokens_in_flight())
    }

    fn waiting_tokens(&self) -> u32 {
        self.waiting.iter().map(|prompt| prompt.tokens).sum()
    }

    fn tokens_in_flight(&self) -> u32 {
        self.sent.iter().map(|prompt| prompt.tokens).sum()
    }
}
