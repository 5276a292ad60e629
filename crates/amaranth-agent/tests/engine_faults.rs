//! Engines that restart, lose answers and fail loads, and agents that fight over one.

mod fakes;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use amaranth_agent::settings::AgentLimits;
use amaranth_core::ErrorKind;
use amaranth_core::ids::FencingToken;
use amaranth_core::request::{AnswerChunk, AnswerEnd};
use fakes::engine::{EngineFaults, EngineOrder, EngineShape, FakeEngine, chunk};
use fakes::fleet::{AgentFixture, complete, request, settings};
use fakes::log::FakeLog;
use futures::future::join_all;
use rstest::rstest;
use tokio::time::sleep;

fn data(chunks: Vec<AnswerChunk>) -> Vec<bytes::Bytes> {
    chunks.into_iter().map(|chunk| chunk.data).collect()
}

fn whole(number: u128, adapter: &str) -> Vec<bytes::Bytes> {
    let id = request(number, adapter).id;
    (0..5).map(|index| chunk(adapter, id, index)).collect()
}

/// An engine that restarts empty while requests are queued and in flight: every answer is whole
/// and from its adapter, and nothing was evicted under a request.
#[tokio::test(start_paused = true)]
async fn restart_with_requests_queued_and_in_flight() {
    let fixture = AgentFixture::spawn(EngineShape::default(), AgentLimits::default()).await;
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
        assert_eq!(data(chunks), whole(number, adapter));
    }
    assert!(
        fixture.engine.calls().len() > 24,
        "no request was run again"
    );
    assert_eq!(fixture.engine.evicted_in_flight(), []);
}

/// A stream that always breaks at one chunk ends in an explicit error after a bounded number of
/// runs, and what was passed on is the true beginning.
#[tokio::test(start_paused = true)]
async fn stream_that_keeps_breaking_ends_in_an_error() {
    let fixture = AgentFixture::spawn(EngineShape::default(), AgentLimits::default()).await;
    fixture.engine.set_faults(EngineFaults {
        breaks_at: Some(3),
        ..EngineFaults::default()
    });
    let (chunks, end) = fixture.complete(request(1, "manifest@3")).await.unwrap();
    let AnswerEnd::Failed(error) = end else {
        panic!("a broken answer was called whole");
    };
    assert_eq!(error.kind, ErrorKind::EndpointFailed);
    assert_eq!(data(chunks), whole(1, "manifest@3")[..3]);
    assert_eq!(fixture.engine.calls().len(), 3);
}

/// A connection that breaks while the engine goes on is resumed, not run again.
#[tokio::test(start_paused = true)]
async fn broken_connection_is_resumed_at_the_engine() {
    let shape = EngineShape {
        resumes: true,
        ..EngineShape::default()
    };
    let fixture = AgentFixture::spawn(shape, AgentLimits::default()).await;
    fixture.engine.set_faults(EngineFaults {
        drops_connection_at: Some(2),
        ..EngineFaults::default()
    });
    let (chunks, end) = fixture.complete(request(1, "manifest@3")).await.unwrap();
    assert_eq!(end, AnswerEnd::Complete);
    assert_eq!(data(chunks), whole(1, "manifest@3"));
    assert_eq!(fixture.engine.calls().len(), 1);
}

/// A connection that goes silent while the engine goes on is given up and resumed.
#[rstest]
#[case::before_the_first_chunk(0)]
#[case::in_the_middle(2)]
#[tokio::test(start_paused = true)]
async fn silent_connection_is_resumed_at_the_engine(#[case] chunk: u64) {
    let shape = EngineShape {
        resumes: true,
        ..EngineShape::default()
    };
    let fixture = AgentFixture::spawn(shape, AgentLimits::default()).await;
    fixture.engine.set_faults(EngineFaults {
        falls_silent_at: Some(chunk),
        ..EngineFaults::default()
    });
    let (chunks, end) = fixture.complete(request(1, "manifest@3")).await.unwrap();
    assert_eq!(end, AnswerEnd::Complete);
    assert_eq!(data(chunks), whole(1, "manifest@3"));
    assert_eq!(fixture.engine.calls().len(), 1);
}

/// A load that fails is refused as not run, and the next one works.
#[tokio::test(start_paused = true)]
async fn failed_load_is_not_an_answer() {
    let fixture = AgentFixture::spawn(EngineShape::default(), AgentLimits::default()).await;
    fixture.engine.set_faults(EngineFaults {
        refuses_loads: true,
        ..EngineFaults::default()
    });
    let mut hasty = request(1, "manifest@3");
    hasty.time_left = Duration::from_secs(3);
    let (chunks, end) = fixture.complete(hasty).await.unwrap();
    let AnswerEnd::Failed(error) = end else {
        panic!("nothing was loaded and {chunks:?} came");
    };
    assert_eq!(
        error.kind.answer().run,
        amaranth_core::errors::RunState::NotRun
    );
    fixture.engine.set_faults(EngineFaults::default());
    let (_, end) = fixture.complete(request(2, "manifest@3")).await.unwrap();
    assert_eq!(end, AnswerEnd::Complete);
}

