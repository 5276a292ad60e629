//! Carries out what the claim desk decides. It runs on the control thread.

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
use crate::claim_tail::{self, ClaimTail};
use crate::entry_state::EntryState;

/// How often the desk looks at the time.
const TICK: Duration = Duration::from_millis(20);

/// A call that has not been answered, or whose claim runs.
struct OpenCall {
    request: ServiceRequest,
    deadline: Timestamp,
    reply: Option<oneshot::Sender<Result<ServiceAnswer>>>,
    refused_by: SmallVec<[EndpointId; 2]>,
    dispatched: bool,
}

/// The desk with what its commands act on.
pub struct ClaimTask {
    state: Arc<EntryState>,
    log: Arc<dyn LogPort>,
    desk: ClaimCoordinator,
    calls: HashMap<RequestId, OpenCall>,
    events: mpsc::Sender<ClaimTaskEvent>,
    settled: watch::Sender<bool>,
    next_offset: Arc<AtomicU64>,
}

impl ClaimTask {
    /// Opens the desk. What happens to its commands comes back over `events`.
    pub fn open(
        state: Arc<EntryState>,
        log: Arc<dyn LogPort>,
        events: mpsc::Sender<ClaimTaskEvent>,
        settled: watch::Sender<bool>,
    ) -> Self {
        let desk = ClaimCoordinator::new(state.settings.claims.append_interval);
        Self {
            state,
            log,
            desk,
            calls: HashMap::new(),
            events,
            settled,
            next_offset: Arc::default(),
        }
    }

    /// Runs the desk for good.
    pub async fn run(mut self, mut received: mpsc::Receiver<ClaimTaskEvent>) {
        let tail = self.tail();
        let follow = claim_tail::follow(tail);
        tokio::pin!(follow);
        let mut ticks = tokio::time::interval(TICK);
        loop {
            tokio::select! {
                event = received.recv() => match event {
                    Some(ClaimTaskEvent::Call(claimed)) => self.accept(*claimed),
                    Some(ClaimTaskEvent::Desk(event)) => self.handle(event),
                    None => return,
                },
                () = &mut follow => return,
                _ = ticks.tick() => self.handle(ClaimEvent::Tick),
            }
        }
    }

    fn tail(&self) -> ClaimTail {
        ClaimTail {
            clock: self.state.clock,
            log: Arc::clone(&self.log),
            events: self.events.clone(),
            next_offset: Arc::clone(&self.next_offset),
        }
    }

    fn accept(&mut self, claimed: ClaimedCall) {
        let open = OpenCall {
            request: claimed.request,
            deadline: claimed.call.deadline,
            reply: Some(claimed.reply),
            refused_by: SmallVec::new(),
            dispatched: false,
        };
        self.calls.insert(claimed.call.request, open);
        self.handle(ClaimEvent::Arrived(claimed.call));
    }

    fn handle(&mut self, event: ClaimEvent) {
        self.note_event(&event);
        let commands = self.desk.handle(self.state.clock.now(), event);
        for command in commands {
            self.carry_out(command);
        }
        let next = self.desk.next_offset().0;
        self.next_offset.store(next, Ordering::Relaxed);
        if self.desk.is_caught_up() {
            self.state.readiness.claims_caught_up();
        }
        let settled = self.desk.is_idle() && self.calls.is_empty();
        self.settled.send_if_modified(|known| {
            let changed = *known != settled;
            *known = settled;
            changed
        });
    }

    /// Keeps the book of calls in step with what the desk is told.
    fn note_event(&mut self, event: &ClaimEvent) {
        match event {
            ClaimEvent::Cancelled(request) => self.close(*request, None),
            ClaimEvent::DispatchEnded(request, outcome) => {
                if let Some(open) = self.calls.get_mut(request) {
                    open.dispatched = false;
                    if matches!(outcome, DispatchOutcome::NotRun(_)) {
                        let endpoint = open.request.endpoint.clone();
                        open.refused_by.push(endpoint);
                    }
                }
                self.forget_if_over(*request);
            }
            _ => {}
        }
    }

    fn carry_out(&mut self, command: ClaimCommand) {
        match command {
            ClaimCommand::SelectTarget(request) => {
                let place = self.place(request);
                self.handle(ClaimEvent::TargetSelected(request, place));
            }
            ClaimCommand::Append(batch) => self.append(&batch),
            ClaimCommand::CatchUp => {
                let tail = self.tail();
                tokio::spawn(async move { tail.read_once(Duration::ZERO).await });
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

    fn place(&self, request: RequestId) -> Result<ClaimTarget> {
        let open = self
            .calls
            .get(&request)
            .ok_or_else(|| internal(format!("call {request} is not open")))?;
        let directory = &self.state.directory;
        let handle = directory.choose_service(&open.request.service, &open.refused_by)?;
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
        let Some(open) = self.calls.get_mut(&request) else {
            let outcome = DispatchOutcome::NotRun(internal("the call is not open"));
            return self.handle(ClaimEvent::DispatchEnded(request, outcome));
        };
        open.dispatched = true;
        open.request.endpoint = proposal.endpoint.clone();
        open.request.claim = Some(ServiceClaim {
            key: proposal.key.clone(),
            id: claim,
            agent_incarnation: proposal.agent_incarnation,
        });
        open.request.time_left = open.deadline.since(self.state.clock.now());
        self.state.decisions.record(format!(
            "event=claim_dispatched request={request} key={} claim={claim} agent={} endpoint={}",
            proposal.key, proposal.agent, proposal.endpoint
        ));
        let call = open.request.clone();
        let (state, events) = (Arc::clone(&self.state), self.events.clone());
        self.state.traffic.spawn(async move {
            let outcome = dispatch(&state, &proposal, call).await;
            send(&events, ClaimEvent::DispatchEnded(request, outcome)).await;
        });
    }

    /// Answers the caller, if it is still there.
    fn close(&mut self, request: RequestId, answer: Option<Result<ServiceAnswer>>) {
        if let Some(open) = self.calls.get_mut(&request) {
            let reply = open.reply.take();
            if let (Some(reply), Some(answer)) = (reply, answer) {
                // The caller may have left at this moment.
                let _ = reply.send(answer);
            }
        }
        self.forget_if_over(request);
    }

    /// Forgets a call that is answered and does not run.
    fn forget_if_over(&mut self, request: RequestId) {
        let over = self
            .calls
            .get(&request)
            .is_some_and(|open| open.reply.is_none() && !open.dispatched);
        if over {
            self.calls.remove(&request);
        }
    }
}

/// Tells the desk. It ends only with the whole entry, and then nobody needs to know.
async fn send(events: &mpsc::Sender<ClaimTaskEvent>, event: ClaimEvent) {
    let _ = events.send(ClaimTaskEvent::Desk(event)).await;
}
