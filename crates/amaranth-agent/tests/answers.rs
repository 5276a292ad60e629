//! Answers whose readers are slow, disconnect, reconnect or switch to another engine, and drains.

mod fakes;

use std::sync::atomic::Ordering;
use std::time::Duration;

use amaranth_agent::settings::AgentLimits;
use amaranth_core::ErrorKind;
use amaranth_core::ids::{RequestId, Sequence};
use amaranth_core::request::AnswerEnd;
use amaranth_core::units::ByteSize;
use amaranth_wire::agent::{AgentRpc, AnswerRead};
use fakes::engine::{EngineOptions, EngineOrder, chunk};
use fakes::fleet::{AgentFixture, WAIT, request};
use tarpc::context;
use tokio::time::{sleep, timeout};

fn read(number: u128, from: u64) -> AnswerRead {
    AnswerRead {
        id: RequestId(number),
        from: Sequence(from),
        wait: WAIT,
    }
}

/// Opens a request at the agent without reading its answer.
async fn open_unread(fixture: &AgentFixture, number: u128) {
    let opened = fixture.server.clone().open_answer(
        context::current(),
        request(number, "manifest@3"),
        Duration::ZERO,
    );
    assert!(opened.await.unwrap().chunks.is_empty());
}

/// A second reader that knows the request id and the offset of the first one gets the rest.
#[tokio::test(start_paused = true)]
async fn second_reader_gets_the_rest_of_an_answer() {
    let fixture = AgentFixture::spawn(EngineOptions::default(), AgentLimits::default()).await;
    open_unread(&fixture, 1).await;
    sleep(Duration::from_secs(2)).await;
    let batch = fixture
        .server
        .clone()
        .read_answer(context::current(), read(1, 2))
        .await
        .unwrap();
    let data: Vec<_> = batch.chunks.into_iter().map(|chunk| chunk.data).collect();
    let rest: Vec<_> = (2..5)
        .map(|index| chunk("manifest@3", RequestId(1), index))
        .collect();
    assert_eq!((data, batch.end), (rest, Some(AnswerEnd::Complete)));
    // Acknowledged chunks are kept for a caller whose entry failed before it forwarded them.
    let again = fixture
        .server
        .clone()
        .read_answer(context::current(), read(1, 0))
        .await
        .unwrap();
    let data: Vec<_> = again.chunks.into_iter().map(|chunk| chunk.data).collect();
    let complete: Vec<_> = (0..5)
        .map(|index| chunk("manifest@3", RequestId(1), index))
        .collect();
    assert_eq!((data, again.end), (complete, Some(AnswerEnd::Complete)));
}

/// Opening a request again attaches to its answer and does not run the request a second time.
#[tokio::test(start_paused = true)]
async fn reopened_request_attaches_to_its_answer() {
    let fixture = AgentFixture::spawn(EngineOptions::default(), AgentLimits::default()).await;
    open_unread(&fixture, 1).await;
    let (chunks, end) = fixture.complete(request(1, "manifest@3")).await.unwrap();
    assert_eq!((chunks.len(), end), (5, AnswerEnd::Complete));
    assert_eq!(fixture.engine.calls().len(), 1);
}

/// A slow reader pauses the engine's stream, and gets every chunk when it continues to read.
#[tokio::test(start_paused = true)]
async fn slow_reader_pauses_the_engine_stream() {
    let options = EngineOptions {
        chunks: 400,
        ..EngineOptions::default()
    };
    let limits = AgentLimits {
        answer_buffer: ByteSize(1 << 10),
        ..AgentLimits::default()
    };
    let fixture = AgentFixture::spawn(options, limits).await;
    open_unread(&fixture, 1).await;
    sleep(Duration::from_secs(10)).await;
    assert_eq!(fixture.engine.running(), 1);
    let batch = fixture
        .server
        .clone()
        .read_answer(context::current(), read(1, 0))
        .await
        .unwrap();
    let buffered: usize = batch.chunks.iter().map(|chunk| chunk.data.len()).sum();
    assert!(buffered < 2 << 10, "{buffered} bytes were buffered");
    let (chunks, end) = fixture.complete(request(1, "manifest@3")).await.unwrap();
    assert_eq!((chunks.len(), end), (400, AnswerEnd::Complete));
}

/// An answer that is not read is cancelled at the engine, which unpins its adapter: the only slot
/// can then hold another adapter.
#[tokio::test(start_paused = true)]
async fn abandoned_answer_unpins_its_adapter() {
    let options = EngineOptions {
        adapter_slots: 1,
        chunks: 100_000,
        ..EngineOptions::default()
    };
    let limits = AgentLimits {
        answer_buffer: ByteSize(1 << 10),
        ..AgentLimits::default()
    };
    let fixture = AgentFixture::spawn(options, limits).await;
    open_unread(&fixture, 1).await;
    sleep(Duration::from_secs(30)).await;
    assert!(
        fixture
            .engine
            .orders()
            .contains(&EngineOrder::Cancel(RequestId(1)))
    );
    let removed = fixture
        .server
        .clone()
        .read_answer(context::current(), read(1, 0))
        .await;
    assert_eq!(removed.unwrap_err().kind, ErrorKind::NotFound);
    let other = request(2, "label@1");
    let batch = fixture
        .server
        .clone()
        .open_answer(context::current(), other, WAIT)
        .await
        .unwrap();
    assert!(!batch.chunks.is_empty());
    assert_eq!(fixture.engine.evicted_in_flight(), []);
}

