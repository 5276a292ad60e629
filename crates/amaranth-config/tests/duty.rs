//! When a snapshot is due, and at whom.

use std::time::Duration;

use amaranth_config::duty::{DutyOptions, LogPosition, SnapshotDuty};
use amaranth_config::history::SnapshotNote;
use amaranth_config::snapshot::SnapshotId;
use amaranth_core::ids::{ConfigRevision, LogOffset};
use amaranth_core::time::Timestamp;
use rstest::rstest;

const OPTIONS: DutyOptions = DutyOptions {
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

fn part(covers: u64, complete: bool) -> SnapshotNote {
    SnapshotNote {
        id: SnapshotId::derive("test"),
        revision: ConfigRevision(1),
        covers: LogOffset(covers),
        complete,
    }
}

/// A duty that saw a whole snapshot up to offset 10 at second 0.
fn after_snapshot() -> SnapshotDuty {
    let mut duty = SnapshotDuty::open(at(0), OPTIONS);
    duty.note_part(at(0), &part(10, true));
    duty
}

#[rstest]
#[case::empty_log(10_000, position(0, 0), false)]
#[case::just_started(99, position(0, 5), false)]
#[case::none_seen_for_a_while(100, position(0, 5), true)]
#[case::many_records_of_a_cut_log(1, position(50, 151), true)]
fn without_a_snapshot(#[case] now: u64, #[case] position: LogPosition, #[case] due: bool) {
    let mut duty = SnapshotDuty::open(at(0), OPTIONS);
    assert_eq!(duty.is_due(at(now), 0, position), due);
}

#[rstest]
#[case::fresh(799, position(0, 20), false)]
#[case::old(800, position(0, 20), true)]
#[case::many_records(1, position(0, 111), true)]
#[case::the_log_forgets_what_it_covers(1, position(11, 20), true)]
#[case::the_log_keeps_what_it_covers(1, position(10, 20), false)]
fn with_a_snapshot(#[case] now: u64, #[case] position: LogPosition, #[case] due: bool) {
    assert_eq!(after_snapshot().is_due(at(now), 0, position), due);
}

#[rstest]
fn each_rank_waits_for_those_before_it() {
    let mut duty = after_snapshot();
    assert!(!duty.is_due(at(800), 2, position(0, 20)));
    assert!(!duty.is_due(at(919), 2, position(0, 20)));
    assert!(duty.is_due(at(920), 2, position(0, 20)));
}

#[rstest]
fn a_snapshot_that_is_being_written_is_waited_for_until_it_counts_as_broken_off() {
    let mut duty = after_snapshot();
    duty.note_part(at(810), &part(20, false));
    assert!(!duty.is_due(at(839), 0, position(0, 20)));
    assert!(duty.is_due(at(840), 0, position(0, 20)));
}

#[rstest]
fn a_snapshot_by_another_process_ends_the_wait() {
    let mut duty = after_snapshot();
    assert!(!duty.is_due(at(800), 1, position(0, 20)));
    duty.note_part(at(820), &part(20, true));
    assert!(!duty.is_due(at(900), 1, position(0, 20)));
}
