//! Calls with whole answers: passed on unchanged, refused truly, never run twice.

use std::time::Duration;

use amaranth_dispatch::routes::RouteKind;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;

use crate::support::{
    FakeEndpoint, Reply, TestEntry, header, post, read_to_end, read_until, route, status,
    untouched, whole,
};

#[tokio::test]
async fn a_call_and_its_answer_pass_unchanged() {
    let endpoint = FakeEndpoint::bind(vec![Reply::Write(whole("201 Made", "c1", "done"))]).await;
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
        .expect("left");
    assert!(left <= 2_000 && left > 1_000, "{left} ms left");
}

/// What an endpoint may do to a call that reached it, so that nobody knows whether it ran.
#[rstest]
#[case::closed(Reply::WriteAndClose(String::new()))]
#[case::cut_in_the_head(Reply::WriteAndClose("HTTP/1.1 200 OK\r\nProof: p\r\n".to_owned()))]
#[case::cut_in_the_body(Reply::WriteAndClose("HTTP/1.1 200 OK\r\nProof: p\r\nContent-Length: 9\r\n\r\nhal".to_owned()))]
#[case::not_http(Reply::WriteAndClose("what is this\r\n\r\n".to_owned()))]
#[case::of_another_call(Reply::Write(whole("200 OK", "c0", "other")))]
#[case::without_proof(Reply::Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno".to_owned()))]
#[tokio::test]
async fn a_booking_whose_outcome_is_unknown_is_answered_502_and_sent_once(#[case] reply: Reply) {
    let endpoint = FakeEndpoint::bind(vec![reply.clone()]).await;
    let other = FakeEndpoint::bind(vec![Reply::Write(whole("200 OK", "c1", "twice"))]).await;
    let entry = TestEntry::serving(
        route(RouteKind::NonIdempotent, false, 3),
        &[&endpoint, &other],
    );
    let answer = entry.call(&post("c1", "")).await;
    assert_eq!(status(&answer), "502", "{answer}");
    assert_eq!(endpoint.arrivals().len() + other.arrivals().len(), 1);
}

#[tokio::test]
async fn a_booking_that_an_endpoint_did_not_run_goes_to_another() {
    let busy = FakeEndpoint::bind(vec![Reply::Write(untouched())]).await;
    let other = FakeEndpoint::bind(vec![Reply::Write(whole("200 OK", "c1", "once"))]).await;
    let entry = TestEntry::serving(route(RouteKind::NonIdempotent, false, 1), &[&busy, &other]);
    let answer = entry.call(&post("c1", "")).await;
    assert!(answer.ends_with("once"), "{answer}");
    assert_eq!((busy.arrivals().len(), other.arrivals().len()), (1, 1));
}

#[tokio::test]
async fn a_booking_that_no_endpoint_ran_is_refused_with_a_time_to_come_back() {
    let busy = FakeEndpoint::bind(vec![Reply::Write(untouched())]).await;
    let entry = TestEntry::serving(route(RouteKind::NonIdempotent, false, 1), &[&busy]);
    let answer = entry.call(&post("c1", "")).await;
    assert_eq!(status(&answer), "503");
    assert!(header(&answer, "again-ms").is_some(), "{answer}");
}

#[rstest]
#[case::cut(Reply::WriteAndClose("HTTP/1.1 200 OK\r\nProof: p\r\nContent-Length: 9\r\n\r\nhal".to_owned()))]
#[case::failed(Reply::Write(whole("500 Oops", "c1", "oops")))]
#[tokio::test]
async fn a_lookup_that_failed_is_answered_by_another_endpoint(#[case] reply: Reply) {
    let endpoint = FakeEndpoint::bind(vec![reply]).await;
    let other = FakeEndpoint::bind(vec![Reply::Write(whole("200 OK", "c1", "well"))]).await;
    let entry = TestEntry::serving(route(RouteKind::Idempotent, false, 2), &[&endpoint, &other]);
    let answer = entry.call(&post("c1", "")).await;
    assert!(answer.ends_with("well"), "{answer}");
}

