//! The handle of a running follower.

use std::sync::Arc;

use amaranth_ports::log::LogPort;
use arc_swap::ArcSwap;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::options::FollowerOptions;
use crate::task::{FollowerTask, TaskChannels};
use crate::view::{ConfigView, FollowerState};

/// Maximum number of queued requests for parts of snapshots.
const PART_QUEUE_LENGTH: usize = 16;

/// A follower that has not been spawned yet. Its view can already be passed to other components.
pub struct PreparedFollower {
    view: ConfigView,
    rank: watch::Sender<Option<u32>>,
    task: FollowerTask,
}

impl PreparedFollower {
    /// Creates a follower of the configuration stream of `log`.
    pub fn new(log: Arc<dyn LogPort>, options: FollowerOptions) -> Self {
        let catalogue = Arc::new(ArcSwap::default());
        let (state_sender, state) = watch::channel(FollowerState::default());
        let (parts, part_requests) = mpsc::channel(PART_QUEUE_LENGTH);
        let (rank, rank_receiver) = watch::channel(None);
        let channels = TaskChannels {
            catalogue: Arc::clone(&catalogue),
            state: state_sender,
            part_requests,
            rank: rank_receiver,
        };
        let view = ConfigView {
            catalogue,
            state,
            parts,
        };
        let task = FollowerTask::new(log, options, channels);
        Self { view, rank, task }
    }

    /// Returns the view that the follower will keep up to date.
    pub fn view(&self) -> ConfigView {
        self.view.clone()
    }

    /// Spawns the follower on the current runtime.
    pub fn spawn(self) -> ConfigFollower {
        ConfigFollower {
            view: self.view,
            rank: self.rank,
            task: tokio::spawn(self.task.run()),
        }
    }
}

/// The handle of a running follower, which stops when the handle is dropped.
#[derive(Debug)]
pub struct ConfigFollower {
    view: ConfigView,
    rank: watch::Sender<Option<u32>>,
    task: JoinHandle<()>,
}

impl ConfigFollower {
    /// Spawns a follower of the configuration stream of `log`.
    pub fn spawn(log: Arc<dyn LogPort>, options: FollowerOptions) -> Self {
        PreparedFollower::new(log, options).spawn()
    }

    /// Returns the view that this follower keeps up to date.
    pub fn view(&self) -> ConfigView {
        self.view.clone()
    }

    /// Sets this process's rank among the writers of snapshots, counted from 0.
    ///
    /// The rank is the number of entries that precede this one in an order on which all entries
    /// agree. Without a rank, the process writes no snapshots.
    pub fn set_rank(&self, rank: Option<u32>) {
        self.rank.send_if_modified(|current| {
            let changed = *current != rank;
            *current = rank;
            changed
        });
    }

    /// Stops the follower. Views keep the last catalogue.
    pub fn stop(&self) {
        self.task.abort();
    }
}

impl Drop for ConfigFollower {
    fn drop(&mut self) {
        self.task.abort();
    }
}
