//! The tarpc service of the entry for agents, other entries and operators.

use std::sync::Arc;
use std::time::Duration;

use amaranth_core::Result;
use amaranth_core::ids::{AdapterRef, ConfigRevision, EndpointId};
use amaranth_core::membership::AgentAnnouncement;
use amaranth_wire::entry::{
    AnnouncementReply, DataCentreSummary, EntryRpc, EntryStatus, PermitReply, PermitRequest,
    SnapshotPart,
};
use tarpc::context::Context;
use tokio::sync::{mpsc, oneshot, watch};

use crate::control_thread::ControlEvent;
use crate::entry_state::EntryState;
use crate::load_broker::SharedLoadBroker;

/// Maximum time that a permit request waits for its reply. This is well below the timeout after
/// which an agent abandons its connection to an entry.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(750);

/// The service that answers agents, other entries and operators.
#[derive(Clone)]
pub struct PeerService {
    state: Arc<EntryState>,
    control: mpsc::Sender<ControlEvent>,
    drain: watch::Sender<bool>,
    broker: Arc<SharedLoadBroker>,
}

impl PeerService {
    /// Creates the service, which sends events to the control thread and drain requests to `drain`.
    pub fn new(
        state: Arc<EntryState>,
        control: mpsc::Sender<ControlEvent>,
        drain: watch::Sender<bool>,
    ) -> Self {
        Self {
            state,
            control,
            drain,
            broker: Arc::new(SharedLoadBroker::new()),
        }
    }

    /// Returns the last announcement of each agent, or an empty list if the control thread has
    /// ended.
    async fn announcements(&self) -> Vec<AgentAnnouncement> {
        let (reply, announcements) = oneshot::channel();
        let sent = self.control.send(ControlEvent::ListAgents(reply)).await;
        match sent {
            Ok(()) => announcements.await.unwrap_or_default(),
            Err(_) => Vec::new(),
        }
    }
}

impl PeerService {
    /// Requests a permit from the broker. A request that can be granted soon waits until then, so
    /// that the round trip of a retry does not waste load starts that the store allows.
    async fn wait_for_permit(&self, request: PermitRequest) -> PermitReply {
        let mut remaining_wait = MAX_PERMIT_WAIT;
        loop {
            let now = self.state.clock.now();
            let reply = self
                .broker
                .request(now, &self.state.catalogue.load(), request.clone());
            let PermitReply::Wait(delay) = reply else {
                return reply;
            };
            if delay > remaining_wait {
                return reply;
            }
            remaining_wait -= delay;
            tokio::time::sleep(delay).await;
        }
    }
}

impl EntryRpc for PeerService {
    async fn announce(
        self,
        _context: Context,
        announcement: AgentAnnouncement,
    ) -> Result<AnnouncementReply> {
        let revision = self.state.catalogue.load().revision();
        // A full queue drops the announcement; the next one of the agent replaces it.
        let sent = self.control.try_send(ControlEvent::Announced(announcement));
        Ok(AnnouncementReply {
            wants_full: sent.is_err(),
            revision,
        })
    }

    async fn summarize(self, _context: Context, summary: DataCentreSummary) -> Result<()> {
        log::debug!("event=summary_taken data_centre={}", summary.data_centre);
        Ok(())
    }

    async fn request_permit(
        self,
        _context: Context,
        request: PermitRequest,
    ) -> Result<PermitReply> {
        Ok(self.wait_for_permit(request).await)
    }

    async fn return_permit(
        self,
        _context: Context,
        endpoint: EndpointId,
        adapter: AdapterRef,
    ) -> Result<()> {
        self.broker.release(endpoint, adapter);
        Ok(())
    }

    async fn snapshot_part(
        self,
        _context: Context,
        revision: Option<ConfigRevision>,
        index: u32,
    ) -> Result<SnapshotPart> {
        self.state
            .configuration
            .snapshot_part(revision, index)
            .await
    }

    async fn status(self, _context: Context) -> EntryStatus {
        EntryStatus {
            identity: self.state.identity.clone(),
            revision: self.state.catalogue.load().revision(),
            ready: self.state.readiness.is_ready(),
            draining: self.state.limiter.is_draining(),
            in_flight: self.state.limiter.in_flight(),
            agents: self.announcements().await,
            decisions: self.state.decisions.recent(),
        }
    }

    async fn drain(self, _context: Context) -> Result<()> {
        self.state.limiter.start_draining();
        self.state.readiness.start_draining();
        self.drain.send_replace(true);
        Ok(())
    }
}
