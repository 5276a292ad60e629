//! The way of a request through the control task: queue, engine, and back when it broke off.

use std::sync::Arc;

use amaranth_core::errors::{Error, ErrorKind};
use amaranth_core::ids::RequestId;
use amaranth_core::request::{CompletionRequest, ModelTarget};
use amaranth_core::time::Timestamp;
use amaranth_placement::planner::{PlannedRequest, PlannerEvent};

use super::{EngineControl, EngineEvent};
use crate::answer_store::AnswerSlot;
use crate::engine_traffic::{self, DispatchEnd, EngineDispatch};

/// Times that a request is dispatched before its answer fails.
const DISPATCH_LIMIT: u32 = 3;

/// A request that waits or runs.
pub(super) struct HeldRequest {
    pub(super) request: Arc<CompletionRequest>,
    pub(super) slot: Arc<AnswerSlot>,
    pub(super) arrived: Timestamp,
    pub(super) deadline: Timestamp,
    pub(super) dispatches: u32,
    pub(super) stage: HeldStage,
}

/// Where a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HeldStage {
    /// In the planner's queue.
    Queued,
    /// On the engine.
    Dispatched,
    /// Waiting until the engine was read again, after it turned out not to be as planned.
    Stalled,
}

impl EngineControl {
    pub(super) fn admit(&mut self, request: CompletionRequest, slot: Arc<AnswerSlot>) {
        if slot.cancelled().is_cancelled() {
            return;
        }
        let now = self.context.clock.now();
        let id = request.id;
        let held = HeldRequest {
            deadline: now + request.time_left,
            request: Arc::new(request),
            slot,
            arrived: now,
            dispatches: 0,
            stage: HeldStage::Queued,
        };
        self.held.insert(id, held);
        if !self.context.lease.board().holds(&self.endpoint) {
            return self.refuse(id, self.no_lease());
        }
        self.enqueue(id);
    }

    pub(super) fn no_lease(&self) -> Error {
        Error::new(
            ErrorKind::Fenced,
            format!("this agent does not hold the lease on {}", self.endpoint),
        )
    }

    pub(super) fn enqueue(&mut self, id: RequestId) {
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        held.stage = HeldStage::Queued;
        let request = &held.request;
        let planned = PlannedRequest {
            id,
            target: request.target.clone(),
            deadline: held.deadline,
            priority: request.priority,
            prompt_tokens: request.prompt_tokens,
            max_tokens: request.max_tokens,
        };
        self.plan(PlannerEvent::Arrived(planned));
    }

    pub(super) fn refuse(&mut self, id: RequestId, error: Error) {
        let Some(held) = self.held.remove(&id) else {
            return;
        };
        let kind: &'static str = error.kind.into();
        metrics::counter!("amaranth_agent_refusals_total", "kind" => kind).increment(1);
        self.decide(&format!(
            "event=request_refused request={id} target={} kind={kind}",
            held.request.target
        ));
        held.slot.fail(error);
    }

    pub(super) fn dispatch(&mut self, id: RequestId) {
        let now = self.context.clock.now();
        let Some(held) = self.held.get_mut(&id) else {
            // Its caller left in the same batch of events.
            return self.finish(id);
        };
        let pinned = held
            .request
            .target
            .adapter()
            .is_none_or(|adapter| self.pins.pin(adapter));
        if !pinned || !self.context.lease.board().holds(&self.endpoint) {
            if pinned {
                self.unpin(id);
            }
            return self.stall(id);
        }
        held.stage = HeldStage::Dispatched;
        held.dispatches += 1;
        if held.request.target.adapter().is_some() && held.dispatches == 1 {
            metrics::histogram!("amaranth_agent_load_stall_seconds")
                .record(now.since(held.arrived).as_secs_f64());
        }
        let dispatch = EngineDispatch {
            port: self.orders.port.clone(),
            request: held.request.clone(),
            slot: held.slot.clone(),
            inventory: self.inventory.clone(),
            deadline: self.context.clock.instant(held.deadline),
            stream_silence: self.context.limits.stream_silence,
            first_chunk_silence: self.context.limits.first_chunk_silence,
            trace: held.request.trace,
        };
        let handle = self.handle.clone();
        self.context.traffic.spawn(async move {
            let end = engine_traffic::run(dispatch).await;
            handle.send(EngineEvent::Ended(id, end)).await;
        });
    }

