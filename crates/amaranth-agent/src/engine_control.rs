//! The control task of one engine: the only writer of its plan.
//!
//! The task runs on the control thread. It hands events to the planner and spawns a task of the
//! traffic runtime for every command; those tasks report back with events.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use amaranth_core::errors::Error;
use amaranth_core::ids::{AdapterRef, EndpointId, FencingToken, RequestId};
use amaranth_core::membership::{EndpointLoad, EndpointOffer, EndpointReport};
use amaranth_core::request::CompletionRequest;
use amaranth_core::time::Timestamp;
use amaranth_placement::planner::{
    EnginePlanner, PlannedRequest, PlannerCommand, PlannerEvent, PlannerOptions,
};
use amaranth_ports::engine::{EngineInventory, EnginePort};
use amaranth_ports::{PortError, PortResult};
use arc_swap::ArcSwap;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{interval, timeout};

use crate::answer_store::AnswerSlot;
use crate::clock::AgentClock;
use crate::decision_log::DecisionLog;
use crate::engine_traffic::{self, DispatchEnd, EngineDispatch};
use crate::load_permits::LoadPermits;
use crate::settings::AgentLimits;
use crate::task_group::TaskGroup;

/// Events that wait for the control task of one engine before senders are held back.
const EVENT_QUEUE: usize = 4_096;

/// Time between two looks at deadlines and delayed loads while something waits.
const TICK: Duration = Duration::from_millis(50);

/// Events that are handled before the report is published again.
const EVENTS_PER_REPORT: usize = 64;

/// What the control task of an engine is told.
pub enum EngineEvent {
    /// An entry sent a request, whose answer goes into the slot.
    Arrived(Box<CompletionRequest>, Arc<AnswerSlot>),
    /// A dispatched request left the engine.
    Ended(RequestId, DispatchEnd),
    /// Nobody waits for the request any more.
    Cancelled(RequestId),
    /// A load may start.
    PermitGranted(AdapterRef),
    /// A load has to wait.
    PermitDelayed(AdapterRef, Duration),
    /// The answer to a load order came or was given up.
    LoadEnded(AdapterRef, PortResult<()>),
    /// The answer to an unload order came or was given up.
    UnloadEnded(AdapterRef, PortResult<()>),
    /// The engine was read. The number is that of the orders when the read began.
    Inventory(u64, PortResult<EngineInventory>),
}

/// What every engine of the agent shares.
pub struct EngineContext {
    /// The clock.
    pub clock: AgentClock,
    /// Where decisions are kept.
    pub decisions: Arc<DecisionLog>,
    /// Asks for leave to load.
    pub permits: Arc<LoadPermits>,
    /// Told when a report changed in a way that entries should learn at once.
    pub changed: Arc<Notify>,
    /// The tasks that carry out commands.
    pub traffic: TaskGroup,
    /// The token of the lease that is held now.
    pub lease: watch::Receiver<Option<FencingToken>>,
    /// Bounds of memory and time.
    pub limits: AgentLimits,
}

/// The way to a running control task.
#[derive(Debug, Clone)]
pub struct EngineHandle {
    events: mpsc::Sender<EngineEvent>,
    report: Arc<ArcSwap<EndpointReport>>,
}

impl EngineHandle {
    /// Tells the control task of `event`.
    pub async fn send(&self, event: EngineEvent) {
        // A closed queue means that the agent is ending, and then nobody waits for the event.
        let _ = self.events.send(event).await;
    }

    /// Returns the engine's latest report.
    pub fn report(&self) -> Arc<EndpointReport> {
        self.report.load_full()
    }
}

/// A request that is queued or running.
struct HeldRequest {
    request: Arc<CompletionRequest>,
    slot: Arc<AnswerSlot>,
    arrived: Timestamp,
    deadline: Timestamp,
    dispatched: bool,
}

/// The control state of one engine.
struct EngineControl {
    endpoint: EndpointId,
    port: Arc<dyn EnginePort>,
    context: Arc<EngineContext>,
    handle: EngineHandle,
    planner: EnginePlanner,
    held: HashMap<RequestId, HeldRequest>,
    inventory: Option<Arc<EngineInventory>>,
    /// Orders begun or ended so far: an inventory that was read across one of them is stale.
    orders: u64,
    orders_open: usize,
    reading: bool,
}

