//! Engines that restart, lose answers or fail loads, and two agents that compete for one engine.

mod fakes;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use amaranth_agent::settings::AgentLimits;
use amaranth_core::ErrorKind;
use amaranth_core::ids::FencingToken;
use amaranth_core::request::{AnswerChunk, AnswerEnd};
use fakes::engine::{EngineFaults, EngineOptions, EngineOrder, FakeEngine, chunk};
use fakes::fleet::{AgentFixture, complete, request, settings};
use fakes::log::FakeLog;
use futures::future::join_all;
use rstest::rstest;
use tokio::time::sleep;

fn data(chunks: Vec<AnswerChunk>) -> Vec<bytes::Bytes> {
    chunks.into_iter().map(|chunk| chunk.data).collect()
}

fn complete_data(number: u128, adapter: &str) -> Vec<bytes::Bytes> {
    let id = request(number, adapter).id;
    (0..5).map(|index| chunk(adapter, id, index)).collect()
}

/// If an engine restarts empty while requests are queued and in flight, every answer is complete
/// and from its adapter, and no adapter is evicted under a request.
#[tokio::test(start_paused = true)]
async fn engine_restart_with_requests_queued_and_in_flight_loses_no_answer() {
    let fixture = AgentFixture::spawn(EngineOptions::default(), AgentLimits::default()).await;
    let adapters = ["manifest@3", "label@1", "residue@7", "lesson@2"];
    let requests = (0..24_u128).map(|number| {
        let adapter = adapters[usize::try_from(number).unwrap() % adapters.len()];
        let answer = fixture.complete(request(number, adapter));
        async move { (number, adapter, answer.await.unwrap()) }
    });
    let restarts = async {
        for _ in 0..3 {
            sleep(Duration::from_millis(310)).await;
            fixture.engine.restart();
        }
    };
    let (answers, ()) = tokio::join!(join_all(requests), restarts);
    for (number, adapter, (chunks, end)) in answers {
        assert_eq!(end, AnswerEnd::Complete, "request {number}");
        assert_eq!(data(chunks), complete_data(number, adapter));
    }
    assert!(
        fixture.engine.calls().len() > 24,
        "no request was run again"
    );
    assert_eq!(fixture.engine.evicted_in_flight(), []);
}

/// A stream that always breaks at the same chunk ends in an explicit error after a bounded number
/// of runs, and the forwarded chunks are the start of the right answer.
#[tokio::test(start_paused = true)]
async fn stream_that_keeps_breaking_ends_in_an_error() {
    let fixture = AgentFixture::spawn(EngineOptions::default(), AgentLimits::default()).await;
    fixture.engine.set_faults(EngineFaults {
        breaks_at: Some(3),
        ..EngineFaults::default()
    });
    let (chunks, end) = fixture.complete(request(1, "manifest@3")).await.unwrap();
    let AnswerEnd::Failed(error) = end else {
        panic!("a broken answer was reported as complete");
    };
    assert_eq!(error.kind, ErrorKind::EndpointFailed);
    assert_eq!(data(chunks), complete_data(1, "manifest@3")[..3]);
    assert_eq!(fixture.engine.calls().len(), 3);
}

/// If a connection breaks while the engine runs on, the stream is resumed and the request is not
/// run again.
#[tokio::test(start_paused = true)]
async fn broken_connection_is_resumed_at_the_engine() {
    let options = EngineOptions {
        resumes: true,
        ..EngineOptions::default()
    };
    let fixture = AgentFixture::spawn(options, AgentLimits::default()).await;
    fixture.engine.set_faults(EngineFaults {
        drops_connection_at: Some(2),
        ..EngineFaults::default()
    });
    let (chunks, end) = fixture.complete(request(1, "manifest@3")).await.unwrap();
    assert_eq!(end, AnswerEnd::Complete);
    assert_eq!(data(chunks), complete_data(1, "manifest@3"));
    assert_eq!(fixture.engine.calls().len(), 1);
}

