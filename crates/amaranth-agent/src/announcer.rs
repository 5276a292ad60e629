//! Tells the entries of the data centre what the agent has.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use amaranth_core::ids::ConfigRevision;
use amaranth_core::membership::AgentAnnouncement;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::server::AgentCore;

/// Time between two reads of the list of VMs.
const LIST_INTERVAL: Duration = Duration::from_secs(5);

/// Shortest time between two announcements, however often things change.
const CHANGE_PAUSE: Duration = Duration::from_millis(20);

/// Announces every interval and at once on a change, until the task is aborted.
pub async fn run(core: Arc<AgentCore>) {
    let mut rounds = interval(core.limits.announce_interval);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut lists = interval(LIST_INTERVAL);
    loop {
        tokio::select! {
            _ = rounds.tick() => {}
            () = core.changed.notified() => tokio::time::sleep(CHANGE_PAUSE).await,
            _ = lists.tick() => {
                core.entries.refresh().await;
                continue;
            }
        }
        announce(&core).await;
    }
}

/// Sends one announcement to every known entry and waits for their answers.
pub async fn announce(core: &Arc<AgentCore>) {
    let announcement = core.announcement();
    let mut sends = JoinSet::new();
    for address in core.entries.addresses().await {
        sends.spawn(send(core.clone(), address, announcement.clone()));
    }
    sends.join_all().await;
}

/// Sends an announcement. Its answer is the connection's heartbeat: without one in time the
/// connection is abandoned for a new one.
async fn send(core: Arc<AgentCore>, address: SocketAddr, announcement: AgentAnnouncement) {
    let Some(client) = core.entries.client(address).await else {
        return;
    };
    let call = client.announce(tarpc::context::current(), announcement);
    match timeout(core.limits.entry_timeout, call).await {
        Ok(Ok(Ok(reply))) => core.revision.raise(reply.revision),
        Ok(Ok(Err(error))) => log::warn!("event=announcement_refused entry={address} {error}"),
        Ok(Err(_)) | Err(_) => core.entries.abandon(address).await,
    }
}

/// The newest configuration revision that an entry told of.
#[derive(Debug, Default)]
pub struct HeardRevision(AtomicU64);

impl HeardRevision {
    /// Takes a revision, which counts if it is newer.
    pub fn raise(&self, revision: ConfigRevision) {
        self.0.fetch_max(revision.0, Ordering::Relaxed);
    }

    /// Returns the newest revision.
    pub fn get(&self) -> ConfigRevision {
        ConfigRevision(self.0.load(Ordering::Relaxed))
    }
}