/// Orders whose answers are lost are settled by reading the engine back.
#[tokio::test(start_paused = true)]
async fn lost_order_answers_are_read_back() {
    let shape = EngineShape {
        adapter_slots: 1,
        ..EngineShape::default()
    };
    let limits = AgentLimits {
        order_timeout: Duration::from_secs(1),
        ..AgentLimits::default()
    };
    let fixture = AgentFixture::spawn(shape, limits).await;
    fixture.engine.set_faults(EngineFaults {
        loses_order_answers: true,
        ..EngineFaults::default()
    });
    for (number, adapter) in [(1, "manifest@3"), (2, "label@1"), (3, "manifest@3")] {
        let (chunks, end) = fixture.complete(request(number, adapter)).await.unwrap();
        assert_eq!(end, AnswerEnd::Complete, "request {number}");
        assert_eq!(data(chunks), whole(number, adapter));
    }
    assert_eq!(fixture.engine.evicted_in_flight(), []);
    let loads = |order: &EngineOrder| matches!(order, EngineOrder::Load(..));
    assert_eq!(
        fixture
            .engine
            .orders()
            .iter()
            .filter(|order| loads(order))
            .count(),
        3
    );
}

/// An inventory that was read before a load ended and comes after it does not undo the load.
#[tokio::test(start_paused = true)]
async fn stale_inventory_does_not_undo_a_load() {
    let limits = AgentLimits {
        inventory_interval: Duration::from_millis(100),
        ..AgentLimits::default()
    };
    let fixture = AgentFixture::spawn(EngineShape::default(), limits).await;
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

/// Two agents on one engine: one holds the lease, the other refuses work as not run; and when the
/// first leaves, the second takes over with a larger token.
#[rstest]
#[case::checks(true)]
#[case::ignores(false)]
#[tokio::test(start_paused = true)]
async fn two_agents_on_one_engine(#[case] checks_fencing: bool) {
    let shape = EngineShape {
        checks_fencing,
        ..EngineShape::default()
    };
    let engine = Arc::new(FakeEngine::new(shape));
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

    // The released lease is taken at once, long before its term is over.
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

/// The engine knows a newer number: the agent stops ordering, and takes the lease anew.
#[tokio::test(start_paused = true)]
async fn fenced_agent_takes_its_lease_anew() {
    let fixture = AgentFixture::spawn(EngineShape::default(), AgentLimits::default()).await;
    let (_, end) = fixture.complete(request(1, "manifest@3")).await.unwrap();
    assert_eq!(end, AnswerEnd::Complete);
    let stranger = FencingToken(2);
    fixture
        .engine
        .order_as(stranger, &"label@1".parse().unwrap())
        .unwrap();
    let mut patient = request(2, "residue@7");
    patient.time_left = Duration::from_secs(120);
    let (_, end) = fixture.complete(patient).await.unwrap();
    assert_eq!(end, AnswerEnd::Complete);
    let newest = fixture
        .engine
        .orders()
        .into_iter()
        .filter_map(|order| match order {
            EngineOrder::Load(_, token) | EngineOrder::Unload(_, token) => Some(token),
            EngineOrder::Cancel(_) => None,
        });
    assert!(newest.last() >= Some(stranger));
}

/// With the log out, an engine that checks numbers is ordered on, since nobody can take over and
/// a newer number would be refused to us; resident adapters are served at either kind.
#[rstest]
#[case::checks(true)]
#[case::ignores(false)]
#[tokio::test(start_paused = true)]
async fn log_outage_beyond_the_term(#[case] checks_fencing: bool) {
    let shape = EngineShape {
        checks_fencing,
        ..EngineShape::default()
    };
    let fixture = AgentFixture::spawn(shape, AgentLimits::default()).await;
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

/// Lease records whose answers are lost count all the same.
#[tokio::test(start_paused = true)]
async fn lease_is_taken_though_every_append_answer_is_lost() {
    let engine = Arc::new(FakeEngine::new(EngineShape::default()));
    let log = Arc::new(FakeLog::default());
    log.loses_answers.store(true, Ordering::SeqCst);
    let agent = AgentFixture::spawn_on(engine, log, settings("agent-1", AgentLimits::default()));
    let agent = agent.await;
    agent.wait_ready().await;
    let (_, end) = agent.complete(request(1, "manifest@3")).await.unwrap();
    assert_eq!(end, AnswerEnd::Complete);
}

/// A holder that is cut off from the log goes on serving what it dispatched. Its successor takes
/// over after the term, and evicts nothing under the former holder's request.
#[rstest]
#[case::checks(true)]
#[case::ignores(false)]
#[tokio::test(start_paused = true)]
async fn successor_spares_what_a_cut_off_holder_serves(#[case] checks_fencing: bool) {
    let shape = EngineShape {
        checks_fencing,
        adapter_slots: 1,
        chunks: 300,
        chunk_time: Duration::from_secs(1),
        ..EngineShape::default()
    };
    let engine = Arc::new(FakeEngine::new(shape));
    let log = Arc::new(FakeLog::default());
    let cut_off = Arc::new(log.another_way());
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
    // The cut off holder saw the other's orders and stopped to take work.
    assert!(!first.is_ready().await);
}

/// A request that waits for its adapter when the agent leaves goes back to its entry at once.
#[tokio::test(start_paused = true)]
async fn leaving_agent_hands_waiting_requests_back() {
    let fixture = AgentFixture::spawn(EngineShape::default(), AgentLimits::default()).await;
    fixture.engine.set_faults(EngineFaults {
        refuses_loads: true,
        ..EngineFaults::default()
    });
    let server = fixture.server.clone();
    let waiting = tokio::spawn(async move { complete(&server, request(1, "manifest@3")).await });
    sleep(Duration::from_secs(1)).await;
    let told = tokio::time::Instant::now();
    fixture.process.drain().await;
    let (chunks, end) = waiting.await.unwrap().unwrap();
    let AnswerEnd::Failed(error) = end else {
        panic!("nothing was loaded and {chunks:?} came");
    };
    assert_eq!(error.kind, ErrorKind::Draining);
    assert!(told.elapsed() < Duration::from_secs(2));
    assert!(fixture.engine.calls().is_empty());
}