/// Spawns the control task of one engine on `control`.
pub fn spawn(
    control: &TaskGroup,
    endpoint: EndpointId,
    port: Arc<dyn EnginePort>,
    context: Arc<EngineContext>,
) -> EngineHandle {
    let (sender, events) = mpsc::channel(EVENT_QUEUE);
    let report = EndpointReport {
        endpoint: endpoint.clone(),
        offer: EndpointOffer::Engine {
            bases: smallvec::SmallVec::new(),
            adapter_slots: 0,
            batch_slots: 0,
        },
        ready: false,
        load: EndpointLoad::default(),
        resident: Vec::new(),
        loading: Vec::new(),
    };
    let handle = EngineHandle {
        events: sender,
        report: Arc::new(ArcSwap::from_pointee(report)),
    };
    let engine = EngineControl {
        endpoint,
        port,
        planner: EnginePlanner::open(PlannerOptions {
            queue_limit: context.limits.queue,
            ..PlannerOptions::default()
        }),
        context,
        handle: handle.clone(),
        held: HashMap::new(),
        inventory: None,
        orders: 0,
        orders_open: 0,
        reading: false,
    };
    control.spawn(engine.run(events));
    handle
}

impl EngineControl {
    async fn run(mut self, mut events: mpsc::Receiver<EngineEvent>) {
        let mut lease = self.context.lease.clone();
        let mut inventories = interval(self.context.limits.inventory_interval);
        let mut ticks = interval(TICK);
        let mut batch = Vec::with_capacity(EVENTS_PER_REPORT);
        loop {
            tokio::select! {
                count = events.recv_many(&mut batch, EVENTS_PER_REPORT) => {
                    if count == 0 {
                        return;
                    }
                    for event in batch.drain(..) {
                        self.handle_event(event);
                    }
                }
                _ = ticks.tick(), if self.needs_ticks() => self.plan(PlannerEvent::Tick),
                _ = inventories.tick() => self.read_inventory(),
                Ok(()) = lease.changed() => self.read_inventory(),
            }
            self.publish();
        }
    }

    fn needs_ticks(&self) -> bool {
        self.planner.queued() > 0
    }

    fn handle_event(&mut self, event: EngineEvent) {
        match event {
            EngineEvent::Arrived(request, slot) => self.admit(*request, slot),
            EngineEvent::Ended(id, end) => self.end(id, end),
            EngineEvent::Cancelled(id) => self.withdraw(id),
            EngineEvent::PermitGranted(adapter) => self.plan(PlannerEvent::PermitGranted(adapter)),
            EngineEvent::PermitDelayed(adapter, delay) => {
                let until = self.context.clock.now() + delay;
                self.plan(PlannerEvent::PermitDelayed(adapter, until));
            }
            EngineEvent::LoadEnded(adapter, result) => self.end_load(adapter, result),
            EngineEvent::UnloadEnded(adapter, result) => self.end_unload(adapter, result),
            EngineEvent::Inventory(orders, result) => self.take_inventory(orders, result),
        }
    }

    fn admit(&mut self, request: CompletionRequest, slot: Arc<AnswerSlot>) {
        if slot.cancelled().is_cancelled() {
            return;
        }
        let now = self.context.clock.now();
        let planned = PlannedRequest {
            id: request.id,
            target: request.target.clone(),
            deadline: now + request.time_left,
            priority: request.priority,
            prompt_tokens: request.prompt_tokens,
            max_tokens: request.max_tokens,
        };
        let held = HeldRequest {
            request: Arc::new(request),
            slot,
            arrived: now,
            deadline: planned.deadline,
            dispatched: false,
        };
        self.held.insert(planned.id, held);
        self.plan(PlannerEvent::Arrived(planned));
    }

    fn plan(&mut self, event: PlannerEvent) {
        let now = self.context.clock.now();
        for command in self.planner.handle(now, event) {
            self.execute(command);
        }
    }

    fn execute(&mut self, command: PlannerCommand) {
        match command {
            PlannerCommand::Dispatch(id) => self.dispatch(id),
            PlannerCommand::RequestPermit(adapter, saved) => self.request_permit(adapter, saved),
            PlannerCommand::ReturnPermit(adapter) => self.return_permit(adapter),
            PlannerCommand::Load(adapter) => self.load(adapter),
            PlannerCommand::Unload(adapter) => self.unload(adapter),
            PlannerCommand::Refuse(id, error) => self.refuse(id, error),
        }
    }

