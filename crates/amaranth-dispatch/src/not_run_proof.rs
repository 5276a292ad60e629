//! Evidence that an endpoint did not run a call.
//!
//! A call that may not be repeated is sent again, and its caller is told that it did not run, only because of
//! such evidence. [`NotRunProof`] is made in this module only, from a send that never left the entry or from
//! an answer that can belong to no other send.

use std::fmt;

use strum::Display;

/// The call that the head of an answer names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum NamedCall {
    /// The call that was sent.
    Sent,
    /// Another call.
    Other,
    /// No call.
    Missing,
}

/// What an endpoint's answer to a call says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerFacts {
    /// The HTTP status.
    pub status: u16,
    /// Whether the head states that the endpoint did not run the call.
    pub states_not_run: bool,
    /// Whether the answer carries the authentication code of a run.
    pub is_authenticated: bool,
    /// The call that the head names.
    pub named_call: NamedCall,
    /// Whether the answer was received whole.
    pub is_complete: bool,
}

impl AnswerFacts {
    /// Returns whether the endpoint claims that it did not run the call.
    pub const fn claims_not_run(&self) -> bool {
        self.states_not_run || self.status == 421
    }
}

/// The reason why an answer does not prove that a call did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum NotRunDoubt {
    /// The endpoint does not claim that it did not run the call.
    NotClaimed,
    /// The status or the authentication code is that of a run.
    Contradictory,
    /// The head names another call or none.
    NotNamed,
    /// The call was sent on the connection before, so the answer may belong to the earlier send.
    SentBefore,
    /// The answer is truncated.
    Truncated,
}

/// The way in which a call did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum NotRunReason {
    /// No byte of the call reached the endpoint.
    NotSent,
    /// The endpoint answered that it did not run the call.
    #[strum(to_string = "not-run")]
    Refused,
    /// The endpoint lacks the adapter or the version, or another endpoint answered.
    Misdirected,
}

/// Proof that an endpoint did not run a call and never will.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotRunProof {
    reason: NotRunReason,
}

impl fmt::Display for NotRunProof {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.reason.fmt(formatter)
    }
}

impl NotRunProof {
    /// Returns the way in which the call did not run.
    pub const fn reason(&self) -> NotRunReason {
        self.reason
    }
}

/// The state of a send of which nothing has left the entry.
#[derive(Debug)]
pub struct Unsent;

/// The state of a send that was handed to a connection.
#[derive(Debug)]
pub struct Handed {
    earlier_sends: usize,
}

/// One send of a call to an endpoint.
#[derive(Debug)]
#[must_use]
pub struct CallSend<State> {
    state: State,
}

impl CallSend<Unsent> {
    /// Begins a send.
    pub const fn begin() -> Self {
        Self { state: Unsent }
    }

    /// Ends the send before it left the entry.
    pub fn abandon(self) -> NotRunProof {
        NotRunProof {
            reason: NotRunReason::NotSent,
        }
    }

    /// Records that the call is handed to a connection, on which it was sent `earlier_sends` times before.
    pub const fn hand_over(self, earlier_sends: usize) -> CallSend<Handed> {
        CallSend {
            state: Handed { earlier_sends },
        }
    }
}

impl CallSend<Handed> {
    /// Ends the send with the unsent request, which the connection gave back.
    pub fn take_back<Request>(self, _unsent: Request) -> NotRunProof {
        NotRunProof {
            reason: NotRunReason::NotSent,
        }
    }

    /// Returns the proof that the call did not run, if its answer is one.
    ///
    /// # Errors
    ///
    /// Returns why the answer proves nothing: the call may have run, or run later.
    pub fn verify(self, facts: &AnswerFacts) -> Result<NotRunProof, NotRunDoubt> {
        if !facts.claims_not_run() {
            return Err(NotRunDoubt::NotClaimed);
        }
        let is_refusal = matches!(facts.status, 400 | 421 | 429 | 503);
        if !is_refusal || facts.is_authenticated {
            return Err(NotRunDoubt::Contradictory);
        }
        if facts.named_call != NamedCall::Sent {
            return Err(NotRunDoubt::NotNamed);
        }
        if self.state.earlier_sends > 0 {
            return Err(NotRunDoubt::SentBefore);
        }
        if !facts.is_complete {
            return Err(NotRunDoubt::Truncated);
        }
        let reason = if facts.status == 421 {
            NotRunReason::Misdirected
        } else {
            NotRunReason::Refused
        };
        Ok(NotRunProof { reason })
    }
}
