//! An entry that records announcements and answers permit requests as a test says.

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

/// What an entry was told and how it answers.
#[derive(Default)]
pub struct EntryBooks {
    /// Announcements in the order in which they came.
    pub announcements: Mutex<Vec<AgentAnnouncement>>,
    /// Permit requests in the order in which they came.
    pub permits: Mutex<Vec<PermitRequest>>,
    /// Permits that were returned.
    pub returned: Mutex<Vec<AdapterRef>>,
    /// The answer to permit requests; nothing means that the entry is not the broker.
    pub reply: Mutex<Option<PermitReply>>,
    /// Whether calls on connections that are open now are never answered.
    pub silent: AtomicBool,
    connections: Mutex<u32>,
}

/// A fake entry that listens on loopback.
pub struct FakeEntry {
    /// What it was told.
    pub books: Arc<EntryBooks>,
    server: ServerHandle,
}

#[derive(Clone)]
struct FakeEntryService {
    books: Arc<EntryBooks>,
    connection: u32,
}

impl FakeEntry {
    /// Binds the entry.
    pub async fn bind() -> Self {
        let books = Arc::new(EntryBooks::default());
        let shared = books.clone();
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = transport::bind(address, move |transport: PeerTransport<_, _>| {
            let mut connections = shared.connections.lock().unwrap();
            *connections += 1;
            let service = FakeEntryService {
                books: shared.clone(),
                connection: *connections,
            };
            BaseChannel::with_defaults(transport)
                .execute(service.serve())
                .for_each_concurrent(None, |response| response)
        });
        Self {
            books,
            server: server.await.unwrap(),
        }
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the number of connections so far.
    pub fn connections(&self) -> u32 {
        *self.books.connections.lock().unwrap()
    }

    /// Waits until an announcement satisfies `wanted`, and returns it.
    pub async fn announced(
        &self,
        wanted: impl Fn(&AgentAnnouncement) -> bool,
    ) -> AgentAnnouncement {
        let waiting = async {
            loop {
                let found = {
                    let announcements = self.books.announcements.lock().unwrap();
                    announcements.iter().find(|known| wanted(known)).cloned()
                };
                if let Some(found) = found {
                    return found;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let generous = Duration::from_secs(30);
        tokio::time::timeout(generous, waiting)
            .await
            .expect("the agent announces it")
    }
}

impl FakeEntryService {
    /// Never returns on the first connection while it is silent.
    async fn hear(&self) {
        if self.connection == 1 && self.books.silent.load(Ordering::SeqCst) {
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
        self.hear().await;
        self.books.announcements.lock().unwrap().push(announcement);
        Ok(AnnouncementReply {
            wants_full: false,
            revision: ConfigRevision(7),
        })
    }

    async fn summarize(self, _: Context, _: DataCentreSummary) -> Result<()> {
        Ok(())
    }

    async fn request_permit(self, _: Context, request: PermitRequest) -> Result<PermitReply> {
        self.hear().await;
        self.books.permits.lock().unwrap().push(request);
        let reply = self.books.reply.lock().unwrap().clone();
        Ok(reply.unwrap_or(PermitReply::NotBroker))
    }

    async fn return_permit(self, _: Context, _: EndpointId, adapter: AdapterRef) -> Result<()> {
        self.books.returned.lock().unwrap().push(adapter);
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
        unreachable!("agents do not ask for it")
    }

    async fn drain(self, _: Context) -> Result<()> {
        Ok(())
    }
}
