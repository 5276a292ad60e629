//! The tarpc service of the entry.

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
use crate::load_duty::LoadDuty;

/// Longest time for which an ask for a load is held. It is well below the time after which an
/// agent gives up an entry that does not reply.
const LONGEST_HOLD: Duration = Duration::from_millis(750);

/// Answers agents, other entries and operators.
#[derive(Clone)]
pub struct PeerService {
    state: Arc<EntryState>,
    control: mpsc::Sender<ControlEvent>,
    drain: watch::Sender<bool>,
    loads: Arc<LoadDuty>,
}

impl PeerService {
    /// Opens the service.
    pub fn open(
        state: Arc<EntryState>,
        control: mpsc::Sender<ControlEvent>,
        drain: watch::Sender<bool>,
    ) -> Self {
        Self {
            state,
            control,
            drain,
            loads: Arc::new(LoadDuty::open()),
        }
    }

    /// Asks control for the last announcement of each agent.
    async fn announcements(&self) -> Vec<AgentAnnouncement> {
        let (reply, announcements) = oneshot::channel();
        let asked = self.control.send(ControlEvent::ListAgents(reply)).await;
        match asked {
            Ok(()) => announcements.await.unwrap_or_default(),
            Err(_) => Vec::new(),
        }
    }
}

impl PeerService {
    /// Rules on a load. An ask whose turn comes soon is held until then, so that no start that the
    /// store allows is lost to the way back and forth.
    async fn hold_request(&self, request: PermitRequest) -> PermitReply {
        let mut patience = LONGEST_HOLD;
        loop {
            let now = self.state.clock.now();
            let reply = self
                .loads
                .request(now, &self.state.catalogue.load(), request.clone());
            let PermitReply::Wait(delay) = reply else {
                return reply;
            };
            if delay > patience {
                return reply;
            }
            patience -= delay;
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
        // A full queue drops the announcement: the next one replaces it anyway.
        let taken = self.control.try_send(ControlEvent::Announced(announcement));
        Ok(AnnouncementReply {
            wants_full: taken.is_err(),
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
        Ok(self.hold_request(request).await)
    }

    async fn return_permit(
        self,
        _context: Context,
        endpoint: EndpointId,
        adapter: AdapterRef,
    ) -> Result<()> {
        self.loads.release(endpoint, adapter);
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
            draining: self.state.gate.is_leaving(),
            in_flight: self.state.gate.in_flight(),
            agents: self.announcements().await,
            decisions: self.state.decisions.recent(),
        }
    }

    async fn drain(self, _context: Context) -> Result<()> {
        self.state.gate.leave();
        self.state.readiness.leave();
        self.drain.send_replace(true);
        Ok(())
    }
}