#[tokio::test]
async fn an_endpoints_own_failure_passes_with_its_status_and_body() {
    let endpoint = FakeEndpoint::bind(vec![Reply::Write(whole("500 Oops", "c1", "oops"))]).await;
    let entry = TestEntry::serving(route(RouteKind::NonIdempotent, false, 1), &[&endpoint]);
    let answer = entry.call(&post("c1", "")).await;
    assert_eq!(status(&answer), "500");
    assert_eq!(header(&answer, "proof").as_deref(), Some("p"));
    assert!(answer.ends_with("oops"), "{answer}");
}

#[tokio::test]
async fn an_endpoint_that_can_not_be_reached_costs_a_booking_nothing() {
    let gone = FakeEndpoint::bind(vec![Reply::Silence]).await;
    let address = gone.address;
    drop(gone);
    sleep(Duration::from_millis(20)).await;
    let other = FakeEndpoint::bind(vec![Reply::Write(whole("200 OK", "c1", "once"))]).await;
    let entry = TestEntry::serving(route(RouteKind::NonIdempotent, false, 1), &[&other]);
    let away = crate::support::record(7, address, "");
    entry
        .core
        .take_registry(amaranth_relay::feed::FeedEvent::Changes(vec![
            amaranth_dispatch::endpoint_table::RegistryEvent::Announced(Box::new(away)),
        ]));
    for call in 0..4 {
        let answer = entry.call(&post("c1", "")).await;
        assert!(answer.ends_with("once"), "call {call}: {answer}");
    }
}

#[tokio::test]
async fn a_second_answer_on_a_kept_connection_reaches_nobody() {
    let doubled = whole("200 OK", "c1", "first") + &whole("200 OK", "c1", "extra");
    let endpoint = FakeEndpoint::bind(vec![
        Reply::Write(doubled),
        Reply::Write(whole("200 OK", "c2", "second")),
    ])
    .await;
    let entry = TestEntry::serving(route(RouteKind::Idempotent, false, 2), &[&endpoint]);
    assert!(entry.call(&post("c1", "")).await.ends_with("first"));
    let second = entry.call(&post("c2", "")).await;
    assert!(second.ends_with("second"), "{second}");
}

#[tokio::test]
async fn a_late_answer_on_a_kept_connection_reaches_nobody() {
    let endpoint = FakeEndpoint::bind(vec![
        Reply::Pieces(vec![
            (0, whole("200 OK", "c1", "first")),
            (30, whole("200 OK", "c1", "late")),
        ]),
        Reply::Write(whole("200 OK", "c2", "second")),
    ])
    .await;
    let entry = TestEntry::serving(route(RouteKind::NonIdempotent, false, 1), &[&endpoint]);
    assert!(entry.call(&post("c1", "")).await.ends_with("first"));
    sleep(Duration::from_millis(100)).await;
    let second = entry.call(&post("c2", "")).await;
    assert!(second.ends_with("second"), "{second}");
}

#[tokio::test]
async fn an_answer_without_length_ends_with_its_connection() {
    let unframed = "HTTP/1.1 200 OK\r\nCall: c1\r\nProof: p\r\n\r\nall of it".to_owned();
    let endpoint = FakeEndpoint::bind(vec![Reply::WriteAndClose(unframed)]).await;
    let entry = TestEntry::serving(route(RouteKind::NonIdempotent, false, 1), &[&endpoint]);
    let answer = entry.call(&post("c1", "")).await;
    assert!(answer.ends_with("all of it"), "{answer}");
    assert_eq!(header(&answer, "content-length").as_deref(), Some("9"));
}

