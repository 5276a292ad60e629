//! Loads: sharing between waiting calls, and requests to agents over connections.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_core::ids::FencingToken;
use amaranth_dispatch::adapter_manager::{EngineOrder, GuardedOrder, OrderAnswer};
use amaranth_dispatch::engine_view::{
    EngineContents, HeldAdapter, LoadOutcome, LoadRequest, UsageReport,
};
use amaranth_relay::agent::{self, AgentCore};
use amaranth_relay::agent_link::AgentLinks;
use amaranth_relay::agent_stop;
use amaranth_relay::engine_port::{EnginePort, PortError, TokenSource};
use amaranth_relay::order_loop;
use amaranth_relay::shared_loads::{LoadKey, SharedLoads};
use amaranth_relay::store_reader::{ReaderOptions, StoreReader};
use amaranth_wire::transport::ServerHandle;
use tokio::task::JoinHandle;
use tokio::time::sleep;

fn name<Name: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> Name {
    text.parse().expect("the text is a valid name")
}

#[tokio::test]
async fn calls_for_the_same_adapter_share_a_load() {
    let loads = SharedLoads::default();
    let started = Arc::new(AtomicU32::new(0));
    let key = LoadKey {
        endpoint: name("e"),
        model: name("m"),
        adapter: Some(name("a")),
        version: None,
    };
    let wait = || {
        let (loads, started, key) = (loads.clone(), Arc::clone(&started), key.clone());
        async move {
            loads
                .wait(key, || async move {
                    started.fetch_add(1, Ordering::SeqCst);
                    sleep(Duration::from_millis(30)).await;
                    LoadOutcome::Held
                })
                .await
        }
    };
    let outcomes = tokio::join!(wait(), wait(), wait());
    assert_eq!(
        outcomes,
        (LoadOutcome::Held, LoadOutcome::Held, LoadOutcome::Held)
    );
    assert_eq!(started.load(Ordering::SeqCst), 1);
    assert_eq!(wait().await, LoadOutcome::Held);
    assert_eq!(
        started.load(Ordering::SeqCst),
        2,
        "a load after the end of another one is started anew"
    );
}

/// An engine in memory that can lose its answers to orders.
#[derive(Debug)]
struct FakeEngine {
    contents: Mutex<EngineContents>,
    orders: Mutex<Vec<(GuardedOrder, FencingToken)>>,
    lose_answers: bool,
    order_time: Duration,
    answered: AtomicU32,
}

impl FakeEngine {
    fn new(lose_answers: bool) -> Arc<Self> {
        Self::with_order_time(lose_answers, Duration::ZERO)
    }

    fn with_order_time(lose_answers: bool, order_time: Duration) -> Arc<Self> {
        Arc::new(Self {
            contents: Mutex::new(EngineContents {
                models: vec![name("m")],
                cache_total: 1_000,
                ..EngineContents::default()
            }),
            orders: Mutex::default(),
            lose_answers,
            order_time,
            answered: AtomicU32::new(0),
        })
    }
}

impl EnginePort for FakeEngine {
    async fn report(&self) -> Result<EngineContents, PortError> {
        Ok(self.contents.lock().expect("no task panicked").clone())
    }

    async fn order(&self, order: &GuardedOrder, token: FencingToken) -> OrderAnswer {
        self.orders
            .lock()
            .expect("no task panicked")
            .push((order.clone(), token));
        sleep(self.order_time).await;
        self.answered.fetch_add(1, Ordering::SeqCst);
        let mut contents = self.contents.lock().expect("no task panicked");
        if order.expected_count != contents.order_count {
            return OrderAnswer::Conflict;
        }
        contents.order_count += 1;
        match &order.order {
            EngineOrder::LoadAdapter(model, name, version) => contents.adapters.push(HeldAdapter {
                model: model.clone(),
                name: name.clone(),
                version: version.unwrap_or(1),
            }),
            EngineOrder::UnloadAdapter(_, name) => {
                contents.adapters.retain(|held| held.name != *name);
            }
            EngineOrder::LoadModel(model) => contents.models.push(model.clone()),
        }
        if self.lose_answers {
            OrderAnswer::Unanswered
        } else {
            OrderAnswer::Accepted
        }
    }
}

/// A token source that succeeds at the third attempt.
#[derive(Debug, Default)]
struct UnreliableTokens {
    attempts: AtomicU32,
}

impl TokenSource for UnreliableTokens {
    async fn next_token(&self) -> Result<FencingToken, PortError> {
        match self.attempts.fetch_add(1, Ordering::SeqCst) {
            0 | 1 => Err(PortError("the store is away".to_owned())),
            _ => Ok(FencingToken(42)),
        }
    }
}

fn usage(calls: u32) -> UsageReport {
    UsageReport {
        entry: "entry".to_owned(),
        endpoint: name("e"),
        started_ms: None,
        adapters: Vec::new(),
        calls,
        speed: None,
        streams: Default::default(),
        sent_tokens: 0,
    }
}

