//! The task on the control thread that executes the commands of the claim coordinator.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use amaranth_control::claim_codec;
use amaranth_control::claim_coordinator::ClaimCoordinator;
use amaranth_control::claim_event::{
    AppendOutcome, ClaimCommand, ClaimEvent, ClaimTarget, DispatchOutcome,
};
use amaranth_control::claim_record::{ClaimBatch, ClaimProposal};
use amaranth_core::errors::{Result, internal};
use amaranth_core::ids::{ClaimId, EndpointId, RequestId};
use amaranth_core::request::{ServiceAnswer, ServiceClaim, ServiceRequest};
use amaranth_core::time::Timestamp;
use amaranth_ports::PortError;
use amaranth_ports::log::{LogPort, LogStream};
use smallvec::SmallVec;
use tokio::sync::{mpsc, oneshot, watch};

use crate::claim_client::{ClaimTaskEvent, ClaimedCall};
use crate::claim_dispatch::{dispatch, settle};
use crate::claim_reader::{self, ClaimReader};
use crate::entry_state::EntryState;

/// Interval at which the claim coordinator checks deadlines.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// A call that has not been answered, or whose dispatch has not ended.
struct PendingCall {
    request: ServiceRequest,
    deadline: Timestamp,
    reply: Option<oneshot::Sender<Result<ServiceAnswer>>>,
    refused_by: SmallVec<[EndpointId; 2]>,
    dispatched: bool,
}

/// The claim coordinator with the calls, the log and the connections that its commands act on.
pub struct ClaimTask {
    state: Arc<EntryState>,
    log: Arc<dyn LogPort>,
    coordinator: ClaimCoordinator,
    calls: HashMap<RequestId, PendingCall>,
    events: mpsc::Sender<ClaimTaskEvent>,
    idle: watch::Sender<bool>,
    next_offset: Arc<AtomicU64>,
}

impl ClaimTask {
    /// Creates the task. The outcomes of its commands are sent to `events`, and `idle` is true
    /// while no call, claim or append is pending.
    pub fn new(
        state: Arc<EntryState>,
        log: Arc<dyn LogPort>,
        events: mpsc::Sender<ClaimTaskEvent>,
        idle: watch::Sender<bool>,
    ) -> Self {
        let coordinator = ClaimCoordinator::new(state.settings.claims.append_interval);
        Self {
            state,
            log,
            coordinator,
            calls: HashMap::new(),
            events,
            idle,
            next_offset: Arc::default(),
        }
    }

    /// Handles events until the channel closes.
    pub async fn run(mut self, mut received: mpsc::Receiver<ClaimTaskEvent>) {
        let reader = self.reader();
        let follow = claim_reader::follow(reader);
        tokio::pin!(follow);
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        loop {
            tokio::select! {
                event = received.recv() => match event {
                    Some(ClaimTaskEvent::Call(claimed)) => self.accept(*claimed),
                    Some(ClaimTaskEvent::Coordinator(event)) => self.handle(event),
                    None => return,
                },
                () = &mut follow => return,
                _ = ticks.tick() => self.handle(ClaimEvent::Tick),
            }
        }
    }

    fn reader(&self) -> ClaimReader {
        ClaimReader {
            clock: self.state.clock,
            log: Arc::clone(&self.log),
            events: self.events.clone(),
            next_offset: Arc::clone(&self.next_offset),
        }
    }

    fn accept(&mut self, claimed: ClaimedCall) {
        let pending = PendingCall {
            request: claimed.request,
            deadline: claimed.call.deadline,
            reply: Some(claimed.reply),
            refused_by: SmallVec::new(),
            dispatched: false,
        };
        self.calls.insert(claimed.call.request, pending);
        self.handle(ClaimEvent::Arrived(claimed.call));
    }

    fn handle(&mut self, event: ClaimEvent) {
        self.record_event(&event);
        let commands = self.coordinator.handle(self.state.clock.now(), event);
        for command in commands {
            self.execute(command);
        }
        let next = self.coordinator.next_offset().0;
        self.next_offset.store(next, Ordering::Relaxed);
        if self.coordinator.is_caught_up() {
            self.state.readiness.mark_claims_caught_up();
        }
        let idle = self.coordinator.is_idle() && self.calls.is_empty();
        self.idle.send_if_modified(|published| {
            let changed = *published != idle;
            *published = idle;
            changed
        });
    }

    /// Updates the pending calls by an event that the coordinator is about to handle.
    fn record_event(&mut self, event: &ClaimEvent) {
        match event {
            ClaimEvent::Cancelled(request) => self.close(*request, None),
            ClaimEvent::DispatchEnded(request, outcome) => {
                if let Some(pending) = self.calls.get_mut(request) {
                    pending.dispatched = false;
                    if matches!(outcome, DispatchOutcome::NotRun(_)) {
                        let endpoint = pending.request.endpoint.clone();
                        pending.refused_by.push(endpoint);
                    }
                }
                self.remove_if_finished(*request);
            }
            _ => {}
        }
    }

