//! The stages of a request in the control task: queueing, dispatch and retries.

use std::sync::Arc;

use amaranth_core::errors::{Error, ErrorKind};
use amaranth_core::ids::RequestId;
use amaranth_core::request::{CompletionRequest, ModelTarget};
use amaranth_core::time::Timestamp;
use amaranth_placement::planner::{PlannedRequest, PlannerEvent};

use super::{EngineControl, EngineEvent};
use crate::answer_store::AnswerSlot;
use crate::engine_traffic::{self, EngineDispatch, EngineDispatchOutcome};

/// Maximum number of dispatches of one request before its answer fails.
const DISPATCH_LIMIT: u32 = 3;

/// An accepted request, which waits or runs.
pub(super) struct AcceptedRequest {
    pub(super) request: Arc<CompletionRequest>,
    pub(super) slot: Arc<AnswerSlot>,
    pub(super) arrived: Timestamp,
    pub(super) deadline: Timestamp,
    pub(super) dispatches: u32,
    pub(super) stage: RequestStage,
}

/// The stage of an accepted request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestStage {
    /// The request is in the planner's queue.
    Queued,
    /// The request runs on the engine.
    Dispatched,
    /// The request waits for a new inventory, since the engine was not in the planned state.
    AwaitingInventory,
}

impl EngineControl {
    pub(super) fn admit(&mut self, request: CompletionRequest, slot: Arc<AnswerSlot>) {
        if slot.cancelled().is_cancelled() {
            return;
        }
        let now = self.context.clock.now();
        let id = request.id;
        let accepted = AcceptedRequest {
            deadline: now + request.time_left,
            request: Arc::new(request),
            slot,
            arrived: now,
            dispatches: 0,
            stage: RequestStage::Queued,
        };
        self.requests.insert(id, accepted);
        if !self.context.lease.published().is_held(&self.endpoint) {
            return self.refuse(id, self.no_lease_error());
        }
        self.enqueue(id);
    }

    pub(super) fn no_lease_error(&self) -> Error {
        Error::new(
            ErrorKind::Fenced,
            format!("this agent does not hold the lease on {}", self.endpoint),
        )
    }

    pub(super) fn enqueue(&mut self, id: RequestId) {
        let Some(accepted) = self.requests.get_mut(&id) else {
            return;
        };
        accepted.stage = RequestStage::Queued;
        let request = &accepted.request;
        let planned = PlannedRequest {
            id,
            target: request.target.clone(),
            deadline: accepted.deadline,
            priority: request.priority,
            prompt_tokens: request.prompt_tokens,
            max_tokens: request.max_tokens,
        };
        self.plan(PlannerEvent::Arrived(planned));
    }

    pub(super) fn refuse(&mut self, id: RequestId, error: Error) {
        let Some(accepted) = self.requests.remove(&id) else {
            return;
        };
        let kind: &'static str = error.kind.into();
        metrics::counter!("amaranth_agent_refusals_total", "kind" => kind).increment(1);
        self.record_decision(&format!(
            "event=request_refused request={id} target={} kind={kind}",
            accepted.request.target
        ));
        accepted.slot.fail(error);
    }

    pub(super) fn dispatch(&mut self, id: RequestId) {
        let now = self.context.clock.now();
        let Some(accepted) = self.requests.get_mut(&id) else {
            // The request was cancelled in the same batch of events.
            return self.notify_finished(id);
        };
        let pinned = accepted
            .request
            .target
            .adapter()
            .is_none_or(|adapter| self.pins.pin(adapter));
        if !pinned || !self.context.lease.published().is_held(&self.endpoint) {
            if pinned {
                self.unpin(id);
            }
            return self.requeue_after_inventory(id);
        }
        accepted.stage = RequestStage::Dispatched;
        accepted.dispatches += 1;
        if accepted.request.target.adapter().is_some() && accepted.dispatches == 1 {
            metrics::histogram!("amaranth_agent_load_stall_seconds")
                .record(now.since(accepted.arrived).as_secs_f64());
        }
        let dispatch = EngineDispatch {
            port: self.orders.port.clone(),
            request: accepted.request.clone(),
            slot: accepted.slot.clone(),
            inventory: self.inventory.clone(),
            deadline: self.context.clock.instant(accepted.deadline),
            stream_silence: self.context.limits.stream_silence,
            first_chunk_silence: self.context.limits.first_chunk_silence,
            trace: accepted.request.trace,
        };
        let handle = self.handle.clone();
        self.context.traffic_tasks.spawn(async move {
            let outcome = engine_traffic::run(dispatch).await;
            handle.send(EngineEvent::DispatchEnded(id, outcome)).await;
        });
    }