fn load_request(adapter: &str) -> LoadRequest {
    LoadRequest {
        endpoint: name("e"),
        model: name("m"),
        adapter: Some(name(adapter)),
        version: None,
        adapter_slots: 2,
        fits_memory: true,
        max_wait: Duration::from_secs(3),
    }
}

async fn start_agent(engine: &Arc<FakeEngine>) -> (SocketAddr, impl Sized) {
    let agent = RunningAgent::spawn(engine).await;
    (agent.server.address(), agent)
}

struct RunningAgent {
    core: Arc<AgentCore>,
    server: ServerHandle,
    orders: JoinHandle<()>,
}

impl RunningAgent {
    async fn spawn(engine: &Arc<FakeEngine>) -> Self {
        let core = Arc::new(AgentCore::default());
        let address = "127.0.0.1:0".parse().expect("the address is valid");
        let reader = Arc::new(StoreReader::new(ReaderOptions {
            incarnation: 1,
            config_bound: Duration::from_secs(2),
            drain_bound: Duration::from_secs(2),
        }));
        let server = agent::bind(Arc::clone(&core), reader, address)
            .await
            .expect("loopback has a free port");
        let orders = tokio::spawn(order_loop::run(
            Arc::clone(&core),
            Arc::clone(engine),
            UnreliableTokens::default(),
        ));
        Self {
            core,
            server,
            orders,
        }
    }
}

#[tokio::test]
async fn an_agent_loads_requested_adapters_and_reports_them() {
    let engine = FakeEngine::new(false);
    let (address, _agent) = start_agent(&engine).await;
    let links = AgentLinks::default();
    for adapter in ["a1", "a2", "a3"] {
        let outcome = links
            .prepare(address, usage(0), load_request(adapter))
            .await;
        assert_eq!(outcome, Ok(LoadOutcome::Held), "{adapter}");
        sleep(Duration::from_millis(250)).await;
    }
    let view = links
        .exchange(address, usage(0), u64::MAX, Duration::ZERO)
        .await
        .expect("the agent answers");
    let held: Vec<&str> = view
        .contents
        .adapters
        .iter()
        .map(|held| held.name.as_str())
        .collect();
    assert_eq!(
        held,
        ["a2", "a3"],
        "the least recently used adapter was unloaded"
    );
    let orders = engine.orders.lock().expect("no task panicked");
    assert!(orders.iter().all(|(_, token)| *token == FencingToken(42)));
}

#[tokio::test]
async fn an_order_with_a_lost_answer_is_completed_by_a_report() {
    let engine = FakeEngine::new(true);
    let (address, _agent) = start_agent(&engine).await;
    let links = AgentLinks::default();
    let outcome = links.prepare(address, usage(0), load_request("a1")).await;
    assert_eq!(outcome, Ok(LoadOutcome::Held));
    assert_eq!(engine.orders.lock().expect("no task panicked").len(), 1);
}

#[tokio::test]
async fn an_entry_receives_a_change_at_once() {
    let engine = FakeEngine::new(false);
    let (address, _agent) = start_agent(&engine).await;
    let links = AgentLinks::default();
    let view = links
        .exchange(address, usage(0), u64::MAX, Duration::ZERO)
        .await
        .expect("the agent answers");
    let waiting = links.exchange(address, usage(0), view.revision + 1, Duration::from_secs(3));
    let loading = async {
        sleep(Duration::from_millis(400)).await;
        links.prepare(address, usage(0), load_request("a1")).await
    };
    let started = std::time::Instant::now();
    let (changed, loaded) = tokio::join!(waiting, loading);
    assert_eq!(loaded, Ok(LoadOutcome::Held));
    assert!(changed.is_ok());
    assert!(started.elapsed() < Duration::from_millis(2_000));
}

/// Guards against loads that entries wait for in vain, and an order that is cut, when an agent stops.
#[tokio::test]
async fn a_stopping_agent_hands_back_waiting_loads_and_ends_the_order_in_flight() {
    let engine = FakeEngine::with_order_time(false, Duration::from_millis(200));
    let RunningAgent {
        core,
        server,
        orders,
    } = RunningAgent::spawn(&engine).await;
    let links = AgentLinks::default();
    let load = |adapter| links.prepare(server.address(), usage(0), load_request(adapter));
    let stopping = async {
        while engine.orders.lock().expect("no task panicked").is_empty() {
            sleep(Duration::from_millis(5)).await;
        }
        agent_stop::stop(&core, orders, &server).await
    };
    let started = std::time::Instant::now();
    let (first, second, has_ended) = tokio::join!(load("a1"), load("a2"), stopping);
    assert!(started.elapsed() < Duration::from_secs(2));
    assert_eq!(
        (first, second),
        (Ok(LoadOutcome::Unavailable), Ok(LoadOutcome::Unavailable))
    );
    assert!(has_ended);
    assert_eq!(engine.answered.load(Ordering::SeqCst), 1);
    assert_eq!(engine.orders.lock().expect("no task panicked").len(), 1);
}