    fn refuse(&mut self, id: RequestId, error: Error) {
        let Some(held) = self.held.remove(&id) else {
            return;
        };
        metrics::counter!("amaranth_agent_refusals_total", "kind" => <&str>::from(error.kind))
            .increment(1);
        self.decide(format!(
            "event=request_refused request={id} target={} kind={}",
            held.request.target, error.kind
        ));
        held.slot.fail(error);
    }

    fn dispatch(&mut self, id: RequestId) {
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        held.dispatched = true;
        let stall = self.context.clock.now().since(held.arrived);
        metrics::histogram!("amaranth_agent_load_stall_seconds").record(stall.as_secs_f64());
        let dispatch = EngineDispatch {
            port: self.port.clone(),
            request: held.request.clone(),
            slot: held.slot.clone(),
            inventory: self.inventory.clone(),
            deadline: self.context.clock.instant(held.deadline),
        };
        let handle = self.handle.clone();
        self.context.traffic.spawn(async move {
            let end = engine_traffic::run(dispatch).await;
            handle.send(EngineEvent::Ended(id, end)).await;
        });
    }

    fn end(&mut self, id: RequestId, end: DispatchEnd) {
        if matches!(end, DispatchEnd::NotResident) {
            self.read_inventory();
        }
        self.held.remove(&id);
        self.plan(PlannerEvent::Finished(id));
    }

    /// Takes a request out of the queue. One that was dispatched ends by its own task, which
    /// learns from its slot that nobody waits.
    fn withdraw(&mut self, id: RequestId) {
        if self.held.get(&id).is_some_and(|held| !held.dispatched) {
            self.held.remove(&id);
            self.plan(PlannerEvent::Withdrawn(id));
        }
    }

    fn request_permit(&self, adapter: AdapterRef, saved_wait_ms: u64) {
        let handle = self.handle.clone();
        let endpoint = self.endpoint.clone();
        let permits = self.context.permits.clone();
        self.context.traffic.spawn(async move {
            permits.acquire(&endpoint, &adapter, saved_wait_ms).await;
            handle.send(EngineEvent::PermitGranted(adapter)).await;
        });
    }

    /// Gives a permit back whose load is no longer wanted.
    fn return_permit(&self, adapter: AdapterRef) {
        let endpoint = self.endpoint.clone();
        let permits = self.context.permits.clone();
        self.context
            .traffic
            .spawn(async move { permits.release(&endpoint, &adapter, true).await });
    }

    fn load(&mut self, adapter: AdapterRef) {
        self.begin_order();
        let port = self.port.clone();
        let handle = self.handle.clone();
        let limit = self.context.limits.order_timeout;
        let token = *self.context.lease.borrow();
        self.decide(format!("event=load_ordered adapter={adapter}"));
        self.context.traffic.spawn(async move {
            let order = async {
                match token {
                    Some(token) => port.load_adapter(&adapter, token, limit).await,
                    None => Err(PortError::Refused("no lease is held".to_owned())),
                }
            };
            let result = timeout(limit, order)
                .await
                .unwrap_or_else(|_| Err(given_up()));
            handle.send(EngineEvent::LoadEnded(adapter, result)).await;
        });
    }

    fn unload(&mut self, adapter: AdapterRef) {
        self.begin_order();
        let port = self.port.clone();
        let handle = self.handle.clone();
        let limit = self.context.limits.order_timeout;
        let token = *self.context.lease.borrow();
        self.decide(format!("event=unload_ordered adapter={adapter}"));
        self.context.traffic.spawn(async move {
            let order = async {
                match token {
                    Some(token) => port.unload_adapter(&adapter, token, limit).await,
                    None => Err(PortError::Refused("no lease is held".to_owned())),
                }
            };
            let result = timeout(limit, order)
                .await
                .unwrap_or_else(|_| Err(given_up()));
            handle.send(EngineEvent::UnloadEnded(adapter, result)).await;
        });
    }

    fn end_load(&mut self, adapter: AdapterRef, result: PortResult<()>) {
        self.end_order();
        let permits = self.context.permits.clone();
        let endpoint = self.endpoint.clone();
        let returned = adapter.clone();
        let loaded = result.is_ok();
        self.context
            .traffic
            .spawn(async move { permits.release(&endpoint, &returned, loaded).await });
        match result {
            Ok(()) => {
                metrics::counter!("amaranth_agent_loads_total", "outcome" => "loaded").increment(1);
                self.decide(format!("event=adapter_loaded adapter={adapter}"));
                self.note_resident(&adapter, true);
                self.plan(PlannerEvent::Loaded(adapter));
            }
            Err(error) => {
                metrics::counter!("amaranth_agent_loads_total", "outcome" => "failed").increment(1);
                self.decide(format!(
                    "event=load_failed adapter={adapter} error={:?}",
                    error.to_string()
                ));
                self.plan(PlannerEvent::LoadFailed(adapter));
                self.read_inventory();
            }
        }
    }

