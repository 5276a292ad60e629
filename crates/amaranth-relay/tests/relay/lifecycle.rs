//! Stages of an entry: answers before it is ready, and the course of a stop.

use std::time::Duration;

use amaranth_dispatch::routes::RouteKind;
use amaranth_relay::entry_stage::EntryStage;
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;

use crate::support::{
    FakeEndpoint, Reply, TestEntry, complete_answer, post, read_to_end, read_until, route, status,
};

#[tokio::test]
async fn an_entry_is_ready_only_when_it_knows_routes_and_endpoints() {
    let endpoint =
        FakeEndpoint::bind(vec![Reply::Write(complete_answer("200 OK", "c1", "ok"))]).await;
    let entry = TestEntry::bind();
    assert_eq!(entry.readiness().await, "503");
    assert_eq!(status(&entry.call(&post("c1", "")).await), "503");
    entry.configure(1, vec![route(RouteKind::Idempotent, false, 1)]);
    assert_eq!(entry.readiness().await, "503");
    entry.announce(&[]);
    assert_eq!(entry.readiness().await, "503");
    entry.announce(&[&endpoint]);
    assert_eq!(entry.readiness().await, "200");
    assert_eq!(status(&entry.call(&post("c1", "")).await), "200");
}

#[tokio::test]
async fn a_call_without_a_route_is_answered_404_only_once_a_configuration_is_known() {
    let endpoint =
        FakeEndpoint::bind(vec![Reply::Write(complete_answer("200 OK", "c1", "ok"))]).await;
    let entry = TestEntry::bind();
    let unrouted = post("c1", "").replace("/p/x", "/q/x");
    assert_eq!(status(&entry.call(&unrouted).await), "503");
    entry.configure(1, vec![route(RouteKind::Idempotent, false, 1)]);
    entry.announce(&[&endpoint]);
    assert_eq!(status(&entry.call(&unrouted).await), "404");
}

#[tokio::test]
async fn an_older_configuration_is_ignored() {
    let endpoint =
        FakeEndpoint::bind(vec![Reply::Write(complete_answer("200 OK", "c1", "ok"))]).await;
    let entry = TestEntry::serving(route(RouteKind::Idempotent, false, 1), &[&endpoint]);
    entry.configure(9, Vec::new());
    entry.configure(5, vec![route(RouteKind::Idempotent, false, 1)]);
    assert_eq!(status(&entry.call(&post("c1", "")).await), "404");
}

#[tokio::test]
async fn a_stopping_entry_finishes_its_calls_and_closes_idle_connections() {
    let slow = Reply::Pieces(vec![(400, complete_answer("200 OK", "c1", "finished"))]);
    let endpoint = FakeEndpoint::bind(vec![slow]).await;
    let entry = TestEntry::serving(route(RouteKind::NonIdempotent, false, 1), &[&endpoint]);
    let mut idle = entry.connect().await;
    let mut busy = entry.connect().await;
    let request = post("c1", "").replace("Connection: close\r\n", "");
    busy.write_all(request.as_bytes())
        .await
        .expect("the request is written");
    while endpoint.arrivals().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    entry.core.begin_stop(Duration::from_secs(8));
    assert_eq!(entry.readiness().await, "503");
    entry.server.disable_keep_alive();
    assert_eq!(read_to_end(&mut idle).await, "");
    let answer = read_to_end(&mut busy).await;
    assert!(answer.contains("finished"), "{answer}");
    sleep(Duration::from_millis(50)).await;
    assert_eq!(entry.server.open_connections(), 0);
}

#[tokio::test]
async fn an_entry_does_not_return_to_an_earlier_stage() {
    let endpoint =
        FakeEndpoint::bind(vec![Reply::Write(complete_answer("200 OK", "c1", "ok"))]).await;
    let entry = TestEntry::serving(route(RouteKind::Idempotent, false, 1), &[&endpoint]);
    entry.core.stage.advance(EntryStage::Stopping);
    entry.announce(&[&endpoint]);
    assert_eq!(entry.core.stage.get(), EntryStage::Stopping);
}

#[tokio::test]
async fn a_draining_endpoint_gets_no_new_call() {
    let first = FakeEndpoint::bind(vec![Reply::Write(complete_answer(
        "200 OK", "c1", "leaving",
    ))])
    .await;
    let second = FakeEndpoint::bind(vec![Reply::Write(complete_answer(
        "200 OK", "c1", "staying",
    ))])
    .await;
    let entry = TestEntry::serving(route(RouteKind::Idempotent, false, 1), &[&first, &second]);
    let mut draining = crate::support::record(0, first.address, "");
    draining.draining = true;
    draining.sequence = 2;
    entry
        .core
        .apply_registry(amaranth_relay::feed::FeedEvent::Changes(vec![
            amaranth_dispatch::endpoint_table::RegistryEvent::Announced(Box::new(draining)),
        ]));
    let mut caller = entry.connect().await;
    caller
        .write_all(post("c1", "").as_bytes())
        .await
        .expect("the request is written");
    read_until(&mut caller, "staying").await;
    assert!(first.arrivals().is_empty());
}

/// If all entries are stopping, the load balancer still sends callers to them.
#[tokio::test]
async fn a_stopping_entry_accepts_calls_that_end_in_time_and_refuses_others() {
    let endpoint = FakeEndpoint::bind(vec![Reply::Write(complete_answer(
        "200 OK", "c1", "served",
    ))])
    .await;
    let entry = TestEntry::serving(route(RouteKind::NonIdempotent, false, 1), &[&endpoint]);
    entry.core.begin_stop(Duration::from_secs(8));
    entry.server.disable_keep_alive();
    let request = post("c1", "").replace("Connection: close\r\n", "");
    let answer = entry.call(&request).await;
    assert!(answer.ends_with("served"), "{answer}");
    entry.core.begin_stop(Duration::from_millis(500));
    let answer = entry.call(&request).await;
    assert_eq!(status(&answer), "503", "{answer}");
    assert!(crate::support::header(&answer, "again-ms").is_some());
    assert_eq!(endpoint.arrivals().len(), 1);
}
