//! Turns of prompts: calls of entries that wait until the prompts before theirs are prefilled.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use amaranth_dispatch::engine_view::{EngineView, UsageReport};
use amaranth_dispatch::prefill_turns::{TurnGrant, TurnRequest};
use amaranth_dispatch::routes::RouteKind;
use amaranth_relay::agent::{self, AgentCore};
use amaranth_relay::agent_link::AgentLinks;
use amaranth_relay::store_reader::{ReaderOptions, StoreReader};
use tokio::time::{sleep, timeout};

use crate::support::{FakeEndpoint, LAST_CHUNK, Reply, TestEntry, event, post, route, stream_head};

/// Starts an agent to which an entry has named the engine `e0`.
async fn start_agent() -> (SocketAddr, impl Sized) {
    start_agent_of(Arc::new(AgentCore::default())).await
}

/// Starts an agent with this state.
async fn start_agent_of(core: Arc<AgentCore>) -> (SocketAddr, impl Sized) {
    let reader = Arc::new(StoreReader::new(ReaderOptions {
        incarnation: 1,
        config_bound: Duration::from_secs(2),
        drain_bound: Duration::from_secs(2),
    }));
    let address = "127.0.0.1:0".parse().expect("the address is valid");
    let server = agent::bind(core, reader, address)
        .await
        .expect("loopback has a free port");
    let usage = UsageReport {
        entry: "entry".to_owned(),
        endpoint: "e0".parse().expect("the name is valid"),
        started_ms: None,
        adapters: Vec::new(),
        calls: 0,
        speed: None,
        streams: Default::default(),
        sent_tokens: 0,
    };
    AgentLinks::default()
        .exchange(server.address(), usage, u64::MAX, Duration::ZERO)
        .await
        .expect("the agent answers");
    (server.address(), server)
}

fn request(max_wait: u64) -> TurnRequest {
    TurnRequest {
        endpoint: "e0".parse().expect("the name is valid"),
        tokens: 5_000,
        pause_objective: Duration::from_millis(400),
        priority: 1,
        max_wait: Duration::from_millis(max_wait),
    }
}

#[tokio::test]
async fn a_turn_begins_when_the_one_before_ends() {
    let (address, _agent) = start_agent().await;
    let links = AgentLinks::default();
    let first = links.take_turn(address, request(500)).await;
    let first = first.expect("the agent answers");
    assert_eq!(first.tokens_ahead, 0);
    let begun = Instant::now();
    let ending = async {
        sleep(Duration::from_millis(150)).await;
        links.end_turn(address, first.turn).await
    };
    let (second, ended) = tokio::join!(links.take_turn(address, request(1_000)), ending);
    ended.expect("the agent answers");
    assert_eq!(second.expect("the agent answers").tokens_ahead, 0);
    let took = begun.elapsed();
    assert!(
        (Duration::from_millis(140)..Duration::from_millis(700)).contains(&took),
        "{took:?}"
    );
}

/// An entry waits at most for the time that its call has.
#[tokio::test]
async fn a_call_goes_without_the_end_of_the_turn_before_when_its_time_is_over() {
    let (address, _agent) = start_agent().await;
    let links = AgentLinks::default();
    let first = links.take_turn(address, request(500)).await;
    first.expect("the agent answers");
    let second = links.take_turn(address, request(100)).await;
    assert_eq!(second.expect("the agent answers").tokens_ahead, 5_000);
}

/// A caller disconnects while its prompt waits. The prompt must not get the turn of the next one.
#[tokio::test]
async fn a_cancelled_wait_takes_no_turn() {
    let (address, _agent) = start_agent().await;
    let links = AgentLinks::default();
    let first = links.take_turn(address, request(500)).await;
    let first = first.expect("the agent answers");
    let cancelled = links.take_turn(address, request(5_000));
    assert!(
        timeout(Duration::from_millis(100), cancelled)
            .await
            .is_err()
    );
    links
        .end_turn(address, first.turn)
        .await
        .expect("the agent answers");
    let begun = Instant::now();
    let next = links.take_turn(address, request(2_000)).await;
    assert_eq!(next.expect("the agent answers").tokens_ahead, 0);
    assert!(begun.elapsed() < Duration::from_millis(500));
}

#[tokio::test]
async fn an_agent_of_another_engine_delays_no_call() {
    let (address, _agent) = start_agent().await;
    let other = TurnRequest {
        endpoint: "e9".parse().expect("the name is valid"),
        ..request(5_000)
    };
    let links = AgentLinks::default();
    for _ in 0..2 {
        let grant = links.take_turn(address, other.clone()).await;
        assert_eq!(grant, Ok(TurnGrant::default()));
    }
}

/// Returns a stream whose first event comes after 300 ms.
fn slow_stream(call: &str) -> Reply {
    let pieces = vec![
        (0, stream_head(call)),
        (300, event(1)),
        (10, event(2) + LAST_CHUNK),
    ];
    Reply::Pieces(pieces)
}

