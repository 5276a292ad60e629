//! Snapshots: written by duty, taken over by new processes, handed from peer to peer.

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
    FakeFaults, FakeLog, PATIENCE, adapters, append_changes, change_record, options, reach,
};

/// Adapters whose snapshot has several parts.
const MANY: usize = 24_000;

fn duty_options(writer: &str) -> FollowerOptions {
    FollowerOptions {
        duty: Some(SnapshotScheduleOptions {
            interval: Duration::from_secs(600),
            rank_delay: Duration::from_secs(60),
            part_timeout: Duration::from_secs(30),
            ..SnapshotScheduleOptions::default()
        }),
        ..options(writer)
    }
}

/// A peer in the same process.
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
        let mut assembly = SnapshotAssembly::new(&record).expect("the part is sound");
        assembly.add(&record).expect("the part is sound");
        for index in 1..first.count {
            let part = self
                .0
                .snapshot_part(Some(first.revision), index)
                .await
                .ok()?;
            assembly
                .add(&decode(&part.data))
                .expect("the part is sound");
        }
        Some(assembly.finish().expect("the snapshot is sound"))
    }
}

/// Applies one change that adds many adapters.
fn append_many(log: &FakeLog) {
    log.put(change_record(&Catalogue::default(), &adapters(MANY)));
}

