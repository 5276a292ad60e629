//! The tarpc service of the entry.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use amaranth_core::Result;
use amaranth_core::ids::{AdapterRef, ConfigRevision, EndpointId};
use amaranth_core::membership::AgentAnnouncement;
use amaranth_core::time::Timestamp;
use amaranth_wire::entry::{
    AnnouncementReply, DataCentreSummary, EntryRpc, EntryStatus, PermitReply, PermitRequest,
    SnapshotPart,
};
use tarpc::context::Context;
use tokio::sync::{mpsc, watch};

use crate::control_thread::ControlEvent;
use crate::entry_state::EntryState;

/// Adapter loads that may be in transit at once before all of them slow down.
const LOADS_IN_TRANSIT: usize = 8;

/// How long a permit holds without being renewed.
const PERMIT_TERM: Duration = Duration::from_secs(10);

/// When an agent that got no permit asks again.
const PERMIT_RETRY: Duration = Duration::from_millis(50);

/// The loads that hold a permit, with the end of each permit.
type PermitTable = HashMap<(EndpointId, AdapterRef), Timestamp>;

/// Answers agents, other entries and operators.
#[derive(Clone)]
pub struct PeerService {
    state: Arc<EntryState>,
    control: mpsc::Sender<ControlEvent>,
    drain: watch::Sender<bool>,
    permits: Arc<Mutex<PermitTable>>,
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
            permits: Arc::default(),
        }
    }

    fn grant(&self, request: PermitRequest) -> PermitReply {
        let now = self.state.clock.now();
        let mut permits = self.permits.lock().unwrap_or_else(PoisonError::into_inner);
        permits.retain(|_, ends| *ends > now);
        let key = (request.endpoint, request.adapter);
        if permits.len() >= LOADS_IN_TRANSIT && !permits.contains_key(&key) {
            return PermitReply::Wait(PERMIT_RETRY);
        }
        permits.insert(key, now + PERMIT_TERM);
        PermitReply::Granted(PERMIT_TERM)
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
        Ok(self.grant(request))
    }

    async fn return_permit(
        self,
        _context: Context,
        endpoint: EndpointId,
        adapter: AdapterRef,
    ) -> Result<()> {
        let mut permits = self.permits.lock().unwrap_or_else(PoisonError::into_inner);
        permits.remove(&(endpoint, adapter));
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
            leaving: self.state.gate.is_leaving(),
            in_flight: self.state.gate.in_flight(),
            agents: self.state.directory.load().announcements().to_vec(),
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