/// A request that is cancelled in the queue never reaches the engine; one that is cancelled in
/// flight is cancelled at the engine.
#[tokio::test(start_paused = true)]
async fn cancelled_requests_do_not_run_on_the_engine() {
    let fixture = AgentFixture::spawn(EngineOptions::default(), AgentLimits::default()).await;
    let endpoint = request(1, "manifest@3").endpoint;
    let cancel = |number: u128| {
        let server = fixture.server.clone();
        server.cancel_answer(context::current(), RequestId(number), endpoint.clone())
    };
    open_unread(&fixture, 1).await;
    cancel(1).await.unwrap();
    let (_, end) = fixture.complete(request(2, "manifest@3")).await.unwrap();
    assert_eq!(end, AnswerEnd::Complete);
    assert_eq!(fixture.engine.calls(), [RequestId(2)]);
    open_unread(&fixture, 3).await;
    sleep(Duration::from_millis(25)).await;
    cancel(3).await.unwrap();
    sleep(Duration::from_millis(25)).await;
    assert!(
        fixture
            .engine
            .orders()
            .contains(&EngineOrder::Cancel(RequestId(3)))
    );
    assert_eq!(fixture.engine.running(), 0);
}

/// A cancel that names another endpoint belongs to an earlier attempt and is ignored.
#[tokio::test(start_paused = true)]
async fn late_cancel_of_an_earlier_attempt_is_ignored() {
    let fixture = AgentFixture::spawn(EngineOptions::default(), AgentLimits::default()).await;
    open_unread(&fixture, 1).await;
    let former = "engine-2".parse().unwrap();
    let cancelled = fixture
        .server
        .clone()
        .cancel_answer(context::current(), RequestId(1), former);
    cancelled.await.unwrap();
    let (chunks, end) = fixture.complete(request(1, "manifest@3")).await.unwrap();
    assert_eq!((chunks.len(), end), (5, AnswerEnd::Complete));
}

/// A draining agent refuses new work, finishes and delivers running answers, releases its lease
/// and ends.
#[tokio::test(start_paused = true)]
async fn drain_delivers_running_answers() {
    let options = EngineOptions {
        chunks: 50,
        ..EngineOptions::default()
    };
    let fixture = AgentFixture::spawn(options, AgentLimits::default()).await;
    let AgentFixture {
        process,
        server,
        engine,
        ..
    } = fixture;
    open_unread_at(&server, 1).await;
    while engine.running() == 0 {
        sleep(Duration::from_millis(1)).await;
    }
    let late = request(2, "manifest@3");
    let drained = async {
        process.drain().await;
        engine.running()
    };
    let reader = async {
        sleep(Duration::from_millis(50)).await;
        let refused = server
            .clone()
            .open_answer(context::current(), late, WAIT)
            .await;
        assert_eq!(refused.unwrap_err().kind, ErrorKind::Draining);
        fakes::fleet::complete(&server, request(1, "manifest@3"))
            .await
            .unwrap()
    };
    let (running, (chunks, end)) = tokio::join!(drained, reader);
    assert_eq!((chunks.len(), end, running), (50, AnswerEnd::Complete, 0));
}

async fn open_unread_at(server: &amaranth_agent::server::AgentServer, number: u128) {
    let request = request(number, "manifest@3");
    let opened = server
        .clone()
        .open_answer(context::current(), request, Duration::ZERO);
    opened.await.unwrap();
}

/// A killed agent stops its tasks and closes its listener, so that its address can be bound again.
#[tokio::test]
async fn killed_agent_frees_its_address() {
    let fixture = AgentFixture::spawn(EngineOptions::default(), AgentLimits::default()).await;
    let peer = fixture.process.peer_address();
    fixture.process.kill();
    let bound = timeout(Duration::from_secs(20), async {
        while tokio::net::TcpListener::bind(peer).await.is_err() {
            sleep(Duration::from_millis(20)).await;
        }
    });
    bound.await.expect("a killed agent frees its address");
}

/// During a log outage a drain still ends: the release is attempted, and the lease expires.
#[tokio::test(start_paused = true)]
async fn drain_ends_without_the_log() {
    let fixture = AgentFixture::spawn(EngineOptions::default(), AgentLimits::default()).await;
    fixture.log.down.store(true, Ordering::SeqCst);
    timeout(Duration::from_secs(60), fixture.process.drain())
        .await
        .expect("a drain ends without the log");
}
