//! Streams: forwarding of events as they arrive, and resumption at another engine.

use std::time::{Duration, Instant};

use amaranth_core::ids::EndpointId;
use amaranth_dispatch::endpoint_table::RegistryEvent;
use amaranth_dispatch::engine_view::EngineView;
use amaranth_dispatch::routes::RouteKind;
use amaranth_relay::feed::FeedEvent;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::support::{
    FakeEndpoint, LAST_CHUNK, Reply, TestEntry, chunk, event, header, not_run, post, post_for,
    read_to_end, read_until, record, route, status, stream_head,
};

fn complete_stream(call: &str, ids: std::ops::RangeInclusive<u64>) -> Reply {
    let events: String = ids.map(event).collect();
    Reply::Write(stream_head(call) + &events + LAST_CHUNK)
}

/// Starts an entry with a silent engine in its own data centre and a remote engine that serves call
/// `c1`.
async fn silent_and_serving_engines(resumable: bool) -> (FakeEndpoint, FakeEndpoint, TestEntry) {
    let silent = FakeEndpoint::bind(vec![Reply::Silence]).await;
    let healthy = FakeEndpoint::bind(vec![complete_stream("c1", 1..=3)]).await;
    let rule = route(RouteKind::Stream, resumable, 2);
    let entry = TestEntry::serving(rule, &[&silent, &healthy]);
    (silent, healthy, entry)
}

/// Makes a call and returns the answer and the time that it took.
async fn timed_call(entry: &TestEntry, request: &str) -> (String, Duration) {
    let started = Instant::now();
    let answer = entry.call(request).await;
    (answer, started.elapsed())
}

/// Removes the first endpoint from the registry after a delay.
async fn unlist_first(entry: &TestEntry, after: Duration) {
    sleep(after).await;
    let id: EndpointId = "e0".parse().expect("the name is valid");
    let removed = RegistryEvent::Removed(id.clone());
    entry.core.apply_registry(FeedEvent::Changes(vec![removed]));
    assert!(
        entry.core.state().endpoints.get(&id).is_none(),
        "the endpoint was removed"
    );
}

/// Returns the ids of the events of an answer, in order.
fn event_ids(answer: &str) -> Vec<u64> {
    answer
        .lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .filter_map(|id| id.parse().ok())
        .collect()
}

#[tokio::test]
async fn events_are_forwarded_as_they_arrive() {
    let endpoint = FakeEndpoint::bind(vec![Reply::Pieces(vec![
        (0, stream_head("c1") + &event(1)),
        (600, event(2) + LAST_CHUNK),
    ])])
    .await;
    let entry = TestEntry::serving(route(RouteKind::Stream, false, 1), &[&endpoint]);
    let mut caller = entry.connect().await;
    let started = Instant::now();
    caller
        .write_all(post("c1", "").as_bytes())
        .await
        .expect("the request is written");
    let first = read_until(&mut caller, "data: t1").await;
    assert!(started.elapsed() < Duration::from_millis(400));
    assert_eq!(header(&first, "proof").as_deref(), Some("p"));
    let rest = read_to_end(&mut caller).await;
    assert!(
        rest.contains("data: t2") && rest.ends_with(LAST_CHUNK),
        "{rest}"
    );
}

#[tokio::test]
async fn a_stream_that_breaks_within_an_event_resumes_at_another_engine() {
    let broken = stream_head("c1") + &event(1) + &event(2) + &chunk("id: 3\ndat");
    let first = FakeEndpoint::bind(vec![Reply::WriteAndClose(broken)]).await;
    let second = FakeEndpoint::bind(vec![complete_stream("c1", 3..=5)]).await;
    let entry = TestEntry::serving(route(RouteKind::Stream, true, 2), &[&first, &second]);
    let answer = entry.call(&post("c1", "")).await;
    assert_eq!(event_ids(&answer), [1, 2, 3, 4, 5]);
    assert!(answer.ends_with(LAST_CHUNK), "{answer}");
    assert_eq!(
        header(&second.arrivals()[0], "after-event").as_deref(),
        Some("2")
    );
}

