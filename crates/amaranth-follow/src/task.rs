//! The task that reads the log, applies its records and publishes the catalogue.

use std::sync::Arc;
use std::time::Duration;

use amaranth_config::catalogue::Catalogue;
use amaranth_config::history::{ConfigHistory, HistoryStatus, RecordOutcome};
use amaranth_config::snapshot::SnapshotId;
use amaranth_config::snapshot_schedule::{LogPosition, SnapshotSchedule};
use amaranth_core::ids::LogOffset;
use amaranth_core::time::Timestamp;
use amaranth_ports::PortResult;
use amaranth_ports::log::{LogPage, LogPort, LogStream};
use arc_swap::ArcSwap;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::options::FollowerOptions;
use crate::outcome_report::report_outcome;
use crate::snapshot_cache::SnapshotCache;
use crate::snapshot_writer::write_snapshot;
use crate::view::{FollowerState, PartRequest};

/// Delay between two attempts to recover from lost records or a record of an unknown format.
const RECOVERY_RETRY_DELAY: Duration = Duration::from_secs(5);

/// The channels between the task and its handle.
pub(crate) struct TaskChannels {
    pub(crate) catalogue: Arc<ArcSwap<Catalogue>>,
    pub(crate) state: watch::Sender<FollowerState>,
    pub(crate) part_requests: mpsc::Receiver<PartRequest>,
    pub(crate) rank: watch::Receiver<Option<u32>>,
}

/// The task of a follower, which runs until it is aborted.
pub(crate) struct FollowerTask {
    log: Arc<dyn LogPort>,
    options: FollowerOptions,
    channels: TaskChannels,
    history: ConfigHistory,
    snapshot_schedule: Option<SnapshotSchedule>,
    started_at: Instant,
    snapshot_cache: SnapshotCache,
    writer_task: Option<JoinHandle<bool>>,
    snapshot_attempts: u64,
    first_kept: LogOffset,
    failing_since: Option<Instant>,
    retry_delay: Duration,
    restored_from_peer: bool,
}

impl FollowerTask {
    pub(crate) fn new(
        log: Arc<dyn LogPort>,
        options: FollowerOptions,
        channels: TaskChannels,
    ) -> Self {
        Self {
            snapshot_schedule: options
                .snapshot_schedule
                .map(|schedule| SnapshotSchedule::new(Timestamp::ZERO, schedule)),
            retry_delay: options.min_retry_delay,
            log,
            options,
            channels,
            history: ConfigHistory::new(),
            started_at: Instant::now(),
            snapshot_cache: SnapshotCache::default(),
            writer_task: None,
            snapshot_attempts: 0,
            first_kept: LogOffset::default(),
            failing_since: None,
            restored_from_peer: false,
        }
    }