/// If a connection goes silent while the engine runs on, the stream is resumed on a new one.
#[rstest]
#[case::before_the_first_chunk(0)]
#[case::in_the_middle(2)]
#[tokio::test(start_paused = true)]
async fn silent_connection_is_resumed_at_the_engine(#[case] chunk: u64) {
    let options = EngineOptions {
        resumes: true,
        ..EngineOptions::default()
    };
    let fixture = AgentFixture::spawn(options, AgentLimits::default()).await;
    fixture.engine.set_faults(EngineFaults {
        falls_silent_at: Some(chunk),
        ..EngineFaults::default()
    });
    let (chunks, end) = fixture.complete(request(1, "manifest@3")).await.unwrap();
    assert_eq!(end, AnswerEnd::Complete);
    assert_eq!(data(chunks), complete_data(1, "manifest@3"));
    assert_eq!(fixture.engine.calls().len(), 1);
}

/// A request whose adapter can't be loaded is refused as not run, and a later load succeeds.
#[tokio::test(start_paused = true)]
async fn request_without_its_adapter_is_refused_as_not_run() {
    let fixture = AgentFixture::spawn(EngineOptions::default(), AgentLimits::default()).await;
    fixture.engine.set_faults(EngineFaults {
        refuses_loads: true,
        ..EngineFaults::default()
    });
    let mut short = request(1, "manifest@3");
    short.time_left = Duration::from_secs(3);
    let (chunks, end) = fixture.complete(short).await.unwrap();
    let AnswerEnd::Failed(error) = end else {
        panic!("a request was answered without its adapter: {chunks:?}");
    };
    assert_eq!(
        error.kind.answer().run,
        amaranth_core::errors::RunState::NotRun
    );
    fixture.engine.set_faults(EngineFaults::default());
    let (_, end) = fixture.complete(request(2, "manifest@3")).await.unwrap();
    assert_eq!(end, AnswerEnd::Complete);
}

/// The result of an order whose answer was lost is read from the engine's inventory.
#[tokio::test(start_paused = true)]
async fn results_of_unanswered_orders_are_read_back() {
    let options = EngineOptions {
        adapter_slots: 1,
        ..EngineOptions::default()
    };
    let limits = AgentLimits {
        order_timeout: Duration::from_secs(1),
        ..AgentLimits::default()
    };
    let fixture = AgentFixture::spawn(options, limits).await;
    fixture.engine.set_faults(EngineFaults {
        loses_order_answers: true,
        ..EngineFaults::default()
    });
    for (number, adapter) in [(1, "manifest@3"), (2, "label@1"), (3, "manifest@3")] {
        let (chunks, end) = fixture.complete(request(number, adapter)).await.unwrap();
        assert_eq!(end, AnswerEnd::Complete, "request {number}");
        assert_eq!(data(chunks), complete_data(number, adapter));
    }
    assert_eq!(fixture.engine.evicted_in_flight(), []);
    let is_load = |order: &EngineOrder| matches!(order, EngineOrder::Load(..));
    assert_eq!(
        fixture
            .engine
            .orders()
            .iter()
            .filter(|order| is_load(order))
            .count(),
        3
    );
}

/// An inventory that was read before a load ended and arrives after it does not undo the load.
#[tokio::test(start_paused = true)]
async fn stale_inventory_does_not_undo_a_load() {
    let limits = AgentLimits {
        inventory_interval: Duration::from_millis(100),
        ..AgentLimits::default()
    };
    let fixture = AgentFixture::spawn(EngineOptions::default(), limits).await;
    fixture.engine.set_faults(EngineFaults {
        inventory_delay: Duration::from_millis(300),
        ..EngineFaults::default()
    });
    for number in 0..20 {
        let (_, end) = fixture
            .complete(request(number, "manifest@3"))
            .await
            .unwrap();
        assert_eq!(end, AnswerEnd::Complete);
    }
    assert_eq!(fixture.engine.orders().len(), 1);
}

