//! Runs non-idempotent calls at most once, by claims on the log.
//!
//! The first claim for a key by offset wins. Only the entry whose claim won dispatches it, once,
//! to the one agent incarnation that the claim names. Everyone else learns the outcome from the
//! log or from that agent. A claim is released only with proof that it never runs: its own entry
//! has not dispatched it and never will, or the agent refused or sealed it.

mod deadlines;
mod log_events;
mod outcomes;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use amaranth_core::errors::{Error, ErrorKind, Result};
use amaranth_core::ids::{ClaimId, IdempotencyKey, LogOffset, RequestId};
use amaranth_core::request::ServiceAnswer;
use amaranth_core::time::Timestamp;
use smallvec::SmallVec;

use crate::claim_call::{ClaimCall, ClaimPlace, DeskCommand, DeskCommands, DeskEvent};
use crate::claim_ledger::{ClaimLedger, KeyStanding};
use crate::claim_outbox::ClaimOutbox;
use crate::claim_record::{ClaimRecord, ClaimWish};
use crate::claim_watch::ClaimWatches;

/// When a caller should ask again for an outcome that is not known yet.
const ASK_AGAIN: Duration = Duration::from_secs(2);

/// How far a call is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallPhase {
    /// It waits until the standing of its key is known or changes.
    Waiting,
    /// Its place is being chosen.
    Placing,
    /// Its claim is on the way to the log and back.
    Claiming,
    /// It was sent to the agent for this claim.
    Dispatched(ClaimId),
    /// It waits for the outcome of this claim.
    Attached(ClaimId),
    /// This claim never runs; the call waits until the log shows that the key is free.
    Freed(ClaimId),
}

#[derive(Debug, Clone)]
struct DeskCall {
    call: ClaimCall,
    phase: CallPhase,
    claims: u32,
    /// Why the last claim of the call did not run.
    refusal: Option<Error>,
}

/// A claim that was sent to its agent by this entry and has not ended.
#[derive(Debug, Clone)]
struct RunningClaim {
    claim: ClaimId,
    wish: ClaimWish,
}

/// Decides for one entry. Its commands are carried out by the entry.
#[derive(Debug, Clone)]
pub struct ClaimDesk {
    ledger: ClaimLedger,
    outbox: ClaimOutbox,
    watches: ClaimWatches,
    calls: HashMap<RequestId, DeskCall>,
    by_key: HashMap<IdempotencyKey, SmallVec<[RequestId; 2]>>,
    /// Requests of this entry whose claim may still win.
    issued: HashSet<RequestId>,
    running: HashMap<RequestId, RunningClaim>,
    /// Outcomes that the log does not show yet.
    unrecorded: HashMap<ClaimId, ServiceAnswer>,
    caught_up: bool,
    log_reachable: bool,
}

impl ClaimDesk {
    /// Opens a desk that has read nothing. Its appends start at least `append_interval` apart.
    pub fn open(append_interval: Duration) -> Self {
        Self {
            ledger: ClaimLedger::open(),
            outbox: ClaimOutbox::open(append_interval),
            watches: ClaimWatches::open(),
            calls: HashMap::new(),
            by_key: HashMap::new(),
            issued: HashSet::new(),
            running: HashMap::new(),
            unrecorded: HashMap::new(),
            caught_up: false,
            log_reachable: true,
        }
    }

    /// Returns whether the desk has read the log to its end once.
    pub const fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Returns whether no claim runs and nothing waits to be appended.
    pub fn is_settled(&self) -> bool {
        self.running.is_empty() && self.outbox.is_empty()
    }

    /// Returns the offset to read from.
    pub const fn next_offset(&self) -> LogOffset {
        self.ledger.next_offset()
    }

    /// Returns the ledger.
    pub const fn ledger(&self) -> &ClaimLedger {
        &self.ledger
    }

    /// Takes one event and returns what to do about it.
    pub fn handle(&mut self, now: Timestamp, event: DeskEvent) -> DeskCommands {
        let mut commands = DeskCommands::new();
        match event {
            DeskEvent::Arrived(call) => self.arrive(now, call, &mut commands),
            DeskEvent::Left(request) => {
                self.remove(request);
            }
            DeskEvent::Placed(request, place) => self.place(request, place, &mut commands),
            DeskEvent::AppendEnded(outcome) => self.end_append(now, outcome, &mut commands),
            DeskEvent::Read(page) => self.read(now, page, &mut commands),
            DeskEvent::ReadFailed => self.log_reachable = false,
            DeskEvent::DispatchEnded(request, outcome) => {
                self.end_dispatch(now, request, outcome, &mut commands);
            }
            DeskEvent::Settled(claim, outcome) => self.settle(now, claim, outcome, &mut commands),
            DeskEvent::Tick => self.expire(now, &mut commands),
        }
        self.ask_agents(now, &mut commands);
        commands.extend(self.outbox.start_append(now).map(DeskCommand::Append));
        commands
    }

    fn arrive(&mut self, now: Timestamp, call: ClaimCall, commands: &mut DeskCommands) {
        let request = call.request;
        let waiting = self.by_key.entry(call.key.clone()).or_default();
        waiting.push(request);
        let waiting_call = DeskCall {
            call,
            phase: CallPhase::Waiting,
            claims: 0,
            refusal: None,
        };
        self.calls.insert(request, waiting_call);
        self.rule(now, request, commands);
    }

