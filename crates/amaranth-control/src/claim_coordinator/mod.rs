//! Coordinator that runs non-idempotent calls at most once, by means of claims in the log.
//!
//! The claim with the lowest offset wins its key. Only the entry that appended the winning claim
//! dispatches it, once, to the single agent incarnation that the claim names. Other entries learn
//! the outcome from the log or from that agent. A claim is released only with proof that it never
//! runs: its own entry has not dispatched it and never will, or the agent refused or sealed it.

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

use crate::claim_event::{ClaimCall, ClaimCommand, ClaimCommands, ClaimEvent, ClaimTarget};
use crate::claim_ledger::{ClaimLedger, KeyStatus};
use crate::claim_outbox::ClaimOutbox;
use crate::claim_poller::ClaimPoller;
use crate::claim_record::{ClaimProposal, ClaimRecord};

/// Delay after which a caller should retry a call whose outcome is not known yet.
const OUTCOME_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Progress of a pending call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallPhase {
    /// The call waits until the status of its key is known or changes.
    Waiting,
    /// The target of the call is being selected.
    SelectingTarget,
    /// The claim of the call is being appended and has not been read back.
    Claiming,
    /// The call was sent to the agent under this claim.
    Dispatched(ClaimId),
    /// The call waits for the outcome of this claim.
    Attached(ClaimId),
    /// This claim never runs; the call waits until the log shows that the key is free.
    AwaitingRelease(ClaimId),
}

/// Call that has not been answered.
#[derive(Debug, Clone)]
struct PendingCall {
    call: ClaimCall,
    phase: CallPhase,
    /// Number of claims that were made for the call.
    claim_count: u32,
    /// Error with which the last claim of the call was refused.
    refusal: Option<Error>,
}

/// Claim that this entry dispatched to its agent and that has not ended.
#[derive(Debug, Clone)]
struct RunningClaim {
    claim: ClaimId,
    proposal: ClaimProposal,
}

/// State machine that decides on the non-idempotent calls of one entry.
///
/// The entry passes events to [`ClaimCoordinator::handle`] and carries out the returned commands.
#[derive(Debug, Clone)]
pub struct ClaimCoordinator {
    ledger: ClaimLedger,
    outbox: ClaimOutbox,
    poller: ClaimPoller,
    calls: HashMap<RequestId, PendingCall>,
    /// Pending calls by idempotency key.
    by_key: HashMap<IdempotencyKey, SmallVec<[RequestId; 2]>>,
    /// Requests of this entry whose claims may still win.
    issued: HashSet<RequestId>,
    running: HashMap<RequestId, RunningClaim>,
    /// Answers whose records have not been read from the log yet.
    unrecorded: HashMap<ClaimId, ServiceAnswer>,
    caught_up: bool,
    log_reachable: bool,
}

impl ClaimCoordinator {
    /// Creates a coordinator that has read nothing and starts appends at least `append_interval`
    /// apart.
    pub fn new(append_interval: Duration) -> Self {
        Self {
            ledger: ClaimLedger::new(),
            outbox: ClaimOutbox::new(append_interval),
            poller: ClaimPoller::new(),
            calls: HashMap::new(),
            by_key: HashMap::new(),
            issued: HashSet::new(),
            running: HashMap::new(),
            unrecorded: HashMap::new(),
            caught_up: false,
            log_reachable: true,
        }
    }