/// Of two agents on one engine, one holds the lease and the other refuses requests as not run.
/// When the first is drained, the second takes over with a larger fencing token.
#[rstest]
#[case::checks(true)]
#[case::ignores(false)]
#[tokio::test(start_paused = true)]
async fn second_agent_takes_over_when_the_first_is_drained(#[case] checks_fencing: bool) {
    let options = EngineOptions {
        checks_fencing,
        ..EngineOptions::default()
    };
    let engine = Arc::new(FakeEngine::new(options));
    let log = Arc::new(FakeLog::default());
    let limits = AgentLimits::default;
    let first = AgentFixture::spawn_on(engine.clone(), log.clone(), settings("agent-1", limits()));
    let first = first.await;
    first.wait_ready().await;
    let second = AgentFixture::spawn_on(engine.clone(), log, settings("agent-2", limits()));
    let second = second.await;
    sleep(Duration::from_secs(300)).await;
    assert!(first.is_ready().await && !second.is_ready().await);

    let (_, end) = complete(&second.server, request(1, "manifest@3"))
        .await
        .unwrap();
    assert!(matches!(end, AnswerEnd::Failed(error) if error.kind == ErrorKind::Fenced));
    let (_, end) = complete(&first.server, request(2, "manifest@3"))
        .await
        .unwrap();
    assert_eq!(end, AnswerEnd::Complete);

    // A released lease is acquired at once, long before its term ends.
    first.process.drain().await;
    sleep(Duration::from_secs(2)).await;
    assert!(second.is_ready().await);
    let (_, end) = complete(&second.server, request(3, "label@1"))
        .await
        .unwrap();
    assert_eq!(end, AnswerEnd::Complete);
    let tokens: Vec<FencingToken> = engine
        .orders()
        .into_iter()
        .filter_map(|order| match order {
            EngineOrder::Load(_, token) | EngineOrder::Unload(_, token) => Some(token),
            EngineOrder::Cancel(_) => None,
        })
        .collect();
    assert!(
        tokens.is_sorted() && tokens.first() < tokens.last(),
        "{tokens:?}"
    );
}

/// If the engine knows a newer fencing token, the agent stops sending orders and acquires the
/// lease again.
#[tokio::test(start_paused = true)]
async fn fenced_agent_reacquires_its_lease() {
    let fixture = AgentFixture::spawn(EngineOptions::default(), AgentLimits::default()).await;
    let (_, end) = fixture.complete(request(1, "manifest@3")).await.unwrap();
    assert_eq!(end, AnswerEnd::Complete);
    let foreign_token = FencingToken(2);
    fixture
        .engine
        .order_as(foreign_token, &"label@1".parse().unwrap())
        .unwrap();
    let mut long = request(2, "residue@7");
    long.time_left = Duration::from_secs(120);
    let (_, end) = fixture.complete(long).await.unwrap();
    assert_eq!(end, AnswerEnd::Complete);
    let tokens = fixture
        .engine
        .orders()
        .into_iter()
        .filter_map(|order| match order {
            EngineOrder::Load(_, token) | EngineOrder::Unload(_, token) => Some(token),
            EngineOrder::Cancel(_) => None,
        });
    assert!(tokens.last() >= Some(foreign_token));
}

/// During a log outage an engine that checks fencing tokens still gets orders after the lease term:
/// no other agent can acquire the lease, and the engine would refuse the agent's token if it knew a
/// newer one. Resident adapters are served by engines with and without this check.
#[rstest]
#[case::checks(true)]
#[case::ignores(false)]
#[tokio::test(start_paused = true)]
async fn orders_continue_in_a_long_log_outage_if_the_engine_checks_tokens(
    #[case] checks_fencing: bool,
) {
    let options = EngineOptions {
        checks_fencing,
        ..EngineOptions::default()
    };
    let fixture = AgentFixture::spawn(options, AgentLimits::default()).await;
    let (_, end) = fixture.complete(request(1, "manifest@3")).await.unwrap();
    assert_eq!(end, AnswerEnd::Complete);
    fixture.log.down.store(true, Ordering::SeqCst);
    sleep(Duration::from_secs(300)).await;
    let (_, end) = fixture.complete(request(2, "manifest@3")).await.unwrap();
    assert_eq!(end, AnswerEnd::Complete);

    let orders = fixture.engine.orders().len();
    let (_, end) = fixture.complete(request(3, "label@1")).await.unwrap();
    assert_eq!(end == AnswerEnd::Complete, checks_fencing);
    assert_eq!(fixture.engine.orders().len() > orders, checks_fencing);

    fixture.log.down.store(false, Ordering::SeqCst);
    sleep(Duration::from_secs(60)).await;
    let (_, end) = fixture.complete(request(4, "label@1")).await.unwrap();
    assert_eq!(end, AnswerEnd::Complete);
}