#[tokio::test]
async fn a_stream_resumes_although_the_next_engine_is_busy() {
    let broken = stream_head("c1") + &event(1);
    let first = FakeEndpoint::bind(vec![Reply::WriteAndClose(broken)]).await;
    let busy = FakeEndpoint::bind(vec![Reply::Write(not_run("c1"))]).await;
    let third = FakeEndpoint::bind(vec![complete_stream("c1", 2..=3)]).await;
    let entry = TestEntry::serving(route(RouteKind::Stream, true, 2), &[&first, &busy, &third]);
    let answer = entry.call(&post("c1", "")).await;
    assert_eq!(event_ids(&answer), [1, 2, 3], "{answer}");
}

/// The head of a stream that ends with its connection.
const UNDELIMITED_HEAD: &str =
    "HTTP/1.1 200 OK\r\nCall: c1\r\nProof: p\r\nContent-Type: text/event-stream\r\n\r\n";

#[tokio::test]
async fn a_stream_that_ends_with_its_connection_is_forwarded_whole() {
    let stream = format!("{UNDELIMITED_HEAD}id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n");
    let engine = FakeEndpoint::bind(vec![Reply::WriteAndClose(stream)]).await;
    let entry = TestEntry::serving(route(RouteKind::Stream, false, 1), &[&engine]);
    let answer = entry.call(&post("c1", "")).await;
    assert_eq!(event_ids(&answer), [1, 2]);
    assert!(answer.ends_with(LAST_CHUNK), "{answer}");
}

#[tokio::test]
async fn a_stream_that_ends_with_its_connection_within_an_event_does_not_look_complete() {
    let stream = format!("{UNDELIMITED_HEAD}id: 1\ndata: t1\n\nid: 2\ndat");
    let engine = FakeEndpoint::bind(vec![Reply::WriteAndClose(stream)]).await;
    let entry = TestEntry::serving(route(RouteKind::Stream, false, 1), &[&engine]);
    let answer = entry.call(&post("c1", "")).await;
    assert_eq!(event_ids(&answer), [1]);
    assert!(!answer.ends_with(LAST_CHUNK), "{answer}");
}

#[tokio::test]
async fn a_stream_that_ends_with_its_connection_before_an_event_does_not_look_complete() {
    let engine = FakeEndpoint::bind(vec![Reply::WriteAndClose(UNDELIMITED_HEAD.to_owned())]).await;
    let entry = TestEntry::serving(route(RouteKind::Stream, false, 1), &[&engine]);
    let answer = entry.call(&post("c1", "")).await;
    assert_eq!(status(&answer), "502", "{answer}");
}

#[tokio::test]
async fn a_broken_non_resumable_stream_does_not_look_complete() {
    let broken = stream_head("c1") + &event(1) + &event(2);
    let first = FakeEndpoint::bind(vec![Reply::WriteAndClose(broken)]).await;
    let second = FakeEndpoint::bind(vec![complete_stream("c1", 3..=5)]).await;
    let entry = TestEntry::serving(route(RouteKind::Stream, false, 2), &[&first, &second]);
    let answer = entry.call(&post("c1", "")).await;
    assert_eq!(event_ids(&answer), [1, 2]);
    assert!(!answer.ends_with(LAST_CHUNK), "{answer}");
    assert!(second.arrivals().is_empty());
}

#[tokio::test]
async fn a_resumable_stream_that_breaks_before_its_first_event_is_retried() {
    let first = FakeEndpoint::bind(vec![Reply::WriteAndClose(stream_head("c1"))]).await;
    let second = FakeEndpoint::bind(vec![complete_stream("c1", 1..=2)]).await;
    let entry = TestEntry::serving(route(RouteKind::Stream, true, 2), &[&first, &second]);
    let answer = entry.call(&post("c1", "")).await;
    assert_eq!(event_ids(&answer), [1, 2]);
}

#[tokio::test]
async fn a_non_resumable_stream_that_breaks_before_its_first_event_is_answered_502() {
    let first = FakeEndpoint::bind(vec![Reply::WriteAndClose(stream_head("c1"))]).await;
    let second = FakeEndpoint::bind(vec![complete_stream("c1", 1..=2)]).await;
    let entry = TestEntry::serving(route(RouteKind::Stream, false, 2), &[&first, &second]);
    let answer = entry.call(&post("c1", "")).await;
    assert_eq!(status(&answer), "502", "{answer}");
    assert!(second.arrivals().is_empty());
}

