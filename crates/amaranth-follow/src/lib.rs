//! Keeps the configuration of a running process up to date with the log.
//!
//! A process spawns one [`ConfigFollower`] and hands its [`ConfigView`] to whoever needs the
//! catalogue:
//!
//! ```no_run
//! # use std::sync::Arc;
//! # use amaranth_follow::{ConfigFollower, FollowerOptions};
//! # use amaranth_ports::log::LogPort;
//! # async fn example(log: Arc<dyn LogPort>) {
//! let follower = ConfigFollower::spawn(log, FollowerOptions::default());
//! let view = follower.view();
//! // Waits until the process is ready: the log's tail is read.
//! view.caught_up().await;
//! // Once for each request; the request keeps this catalogue to its end.
//! let catalogue = view.catalogue();
//! println!("routed by revision {}", catalogue.revision());
//! # }
//! ```
//!
//! A process that hands out the view before its control thread runs opens a
//! [`PreparedFollower`] and spawns it there.
//!
//! An entry also sets [`FollowerOptions::duty`] and tells its rank among the live entries by
//! [`ConfigFollower::set_rank`], so that snapshots get written; it answers
//! `EntryRpc::snapshot_part` by [`ConfigView::snapshot_part`], and passes the addresses of
//! other entries in [`FollowerOptions::peers`]. An agent passes its entries there.
//!
//! Metrics, without labels, so that one process shows one line each:
//! `amaranth_config_revision`, `amaranth_config_lag_records`, `amaranth_config_caught_up`,
//! `amaranth_config_accepted_total`, `amaranth_config_refused_total`,
//! `amaranth_config_log_failures_total`, `amaranth_config_snapshots_written_total`.

mod bootstrap;
mod follower;
mod options;
mod parts;
mod snapshot_writer;
mod task;
mod verdict_report;
mod view;

pub use bootstrap::{PeerSnapshots, SnapshotSource};
pub use follower::{ConfigFollower, PreparedFollower};
pub use options::FollowerOptions;
pub use view::{ConfigView, FollowerState};
