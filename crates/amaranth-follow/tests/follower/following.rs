//! A process that follows the log through outages, restarts and lost records.

use std::sync::Arc;

use amaranth_config::catalogue::Catalogue;
use amaranth_config::history::HistoryStatus;
use amaranth_core::ids::ConfigRevision;
use amaranth_follow::ConfigFollower;
use tokio::time::timeout;

use crate::support::{FakeFaults, FakeLog, PATIENCE, append_changes, options, reach};

#[tokio::test(start_paused = true)]
async fn catches_up_and_follows() {
    let log = FakeLog::open();
    let catalogue = append_changes(&log, &Catalogue::default(), 3);
    let follower = ConfigFollower::spawn(log.clone(), options("one"));
    let view = follower.view();
    assert!(timeout(PATIENCE, view.caught_up()).await.expect("in time"));
    assert_eq!(view.revision(), ConfigRevision(3));
    append_changes(&log, &catalogue, 1);
    reach(&view, 4).await;
    assert_eq!(view.catalogue().adapter_count(), 4);
}

#[tokio::test(start_paused = true)]
async fn is_not_ready_while_the_log_is_out() {
    let log = FakeLog::open();
    append_changes(&log, &Catalogue::default(), 1);
    log.set_faults(FakeFaults {
        out: true,
        ..FakeFaults::default()
    });
    let follower = ConfigFollower::spawn(log.clone(), options("one"));
    let view = follower.view();
    assert!(timeout(PATIENCE, view.caught_up()).await.is_err());
    assert!(view.state().log_failing);
    log.set_faults(FakeFaults::default());
    assert!(timeout(PATIENCE, view.caught_up()).await.expect("in time"));
    assert_eq!(view.revision(), ConfigRevision(1));
}

#[tokio::test(start_paused = true)]
async fn keeps_the_catalogue_through_an_outage() {
    let log = FakeLog::open();
    let catalogue = append_changes(&log, &Catalogue::default(), 2);
    let follower = ConfigFollower::spawn(log.clone(), options("one"));
    let view = follower.view();
    reach(&view, 2).await;
    log.set_faults(FakeFaults {
        out: true,
        ..FakeFaults::default()
    });
    tokio::time::sleep(PATIENCE).await;
    assert_eq!(view.revision(), ConfigRevision(2));
    append_changes(&log, &catalogue, 1);
    log.set_faults(FakeFaults::default());
    reach(&view, 3).await;
}

#[tokio::test(start_paused = true)]
async fn a_log_that_lost_its_beginning_is_not_served_as_empty() {
    let log = FakeLog::open();
    append_changes(&log, &Catalogue::default(), 3);
    log.expire_before(2);
    let follower = ConfigFollower::spawn(log.clone(), options("one"));
    let view = follower.view();
    assert!(timeout(PATIENCE, view.caught_up()).await.is_err());
    assert!(matches!(
        view.state().standing,
        HistoryStatus::AwaitingSnapshot(_)
    ));
    assert_eq!(view.revision(), ConfigRevision(0));
}

#[tokio::test(start_paused = true)]
async fn a_log_that_lost_everything_is_not_served_as_empty() {
    let log = FakeLog::open();
    append_changes(&log, &Catalogue::default(), 3);
    log.expire_before(3);
    let follower = ConfigFollower::spawn(log.clone(), options("one"));
    let view = follower.view();
    assert!(timeout(PATIENCE, view.caught_up()).await.is_err());
    assert!(matches!(
        view.state().standing,
        HistoryStatus::AwaitingSnapshot(_)
    ));
}

#[tokio::test(start_paused = true)]
async fn an_empty_log_is_an_empty_configuration_at_once() {
    let log = FakeLog::open();
    let started = tokio::time::Instant::now();
    let follower = ConfigFollower::spawn(Arc::clone(&log) as _, options("one"));
    assert!(
        timeout(PATIENCE, follower.view().caught_up())
            .await
            .expect("in time")
    );
    assert_eq!(started.elapsed(), std::time::Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn a_log_that_lost_its_end_is_said_and_reverts_nothing() {
    let log = FakeLog::open();
    append_changes(&log, &Catalogue::default(), 3);
    let follower = ConfigFollower::spawn(log.clone(), options("one"));
    let view = follower.view();
    reach(&view, 3).await;
    log.rewind(1);
    let mut state = view.watch();
    timeout(PATIENCE, state.wait_for(|state| state.log_rewound))
        .await
        .expect("the loss is seen in time")
        .expect("the follower runs");
    assert_eq!(view.revision(), ConfigRevision(3));
    assert_eq!(view.catalogue().adapter_count(), 3);
}