    fn end_unload(&mut self, adapter: AdapterRef, result: PortResult<()>) {
        self.end_order();
        match result {
            Ok(()) => {
                metrics::counter!("amaranth_agent_evictions_total").increment(1);
                self.decide(format!("event=adapter_unloaded adapter={adapter}"));
                self.note_resident(&adapter, false);
                self.plan(PlannerEvent::Unloaded(adapter));
            }
            Err(error) => {
                self.decide(format!(
                    "event=unload_failed adapter={adapter} error={:?}",
                    error.to_string()
                ));
                self.plan(PlannerEvent::UnloadFailed(adapter));
                self.read_inventory();
            }
        }
    }

    fn begin_order(&mut self) {
        self.orders += 1;
        self.orders_open += 1;
    }

    fn end_order(&mut self) {
        self.orders += 1;
        self.orders_open -= 1;
    }

    /// Keeps the resident list in step with an order that the engine confirmed.
    fn note_resident(&mut self, adapter: &AdapterRef, resident: bool) {
        let Some(inventory) = &mut self.inventory else {
            return;
        };
        let adapters = &mut Arc::make_mut(inventory).adapters;
        adapters.retain(|held| held != adapter);
        if resident {
            adapters.push(adapter.clone());
        }
        self.context.changed.notify_one();
    }

    fn read_inventory(&mut self) {
        if self.reading {
            return;
        }
        self.reading = true;
        let port = self.port.clone();
        let handle = self.handle.clone();
        let orders = self.orders;
        let limit = self.context.limits.order_timeout;
        self.context.traffic.spawn(async move {
            let read = timeout(limit, port.inventory()).await;
            let result = read.unwrap_or_else(|_| Err(given_up()));
            handle.send(EngineEvent::Inventory(orders, result)).await;
        });
    }

    fn take_inventory(&mut self, orders: u64, result: PortResult<EngineInventory>) {
        self.reading = false;
        match result {
            Ok(inventory) if orders == self.orders && self.orders_open == 0 => {
                self.adopt(inventory);
            }
            // Read across an order, it may show the engine before or after it.
            Ok(_) => {}
            Err(error) => {
                if self.inventory.take().is_some() {
                    log::warn!(
                        "event=engine_lost endpoint={} error={:?}",
                        self.endpoint,
                        error.to_string()
                    );
                    self.context.changed.notify_one();
                }
            }
        }
    }

    fn adopt(&mut self, inventory: EngineInventory) {
        if self.inventory.as_deref() == Some(&inventory) {
            return;
        }
        let adapters = inventory.adapters.clone();
        self.inventory = Some(Arc::new(inventory));
        self.plan(PlannerEvent::Inventory(adapters));
        self.context.changed.notify_one();
    }

    fn publish(&self) {
        let Some(inventory) = &self.inventory else {
            let mut report = EndpointReport::clone(&self.handle.report());
            report.ready = false;
            self.handle.report.store(Arc::new(report));
            return;
        };
        let count = |number: usize| u16::try_from(number).unwrap_or(u16::MAX);
        let loading: Vec<AdapterRef> = self.planner.loading().cloned().collect();
        let report = EndpointReport {
            endpoint: self.endpoint.clone(),
            offer: EndpointOffer::Engine {
                bases: inventory.bases.iter().cloned().collect(),
                adapter_slots: inventory.adapter_slots,
                batch_slots: inventory.batch_slots,
            },
            ready: self.context.lease.borrow().is_some(),
            load: EndpointLoad {
                in_flight: count(self.planner.in_flight()),
                queued: count(self.planner.queued()),
                loads_pending: count(loading.len()),
            },
            resident: self.planner.resident().cloned().collect(),
            loading,
        };
        self.handle.report.store(Arc::new(report));
    }

    fn decide(&self, line: String) {
        self.context
            .decisions
            .record(format!("{line} endpoint={}", self.endpoint));
    }
}

fn given_up() -> PortError {
    PortError::Uncertain("no answer within the order timeout".to_owned())
}
