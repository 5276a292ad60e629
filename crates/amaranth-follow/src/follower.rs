//! The handle of a running follower.

use std::sync::Arc;

use amaranth_ports::log::LogPort;
use arc_swap::ArcSwap;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::options::FollowerOptions;
use crate::task::{FollowTask, TaskChannels};
use crate::view::{ConfigView, FollowerState};

/// Requests for parts of a snapshot that may wait at once.
const PART_QUEUE: usize = 16;

/// A follower that does not run yet, so that its view can be handed out first.
pub struct PreparedFollower {
    view: ConfigView,
    rank: watch::Sender<Option<u32>>,
    task: FollowTask,
}

impl PreparedFollower {
    /// Opens a follower of `log`'s configuration stream.
    pub fn open(log: Arc<dyn LogPort>, options: FollowerOptions) -> Self {
        let catalogue = Arc::new(ArcSwap::default());
        let (state_sender, state) = watch::channel(FollowerState::default());
        let (parts, part_requests) = mpsc::channel(PART_QUEUE);
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
        let task = FollowTask::open(log, options, channels);
        Self { view, rank, task }
    }

    /// Returns the configuration as the follower will keep it.
    pub fn view(&self) -> ConfigView {
        self.view.clone()
    }

    /// Spawns the follower on the present runtime.
    pub fn spawn(self) -> ConfigFollower {
        ConfigFollower {
            view: self.view,
            rank: self.rank,
            task: tokio::spawn(self.task.run()),
        }
    }
}

/// A running follower. It ends when it is dropped.
#[derive(Debug)]
pub struct ConfigFollower {
    view: ConfigView,
    rank: watch::Sender<Option<u32>>,
    task: JoinHandle<()>,
}

impl ConfigFollower {
    /// Spawns a follower of `log`'s configuration stream.
    pub fn spawn(log: Arc<dyn LogPort>, options: FollowerOptions) -> Self {
        PreparedFollower::open(log, options).spawn()
    }

    /// Returns the configuration as this follower keeps it.
    pub fn view(&self) -> ConfigView {
        self.view.clone()
    }

    /// Sets this process's rank for the duty to write snapshots, counted from 0.
    ///
    /// The rank is the number of live entries that come before this one in an order which all
    /// entries compute alike. Without a rank the process writes none.
    pub fn set_rank(&self, rank: Option<u32>) {
        self.rank.send_if_modified(|known| {
            let changed = *known != rank;
            *known = rank;
            changed
        });
    }

    /// Ends the follower. The catalogue stays as it is.
    pub fn stop(&self) {
        self.task.abort();
    }
}

impl Drop for ConfigFollower {
    fn drop(&mut self) {
        self.task.abort();
    }
}
