//! Tests of answers over connections that go silent or close, and after an entry is killed.

use std::time::Duration;

use amaranth_entry::EntryProcess;
use amaranth_standin::{DiscardDirection, PathOptions, PathStandin};
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use rstest::rstest;

use crate::support::caller::EntryCaller;
use crate::support::fake_agent::{AnswerScript, FakeAgent};
use crate::support::{configured_log, settings, spawn_entry};

const PROMPT: &str = r#"{"model":"depot","stream":true,"prompt":"read"}"#;
const CHUNKS: usize = 400;

fn script() -> AnswerScript {
    let chunks = (0..CHUNKS).map(|number| format!(r#"{{"choices":[{{"text":"{number} "}}]}}"#));
    AnswerScript {
        ready_at_once: 1,
        chunks: chunks.collect(),
        ..AnswerScript::all_ready(&[])
    }
}

/// Returns the stream that a caller receives if nothing fails.
fn complete_stream() -> String {
    let events = script().chunks;
    let data = events.iter().map(String::as_str).chain(["[DONE]"]);
    data.map(|data| format!("data: {data}\n\n")).collect()
}

async fn read_frames(body: &mut Incoming, count: usize) -> String {
    let mut text = String::new();
    for _ in 0..count {
        let frame = body
            .frame()
            .await
            .expect("the stream has a frame")
            .expect("the frame is complete");
        let data = frame.into_data().expect("the frame contains data");
        text.push_str(std::str::from_utf8(&data).expect("events are text"));
    }
    text
}

async fn read_rest(body: Incoming) -> String {
    let rest = body
        .collect()
        .await
        .expect("the stream is complete")
        .to_bytes();
    String::from_utf8(rest.to_vec()).expect("events are text")
}

/// An entry and its agent, with a network path between them that injects faults, and a caller.
struct Fixture {
    _entry: EntryProcess,
    agent: FakeAgent,
    path: PathStandin,
    caller: EntryCaller,
}

/// Starts an entry and an agent with a network path between them that can discard bytes.
async fn spawn_fixture() -> Fixture {
    let entry = spawn_entry(settings("entry-1"), &configured_log().await).await;
    let agent = FakeAgent::spawn("agent-1").await;
    agent.answer_with(Ok(script()));
    let path = PathStandin::spawn(PathOptions::to(agent.address()))
        .await
        .expect("the path binds");
    agent
        .announce_at(path.address(), entry.peer_address(), 1)
        .await;
    Fixture {
        caller: EntryCaller::new(entry.http_address()),
        _entry: entry,
        agent,
        path,
    }
}

#[rstest]
#[case::to_the_agent(DiscardDirection::FromClient)]
#[case::to_the_entry(DiscardDirection::FromServer)]
#[case::both_ways(DiscardDirection::Both)]
#[tokio::test]
async fn a_silent_connection_is_replaced_and_the_stream_is_complete(
    #[case] direction: DiscardDirection,
) {
    let fixture = spawn_fixture().await;
    let response = fixture
        .caller
        .send(Method::POST, "/v1/completions", &[], PROMPT)
        .await;
    let mut body = response.into_body();
    let mut text = read_frames(&mut body, 5).await;
    fixture.path.discard_bytes(direction);
    text.push_str(&read_rest(body).await);
    assert_eq!(text, complete_stream());
    assert_eq!(fixture.agent.opened().len(), 1);
}

#[tokio::test]
async fn a_closed_connection_is_replaced_and_the_stream_is_complete() {
    let fixture = spawn_fixture().await;
    let response = fixture
        .caller
        .send(Method::POST, "/v1/completions", &[], PROMPT)
        .await;
    let mut body = response.into_body();
    let mut text = read_frames(&mut body, 5).await;
    fixture.path.close_connections();
    text.push_str(&read_rest(body).await);
    assert_eq!(text, complete_stream());
}

#[rstest]
#[case::to_the_agent(DiscardDirection::FromClient)]
#[case::to_the_entry(DiscardDirection::FromServer)]
#[tokio::test]
async fn a_non_idempotent_call_whose_connection_goes_silent_runs_once(
    #[case] direction: DiscardDirection,
) {
    let fixture = spawn_fixture().await;
    fixture.agent.work_for(Duration::from_millis(600));
    let headers = [("idempotency-key", "b-1")];
    let calling = fixture
        .caller
        .call(Method::POST, "/services/desk/book", &headers, "seat 1");
    let discarding = async {
        while fixture.agent.calls().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        fixture.path.discard_bytes(direction);
    };
    let (answer, ()) = tokio::join!(calling, discarding);
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(fixture.agent.executions("b-1"), 1);
}

#[tokio::test]
async fn another_entry_serves_the_rest_after_the_first_is_killed() {
    let log = configured_log().await;
    let agent = FakeAgent::spawn("agent-1").await;
    agent.answer_with(Ok(script()));
    let first = spawn_entry(settings("entry-1"), &log).await;
    let second = spawn_entry(settings("entry-2"), &log).await;
    agent.announce(first.peer_address(), 1).await;
    agent.announce(second.peer_address(), 1).await;
    let response = EntryCaller::new(first.http_address())
        .send(Method::POST, "/v1/completions", &[], PROMPT)
        .await;
    let request = response.headers()["x-request-id"].clone();
    let mut body = response.into_body();
    let mut text = read_frames(&mut body, 20).await;
    first.kill();
    // Events that the first entry sent and the caller did not read are lost with the connection.
    drop(body);
    let received = text.matches("data: ").count();
    let request = request.to_str().expect("the id is text");
    let path = format!("/v1/requests/{request}?from={received}");
    let rest = EntryCaller::new(second.http_address())
        .call(Method::GET, &path, &[], "")
        .await;
    assert_eq!(rest.status, StatusCode::OK);
    text.push_str(std::str::from_utf8(&rest.body).expect("events are text"));
    assert_eq!(text, complete_stream());
}
