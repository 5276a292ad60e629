//! Tests of a follower through outages of the log and loss of its records.

use std::sync::Arc;

use amaranth_config::catalogue::Catalogue;
use amaranth_config::history::HistoryStatus;
use amaranth_core::ids::ConfigRevision;
use amaranth_follow::ConfigFollower;
use tokio::time::timeout;

use crate::support::{
    FakeFaults, FakeLog, WAIT_TIMEOUT, append_changes, options, wait_for_revision,
};

#[tokio::test(start_paused = true)]
async fn catches_up_and_follows_new_changes() {
    let log = FakeLog::new();
    let catalogue = append_changes(&log, &Catalogue::default(), 3);
    let follower = ConfigFollower::spawn(log.clone(), options("one"));
    let view = follower.view();
    assert!(
        timeout(WAIT_TIMEOUT, view.wait_until_caught_up())
            .await
            .expect("the follower responds in time")
    );
    assert_eq!(view.revision(), ConfigRevision(3));
    append_changes(&log, &catalogue, 1);
    wait_for_revision(&view, 4).await;
    assert_eq!(view.catalogue().adapter_count(), 4);
}

#[tokio::test(start_paused = true)]
async fn does_not_catch_up_while_the_log_is_unavailable() {
    let log = FakeLog::new();
    append_changes(&log, &Catalogue::default(), 1);
    log.set_faults(FakeFaults {
        unavailable: true,
        ..FakeFaults::default()
    });
    let follower = ConfigFollower::spawn(log.clone(), options("one"));
    let view = follower.view();
    assert!(
        timeout(WAIT_TIMEOUT, view.wait_until_caught_up())
            .await
            .is_err()
    );
    assert!(view.state().log_failing);
    log.set_faults(FakeFaults::default());
    assert!(
        timeout(WAIT_TIMEOUT, view.wait_until_caught_up())
            .await
            .expect("the follower responds in time")
    );
    assert_eq!(view.revision(), ConfigRevision(1));
}

#[tokio::test(start_paused = true)]
async fn keeps_the_catalogue_during_an_outage_of_the_log() {
    let log = FakeLog::new();
    let catalogue = append_changes(&log, &Catalogue::default(), 2);
    let follower = ConfigFollower::spawn(log.clone(), options("one"));
    let view = follower.view();
    wait_for_revision(&view, 2).await;
    log.set_faults(FakeFaults {
        unavailable: true,
        ..FakeFaults::default()
    });
    tokio::time::sleep(WAIT_TIMEOUT).await;
    assert_eq!(view.revision(), ConfigRevision(2));
    append_changes(&log, &catalogue, 1);
    log.set_faults(FakeFaults::default());
    wait_for_revision(&view, 3).await;
}

#[tokio::test(start_paused = true)]
async fn a_log_without_its_oldest_records_is_not_an_empty_configuration() {
    let log = FakeLog::new();
    append_changes(&log, &Catalogue::default(), 3);
    log.expire_before(2);
    let follower = ConfigFollower::spawn(log.clone(), options("one"));
    let view = follower.view();
    assert!(
        timeout(WAIT_TIMEOUT, view.wait_until_caught_up())
            .await
            .is_err()
    );
    assert!(matches!(
        view.state().history_status,
        HistoryStatus::AwaitingSnapshot(_)
    ));
    assert_eq!(view.revision(), ConfigRevision(0));
}

#[tokio::test(start_paused = true)]
async fn a_log_without_all_its_records_is_not_an_empty_configuration() {
    let log = FakeLog::new();
    append_changes(&log, &Catalogue::default(), 3);
    log.expire_before(3);
    let follower = ConfigFollower::spawn(log.clone(), options("one"));
    let view = follower.view();
    assert!(
        timeout(WAIT_TIMEOUT, view.wait_until_caught_up())
            .await
            .is_err()
    );
    assert!(matches!(
        view.state().history_status,
        HistoryStatus::AwaitingSnapshot(_)
    ));
}

#[tokio::test(start_paused = true)]
async fn catches_up_with_an_empty_log_without_delay() {
    let log = FakeLog::new();
    let started = tokio::time::Instant::now();
    let follower = ConfigFollower::spawn(Arc::clone(&log) as _, options("one"));
    assert!(
        timeout(WAIT_TIMEOUT, follower.view().wait_until_caught_up())
            .await
            .expect("the follower responds in time")
    );
    assert_eq!(started.elapsed(), std::time::Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn loss_of_the_newest_records_is_reported_and_the_catalogue_stays_in_force() {
    let log = FakeLog::new();
    append_changes(&log, &Catalogue::default(), 3);
    let follower = ConfigFollower::spawn(log.clone(), options("one"));
    let view = follower.view();
    wait_for_revision(&view, 3).await;
    log.rewind(1);
    let mut state = view.watch();
    timeout(WAIT_TIMEOUT, state.wait_for(|state| state.log_rewound))
        .await
        .expect("the loss is reported in time")
        .expect("the follower is running");
    assert_eq!(view.revision(), ConfigRevision(3));
    assert_eq!(view.catalogue().adapter_count(), 3);
}
