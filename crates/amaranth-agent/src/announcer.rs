//! Announces the state of the agent's endpoints to the entries of the data centre.
//!
//! Each entry has its own task, so that an unresponsive entry does not delay the others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use amaranth_core::ids::ConfigRevision;
use futures::future::join_all;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::entry_link::EntryLink;
use crate::server::AgentCore;

/// Time between two reads of the list of VMs.
const LIST_INTERVAL: Duration = Duration::from_secs(5);

/// Delay between a change and its announcement, and so the minimum time between two announcements
/// of changes to one entry.
const CHANGE_DELAY: Duration = Duration::from_millis(20);

/// Signals that a change is to be announced to the entries at once.
#[derive(Debug)]
pub struct ChangeSignal {
    changes: watch::Sender<u64>,
}

impl Default for ChangeSignal {
    fn default() -> Self {
        Self {
            changes: watch::Sender::new(0),
        }
    }
}

impl ChangeSignal {
    /// Signals a change.
    pub fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}

/// Runs one announcing task for each known entry.
pub async fn run(core: Arc<AgentCore>) {
    let mut tasks = JoinSet::new();
    let mut running: BTreeMap<SocketAddr, AbortHandle> = BTreeMap::new();
    let mut ticks = interval(LIST_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        core.entries.refresh().await;
        let links = core.entries.links();
        running.retain(|address, task| {
            let known = links.contains_key(address);
            if !known {
                task.abort();
            }
            known
        });
        for (address, link) in links.iter() {
            running
                .entry(*address)
                .or_insert_with(|| tasks.spawn(announce_to(core.clone(), link.clone())));
        }
    }
}

/// Sends announcements to one entry at the announcement interval, and at once on a change.
async fn announce_to(core: Arc<AgentCore>, link: Arc<EntryLink>) {
    let mut changes = core.change_signal.subscribe();
    let mut ticks = interval(core.limits.announce_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = changes.changed() => sleep(CHANGE_DELAY).await,
        }
        changes.mark_unchanged();
        announce(&core, &link).await;
    }
}

/// Sends one announcement to every known entry and waits for their answers.
pub async fn announce_to_all(core: &AgentCore) {
    let links = core.entries.links();
    join_all(links.values().map(|link| announce(core, link))).await;
}

/// Sends one announcement. The entry's answer is the heartbeat of the connection.
async fn announce(core: &AgentCore, link: &EntryLink) {
    let announcement = core.announcement();
    let reply =
        link.call(|client, context| async move { client.announce(context, announcement).await });
    match reply.await {
        // A new revision is announced at once, so that operators see that the agent has it.
        Some(Ok(reply)) if core.revision.update(reply.revision) => core.change_signal.notify(),
        Some(Ok(_)) => {}
        Some(Err(error)) => {
            log::warn!(
                "event=announcement_refused entry={} {error}",
                link.address()
            );
        }
        None => {}
    }
}

/// The newest configuration revision that an entry has reported.
#[derive(Debug, Default)]
pub struct LatestRevision(AtomicU64);

impl LatestRevision {
    /// Updates the revision to `revision` if that is newer, and returns whether it is.
    pub fn update(&self, revision: ConfigRevision) -> bool {
        self.0.fetch_max(revision.0, Ordering::Relaxed) < revision.0
    }

    /// Returns the newest revision.
    pub fn get(&self) -> ConfigRevision {
        ConfigRevision(self.0.load(Ordering::Relaxed))
    }
}
