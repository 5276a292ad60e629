//! Tests of snapshots: scheduled writing, restoring from the log and fetching from peers.

use std::sync::Arc;
use std::time::Duration;

use amaranth_config::catalogue::Catalogue;
use amaranth_config::envelope::ConfigRecord;
use amaranth_config::history::HistoryStatus;
use amaranth_config::snapshot::{SnapshotAssembly, SnapshotState};
use amaranth_config::snapshot_schedule::SnapshotScheduleOptions;
use amaranth_core::errors::ErrorKind;
use amaranth_core::ids::ConfigRevision;
use amaranth_follow::{ConfigFollower, ConfigView, FollowerOptions, SnapshotSource};
use async_trait::async_trait;
use tokio::time::timeout;

use crate::support::{
    FakeFaults, FakeLog, WAIT_TIMEOUT, adapters, append_changes, change_record, options,
    wait_for_revision,
};

/// Number of adapters for which a snapshot has several parts.
const MANY_ADAPTERS: usize = 24_000;

fn writer_options(writer: &str) -> FollowerOptions {
    FollowerOptions {
        snapshot_schedule: Some(SnapshotScheduleOptions {
            interval: Duration::from_secs(600),
            rank_delay: Duration::from_secs(60),
            part_timeout: Duration::from_secs(30),
            ..SnapshotScheduleOptions::default()
        }),
        ..options(writer)
    }
}

/// A snapshot source that reads from the view of another follower in the same process.
struct LocalPeer(ConfigView);

#[async_trait]
impl SnapshotSource for LocalPeer {
    async fn fetch(&self) -> Option<SnapshotState> {
        let first = self.0.snapshot_part(None, 0).await.ok()?;
        let decode = |bytes: &[u8]| match ConfigRecord::decode(bytes) {
            Ok(ConfigRecord::Snapshot(record)) => record,
            other => panic!("not a snapshot: {other:?}"),
        };
        let record = decode(&first.data);
        let mut assembly = SnapshotAssembly::new(&record).expect("the part is valid");
        assembly.add(&record).expect("the part is valid");
        for index in 1..first.count {
            let part = self
                .0
                .snapshot_part(Some(first.revision), index)
                .await
                .ok()?;
            assembly
                .add(&decode(&part.data))
                .expect("the part is valid");
        }
        Some(assembly.finish().expect("the snapshot is valid"))
    }
}

/// Appends one change that adds many adapters.
fn append_many(log: &FakeLog) {
    log.put(change_record(
        &Catalogue::default(),
        &adapters(MANY_ADAPTERS),
    ));
}

