//! A network path that discards bytes, and closes or refuses connections.

mod support;

use std::time::Duration;

use amaranth_ports::PortError;
use amaranth_ports::engine::EnginePort;
use amaranth_ports::http_engine::HttpEngine;
use amaranth_standin::engine::answer_text::answer_text;
use amaranth_standin::{DiscardDirection, EngineStandin, PathFaults, PathOptions, PathStandin};
use futures::StreamExt;
use rstest::rstest;
use support::{PROMPT, call, fast_engine, joined_text, read_all, spawn_engine};

const BASE: &str = "tin-llm";
const SILENCE_TIMEOUT: Duration = Duration::from_millis(200);

async fn spawn_path() -> (EngineStandin, PathStandin, HttpEngine) {
    let (engine, _) = spawn_engine(fast_engine()).await;
    let path = PathStandin::spawn(PathOptions::to(engine.address()))
        .await
        .expect("the path binds");
    let client = HttpEngine::new(path.address());
    (engine, path, client)
}

#[rstest]
#[case::both(DiscardDirection::Both)]
#[case::from_server(DiscardDirection::FromServer)]
#[tokio::test]
async fn discarded_bytes_silence_an_open_stream_and_a_new_connection_resumes_it(
    #[case] direction: DiscardDirection,
) {
    let (_engine, path, client) = spawn_path().await;
    let call = call(1, BASE, 300);
    let id = call.id;
    let mut answer = client
        .complete(call)
        .await
        .expect("the engine accepts the call");
    let mut events = vec![
        answer
            .events
            .next()
            .await
            .expect("the answer has a first event"),
    ];
    path.discard_bytes(direction);
    while let Ok(Some(event)) = tokio::time::timeout(SILENCE_TIMEOUT, answer.events.next()).await {
        events.push(event);
    }
    assert!(
        events.len() < 300,
        "the stream ended before its bytes were discarded"
    );
    assert!(events.iter().all(Result::is_ok));
    let rest = client.resume(id, events.len() as u64).await;
    events.extend(read_all(rest.expect("a new connection is forwarded")).await);
    assert_eq!(joined_text(&events), answer_text(BASE, PROMPT, 300));
}

#[tokio::test]
async fn discarding_one_direction_keeps_the_other() {
    let (engine, path, client) = spawn_path().await;
    client.inventory().await.expect("the connection opens");
    path.discard_bytes(DiscardDirection::FromServer);
    let order = support::load(&client, "manifest-reader@3", 1);
    // The order reaches the engine, although its answer is discarded.
    assert!(tokio::time::timeout(SILENCE_TIMEOUT, order).await.is_err());
    assert_eq!(engine.counters().loads, 1);
}

#[tokio::test]
async fn closed_connections_end_their_answers_and_refused_connections_get_none() {
    let (_engine, path, client) = spawn_path().await;
    let mut answer = client
        .complete(call(1, BASE, 1_000_000))
        .await
        .expect("the engine accepts the call");
    answer
        .events
        .next()
        .await
        .expect("the answer has a first event")
        .expect("the first event arrives");
    path.close_connections();
    let last = read_all(answer).await.pop().expect("the answer has an end");
    assert!(matches!(last, Err(PortError::Uncertain(_))), "{last:?}");
    path.set_faults(PathFaults {
        refuses: true,
        ..PathFaults::default()
    });
    assert!(client.inventory().await.is_err());
    path.set_faults(PathFaults::default());
    client
        .inventory()
        .await
        .expect("new connections are forwarded");
}
