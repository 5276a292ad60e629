//! Follower that keeps the configuration of a process up to date with the log.
//!
//! A process spawns one [`ConfigFollower`] and passes its [`ConfigView`] to every component that
//! needs the catalogue:
//!
//! ```no_run
//! # use std::sync::Arc;
//! # use amaranth_follow::{ConfigFollower, FollowerOptions};
//! # use amaranth_ports::log::LogPort;
//! # async fn example(log: Arc<dyn LogPort>) {
//! let follower = ConfigFollower::spawn(log, FollowerOptions::default());
//! let view = follower.view();
//! // The process is ready when the follower has read the log to its end.
//! view.wait_until_caught_up().await;
//! // Called once for each request, which uses the same catalogue until it ends.
//! let catalogue = view.catalogue();
//! println!("routed by revision {}", catalogue.revision());
//! # }
//! ```
//!
//! A process that needs the view before its control thread runs creates a
//! [`PreparedFollower`] and spawns it on that thread.
//!
//! An entry also sets [`FollowerOptions::snapshot_schedule`] and its rank among the entries with
//! [`ConfigFollower::set_rank`], so that it writes snapshots into the log. It serves
//! `EntryRpc::snapshot_part` with [`ConfigView::snapshot_part`], and passes the addresses of
//! other entries in [`FollowerOptions::peers`]. An agent passes the addresses of its entries.
//!
//! Metrics, without labels, so that each process exports one series of each:
//! `amaranth_config_revision`, `amaranth_config_lag_records`, `amaranth_config_caught_up`,
//! `amaranth_config_accepted_total`, `amaranth_config_refused_total`,
//! `amaranth_config_log_failures_total`, `amaranth_config_snapshots_written_total`.

mod bootstrap;
mod follower;
mod options;
mod outcome_report;
mod snapshot_cache;
mod snapshot_writer;
mod task;
mod view;

pub use bootstrap::{PeerSnapshotSource, SnapshotSource};
pub use follower::{ConfigFollower, PreparedFollower};
pub use options::FollowerOptions;
pub use view::{ConfigView, FollowerState};