    /// Decides on a call by the standing of its key.
    fn rule(&mut self, now: Timestamp, request: RequestId, commands: &mut DeskCommands) {
        let Some(waiting) = self.calls.get(&request) else {
            return;
        };
        if !self.caught_up {
            return;
        }
        let (claim, wish, answer) = match self.ledger.standing(&waiting.call.key) {
            None => return self.rule_free(request, commands),
            Some(KeyStanding::Claimed { claim, wish }) => {
                (*claim, wish, self.unrecorded.get(claim))
            }
            Some(KeyStanding::Done {
                claim,
                wish,
                answer,
            }) => (*claim, wish, Some(answer)),
        };
        if wish.body_digest != waiting.call.body_digest {
            let error = key_reused(&wish.key);
            return self.answer(request, Err(error), commands);
        }
        if let Some(answer) = answer.cloned() {
            return self.answer(request, Ok(answer), commands);
        }
        let wish = wish.clone();
        self.rule_held(now, request, claim, wish, commands);
    }

    /// A free key is claimed, once the place of the call is known.
    fn rule_free(&mut self, request: RequestId, commands: &mut DeskCommands) {
        if let Some(waiting) = self.calls.get_mut(&request)
            && waiting.phase == CallPhase::Waiting
        {
            waiting.phase = CallPhase::Placing;
            commands.push(DeskCommand::Place(request));
        }
    }

    /// A key that the call's own claim won is dispatched; any other outcome is waited for.
    fn rule_held(
        &mut self,
        now: Timestamp,
        request: RequestId,
        claim: ClaimId,
        wish: ClaimWish,
        commands: &mut DeskCommands,
    ) {
        let Some(waiting) = self.calls.get_mut(&request) else {
            return;
        };
        match waiting.phase {
            CallPhase::Claiming if wish.request == request => {
                waiting.phase = CallPhase::Dispatched(claim);
                self.issued.remove(&request);
                let running = RunningClaim {
                    claim,
                    wish: wish.clone(),
                };
                self.running.insert(request, running);
                commands.push(DeskCommand::Dispatch(request, claim, wish));
            }
            CallPhase::Dispatched(_) => {}
            CallPhase::Freed(freed) if freed == claim => {}
            _ => {
                waiting.phase = CallPhase::Attached(claim);
                self.withdraw(request);
                self.watch(now, claim, wish);
            }
        }
    }

    /// Has the agent of a claim asked, unless this entry sent the claim and will be told.
    fn watch(&mut self, now: Timestamp, claim: ClaimId, wish: ClaimWish) {
        let own = self.running.get(&wish.request);
        if own.is_none_or(|own| own.claim != claim) {
            self.watches.start(now, claim, wish);
        }
    }

    fn place(
        &mut self,
        request: RequestId,
        place: Result<ClaimPlace>,
        commands: &mut DeskCommands,
    ) {
        let Some(waiting) = self.calls.get_mut(&request) else {
            return;
        };
        if waiting.phase != CallPhase::Placing {
            return;
        }
        let place = match place {
            Ok(place) => place,
            Err(error) => return self.answer(request, Err(error), commands),
        };
        waiting.phase = CallPhase::Claiming;
        waiting.claims += 1;
        self.issued.insert(request);
        self.outbox.push(ClaimRecord::Claim(ClaimWish {
            key: waiting.call.key.clone(),
            body_digest: waiting.call.body_digest,
            request,
            agent: place.agent,
            agent_incarnation: place.incarnation,
            endpoint: place.endpoint,
        }));
    }

    fn attached_to(&self, key: &IdempotencyKey, claim: ClaimId) -> SmallVec<[RequestId; 2]> {
        let requests = self.by_key.get(key).into_iter().flatten().copied();
        requests
            .filter(|request| {
                let waiting = self.calls.get(request);
                waiting.is_some_and(|waiting| waiting.phase == CallPhase::Attached(claim))
            })
            .collect()
    }

    fn answer(
        &mut self,
        request: RequestId,
        answer: Result<ServiceAnswer>,
        commands: &mut DeskCommands,
    ) {
        if self.remove(request) {
            commands.push(DeskCommand::Answer(request, answer));
        }
    }

    /// Forgets a call. What it set going is finished without it: a claim that may still win is
    /// released when it does, and a claim that runs is recorded when it ends.
    fn remove(&mut self, request: RequestId) -> bool {
        let Some(waiting) = self.calls.remove(&request) else {
            return false;
        };
        self.withdraw(request);
        if let Some(requests) = self.by_key.get_mut(&waiting.call.key) {
            requests.retain(|other| *other != request);
            if requests.is_empty() {
                self.by_key.remove(&waiting.call.key);
            }
        }
        true
    }

    /// Takes a claim back that was not sent to the log yet.
    fn withdraw(&mut self, request: RequestId) {
        if self.outbox.withdraw_claim(request) {
            self.issued.remove(&request);
        }
    }
}

fn key_reused(key: &IdempotencyKey) -> Error {
    Error::new(
        ErrorKind::KeyReused,
        format!("key {key} was used with another request"),
    )
}

/// Returns whether the log shows that `claim` holds `key` and no outcome.
fn is_open(ledger: &ClaimLedger, key: &IdempotencyKey, claim: ClaimId) -> bool {
    matches!(
        ledger.standing(key),
        Some(KeyStanding::Claimed { claim: held, .. }) if *held == claim
    )
}