#[tokio::test]
async fn a_caller_can_resume_a_stream() {
    let endpoint = FakeEndpoint::bind(vec![complete_stream("c1", 5..=6)]).await;
    let entry = TestEntry::serving(route(RouteKind::Stream, true, 2), &[&endpoint]);
    let _tasks = entry.remember_listed_versions();
    let answer = entry.call(&post("c1", "After-Event: 4\r\n")).await;
    assert_eq!(event_ids(&answer), [5, 6]);
    assert_eq!(
        header(&endpoint.arrivals()[0], "after-event").as_deref(),
        Some("4")
    );
}

#[tokio::test]
async fn a_stream_is_cancelled_at_its_engine_when_the_caller_disconnects() {
    let endpoint = FakeEndpoint::bind(vec![
        Reply::Write(stream_head("c1") + &event(1)),
        Reply::Silence,
    ])
    .await;
    let entry = TestEntry::serving(route(RouteKind::Stream, true, 2), &[&endpoint]);
    let mut caller = entry.connect().await;
    caller
        .write_all(post("c1", "").as_bytes())
        .await
        .expect("the request is written");
    read_until(&mut caller, "data: t1").await;
    drop(caller);
    sleep(Duration::from_millis(300)).await;
    assert_eq!(endpoint.closed(), 1);
    assert_eq!(endpoint.arrivals().len(), 1);
}

/// An engine on a frozen VM accepts calls and sends nothing. Without a retry, callers would wait
/// there until their deadline.
#[tokio::test]
async fn a_generation_at_a_silent_engine_is_retried_at_another() {
    let (silent, _healthy, entry) = silent_and_serving_engines(true).await;
    let (answer, took) = timed_call(&entry, &post("c1", "Wants: m\r\n")).await;
    assert_eq!(event_ids(&answer), [1, 2, 3], "{answer}");
    assert!(took < Duration::from_millis(1_800));
    assert_eq!((silent.arrivals().len(), silent.closed()), (1, 1));
}

/// When many engines freeze at once, the retry budget may be spent at the time of the call.
#[tokio::test]
async fn a_generation_without_a_retry_left_is_retried_once_there_is_one() {
    let (_silent, _healthy, entry) = silent_and_serving_engines(true).await;
    let service = "s".parse().expect("the name is valid");
    let now = entry.core.now();
    while entry
        .core
        .state()
        .retries
        .allowance(now, &service)
        .acquire()
    {}
    let request = post("c1", "Wants: m\r\n");
    let refill = async {
        sleep(Duration::from_millis(1_200)).await;
        let now = entry.core.now();
        for _ in 0..8 {
            entry.core.state().retries.record_call(now, &service);
        }
    };
    let (answer, ()) = tokio::join!(entry.call(&request), refill);
    assert_eq!(event_ids(&answer), [1, 2, 3], "{answer}");
}

#[tokio::test]
async fn a_non_resumable_generation_is_not_retried_when_its_engine_is_silent() {
    let (_silent, healthy, entry) = silent_and_serving_engines(false).await;
    let answer = entry.call(&post("c1", "Wants: m\r\n")).await;
    assert_eq!(status(&answer), "504", "{answer}");
    assert!(healthy.arrivals().is_empty());
}

/// Engines may freeze for longer than callers wait. Callers get an answer before their deadline, so
/// that no engine resumes work for a caller that has disconnected.
#[tokio::test]
async fn a_call_at_a_silent_engine_ends_before_the_callers_deadline() {
    let silent = FakeEndpoint::bind(vec![Reply::Silence]).await;
    let entry = TestEntry::serving(route(RouteKind::Stream, false, 2), &[&silent]);
    let (answer, took) = timed_call(&entry, &post("c1", "Wants: m\r\n")).await;
    assert_eq!(status(&answer), "504", "{answer}");
    assert!(
        took < Duration::from_millis(1_950),
        "the deadline of the caller is 2 s"
    );
    assert!(
        took > Duration::from_millis(1_500),
        "the engine may still answer"
    );
}

