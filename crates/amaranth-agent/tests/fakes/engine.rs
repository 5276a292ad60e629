//! A fake engine that records every order and completion.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use amaranth_core::ids::{AdapterRef, FencingToken, Incarnation, RequestId};
use amaranth_ports::engine::{
    CacheEvent, EngineAnswer, EngineCall, EngineInventory, EngineLoadReport, EnginePort, EngineRole,
};
use amaranth_ports::{PortError, PortResult};
use async_trait::async_trait;
use bytes::Bytes;
use futures::stream::{self, StreamExt};
use tokio::sync::watch;
use tokio::time::sleep;

/// The faults that a test can switch on at an engine.
#[derive(Debug, Clone, Default)]
pub struct EngineFaults {
    /// The model name in every answer, instead of the requested one.
    pub serves_as: Option<String>,
    /// A chunk number and the model name that chunks contain from this chunk on.
    pub echoes_from: Option<(u64, String)>,
    /// Whether loads are refused.
    pub refuses_loads: bool,
    /// Whether orders take effect but are never answered.
    pub loses_order_answers: bool,
    /// The delay after which an inventory is returned, as it was before the delay.
    pub inventory_delay: Duration,
    /// The chunk before which every stream breaks.
    pub breaks_at: Option<u64>,
    /// The chunk before which the connection of one stream breaks while the engine runs on.
    pub drops_connection_at: Option<u64>,
    /// The chunk before which the connection of one stream goes silent while the engine runs on.
    pub falls_silent_at: Option<u64>,
    /// Whether no call is answered.
    pub down: bool,
}

/// An order that took effect at the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineOrder {
    /// A load with its fencing token.
    Load(AdapterRef, FencingToken),
    /// An unload with its fencing token.
    Unload(AdapterRef, FencingToken),
    /// The cancellation of a completion.
    Cancel(RequestId),
}

/// The options of a fake engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// The number of adapter slots.
    pub adapter_slots: u16,
    /// The maximum number of requests in the batch.
    pub batch_slots: u16,
    /// The number of chunks in every answer.
    pub chunks: u64,
    /// The time between two chunks.
    pub chunk_time: Duration,
    /// The duration of a load.
    pub load_time: Duration,
    /// Whether orders with old fencing tokens are refused.
    pub checks_fencing: bool,
    /// Whether streams can be resumed.
    pub resumes: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            adapter_slots: 2,
            batch_slots: 4,
            chunks: 5,
            chunk_time: Duration::from_millis(10),
            load_time: Duration::from_millis(250),
            checks_fencing: true,
            resumes: false,
        }
    }
}

#[derive(Debug)]
struct EngineState {
    faults: EngineFaults,
    resident: Vec<AdapterRef>,
    highest: FencingToken,
    orders: Vec<EngineOrder>,
    calls: Vec<RequestId>,
    running: HashMap<RequestId, String>,
    /// Adapters that were unloaded while a completion was running on them.
    evicted_in_flight: Vec<AdapterRef>,
    order_times: Vec<tokio::time::Instant>,
}

/// An engine in memory.
#[derive(Debug)]
pub struct FakeEngine {
    options: EngineOptions,
    state: Mutex<EngineState>,
    incarnation: watch::Sender<u64>,
}

impl FakeEngine {
    /// Creates an empty engine.
    pub fn new(options: EngineOptions) -> Self {
        Self {
            options,
            state: Mutex::new(EngineState {
                faults: EngineFaults::default(),
                resident: Vec::new(),
                highest: FencingToken(0),
                orders: Vec::new(),
                calls: Vec::new(),
                running: HashMap::new(),
                evicted_in_flight: Vec::new(),
                order_times: Vec::new(),
            }),
            incarnation: watch::channel(1).0,
        }
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.state.lock().unwrap().faults = faults;
    }

    /// Restarts the engine empty, which breaks every stream.
    pub fn restart(&self) {
        self.state.lock().unwrap().resident.clear();
        self.incarnation
            .send_modify(|incarnation| *incarnation += 1);
    }

    /// Returns every order that took effect.
    pub fn orders(&self) -> Vec<EngineOrder> {
        self.state.lock().unwrap().orders.clone()
    }

    /// Returns the time at which each load or unload took effect.
    pub fn order_times(&self) -> Vec<tokio::time::Instant> {
        self.state.lock().unwrap().order_times.clone()
    }

