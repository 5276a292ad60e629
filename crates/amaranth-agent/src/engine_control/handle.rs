//! What the control task of an engine shares with the rest of the agent.

use std::sync::Arc;

use amaranth_core::membership::EndpointReport;
use arc_swap::ArcSwap;
use tokio::sync::{mpsc, oneshot};

use super::EngineEvent;
use crate::announcer::ChangeSignal;
use crate::clock::AgentClock;
use crate::lease_keeper::LeaseHandle;
use crate::load_permits::LoadPermits;
use crate::settings::AgentLimits;
use crate::task_group::TaskGroup;
use amaranth_telemetry::decision_log::DecisionLog;

/// What every engine of the agent shares.
pub struct EngineContext {
    /// The clock.
    pub clock: AgentClock,
    /// Where decisions are kept.
    pub decisions: Arc<DecisionLog>,
    /// Asks for leave to load.
    pub permits: Arc<LoadPermits>,
    /// Told when a report changed in a way that entries should learn at once.
    pub changed: Arc<ChangeSignal>,
    /// The tasks that carry out commands.
    pub traffic: TaskGroup,
    /// The leases.
    pub lease: LeaseHandle,
    /// Bounds of memory and time.
    pub limits: AgentLimits,
}

/// The way to a running control task.
#[derive(Debug, Clone)]
pub struct EngineHandle {
    pub(super) events: mpsc::Sender<EngineEvent>,
    pub(super) report: Arc<ArcSwap<EndpointReport>>,
}

impl EngineHandle {
    /// Tells the control task of `event`.
    pub async fn send(&self, event: EngineEvent) {
        // A closed queue means that the agent is ending, and then nobody waits for the event.
        let _ = self.events.send(event).await;
    }

    /// Returns when no order is in transit and none will be sent any more.
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
