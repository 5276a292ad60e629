//! Follows the log's configuration stream and publishes the catalogue in force.

use std::sync::Arc;
use std::time::Duration;

use amaranth_config::catalogue::Catalogue;
use amaranth_config::history::{ConfigHistory, HistoryStanding, RecordVerdict};
use amaranth_core::ids::LogOffset;
use amaranth_ports::log::{LogPage, LogPort, LogStream};
use arc_swap::ArcSwap;

use crate::entry_state::EntryState;

/// The catalogue that is in force now.
pub type CurrentCatalogue = Arc<ArcSwap<Catalogue>>;

/// Most records that one read returns.
const PAGE_RECORDS: usize = 256;

/// How long one read waits for a record.
const READ_WAIT: Duration = Duration::from_secs(5);

/// Pause after a failed read.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// Follows the stream for good.
pub async fn run(state: Arc<EntryState>, log: Arc<dyn LogPort>) {
    let mut history = ConfigHistory::open();
    let mut reachable = true;
    loop {
        let from = history.next_offset();
        let reading = log.read(LogStream::Configuration, from, PAGE_RECORDS, READ_WAIT);
        match reading.await {
            Ok(page) => {
                reachable = true;
                take_page(&state, &mut history, &page);
            }
            Err(error) => {
                if reachable {
                    log::warn!("event=log_unreachable stream=configuration error={error:?}");
                }
                reachable = false;
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
        if let HistoryStanding::Blocked(offset) = history.standing() {
            log::error!("event=configuration_blocked offset={offset}");
            tokio::time::sleep(READ_WAIT).await;
        }
    }
}

/// Rules the records of one page and publishes what they made.
fn take_page(state: &EntryState, history: &mut ConfigHistory, page: &LogPage) {
    history.note_first_kept(page.first_kept);
    for record in &page.records {
        let verdict = history.apply_record(record.offset, &record.data);
        log_verdict(record.offset, &verdict);
        // A snapshot that was taken over moves the history back to the records after it.
        if history.next_offset() <= record.offset {
            break;
        }
    }
    if history.revision() != state.catalogue.load().revision() {
        state.catalogue.store(history.catalogue());
        metrics::gauge!("amaranth_entry_config_revision").set(history.revision().0 as f64);
    }
    let complete = history.standing() == HistoryStanding::Complete;
    if complete && history.next_offset() >= page.end {
        state.readiness.configuration_caught_up();
    }
}

fn log_verdict(offset: LogOffset, verdict: &RecordVerdict) {
    match verdict {
        RecordVerdict::Accepted(change) => log::info!(
            "event=configuration_accepted offset={offset} revision={} author={} edits={}",
            change.revision,
            change.origin.author,
            change.edits
        ),
        RecordVerdict::Refused(change) => log::warn!(
            "event=configuration_refused offset={offset} author={} reason={:?}",
            change.origin.author,
            change.reason.to_string()
        ),
        RecordVerdict::Restored(revision) => {
            log::info!("event=configuration_restored offset={offset} revision={revision}");
        }
        RecordVerdict::Malformed(fault) => {
            log::error!("event=configuration_malformed offset={offset} fault={fault:?}");
        }
        RecordVerdict::Duplicate { .. }
        | RecordVerdict::Snapshot(_)
        | RecordVerdict::Passed
        | RecordVerdict::Unruled
        | RecordVerdict::Blocked(_) => log::debug!("event=record_passed offset={offset}"),
    }
}
