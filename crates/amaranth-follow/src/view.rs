//! The view of the configuration that a follower provides to its process.

use std::sync::Arc;

use amaranth_config::catalogue::Catalogue;
use amaranth_config::history::HistoryStatus;
use amaranth_core::Result;
use amaranth_core::errors::internal;
use amaranth_core::ids::{ConfigRevision, LogOffset};
use amaranth_wire::entry::SnapshotPart;
use arc_swap::ArcSwap;
use tokio::sync::{mpsc, oneshot, watch};

/// The progress of a follower through the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowerState {
    /// The revision in force in this process.
    pub revision: ConfigRevision,
    /// The offset of the next record to be read.
    pub next: LogOffset,
    /// The number of records in the log that were not applied yet, as of the last read.
    pub lag_records: u64,
    /// Whether the process has caught up with the log since it started.
    pub caught_up: bool,
    /// Whether the last read of the log failed.
    pub log_failing: bool,
    /// Whether the log lost its newest records: it ends before records that were already read.
    pub log_rewound: bool,
    /// The completeness of the configuration history.
    pub history_status: HistoryStatus,
}

impl Default for FollowerState {
    fn default() -> Self {
        Self {
            revision: ConfigRevision::default(),
            next: LogOffset::default(),
            lag_records: 0,
            caught_up: false,
            log_failing: false,
            log_rewound: false,
            history_status: HistoryStatus::Complete,
        }
    }
}

/// A request to the follower's task for a part of a snapshot.
#[derive(Debug)]
pub(crate) struct PartRequest {
    pub(crate) revision: Option<ConfigRevision>,
    pub(crate) index: u32,
    pub(crate) reply: oneshot::Sender<Result<SnapshotPart>>,
}

/// A view of the configuration that a follower keeps up to date. All clones show the same state.
#[derive(Debug, Clone)]
pub struct ConfigView {
    pub(crate) catalogue: Arc<ArcSwap<Catalogue>>,
    pub(crate) state: watch::Receiver<FollowerState>,
    pub(crate) parts: mpsc::Sender<PartRequest>,
}

impl ConfigView {
    /// Returns the catalogue in force, without waiting.
    pub fn catalogue(&self) -> Arc<Catalogue> {
        self.catalogue.load_full()
    }

    /// Returns the shared cell from which the catalogue in force can be loaded.
    pub fn cell(&self) -> Arc<ArcSwap<Catalogue>> {
        Arc::clone(&self.catalogue)
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> ConfigRevision {
        self.catalogue.load().revision()
    }

    /// Returns the progress of the follower.
    pub fn state(&self) -> FollowerState {
        *self.state.borrow()
    }

    /// Returns a receiver that is notified of each change of the follower's state.
    pub fn watch(&self) -> watch::Receiver<FollowerState> {
        self.state.clone()
    }

    /// Waits until the process has caught up, and returns false if the follower ends first.
    pub async fn wait_until_caught_up(&self) -> bool {
        let mut state = self.state.clone();
        state.wait_for(|state| state.caught_up).await.is_ok()
    }

    /// Returns one part of a snapshot of the configuration, for a peer.
    ///
    /// Without a revision, a snapshot of the current revision is started.
    ///
    /// # Errors
    ///
    /// Returns `NotReady` while the history is not complete, and `NotFound` when the snapshot of
    /// the revision is no longer cached or has no such part.
    pub async fn snapshot_part(
        &self,
        revision: Option<ConfigRevision>,
        index: u32,
    ) -> Result<SnapshotPart> {
        let (reply, answer) = oneshot::channel();
        let request = PartRequest {
            revision,
            index,
            reply,
        };
        let ended = |_| internal("the configuration follower has ended");
        self.parts
            .send(request)
            .await
            .map_err(|_| internal("the configuration follower has ended"))?;
        answer.await.map_err(ended)?
    }
}
