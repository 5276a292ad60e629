//! Tests of non-idempotent calls through entries, with a fake agent and an in-memory log.

use std::time::Duration;

use amaranth_entry::EntryProcess;
use amaranth_ports::log::LogStream;
use http::{Method, StatusCode};
use rstest::rstest;

use crate::support::caller::{CallerAnswer, EntryCaller};
use crate::support::fake_agent::FakeAgent;
use crate::support::memory_log::{LogFault, MemoryLog};
use crate::support::{configured_log, settings, spawn_entry};

/// Two entries that share one log and one agent, and a caller of each.
struct EntryPair {
    log: MemoryLog,
    agent: FakeAgent,
    entries: Vec<EntryProcess>,
    callers: Vec<EntryCaller>,
}

async fn spawn_pair() -> EntryPair {
    let log = configured_log().await;
    let agent = FakeAgent::spawn("agent-1").await;
    let mut pair = EntryPair {
        log,
        agent,
        entries: Vec::new(),
        callers: Vec::new(),
    };
    for name in ["entry-1", "entry-2"] {
        let entry = spawn_entry(settings(name), &pair.log).await;
        pair.agent.announce(entry.peer_address(), 1).await;
        pair.callers.push(EntryCaller::new(entry.http_address()));
        pair.entries.push(entry);
    }
    pair
}

/// Calls the booking path of the service `desk` with an idempotency key and a deadline.
async fn book(caller: &EntryCaller, key: &str, body: &str, deadline_ms: &str) -> CallerAnswer {
    let headers = [
        ("idempotency-key", key),
        ("x-amaranth-deadline-ms", deadline_ms),
    ];
    let path = "/services/desk/book";
    caller
        .call(Method::POST, path, &headers, body.to_owned())
        .await
}

#[tokio::test]
async fn a_repeated_key_runs_once_and_gets_the_same_answer() {
    let pair = spawn_pair().await;
    let first = book(&pair.callers[0], "b-1", "seat 1", "5000").await;
    assert_eq!(first.status, StatusCode::OK);
    for caller in &pair.callers {
        let again = book(caller, "b-1", "seat 1", "5000").await;
        assert_eq!(again.status, StatusCode::OK);
        assert_eq!(again.body, first.body);
    }
    assert_eq!(pair.agent.executions("b-1"), 1);
}

#[tokio::test]
async fn a_key_with_another_body_is_refused() {
    let pair = spawn_pair().await;
    book(&pair.callers[0], "b-1", "seat 1", "5000").await;
    let other = book(&pair.callers[1], "b-1", "seat 2", "5000").await;
    assert_eq!(other.status, StatusCode::CONFLICT);
    assert_eq!(other.json()["error"]["code"], "key_reused");
    assert_eq!(other.header("x-amaranth-run"), "not_run");
    assert_eq!(pair.agent.executions("b-1"), 1);
}

#[tokio::test]
async fn concurrent_calls_at_two_entries_run_a_key_once() {
    let pair = spawn_pair().await;
    for round in 0..20 {
        let key = format!("race-{round}");
        let (one, two) = tokio::join!(
            book(&pair.callers[0], &key, "seat 1", "5000"),
            book(&pair.callers[1], &key, "seat 1", "5000"),
        );
        assert_eq!(one.status, StatusCode::OK);
        assert_eq!(one.body, two.body);
        assert_eq!(pair.agent.executions(&key), 1);
    }
}

#[tokio::test]
async fn a_call_refused_during_a_log_outage_does_not_run() {
    let pair = spawn_pair().await;
    pair.log.set_fault(LogFault::Unreachable);
    let refused = book(&pair.callers[0], "b-1", "seat 1", "300").await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.header("x-amaranth-run"), "not_run");
    assert_ne!(refused.header("retry-after"), "");
    pair.log.set_fault(LogFault::None);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(pair.agent.executions("b-1"), 0);
    let again = book(&pair.callers[1], "b-1", "seat 1", "5000").await;
    assert_eq!(again.status, StatusCode::OK);
    assert_eq!(pair.agent.executions("b-1"), 1);
}

#[rstest]
#[case::answers_lost(LogFault::LostAnswers)]
#[tokio::test]
async fn a_lost_append_answer_is_resolved_from_the_log(#[case] fault: LogFault) {
    let pair = spawn_pair().await;
    pair.log.set_fault(fault);
    let answer = book(&pair.callers[0], "b-1", "seat 1", "5000").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(pair.agent.executions("b-1"), 1);
}

#[tokio::test]
async fn a_call_without_a_key_runs() {
    let pair = spawn_pair().await;
    let answer = pair.callers[0]
        .call(Method::POST, "/services/desk/book", &[], "seat 1")
        .await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(pair.agent.calls().len(), 1);
}

#[tokio::test]
async fn a_drain_records_the_outcomes() {
    let mut pair = spawn_pair().await;
    book(&pair.callers[0], "b-1", "seat 1", "5000").await;
    pair.entries.remove(0).drain().await;
    assert_eq!(pair.log.records(LogStream::Claims).len(), 2);
}
