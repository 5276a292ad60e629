//! Follows the log's claims stream.

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

/// Most records that one read returns.
const PAGE_RECORDS: usize = 256;

/// How long one read waits for a record.
const READ_WAIT: Duration = Duration::from_secs(1);

/// Pause after a failed read.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Reads the stream for the desk.
#[derive(Clone)]
pub struct ClaimTail {
    /// The clock of the desk.
    pub clock: MonotonicClock,
    /// The log.
    pub log: Arc<dyn LogPort>,
    /// Where pages go.
    pub events: mpsc::Sender<ClaimTaskEvent>,
    /// The offset that the desk wants next.
    pub next_offset: Arc<AtomicU64>,
}

impl ClaimTail {
    /// Reads once and tells the desk. Returns whether the log answered.
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
        let sent = self.events.send(ClaimTaskEvent::Desk(event)).await;
        answered && sent.is_ok()
    }
}

/// Follows the stream for good. The first read does not wait: an entry that starts must learn at
/// once that there is nothing more to read.
pub async fn follow(tail: ClaimTail) {
    let mut wait = Duration::ZERO;
    loop {
        if tail.read_once(wait).await {
            wait = READ_WAIT;
        } else {
            tokio::time::sleep(FAILURE_PAUSE).await;
        }
        // Lets the desk take the page, so that the next read starts behind it.
        tokio::task::yield_now().await;
    }
}

/// Decodes a page up to the first batch that a later release wrote. The claims behind it can't be
/// ruled, so the desk never sees the end of the stream and claims nothing.
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
