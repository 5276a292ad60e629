//! Loads: shared by the calls that wait, and asked of agents over their connection.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_dispatch::adapter_manager::{EngineOrder, GuardedOrder, OrderAnswer};
use amaranth_dispatch::engine_view::{
    EngineContents, HeldAdapter, LoadOutcome, LoadRequest, UsageReport,
};
use amaranth_relay::agent::{self, AgentCore};
use amaranth_relay::agent_link::AgentLinks;
use amaranth_relay::engine_port::{EnginePort, FencingToken, PortError, TokenSource};
use amaranth_relay::load_waits::{LoadKey, LoadWaits};
use amaranth_relay::order_loop;
use tokio::time::sleep;

fn name<Name: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> Name {
    text.parse().expect("a name")
}

#[tokio::test]
async fn calls_for_one_adapter_share_a_load() {
    let waits = LoadWaits::default();
    let started = Arc::new(AtomicU32::new(0));
    let key = LoadKey {
        endpoint: name("e"),
        model: name("m"),
        adapter: Some(name("a")),
        version: None,
    };
    let wait = || {
        let (waits, started, key) = (waits.clone(), Arc::clone(&started), key.clone());
        async move {
            waits
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
        "a later load is a new one"
    );
}

/// An engine in memory that takes time to load and can lose its answers.
#[derive(Debug)]
struct FakeEngine {
    contents: Mutex<EngineContents>,
    orders: Mutex<Vec<(GuardedOrder, FencingToken)>>,
    lose_answers: bool,
}

impl FakeEngine {
    fn open(lose_answers: bool) -> Arc<Self> {
        Arc::new(Self {
            contents: Mutex::new(EngineContents {
                models: vec![name("m")],
                cache_total: 1_000,
                ..EngineContents::default()
            }),
            orders: Mutex::default(),
            lose_answers,
        })
    }
}

impl EnginePort for FakeEngine {
    async fn report(&self) -> Result<EngineContents, PortError> {
        Ok(self.contents.lock().expect("no panic").clone())
    }

    async fn order(&self, order: &GuardedOrder, token: FencingToken) -> OrderAnswer {
        let mut contents = self.contents.lock().expect("no panic");
        self.orders
            .lock()
            .expect("no panic")
            .push((order.clone(), token));
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

/// Gives a token at the third try.
#[derive(Debug, Default)]
struct SlowTokens {
    tries: AtomicU32,
}

impl TokenSource for SlowTokens {
    async fn next_token(&self) -> Result<FencingToken, PortError> {
        match self.tries.fetch_add(1, Ordering::SeqCst) {
            0 | 1 => Err(PortError("the store is away".to_owned())),
            _ => Ok(FencingToken(42)),
        }
    }
}

fn usage(uses: u32) -> UsageReport {
    UsageReport {
        entry: "entry".to_owned(),
        endpoint: name("e"),
        started_ms: None,
        adapters: Vec::new(),
        calls: uses,
    }
}

fn wish(adapter: &str) -> LoadRequest {
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

async fn agent_of(engine: &Arc<FakeEngine>) -> (SocketAddr, impl Sized) {
    let core = Arc::new(AgentCore::default());
    let address = "127.0.0.1:0".parse().expect("an address");
    let server = agent::bind(Arc::clone(&core), address)
        .await
        .expect("a free port");
    let orders = tokio::spawn(order_loop::run(
        core,
        Arc::clone(engine),
        SlowTokens::default(),
    ));
    (server.address(), (server, orders))
}

#[tokio::test]
async fn an_agent_loads_what_an_entry_wishes_and_tells_it() {
    let engine = FakeEngine::open(false);
    let (address, _agent) = agent_of(&engine).await;
    let links = AgentLinks::default();
    for adapter in ["a1", "a2", "a3"] {
        let outcome = links.prepare(address, usage(0), wish(adapter)).await;
        assert_eq!(outcome, Ok(LoadOutcome::Held), "{adapter}");
        sleep(Duration::from_millis(250)).await;
    }
    let view = links
        .exchange(address, usage(0), u64::MAX, Duration::ZERO)
        .await
        .expect("a view");
    let held: Vec<&str> = view
        .contents
        .adapters
        .iter()
        .map(|held| held.name.as_str())
        .collect();
    assert_eq!(held, ["a2", "a3"], "the oldest made way");
    let orders = engine.orders.lock().expect("no panic");
    assert!(orders.iter().all(|(_, token)| *token == FencingToken(42)));
}

#[tokio::test]
async fn an_order_whose_answer_is_lost_is_settled_by_the_report() {
    let engine = FakeEngine::open(true);
    let (address, _agent) = agent_of(&engine).await;
    let links = AgentLinks::default();
    let outcome = links.prepare(address, usage(0), wish("a1")).await;
    assert_eq!(outcome, Ok(LoadOutcome::Held));
    assert_eq!(engine.orders.lock().expect("no panic").len(), 1);
}

#[tokio::test]
async fn an_entry_learns_of_a_change_as_it_happens() {
    let engine = FakeEngine::open(false);
    let (address, _agent) = agent_of(&engine).await;
    let links = AgentLinks::default();
    let view = links
        .exchange(address, usage(0), u64::MAX, Duration::ZERO)
        .await
        .expect("a view");
    let waiting = links.exchange(address, usage(0), view.revision + 1, Duration::from_secs(3));
    let loading = async {
        sleep(Duration::from_millis(400)).await;
        links.prepare(address, usage(0), wish("a1")).await
    };
    let started = std::time::Instant::now();
    let (changed, loaded) = tokio::join!(waiting, loading);
    assert_eq!(loaded, Ok(LoadOutcome::Held));
    assert!(changed.is_ok());
    assert!(started.elapsed() < Duration::from_millis(2_000));
}