    /// Returns whether the log has been read to its end once.
    pub const fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Returns whether no claim is running and no record waits to be appended.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.outbox.is_empty()
    }

    /// Returns the log offset from which to read next.
    pub const fn next_offset(&self) -> LogOffset {
        self.ledger.next_offset()
    }

    /// Returns the ledger of the claims read so far.
    pub const fn ledger(&self) -> &ClaimLedger {
        &self.ledger
    }

    /// Handles one event and returns the commands to carry out.
    pub fn handle(&mut self, now: Timestamp, event: ClaimEvent) -> ClaimCommands {
        let mut commands = ClaimCommands::new();
        match event {
            ClaimEvent::Arrived(call) => self.accept_call(now, call, &mut commands),
            ClaimEvent::Cancelled(request) => {
                self.remove(request);
            }
            ClaimEvent::TargetSelected(request, target) => {
                self.claim_key(request, target, &mut commands);
            }
            ClaimEvent::AppendEnded(outcome) => self.end_append(now, outcome, &mut commands),
            ClaimEvent::Read(page) => self.apply_page(now, page, &mut commands),
            ClaimEvent::ReadFailed => self.log_reachable = false,
            ClaimEvent::DispatchEnded(request, outcome) => {
                self.end_dispatch(now, request, outcome, &mut commands);
            }
            ClaimEvent::Settled(claim, outcome) => {
                self.record_settled(now, claim, outcome, &mut commands);
            }
            ClaimEvent::Tick => self.expire(now, &mut commands),
        }
        self.settle_due(now, &mut commands);
        commands.extend(self.outbox.start_append(now).map(ClaimCommand::Append));
        commands
    }

    fn accept_call(&mut self, now: Timestamp, call: ClaimCall, commands: &mut ClaimCommands) {
        let request = call.request;
        let requests = self.by_key.entry(call.key.clone()).or_default();
        requests.push(request);
        let pending = PendingCall {
            call,
            phase: CallPhase::Waiting,
            claim_count: 0,
            refusal: None,
        };
        self.calls.insert(request, pending);
        self.decide(now, request, commands);
    }

    /// Decides how a call proceeds, by the status of its key.
    fn decide(&mut self, now: Timestamp, request: RequestId, commands: &mut ClaimCommands) {
        let Some(pending) = self.calls.get(&request) else {
            return;
        };
        if !self.caught_up {
            return;
        }
        let (claim, proposal, answer) = match self.ledger.status(&pending.call.key) {
            None => return self.decide_free_key(request, commands),
            Some(KeyStatus::Claimed { claim, proposal }) => {
                (*claim, proposal, self.unrecorded.get(claim))
            }
            Some(KeyStatus::Done {
                claim,
                proposal,
                answer,
            }) => (*claim, proposal, Some(answer)),
        };
        if proposal.body_digest != pending.call.body_digest {
            let error = key_reused(&proposal.key);
            return self.answer(request, Err(error), commands);
        }
        if let Some(answer) = answer.cloned() {
            return self.answer(request, Ok(answer), commands);
        }
        let proposal = proposal.clone();
        self.decide_held_key(now, request, claim, proposal, commands);
    }

    /// Requests the selection of a target for a call, whose free key can then be claimed.
    fn decide_free_key(&mut self, request: RequestId, commands: &mut ClaimCommands) {
        if let Some(pending) = self.calls.get_mut(&request)
            && pending.phase == CallPhase::Waiting
        {
            pending.phase = CallPhase::SelectingTarget;
            commands.push(ClaimCommand::SelectTarget(request));
        }
    }

    /// Dispatches a call whose own claim won the key; otherwise attaches it to the winning claim.
    fn decide_held_key(
        &mut self,
        now: Timestamp,
        request: RequestId,
        claim: ClaimId,
        proposal: ClaimProposal,
        commands: &mut ClaimCommands,
    ) {
        let Some(pending) = self.calls.get_mut(&request) else {
            return;
        };
        match pending.phase {
            CallPhase::Claiming if proposal.request == request => {
                pending.phase = CallPhase::Dispatched(claim);
                self.issued.remove(&request);
                let running = RunningClaim {
                    claim,
                    proposal: proposal.clone(),
                };
                self.running.insert(request, running);
                commands.push(ClaimCommand::Dispatch(request, claim, proposal));
            }
            CallPhase::Dispatched(_) => {}
            CallPhase::AwaitingRelease(released) if released == claim => {}
            _ => {
                pending.phase = CallPhase::Attached(claim);
                self.withdraw(request);
                self.poll_agent(now, claim, proposal);
            }
        }
    }

    /// Starts polling the agent of a claim, unless this entry dispatched the claim and will receive
    /// its outcome.
    fn poll_agent(&mut self, now: Timestamp, claim: ClaimId, proposal: ClaimProposal) {
        let own = self.running.get(&proposal.request);
        if own.is_none_or(|own| own.claim != claim) {
            self.poller.start(now, claim, proposal);
        }
    }

    /// Queues a claim for the key of a call whose target was selected.
    fn claim_key(
        &mut self,
        request: RequestId,
        target: Result<ClaimTarget>,
        commands: &mut ClaimCommands,
    ) {
        let Some(pending) = self.calls.get_mut(&request) else {
            return;
        };
        if pending.phase != CallPhase::SelectingTarget {
            return;
        }
        let target = match target {
            Ok(target) => target,
            Err(error) => return self.answer(request, Err(error), commands),
        };
        pending.phase = CallPhase::Claiming;
        pending.claim_count += 1;
        self.issued.insert(request);
        self.outbox.push(ClaimRecord::Claim(ClaimProposal {
            key: pending.call.key.clone(),
            body_digest: pending.call.body_digest,
            request,
            agent: target.agent,
            agent_incarnation: target.incarnation,
            endpoint: target.endpoint,
        }));
    }

    /// Returns the pending calls that wait for the outcome of `claim`.
    fn attached_to(&self, key: &IdempotencyKey, claim: ClaimId) -> SmallVec<[RequestId; 2]> {
        let requests = self.by_key.get(key).into_iter().flatten().copied();
        requests
            .filter(|request| {
                let pending = self.calls.get(request);
                pending.is_some_and(|pending| pending.phase == CallPhase::Attached(claim))
            })
            .collect()
    }

    fn answer(
        &mut self,
        request: RequestId,
        answer: Result<ServiceAnswer>,
        commands: &mut ClaimCommands,
    ) {
        if self.remove(request) {
            commands.push(ClaimCommand::Answer(request, answer));
        }
    }

    /// Removes a call and returns whether it was pending.
    ///
    /// The claim of a removed call is still completed: a claim that may still win is released when
    /// it wins, and the outcome of a running claim is recorded when it ends.
    fn remove(&mut self, request: RequestId) -> bool {
        let Some(pending) = self.calls.remove(&request) else {
            return false;
        };
        self.withdraw(request);
        if let Some(requests) = self.by_key.get_mut(&pending.call.key) {
            requests.retain(|other| *other != request);
            if requests.is_empty() {
                self.by_key.remove(&pending.call.key);
            }
        }
        true
    }

    /// Withdraws the claim of a request if its append has not started.
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

/// Returns whether `claim` holds `key` and has no outcome recorded in the log.
fn is_open(ledger: &ClaimLedger, key: &IdempotencyKey, claim: ClaimId) -> bool {
    matches!(
        ledger.status(key),
        Some(KeyStatus::Claimed { claim: held, .. }) if *held == claim
    )
}
