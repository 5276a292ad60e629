//! Appending of snapshots to the log, part by part.

use std::sync::Arc;
use std::time::Duration;

use amaranth_ports::PortError;
use amaranth_ports::log::{LogPort, LogStream};
use bytes::Bytes;

/// Number of attempts to append one part before the snapshot is abandoned.
const PART_ATTEMPTS: u32 = 4;

/// Delay between two attempts to append one part.
const PART_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Appends `records` in order, and returns whether all appends succeeded.
///
/// A part whose answer was lost is appended again, since readers ignore a duplicate part.
pub(crate) async fn write_snapshot(log: Arc<dyn LogPort>, records: Vec<Bytes>) -> bool {
    for record in records {
        if !append_part(&*log, record).await {
            return false;
        }
    }
    metrics::counter!("amaranth_config_snapshots_written_total").increment(1);
    true
}

async fn append_part(log: &dyn LogPort, record: Bytes) -> bool {
    for _ in 0..PART_ATTEMPTS {
        match log.append(LogStream::Configuration, record.clone()).await {
            Ok(_) => return true,
            Err(PortError::Limited(delay)) => tokio::time::sleep(delay).await,
            Err(error) => {
                log::warn!("event=config_snapshot_append_failed error={error:?}");
                tokio::time::sleep(PART_RETRY_DELAY).await;
            }
        }
    }
    false
}
