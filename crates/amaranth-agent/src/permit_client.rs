//! Leave to load, from the broker among the entries or from a small local share.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use amaranth_core::ids::{AdapterRef, EndpointId};
use amaranth_wire::entry::{PermitReply, PermitRequest};
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::entry_directory::EntryDirectory;
use crate::entry_link::EntryLink;

/// Loads in transit at once that an agent starts without a broker.
const LOCAL_SHARE: usize = 1;

/// Time between two renewals of a permit whose load is in transit.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);

/// Shortest pause before a load without a broker.
const SHORTEST_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause before a load without a broker.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

/// What the broker or the local share says of a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitVerdict {
    /// It may start.
    Granted,
    /// It is to be asked for again after this time.
    Delayed(Duration),
}

/// Asks for leave to load.
pub struct LoadPermits {
    entries: Arc<EntryDirectory>,
    /// The entry that held the broker's duty when it was last asked.
    broker: Mutex<Option<SocketAddr>>,
    local: Semaphore,
    local_pause: Mutex<Duration>,
}

impl LoadPermits {
    /// Opens a client of the brokers among `entries`.
    pub fn open(entries: Arc<EntryDirectory>) -> Self {
        Self {
            entries,
            broker: Mutex::new(None),
            local: Semaphore::new(LOCAL_SHARE),
            local_pause: Mutex::new(SHORTEST_PAUSE),
        }
    }

    /// Asks whether `adapter` may be loaded on `endpoint`, which saves `saved_wait_ms` of waiting.
    pub async fn ask(
        &self,
        endpoint: &EndpointId,
        adapter: &AdapterRef,
        saved_wait_ms: u64,
    ) -> PermitVerdict {
        let request = PermitRequest {
            endpoint: endpoint.clone(),
            adapter: adapter.clone(),
            saved_wait_ms,
            renewal: false,
        };
        match self.ask_broker(&request).await {
            Some(PermitReply::Granted(_)) => PermitVerdict::Granted,
            Some(PermitReply::Wait(delay)) => PermitVerdict::Delayed(delay),
            Some(PermitReply::NotBroker) | None => self.take_local().await,
        }
    }

    /// Runs a load to its end and keeps its permit from lapsing meanwhile.
    pub async fn keep_during<Loaded>(
        &self,
        endpoint: &EndpointId,
        adapter: &AdapterRef,
        load: impl Future<Output = Loaded>,
    ) -> Loaded {
        let renewal = PermitRequest {
            endpoint: endpoint.clone(),
            adapter: adapter.clone(),
            saved_wait_ms: 0,
            renewal: true,
        };
        let renewing = async {
            loop {
                sleep(RENEWAL_INTERVAL).await;
                self.ask_broker(&renewal).await;
            }
        };
        tokio::select! {
            loaded = load => loaded,
            never = renewing => never,
        }
    }

    /// Returns a permit whose load has ended.
    pub async fn release(&self, endpoint: &EndpointId, adapter: &AdapterRef, loaded: bool) {
        self.note_local(loaded);
        let broker = *lock(&self.broker);
        let links = self.entries.links();
        let Some(link) = broker.and_then(|address| links.get(&address)) else {
            return;
        };
        let (endpoint, adapter) = (endpoint.clone(), adapter.clone());
        // A permit that can't be returned lapses at its broker.
        let _ = link
            .call(|client, context| async move {
                client.return_permit(context, endpoint, adapter).await
            })
            .await;
    }

    /// Asks the last broker first, and then the other entries until one is the broker.
    async fn ask_broker(&self, request: &PermitRequest) -> Option<PermitReply> {
        let links = self.entries.links();
        let last = *lock(&self.broker);
        let known = last.and_then(|address| links.get(&address));
        let others = links.values().filter(|link| Some(link.address()) != last);
        for link in known.into_iter().chain(others) {
            if let Some(reply) = ask_entry(link, request).await {
                *lock(&self.broker) = Some(link.address());
                return Some(reply);
            }
        }
        *lock(&self.broker) = None;
        None
    }

    /// Waits for the local share, which is one load at a time with a pause before it.
    async fn take_local(&self) -> PermitVerdict {
        let Ok(_share) = self.local.acquire().await else {
            return PermitVerdict::Delayed(LONGEST_PAUSE);
        };
        let pause = *lock(&self.local_pause);
        sleep(pause).await;
        metrics::counter!("amaranth_agent_local_permits_total").increment(1);
        PermitVerdict::Granted
    }

    /// Halves the local share after a failed load, and lets it recover by steps.
    fn note_local(&self, loaded: bool) {
        let mut pause = lock(&self.local_pause);
        *pause = if loaded {
            pause.saturating_sub(SHORTEST_PAUSE).max(SHORTEST_PAUSE)
        } else {
            (*pause * 2).min(LONGEST_PAUSE)
        };
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Asks one entry, and returns its reply unless it is not the broker or does not answer.
async fn ask_entry(link: &EntryLink, request: &PermitRequest) -> Option<PermitReply> {
    let request = request.clone();
    let reply =
        link.call(|client, context| async move { client.request_permit(context, request).await });
    match reply.await {
        Some(Ok(PermitReply::NotBroker)) | Some(Err(_)) | None => None,
        Some(Ok(reply)) => Some(reply),
    }
}
