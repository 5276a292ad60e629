//! Calls with complete answers: forwarding, refusals, and execution at most once.

use std::time::Duration;

use amaranth_dispatch::routes::RouteKind;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;

use crate::support::{
    FakeEndpoint, Reply, TestEntry, complete_answer, header, not_run, post, read_to_end,
    read_until, route, status,
};

#[tokio::test]
async fn a_call_and_its_answer_are_forwarded_unchanged() {
    let endpoint = FakeEndpoint::bind(vec![Reply::Write(complete_answer(
        "201 Made", "c1", "done",
    ))])
    .await;
    let entry = TestEntry::serving(route(RouteKind::NonIdempotent, false, 1), &[&endpoint]);
    let answer = entry.call(&post("c1", "Odd-CASE: kept\r\n")).await;
    assert_eq!(status(&answer), "201");
    assert_eq!(header(&answer, "proof").as_deref(), Some("p"));
    assert!(answer.ends_with("\r\n\r\ndone"), "{answer}");
    let arrived = &endpoint.arrivals()[0];
    assert!(
        arrived.starts_with("POST /p/x?q=1 HTTP/1.1\r\n"),
        "{arrived}"
    );
    assert!(arrived.contains("Odd-CASE: kept\r\n"), "{arrived}");
    assert!(arrived.ends_with("\r\n\r\nbody"), "{arrived}");
    assert_eq!(header(arrived, "meant").as_deref(), Some("e0"));
    let left: u64 = header(arrived, "left-ms")
        .and_then(|left| left.parse().ok())
        .expect("the time left is a number of milliseconds");
    assert!(left <= 2_000 && left > 1_000, "{left} ms left");
}

/// Replies of an endpoint after which it is unknown whether the call ran.
#[rstest]
#[case::closed(Reply::WriteAndClose(String::new()))]
#[case::cut_in_the_head(Reply::WriteAndClose("HTTP/1.1 200 OK\r\nProof: p\r\n".to_owned()))]
#[case::cut_in_the_body(Reply::WriteAndClose("HTTP/1.1 200 OK\r\nProof: p\r\nContent-Length: 9\r\n\r\nhal".to_owned()))]
#[case::not_http(Reply::WriteAndClose("what is this\r\n\r\n".to_owned()))]
#[case::of_another_call(Reply::Write(complete_answer("200 OK", "c0", "other")))]
#[case::without_proof(Reply::Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno".to_owned()))]
#[tokio::test]
async fn a_non_idempotent_call_with_unknown_outcome_is_answered_502_and_sent_once(
    #[case] reply: Reply,
) {
    let endpoint = FakeEndpoint::bind(vec![reply.clone()]).await;
    let other =
        FakeEndpoint::bind(vec![Reply::Write(complete_answer("200 OK", "c1", "twice"))]).await;
    let entry = TestEntry::serving(
        route(RouteKind::NonIdempotent, false, 3),
        &[&endpoint, &other],
    );
    let answer = entry.call(&post("c1", "")).await;
    assert_eq!(status(&answer), "502", "{answer}");
    assert_eq!(endpoint.arrivals().len() + other.arrivals().len(), 1);
}

#[tokio::test]
async fn a_non_idempotent_call_that_an_endpoint_did_not_run_is_retried_at_another() {
    let busy = FakeEndpoint::bind(vec![Reply::Write(not_run("c1"))]).await;
    let other =
        FakeEndpoint::bind(vec![Reply::Write(complete_answer("200 OK", "c1", "once"))]).await;
    let entry = TestEntry::serving(route(RouteKind::NonIdempotent, false, 1), &[&busy, &other]);
    let answer = entry.call(&post("c1", "")).await;
    assert!(answer.ends_with("once"), "{answer}");
    assert_eq!((busy.arrivals().len(), other.arrivals().len()), (1, 1));
}

#[tokio::test]
async fn a_non_idempotent_call_that_no_endpoint_ran_is_refused_with_a_retry_delay() {
    let busy = FakeEndpoint::bind(vec![Reply::Write(not_run("c1"))]).await;
    let entry = TestEntry::serving(route(RouteKind::NonIdempotent, false, 1), &[&busy]);
    let answer = entry.call(&post("c1", "")).await;
    assert_eq!(status(&answer), "503");
    assert!(header(&answer, "again-ms").is_some(), "{answer}");
}

#[rstest]
#[case::cut(Reply::WriteAndClose("HTTP/1.1 200 OK\r\nProof: p\r\nContent-Length: 9\r\n\r\nhal".to_owned()))]
#[case::failed(Reply::Write(complete_answer("500 Oops", "c1", "oops")))]
#[tokio::test]
async fn a_failed_idempotent_call_is_answered_by_another_endpoint(#[case] reply: Reply) {
    let endpoint = FakeEndpoint::bind(vec![reply]).await;
    let other =
        FakeEndpoint::bind(vec![Reply::Write(complete_answer("200 OK", "c1", "well"))]).await;
    let entry = TestEntry::serving(route(RouteKind::Idempotent, false, 2), &[&endpoint, &other]);
    let answer = entry.call(&post("c1", "")).await;
    assert!(answer.ends_with("well"), "{answer}");
}