    pub(super) fn end(&mut self, id: RequestId, end: DispatchEnd) {
        self.unpin(id);
        match end {
            DispatchEnd::Settled => {
                self.held.remove(&id);
                self.finish(id);
            }
            DispatchEnd::Interrupted(error) => self.retry(id, error),
        }
    }

    /// Runs a request again whose engine broke off or did not hold its adapter.
    pub(super) fn retry(&mut self, id: RequestId, error: Error) {
        let Some(held) = self.held.get(&id) else {
            return self.finish(id);
        };
        let now = self.context.clock.now();
        if held.dispatches >= DISPATCH_LIMIT || held.deadline <= now {
            self.finish(id);
            return self.refuse(id, error);
        }
        metrics::counter!("amaranth_agent_reruns_total").increment(1);
        self.decide(&format!(
            "event=request_interrupted request={id} cause={error:?}"
        ));
        self.stall(id);
    }

    /// Keeps a dispatched request back until the engine was read.
    pub(super) fn stall(&mut self, id: RequestId) {
        if let Some(held) = self.held.get_mut(&id) {
            held.stage = HeldStage::Stalled;
            self.stalled.push(id);
        }
        self.finish(id);
        self.read_inventory();
    }

    pub(super) fn finish(&mut self, id: RequestId) {
        self.plan(PlannerEvent::Finished(id));
    }

    pub(super) fn unpin(&mut self, id: RequestId) {
        let target = self.held.get(&id).map(|held| held.request.target.clone());
        if let Some(ModelTarget::Adapter { adapter, .. }) = target {
            self.pins.unpin(&adapter);
        }
    }

    /// Takes a request out of the queue. One that was dispatched ends by its own task, which
    /// learns from its slot that nobody waits.
    pub(super) fn withdraw(&mut self, id: RequestId) {
        let Some(held) = self.held.get(&id) else {
            return;
        };
        match held.stage {
            HeldStage::Dispatched => {}
            HeldStage::Queued => {
                self.held.remove(&id);
                self.plan(PlannerEvent::Cancelled(id));
            }
            HeldStage::Stalled => {
                self.held.remove(&id);
            }
        }
    }

    /// Queues the requests again that waited for the engine to be read.
    pub(super) fn readmit(&mut self) {
        for id in std::mem::take(&mut self.stalled) {
            if self.context.lease.board().holds(&self.endpoint) {
                self.enqueue(id);
            } else {
                let error = self.no_lease();
                self.refuse(id, error);
            }
        }
    }

    /// Refuses the requests whose engine can't be read.
    pub(super) fn refuse_stalled(&mut self) {
        for id in std::mem::take(&mut self.stalled) {
            let error = Error::new(
                ErrorKind::EndpointUnreachable,
                format!("engine {} broke off and does not answer", self.endpoint),
            );
            self.refuse(id, error);
        }
    }

    /// Refuses every request that waits, so that its entry sends it to another endpoint: an
    /// endpoint that leaves must get no new work.
    pub(super) fn hand_back(&mut self) {
        let waiting: Vec<RequestId> = self
            .held
            .iter()
            .filter(|(_, held)| held.stage != HeldStage::Dispatched)
            .map(|(id, _)| *id)
            .collect();
        for id in waiting {
            self.plan(PlannerEvent::Cancelled(id));
            self.refuse(id, leaving_error());
        }
    }
}

/// Returns the error of a request that came too late for an agent that leaves.
pub(super) fn leaving_error() -> Error {
    Error::new(ErrorKind::Draining, "the agent is leaving")
}