async fn wait_for_records(log: &FakeLog, count: usize) {
    let waiting = async {
        while log.end() < count {
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    };
    timeout(WAIT_TIMEOUT * 60, waiting)
        .await
        .expect("the records are appended in time");
}

#[tokio::test(start_paused = true)]
async fn a_snapshot_in_the_log_replaces_expired_records() {
    let log = FakeLog::new();
    append_many(&log);
    let writer = ConfigFollower::spawn(log.clone(), writer_options("writer"));
    writer.set_rank(Some(0));
    wait_for_revision(&writer.view(), 1).await;
    wait_for_records(&log, 4).await;
    tokio::time::sleep(WAIT_TIMEOUT).await;
    log.expire_before(1);
    let fresh = ConfigFollower::spawn(log.clone(), options("fresh"));
    assert!(
        timeout(WAIT_TIMEOUT, fresh.view().wait_until_caught_up())
            .await
            .expect("the follower responds in time")
    );
    assert_eq!(fresh.view().catalogue().adapter_count(), MANY_ADAPTERS);
    assert_eq!(fresh.view().revision(), ConfigRevision(1));
}

#[tokio::test(start_paused = true)]
async fn another_process_writes_the_snapshot_when_the_first_writer_fails() {
    let log = FakeLog::new();
    append_many(&log);
    let first = ConfigFollower::spawn(log.clone(), writer_options("first"));
    let second = ConfigFollower::spawn(log.clone(), writer_options("second"));
    first.set_rank(Some(0));
    second.set_rank(Some(1));
    // The log accepts two parts and then refuses appends until the first writer has stopped.
    log.set_faults(FakeFaults {
        remaining_appends: Some(2),
        ..FakeFaults::default()
    });
    wait_for_records(&log, 3).await;
    drop(first);
    log.set_faults(FakeFaults::default());
    let abandoned_at = log.end();
    wait_for_records(&log, abandoned_at + 3).await;
    tokio::time::sleep(WAIT_TIMEOUT).await;
    log.expire_before(1);
    let fresh = ConfigFollower::spawn(log.clone(), options("fresh"));
    assert!(
        timeout(WAIT_TIMEOUT, fresh.view().wait_until_caught_up())
            .await
            .expect("the follower responds in time")
    );
    assert_eq!(fresh.view().catalogue().adapter_count(), MANY_ADAPTERS);
}

#[tokio::test(start_paused = true)]
async fn an_incomplete_snapshot_is_not_restored() {
    let log = FakeLog::new();
    append_many(&log);
    let writer = ConfigFollower::spawn(log.clone(), writer_options("writer"));
    writer.set_rank(Some(0));
    log.set_faults(FakeFaults {
        remaining_appends: Some(2),
        ..FakeFaults::default()
    });
    wait_for_records(&log, 3).await;
    drop(writer);
    log.expire_before(1);
    let fresh = ConfigFollower::spawn(log.clone(), options("fresh"));
    assert!(
        timeout(WAIT_TIMEOUT, fresh.view().wait_until_caught_up())
            .await
            .is_err()
    );
    assert!(matches!(
        fresh.view().state().history_status,
        HistoryStatus::AwaitingSnapshot(_)
    ));
}

#[tokio::test(start_paused = true)]
async fn two_concurrent_writers_do_no_harm() {
    let log = FakeLog::new();
    append_many(&log);
    let writers = ["left", "right"].map(|name| {
        let writer = ConfigFollower::spawn(log.clone(), writer_options(name));
        writer.set_rank(Some(0));
        writer
    });
    tokio::time::sleep(WAIT_TIMEOUT * 5).await;
    log.expire_before(1);
    let fresh = ConfigFollower::spawn(log.clone(), options("fresh"));
    assert!(
        timeout(WAIT_TIMEOUT, fresh.view().wait_until_caught_up())
            .await
            .expect("the follower responds in time")
    );
    for writer in &writers {
        assert_eq!(writer.view().revision(), fresh.view().revision());
    }
}

#[tokio::test(start_paused = true)]
async fn a_snapshot_is_completed_after_appends_with_lost_answers() {
    let log = FakeLog::new();
    append_many(&log);
    log.set_faults(FakeFaults {
        lose_answers: true,
        ..FakeFaults::default()
    });
    let writer = ConfigFollower::spawn(log.clone(), writer_options("writer"));
    writer.set_rank(Some(0));
    tokio::time::sleep(WAIT_TIMEOUT * 5).await;
    log.expire_before(1);
    let fresh = ConfigFollower::spawn(log.clone(), options("fresh"));
    assert!(
        timeout(WAIT_TIMEOUT, fresh.view().wait_until_caught_up())
            .await
            .is_err()
    );
    log.set_faults(FakeFaults::default());
    let mut written = writer.view().watch();
    timeout(
        WAIT_TIMEOUT * 60,
        written.wait_for(|state| state.next.0 > 20),
    )
    .await
    .expect("the writer tries again")
    .expect("the writer is running");
    assert!(
        timeout(WAIT_TIMEOUT, fresh.view().wait_until_caught_up())
            .await
            .expect("the follower responds in time")
    );
}

#[tokio::test(start_paused = true)]
async fn a_new_process_starts_from_a_peer_and_the_rest_of_the_log() {
    let log = FakeLog::new();
    let catalogue = append_changes(&log, &Catalogue::default(), 3);
    let peer = ConfigFollower::spawn(log.clone(), options("peer"));
    wait_for_revision(&peer.view(), 3).await;
    log.expire_before(3);
    append_changes(&log, &catalogue, 1);
    let fresh = ConfigFollower::spawn(
        log.clone(),
        FollowerOptions {
            peers: Some(Arc::new(LocalPeer(peer.view()))),
            ..options("fresh")
        },
    );
    assert!(
        timeout(WAIT_TIMEOUT, fresh.view().wait_until_caught_up())
            .await
            .expect("the follower responds in time")
    );
    assert_eq!(fresh.view().revision(), ConfigRevision(4));
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_has_not_caught_up_refuses_to_serve_a_snapshot() {
    let log = FakeLog::new();
    append_changes(&log, &Catalogue::default(), 3);
    log.expire_before(2);
    let peer = ConfigFollower::spawn(log.clone(), options("peer"));
    tokio::time::sleep(WAIT_TIMEOUT).await;
    let error = peer
        .view()
        .snapshot_part(None, 0)
        .await
        .expect_err("the peer refuses the request");
    assert_eq!(error.kind, ErrorKind::NotReady);
}

#[tokio::test(start_paused = true)]
async fn a_new_process_starts_from_a_peer_while_the_log_stays_unavailable() {
    let log = FakeLog::new();
    append_changes(&log, &Catalogue::default(), 2);
    let peer = ConfigFollower::spawn(log.clone(), options("peer"));
    wait_for_revision(&peer.view(), 2).await;
    log.set_faults(FakeFaults {
        unavailable: true,
        ..FakeFaults::default()
    });
    let fresh = ConfigFollower::spawn(
        log.clone(),
        FollowerOptions {
            peers: Some(Arc::new(LocalPeer(peer.view()))),
            ..options("fresh")
        },
    );
    assert!(
        timeout(WAIT_TIMEOUT, fresh.view().wait_until_caught_up())
            .await
            .expect("the follower responds in time")
    );
    assert_eq!(fresh.view().revision(), ConfigRevision(2));
    assert!(fresh.view().state().log_failing);
}

#[tokio::test(start_paused = true)]
async fn a_snapshot_stays_available_while_a_newer_one_is_requested() {
    let log = FakeLog::new();
    append_many(&log);
    let peer = ConfigFollower::spawn(log.clone(), options("peer"));
    let view = peer.view();
    wait_for_revision(&view, 1).await;
    let first = view
        .snapshot_part(None, 0)
        .await
        .expect("the part is available");
    log.put(change_record(
        &view.catalogue(),
        &adapters(MANY_ADAPTERS + 1),
    ));
    wait_for_revision(&view, 2).await;
    let next = view
        .snapshot_part(None, 0)
        .await
        .expect("the part is available");
    assert_eq!(next.revision, ConfigRevision(2));
    let rest = view.snapshot_part(Some(first.revision), 1).await;
    assert_eq!(
        rest.expect("the part is available").revision,
        first.revision
    );
    tokio::time::sleep(WAIT_TIMEOUT).await;
    let evicted = view.snapshot_part(Some(first.revision), 1).await;
    assert_eq!(
        evicted.expect_err("the snapshot is evicted").kind,
        ErrorKind::NotFound
    );
}