async fn wait_for_records(log: &FakeLog, count: usize) {
    let waiting = async {
        while log.end() < count {
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    };
    timeout(PATIENCE * 60, waiting)
        .await
        .expect("the records come in time");
}

#[tokio::test(start_paused = true)]
async fn a_written_snapshot_replaces_expired_records() {
    let log = FakeLog::open();
    append_many(&log);
    let holder = ConfigFollower::spawn(log.clone(), duty_options("holder"));
    holder.set_rank(Some(0));
    reach(&holder.view(), 1).await;
    wait_for_records(&log, 4).await;
    tokio::time::sleep(PATIENCE).await;
    log.expire_before(1);
    let fresh = ConfigFollower::spawn(log.clone(), options("fresh"));
    assert!(
        timeout(PATIENCE, fresh.view().caught_up())
            .await
            .expect("in time")
    );
    assert_eq!(fresh.view().catalogue().adapter_count(), MANY);
    assert_eq!(fresh.view().revision(), ConfigRevision(1));
}

#[tokio::test(start_paused = true)]
async fn a_holder_that_dies_half_way_is_replaced() {
    let log = FakeLog::open();
    append_many(&log);
    let first = ConfigFollower::spawn(log.clone(), duty_options("first"));
    let second = ConfigFollower::spawn(log.clone(), duty_options("second"));
    first.set_rank(Some(0));
    second.set_rank(Some(1));
    // The log takes two parts and fails from then on, until the first holder is gone.
    log.set_faults(FakeFaults {
        appends_left: Some(2),
        ..FakeFaults::default()
    });
    wait_for_records(&log, 3).await;
    drop(first);
    log.set_faults(FakeFaults::default());
    let broken_off = log.end();
    wait_for_records(&log, broken_off + 3).await;
    tokio::time::sleep(PATIENCE).await;
    log.expire_before(1);
    let fresh = ConfigFollower::spawn(log.clone(), options("fresh"));
    assert!(
        timeout(PATIENCE, fresh.view().caught_up())
            .await
            .expect("in time")
    );
    assert_eq!(fresh.view().catalogue().adapter_count(), MANY);
}

#[tokio::test(start_paused = true)]
async fn a_snapshot_that_broke_off_is_not_taken_over() {
    let log = FakeLog::open();
    append_many(&log);
    let holder = ConfigFollower::spawn(log.clone(), duty_options("holder"));
    holder.set_rank(Some(0));
    log.set_faults(FakeFaults {
        appends_left: Some(2),
        ..FakeFaults::default()
    });
    wait_for_records(&log, 3).await;
    drop(holder);
    log.expire_before(1);
    let fresh = ConfigFollower::spawn(log.clone(), options("fresh"));
    assert!(timeout(PATIENCE, fresh.view().caught_up()).await.is_err());
    assert!(matches!(
        fresh.view().state().standing,
        HistoryStatus::AwaitingSnapshot(_)
    ));
}

#[tokio::test(start_paused = true)]
async fn two_holders_at_once_do_no_harm() {
    let log = FakeLog::open();
    append_many(&log);
    let holders = ["left", "right"].map(|writer| {
        let holder = ConfigFollower::spawn(log.clone(), duty_options(writer));
        holder.set_rank(Some(0));
        holder
    });
    tokio::time::sleep(PATIENCE * 5).await;
    log.expire_before(1);
    let fresh = ConfigFollower::spawn(log.clone(), options("fresh"));
    assert!(
        timeout(PATIENCE, fresh.view().caught_up())
            .await
            .expect("in time")
    );
    for holder in &holders {
        assert_eq!(holder.view().revision(), fresh.view().revision());
    }
}

#[tokio::test(start_paused = true)]
async fn lost_answers_do_not_spoil_a_snapshot() {
    let log = FakeLog::open();
    append_many(&log);
    log.set_faults(FakeFaults {
        lose_answers: true,
        ..FakeFaults::default()
    });
    let holder = ConfigFollower::spawn(log.clone(), duty_options("holder"));
    holder.set_rank(Some(0));
    tokio::time::sleep(PATIENCE * 5).await;
    log.expire_before(1);
    let fresh = ConfigFollower::spawn(log.clone(), options("fresh"));
    assert!(timeout(PATIENCE, fresh.view().caught_up()).await.is_err());
    log.set_faults(FakeFaults::default());
    let mut written = holder.view().watch();
    timeout(PATIENCE * 60, written.wait_for(|state| state.next.0 > 20))
        .await
        .expect("the holder tries again")
        .expect("the holder runs");
    assert!(
        timeout(PATIENCE, fresh.view().caught_up())
            .await
            .expect("in time")
    );
}

#[tokio::test(start_paused = true)]
async fn a_new_process_starts_from_a_peer_and_the_tail() {
    let log = FakeLog::open();
    let catalogue = append_changes(&log, &Catalogue::default(), 3);
    let peer = ConfigFollower::spawn(log.clone(), options("peer"));
    reach(&peer.view(), 3).await;
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
        timeout(PATIENCE, fresh.view().caught_up())
            .await
            .expect("in time")
    );
    assert_eq!(fresh.view().revision(), ConfigRevision(4));
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_has_not_caught_up_gives_no_snapshot() {
    let log = FakeLog::open();
    append_changes(&log, &Catalogue::default(), 3);
    log.expire_before(2);
    let peer = ConfigFollower::spawn(log.clone(), options("peer"));
    tokio::time::sleep(PATIENCE).await;
    let error = peer
        .view()
        .snapshot_part(None, 0)
        .await
        .expect_err("no snapshot");
    assert_eq!(error.kind, ErrorKind::NotReady);
}

#[tokio::test(start_paused = true)]
async fn a_peer_stands_in_for_a_log_that_stays_out() {
    let log = FakeLog::open();
    append_changes(&log, &Catalogue::default(), 2);
    let peer = ConfigFollower::spawn(log.clone(), options("peer"));
    reach(&peer.view(), 2).await;
    log.set_faults(FakeFaults {
        out: true,
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
        timeout(PATIENCE, fresh.view().caught_up())
            .await
            .expect("in time")
    );
    assert_eq!(fresh.view().revision(), ConfigRevision(2));
    assert!(fresh.view().state().log_failing);
}

#[tokio::test(start_paused = true)]
async fn a_snapshot_that_is_being_fetched_outlives_the_next_one() {
    let log = FakeLog::open();
    append_many(&log);
    let peer = ConfigFollower::spawn(log.clone(), options("peer"));
    let view = peer.view();
    reach(&view, 1).await;
    let first = view.snapshot_part(None, 0).await.expect("a part");
    log.put(change_record(&view.catalogue(), &adapters(MANY + 1)));
    reach(&view, 2).await;
    let next = view.snapshot_part(None, 0).await.expect("a part");
    assert_eq!(next.revision, ConfigRevision(2));
    let rest = view.snapshot_part(Some(first.revision), 1).await;
    assert_eq!(rest.expect("a part").revision, first.revision);
    tokio::time::sleep(PATIENCE).await;
    let dropped = view.snapshot_part(Some(first.revision), 1).await;
    assert_eq!(
        dropped.expect_err("it is dropped").kind,
        ErrorKind::NotFound
    );
}
