//! Tells the entries of the data centre what the agent has.
//!
//! Each entry has a task of its own, so that a silent one delays none of the others.

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

/// Shortest time between two announcements to one entry, however often things change.
const CHANGE_PAUSE: Duration = Duration::from_millis(20);

/// Says that the entries should learn of a change at once.
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
    /// Notes a change.
    pub fn raise(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}

/// Keeps one announcing task for each known entry, until the task is aborted.
pub async fn run(core: Arc<AgentCore>) {
    let mut tasks = JoinSet::new();
    let mut running: BTreeMap<SocketAddr, AbortHandle> = BTreeMap::new();
    let mut rounds = interval(LIST_INTERVAL);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        rounds.tick().await;
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

/// Announces to one entry every interval and at once on a change.
async fn announce_to(core: Arc<AgentCore>, link: Arc<EntryLink>) {
    let mut changes = core.changed.subscribe();
    let mut rounds = interval(core.limits.announce_interval);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = rounds.tick() => {}
            _ = changes.changed() => sleep(CHANGE_PAUSE).await,
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

/// Sends an announcement. Its answer is the heartbeat of the connection.
async fn announce(core: &AgentCore, link: &EntryLink) {
    let announcement = core.announcement();
    let reply =
        link.call(|client, context| async move { client.announce(context, announcement).await });
    match reply.await {
        // Operators see at once that the agent has the revision.
        Some(Ok(reply)) if core.revision.raise(reply.revision) => core.changed.raise(),
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

/// The newest configuration revision that an entry told of.
#[derive(Debug, Default)]
pub struct HeardRevision(AtomicU64);

impl HeardRevision {
    /// Takes a revision, and returns whether it is newer.
    pub fn raise(&self, revision: ConfigRevision) -> bool {
        self.0.fetch_max(revision.0, Ordering::Relaxed) < revision.0
    }

    /// Returns the newest revision.
    pub fn get(&self) -> ConfigRevision {
        ConfigRevision(self.0.load(Ordering::Relaxed))
    }
}
