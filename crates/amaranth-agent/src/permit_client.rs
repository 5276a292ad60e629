//! Permits for adapter loads, from the broker among the entries or, without a broker, from a
//! small local limit.

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

/// Maximum number of loads without a broker that wait for their delay at the same time.
const LOCAL_PERMITS: usize = 1;

/// Time between two renewals of a permit whose load is in progress.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);

/// Minimum delay before a load without a broker.
const MIN_LOCAL_DELAY: Duration = Duration::from_millis(250);

/// Maximum delay before a load without a broker.
const MAX_LOCAL_DELAY: Duration = Duration::from_secs(8);

/// The outcome of a permit request, from the broker or the local limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitOutcome {
    /// The load may start.
    Granted,
    /// The permit is to be requested again after this time.
    Delayed(Duration),
}

/// Requests, renews and returns permits for adapter loads.
pub struct PermitClient {
    entries: Arc<EntryDirectory>,
    /// The address of the entry that last replied as the broker.
    broker: Mutex<Option<SocketAddr>>,
    local_permits: Semaphore,
    local_delay: Mutex<Duration>,
}

impl PermitClient {
    /// Creates a client of the broker among `entries`.
    pub fn new(entries: Arc<EntryDirectory>) -> Self {
        Self {
            entries,
            broker: Mutex::new(None),
            local_permits: Semaphore::new(LOCAL_PERMITS),
            local_delay: Mutex::new(MIN_LOCAL_DELAY),
        }
    }

    /// Requests a permit to load `adapter` on `endpoint`. The load saves the requests that wait
    /// for it `saved_wait_ms` milliseconds, by which the broker ranks permit requests.
    pub async fn request(
        &self,
        endpoint: &EndpointId,
        adapter: &AdapterRef,
        saved_wait_ms: u64,
    ) -> PermitOutcome {
        let request = PermitRequest {
            endpoint: endpoint.clone(),
            adapter: adapter.clone(),
            saved_wait_ms,
            renewal: false,
        };
        match self.request_from_broker(&request).await {
            Some(PermitReply::Granted(_)) => PermitOutcome::Granted,
            Some(PermitReply::Wait(delay)) => PermitOutcome::Delayed(delay),
            Some(PermitReply::NotBroker) | None => self.wait_for_local_permit().await,
        }
    }

    /// Runs a load to its end and renews its permit meanwhile.
    pub async fn renew_during<Loaded>(
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
                self.request_from_broker(&renewal).await;
            }
        };
        tokio::select! {
            loaded = load => loaded,
            never = renewing => never,
        }
    }

    /// Returns to the broker the permit of a load that has ended, and records whether it succeeded.
    pub async fn release(&self, endpoint: &EndpointId, adapter: &AdapterRef, loaded: bool) {
        self.record_local_outcome(loaded);
        let broker = *lock(&self.broker);
        let links = self.entries.links();
        let Some(link) = broker.and_then(|address| links.get(&address)) else {
            return;
        };
        let (endpoint, adapter) = (endpoint.clone(), adapter.clone());
        // A permit that can't be returned expires at its broker.
        let _ = link
            .call(|client, context| async move {
                client.return_permit(context, endpoint, adapter).await
            })
            .await;
    }

    /// Sends a request to the last known broker first, and then to the other entries until one
    /// replies as the broker.
    async fn request_from_broker(&self, request: &PermitRequest) -> Option<PermitReply> {
        let links = self.entries.links();
        let last = *lock(&self.broker);
        let known = last.and_then(|address| links.get(&address));
        let others = links.values().filter(|link| Some(link.address()) != last);
        for link in known.into_iter().chain(others) {
            if let Some(reply) = request_from_entry(link, request).await {
                *lock(&self.broker) = Some(link.address());
                return Some(reply);
            }
        }
        *lock(&self.broker) = None;
        None
    }

    /// Waits for a local permit. Loads wait one at a time, each for the current delay.
    async fn wait_for_local_permit(&self) -> PermitOutcome {
        let Ok(_permit) = self.local_permits.acquire().await else {
            return PermitOutcome::Delayed(MAX_LOCAL_DELAY);
        };
        let delay = *lock(&self.local_delay);
        sleep(delay).await;
        metrics::counter!("amaranth_agent_local_permits_total").increment(1);
        PermitOutcome::Granted
    }

    /// Doubles the local delay after a failed load, and shortens it by a step after a successful
    /// one.
    fn record_local_outcome(&self, loaded: bool) {
        let mut delay = lock(&self.local_delay);
        *delay = if loaded {
            delay.saturating_sub(MIN_LOCAL_DELAY).max(MIN_LOCAL_DELAY)
        } else {
            (*delay * 2).min(MAX_LOCAL_DELAY)
        };
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends a request to one entry and returns its reply, or `None` if the entry is not the broker
/// or does not answer.
async fn request_from_entry(link: &EntryLink, request: &PermitRequest) -> Option<PermitReply> {
    let request = request.clone();
    let reply =
        link.call(|client, context| async move { client.request_permit(context, request).await });
    match reply.await {
        Some(Ok(PermitReply::NotBroker)) | Some(Err(_)) | None => None,
        Some(Ok(reply)) => Some(reply),
    }
}
