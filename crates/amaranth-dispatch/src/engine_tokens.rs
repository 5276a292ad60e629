//! The tokens of calls that were sent to an engine and are not in its report yet.
//!
//! An engine that gets more than its memory holds crashes, and its report is always somewhat old. A
//! call counts with its whole prompt and expected output until its first token has arrived, and then
//! until a report that was made later.

use std::time::Duration;

use amaranth_core::time::Timestamp;
use smallvec::SmallVec;

/// Time by which a report has to be later than a first token to contain its call: the token's way to
/// the entry, and the report's to the agent.
const REPORT_MARGIN: Duration = Duration::from_millis(50);

/// Fraction of the engine's free memory after which new tokens are reported to its agent at once, and by the
/// agent to other entries, so that they learn of a burst before the next exchange.
const PROMPT_REPORT_FRACTION: u64 = 16;

/// Age up to which an entry's report counts although the engine has reported since: calls that it names
/// may still wait at the engine.
pub const REPORTED_TOKENS_TIME: Duration = Duration::from_millis(500);

/// Identifies a call from [`SentTokens::begin`] until its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentTicket(u64);

#[derive(Debug, Clone, Copy)]
struct SentCall {
    ticket: SentTicket,
    tokens: u64,
    first_token_at: Option<Timestamp>,
}

/// The tokens of an entry's calls in flight at one engine.
#[derive(Debug, Clone, Default)]
pub struct SentTokens {
    calls: SmallVec<[SentCall; 4]>,
    last_ticket: u64,
    since_report: u64,
}

impl SentTokens {
    /// Records that a call is sent.
    pub fn begin(&mut self, tokens: u64) -> SentTicket {
        self.last_ticket += 1;
        self.since_report += tokens;
        let ticket = SentTicket(self.last_ticket);
        self.calls.push(SentCall {
            ticket,
            tokens,
            first_token_at: None,
        });
        ticket
    }

    /// Records the first token of a call.
    pub fn record_first_token(&mut self, now: Timestamp, ticket: SentTicket) {
        let mut calls = self.calls.iter_mut();
        if let Some(call) = calls.find(|call| call.ticket == ticket) {
            call.first_token_at = Some(now);
        }
    }

    /// Records the end of a call.
    pub fn end(&mut self, ticket: SentTicket) {
        self.calls.retain(|call| call.ticket != ticket);
    }

    /// Returns the tokens that a report made at `reported_at` does not contain.
    pub fn unreported(&self, reported_at: Timestamp) -> u64 {
        self.calls
            .iter()
            .filter(|call| {
                call.first_token_at
                    .is_none_or(|at| at + REPORT_MARGIN > reported_at)
            })
            .map(|call| call.tokens)
            .sum()
    }

    /// Returns the tokens for the report to the engine's agent, as [`Self::unreported`] does.
    pub fn take_report(&mut self, reported_at: Timestamp) -> u64 {
        self.since_report = 0;
        self.unreported(reported_at)
    }

    /// Returns whether so many tokens were sent since the last report that the agent has to learn of
    /// them now.
    pub const fn is_report_due(&self, free_tokens: u64) -> bool {
        is_noticeable(self.since_report, free_tokens)
    }
}

/// Returns whether a growth of the tokens at an engine has to be known elsewhere at once.
pub const fn is_noticeable(growth: u64, free_tokens: u64) -> bool {
    growth > 0 && growth * PROMPT_REPORT_FRACTION >= free_tokens
}
