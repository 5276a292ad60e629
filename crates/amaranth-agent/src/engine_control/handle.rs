//! The handle of an engine's control task, and the state that all control tasks share.

use std::sync::Arc;

use amaranth_core::membership::EndpointReport;
use arc_swap::ArcSwap;
use tokio::sync::{mpsc, oneshot};

use super::EngineEvent;
use crate::announcer::ChangeSignal;
use crate::clock::AgentClock;
use crate::lease_task::LeaseHandle;
use crate::permit_client::PermitClient;
use crate::settings::AgentLimits;
use crate::task_group::TaskGroup;
use amaranth_telemetry::decision_log::DecisionLog;

/// The dependencies that the control tasks of all engines share.
pub struct EngineContext {
    /// The agent's clock.
    pub clock: AgentClock,
    /// The log of recent decisions.
    pub decisions: Arc<DecisionLog>,
    /// The client for load permits.
    pub permit_client: Arc<PermitClient>,
    /// The signal that makes the agent announce a changed report at once.
    pub change_signal: Arc<ChangeSignal>,
    /// The group of the tasks that execute the planner's commands.
    pub traffic_tasks: TaskGroup,
    /// The handle of the lease task.
    pub lease: LeaseHandle,
    /// The limits on memory and time.
    pub limits: AgentLimits,
}

/// A handle of a running control task.
#[derive(Debug, Clone)]
pub struct EngineHandle {
    pub(super) events: mpsc::Sender<EngineEvent>,
    pub(super) report: Arc<ArcSwap<EndpointReport>>,
}

impl EngineHandle {
    /// Sends `event` to the control task.
    pub async fn send(&self, event: EngineEvent) {
        // A closed channel means that the agent is ending, and then the event is not needed.
        let _ = self.events.send(event).await;
    }

    /// Stops further orders, and returns when no order is in flight.
    pub async fn quiesce(&self) {
        let (sender, done) = oneshot::channel();
        self.send(EngineEvent::Quiesce(sender)).await;
        // The sender is dropped, never used.
        let _ = done.await;
    }

    /// Returns the engine's latest report.
    pub fn report(&self) -> Arc<EndpointReport> {
        self.report.load_full()
    }
}
