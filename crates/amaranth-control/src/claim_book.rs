//! What one life of an agent knows of the claims that were sent to it.
//!
//! The book runs a claim at most once. It forgets outcomes after a while; from then on it can't
//! tell a claim that it forgot from one that never came, so it neither runs nor seals any claim
//! that is not newer than the newest forgotten one.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use amaranth_core::errors::{Error, ErrorKind, Result, RunState};
use amaranth_core::ids::ClaimId;
use amaranth_core::request::ServiceAnswer;
use amaranth_core::time::Timestamp;
use serde::{Deserialize, Serialize};

/// What an agent knows of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimStanding {
    /// It did not run, and never will: the agent refuses it from here on.
    Sealed,
    /// It runs.
    Running,
    /// It ended with this answer.
    Done(ServiceAnswer),
    /// It may have run: its answer was lost, or the agent has forgotten it.
    Unknown,
}

/// What to do with a claim that was sent to the agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginVerdict {
    /// It came for the first time: run it.
    Run,
    /// It runs already: wait for its outcome.
    Attach,
    /// It ended, or it never runs.
    Ended(Result<ServiceAnswer>),
}

#[derive(Debug, Clone)]
enum BookedClaim {
    Running,
    Ended(Result<ServiceAnswer>),
    Sealed,
}

/// The claims of one life of an agent.
#[derive(Debug, Clone)]
pub struct ClaimBook {
    window: Duration,
    claims: BTreeMap<ClaimId, BookedClaim>,
    ended: VecDeque<(Timestamp, ClaimId)>,
    forgotten: Option<ClaimId>,
}

impl ClaimBook {
    /// Opens an empty book that remembers outcomes for `window`.
    pub const fn open(window: Duration) -> Self {
        Self {
            window,
            claims: BTreeMap::new(),
            ended: VecDeque::new(),
            forgotten: None,
        }
    }

    /// Returns the number of claims that run.
    pub fn running(&self) -> usize {
        self.claims.len() - self.ended.len()
    }

    /// Returns whether a claim came before, or may have come and be forgotten.
    pub fn knows(&self, claim: ClaimId) -> bool {
        self.claims.contains_key(&claim) || self.may_be_forgotten(claim)
    }

    /// Takes a claim that was sent to the agent.
    pub fn begin(&mut self, now: Timestamp, claim: ClaimId) -> BeginVerdict {
        self.forget_older(now);
        match self.claims.get(&claim) {
            Some(BookedClaim::Running) => BeginVerdict::Attach,
            Some(BookedClaim::Ended(result)) => BeginVerdict::Ended(result.clone()),
            Some(BookedClaim::Sealed) => BeginVerdict::Ended(Err(sealed(claim))),
            None if self.may_be_forgotten(claim) => BeginVerdict::Ended(Err(forgotten(claim))),
            None => {
                self.claims.insert(claim, BookedClaim::Running);
                BeginVerdict::Run
            }
        }
    }

    /// Takes the outcome of a claim that runs.
    pub fn end(&mut self, now: Timestamp, claim: ClaimId, result: Result<ServiceAnswer>) {
        if let Some(booked @ BookedClaim::Running) = self.claims.get_mut(&claim) {
            *booked = BookedClaim::Ended(result);
            self.ended.push_back((now, claim));
        }
    }

    /// Returns what became of a claim, and seals it if it never came.
    pub fn settle(&mut self, now: Timestamp, claim: ClaimId) -> ClaimStanding {
        self.forget_older(now);
        match self.claims.get(&claim) {
            Some(BookedClaim::Running) => ClaimStanding::Running,
            Some(BookedClaim::Sealed) => ClaimStanding::Sealed,
            Some(BookedClaim::Ended(Ok(answer))) => ClaimStanding::Done(answer.clone()),
            Some(BookedClaim::Ended(Err(error))) if is_not_run(error) => ClaimStanding::Sealed,
            Some(BookedClaim::Ended(Err(_))) => ClaimStanding::Unknown,
            None if self.may_be_forgotten(claim) => ClaimStanding::Unknown,
            None => {
                self.claims.insert(claim, BookedClaim::Sealed);
                self.ended.push_back((now, claim));
                ClaimStanding::Sealed
            }
        }
    }

    fn may_be_forgotten(&self, claim: ClaimId) -> bool {
        self.forgotten.is_some_and(|forgotten| claim <= forgotten)
    }

    fn forget_older(&mut self, now: Timestamp) {
        while let Some((ended, claim)) = self.ended.front()
            && now.since(*ended) > self.window
        {
            self.claims.remove(claim);
            self.forgotten = self.forgotten.max(Some(*claim));
            self.ended.pop_front();
        }
    }
}

fn is_not_run(error: &Error) -> bool {
    error.kind.answer().run == RunState::NotRun
}

fn sealed(claim: ClaimId) -> Error {
    Error::new(
        ErrorKind::Fenced,
        format!("claim {claim} is sealed and never runs"),
    )
}

fn forgotten(claim: ClaimId) -> Error {
    Error::new(
        ErrorKind::OutcomeUnknown,
        format!("claim {claim} is too old for this agent to know whether it ran"),
    )
}
