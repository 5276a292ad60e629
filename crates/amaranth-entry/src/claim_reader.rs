//! Reader of the log's claims stream.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use amaranth_control::claim_codec::{self, BatchDecodeError};
use amaranth_control::claim_event::{ClaimEvent, ClaimPage};
use amaranth_control::claim_record::ClaimBatch;
use amaranth_core::ids::LogOffset;
use amaranth_core::time::MonotonicClock;
use amaranth_ports::log::{LogPage, LogPort, LogStream};
use tokio::sync::mpsc;

use crate::claim_client::ClaimTaskEvent;

/// Maximum number of records in one read.
const PAGE_RECORDS: usize = 256;

/// Maximum time that one read waits for a record.
const READ_WAIT: Duration = Duration::from_secs(1);

/// Delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Reads pages of the claims stream for the claim coordinator.
#[derive(Clone)]
pub struct ClaimReader {
    /// The clock of the claim coordinator.
    pub clock: MonotonicClock,
    /// The platform's log.
    pub log: Arc<dyn LogPort>,
    /// The channel to the claim task.
    pub events: mpsc::Sender<ClaimTaskEvent>,
    /// The next offset that the claim coordinator needs.
    pub next_offset: Arc<AtomicU64>,
}

impl ClaimReader {
    /// Reads one page and sends it to the claim task. Returns whether the log answered and the page
    /// was sent.
    pub async fn read_once(&self, wait: Duration) -> bool {
        let started = self.clock.now();
        let from = LogOffset(self.next_offset.load(Ordering::Relaxed));
        let reading = self.log.read(LogStream::Claims, from, PAGE_RECORDS, wait);
        let (event, answered) = match reading.await {
            Ok(page) => (ClaimEvent::Read(claim_page(started, page)), true),
            Err(error) => {
                log::debug!("event=log_unreachable stream=claims error={error:?}");
                (ClaimEvent::ReadFailed, false)
            }
        };
        let sent = self.events.send(ClaimTaskEvent::Coordinator(event)).await;
        answered && sent.is_ok()
    }
}

/// Follows the stream without end. The first read does not wait: an entry that starts must learn at
/// once when there is nothing more to read.
pub async fn follow(reader: ClaimReader) {
    let mut wait = Duration::ZERO;
    loop {
        if reader.read_once(wait).await {
            wait = READ_WAIT;
        } else {
            tokio::time::sleep(RETRY_DELAY).await;
        }
        // Lets the claim task handle the page, so that the next read starts after it.
        tokio::task::yield_now().await;
    }
}

/// Decodes a page up to the first batch in an unknown format, which a later release wrote. The
/// claims after it can't be evaluated, so the coordinator never sees the end of the stream and
/// claims nothing.
fn claim_page(started: amaranth_core::time::Timestamp, page: LogPage) -> ClaimPage {
    let mut batches = Vec::with_capacity(page.records.len());
    for record in page.records {
        match claim_codec::decode(&record.data) {
            Ok(batch) => batches.push((record.offset, batch)),
            Err(BatchDecodeError::Malformed) => {
                log::error!("event=claim_malformed offset={}", record.offset);
                batches.push((record.offset, ClaimBatch::default()));
            }
            Err(BatchDecodeError::UnknownFormat(format)) => {
                log::error!(
                    "event=claim_format_unknown offset={} format={format}",
                    record.offset
                );
                break;
            }
        }
    }
    ClaimPage {
        started,
        batches,
        first_kept: page.first_kept,
        end: page.end,
    }
}