/// Sends two calls with a pause objective to one engine, the second 50 ms after the first, and returns
/// the times that they took.
async fn two_calls(agent_port: u16) -> (Duration, Duration) {
    let engine = FakeEndpoint::bind(vec![slow_stream("c1"), slow_stream("c2")]).await;
    let entry = TestEntry::bind_with_agent_port(agent_port);
    let mut rule = route(RouteKind::Stream, false, 1);
    rule.pause_objective = Some(Duration::from_millis(20));
    entry.configure(1, vec![rule]);
    entry.announce(&[&engine]);
    let mut view = EngineView::default();
    view.contents.cache_total = 100_000;
    view.contents.models = vec!["m".parse().expect("the name is valid")];
    let id = "e0".parse().expect("the name is valid");
    entry.core.record_view(&id, view);
    let call = async |id: &str| {
        let begun = Instant::now();
        let answer = entry.call(&post(id, "Wants: m\r\n")).await;
        assert!(answer.ends_with(LAST_CHUNK), "{answer}");
        begun.elapsed()
    };
    let second = async {
        sleep(Duration::from_millis(50)).await;
        call("c2").await
    };
    tokio::join!(call("c1"), second)
}

/// Two prompts that would delay all streams by their sum. The second one goes with the first event of
/// the first.
#[tokio::test]
async fn a_prompt_waits_for_the_first_event_of_the_one_before() {
    let (address, _agent) = start_agent().await;
    let (first, second) = two_calls(address.port()).await;
    assert!(first < Duration::from_millis(500), "{first:?}");
    assert!(second > Duration::from_millis(500), "{second:?}");
    assert!(second < Duration::from_millis(900), "{second:?}");
}

/// A VM freezes, and with it the agent and its engine. A call that waits for its turn there must be
/// sent to another engine, and not only after the engine has been silent for long.
#[tokio::test]
async fn a_call_leaves_an_engine_whose_vm_is_silent_while_it_waits_for_its_turn() {
    let frozen = FakeEndpoint::bind_at("127.0.0.2", vec![Reply::Silence]).await;
    let healthy = FakeEndpoint::bind(vec![slow_stream("c1")]).await;
    // Connections to this address are accepted and never answered.
    let agent = tokio::net::TcpListener::bind("127.0.0.2:0")
        .await
        .expect("loopback has a free port");
    let port = agent.local_addr().expect("the listener is bound").port();
    let entry = TestEntry::bind_with_agent_port(port);
    let mut rule = route(RouteKind::Stream, false, 2);
    rule.pause_objective = Some(Duration::from_millis(20));
    rule.objective = Duration::from_millis(400);
    entry.configure(1, vec![rule]);
    entry.announce(&[&frozen, &healthy]);
    let mut view = EngineView::default();
    view.contents.cache_total = 100_000;
    view.contents.models = vec!["m".parse().expect("the name is valid")];
    entry
        .core
        .record_view(&"e0".parse().expect("the name is valid"), view.clone());
    // The other engine is busy, so that the frozen one is selected first.
    view.contents.pending_prefills = 3;
    entry
        .core
        .record_view(&"e1".parse().expect("the name is valid"), view);
    let begun = Instant::now();
    let answer = entry.call(&post("c1", "Wants: m\r\n")).await;
    assert!(answer.ends_with(LAST_CHUNK), "{answer}");
    assert!(frozen.arrivals().is_empty(), "the call went to the engine");
    assert!(begun.elapsed() < Duration::from_millis(1_200));
}

/// An agent that has ended must not delay calls.
#[tokio::test]
async fn a_call_is_sent_at_once_without_its_agent() {
    let (first, second) = two_calls(1).await;
    assert!(first < Duration::from_millis(500), "{first:?}");
    assert!(second < Duration::from_millis(500), "{second:?}");
}

/// Guards against prompts that wait for the turn of an agent that has stopped.
#[tokio::test]
async fn a_stopping_agent_hands_back_the_prompts_that_wait() {
    let core = Arc::new(AgentCore::default());
    let (address, _agent) = start_agent_of(Arc::clone(&core)).await;
    let links = AgentLinks::default();
    let first = links.take_turn(address, request(500)).await;
    first.expect("the agent answers");
    let begun = Instant::now();
    let stopping = async {
        sleep(Duration::from_millis(100)).await;
        core.begin_stop();
    };
    let (waiting, ()) = tokio::join!(links.take_turn(address, request(5_000)), stopping);
    assert_eq!(waiting, Ok(TurnGrant::default()));
    let later = links.take_turn(address, request(5_000)).await;
    assert_eq!(later, Ok(TurnGrant::default()));
    assert!(begun.elapsed() < Duration::from_secs(1));
}
