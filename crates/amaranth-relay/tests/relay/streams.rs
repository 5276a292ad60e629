//! Streams: passed on as they arrive, and resumed elsewhere where the route allows.

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
    FakeEndpoint, LAST_CHUNK, Reply, TestEntry, chunk, event, header, post, post_for, read_to_end,
    read_until, record, route, status, stream_head, untouched,
};

fn whole_stream(call: &str, ids: std::ops::RangeInclusive<u64>) -> Reply {
    let events: String = ids.map(event).collect();
    Reply::Write(stream_head(call) + &events + LAST_CHUNK)
}

/// Starts an entry whose near engine says nothing and whose far one serves call `c1`.
async fn frozen_and_well(resumable: bool) -> (FakeEndpoint, FakeEndpoint, TestEntry) {
    let frozen = FakeEndpoint::bind(vec![Reply::Silence]).await;
    let well = FakeEndpoint::bind(vec![whole_stream("c1", 1..=3)]).await;
    let rule = route(RouteKind::Stream, resumable, 2);
    let entry = TestEntry::serving(rule, &[&frozen, &well]);
    (frozen, well, entry)
}

/// Makes a call and returns the answer and the time that it took.
async fn timed_call(entry: &TestEntry, request: &str) -> (String, Duration) {
    let started = Instant::now();
    let answer = entry.call(request).await;
    (answer, started.elapsed())
}