#[tokio::test]
async fn an_error_answer_of_an_endpoint_is_forwarded_with_its_status_and_body() {
    let endpoint = FakeEndpoint::bind(vec![Reply::Write(complete_answer(
        "500 Oops", "c1", "oops",
    ))])
    .await;
    let entry = TestEntry::serving(route(RouteKind::NonIdempotent, false, 1), &[&endpoint]);
    let answer = entry.call(&post("c1", "")).await;
    assert_eq!(status(&answer), "500");
    assert_eq!(header(&answer, "proof").as_deref(), Some("p"));
    assert!(answer.ends_with("oops"), "{answer}");
}

#[tokio::test]
async fn a_non_idempotent_call_succeeds_although_an_endpoint_is_unreachable() {
    let unreachable = FakeEndpoint::bind(vec![Reply::Silence]).await;
    let address = unreachable.address;
    drop(unreachable);
    sleep(Duration::from_millis(20)).await;
    let other =
        FakeEndpoint::bind(vec![Reply::Write(complete_answer("200 OK", "c1", "once"))]).await;
    let entry = TestEntry::serving(route(RouteKind::NonIdempotent, false, 1), &[&other]);
    let unreachable = crate::support::record(7, address, "");
    entry
        .core
        .apply_registry(amaranth_relay::feed::FeedEvent::Changes(vec![
            amaranth_dispatch::endpoint_table::RegistryEvent::Announced(Box::new(unreachable)),
        ]));
    for call in 0..4 {
        let answer = entry.call(&post("c1", "")).await;
        assert!(answer.ends_with("once"), "call {call}: {answer}");
    }
}

#[tokio::test]
async fn a_second_answer_on_a_reused_connection_is_not_forwarded() {
    let two_answers =
        complete_answer("200 OK", "c1", "first") + &complete_answer("200 OK", "c1", "extra");
    let endpoint = FakeEndpoint::bind(vec![
        Reply::Write(two_answers),
        Reply::Write(complete_answer("200 OK", "c2", "second")),
    ])
    .await;
    let entry = TestEntry::serving(route(RouteKind::Idempotent, false, 2), &[&endpoint]);
    assert!(entry.call(&post("c1", "")).await.ends_with("first"));
    let second = entry.call(&post("c2", "")).await;
    assert!(second.ends_with("second"), "{second}");
}

#[tokio::test]
async fn a_late_answer_on_a_reused_connection_is_not_forwarded() {
    let endpoint = FakeEndpoint::bind(vec![
        Reply::Pieces(vec![
            (0, complete_answer("200 OK", "c1", "first")),
            (30, complete_answer("200 OK", "c1", "late")),
        ]),
        Reply::Write(complete_answer("200 OK", "c2", "second")),
    ])
    .await;
    let entry = TestEntry::serving(route(RouteKind::NonIdempotent, false, 1), &[&endpoint]);
    assert!(entry.call(&post("c1", "")).await.ends_with("first"));
    sleep(Duration::from_millis(100)).await;
    let second = entry.call(&post("c2", "")).await;
    assert!(second.ends_with("second"), "{second}");
}

#[tokio::test]
async fn an_answer_without_a_length_ends_with_its_connection() {
    let without_length = "HTTP/1.1 200 OK\r\nCall: c1\r\nProof: p\r\n\r\nall of it".to_owned();
    let endpoint = FakeEndpoint::bind(vec![Reply::WriteAndClose(without_length)]).await;
    let entry = TestEntry::serving(route(RouteKind::NonIdempotent, false, 1), &[&endpoint]);
    let answer = entry.call(&post("c1", "")).await;
    assert!(answer.ends_with("all of it"), "{answer}");
    assert_eq!(header(&answer, "content-length").as_deref(), Some("9"));
}

#[tokio::test]
async fn a_smuggled_request_does_not_reach_an_endpoint() {
    let endpoint =
        FakeEndpoint::bind(vec![Reply::Write(complete_answer("200 OK", "c1", "first"))]).await;
    let entry = TestEntry::serving(route(RouteKind::Idempotent, false, 1), &[&endpoint]);
    let smuggled = "POST /p/x HTTP/1.1\r\nHost: h\r\nCall: c1\r\nContent-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /p/evil HTTP/1.1\r\nHost: h\r\nCall: c9\r\n\r\n";
    entry.call(smuggled).await;
    let arrivals = endpoint.arrivals();
    assert!(
        arrivals.iter().all(|arrived| !arrived.contains("evil")),
        "{arrivals:?}"
    );
}

