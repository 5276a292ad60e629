//! The task that reads the log, rules its records and publishes the catalogue.

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
use crate::parts::ServedParts;
use crate::snapshot_writer::write_snapshot;
use crate::verdict_report::report_verdict;
use crate::view::{FollowerState, PartRequest};

/// Wait between two looks for a snapshot that makes up for lost records.
const LOST_RETRY: Duration = Duration::from_secs(5);

/// What connects the task with its handle.
pub(crate) struct TaskChannels {
    pub(crate) catalogue: Arc<ArcSwap<Catalogue>>,
    pub(crate) state: watch::Sender<FollowerState>,
    pub(crate) part_requests: mpsc::Receiver<PartRequest>,
    pub(crate) rank: watch::Receiver<Option<u32>>,
}

/// The state of the task.
pub(crate) struct FollowTask {
    log: Arc<dyn LogPort>,
    options: FollowerOptions,
    channels: TaskChannels,
    history: ConfigHistory,
    duty: Option<SnapshotSchedule>,
    opened: Instant,
    served: ServedParts,
    writer: Option<JoinHandle<bool>>,
    attempts: u64,
    first_kept: LogOffset,
    failing_since: Option<Instant>,
    retry: Duration,
    peer_state_taken: bool,
}

impl FollowTask {
    pub(crate) fn open(
        log: Arc<dyn LogPort>,
        options: FollowerOptions,
        channels: TaskChannels,
    ) -> Self {
        Self {
            duty: options
                .duty
                .map(|duty| SnapshotSchedule::new(Timestamp::ZERO, duty)),
            retry: options.retry_least,
            log,
            options,
            channels,
            history: ConfigHistory::new(),
            opened: Instant::now(),
            served: ServedParts::default(),
            writer: None,
            attempts: 0,
            first_kept: LogOffset::default(),
            failing_since: None,
            peer_state_taken: false,
        }
    }

