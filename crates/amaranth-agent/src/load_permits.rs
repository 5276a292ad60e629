//! Leave to load, from the broker among the entries or from a small local share.

use std::sync::Arc;
use std::time::Duration;

use amaranth_core::ids::{AdapterRef, EndpointId};
use amaranth_wire::entry::{PermitReply, PermitRequest};
use tokio::sync::{Mutex, Semaphore};
use tokio::time::sleep;

use crate::entry_directory::EntryDirectory;

/// Loads in transit at once that an agent starts without a broker.
const LOCAL_SHARE: usize = 1;

/// Shortest pause between two loads without a broker.
const SHORTEST_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause between two loads without a broker.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

/// Asks for leave to load.
#[derive(Debug)]
pub struct LoadPermits {
    entries: Arc<EntryDirectory>,
    local: Semaphore,
    pause: Mutex<Duration>,
}

impl LoadPermits {
    /// Opens a client of the brokers among `entries`.
    pub fn open(entries: Arc<EntryDirectory>) -> Self {
        Self {
            entries,
            local: Semaphore::new(LOCAL_SHARE),
            pause: Mutex::new(SHORTEST_PAUSE),
        }
    }

    /// Returns when `adapter` may be loaded on `endpoint`.
    pub async fn acquire(&self, endpoint: &EndpointId, adapter: &AdapterRef, saved_wait_ms: u64) {
        let request = PermitRequest {
            endpoint: endpoint.clone(),
            adapter: adapter.clone(),
            saved_wait_ms,
            renewal: false,
        };
        loop {
            match self.ask(&request).await {
                Some(PermitReply::Granted(_)) => return,
                Some(PermitReply::Wait(delay)) => sleep(delay).await,
                Some(PermitReply::NotBroker) | None => return self.take_local().await,
            }
        }
    }

    /// Returns a permit whose load has ended.
    pub async fn release(&self, endpoint: &EndpointId, adapter: &AdapterRef, loaded: bool) {
        let mut pause = self.pause.lock().await;
        *pause = if loaded {
            (*pause / 2).max(SHORTEST_PAUSE)
        } else {
            (*pause * 2).min(LONGEST_PAUSE)
        };
        drop(pause);
        for entry in self.entries.connected().await {
            let returned =
                entry.return_permit(tarpc::context::current(), endpoint.clone(), adapter.clone());
            // A permit that can't be returned lapses at its broker.
            let _ = returned.await;
        }
    }

    /// Asks the entries in turn until one is the broker.
    async fn ask(&self, request: &PermitRequest) -> Option<PermitReply> {
        for entry in self.entries.connected().await {
            let reply = entry
                .request_permit(tarpc::context::current(), request.clone())
                .await;
            match reply {
                Ok(Ok(PermitReply::NotBroker)) | Ok(Err(_)) | Err(_) => {}
                Ok(Ok(reply)) => return Some(reply),
            }
        }
        None
    }

    /// Waits for the local share, which is one load at a time with a pause in between.
    async fn take_local(&self) {
        let Ok(_permit) = self.local.acquire().await else {
            return;
        };
        let pause = *self.pause.lock().await;
        sleep(pause).await;
    }
}
