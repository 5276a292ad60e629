//! Log events and metrics for the outcomes of records.

use amaranth_config::history::{AcceptedChange, RecordOutcome, RefusedChange};
use amaranth_core::ids::LogOffset;

/// Reports the outcome of the record at `offset`.
pub(crate) fn report_outcome(offset: LogOffset, outcome: &RecordOutcome) {
    match outcome {
        RecordOutcome::Accepted(accepted) => report_accepted(offset, accepted),
        RecordOutcome::Refused(refused) => report_refused(offset, refused),
        RecordOutcome::Duplicate { change, revision } => {
            log::info!(
                "event=config_duplicate offset={offset} change={change} revision={revision}"
            );
        }
        RecordOutcome::Snapshot(info) if info.complete => {
            let (revision, covers) = (info.revision, info.covers);
            log::info!(
                "event=config_snapshot_whole offset={offset} revision={revision} covers={covers}"
            );
        }
        RecordOutcome::Restored(revision) => {
            log::info!("event=config_restored offset={offset} revision={revision}");
        }
        RecordOutcome::Malformed(error) => {
            log::warn!("event=config_record_malformed offset={offset} fault={error:?}");
        }
        RecordOutcome::Blocked(format) => {
            log::error!("event=config_format_unknown offset={offset} format={format}");
        }
        RecordOutcome::Snapshot(_)
        | RecordOutcome::AlreadyApplied
        | RecordOutcome::Undetermined => {}
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