#[rstest]
#[case::two_lengths("Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody!")]
#[case::length_not_a_number("Content-Length: 4x\r\n\r\nbody")]
#[case::encoding_not_chunked("Transfer-Encoding: odd\r\n\r\nbody")]
#[case::space_before_colon("Content-Length : 4\r\n\r\nbody")]
#[tokio::test]
async fn a_call_with_ambiguous_framing_is_refused(#[case] rest: &str) {
    let endpoint =
        FakeEndpoint::bind(vec![Reply::Write(complete_answer("200 OK", "c1", "no"))]).await;
    let entry = TestEntry::serving(route(RouteKind::Idempotent, false, 1), &[&endpoint]);
    let answer = entry
        .call(&format!(
            "POST /p/x HTTP/1.1\r\nHost: h\r\nCall: c1\r\n{rest}"
        ))
        .await;
    assert_eq!(status(&answer), "400", "{answer}");
    assert!(endpoint.arrivals().is_empty());
}

#[tokio::test]
async fn a_body_beyond_the_limit_is_refused() {
    let endpoint =
        FakeEndpoint::bind(vec![Reply::Write(complete_answer("200 OK", "c1", "no"))]).await;
    let entry = TestEntry::serving(route(RouteKind::Idempotent, false, 1), &[&endpoint]);
    let body = "x".repeat((1 << 16) + 1);
    let request = format!(
        "POST /p/x HTTP/1.1\r\nHost: h\r\nCall: c1\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let answer = entry.call(&request).await;
    assert_eq!(status(&answer), "413", "{answer}");
    assert!(endpoint.arrivals().is_empty());
}

#[tokio::test]
async fn a_call_is_cancelled_at_its_endpoint_when_the_caller_disconnects() {
    let endpoint = FakeEndpoint::bind(vec![Reply::Silence]).await;
    let entry = TestEntry::serving(route(RouteKind::Idempotent, false, 1), &[&endpoint]);
    let mut caller = entry.connect().await;
    caller
        .write_all(post("c1", "").as_bytes())
        .await
        .expect("the request is written");
    while endpoint.arrivals().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    drop(caller);
    sleep(Duration::from_millis(300)).await;
    assert_eq!(endpoint.closed(), 1);
}

#[tokio::test]
async fn a_call_at_a_silent_endpoint_is_answered_at_the_callers_deadline() {
    let endpoint = FakeEndpoint::bind(vec![Reply::Silence]).await;
    let entry = TestEntry::serving(route(RouteKind::NonIdempotent, false, 1), &[&endpoint]);
    let started = std::time::Instant::now();
    let request = post("c1", "").replace("Left-Ms: 2000", "Left-Ms: 300");
    let answer = entry.call(&request).await;
    assert_eq!(status(&answer), "502", "{answer}");
    assert!(started.elapsed() < Duration::from_millis(800));
    sleep(Duration::from_millis(100)).await;
    assert_eq!(
        endpoint.closed(),
        1,
        "the call is cancelled at the endpoint"
    );
}

#[tokio::test]
async fn a_kept_alive_connection_carries_one_call_after_another() {
    let endpoint = FakeEndpoint::bind(vec![
        Reply::Write(complete_answer("200 OK", "c1", "one")),
        Reply::Write(complete_answer("200 OK", "c2", "two")),
    ])
    .await;
    let entry = TestEntry::serving(route(RouteKind::Idempotent, false, 1), &[&endpoint]);
    let mut caller = entry.connect().await;
    for (id, body) in [("c1", "one"), ("c2", "two")] {
        let request = post(id, "").replace("Connection: close\r\n", "");
        caller
            .write_all(request.as_bytes())
            .await
            .expect("the request is written");
        read_until(&mut caller, body).await;
    }
    drop(caller);
}

#[tokio::test]
async fn a_call_without_an_id_is_refused() {
    let endpoint =
        FakeEndpoint::bind(vec![Reply::Write(complete_answer("200 OK", "c1", "no"))]).await;
    let entry = TestEntry::serving(route(RouteKind::Idempotent, false, 1), &[&endpoint]);
    let mut caller = entry.connect().await;
    let request = "GET /p/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    caller
        .write_all(request.as_bytes())
        .await
        .expect("the request is written");
    assert_eq!(status(&read_to_end(&mut caller).await), "400");
}

/// The registry still lists an endpoint that has ended, and another endpoint now has its address.
#[tokio::test]
async fn an_endpoint_whose_address_was_reused_is_called_once() {
    let other = "HTTP/1.1 421 Other\r\nCall: c1\r\nBy: e9\r\nContent-Length: 0\r\n\r\n".to_owned();
    let ended = FakeEndpoint::bind(vec![Reply::Write(other)]).await;
    let healthy = FakeEndpoint::bind(vec![
        Reply::Write(complete_answer("200 OK", "c1", "one")),
        Reply::Write(complete_answer("200 OK", "c2", "two")),
    ])
    .await;
    let entry = TestEntry::serving(
        route(RouteKind::NonIdempotent, false, 1),
        &[&ended, &healthy],
    );
    assert!(entry.call(&post("c1", "")).await.ends_with("one"));
    assert!(entry.call(&post("c2", "")).await.ends_with("two"));
    assert_eq!(ended.arrivals().len(), 1);
}