    /// Returns the ids of the completions that were started.
    pub fn calls(&self) -> Vec<RequestId> {
        self.state.lock().unwrap().calls.clone()
    }

    /// Returns the number of running completions.
    pub fn running(&self) -> usize {
        self.state.lock().unwrap().running.len()
    }

    /// Returns the adapters that were unloaded while a completion was running on them.
    pub fn evicted_in_flight(&self) -> Vec<AdapterRef> {
        self.state.lock().unwrap().evicted_in_flight.clone()
    }

    /// Returns the resident adapters.
    pub fn resident(&self) -> Vec<AdapterRef> {
        self.state.lock().unwrap().resident.clone()
    }

    /// Makes an adapter resident without an order.
    pub fn make_resident(&self, adapter: AdapterRef) {
        self.state.lock().unwrap().resident.push(adapter);
    }

    /// Applies a load order with `token`, as if another agent had sent it.
    pub fn order_as(&self, token: FencingToken, load: &AdapterRef) -> PortResult<()> {
        self.apply_order(token, EngineOrder::Load(load.clone(), token))
    }

    fn apply_order(&self, token: FencingToken, order: EngineOrder) -> PortResult<()> {
        let mut state = self.state.lock().unwrap();
        if self.options.checks_fencing && token < state.highest {
            return Err(PortError::Fenced(format!("{} is newer", state.highest)));
        }
        state.highest = state.highest.max(token);
        match &order {
            EngineOrder::Load(adapter, _) => {
                if state.resident.len() >= usize::from(self.options.adapter_slots) {
                    return Err(PortError::Refused("no slot is free".to_owned()));
                }
                state.resident.push(adapter.clone());
            }
            EngineOrder::Unload(adapter, _) => {
                let name = adapter.to_string();
                if state.running.values().any(|running| *running == name) {
                    state.evicted_in_flight.push(adapter.clone());
                }
                state.resident.retain(|known| known != adapter);
            }
            EngineOrder::Cancel(_) => {}
        }
        state.orders.push(order);
        state.order_times.push(tokio::time::Instant::now());
        Ok(())
    }

    async fn answer_order(&self) {
        if self.faults().loses_order_answers {
            std::future::pending::<()>().await;
        }
    }

    fn faults(&self) -> EngineFaults {
        self.state.lock().unwrap().faults.clone()
    }

    fn check_up(&self) -> PortResult<()> {
        if self.faults().down {
            return Err(PortError::Unreachable("the engine is down".to_owned()));
        }
        Ok(())
    }

    /// Streams the chunks of a completion from `from` on.
    fn events(self: &std::sync::Arc<Self>, id: RequestId, name: &str, from: u64) -> EngineAnswer {
        let faults = self.faults();
        let served_model = faults.serves_as.unwrap_or_else(|| name.to_owned());
        let engine = self.clone();
        let incarnation = *self.incarnation.borrow();
        let name = served_model.clone();
        let events = stream::unfold(from, move |number| {
            let engine = engine.clone();
            let name = name.clone();
            async move { engine.next_event(id, &name, number, incarnation).await }
        });
        EngineAnswer {
            served_model,
            events: events.boxed(),
        }
    }

    async fn next_event(
        &self,
        id: RequestId,
        name: &str,
        number: u64,
        incarnation: u64,
    ) -> Option<(PortResult<Bytes>, u64)> {
        if number == u64::MAX {
            return None;
        }
        let mut incarnations = self.incarnation.subscribe();
        tokio::select! {
            () = sleep(self.options.chunk_time) => {}
            _ = incarnations.wait_for(|current| *current != incarnation) => {}
        }
        let faults = self.faults();
        let broken = faults.breaks_at == Some(number)
            || *self.incarnation.borrow() != incarnation
            || faults.down;
        if broken {
            self.state.lock().unwrap().running.remove(&id);
            let error = PortError::Uncertain("the stream broke".to_owned());
            return Some((Err(error), u64::MAX));
        }
        if faults.drops_connection_at == Some(number) {
            self.state.lock().unwrap().faults.drops_connection_at = None;
            let error = PortError::Uncertain("the connection was lost".to_owned());
            return Some((Err(error), u64::MAX));
        }
        if faults.falls_silent_at == Some(number) {
            self.state.lock().unwrap().faults.falls_silent_at = None;
            return std::future::pending().await;
        }
        if number >= self.options.chunks || !self.state.lock().unwrap().running.contains_key(&id) {
            self.state.lock().unwrap().running.remove(&id);
            return None;
        }
        let model = match faults.echoes_from {
            Some((first, other)) if number >= first => other,
            _ => name.to_owned(),
        };
        Some((Ok(chunk(&model, id, number)), number + 1))
    }
}