    /// Returns the time since the task was started.
    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.started_at.elapsed()
    }

    /// Follows the log until the task is aborted.
    pub(crate) async fn run(mut self) {
        self.started_at = Instant::now();
        self.bootstrap_from_peers().await;
        loop {
            let read = self.read_page().await;
            match read {
                Ok(page) => self.apply_page(page).await,
                Err(error) => {
                    log::warn!("event=config_read_failed error={error:?}");
                    self.handle_failure().await;
                }
            }
            self.snapshot_cache.evict_idle();
            self.write_snapshot_if_due();
        }
    }

    /// Reads the next page of the log, and serves peers while the read is pending.
    async fn read_page(&mut self) -> PortResult<LogPage> {
        let log = Arc::clone(&self.log);
        let from = self.history.next_offset();
        // Before the process has caught up, reads return at once when there are no more records.
        let wait = match self.channels.state.borrow().caught_up {
            true => self.options.read_wait,
            false => Duration::ZERO,
        };
        let stream = LogStream::Configuration;
        let read = log.read(stream, from, self.options.page_records, wait);
        tokio::pin!(read);
        loop {
            tokio::select! {
                page = &mut read => return page,
                Some(request) = self.channels.part_requests.recv() => self.serve_part(request),
            }
        }
    }

    fn serve_part(&mut self, request: PartRequest) {
        let part = self.snapshot_cache.serve(
            &self.history,
            &self.options.writer,
            request.revision,
            request.index,
        );
        // The send fails only if the peer no longer waits for the part.
        let _ = request.reply.send(part);
    }

    /// Applies the records of a page and publishes the result.
    async fn apply_page(&mut self, page: LogPage) {
        self.failing_since = None;
        self.retry_delay = self.options.min_retry_delay;
        self.first_kept = page.first_kept;
        self.handle_lost_records(page.first_kept);
        for record in &page.records {
            let outcome = self.history.apply_record(record.offset, &record.data);
            report_outcome(record.offset, &outcome);
            self.record_snapshot(&outcome);
            // After a restored snapshot, reading continues at another offset.
            if matches!(
                outcome,
                RecordOutcome::Restored(_) | RecordOutcome::Blocked(_)
            ) {
                break;
            }
        }
        self.report_rewound(page.end);
        self.publish(Some(page.end));
        if page.records.is_empty() && !self.channels.state.borrow().caught_up {
            // Reads do not wait before the process has caught up, so the task pauses here.
            self.serve_while_waiting(self.options.min_retry_delay).await;
        }
        self.recover_if_lost(page.end).await;
    }

    fn handle_lost_records(&mut self, first_kept: LogOffset) {
        let next = self.history.next_offset();
        if first_kept > next {
            log::error!(
                "event=config_records_lost next={next} first_kept={first_kept} revision={}",
                self.history.revision()
            );
        }
        self.history.update_first_kept(first_kept);
    }

    /// Reports that the log has lost records that this process has applied.
    ///
    /// New records reuse the offsets of the lost ones, so none is applied until the log's end has
    /// passed these offsets again. The catalogue stays in force.
    fn report_rewound(&self, end: LogOffset) {
        let next = self.history.next_offset();
        if end < next {
            let revision = self.history.revision();
            log::error!("event=config_log_rewound end={end} next={next} revision={revision}");
        }
    }

    fn record_snapshot(&mut self, outcome: &RecordOutcome) {
        let now = self.now();
        let Some(schedule) = &mut self.snapshot_schedule else {
            return;
        };
        match outcome {
            RecordOutcome::Snapshot(info) => schedule.record_part(now, info),
            RecordOutcome::Restored(_) => {
                if let Some(info) = self.history.last_snapshot() {
                    schedule.record_part(now, info);
                }
            }
            _ => {}
        }
    }

    /// Publishes the catalogue and the state. `end` is the log's end, if it was just read.
    fn publish(&mut self, end: Option<LogOffset>) {
        let revision = self.history.revision();
        if self.channels.catalogue.load().revision() != revision {
            self.channels.catalogue.store(self.history.catalogue());
            metrics::gauge!("amaranth_config_revision").set(revision.0 as f64);
        }
        let next = self.history.next_offset();
        let history_status = self.history.status();
        let previous = *self.channels.state.borrow();
        let reached = end == Some(next) && history_status == HistoryStatus::Complete;
        let state = FollowerState {
            revision,
            next,
            lag_records: end.map_or(previous.lag_records, |end| end.0.saturating_sub(next.0)),
            caught_up: reached || previous.caught_up,
            log_failing: end.is_none() && previous.log_failing,
            log_rewound: end.map_or(previous.log_rewound, |end| end < next),
            history_status,
        };
        self.publish_state(state);
    }

    fn publish_state(&self, state: FollowerState) {
        metrics::gauge!("amaranth_config_lag_records").set(state.lag_records as f64);
        metrics::gauge!("amaranth_config_caught_up").set(f64::from(u8::from(state.caught_up)));
        self.channels.state.send_if_modified(|current| {
            let changed = *current != state;
            if state.caught_up && !current.caught_up {
                log::info!("event=config_caught_up revision={}", state.revision);
            }
            *current = state;
            changed
        });
    }

    /// Restores a peer's snapshot when the log contains no snapshot that replaces lost records, and
    /// waits before the next attempt if that fails or the history is blocked.
    async fn recover_if_lost(&mut self, end: LogOffset) {
        match self.history.status() {
            HistoryStatus::AwaitingSnapshot(since) if self.history.next_offset() >= end => {
                log::error!(
                    "event=config_history_lost since={since} revision={} \
                     advice=\"no snapshot in the log reaches back far enough\"",
                    self.history.revision()
                );
                if !self.restore_from_peers().await {
                    sleep(RECOVERY_RETRY_DELAY).await;
                }
            }
            HistoryStatus::Blocked(_) => sleep(RECOVERY_RETRY_DELAY).await,
            _ => {}
        }
    }

    async fn bootstrap_from_peers(&mut self) {
        if self.restore_from_peers().await {
            self.restored_from_peer = true;
        }
    }

    /// Restores a peer's snapshot, and returns whether it was applied.
    async fn restore_from_peers(&mut self) -> bool {
        let Some(peers) = self.options.peers.clone() else {
            return false;
        };
        let Some(state) = peers.fetch().await else {
            return false;
        };
        let covers = state.covers;
        let restored = self.history.restore(state);
        if restored {
            let revision = self.history.revision();
            log::info!("event=config_peer_snapshot revision={revision} covers={covers}");
            self.publish(None);
        }
        restored
    }

    /// Records a failed read and waits, longer after each further failure.
    async fn handle_failure(&mut self) {
        metrics::counter!("amaranth_config_log_failures_total").increment(1);
        let since = *self.failing_since.get_or_insert_with(Instant::now);
        let mut state = *self.channels.state.borrow();
        state.log_failing = true;
        // No change can be accepted while the log is unavailable, so a peer's state is current.
        let timed_out = self
            .options
            .log_timeout
            .is_some_and(|timeout| since.elapsed() >= timeout);
        if !state.caught_up
            && timed_out
            && (self.restored_from_peer || self.restore_from_peers().await)
        {
            self.restored_from_peer = true;
            state = *self.channels.state.borrow();
            state.log_failing = true;
            state.caught_up = true;
        }
        self.publish_state(state);
        self.serve_while_waiting(self.retry_delay).await;
        self.retry_delay = (self.retry_delay * 2).min(self.options.max_retry_delay);
    }

    /// Serves peers for the duration of `wait`.
    async fn serve_while_waiting(&mut self, wait: Duration) {
        let pause = sleep(wait);
        tokio::pin!(pause);
        loop {
            tokio::select! {
                () = &mut pause => return,
                Some(request) = self.channels.part_requests.recv() => self.serve_part(request),
            }
        }
    }

    /// Starts to write a snapshot if one is due and none is being written.
    fn write_snapshot_if_due(&mut self) {
        let Some(rank) = *self.channels.rank.borrow() else {
            return;
        };
        let now = self.now();
        let position = LogPosition {
            first_kept: self.first_kept,
            next: self.history.next_offset(),
        };
        let Some(schedule) = &mut self.snapshot_schedule else {
            return;
        };
        let writing = self
            .writer_task
            .as_ref()
            .is_some_and(|task| !task.is_finished());
        let complete = self.history.status() == HistoryStatus::Complete;
        if writing
            || !complete
            || self.failing_since.is_some()
            || !schedule.is_due(now, rank, position)
        {
            return;
        }
        schedule.record_attempt(now);
        self.snapshot_attempts += 1;
        self.spawn_writer();
    }

    fn spawn_writer(&mut self) {
        let attempt = format!("{} log {}", self.options.writer, self.snapshot_attempts);
        let id = SnapshotId::derive(&attempt);
        let Some(state) = self.history.snapshot_state() else {
            return;
        };
        let revision = self.history.revision();
        match state.to_records(id) {
            Ok(records) => {
                let parts = records.len();
                log::info!("event=config_snapshot_begun revision={revision} parts={parts}");
                self.writer_task =
                    Some(tokio::spawn(write_snapshot(Arc::clone(&self.log), records)));
            }
            Err(error) => log::error!("event=config_snapshot_failed fault={error:?}"),
        }
    }
}

impl Drop for FollowerTask {
    fn drop(&mut self) {
        if let Some(task) = &self.writer_task {
            task.abort();
        }
    }
}
