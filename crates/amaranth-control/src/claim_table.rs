//! Table of the claims that were sent to one incarnation of an agent.
//!
//! The table lets each claim run at most once. Outcomes are evicted after a retention window. From
//! then on an evicted claim can't be distinguished from one that never arrived, so no claim is run
//! or sealed unless it is newer than the newest evicted one.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use amaranth_core::errors::{Error, ErrorKind, Result, RunState};
use amaranth_core::ids::ClaimId;
use amaranth_core::request::ServiceAnswer;
use amaranth_core::time::Timestamp;
use serde::{Deserialize, Serialize};

/// Status of a claim at its agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimStatus {
    /// The claim did not run and never will: the agent refuses it from now on.
    Sealed,
    /// The claim is running.
    Running,
    /// The claim ended with this answer.
    Done(ServiceAnswer),
    /// The claim may have run: its answer was lost, or the agent has evicted its outcome.
    Unknown,
}

/// The action of an agent on a claim that was sent to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginOutcome {
    /// Runs the claim, which arrived for the first time.
    Run,
    /// Waits for the outcome of the claim, which is running already.
    Attach,
    /// Replies with this result: the claim ended or never runs.
    Ended(Result<ServiceAnswer>),
}

/// State of one claim in the table.
#[derive(Debug, Clone)]
enum ClaimState {
    Running,
    Ended(Result<ServiceAnswer>),
    Sealed,
}

/// Claims that were sent to one incarnation of an agent, with their outcomes.
#[derive(Debug, Clone)]
pub struct ClaimTable {
    /// Time for which outcomes are retained.
    window: Duration,
    claims: BTreeMap<ClaimId, ClaimState>,
    /// Claims that ended or were sealed, with the time at which they did, oldest first.
    ended: VecDeque<(Timestamp, ClaimId)>,
    /// Newest claim whose outcome was evicted.
    newest_evicted: Option<ClaimId>,
}

impl ClaimTable {
    /// Creates an empty table that retains outcomes for `window`.
    pub const fn new(window: Duration) -> Self {
        Self {
            window,
            claims: BTreeMap::new(),
            ended: VecDeque::new(),
            newest_evicted: None,
        }
    }

    /// Returns the number of running claims.
    pub fn running(&self) -> usize {
        self.claims.len() - self.ended.len()
    }

    /// Returns whether a claim arrived before, or may have arrived and been evicted.
    pub fn may_have_seen(&self, claim: ClaimId) -> bool {
        self.claims.contains_key(&claim) || self.may_be_evicted(claim)
    }

    /// Registers a claim that was sent to the agent and returns what to do with it.
    pub fn begin(&mut self, now: Timestamp, claim: ClaimId) -> BeginOutcome {
        self.evict_expired(now);
        match self.claims.get(&claim) {
            Some(ClaimState::Running) => BeginOutcome::Attach,
            Some(ClaimState::Ended(result)) => BeginOutcome::Ended(result.clone()),
            Some(ClaimState::Sealed) => BeginOutcome::Ended(Err(sealed_error(claim))),
            None if self.may_be_evicted(claim) => BeginOutcome::Ended(Err(evicted_error(claim))),
            None => {
                self.claims.insert(claim, ClaimState::Running);
                BeginOutcome::Run
            }
        }
    }

    /// Records the result of a running claim.
    pub fn end(&mut self, now: Timestamp, claim: ClaimId, result: Result<ServiceAnswer>) {
        if let Some(state @ ClaimState::Running) = self.claims.get_mut(&claim) {
            *state = ClaimState::Ended(result);
            self.ended.push_back((now, claim));
        }
    }

    /// Returns the status of a claim, and seals the claim if it never arrived.
    pub fn settle(&mut self, now: Timestamp, claim: ClaimId) -> ClaimStatus {
        self.evict_expired(now);
        match self.claims.get(&claim) {
            Some(ClaimState::Running) => ClaimStatus::Running,
            Some(ClaimState::Sealed) => ClaimStatus::Sealed,
            Some(ClaimState::Ended(Ok(answer))) => ClaimStatus::Done(answer.clone()),
            Some(ClaimState::Ended(Err(error))) if is_not_run(error) => ClaimStatus::Sealed,
            Some(ClaimState::Ended(Err(_))) => ClaimStatus::Unknown,
            None if self.may_be_evicted(claim) => ClaimStatus::Unknown,
            None => {
                self.claims.insert(claim, ClaimState::Sealed);
                self.ended.push_back((now, claim));
                ClaimStatus::Sealed
            }
        }
    }

    fn may_be_evicted(&self, claim: ClaimId) -> bool {
        self.newest_evicted.is_some_and(|evicted| claim <= evicted)
    }

    fn evict_expired(&mut self, now: Timestamp) {
        while let Some((ended, claim)) = self.ended.front()
            && now.since(*ended) > self.window
        {
            self.claims.remove(claim);
            self.newest_evicted = self.newest_evicted.max(Some(*claim));
            self.ended.pop_front();
        }
    }
}

fn is_not_run(error: &Error) -> bool {
    error.kind.answer().run == RunState::NotRun
}

fn sealed_error(claim: ClaimId) -> Error {
    Error::new(
        ErrorKind::Fenced,
        format!("claim {claim} is sealed and will not run"),
    )
}

fn evicted_error(claim: ClaimId) -> Error {
    Error::new(
        ErrorKind::OutcomeUnknown,
        format!("claim {claim} is too old: this agent has evicted its outcome"),
    )
}
