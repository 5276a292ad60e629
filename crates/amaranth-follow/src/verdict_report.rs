//! Log events and metrics for each verdict.

use amaranth_config::history::{AcceptedChange, RecordVerdict, RefusedChange};
use amaranth_core::ids::LogOffset;

/// Reports what became of the record at `offset`.
pub(crate) fn report_verdict(offset: LogOffset, verdict: &RecordVerdict) {
    match verdict {
        RecordVerdict::Accepted(accepted) => report_accepted(offset, accepted),
        RecordVerdict::Refused(refused) => report_refused(offset, refused),
        RecordVerdict::Duplicate { change, revision } => {
            log::info!(
                "event=config_duplicate offset={offset} change={change} revision={revision}"
            );
        }
        RecordVerdict::Snapshot(note) if note.complete => {
            let (revision, covers) = (note.revision, note.covers);
            log::info!(
                "event=config_snapshot_whole offset={offset} revision={revision} covers={covers}"
            );
        }
        RecordVerdict::Restored(revision) => {
            log::info!("event=config_restored offset={offset} revision={revision}");
        }
        RecordVerdict::Malformed(fault) => {
            log::warn!("event=config_record_malformed offset={offset} fault={fault:?}");
        }
        RecordVerdict::Blocked(format) => {
            log::error!("event=config_format_unknown offset={offset} format={format}");
        }
        RecordVerdict::Snapshot(_) | RecordVerdict::Passed | RecordVerdict::Unruled => {}
    }
}

fn report_accepted(offset: LogOffset, accepted: &AcceptedChange) {
    metrics::counter!("amaranth_config_accepted_total").increment(1);
    log::info!(
        "event=config_accepted offset={offset} revision={} change={} author={} edits={}",
        accepted.revision,
        accepted.change,
        accepted.origin.author,
        accepted.edits,
    );
}

fn report_refused(offset: LogOffset, refused: &RefusedChange) {
    metrics::counter!("amaranth_config_refused_total").increment(1);
    log::warn!(
        "event=config_refused offset={offset} change={} author={} base={} revision={} reason={:?}",
        refused.change,
        refused.origin.author,
        refused.base,
        refused.revision,
        refused.reason.to_string(),
    );
}
