//! Calls of each kind during the stop of an entry.

use std::time::Duration;

use amaranth_dispatch::routes::{RouteKind, RouteRule};
use insta::{allow_duplicates, assert_snapshot};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

use crate::support::{
    FakeEndpoint, LAST_CHUNK, Reply, TestEntry, complete_answer, event, header, post, read_to_end,
    read_until, route, status, stream_head,
};

/// The grace period of the tests, shorter than the timeout of a call.
const GRACE: Duration = Duration::from_millis(1_500);

/// Time in which a call is refused that can't end in time.
const REFUSAL_TIME: Duration = Duration::from_millis(400);

fn kept(id: &str) -> String {
    post(id, "").replace("Connection: close\r\n", "")
}

/// Returns the outcome of an answer as text: its status, whether the connection is closed, and whether a
/// delay is stated.
fn outcome(answer: &str) -> String {
    if answer.is_empty() {
        return "no answer".to_owned();
    }
    let close = header(answer, "connection").unwrap_or_default();
    let delay = header(answer, "again-ms").map_or("", |_| ", retry later");
    format!("{} {close}{delay}", status(answer))
}

async fn wait_for_arrivals(endpoint: &FakeEndpoint, count: usize) {
    while endpoint.arrivals().len() < count {
        sleep(Duration::from_millis(5)).await;
    }
}

async fn send(stream: &mut TcpStream, request: &str) {
    let written = stream.write_all(request.as_bytes()).await;
    written.expect("the request is written");
}

/// Opens a connection that has carried a call.
async fn open_kept(entry: &TestEntry) -> TcpStream {
    let mut stream = entry.connect().await;
    send(&mut stream, &kept("c0")).await;
    read_until(&mut stream, "first").await;
    stream
}

fn first_then(reply: Reply) -> Vec<Reply> {
    let first = Reply::Write(complete_answer("200 OK", "c0", "first"));
    vec![first, reply]
}

fn plain_route(kind: RouteKind) -> RouteRule {
    route(kind, false, 1)
}

/// Guards against calls that are passed on and cut when the process ends.
#[rstest::rstest]
#[case::idempotent(plain_route(RouteKind::Idempotent))]
#[case::non_idempotent(plain_route(RouteKind::NonIdempotent))]
#[case::stream(route(RouteKind::Stream, false, 1))]
#[case::resumable(route(RouteKind::Stream, true, 1))]
#[tokio::test]
async fn a_call_that_may_outlast_the_process_is_refused_at_once(#[case] route: RouteRule) {
    let endpoint = FakeEndpoint::bind(first_then(Reply::Silence)).await;
    let entry = TestEntry::serving(route, &[&endpoint]);
    let mut connection = open_kept(&entry).await;
    entry.core.begin_stop(GRACE);
    let sent_at = Instant::now();
    send(&mut connection, &kept("c1")).await;
    let on_kept = read_to_end(&mut connection).await;
    let on_new = entry.call(&kept("c2")).await;
    assert!(sent_at.elapsed() < REFUSAL_TIME);
    let outcomes = format!("kept: {}; new: {}", outcome(&on_kept), outcome(&on_new));
    allow_duplicates! {
        assert_snapshot!(outcomes, @"kept: 503 close, retry later; new: 503 close, retry later");
    }
    assert_eq!(endpoint.arrivals().len(), 1);
}

/// Guards against refusals of calls that end in time: their timeout lies within the grace period.
#[rstest::rstest]
#[case::idempotent(RouteKind::Idempotent)]
#[case::non_idempotent(RouteKind::NonIdempotent)]
#[case::stream(RouteKind::Stream)]
#[tokio::test]
async fn a_call_that_ends_in_time_is_served_and_its_connection_closed(#[case] kind: RouteKind) {
    let answer = complete_answer("200 OK", "c1", "second");
    let replies = first_then(Reply::Pieces(vec![(300, answer)]));
    let endpoint = FakeEndpoint::bind(replies).await;
    let short = RouteRule {
        timeout: Duration::from_millis(800),
        ..plain_route(kind)
    };
    let entry = TestEntry::serving(short, &[&endpoint]);
    let mut connection = open_kept(&entry).await;
    entry.core.begin_stop(GRACE);
    send(&mut connection, &kept("c1")).await;
    let answer = read_to_end(&mut connection).await;
    allow_duplicates! {
        assert_snapshot!(outcome(&answer), @"200 close");
    }
}

/// Guards against calls that a planned stop cuts although the route's calls are known to be long.
#[tokio::test]
async fn the_recent_calls_of_a_route_decide_whether_its_next_one_ends_in_time() {
    const CALLS: usize = 8;
    let reply = |call: usize, pause| {
        let answer = complete_answer("200 OK", &format!("c{call}"), "done");
        Reply::Pieces(vec![(pause, answer)])
    };
    let mut outcomes = Vec::new();
    for (pause, objective_ms) in [(0, 50), (260, 10)] {
        let replies = (0..=CALLS).map(|call| reply(call, pause)).collect();
        let endpoint = FakeEndpoint::bind(replies).await;
        let route = RouteRule {
            objective: Duration::from_millis(objective_ms),
            ..plain_route(RouteKind::NonIdempotent)
        };
        let entry = TestEntry::serving(route, &[&endpoint]);
        for call in 0..CALLS {
            entry.call(&post(&format!("c{call}"), "")).await;
        }
        entry.core.begin_stop(Duration::from_millis(500));
        let answer = entry.call(&post(&format!("c{CALLS}"), "")).await;
        outcomes.push(outcome(&answer));
    }
    assert_snapshot!(outcomes.join("; "), @"200 close; 503 close, retry later");
}