/// After a failure, the remaining engines may be too busy to send a first event in time, although
/// their agents report that they are healthy.
#[tokio::test]
async fn a_call_without_a_first_event_ends_before_the_callers_deadline() {
    let busy = FakeEndpoint::bind(vec![Reply::Silence]).await;
    let entry = TestEntry::serving(route(RouteKind::Stream, true, 2), &[&busy]);
    let id = "e0".parse().expect("the name is valid");
    let reporting = async {
        for _ in 0..12 {
            let mut view = EngineView::default();
            view.contents.cache_total = 1_000;
            view.contents.models = vec!["m".parse().expect("the name is valid")];
            let now = entry.core.now();
            entry.core.state().endpoints.record_view(now, &id, view);
            sleep(Duration::from_millis(200)).await;
        }
    };
    let request = post("c1", "Wants: m\r\n");
    let ((answer, took), ()) = tokio::join!(timed_call(&entry, &request), reporting);
    assert_eq!(status(&answer), "504", "{answer}");
    assert!(
        took < Duration::from_millis(1_950),
        "the deadline of the caller is 2 s"
    );
    assert!(
        took > Duration::from_millis(1_500),
        "the engine is busy and may still answer"
    );
}

#[tokio::test]
async fn a_stream_of_a_silent_engine_ends_before_the_callers_gap_limit() {
    let first = stream_head("c1") + &event(1);
    let silent =
        FakeEndpoint::bind(vec![Reply::Pieces(vec![(0, first), (60_000, event(2))])]).await;
    let mut rule = route(RouteKind::Stream, false, 2);
    rule.objective = Duration::from_millis(400);
    let entry = TestEntry::serving(rule, &[&silent]);
    let (answer, took) = timed_call(&entry, &post_for("c1", 4_000, "Wants: m\r\n")).await;
    assert_eq!(event_ids(&answer), [1], "{answer}");
    assert!(
        !answer.ends_with(LAST_CHUNK),
        "a broken stream must not look complete"
    );
    assert!(
        took < Duration::from_millis(2_000),
        "callers disconnect after a gap of 2 s"
    );
    assert!(
        took > Duration::from_millis(1_500),
        "the engine may still answer"
    );
}

/// A silent engine may be removed from the registry while calls wait for it.
#[tokio::test]
async fn a_generation_at_an_unlisted_silent_engine_is_retried_at_another() {
    let silent = FakeEndpoint::bind(vec![Reply::Silence]).await;
    let healthy = FakeEndpoint::bind(vec![complete_stream("c1", 1..=3)]).await;
    let other = FakeEndpoint::bind(vec![complete_stream("c1", 1..=3)]).await;
    let endpoints = [&silent, &healthy, &other];
    let entry = TestEntry::serving(route(RouteKind::Stream, true, 2), &endpoints);
    let request = post_for("c1", 3_000, "Wants: m\r\n");
    let unlist = unlist_first(&entry, Duration::from_millis(300));
    let (answer, ()) = tokio::join!(entry.call(&request), unlist);
    assert_eq!(event_ids(&answer), [1, 2, 3], "{answer}");
}

/// Several VMs may freeze together. A call that is retried must not go to the second of them, whose
/// silence no call of this entry has detected yet.
#[tokio::test]
async fn a_generation_is_not_retried_at_an_engine_on_a_silent_vm() {
    let silent_agent = TcpListener::bind("127.0.0.2:0")
        .await
        .expect("loopback has a free port");
    let port = silent_agent
        .local_addr()
        .expect("the listener has an address")
        .port();
    let silent = FakeEndpoint::bind(vec![Reply::Silence]).await;
    let other_silent = FakeEndpoint::bind_at("127.0.0.2", vec![Reply::Silence]).await;
    let healthy = FakeEndpoint::bind(vec![complete_stream("c1", 1..=3)]).await;
    let entry = TestEntry::bind_with_agent_port(port);
    entry.configure(1, vec![route(RouteKind::Stream, true, 2)]);
    let mut busy = record(2, healthy.address, "far");
    busy.contents.pending_prefills = 8;
    let records = [
        record(0, silent.address, ""),
        record(1, other_silent.address, "far"),
        busy,
    ];
    let announced = records.map(|record| RegistryEvent::Announced(Box::new(record)));
    entry
        .core
        .apply_registry(FeedEvent::Snapshot(announced.to_vec()));
    let answer = entry.call(&post_for("c1", 3_000, "Wants: m\r\n")).await;
    assert_eq!(event_ids(&answer), [1, 2, 3], "{answer}");
    assert_eq!(silent.arrivals().len(), 1);
    assert!(other_silent.arrivals().is_empty());
}

