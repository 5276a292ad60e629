//! A fake entry that records announcements and answers permit requests as a test sets it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_core::Result;
use amaranth_core::errors::not_found;
use amaranth_core::ids::{AdapterRef, ConfigRevision, EndpointId};
use amaranth_core::membership::AgentAnnouncement;
use amaranth_wire::entry::{
    AnnouncementReply, DataCentreSummary, EntryRpc, EntryStatus, PermitReply, PermitRequest,
    SnapshotPart,
};
use amaranth_wire::transport::{self, PeerTransport, ServerHandle};
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};

/// The calls that a fake entry received, and its answers.
#[derive(Default)]
pub struct EntryRecords {
    /// The received announcements in order.
    pub announcements: Mutex<Vec<AgentAnnouncement>>,
    /// The received permit requests in order.
    pub permits: Mutex<Vec<PermitRequest>>,
    /// The adapters whose permits were returned.
    pub returned: Mutex<Vec<AdapterRef>>,
    /// The reply to permit requests; `None` means that the entry is not the broker.
    pub reply: Mutex<Option<PermitReply>>,
    /// Whether calls on the first connection are never answered.
    pub silent: AtomicBool,
    connections: Mutex<u32>,
}

/// A fake entry that listens on loopback.
pub struct FakeEntry {
    /// The received calls and the answers.
    pub records: Arc<EntryRecords>,
    server: ServerHandle,
}

#[derive(Clone)]
struct FakeEntryService {
    records: Arc<EntryRecords>,
    connection: u32,
}

impl FakeEntry {
    /// Binds the entry to a loopback port.
    pub async fn bind() -> Self {
        let records = Arc::new(EntryRecords::default());
        let shared = records.clone();
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = transport::bind(address, move |transport: PeerTransport<_, _>| {
            let mut connections = shared.connections.lock().unwrap();
            *connections += 1;
            let service = FakeEntryService {
                records: shared.clone(),
                connection: *connections,
            };
            BaseChannel::with_defaults(transport)
                .execute(service.serve())
                .for_each_concurrent(None, |response| response)
        });
        Self {
            records,
            server: server.await.unwrap(),
        }
    }

    /// Returns the address on which the entry listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the number of connections so far.
    pub fn connections(&self) -> u32 {
        *self.records.connections.lock().unwrap()
    }

    /// Waits until an announcement satisfies `wanted`, and returns that announcement.
    pub async fn announced(
        &self,
        wanted: impl Fn(&AgentAnnouncement) -> bool,
    ) -> AgentAnnouncement {
        let waiting = async {
            loop {
                let found = {
                    let announcements = self.records.announcements.lock().unwrap();
                    announcements
                        .iter()
                        .find(|announcement| wanted(announcement))
                        .cloned()
                };
                if let Some(found) = found {
                    return found;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let max_wait = Duration::from_secs(30);
        tokio::time::timeout(max_wait, waiting)
            .await
            .expect("the agent sends a matching announcement")
    }
}

impl FakeEntryService {
    /// Waits forever on the first connection while the entry is silent.
    async fn wait_if_silent(&self) {
        if self.connection == 1 && self.records.silent.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
    }
}

impl EntryRpc for FakeEntryService {
    async fn announce(
        self,
        _: Context,
        announcement: AgentAnnouncement,
    ) -> Result<AnnouncementReply> {
        self.wait_if_silent().await;
        self.records
            .announcements
            .lock()
            .unwrap()
            .push(announcement);
        Ok(AnnouncementReply {
            wants_full: false,
            revision: ConfigRevision(7),
        })
    }

    async fn summarize(self, _: Context, _: DataCentreSummary) -> Result<()> {
        Ok(())
    }

    async fn request_permit(self, _: Context, request: PermitRequest) -> Result<PermitReply> {
        self.wait_if_silent().await;
        self.records.permits.lock().unwrap().push(request);
        let reply = self.records.reply.lock().unwrap().clone();
        Ok(reply.unwrap_or(PermitReply::NotBroker))
    }

    async fn return_permit(self, _: Context, _: EndpointId, adapter: AdapterRef) -> Result<()> {
        self.records.returned.lock().unwrap().push(adapter);
        Ok(())
    }

    async fn snapshot_part(
        self,
        _: Context,
        _: Option<ConfigRevision>,
        _: u32,
    ) -> Result<SnapshotPart> {
        Err(not_found("a fake entry has no snapshot"))
    }

    async fn status(self, _: Context) -> EntryStatus {
        unreachable!("agents do not request an entry's status")
    }

    async fn drain(self, _: Context) -> Result<()> {
        Ok(())
    }
}