/// Guards against calls that are cut without an answer: they were sent before the stop and outlast it.
#[tokio::test]
async fn a_call_that_outlasts_the_grace_period_is_answered_without_a_promise() {
    let endpoint = FakeEndpoint::bind(vec![Reply::Silence]).await;
    let entry = TestEntry::serving(plain_route(RouteKind::NonIdempotent), &[&endpoint]);
    let mut connection = entry.connect().await;
    send(&mut connection, &kept("c1")).await;
    wait_for_arrivals(&endpoint, 1).await;
    let stopped_at = Instant::now();
    entry.core.begin_stop(Duration::from_millis(600));
    let answer = read_to_end(&mut connection).await;
    assert!(stopped_at.elapsed() < Duration::from_millis(600));
    assert_snapshot!(outcome(&answer), @"502 close");
}

/// Guards against bodies that are read until the process ends, whose calls are then cut.
#[tokio::test]
async fn a_call_whose_body_is_still_read_is_refused_when_it_can_not_end_in_time() {
    let endpoint = FakeEndpoint::bind(vec![Reply::Silence]).await;
    let entry = TestEntry::serving(plain_route(RouteKind::NonIdempotent), &[&endpoint]);
    let mut connection = entry.connect().await;
    let whole = kept("c1");
    send(&mut connection, &whole[..whole.len() - 2]).await;
    sleep(Duration::from_millis(50)).await;
    let stopped_at = Instant::now();
    entry.core.begin_stop(GRACE);
    let answer = read_to_end(&mut connection).await;
    assert!(stopped_at.elapsed() < REFUSAL_TIME);
    assert_snapshot!(outcome(&answer), @"503 close, retry later");
    assert!(endpoint.arrivals().is_empty());
}

/// Guards against calls that wait for an endpoint until the process ends, or are sent just before.
#[tokio::test]
async fn a_call_that_waits_for_a_place_is_refused_when_it_can_not_end_in_time() {
    let endpoint = FakeEndpoint::bind(vec![Reply::Silence]).await;
    let entry = TestEntry::bind();
    entry.configure_with(1, vec![plain_route(RouteKind::NonIdempotent)], 1 << 16, 1);
    entry.announce(&[&endpoint]);
    let mut first = entry.connect().await;
    send(&mut first, &kept("c1")).await;
    wait_for_arrivals(&endpoint, 1).await;
    let mut waiting = entry.connect().await;
    send(&mut waiting, &kept("c2")).await;
    sleep(Duration::from_millis(50)).await;
    let stopped_at = Instant::now();
    entry.core.begin_stop(GRACE);
    let answer = read_to_end(&mut waiting).await;
    assert!(stopped_at.elapsed() < REFUSAL_TIME);
    assert_snapshot!(outcome(&answer), @"503 close, retry later");
    assert_eq!(endpoint.arrivals().len(), 1);
}

/// Guards against a promise that nothing ran after an earlier send of the call.
#[tokio::test]
async fn a_call_that_may_have_run_is_not_refused_with_a_promise_by_a_stop() {
    let replies = vec![Reply::WriteAndClose(String::new()), Reply::Silence];
    let endpoint = FakeEndpoint::bind(replies).await;
    let repeatable = route(RouteKind::Idempotent, false, 3);
    let entry = TestEntry::serving(repeatable, &[&endpoint]);
    let mut connection = entry.connect().await;
    send(&mut connection, &kept("c1")).await;
    wait_for_arrivals(&endpoint, 2).await;
    entry.core.begin_stop(Duration::from_millis(300));
    let answer = read_to_end(&mut connection).await;
    assert_snapshot!(outcome(&answer), @"502 close");
}

/// Guards against streams that a stop ends although they are complete in time.
#[tokio::test]
async fn a_stream_that_has_begun_is_forwarded_to_its_end_during_a_stop() {
    let pieces = vec![
        (0, stream_head("c1") + &event(1)),
        (300, event(2) + LAST_CHUNK),
    ];
    let endpoint = FakeEndpoint::bind(vec![Reply::Pieces(pieces)]).await;
    let entry = TestEntry::serving(route(RouteKind::Stream, false, 1), &[&endpoint]);
    let mut connection = entry.connect().await;
    send(&mut connection, &kept("c1")).await;
    read_until(&mut connection, "t1").await;
    entry.core.begin_stop(GRACE);
    entry.server.disable_keep_alive();
    let rest = read_to_end(&mut connection).await;
    assert!(rest.contains("t2") && rest.ends_with(LAST_CHUNK), "{rest}");
}

/// Guards against a stream that is sent again and again, and never goes on, when it breaks during a stop.
#[tokio::test]
async fn a_stream_that_breaks_during_a_stop_goes_on_at_another_engine() {
    let broken = vec![
        (0, stream_head("c1") + &event(1)),
        (200, "zz\r\n".to_owned()),
    ];
    let rest = stream_head("c1") + &event(2) + LAST_CHUNK;
    let replies = vec![Reply::Pieces(broken), Reply::Write(rest)];
    let endpoint = FakeEndpoint::bind(replies).await;
    let entry = TestEntry::serving(route(RouteKind::Stream, true, 3), &[&endpoint]);
    let mut connection = entry.connect().await;
    send(&mut connection, &kept("c1")).await;
    read_until(&mut connection, "t1").await;
    entry.core.begin_stop(GRACE);
    entry.server.disable_keep_alive();
    let rest = read_to_end(&mut connection).await;
    assert!(rest.contains("t2"), "{rest}");
    assert_eq!(endpoint.arrivals().len(), 2);
}
