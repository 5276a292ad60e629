//! When to write a snapshot into the log.
//!
//! Every live entry runs the duty. The one that ranks first writes; the others wait longer by
//! their rank, so that each takes over when those before it don't write. Two that write at once
//! cost appends and nothing else, and a snapshot that breaks off half way is never taken over.

use std::time::Duration;

use amaranth_core::ids::LogOffset;
use amaranth_core::time::Timestamp;

use crate::history::SnapshotNote;

/// When a snapshot is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DutyOptions {
    /// Longest age of the last whole snapshot. At most a third of the log's retention, so that
    /// a writer may fail twice.
    pub interval: Duration,
    /// Most records since the last whole snapshot.
    pub max_records: u64,
    /// Additional wait of each next rank.
    pub rank_delay: Duration,
    /// Time after which a snapshot that another process writes counts as broken off.
    pub part_timeout: Duration,
}

impl Default for DutyOptions {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(900),
            max_records: 4_096,
            rank_delay: Duration::from_secs(60),
            part_timeout: Duration::from_secs(30),
        }
    }
}

/// Where a reader and the log stand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogPosition {
    /// The oldest offset that the log keeps.
    pub first_kept: LogOffset,
    /// The offset of the next record to be read.
    pub next: LogOffset,
}

/// Decides when this process writes a snapshot.
#[derive(Debug, Clone)]
pub struct SnapshotDuty {
    options: DutyOptions,
    opened: Timestamp,
    whole: Option<WholeSnapshot>,
    part_seen: Option<Timestamp>,
    due_since: Option<Timestamp>,
}

#[derive(Debug, Clone, Copy)]
struct WholeSnapshot {
    seen: Timestamp,
    covers: LogOffset,
}

impl SnapshotDuty {
    /// Opens the duty of a process that has seen no snapshot yet.
    pub const fn open(now: Timestamp, options: DutyOptions) -> Self {
        Self {
            options,
            opened: now,
            whole: None,
            part_seen: None,
            due_since: None,
        }
    }

    /// Notes a part of a snapshot in the log, whoever wrote it.
    pub fn note_part(&mut self, now: Timestamp, note: &SnapshotNote) {
        self.part_seen = Some(now);
        if !note.complete {
            return;
        }
        self.part_seen = None;
        let newer = self.whole.is_none_or(|whole| whole.covers < note.covers);
        if newer {
            self.whole = Some(WholeSnapshot {
                seen: now,
                covers: note.covers,
            });
            self.due_since = None;
        }
    }

    /// Notes that the process wrote a snapshot or failed to.
    ///
    /// The next attempt waits until this one is found whole in the log, or broken off.
    pub const fn note_attempt(&mut self, now: Timestamp) {
        self.part_seen = Some(now);
    }

    /// Returns whether this process, whose rank is counted from 0, is to write now.
    pub fn is_due(&mut self, now: Timestamp, rank: u32, position: LogPosition) -> bool {
        if !self.is_needed(now, position) {
            self.due_since = None;
            return false;
        }
        let due_since = *self.due_since.get_or_insert(now);
        let being_written = self
            .part_seen
            .is_some_and(|seen| now.since(seen) < self.options.part_timeout);
        !being_written && now.since(due_since) >= self.options.rank_delay * rank
    }

    fn is_needed(&self, now: Timestamp, position: LogPosition) -> bool {
        if position.next == LogOffset::default() {
            return false;
        }
        let Some(whole) = self.whole else {
            // A process that just started has not seen older snapshots, and must not wait a
            // whole interval, since it may be replaced before that.
            let unseen = self.options.interval / UNSEEN_INTERVAL_PARTS;
            let from_start = position.first_kept == LogOffset::default();
            let many = position.next.0 - position.first_kept.0 > self.options.max_records;
            return !from_start && many || now.since(self.opened) >= unseen;
        };
        let records = position.next.0.saturating_sub(whole.covers.0);
        let endangered = position.first_kept > whole.covers;
        endangered
            || records > self.options.max_records
            || now.since(whole.seen) >= self.options.interval
    }
}

/// The part of the interval after which a process that has seen no snapshot writes one.
const UNSEEN_INTERVAL_PARTS: u32 = 8;
