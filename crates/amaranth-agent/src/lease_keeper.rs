//! Holds the right to give the agent's endpoints orders.

use std::sync::Arc;
use std::time::Duration;

use amaranth_core::ids::{FencingToken, ProcessId};
use amaranth_ports::log::{LogPort, LogStream};
use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::sleep;

/// Time between two attempts to append a lease record.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Appends a lease record and publishes its offset as the fencing token.
pub async fn run(
    log: Arc<dyn LogPort>,
    process: ProcessId,
    lease: watch::Sender<Option<FencingToken>>,
) {
    loop {
        let record = Bytes::from(process.to_string());
        match log.append(LogStream::Leases, record).await {
            Ok(offset) => {
                log::info!("event=lease_taken token={offset}");
                lease.send_replace(Some(FencingToken::from(offset)));
                return;
            }
            Err(error) => log::warn!("event=lease_refused error={:?}", error.to_string()),
        }
        sleep(RETRY_PAUSE).await;
    }
}