#[tokio::test]
async fn a_call_hidden_behind_two_framings_does_not_reach_an_endpoint() {
    let endpoint = FakeEndpoint::bind(vec![Reply::Write(whole("200 OK", "c1", "first"))]).await;
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
async fn a_call_with_doubtful_framing_is_refused(#[case] rest: &str) {
    let endpoint = FakeEndpoint::bind(vec![Reply::Write(whole("200 OK", "c1", "no"))]).await;
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
    let endpoint = FakeEndpoint::bind(vec![Reply::Write(whole("200 OK", "c1", "no"))]).await;
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
async fn an_endpoint_stops_when_its_caller_leaves() {
    let endpoint = FakeEndpoint::bind(vec![Reply::Silence]).await;
    let entry = TestEntry::serving(route(RouteKind::Idempotent, false, 1), &[&endpoint]);
    let mut caller = entry.connect().await;
    caller
        .write_all(post("c1", "").as_bytes())
        .await
        .expect("written");
    while endpoint.arrivals().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    drop(caller);
    sleep(Duration::from_millis(300)).await;
    assert_eq!(endpoint.closed(), 1);
}

#[tokio::test]
async fn a_silent_endpoint_is_answered_for_at_the_callers_deadline() {
    let endpoint = FakeEndpoint::bind(vec![Reply::Silence]).await;
    let entry = TestEntry::serving(route(RouteKind::NonIdempotent, false, 1), &[&endpoint]);
    let started = std::time::Instant::now();
    let request = post("c1", "").replace("Left-Ms: 2000", "Left-Ms: 300");
    let answer = entry.call(&request).await;
    assert_eq!(status(&answer), "502", "{answer}");
    assert!(started.elapsed() < Duration::from_millis(800));
    sleep(Duration::from_millis(100)).await;
    assert_eq!(endpoint.closed(), 1, "the endpoint still works on it");
}

#[tokio::test]
async fn a_kept_connection_carries_one_call_after_another() {
    let endpoint = FakeEndpoint::bind(vec![
        Reply::Write(whole("200 OK", "c1", "one")),
        Reply::Write(whole("200 OK", "c2", "two")),
    ])
    .await;
    let entry = TestEntry::serving(route(RouteKind::Idempotent, false, 1), &[&endpoint]);
    let mut caller = entry.connect().await;
    for (id, body) in [("c1", "one"), ("c2", "two")] {
        let request = post(id, "").replace("Connection: close\r\n", "");
        caller.write_all(request.as_bytes()).await.expect("written");
        read_until(&mut caller, body).await;
    }
    drop(caller);
}

#[tokio::test]
async fn a_call_without_an_id_is_refused() {
    let endpoint = FakeEndpoint::bind(vec![Reply::Write(whole("200 OK", "c1", "no"))]).await;
    let entry = TestEntry::serving(route(RouteKind::Idempotent, false, 1), &[&endpoint]);
    let mut caller = entry.connect().await;
    let request = "GET /p/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    caller.write_all(request.as_bytes()).await.expect("written");
    assert_eq!(status(&read_to_end(&mut caller).await), "400");
}

/// The registry still lists an endpoint that has ended, and another one has its address.
#[tokio::test]
async fn an_endpoint_that_has_ended_is_asked_once() {
    let other = "HTTP/1.1 421 Other\r\nBy: e9\r\nContent-Length: 0\r\n\r\n".to_owned();
    let ended = FakeEndpoint::bind(vec![Reply::Write(other)]).await;
    let well = FakeEndpoint::bind(vec![
        Reply::Write(whole("200 OK", "c1", "one")),
        Reply::Write(whole("200 OK", "c2", "two")),
    ])
    .await;
    let entry = TestEntry::serving(route(RouteKind::NonIdempotent, false, 1), &[&ended, &well]);
    assert!(entry.call(&post("c1", "")).await.ends_with("one"));
    assert!(entry.call(&post("c2", "")).await.ends_with("two"));
    assert_eq!(ended.arrivals().len(), 1);
}