/// A lease record whose append was not acknowledged takes effect when it is read back.
#[tokio::test(start_paused = true)]
async fn lease_is_acquired_although_every_append_answer_is_lost() {
    let engine = Arc::new(FakeEngine::new(EngineOptions::default()));
    let log = Arc::new(FakeLog::default());
    log.loses_answers.store(true, Ordering::SeqCst);
    let agent = AgentFixture::spawn_on(engine, log, settings("agent-1", AgentLimits::default()));
    let agent = agent.await;
    agent.wait_ready().await;
    let (_, end) = agent.complete(request(1, "manifest@3")).await.unwrap();
    assert_eq!(end, AnswerEnd::Complete);
}

/// A holder that is cut off from the log still serves the request that it dispatched. Its
/// successor takes over after the term, and does not evict the adapter of that request.
#[rstest]
#[case::checks(true)]
#[case::ignores(false)]
#[tokio::test(start_paused = true)]
async fn successor_evicts_no_adapter_that_a_cut_off_holder_serves(#[case] checks_fencing: bool) {
    let options = EngineOptions {
        checks_fencing,
        adapter_slots: 1,
        chunks: 300,
        chunk_time: Duration::from_secs(1),
        ..EngineOptions::default()
    };
    let engine = Arc::new(FakeEngine::new(options));
    let log = Arc::new(FakeLog::default());
    let cut_off = Arc::new(log.another_client());
    let limits = AgentLimits::default;
    let first = AgentFixture::spawn_on(
        engine.clone(),
        cut_off.clone(),
        settings("agent-1", limits()),
    );
    let first = first.await;
    first.wait_ready().await;
    let mut long = request(1, "manifest@3");
    long.time_left = Duration::from_secs(400);
    let mut other = request(2, "label@1");
    other.time_left = Duration::from_secs(1_000);

    let served = complete(&first.server, long);
    let takeover = async {
        sleep(Duration::from_secs(1)).await;
        cut_off.down.store(true, Ordering::SeqCst);
        let second = AgentFixture::spawn_on(engine.clone(), log, settings("agent-2", limits()));
        let second = second.await;
        second.wait_ready().await;
        let (_, end) = complete(&second.server, other).await.unwrap();
        assert_eq!(end, AnswerEnd::Complete);
    };
    let (served, ()) = tokio::join!(served, takeover);
    let (chunks, end) = served.unwrap();
    assert_eq!((chunks.len(), end), (300, AnswerEnd::Complete));
    assert_eq!(engine.evicted_in_flight(), []);
    // The cut-off holder saw the successor's orders and accepts no more requests.
    assert!(!first.is_ready().await);
}

/// A request that waits for its adapter when the agent starts to drain is refused at once, so that
/// its entry can send it to another endpoint.
#[tokio::test(start_paused = true)]
async fn draining_agent_refuses_waiting_requests_at_once() {
    let fixture = AgentFixture::spawn(EngineOptions::default(), AgentLimits::default()).await;
    fixture.engine.set_faults(EngineFaults {
        refuses_loads: true,
        ..EngineFaults::default()
    });
    let server = fixture.server.clone();
    let waiting = tokio::spawn(async move { complete(&server, request(1, "manifest@3")).await });
    sleep(Duration::from_secs(1)).await;
    let drain_started = tokio::time::Instant::now();
    fixture.process.drain().await;
    let (chunks, end) = waiting.await.unwrap().unwrap();
    let AnswerEnd::Failed(error) = end else {
        panic!("a request was answered without its adapter: {chunks:?}");
    };
    assert_eq!(error.kind, ErrorKind::Draining);
    assert!(drain_started.elapsed() < Duration::from_secs(2));
    assert!(fixture.engine.calls().is_empty());
}
