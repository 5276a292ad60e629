//! Settings of a follower.

use std::sync::Arc;
use std::time::Duration;

use amaranth_config::snapshot_schedule::SnapshotScheduleOptions;

use crate::bootstrap::SnapshotSource;

/// Settings of a follower.
#[derive(Clone)]
pub struct FollowerOptions {
    /// Where a snapshot comes from when the process starts or has lost records.
    pub peers: Option<Arc<dyn SnapshotSource>>,
    /// When this process writes snapshots into the log; absent for agents.
    pub duty: Option<SnapshotScheduleOptions>,
    /// The name of this process's life, from which identities of snapshots are derived.
    pub writer: String,
    /// Records of one read.
    pub page_records: usize,
    /// How long one read waits at the log for a record.
    pub read_wait: Duration,
    /// Wait after the first failed read; it doubles with each further one.
    pub retry_least: Duration,
    /// Longest wait after a failed read.
    pub retry_most: Duration,
    /// Time without the log after which a process that has just started relies on its peers'
    /// snapshot alone. Absent means that it waits for the log.
    pub log_grace: Option<Duration>,
}

impl Default for FollowerOptions {
    fn default() -> Self {
        Self {
            peers: None,
            duty: None,
            writer: String::new(),
            page_records: 32,
            read_wait: Duration::from_secs(10),
            retry_least: Duration::from_millis(100),
            retry_most: Duration::from_secs(2),
            log_grace: Some(Duration::from_secs(30)),
        }
    }
}
