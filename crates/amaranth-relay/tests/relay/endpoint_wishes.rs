//! What endpoints state about themselves in answers: that they are leaving, or want a pause.

use std::time::Duration;

use amaranth_dispatch::routes::RouteKind;
use rstest::rstest;
use tokio::time::sleep;

use crate::support::{
    FakeEndpoint, LAST_CHUNK, Reply, TestEntry, complete_answer, event, header, post, route,
    status, stream_head,
};

/// Adds a header to an answer.
fn with_header(answer: &str, header: &str) -> String {
    answer.replacen("\r\n", &format!("\r\n{header}\r\n"), 1)
}

fn leaving(answer: &str) -> Reply {
    Reply::Write(with_header(answer, "Leaving: 1"))
}

#[rstest]
#[case::success(complete_answer("200 OK", "c1", "done"))]
#[case::failure(complete_answer("500 Oops", "c1", "oops"))]
#[case::refusal("HTTP/1.1 503 Busy\r\nCall: c1\r\nUntouched: 1\r\nContent-Length: 0\r\n\r\n".to_owned())]
#[case::misdirected("HTTP/1.1 421 Other\r\nCall: c1\r\nUntouched: 1\r\nContent-Length: 0\r\n\r\n".to_owned())]
#[case::without_proof("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno".to_owned())]
#[case::stream_head(stream_head("c1") + &event(1) + LAST_CHUNK)]
#[tokio::test]
async fn an_endpoint_that_says_it_leaves_in_any_answer_gets_no_further_call(
    #[case] answer: String,
) {
    let endpoint = FakeEndpoint::bind(vec![leaving(&answer)]).await;
    let other =
        FakeEndpoint::bind(vec![Reply::Write(complete_answer("200 OK", "c2", "other"))]).await;
    let entry = TestEntry::serving(route(RouteKind::Idempotent, false, 1), &[&endpoint, &other]);
    entry.call(&post("c1", "")).await;
    assert_eq!(endpoint.arrivals().len(), 1);
    for _ in 0..4 {
        let answer = entry.call(&post("c2", "")).await;
        assert!(answer.ends_with("other"), "{answer}");
    }
    assert_eq!(endpoint.arrivals().len(), 1);
}

#[tokio::test]
async fn an_endpoint_that_asks_for_a_pause_gets_no_call_before_its_end() {
    let refusal = "HTTP/1.1 503 Busy\r\nCall: c1\r\nUntouched: 1\r\nPause-Ms: 600\r\nContent-Length: 0\r\n\r\n";
    let endpoint = FakeEndpoint::bind(vec![
        Reply::Write(refusal.to_owned()),
        Reply::Write(complete_answer("200 OK", "c2", "back")),
    ])
    .await;
    let entry = TestEntry::serving(route(RouteKind::Idempotent, false, 1), &[&endpoint]);
    let refused = entry.call(&post("c1", "")).await;
    assert_eq!(status(&refused), "503", "{refused}");
    let paused = entry.call(&post("c2", "")).await;
    assert_eq!(status(&paused), "503", "{paused}");
    let again_ms: u64 = header(&paused, "again-ms")
        .and_then(|delay| delay.parse().ok())
        .expect("the refusal states a delay");
    assert!((300..=600).contains(&again_ms), "{again_ms}");
    assert_eq!(endpoint.arrivals().len(), 1);
    sleep(Duration::from_millis(again_ms + 20)).await;
    let answer = entry.call(&post("c2", "")).await;
    assert!(
        answer.ends_with("back"),
        "the stated delay was true: {answer}"
    );
}

#[tokio::test]
async fn a_generation_is_refused_at_once_while_all_engines_are_paused() {
    let refusal = "HTTP/1.1 503 Busy\r\nCall: c1\r\nUntouched: 1\r\nPause-Ms: 900\r\nContent-Length: 0\r\n\r\n";
    let endpoint = FakeEndpoint::bind(vec![Reply::Write(refusal.to_owned())]).await;
    let entry = TestEntry::serving(route(RouteKind::Stream, false, 1), &[&endpoint]);
    entry.call(&post("c1", "Wants: m\r\n")).await;
    let started = std::time::Instant::now();
    let paused = entry.call(&post("c2", "Wants: m\r\n")).await;
    assert_eq!(status(&paused), "503", "{paused}");
    assert!(started.elapsed() < Duration::from_millis(300));
    assert_eq!(endpoint.arrivals().len(), 1);
}

#[tokio::test]
async fn a_success_with_a_pause_header_pauses_nothing() {
    let answer = with_header(&complete_answer("200 OK", "c1", "done"), "Pause-Ms: 60000");
    let endpoint = FakeEndpoint::bind(vec![Reply::Write(answer)]).await;
    let entry = TestEntry::serving(route(RouteKind::Idempotent, false, 1), &[&endpoint]);
    for _ in 0..2 {
        let answer = entry.call(&post("c1", "")).await;
        assert!(answer.ends_with("done"), "{answer}");
    }
}
