//! Coordinator that appends claims but never checks which claim won its key.

use std::collections::HashMap;

use amaranth_control::claim_coordinator::ClaimCoordinator;
use amaranth_control::claim_event::{
    AppendOutcome, ClaimCall, ClaimCommand, ClaimCommands, ClaimEvent, DispatchOutcome,
};
use amaranth_control::claim_record::{ClaimBatch, ClaimProposal, ClaimRecord};
use amaranth_core::errors::{Error, ErrorKind};
use amaranth_core::ids::{ClaimId, LogOffset, RequestId};
use amaranth_core::time::Timestamp;

/// Coordinator that a simulation drives.
pub trait Coordinator {
    fn new() -> Self;
    fn handle(&mut self, now: Timestamp, event: ClaimEvent) -> ClaimCommands;
    fn next_offset(&self) -> LogOffset;
}

impl Coordinator for ClaimCoordinator {
    fn new() -> Self {
        ClaimCoordinator::new(std::time::Duration::from_millis(5))
    }

    fn handle(&mut self, now: Timestamp, event: ClaimEvent) -> ClaimCommands {
        ClaimCoordinator::handle(self, now, event)
    }

    fn next_offset(&self) -> LogOffset {
        ClaimCoordinator::next_offset(self)
    }
}

/// Appends each claim in its own batch, dispatches it as soon as the append succeeds, and sends a
/// call again if its answer was lost. Never looks for an earlier claim of the key.
pub struct NaiveCoordinator {
    calls: HashMap<RequestId, ClaimCall>,
    waiting: Vec<ClaimProposal>,
    appending: Option<ClaimProposal>,
}

impl Coordinator for NaiveCoordinator {
    fn new() -> Self {
        Self {
            calls: HashMap::new(),
            waiting: Vec::new(),
            appending: None,
        }
    }

    fn handle(&mut self, now: Timestamp, event: ClaimEvent) -> ClaimCommands {
        let mut commands = ClaimCommands::new();
        match event {
            ClaimEvent::Arrived(call) => {
                commands.push(ClaimCommand::SelectTarget(call.request));
                self.calls.insert(call.request, call);
            }
            ClaimEvent::TargetSelected(request, Ok(target)) => {
                if let Some(call) = self.calls.get(&request) {
                    self.waiting.push(ClaimProposal {
                        key: call.key.clone(),
                        body_digest: call.body_digest,
                        request,
                        agent: target.agent,
                        agent_incarnation: target.incarnation,
                        endpoint: target.endpoint,
                    });
                }
            }
            ClaimEvent::AppendEnded(outcome) => self.end_append(&outcome, &mut commands),
            ClaimEvent::DispatchEnded(request, outcome) => {
                self.end_dispatch(request, outcome, &mut commands);
            }
            ClaimEvent::Tick => self.expire(now, &mut commands),
            _ => {}
        }
        if self.appending.is_none()
            && let Some(proposal) = self.waiting.pop()
        {
            self.appending = Some(proposal.clone());
            commands.push(ClaimCommand::Append(ClaimBatch {
                records: vec![ClaimRecord::Claim(proposal)],
            }));
        }
        commands
    }

    fn next_offset(&self) -> LogOffset {
        LogOffset(0)
    }
}

impl NaiveCoordinator {
    fn end_append(&mut self, outcome: &AppendOutcome, commands: &mut ClaimCommands) {
        let Some(proposal) = self.appending.take() else {
            return;
        };
        match outcome {
            AppendOutcome::Appended(offset) => {
                let claim = ClaimId {
                    offset: *offset,
                    index: 0,
                };
                commands.push(ClaimCommand::Dispatch(proposal.request, claim, proposal));
            }
            _ => self.waiting.push(proposal),
        }
    }

    fn end_dispatch(
        &mut self,
        request: RequestId,
        outcome: DispatchOutcome,
        commands: &mut ClaimCommands,
    ) {
        match outcome {
            DispatchOutcome::Answered(answer) => {
                if self.calls.remove(&request).is_some() {
                    commands.push(ClaimCommand::Answer(request, Ok(answer)));
                }
            }
            DispatchOutcome::NotRun(_) | DispatchOutcome::Lost => {
                if self.calls.contains_key(&request) {
                    commands.push(ClaimCommand::SelectTarget(request));
                }
            }
        }
    }

    fn expire(&mut self, now: Timestamp, commands: &mut ClaimCommands) {
        let expired: Vec<_> = self
            .calls
            .values()
            .filter(|call| call.deadline <= now)
            .map(|call| call.request)
            .collect();
        for request in expired {
            self.calls.remove(&request);
            let error = Error::new(ErrorKind::DeadlineBeforeStart, "the deadline passed");
            commands.push(ClaimCommand::Answer(request, Err(error)));
        }
    }
}