/// After the failure of all VMs, engines load their model again.
#[tokio::test]
async fn a_generation_waits_for_its_model_after_all_engines_failed() {
    let engine = FakeEndpoint::bind(vec![complete_stream("c1", 1..=3)]).await;
    let entry = TestEntry::bind();
    entry.configure(1, vec![route(RouteKind::Stream, true, 2)]);
    let mut empty = record(0, engine.address, "");
    empty.contents.models.clear();
    let announced = RegistryEvent::Announced(Box::new(empty));
    entry
        .core
        .apply_registry(FeedEvent::Snapshot(vec![announced]));
    let id = "e0".parse().expect("the name is valid");
    let report = |models: &[&str]| {
        let mut view = EngineView::default();
        view.contents.models = models
            .iter()
            .map(|model| model.parse().expect("the name is valid"))
            .collect();
        let now = entry.core.now();
        entry.core.state().endpoints.record_view(now, &id, view);
    };
    report(&[]);
    let loading = async {
        sleep(Duration::from_millis(1_000)).await;
        report(&["m"]);
    };
    let request = post_for("c1", 3_000, "Wants: m\r\n");
    let (answer, ()) = tokio::join!(entry.call(&request), loading);
    assert_eq!(event_ids(&answer), [1, 2, 3], "{answer}");
}

/// An engine that was removed from the registry continues its streams until the deadline of the
/// call.
#[tokio::test]
async fn a_stream_of_an_unlisted_engine_is_forwarded_to_its_end() {
    let pieces = vec![
        (600, stream_head("c1") + &event(1)),
        (600, event(2)),
        (680, event(3) + LAST_CHUNK),
    ];
    let unlisted = FakeEndpoint::bind(vec![Reply::Pieces(pieces)]).await;
    let (one, other) = (
        FakeEndpoint::bind(Vec::new()).await,
        FakeEndpoint::bind(Vec::new()).await,
    );
    let endpoints = [&unlisted, &one, &other];
    let entry = TestEntry::serving(route(RouteKind::Stream, false, 2), &endpoints);
    let request = post("c1", "Wants: m\r\n");
    let unlist = unlist_first(&entry, Duration::from_millis(200));
    let (answer, ()) = tokio::join!(entry.call(&request), unlist);
    assert_eq!(event_ids(&answer), [1, 2, 3], "{answer}");
    assert!(answer.ends_with(LAST_CHUNK), "{answer}");
}

#[tokio::test]
async fn later_generations_avoid_a_silent_engine() {
    let silent = FakeEndpoint::bind(vec![Reply::Silence]).await;
    let healthy = FakeEndpoint::bind(vec![
        complete_stream("c1", 1..=1),
        complete_stream("c2", 1..=1),
        complete_stream("c3", 1..=1),
    ])
    .await;
    let entry = TestEntry::serving(route(RouteKind::Stream, true, 2), &[&silent, &healthy]);
    for id in ["c1", "c2", "c3"] {
        let answer = entry.call(&post(id, "Wants: m\r\n")).await;
        assert_eq!(event_ids(&answer), [1], "{id}: {answer}");
    }
    assert_eq!(silent.arrivals().len(), 1);
}

#[tokio::test]
async fn a_stream_whose_caller_stops_reading_ends_at_its_engine_soon_after_the_deadline() {
    let data = "x".repeat(64 << 10);
    let events = (1..=512).map(|id| (0, chunk(&format!("id: {id}\ndata: {data}\n\n"))));
    let pieces = [(0, stream_head("c1"))].into_iter().chain(events);
    let engine = FakeEndpoint::bind(vec![Reply::Pieces(pieces.collect())]).await;
    let entry = TestEntry::serving(route(RouteKind::Stream, true, 2), &[&engine]);
    let mut caller = entry.connect().await;
    caller
        .write_all(post_for("c1", 600, "").as_bytes())
        .await
        .expect("the request is written");
    read_until(&mut caller, "id: 1").await;
    assert_eq!(engine.closed(), 0);
    sleep(Duration::from_millis(1_200)).await;
    assert_eq!(engine.closed(), 1, "the engine goes on with the stream");
    assert_eq!(engine.arrivals().len(), 1);
}