    pub(super) fn finish_dispatch(&mut self, id: RequestId, outcome: EngineDispatchOutcome) {
        self.unpin(id);
        match outcome {
            EngineDispatchOutcome::AnswerEnded => {
                self.requests.remove(&id);
                self.notify_finished(id);
            }
            EngineDispatchOutcome::Interrupted(error) => self.retry(id, error),
        }
    }

    /// Retries a request whose engine interrupted the answer or did not have the adapter loaded.
    pub(super) fn retry(&mut self, id: RequestId, error: Error) {
        let Some(accepted) = self.requests.get(&id) else {
            return self.notify_finished(id);
        };
        let now = self.context.clock.now();
        if accepted.dispatches >= DISPATCH_LIMIT || accepted.deadline <= now {
            self.notify_finished(id);
            return self.refuse(id, error);
        }
        metrics::counter!("amaranth_agent_reruns_total").increment(1);
        self.record_decision(&format!(
            "event=request_interrupted request={id} cause={error:?}"
        ));
        self.requeue_after_inventory(id);
    }

    /// Queues a dispatched request again once the engine's inventory has been read.
    pub(super) fn requeue_after_inventory(&mut self, id: RequestId) {
        if let Some(accepted) = self.requests.get_mut(&id) {
            accepted.stage = RequestStage::AwaitingInventory;
            self.awaiting_inventory.push(id);
        }
        self.notify_finished(id);
        self.read_inventory();
    }

    pub(super) fn notify_finished(&mut self, id: RequestId) {
        self.plan(PlannerEvent::Finished(id));
    }

    pub(super) fn unpin(&mut self, id: RequestId) {
        let target = self
            .requests
            .get(&id)
            .map(|accepted| accepted.request.target.clone());
        if let Some(ModelTarget::Adapter { adapter, .. }) = target {
            self.pins.unpin(&adapter);
        }
    }

    /// Removes a cancelled request that was not dispatched. A dispatched request is ended by its
    /// own task, which its answer slot notifies.
    pub(super) fn cancel(&mut self, id: RequestId) {
        let Some(accepted) = self.requests.get(&id) else {
            return;
        };
        match accepted.stage {
            RequestStage::Dispatched => {}
            RequestStage::Queued => {
                self.requests.remove(&id);
                self.plan(PlannerEvent::Cancelled(id));
            }
            RequestStage::AwaitingInventory => {
                self.requests.remove(&id);
            }
        }
    }

    /// Queues the requests that waited for the inventory again.
    pub(super) fn requeue_awaiting(&mut self) {
        for id in std::mem::take(&mut self.awaiting_inventory) {
            if self.context.lease.published().is_held(&self.endpoint) {
                self.enqueue(id);
            } else {
                let error = self.no_lease_error();
                self.refuse(id, error);
            }
        }
    }

    /// Refuses the requests that waited for the inventory, since it can't be read.
    pub(super) fn refuse_awaiting(&mut self) {
        for id in std::mem::take(&mut self.awaiting_inventory) {
            let error = Error::new(
                ErrorKind::EndpointUnreachable,
                format!(
                    "engine {} interrupted the request and does not answer",
                    self.endpoint
                ),
            );
            self.refuse(id, error);
        }
    }

    /// Refuses every request that was not dispatched, so that its entry sends it to another
    /// endpoint: a draining endpoint must start no new work.
    pub(super) fn refuse_undispatched(&mut self) {
        let undispatched: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, accepted)| accepted.stage != RequestStage::Dispatched)
            .map(|(id, _)| *id)
            .collect();
        for id in undispatched {
            self.plan(PlannerEvent::Cancelled(id));
            self.refuse(id, draining_error());
        }
    }
}

/// Returns the error of a request that is refused because the agent is draining.
pub(super) fn draining_error() -> Error {
    Error::new(ErrorKind::Draining, "the agent is draining")
}