/// Takes the first endpoint off the registry after a while.
async fn unlist_first(entry: &TestEntry, after: Duration) {
    sleep(after).await;
    let id: EndpointId = "e0".parse().expect("a name");
    let removed = RegistryEvent::Removed(id.clone());
    entry.core.take_registry(FeedEvent::Changes(vec![removed]));
    assert!(entry.core.state().book.get(&id).is_none(), "it is unlisted");
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
async fn events_pass_as_they_arrive() {
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
        .expect("written");
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
async fn a_stream_that_breaks_within_an_event_goes_on_at_another_engine() {
    let broken = stream_head("c1") + &event(1) + &event(2) + &chunk("id: 3\ndat");
    let first = FakeEndpoint::bind(vec![Reply::WriteAndClose(broken)]).await;
    let second = FakeEndpoint::bind(vec![whole_stream("c1", 3..=5)]).await;
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
async fn a_stream_goes_on_although_the_next_engine_is_busy() {
    let broken = stream_head("c1") + &event(1);
    let first = FakeEndpoint::bind(vec![Reply::WriteAndClose(broken)]).await;
    let busy = FakeEndpoint::bind(vec![Reply::Write(untouched())]).await;
    let third = FakeEndpoint::bind(vec![whole_stream("c1", 2..=3)]).await;
    let entry = TestEntry::serving(route(RouteKind::Stream, true, 2), &[&first, &busy, &third]);
    let answer = entry.call(&post("c1", "")).await;
    assert_eq!(event_ids(&answer), [1, 2, 3], "{answer}");
}

#[tokio::test]
async fn a_broken_stream_that_may_not_be_resumed_does_not_look_complete() {
    let broken = stream_head("c1") + &event(1) + &event(2);
    let first = FakeEndpoint::bind(vec![Reply::WriteAndClose(broken)]).await;
    let second = FakeEndpoint::bind(vec![whole_stream("c1", 3..=5)]).await;
    let entry = TestEntry::serving(route(RouteKind::Stream, false, 2), &[&first, &second]);
    let answer = entry.call(&post("c1", "")).await;
    assert_eq!(event_ids(&answer), [1, 2]);
    assert!(!answer.ends_with(LAST_CHUNK), "{answer}");
    assert!(second.arrivals().is_empty());
}

#[tokio::test]
async fn a_stream_that_breaks_before_its_first_event_starts_again_where_it_may() {
    let first = FakeEndpoint::bind(vec![Reply::WriteAndClose(stream_head("c1"))]).await;
    let second = FakeEndpoint::bind(vec![whole_stream("c1", 1..=2)]).await;
    let entry = TestEntry::serving(route(RouteKind::Stream, true, 2), &[&first, &second]);
    let answer = entry.call(&post("c1", "")).await;
    assert_eq!(event_ids(&answer), [1, 2]);
}

#[tokio::test]
async fn a_stream_that_may_not_be_resumed_and_broke_at_once_is_answered_502() {
    let first = FakeEndpoint::bind(vec![Reply::WriteAndClose(stream_head("c1"))]).await;
    let second = FakeEndpoint::bind(vec![whole_stream("c1", 1..=2)]).await;
    let entry = TestEntry::serving(route(RouteKind::Stream, false, 2), &[&first, &second]);
    let answer = entry.call(&post("c1", "")).await;
    assert_eq!(status(&answer), "502", "{answer}");
    assert!(second.arrivals().is_empty());
}

#[tokio::test]
async fn a_caller_may_resume_a_stream_itself() {
    let endpoint = FakeEndpoint::bind(vec![whole_stream("c1", 5..=6)]).await;
    let entry = TestEntry::serving(route(RouteKind::Stream, true, 2), &[&endpoint]);
    let answer = entry.call(&post("c1", "After-Event: 4\r\n")).await;
    assert_eq!(event_ids(&answer), [5, 6]);
    assert_eq!(
        header(&endpoint.arrivals()[0], "after-event").as_deref(),
        Some("4")
    );
}

#[tokio::test]
async fn an_engine_stops_when_the_caller_of_its_stream_leaves() {
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
        .expect("written");
    read_until(&mut caller, "data: t1").await;
    drop(caller);
    sleep(Duration::from_millis(300)).await;
    assert_eq!(endpoint.closed(), 1);
    assert_eq!(endpoint.arrivals().len(), 1);
}

/// An engine whose VM is frozen takes calls and says nothing. Callers would wait there until they
/// leave.
#[tokio::test]
async fn a_generation_leaves_an_engine_that_says_nothing() {
    let (frozen, _well, entry) = frozen_and_well(true).await;
    let (answer, took) = timed_call(&entry, &post("c1", "Wants: m\r\n")).await;
    assert_eq!(event_ids(&answer), [1, 2, 3], "{answer}");
    assert!(took < Duration::from_millis(1_800));
    assert_eq!((frozen.arrivals().len(), frozen.closed()), (1, 1));
}

/// The load: many engines freeze at once and the retries are spent when the call is sent.
#[tokio::test]
async fn a_generation_that_found_no_retry_left_moves_once_there_is_one() {
    let (_frozen, _well, entry) = frozen_and_well(true).await;
    let service = "s".parse().expect("a name");
    let now = entry.core.now();
    while entry
        .core
        .state()
        .retries
        .allowance(now, &service)
        .acquire()
    {}
    let request = post("c1", "Wants: m\r\n");
    let earn = async {
        sleep(Duration::from_millis(1_200)).await;
        let now = entry.core.now();
        for _ in 0..8 {
            entry.core.state().retries.record_call(now, &service);
        }
    };
    let (answer, ()) = tokio::join!(entry.call(&request), earn);
    assert_eq!(event_ids(&answer), [1, 2, 3], "{answer}");
}

#[tokio::test]
async fn a_generation_that_may_not_be_repeated_stays_with_a_silent_engine() {
    let (_frozen, well, entry) = frozen_and_well(false).await;
    let answer = entry.call(&post("c1", "Wants: m\r\n")).await;
    assert_eq!(status(&answer), "504", "{answer}");
    assert!(well.arrivals().is_empty());
}

/// The load: engines freeze for longer than callers wait. The callers get an answer before they
/// leave, so that no engine wakes up to work whose caller has gone.
#[tokio::test]
async fn a_call_at_a_silent_engine_ends_before_its_caller_leaves() {
    let frozen = FakeEndpoint::bind(vec![Reply::Silence]).await;
    let entry = TestEntry::serving(route(RouteKind::Stream, false, 2), &[&frozen]);
    let (answer, took) = timed_call(&entry, &post("c1", "Wants: m\r\n")).await;
    assert_eq!(status(&answer), "504", "{answer}");
    assert!(
        took < Duration::from_millis(1_950),
        "the caller waits for 2 s"
    );
    assert!(
        took > Duration::from_millis(1_500),
        "the engine may still answer"
    );
}

/// The load: engines that are left after a loss are so busy that a first event does not come in
/// time. Its agent says that the engine is well.
#[tokio::test]
async fn a_call_without_an_event_ends_before_its_caller_leaves() {
    let busy = FakeEndpoint::bind(vec![Reply::Silence]).await;
    let entry = TestEntry::serving(route(RouteKind::Stream, true, 2), &[&busy]);
    let id = "e0".parse().expect("a name");
    let telling = async {
        for _ in 0..12 {
            let mut view = EngineView::default();
            view.contents.cache_total = 1_000;
            view.contents.models = vec!["m".parse().expect("a name")];
            let now = entry.core.now();
            entry.core.state().book.record_view(now, &id, view);
            sleep(Duration::from_millis(200)).await;
        }
    };
    let request = post("c1", "Wants: m\r\n");
    let ((answer, took), ()) = tokio::join!(timed_call(&entry, &request), telling);
    assert_eq!(status(&answer), "504", "{answer}");
    assert!(
        took < Duration::from_millis(1_950),
        "the caller waits for 2 s"
    );
    assert!(took > Duration::from_millis(1_500), "the engine works");
}

#[tokio::test]
async fn a_stream_of_a_silent_engine_ends_before_its_caller_leaves() {
    let first = stream_head("c1") + &event(1);
    let frozen =
        FakeEndpoint::bind(vec![Reply::Pieces(vec![(0, first), (60_000, event(2))])]).await;
    let mut rule = route(RouteKind::Stream, false, 2);
    rule.objective = Duration::from_millis(400);
    let entry = TestEntry::serving(rule, &[&frozen]);
    let (answer, took) = timed_call(&entry, &post_for("c1", 4_000, "Wants: m\r\n")).await;
    assert_eq!(event_ids(&answer), [1], "{answer}");
    assert!(!answer.ends_with(LAST_CHUNK), "it must not look complete");
    assert!(
        took < Duration::from_millis(2_000),
        "callers leave after a gap of 2 s"
    );
    assert!(
        took > Duration::from_millis(1_500),
        "the engine may still answer"
    );
}

/// The registry forgets an engine that says nothing, while calls wait there.
#[tokio::test]
async fn a_generation_leaves_a_silent_engine_that_is_no_longer_listed() {
    let frozen = FakeEndpoint::bind(vec![Reply::Silence]).await;
    let well = FakeEndpoint::bind(vec![whole_stream("c1", 1..=3)]).await;
    let other = FakeEndpoint::bind(vec![whole_stream("c1", 1..=3)]).await;
    let endpoints = [&frozen, &well, &other];
    let entry = TestEntry::serving(route(RouteKind::Stream, true, 2), &endpoints);
    let request = post_for("c1", 3_000, "Wants: m\r\n");
    let forget = unlist_first(&entry, Duration::from_millis(300));
    let (answer, ()) = tokio::join!(entry.call(&request), forget);
    assert_eq!(event_ids(&answer), [1, 2, 3], "{answer}");
}

/// The load: several VMs freeze together. A call that left the first must not go to the second,
/// where no call of this entry showed the silence yet.
#[tokio::test]
async fn a_generation_does_not_leave_for_an_engine_on_a_vm_that_says_nothing() {
    let silent_agent = TcpListener::bind("127.0.0.2:0").await.expect("a free port");
    let port = silent_agent.local_addr().expect("an address").port();
    let frozen = FakeEndpoint::bind(vec![Reply::Silence]).await;
    let frozen_too = FakeEndpoint::bind_at("127.0.0.2", vec![Reply::Silence]).await;
    let well = FakeEndpoint::bind(vec![whole_stream("c1", 1..=3)]).await;
    let entry = TestEntry::bind_beside(port);
    entry.configure(1, vec![route(RouteKind::Stream, true, 2)]);
    let mut busy = record(2, well.address, "far");
    busy.contents.pending_prefills = 8;
    let records = [
        record(0, frozen.address, ""),
        record(1, frozen_too.address, "far"),
        busy,
    ];
    let announced = records.map(|record| RegistryEvent::Announced(Box::new(record)));
    entry
        .core
        .take_registry(FeedEvent::Whole(announced.to_vec()));
    let answer = entry.call(&post_for("c1", 3_000, "Wants: m\r\n")).await;
    assert_eq!(event_ids(&answer), [1, 2, 3], "{answer}");
    assert_eq!(frozen.arrivals().len(), 1);
    assert!(frozen_too.arrivals().is_empty());
}

/// The load: all VMs were lost, and engines load their model again.
#[tokio::test]
async fn a_generation_waits_for_the_model_after_a_loss_of_all_engines() {
    let engine = FakeEndpoint::bind(vec![whole_stream("c1", 1..=3)]).await;
    let entry = TestEntry::bind();
    entry.configure(1, vec![route(RouteKind::Stream, true, 2)]);
    let mut empty = record(0, engine.address, "");
    empty.contents.models.clear();
    let announced = RegistryEvent::Announced(Box::new(empty));
    entry.core.take_registry(FeedEvent::Whole(vec![announced]));
    let id = "e0".parse().expect("a name");
    let tell = |models: &[&str]| {
        let mut view = EngineView::default();
        view.contents.models = models
            .iter()
            .map(|model| model.parse().expect("a name"))
            .collect();
        let now = entry.core.now();
        entry.core.state().book.record_view(now, &id, view);
    };
    tell(&[]);
    let loading = async {
        sleep(Duration::from_millis(1_000)).await;
        tell(&["m"]);
    };
    let request = post_for("c1", 3_000, "Wants: m\r\n");
    let (answer, ()) = tokio::join!(entry.call(&request), loading);
    assert_eq!(event_ids(&answer), [1, 2, 3], "{answer}");
}

/// An engine that left the registry goes on with its streams, up to the end of the call's time.
#[tokio::test]
async fn a_stream_of_an_engine_that_is_no_longer_listed_is_passed_on_to_its_end() {
    let pieces = vec![
        (600, stream_head("c1") + &event(1)),
        (600, event(2)),
        (680, event(3) + LAST_CHUNK),
    ];
    let leaving = FakeEndpoint::bind(vec![Reply::Pieces(pieces)]).await;
    let (one, other) = (
        FakeEndpoint::bind(Vec::new()).await,
        FakeEndpoint::bind(Vec::new()).await,
    );
    let endpoints = [&leaving, &one, &other];
    let entry = TestEntry::serving(route(RouteKind::Stream, false, 2), &endpoints);
    let request = post("c1", "Wants: m\r\n");
    let forget = unlist_first(&entry, Duration::from_millis(200));
    let (answer, ()) = tokio::join!(entry.call(&request), forget);
    assert_eq!(event_ids(&answer), [1, 2, 3], "{answer}");
    assert!(answer.ends_with(LAST_CHUNK), "{answer}");
}

#[tokio::test]
async fn later_generations_pass_a_silent_engine_over() {
    let frozen = FakeEndpoint::bind(vec![Reply::Silence]).await;
    let well = FakeEndpoint::bind(vec![
        whole_stream("c1", 1..=1),
        whole_stream("c2", 1..=1),
        whole_stream("c3", 1..=1),
    ])
    .await;
    let entry = TestEntry::serving(route(RouteKind::Stream, true, 2), &[&frozen, &well]);
    for id in ["c1", "c2", "c3"] {
        let answer = entry.call(&post(id, "Wants: m\r\n")).await;
        assert_eq!(event_ids(&answer), [1], "{id}: {answer}");
    }
    assert_eq!(frozen.arrivals().len(), 1);
}
