//! The connection to one entry, reopened after it breaks or a call times out.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use amaranth_wire::answers::answer_of;
use amaranth_wire::entry::{EntryRpcClient, connect};
use tarpc::client::RpcError;
use tarpc::context::Context;
use tokio::time::timeout;

/// A client of one entry that reconnects on demand.
#[derive(Debug)]
pub struct EntryLink {
    address: SocketAddr,
    timeout: Duration,
    client: Mutex<Option<EntryRpcClient>>,
}

impl EntryLink {
    /// Creates a link that connects on first use. After a call without an answer within `timeout`
    /// the connection is abandoned and the next call opens a new one.
    pub const fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            timeout,
            client: Mutex::new(None),
        }
    }

    /// Returns the address of the entry.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes one call and returns its reply, or `None` if the entry can't be reached or does not
    /// answer in time.
    pub async fn call<Reply, Call, Calling>(&self, call: Call) -> Option<Reply>
    where
        Call: FnOnce(EntryRpcClient, Context) -> Calling,
        Calling: Future<Output = Result<Reply, RpcError>>,
    {
        let client = self.client().await?;
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + self.timeout;
        match timeout(self.timeout, answer_of(call(client, context))).await {
            Ok(Ok(reply)) => Some(reply),
            Ok(Err(error)) => {
                self.abandon(&error.to_string());
                None
            }
            Err(_) => {
                self.abandon("silence");
                None
            }
        }
    }

    async fn client(&self) -> Option<EntryRpcClient> {
        if let Some(client) = self.lock().clone() {
            return Some(client);
        }
        let client = connect(self.address, self.timeout).await.ok()?;
        *self.lock() = Some(client.clone());
        Some(client)
    }

    fn abandon(&self, cause: &str) {
        if self.lock().take().is_some() {
            metrics::counter!("amaranth_agent_entry_connections_abandoned_total").increment(1);
            let address = self.address;
            log::info!("event=entry_connection_abandoned entry={address} cause={cause:?}");
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<EntryRpcClient>> {
        self.client.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
