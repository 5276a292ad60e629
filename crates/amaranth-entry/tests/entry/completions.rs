//! Tests of completions through an entry to a fake agent.

use std::time::Duration;

use amaranth_core::errors::{Error, ErrorKind};
use amaranth_core::request::AnswerEnd;
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use rstest::rstest;
use serde_json::json;

use crate::support::caller::EntryCaller;
use crate::support::fake_agent::{AnswerScript, FakeAgent};
use crate::support::{configured_log, settings, spawn_entry};

const CHAT: &str = r#"{"model":"depot","messages":[{"role":"user","content":"read"}]}"#;
const STREAMED_CHAT: &str =
    r#"{"model":"depot","stream":true,"messages":[{"role":"user","content":"read"}]}"#;

const CHAT_CHUNKS: [&str; 3] = [
    r#"{"id":"c1","object":"chat.completion.chunk","created":1,"model":"depot@3","choices":[{"index":0,"delta":{"role":"assistant","content":"two "},"finish_reason":null}]}"#,
    r#"{"id":"c1","object":"chat.completion.chunk","created":1,"model":"depot@3","choices":[{"index":0,"delta":{"content":"tins"},"finish_reason":"stop"}]}"#,
    r#"{"id":"c1","object":"chat.completion.chunk","created":1,"model":"depot@3","choices":[],"usage":{"prompt_tokens":2,"completion_tokens":2,"total_tokens":4}}"#,
];

/// An entry, its agent and a caller.
struct Fixture {
    entry: amaranth_entry::EntryProcess,
    agent: FakeAgent,
    caller: EntryCaller,
}

/// Starts an entry and an agent that answers completions by `script`.
async fn spawn_fixture(script: AnswerScript) -> Fixture {
    let entry = spawn_entry(settings("entry-1"), &configured_log().await).await;
    let agent = FakeAgent::spawn("agent-1").await;
    agent.answer_with(Ok(script));
    agent.announce(entry.peer_address(), 1).await;
    let caller = EntryCaller::new(entry.http_address());
    Fixture {
        entry,
        agent,
        caller,
    }
}

#[tokio::test]
async fn a_whole_answer_is_assembled_from_the_chunks() {
    let fixture = spawn_fixture(AnswerScript::all_ready(&CHAT_CHUNKS)).await;
    let answer = fixture.caller.post("/v1/chat/completions", CHAT).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.header("x-amaranth-revision"), "1");
    assert_eq!(answer.header("x-amaranth-run"), "run");
    let expected = json!({
        "id": "c1", "object": "chat.completion", "created": 1, "model": "depot@3",
        "choices": [{
            "index": 0, "finish_reason": "stop", "logprobs": null,
            "message": {"role": "assistant", "content": "two tins"},
        }],
        "usage": {"prompt_tokens": 2, "completion_tokens": 2, "total_tokens": 4},
    });
    assert_eq!(answer.json(), expected);
    let opened = fixture.agent.opened();
    assert_eq!(opened[0].target.to_string(), "depot@3");
}

#[tokio::test]
async fn a_stream_forwards_every_chunk_and_ends_with_done() {
    let script = AnswerScript {
        ready_at_once: 0,
        ..AnswerScript::all_ready(&CHAT_CHUNKS)
    };
    let fixture = spawn_fixture(script).await;
    let answer = fixture
        .caller
        .post("/v1/chat/completions", STREAMED_CHAT)
        .await;
    assert_eq!(answer.header("content-type"), "text/event-stream");
    let events: String = CHAT_CHUNKS
        .iter()
        .chain(&["[DONE]"])
        .map(|data| format!("data: {data}\n\n"))
        .collect();
    assert_eq!(answer.body, events);
}

#[tokio::test]
async fn an_error_after_the_first_chunk_is_an_event() {
    let error = Error::new(ErrorKind::EndpointFailed, "engine lost power");
    let script = AnswerScript {
        end: AnswerEnd::Failed(error),
        ..AnswerScript::all_ready(&CHAT_CHUNKS[..1])
    };
    let fixture = spawn_fixture(script).await;
    let answer = fixture
        .caller
        .post("/v1/chat/completions", STREAMED_CHAT)
        .await;
    assert_eq!(answer.status, StatusCode::OK);
    let text = String::from_utf8(answer.body.to_vec()).expect("events are text");
    let last = text
        .trim_end()
        .rsplit("data: ")
        .next()
        .expect("the stream has an event");
    let event: serde_json::Value = serde_json::from_str(last).expect("the event is JSON");
    let expected = json!({"error": {
        "message": "engine lost power", "type": "api_error", "param": null,
        "code": "endpoint_failed",
    }});
    assert_eq!(event, expected);
}

