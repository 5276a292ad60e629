//! Tests of when a snapshot is due, and for which process.

use std::time::Duration;

use amaranth_config::history::SnapshotInfo;
use amaranth_config::snapshot::SnapshotId;
use amaranth_config::snapshot_schedule::{LogPosition, SnapshotSchedule, SnapshotScheduleOptions};
use amaranth_core::ids::{ConfigRevision, LogOffset};
use amaranth_core::time::Timestamp;
use rstest::rstest;

const OPTIONS: SnapshotScheduleOptions = SnapshotScheduleOptions {
    interval: Duration::from_secs(800),
    max_records: 100,
    rank_delay: Duration::from_secs(60),
    part_timeout: Duration::from_secs(30),
};

const fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

const fn position(first_kept: u64, next: u64) -> LogPosition {
    LogPosition {
        first_kept: LogOffset(first_kept),
        next: LogOffset(next),
    }
}

fn part(covers: u64, complete: bool) -> SnapshotInfo {
    SnapshotInfo {
        id: SnapshotId::derive("test"),
        revision: ConfigRevision(1),
        covers: LogOffset(covers),
        complete,
    }
}

/// Returns a schedule that saw a complete snapshot up to offset 10 at second 0.
fn after_snapshot() -> SnapshotSchedule {
    let mut schedule = SnapshotSchedule::new(at(0), OPTIONS);
    schedule.record_part(at(0), &part(10, true));
    schedule
}

#[rstest]
#[case::empty_log(10_000, position(0, 0), false)]
#[case::just_started(99, position(0, 5), false)]
#[case::no_snapshot_seen_since_start(100, position(0, 5), true)]
#[case::many_records_in_a_truncated_log(1, position(50, 151), true)]
fn is_due_without_a_snapshot(#[case] now: u64, #[case] position: LogPosition, #[case] due: bool) {
    let mut schedule = SnapshotSchedule::new(at(0), OPTIONS);
    assert_eq!(schedule.is_due(at(now), 0, position), due);
}

#[rstest]
#[case::fresh(799, position(0, 20), false)]
#[case::old(800, position(0, 20), true)]
#[case::many_records(1, position(0, 111), true)]
#[case::log_dropped_records_after_it(1, position(11, 20), true)]
#[case::log_retains_all_records_after_it(1, position(10, 20), false)]
fn is_due_after_a_snapshot(#[case] now: u64, #[case] position: LogPosition, #[case] due: bool) {
    assert_eq!(after_snapshot().is_due(at(now), 0, position), due);
}

#[rstest]
fn each_rank_waits_longer_than_the_previous_one() {
    let mut schedule = after_snapshot();
    assert!(!schedule.is_due(at(800), 2, position(0, 20)));
    assert!(!schedule.is_due(at(919), 2, position(0, 20)));
    assert!(schedule.is_due(at(920), 2, position(0, 20)));
}

#[rstest]
fn a_snapshot_in_progress_delays_the_next_one_until_it_counts_as_abandoned() {
    let mut schedule = after_snapshot();
    schedule.record_part(at(810), &part(20, false));
    assert!(!schedule.is_due(at(839), 0, position(0, 20)));
    assert!(schedule.is_due(at(840), 0, position(0, 20)));
}

#[rstest]
fn a_complete_snapshot_of_another_process_resets_the_schedule() {
    let mut schedule = after_snapshot();
    assert!(!schedule.is_due(at(800), 1, position(0, 20)));
    schedule.record_part(at(820), &part(20, true));
    assert!(!schedule.is_due(at(900), 1, position(0, 20)));
}