/// Returns the chunk that a fake engine sends.
pub fn chunk(model: &str, id: RequestId, number: u64) -> Bytes {
    Bytes::from(format!(
        r#"{{"model":"{model}","choices":[{{"text":"{id}/{number} "}}]}}"#
    ))
}

/// The engine port of a shared fake engine.
#[derive(Debug, Clone)]
pub struct FakeEnginePort(pub std::sync::Arc<FakeEngine>);

#[async_trait]
impl EnginePort for FakeEnginePort {
    async fn inventory(&self) -> PortResult<EngineInventory> {
        self.0.check_up()?;
        let inventory = EngineInventory {
            incarnation: Incarnation(*self.0.incarnation.borrow()),
            bases: vec!["tin-llm".parse().unwrap()],
            adapters: self.0.resident(),
            adapter_slots: self.0.options.adapter_slots,
            batch_slots: self.0.options.batch_slots,
            role: EngineRole::Mixed,
            checks_fencing: self.0.options.checks_fencing,
        };
        sleep(self.0.faults().inventory_delay).await;
        Ok(inventory)
    }

    async fn load_report(&self) -> PortResult<EngineLoadReport> {
        self.0.check_up()?;
        Ok(EngineLoadReport {
            running: u16::try_from(self.0.running()).unwrap(),
            ..EngineLoadReport::default()
        })
    }

    async fn cache_events(&self, _after: u64) -> PortResult<Vec<CacheEvent>> {
        self.0.check_up()?;
        Ok(Vec::new())
    }

    async fn load_adapter(
        &self,
        adapter: &AdapterRef,
        token: FencingToken,
        _timeout: Duration,
    ) -> PortResult<()> {
        self.0.check_up()?;
        if self.0.faults().refuses_loads {
            return Err(PortError::Refused(
                "the store has no such weights".to_owned(),
            ));
        }
        sleep(self.0.options.load_time).await;
        self.0
            .apply_order(token, EngineOrder::Load(adapter.clone(), token))?;
        self.0.answer_order().await;
        Ok(())
    }

    async fn unload_adapter(
        &self,
        adapter: &AdapterRef,
        token: FencingToken,
        _timeout: Duration,
    ) -> PortResult<()> {
        self.0.check_up()?;
        self.0
            .apply_order(token, EngineOrder::Unload(adapter.clone(), token))?;
        self.0.answer_order().await;
        Ok(())
    }

    async fn set_role(
        &self,
        _role: EngineRole,
        _token: FencingToken,
        _timeout: Duration,
    ) -> PortResult<()> {
        Ok(())
    }

    async fn complete(&self, call: EngineCall) -> PortResult<EngineAnswer> {
        self.0.check_up()?;
        let body: serde_json::Value = serde_json::from_slice(&call.body).unwrap();
        let name = body["model"].as_str().unwrap().to_owned();
        let resident = self
            .0
            .resident()
            .iter()
            .any(|adapter| adapter.to_string() == name);
        if !resident && name != "tin-llm" {
            return Err(PortError::Refused(format!("{name} is not resident")));
        }
        let mut state = self.0.state.lock().unwrap();
        state.calls.push(call.id);
        state.running.insert(call.id, name.clone());
        drop(state);
        Ok(self.0.events(call.id, &name, 0))
    }

    async fn resume(&self, id: RequestId, from: u64) -> PortResult<EngineAnswer> {
        self.0.check_up()?;
        let name = self.0.state.lock().unwrap().running.get(&id).cloned();
        match name {
            Some(name) if self.0.options.resumes => Ok(self.0.events(id, &name, from)),
            _ => Err(PortError::Refused(format!("request {id} is not known"))),
        }
    }

    async fn cancel(&self, id: RequestId) -> PortResult<()> {
        self.0.check_up()?;
        let mut state = self.0.state.lock().unwrap();
        state.running.remove(&id);
        state.orders.push(EngineOrder::Cancel(id));
        Ok(())
    }
}
