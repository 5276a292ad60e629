//! The exchange of findings about crashes between entries, through the platform's store and past it.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use amaranth_core::time::WallTime;
use amaranth_dispatch::call_quarantine::EntryFindings;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::crash_watch::apply_change;
use crate::engine_port::PortError;
use crate::entry::EntryCore;
use crate::feed::{self, FeedEvent, FeedOptions, FeedSource};
use crate::findings_exchange;

/// Maximum time for which a read waits for findings.
const READ_WAIT: Duration = Duration::from_secs(8);

/// Minimum time between two reads, as a fraction of the time within which a published configuration
/// has to be in force.
const READ_INTERVAL_FRACTION: f64 = 0.8;

/// Time for which findings are collected before they are published.
const PUBLISH_DELAY: Duration = Duration::from_millis(200);

/// Delay after the first failed publication; doubled with each further one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum delay after a failed publication.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// The time between two checks for quarantines whose time is over.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

/// The newest findings of an entry, as the store holds them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishedFindings {
    /// The name of the entry.
    pub entry: String,
    /// The findings.
    pub findings: EntryFindings,
}

/// The place where an entry publishes its findings.
pub trait FindingsStore: Send + Sync + 'static {
    /// Replaces the findings of an entry.
    fn publish(
        &self,
        entry: &str,
        findings: &EntryFindings,
    ) -> impl Future<Output = Result<(), PortError>> + Send;
}

/// The tasks that exchange findings. Dropping the handle aborts them.
#[derive(Debug)]
pub struct FindingsTasks {
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for FindingsTasks {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Spawns the tasks that read the findings of all entries from `source` and publish those of this
/// entry to `store`.
pub fn spawn(
    core: &Arc<EntryCore>,
    source: impl FeedSource<Item = PublishedFindings>,
    store: impl FindingsStore,
) -> FindingsTasks {
    let options = FeedOptions {
        name: "findings",
        wait: READ_WAIT,
        interval: core.options.config_bound.mul_f64(READ_INTERVAL_FRACTION),
    };
    let reader = Arc::clone(core);
    let (publisher, expirer) = (Arc::clone(core), Arc::clone(core));
    FindingsTasks {
        tasks: vec![
            tokio::spawn(async move {
                feed::follow(source, options, |event| apply_event(&reader, event)).await;
            }),
            tokio::spawn(async move { publish_changes(&publisher, &store).await }),
            tokio::spawn(async move {
                loop {
                    sleep(EXPIRY_INTERVAL).await;
                    let change = expirer.state().quarantine.expire(WallTime::now());
                    apply_change(&expirer, &change);
                }
            }),
            tokio::spawn(findings_exchange::exchange(Arc::clone(core), 0)),
            tokio::spawn(findings_exchange::exchange(Arc::clone(core), 1)),
        ],
    }
}

/// Applies what was read. After a complete read, what an earlier process of this entry published is
/// adopted, and the findings are published again if the store lacks some.
fn apply_event(core: &EntryCore, event: FeedEvent<PublishedFindings>) {
    let (records, is_complete) = match event {
        FeedEvent::Snapshot(records) | FeedEvent::Restored(records) => (records, true),
        FeedEvent::Changes(records) => (records, false),
    };
    let now = WallTime::now();
    let is_own = |record: &PublishedFindings| record.entry == core.options.name;
    let (own, others): (Vec<_>, Vec<_>) = records.into_iter().partition(is_own);
    let others = others
        .into_iter()
        .map(|record| (record.entry, record.findings));
    let change = core.state().quarantine.apply(now, others);
    apply_change(core, &change);
    if is_complete {
        let published = own.into_iter().next_back();
        let published = published.map_or_else(EntryFindings::default, |record| record.findings);
        let change = core.state().quarantine.adopt(now, published);
        apply_change(core, &change);
    }
}

/// Publishes the findings of the entry whenever they change.
async fn publish_changes(core: &EntryCore, store: &impl FindingsStore) {
    let mut retry_delay = MIN_RETRY_DELAY;
    let mut changes = core.findings_changed.subscribe();
    loop {
        // The sender lives as long as the entry.
        let _ = changes.changed().await;
        sleep(PUBLISH_DELAY).await;
        changes.mark_unchanged();
        let findings = core.state().quarantine.findings().clone();
        match store.publish(&core.options.name, &findings).await {
            Ok(()) => retry_delay = MIN_RETRY_DELAY,
            Err(error) => {
                log::warn!("event=findings_not_published error={error}");
                sleep(retry_delay).await;
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
                changes.mark_changed();
            }
        }
    }
}