#[rstest]
#[case::not_json("{", 400)]
#[case::no_model(r#"{"messages":[{"role":"user","content":"x"}]}"#, 400)]
#[case::two_choices(
    r#"{"model":"depot","n":2,"messages":[{"role":"user","content":"x"}]}"#,
    400
)]
#[case::no_messages(r#"{"model":"depot"}"#, 400)]
#[case::unknown_adapter(
    r#"{"model":"depot@4","messages":[{"role":"user","content":"x"}]}"#,
    404
)]
#[tokio::test]
async fn an_invalid_request_is_refused_and_not_forwarded(#[case] body: &str, #[case] status: u16) {
    let fixture = spawn_fixture(AnswerScript::all_ready(&CHAT_CHUNKS)).await;
    let answer = fixture.caller.post("/v1/chat/completions", body).await;
    assert_eq!(answer.status.as_u16(), status);
    assert_eq!(answer.header("x-amaranth-run"), "not_run");
    assert_eq!(answer.json()["error"]["type"], "invalid_request_error");
    assert!(fixture.agent.opened().is_empty());
}

#[tokio::test]
async fn a_body_beyond_the_limit_is_refused() {
    let fixture = spawn_fixture(AnswerScript::all_ready(&CHAT_CHUNKS)).await;
    let body = "x".repeat(65 << 10);
    let answer = fixture.caller.post("/v1/completions", &body).await;
    assert_eq!(answer.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert!(fixture.agent.opened().is_empty());
}

#[tokio::test]
async fn a_request_refused_by_one_endpoint_is_retried_at_another() {
    let fixture = spawn_fixture(AnswerScript::all_ready(&CHAT_CHUNKS)).await;
    let other = FakeAgent::spawn("agent-2").await;
    other.answer_with(Ok(AnswerScript::all_ready(&CHAT_CHUNKS)));
    other.announce(fixture.entry.peer_address(), 1).await;
    let draining = Error::new(ErrorKind::Draining, "the agent is stopping");
    fixture.agent.answer_with(Err(draining));
    for _ in 0..8 {
        let answer = fixture.caller.post("/v1/chat/completions", CHAT).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert_eq!(other.opened().len(), 8);
}

#[tokio::test]
async fn a_disconnected_caller_cancels_the_answer() {
    let script = AnswerScript {
        ready_at_once: 1,
        ..AnswerScript::all_ready(&[CHAT_CHUNKS[0]; 100_000])
    };
    let fixture = spawn_fixture(script).await;
    let response = fixture
        .caller
        .send(Method::POST, "/v1/chat/completions", &[], STREAMED_CHAT)
        .await;
    let mut body = response.into_body();
    body.frame()
        .await
        .expect("the stream has a frame")
        .expect("the frame is complete");
    drop(body);
    while fixture.agent.cancelled().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(
        fixture.agent.cancelled(),
        vec![fixture.agent.opened()[0].id]
    );
}

#[tokio::test]
async fn a_drain_finishes_the_stream_in_flight() {
    let script = AnswerScript {
        ready_at_once: 1,
        ..AnswerScript::all_ready(&[CHAT_CHUNKS[0]; 200])
    };
    let fixture = spawn_fixture(script).await;
    let response = fixture
        .caller
        .send(Method::POST, "/v1/chat/completions", &[], STREAMED_CHAT)
        .await;
    let draining = tokio::spawn(fixture.entry.drain());
    let body = response
        .into_body()
        .collect()
        .await
        .expect("the stream is complete");
    let text = String::from_utf8(body.to_bytes().to_vec()).expect("events are text");
    assert_eq!(text.matches("data: ").count(), 201);
    assert!(text.ends_with("data: [DONE]\n\n"));
    draining.await.expect("the drain completes");
}

/// Guards against callers that go on sending to an entry that refuses all their requests.
#[tokio::test]
async fn a_draining_entry_refuses_at_once_and_closes_the_connection() {
    let script = AnswerScript {
        ready_at_once: 1,
        ..AnswerScript::all_ready(&[CHAT_CHUNKS[0]; 200])
    };
    let fixture = spawn_fixture(script).await;
    let send = || {
        let caller = &fixture.caller;
        caller.send(Method::POST, "/v1/chat/completions", &[], STREAMED_CHAT)
    };
    let running = send().await;
    let draining = tokio::spawn(fixture.entry.drain());
    tokio::task::yield_now().await;
    let refused = send().await;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.headers()["connection"], "close");
    assert_eq!(refused.headers()["x-amaranth-run"], "not_run");
    drop((running, refused));
    draining.await.expect("the drain completes");
}

#[tokio::test]
async fn models_are_listed() {
    let fixture = spawn_fixture(AnswerScript::all_ready(&CHAT_CHUNKS)).await;
    let answer = fixture
        .caller
        .call(Method::GET, "/v1/models", &[], "")
        .await;
    let ids: Vec<_> = answer.json()["data"]
        .as_array()
        .expect("the data is a list")
        .iter()
        .map(|model| model["id"].clone())
        .collect();
    assert_eq!(ids, vec![json!("depot"), json!("tin")]);
}

#[tokio::test]
async fn a_repeatable_service_call_reaches_the_agent() {
    let fixture = spawn_fixture(AnswerScript::all_ready(&CHAT_CHUNKS)).await;
    let answer = fixture
        .caller
        .call(Method::GET, "/services/desk/credit?member=7", &[], "")
        .await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.body, "{\"booked\":true}");
    assert_eq!(fixture.agent.calls()[0].path, "/credit?member=7");
}
