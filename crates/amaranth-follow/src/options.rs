//! Options of a follower.

use std::sync::Arc;
use std::time::Duration;

use amaranth_config::snapshot_schedule::SnapshotScheduleOptions;

use crate::bootstrap::SnapshotSource;

/// Options of a follower.
#[derive(Clone)]
pub struct FollowerOptions {
    /// The source of a snapshot when the process starts, or when the log dropped records before
    /// they were read.
    pub peers: Option<Arc<dyn SnapshotSource>>,
    /// The schedule of the snapshots that this process writes into the log; `None` for agents.
    pub snapshot_schedule: Option<SnapshotScheduleOptions>,
    /// The name of this process and its incarnation, from which snapshot identities are derived.
    pub writer: String,
    /// The maximum number of records of one read.
    pub page_records: usize,
    /// The maximum time that one read waits for a record.
    pub read_wait: Duration,
    /// The delay after the first failed read, which doubles with each further failure.
    pub min_retry_delay: Duration,
    /// The maximum delay after a failed read.
    pub max_retry_delay: Duration,
    /// The time without a successful read after which a process that has just started relies on
    /// a peer's snapshot alone. With `None` the process waits for the log.
    pub log_timeout: Option<Duration>,
}

impl Default for FollowerOptions {
    fn default() -> Self {
        Self {
            peers: None,
            snapshot_schedule: None,
            writer: String::new(),
            page_records: 32,
            read_wait: Duration::from_secs(10),
            min_retry_delay: Duration::from_millis(100),
            max_retry_delay: Duration::from_secs(2),
            log_timeout: Some(Duration::from_secs(30)),
        }
    }
}
