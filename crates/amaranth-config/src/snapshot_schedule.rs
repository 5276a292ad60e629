//! Scheduling of the snapshots that entries append to the log.
//!
//! Every entry runs a schedule. The entry with the lowest rank writes first; each other entry
//! waits longer by its rank, and writes when those before it do not. Two concurrent writers cost
//! additional appends and do no other harm, and readers never restore an incomplete snapshot.

use std::time::Duration;

use amaranth_core::ids::LogOffset;
use amaranth_core::time::Timestamp;

use crate::history::SnapshotInfo;

/// The options of a snapshot schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotScheduleOptions {
    /// Maximum age of the last complete snapshot. At most a third of the log's retention is
    /// recommended, so that two attempts may fail before records are lost.
    pub interval: Duration,
    /// Maximum number of records since the last complete snapshot.
    pub max_records: u64,
    /// Additional delay for each rank after the first.
    pub rank_delay: Duration,
    /// Time without a new part after which a snapshot in progress counts as abandoned.
    pub part_timeout: Duration,
}

impl Default for SnapshotScheduleOptions {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(900),
            max_records: 4_096,
            rank_delay: Duration::from_secs(60),
            part_timeout: Duration::from_secs(30),
        }
    }
}

/// The offsets of the log's oldest record and of a reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogPosition {
    /// The oldest offset that the log retains.
    pub first_kept: LogOffset,
    /// The offset of the next record to be read.
    pub next: LogOffset,
}

/// Decides when this process writes a snapshot into the log.
#[derive(Debug, Clone)]
pub struct SnapshotSchedule {
    options: SnapshotScheduleOptions,
    created_at: Timestamp,
    complete: Option<CompleteSnapshot>,
    part_seen: Option<Timestamp>,
    due_since: Option<Timestamp>,
}

#[derive(Debug, Clone, Copy)]
struct CompleteSnapshot {
    seen: Timestamp,
    covers: LogOffset,
}

impl SnapshotSchedule {
    /// Creates the schedule of a process that has not seen a snapshot yet.
    pub const fn new(now: Timestamp, options: SnapshotScheduleOptions) -> Self {
        Self {
            options,
            created_at: now,
            complete: None,
            part_seen: None,
            due_since: None,
        }
    }

    /// Records that a part of a snapshot, from any writer, was read from the log.
    pub fn record_part(&mut self, now: Timestamp, snapshot: &SnapshotInfo) {
        self.part_seen = Some(now);
        if !snapshot.complete {
            return;
        }
        self.part_seen = None;
        let newer = self
            .complete
            .is_none_or(|complete| complete.covers < snapshot.covers);
        if newer {
            self.complete = Some(CompleteSnapshot {
                seen: now,
                covers: snapshot.covers,
            });
            self.due_since = None;
        }
    }

    /// Records that this process attempts to write a snapshot.
    ///
    /// The next attempt waits until this snapshot is complete in the log or counts as abandoned.
    pub const fn record_attempt(&mut self, now: Timestamp) {
        self.part_seen = Some(now);
    }

    /// Returns whether this process, whose rank is counted from 0, should write a snapshot now.
    pub fn is_due(&mut self, now: Timestamp, rank: u32, position: LogPosition) -> bool {
        if !self.is_needed(now, position) {
            self.due_since = None;
            return false;
        }
        let due_since = *self.due_since.get_or_insert(now);
        let in_progress = self
            .part_seen
            .is_some_and(|seen| now.since(seen) < self.options.part_timeout);
        !in_progress && now.since(due_since) >= self.options.rank_delay * rank
    }

    fn is_needed(&self, now: Timestamp, position: LogPosition) -> bool {
        if position.next == LogOffset::default() {
            return false;
        }
        let Some(complete) = self.complete else {
            // A process that has just started has not seen older snapshots. It must not wait
            // for a full interval, since it may be replaced before that.
            let initial_delay = self.options.interval / INITIAL_INTERVAL_DIVISOR;
            let from_start = position.first_kept == LogOffset::default();
            let many = position.next.0 - position.first_kept.0 > self.options.max_records;
            return !from_start && many || now.since(self.created_at) >= initial_delay;
        };
        let records = position.next.0.saturating_sub(complete.covers.0);
        let has_gap = position.first_kept > complete.covers;
        has_gap
            || records > self.options.max_records
            || now.since(complete.seen) >= self.options.interval
    }
}

/// Divisor of the interval that gives the delay of a process that has not seen a snapshot.
const INITIAL_INTERVAL_DIVISOR: u32 = 8;