    /// Returns the time since the task was opened.
    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.opened.elapsed()
    }

    /// Follows the log until the task is aborted.
    pub(crate) async fn run(mut self) {
        self.opened = Instant::now();
        self.start_from_peers().await;
        loop {
            let read = self.read_page().await;
            match read {
                Ok(page) => self.take_page(page).await,
                Err(error) => {
                    log::warn!("event=config_read_failed error={error:?}");
                    self.note_failure().await;
                }
            }
            self.served.drop_idle();
            self.write_snapshot_if_due();
        }
    }

    /// Reads the next page, and serves peers meanwhile.
    async fn read_page(&mut self) -> PortResult<LogPage> {
        let log = Arc::clone(&self.log);
        let from = self.history.next_offset();
        // A process that starts must learn at once that there is nothing more to read.
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
        let part = self.served.serve(
            &self.history,
            &self.options.writer,
            request.revision,
            request.index,
        );
        // A process that asked and has gone needs no part.
        let _ = request.reply.send(part);
    }

    /// Rules the records of a page.
    async fn take_page(&mut self, page: LogPage) {
        self.failing_since = None;
        self.retry = self.options.retry_least;
        self.first_kept = page.first_kept;
        self.note_lost_records(page.first_kept);
        for record in &page.records {
            let verdict = self.history.apply_record(record.offset, &record.data);
            report_verdict(record.offset, &verdict);
            self.note_snapshot(&verdict);
            // Reading goes on elsewhere after a snapshot was taken over.
            if matches!(
                verdict,
                RecordOutcome::Restored(_) | RecordOutcome::Blocked(_)
            ) {
                break;
            }
        }
        self.report_rewound(page.end);
        self.publish(Some(page.end));
        if page.records.is_empty() && !self.channels.state.borrow().caught_up {
            // Reads don't wait before the process has caught up, so the pause is made here.
            self.serve_while_waiting(self.options.retry_least).await;
        }
        self.recover_if_lost(page.end).await;
    }

    fn note_lost_records(&mut self, first_kept: LogOffset) {
        let next = self.history.next_offset();
        if first_kept > next {
            log::error!(
                "event=config_records_lost next={next} first_kept={first_kept} revision={}",
                self.history.revision()
            );
        }
        self.history.update_first_kept(first_kept);
    }

    /// Says that the log has lost records that this process has ruled.
    ///
    /// New records would take the offsets of lost ones, so none is ruled until the log's end lies
    /// behind them again; the catalogue stays in force.
    fn report_rewound(&self, end: LogOffset) {
        let next = self.history.next_offset();
        if end < next {
            let revision = self.history.revision();
            log::error!("event=config_log_rewound end={end} next={next} revision={revision}");
        }
    }

    fn note_snapshot(&mut self, verdict: &RecordOutcome) {
        let now = self.now();
        let Some(duty) = &mut self.duty else {
            return;
        };
        match verdict {
            RecordOutcome::Snapshot(note) => duty.record_part(now, note),
            RecordOutcome::Restored(_) => {
                if let Some(note) = self.history.last_snapshot() {
                    duty.record_part(now, note);
                }
            }
            _ => {}
        }
    }

    /// Publishes the catalogue and the state, with the log's end if it was just read.
    fn publish(&mut self, end: Option<LogOffset>) {
        let revision = self.history.revision();
        if self.channels.catalogue.load().revision() != revision {
            self.channels.catalogue.store(self.history.catalogue());
            metrics::gauge!("amaranth_config_revision").set(revision.0 as f64);
        }
        let next = self.history.next_offset();
        let standing = self.history.status();
        let known = *self.channels.state.borrow();
        let reached = end == Some(next) && standing == HistoryStatus::Complete;
        let state = FollowerState {
            revision,
            next,
            lag_records: end.map_or(known.lag_records, |end| end.0.saturating_sub(next.0)),
            caught_up: reached || known.caught_up,
            log_failing: end.is_none() && known.log_failing,
            log_rewound: end.map_or(known.log_rewound, |end| end < next),
            standing,
        };
        self.publish_state(state);
    }

    fn publish_state(&self, state: FollowerState) {
        metrics::gauge!("amaranth_config_lag_records").set(state.lag_records as f64);
        metrics::gauge!("amaranth_config_caught_up").set(f64::from(u8::from(state.caught_up)));
        self.channels.state.send_if_modified(|known| {
            let changed = *known != state;
            if state.caught_up && !known.caught_up {
                log::info!("event=config_caught_up revision={}", state.revision);
            }
            *known = state;
            changed
        });
    }

    /// Looks for a peer's snapshot when the log can't show what was lost.
    async fn recover_if_lost(&mut self, end: LogOffset) {
        match self.history.status() {
            HistoryStatus::AwaitingSnapshot(since) if self.history.next_offset() >= end => {
                log::error!(
                    "event=config_history_lost since={since} revision={} \
                     advice=\"no snapshot in the log reaches back far enough\"",
                    self.history.revision()
                );
                if !self.take_peer_state().await {
                    sleep(LOST_RETRY).await;
                }
            }
            HistoryStatus::Blocked(_) => sleep(LOST_RETRY).await,
            _ => {}
        }
    }

    async fn start_from_peers(&mut self) {
        if self.take_peer_state().await {
            self.peer_state_taken = true;
        }
    }

    /// Takes over a peer's snapshot, and returns whether it was of use.
    async fn take_peer_state(&mut self) -> bool {
        let Some(peers) = self.options.peers.clone() else {
            return false;
        };
        let Some(state) = peers.fetch().await else {
            return false;
        };
        let covers = state.covers;
        let adopted = self.history.restore(state);
        if adopted {
            let revision = self.history.revision();
            log::info!("event=config_peer_snapshot revision={revision} covers={covers}");
            self.publish(None);
        }
        adopted
    }

    /// Waits after a failed read, longer each time.
    async fn note_failure(&mut self) {
        metrics::counter!("amaranth_config_log_failures_total").increment(1);
        let since = *self.failing_since.get_or_insert_with(Instant::now);
        let mut state = *self.channels.state.borrow();
        state.log_failing = true;
        // Peers know as much as anyone while the log is out: nothing can be accepted meanwhile.
        let grace_over = self
            .options
            .log_grace
            .is_some_and(|grace| since.elapsed() >= grace);
        if !state.caught_up && grace_over && (self.peer_state_taken || self.take_peer_state().await)
        {
            self.peer_state_taken = true;
            state = *self.channels.state.borrow();
            state.log_failing = true;
            state.caught_up = true;
        }
        self.publish_state(state);
        self.serve_while_waiting(self.retry).await;
        self.retry = (self.retry * 2).min(self.options.retry_most);
    }

    /// Serves peers for as long as `wait`.
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

    /// Begins to write a snapshot if the duty says so and none is being written.
    fn write_snapshot_if_due(&mut self) {
        let Some(rank) = *self.channels.rank.borrow() else {
            return;
        };
        let now = self.now();
        let position = LogPosition {
            first_kept: self.first_kept,
            next: self.history.next_offset(),
        };
        let Some(duty) = &mut self.duty else {
            return;
        };
        let writing = self.writer.as_ref().is_some_and(|task| !task.is_finished());
        let complete = self.history.status() == HistoryStatus::Complete;
        if writing || !complete || self.failing_since.is_some() || !duty.is_due(now, rank, position)
        {
            return;
        }
        duty.record_attempt(now);
        self.attempts += 1;
        self.spawn_writer();
    }

    fn spawn_writer(&mut self) {
        let attempt = format!("{} log {}", self.options.writer, self.attempts);
        let id = SnapshotId::derive(&attempt);
        let Some(state) = self.history.snapshot_state() else {
            return;
        };
        let revision = self.history.revision();
        match state.to_records(id) {
            Ok(records) => {
                let parts = records.len();
                log::info!("event=config_snapshot_begun revision={revision} parts={parts}");
                self.writer = Some(tokio::spawn(write_snapshot(Arc::clone(&self.log), records)));
            }
            Err(fault) => log::error!("event=config_snapshot_failed fault={fault:?}"),
        }
    }
}

impl Drop for FollowTask {
    fn drop(&mut self) {
        if let Some(writer) = &self.writer {
            writer.abort();
        }
    }
}