    fn execute(&mut self, command: ClaimCommand) {
        match command {
            ClaimCommand::SelectTarget(request) => {
                let target = self.select_target(request);
                self.handle(ClaimEvent::TargetSelected(request, target));
            }
            ClaimCommand::Append(batch) => self.append(&batch),
            ClaimCommand::CatchUp => {
                let reader = self.reader();
                tokio::spawn(async move { reader.read_once(Duration::ZERO).await });
            }
            ClaimCommand::Dispatch(request, claim, proposal) => {
                self.dispatch(request, claim, proposal);
            }
            ClaimCommand::Settle(claim, proposal) => {
                let (state, events) = (Arc::clone(&self.state), self.events.clone());
                self.state.traffic.spawn(async move {
                    let outcome = settle(&state, claim, &proposal).await;
                    send(&events, ClaimEvent::Settled(claim, outcome)).await;
                });
            }
            ClaimCommand::Answer(request, answer) => self.close(request, Some(answer)),
        }
    }

    fn select_target(&self, request: RequestId) -> Result<ClaimTarget> {
        let pending = self
            .calls
            .get(&request)
            .ok_or_else(|| internal(format!("call {request} is not pending")))?;
        let directory = &self.state.directory;
        let handle = directory.select_service(&pending.request.service, &pending.refused_by)?;
        Ok(ClaimTarget {
            agent: handle.agent.process,
            incarnation: handle.agent.incarnation,
            endpoint: handle.endpoint,
        })
    }

    fn append(&self, batch: &ClaimBatch) {
        metrics::counter!("amaranth_entry_claim_appends_total").increment(1);
        metrics::histogram!("amaranth_entry_claim_batch_records")
            .record(batch.records.len() as f64);
        let (log, events) = (Arc::clone(&self.log), self.events.clone());
        let bytes = claim_codec::encode(batch);
        tokio::spawn(async move {
            let outcome = match log.append(LogStream::Claims, bytes).await {
                Ok(offset) => AppendOutcome::Appended(offset),
                Err(PortError::Uncertain(_)) => AppendOutcome::Uncertain,
                Err(PortError::Refused(_) | PortError::Fenced(_)) => AppendOutcome::Refused,
                Err(PortError::Unreachable(_) | PortError::Limited(_)) => AppendOutcome::Failed,
            };
            if !matches!(outcome, AppendOutcome::Appended(_)) {
                log::warn!("event=claim_append_failed outcome={outcome:?}");
            }
            send(&events, ClaimEvent::AppendEnded(outcome)).await;
        });
    }

    fn dispatch(&mut self, request: RequestId, claim: ClaimId, proposal: ClaimProposal) {
        let Some(pending) = self.calls.get_mut(&request) else {
            let outcome = DispatchOutcome::NotRun(internal("the call is not pending"));
            return self.handle(ClaimEvent::DispatchEnded(request, outcome));
        };
        pending.dispatched = true;
        pending.request.endpoint = proposal.endpoint.clone();
        pending.request.claim = Some(ServiceClaim {
            key: proposal.key.clone(),
            id: claim,
            agent_incarnation: proposal.agent_incarnation,
        });
        pending.request.time_left = pending.deadline.since(self.state.clock.now());
        self.state.decisions.record(format!(
            "event=claim_dispatched request={request} key={} claim={claim} agent={} endpoint={}",
            proposal.key, proposal.agent, proposal.endpoint
        ));
        let call = pending.request.clone();
        let (state, events) = (Arc::clone(&self.state), self.events.clone());
        self.state.traffic.spawn(async move {
            let outcome = dispatch(&state, &proposal, call).await;
            send(&events, ClaimEvent::DispatchEnded(request, outcome)).await;
        });
    }

    /// Sends `answer` to the caller, if it still waits, and closes the channel to it.
    fn close(&mut self, request: RequestId, answer: Option<Result<ServiceAnswer>>) {
        if let Some(pending) = self.calls.get_mut(&request) {
            let reply = pending.reply.take();
            if let (Some(reply), Some(answer)) = (reply, answer) {
                // The caller may have disconnected in the meantime.
                let _ = reply.send(answer);
            }
        }
        self.remove_if_finished(request);
    }

    /// Removes a call whose caller no longer waits and whose dispatch has ended.
    fn remove_if_finished(&mut self, request: RequestId) {
        let is_finished = self
            .calls
            .get(&request)
            .is_some_and(|pending| pending.reply.is_none() && !pending.dispatched);
        if is_finished {
            self.calls.remove(&request);
        }
    }
}

/// Sends an event to the claim task. The task ends only with the entry, so a failed send is
/// ignored.
async fn send(events: &mpsc::Sender<ClaimTaskEvent>, event: ClaimEvent) {
    let _ = events.send(ClaimTaskEvent::Coordinator(event)).await;
}
