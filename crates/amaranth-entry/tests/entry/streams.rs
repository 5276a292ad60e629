//! Answers over connections that fall silent and entries that die.

use std::time::Duration;

use amaranth_entry::EntryProcess;
use amaranth_standin::{PathOptions, PathStandin, SwallowKind};
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
        ..AnswerScript::whole(&[])
    }
}

/// Returns the stream that a caller gets without any fault.
fn whole_stream() -> String {
    let events = script().chunks;
    let data = events.iter().map(String::as_str).chain(["[DONE]"]);
    data.map(|data| format!("data: {data}\n\n")).collect()
}

async fn read_frames(body: &mut Incoming, count: usize) -> String {
    let mut text = String::new();
    for _ in 0..count {
        let frame = body.frame().await.expect("a frame").expect("no error");
        let data = frame.into_data().expect("data");
        text.push_str(std::str::from_utf8(&data).expect("events are text"));
    }
    text
}

async fn read_rest(body: Incoming) -> String {
    let rest = body
        .collect()
        .await
        .expect("the stream is whole")
        .to_bytes();
    String::from_utf8(rest.to_vec()).expect("events are text")
}

struct PathBetween {
    _entry: EntryProcess,
    agent: FakeAgent,
    path: PathStandin,
    caller: EntryCaller,
}

/// Starts an entry and an agent with a path between them that can swallow bytes.
async fn spawn_path_between() -> PathBetween {
    let entry = spawn_entry(settings("entry-1"), &configured_log().await).await;
    let agent = FakeAgent::spawn("agent-1").await;
    agent.answer_with(Ok(script()));
    let path = PathStandin::spawn(PathOptions::to(agent.address()))
        .await
        .expect("the path binds");
    agent
        .announce_at(path.address(), entry.peer_address(), 1)
        .await;
    PathBetween {
        caller: EntryCaller::open(entry.http_address()),
        _entry: entry,
        agent,
        path,
    }
}

#[rstest]
#[case::to_the_agent(SwallowKind::FromClient)]
#[case::to_the_entry(SwallowKind::FromServer)]
#[case::both_ways(SwallowKind::Both)]
#[tokio::test]
async fn a_silent_connection_is_replaced_and_the_stream_is_the_same(#[case] kind: SwallowKind) {
    let between = spawn_path_between().await;
    let response = between
        .caller
        .send(Method::POST, "/v1/completions", &[], PROMPT)
        .await;
    let mut body = response.into_body();
    let mut text = read_frames(&mut body, 5).await;
    between.path.swallow_open(kind);
    text.push_str(&read_rest(body).await);
    assert_eq!(text, whole_stream());
    assert_eq!(between.agent.opened().len(), 1);
}

#[tokio::test]
async fn a_cut_connection_is_replaced_and_the_stream_is_the_same() {
    let between = spawn_path_between().await;
    let response = between
        .caller
        .send(Method::POST, "/v1/completions", &[], PROMPT)
        .await;
    let mut body = response.into_body();
    let mut text = read_frames(&mut body, 5).await;
    between.path.cut_open();
    text.push_str(&read_rest(body).await);
    assert_eq!(text, whole_stream());
}

#[rstest]
#[case::to_the_agent(SwallowKind::FromClient)]
#[case::to_the_entry(SwallowKind::FromServer)]
#[tokio::test]
async fn a_booking_whose_connection_falls_silent_runs_once(#[case] kind: SwallowKind) {
    let between = spawn_path_between().await;
    between.agent.work_for(Duration::from_millis(600));
    let headers = [("idempotency-key", "b-1")];
    let calling = between
        .caller
        .call(Method::POST, "/services/desk/book", &headers, "seat 1");
    let swallowing = async {
        while between.agent.calls().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        between.path.swallow_open(kind);
    };
    let (answer, ()) = tokio::join!(calling, swallowing);
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(between.agent.executions("b-1"), 1);
}

#[tokio::test]
async fn another_entry_gives_the_rest_after_the_first_died() {
    let log = configured_log().await;
    let agent = FakeAgent::spawn("agent-1").await;
    agent.answer_with(Ok(script()));
    let first = spawn_entry(settings("entry-1"), &log).await;
    let second = spawn_entry(settings("entry-2"), &log).await;
    agent.announce(first.peer_address(), 1).await;
    agent.announce(second.peer_address(), 1).await;
    let response = EntryCaller::open(first.http_address())
        .send(Method::POST, "/v1/completions", &[], PROMPT)
        .await;
    let request = response.headers()["x-request-id"].clone();
    let mut body = response.into_body();
    let mut text = read_frames(&mut body, 20).await;
    first.kill();
    // What the first entry passed on and the caller did not take is lost with the connection.
    drop(body);
    let received = text.matches("data: ").count();
    let request = request.to_str().expect("the id is text");
    let path = format!("/v1/requests/{request}?from={received}");
    let rest = EntryCaller::open(second.http_address())
        .call(Method::GET, &path, &[], "")
        .await;
    assert_eq!(rest.status, StatusCode::OK);
    text.push_str(std::str::from_utf8(&rest.body).expect("events are text"));
    assert_eq!(text, whole_stream());
}
