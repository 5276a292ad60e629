//! The control task of one engine: the only writer of its plan.
//!
//! The task runs on the control thread. It hands events to the planner and spawns a task of the
//! traffic runtime for every command; those tasks report back with events.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use amaranth_control::lease::keeper::LeaseEvent;
use amaranth_control::lease::stage::OrderPermit;
use amaranth_control::pins::PinBook;
use amaranth_core::errors::{Error, ErrorKind};
use amaranth_core::ids::{AdapterRef, EndpointId, RequestId};
use amaranth_core::membership::{EndpointLoad, EndpointOffer, EndpointReport};
use amaranth_core::request::{CompletionRequest, ModelTarget};
use amaranth_core::time::Timestamp;
use amaranth_placement::planner::{
    EnginePlanner, PlannedRequest, PlannerCommand, PlannerEvent, PlannerOptions,
};
use amaranth_ports::engine::{EngineInventory, EnginePort};
use amaranth_ports::{PortError, PortResult};
use arc_swap::ArcSwap;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::{interval, timeout};

use crate::answer_store::AnswerSlot;
use crate::clock::AgentClock;
use crate::decision_log::DecisionLog;
use crate::engine_orders::EngineOrders;
use crate::engine_traffic::{self, DispatchEnd, EngineDispatch};
use crate::lease_keeper::LeaseHandle;
use crate::load_permits::LoadPermits;
use crate::settings::AgentLimits;
use crate::task_group::TaskGroup;

/// Events that wait for the control task of one engine before senders are held back.
const EVENT_QUEUE: usize = 4_096;

/// Time between two looks at deadlines and delayed loads while something waits.
const TICK: Duration = Duration::from_millis(50);

/// Events that are handled before the report is published again.
const EVENTS_PER_REPORT: usize = 64;

/// Times that a request is dispatched before its answer fails.
const DISPATCH_LIMIT: u32 = 3;

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
    /// The agent leaves: no further order is sent. The sender is dropped when none is in transit.
    Quiesce(oneshot::Sender<()>),
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
    /// The leases.
    pub lease: LeaseHandle,
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

    /// Returns when no order is in transit and none will be sent any more.
    pub async fn quiesce(&self) {
        let (sender, done) = oneshot::channel();
        self.send(EngineEvent::Quiesce(sender)).await;
        // The sender is dropped, never used.
        let _ = done.await;
    }

    /// Returns the engine's latest report.
    pub fn report(&self) -> Arc<EndpointReport> {
        self.report.load_full()
    }
}

/// A request that waits or runs.
struct HeldRequest {
    request: Arc<CompletionRequest>,
    slot: Arc<AnswerSlot>,
    arrived: Timestamp,
    deadline: Timestamp,
    dispatches: u32,
    stage: HeldStage,
}

/// Where a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HeldStage {
    /// In the planner's queue.
    Queued,
    /// On the engine.
    Dispatched,
    /// Waiting until the engine was read again, after it turned out not to be as planned.
    Stalled,
}

/// The control state of one engine.
struct EngineControl {
    endpoint: EndpointId,
    orders: EngineOrders,
    context: Arc<EngineContext>,
    handle: EngineHandle,
    planner: EnginePlanner,
    pins: PinBook,
    held: HashMap<RequestId, HeldRequest>,
    stalled: Vec<RequestId>,
    inventory: Option<Arc<EngineInventory>>,
    /// Orders begun or ended so far: an inventory that was read across one of them is stale.
    order_count: u64,
    open_orders: usize,
    reading: bool,
    /// Held while the agent leaves and an order is in transit.
    quiescing: Option<oneshot::Sender<()>>,
    leaving: bool,
    published: Option<EndpointReport>,
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
        orders: EngineOrders {
            port,
            clock: context.clock,
            order_timeout: context.limits.order_timeout,
        },
        planner: EnginePlanner::open(PlannerOptions {
            queue_limit: context.limits.queue,
            ..PlannerOptions::default()
        }),
        pins: PinBook::open(),
        context,
        handle: handle.clone(),
        held: HashMap::new(),
        stalled: Vec::new(),
        inventory: None,
        order_count: 0,
        open_orders: 0,
        reading: false,
        quiescing: None,
        leaving: false,
        published: None,
    };
    control.spawn(engine.run(events));
    handle
}

impl EngineControl {
    async fn run(mut self, mut events: mpsc::Receiver<EngineEvent>) {
        let board = self.context.lease.board().clone();
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
                _ = ticks.tick(), if self.planner.queued() > 0 => self.plan(PlannerEvent::Tick),
                _ = inventories.tick() => self.read_inventory(),
                // A new holder reads back what its predecessor left.
                () = board.changed() => self.read_inventory(),
            }
            self.publish();
        }
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
            EngineEvent::Inventory(count, result) => self.take_inventory(count, result),
            EngineEvent::Quiesce(done) => {
                self.leaving = true;
                self.quiescing = (self.open_orders > 0).then_some(done);
            }
        }
    }

    fn admit(&mut self, request: CompletionRequest, slot: Arc<AnswerSlot>) {
        if slot.cancelled().is_cancelled() {
            return;
        }
        let now = self.context.clock.now();
        let id = request.id;
        let held = HeldRequest {
            deadline: now + request.time_left,
            request: Arc::new(request),
            slot,
            arrived: now,
            dispatches: 0,
            stage: HeldStage::Queued,
        };
        self.held.insert(id, held);
        if !self.context.lease.board().holds(&self.endpoint) {
            return self.refuse(id, self.no_lease());
        }
        self.enqueue(id);
    }

    fn no_lease(&self) -> Error {
        Error::new(
            ErrorKind::Fenced,
            format!("this agent does not hold the lease on {}", self.endpoint),
        )
    }

    fn enqueue(&mut self, id: RequestId) {
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        held.stage = HeldStage::Queued;
        let request = &held.request;
        let planned = PlannedRequest {
            id,
            target: request.target.clone(),
            deadline: held.deadline,
            priority: request.priority,
            prompt_tokens: request.prompt_tokens,
            max_tokens: request.max_tokens,
        };
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
            PlannerCommand::ReturnPermit(adapter) => self.return_permit(adapter, true),
            PlannerCommand::Load(adapter) => self.load(adapter),
            PlannerCommand::Unload(adapter) => self.unload(adapter),
            PlannerCommand::Refuse(id, error) => self.refuse(id, error),
        }
    }

    fn refuse(&mut self, id: RequestId, error: Error) {
        let Some(held) = self.held.remove(&id) else {
            return;
        };
        let kind: &'static str = error.kind.into();
        metrics::counter!("amaranth_agent_refusals_total", "kind" => kind).increment(1);
        self.decide(&format!(
            "event=request_refused request={id} target={} kind={kind}",
            held.request.target
        ));
        held.slot.fail(error);
    }

    fn dispatch(&mut self, id: RequestId) {
        let now = self.context.clock.now();
        let Some(held) = self.held.get_mut(&id) else {
            // Its caller left in the same batch of events.
            return self.finish(id);
        };
        let pinned = held
            .request
            .target
            .adapter()
            .is_none_or(|adapter| self.pins.pin(adapter));
        if !pinned || !self.context.lease.board().holds(&self.endpoint) {
            if pinned {
                self.unpin(id);
            }
            return self.stall(id);
        }
        held.stage = HeldStage::Dispatched;
        held.dispatches += 1;
        if held.request.target.adapter().is_some() && held.dispatches == 1 {
            metrics::histogram!("amaranth_agent_load_stall_seconds")
                .record(now.since(held.arrived).as_secs_f64());
        }
        let dispatch = EngineDispatch {
            port: self.orders.port.clone(),
            request: held.request.clone(),
            slot: held.slot.clone(),
            inventory: self.inventory.clone(),
            deadline: self.context.clock.instant(held.deadline),
            trace: held.request.trace,
        };
        let handle = self.handle.clone();
        self.context.traffic.spawn(async move {
            let end = engine_traffic::run(dispatch).await;
            handle.send(EngineEvent::Ended(id, end)).await;
        });
    }

    fn end(&mut self, id: RequestId, end: DispatchEnd) {
        self.unpin(id);
        match end {
            DispatchEnd::Settled => {
                self.held.remove(&id);
                self.finish(id);
            }
            DispatchEnd::Interrupted(error) => self.retry(id, error),
        }
    }

    /// Runs a request again whose engine broke off or did not hold its adapter.
    fn retry(&mut self, id: RequestId, error: Error) {
        let Some(held) = self.held.get(&id) else {
            return self.finish(id);
        };
        let now = self.context.clock.now();
        if held.dispatches >= DISPATCH_LIMIT || held.deadline <= now {
            self.finish(id);
            return self.refuse(id, error);
        }
        metrics::counter!("amaranth_agent_reruns_total").increment(1);
        self.decide(&format!(
            "event=request_interrupted request={id} cause={error:?}"
        ));
        self.stall(id);
    }

    /// Keeps a dispatched request back until the engine was read.
    fn stall(&mut self, id: RequestId) {
        if let Some(held) = self.held.get_mut(&id) {
            held.stage = HeldStage::Stalled;
            self.stalled.push(id);
        }
        self.finish(id);
        self.read_inventory();
    }

    fn finish(&mut self, id: RequestId) {
        self.plan(PlannerEvent::Finished(id));
    }

    fn unpin(&mut self, id: RequestId) {
        let target = self.held.get(&id).map(|held| held.request.target.clone());
        if let Some(ModelTarget::Adapter { adapter, .. }) = target {
            self.pins.unpin(&adapter);
        }
    }

    /// Takes a request out of the queue. One that was dispatched ends by its own task, which
    /// learns from its slot that nobody waits.
    fn withdraw(&mut self, id: RequestId) {
        let Some(held) = self.held.get(&id) else {
            return;
        };
        match held.stage {
            HeldStage::Dispatched => {}
            HeldStage::Queued => {
                self.held.remove(&id);
                self.plan(PlannerEvent::Withdrawn(id));
            }
            HeldStage::Stalled => {
                self.held.remove(&id);
            }
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

    /// Gives a permit back whose load has ended or is no longer wanted.
    fn return_permit(&self, adapter: AdapterRef, loaded: bool) {
        let endpoint = self.endpoint.clone();
        let permits = self.context.permits.clone();
        self.context
            .traffic
            .spawn(async move { permits.release(&endpoint, &adapter, loaded).await });
    }

    fn load(&mut self, adapter: AdapterRef) {
        self.begin_order();
        let handle = self.handle.clone();
        let orders = self.orders.clone();
        let permit = self.permit();
        self.decide(&format!("event=load_ordered adapter={adapter}"));
        self.context.traffic.spawn(async move {
            let result = orders.load(&adapter, permit).await;
            handle.send(EngineEvent::LoadEnded(adapter, result)).await;
        });
    }

    fn unload(&mut self, adapter: AdapterRef) {
        self.begin_order();
        let handle = self.handle.clone();
        let orders = self.orders.clone();
        let permit = self.permit();
        let order = permit.and_then(|permit| self.pins.evict(&adapter, permit));
        self.decide(&format!("event=unload_ordered adapter={adapter}"));
        self.context.traffic.spawn(async move {
            let result = match order {
                Some(order) => orders.unload(order).await,
                None => {
                    orders
                        .refuse("the adapter is pinned or the lease is not held")
                        .await
                }
            };
            handle.send(EngineEvent::UnloadEnded(adapter, result)).await;
        });
    }

    fn permit(&self) -> Option<OrderPermit> {
        let board = self.context.lease.board();
        board.permit(&self.endpoint).filter(|_| !self.leaving)
    }

    fn end_load(&mut self, adapter: AdapterRef, result: PortResult<()>) {
        self.end_order();
        self.return_permit(adapter.clone(), result.is_ok());
        match result {
            Ok(()) => {
                metrics::counter!("amaranth_agent_loads_total", "outcome" => "loaded").increment(1);
                self.decide(&format!("event=adapter_loaded adapter={adapter}"));
                self.note_resident(&adapter, true);
                self.plan(PlannerEvent::Loaded(adapter));
            }
            Err(error) => {
                metrics::counter!("amaranth_agent_loads_total", "outcome" => "failed").increment(1);
                self.note_refused("load_failed", &adapter, &error);
                self.plan(PlannerEvent::LoadFailed(adapter));
            }
        }
    }

    fn end_unload(&mut self, adapter: AdapterRef, result: PortResult<()>) {
        self.end_order();
        self.pins.unload_ended(&adapter);
        match result {
            Ok(()) => {
                metrics::counter!("amaranth_agent_evictions_total").increment(1);
                self.decide(&format!("event=adapter_unloaded adapter={adapter}"));
                self.note_resident(&adapter, false);
                self.plan(PlannerEvent::Unloaded(adapter));
            }
            Err(error) => {
                self.note_refused("unload_failed", &adapter, &error);
                self.plan(PlannerEvent::UnloadFailed(adapter));
            }
        }
    }

    fn note_refused(&mut self, event: &str, adapter: &AdapterRef, error: &PortError) {
        let cause = error.to_string();
        self.decide(&format!("event={event} adapter={adapter} cause={cause:?}"));
        if let PortError::Fenced(_) = error {
            let lease = self.context.lease.clone();
            let fenced = LeaseEvent::Fenced(self.endpoint.clone());
            self.context
                .traffic
                .spawn(async move { lease.send(fenced).await });
        }
        self.read_inventory();
    }

    fn begin_order(&mut self) {
        self.order_count += 1;
        self.open_orders += 1;
    }

    fn end_order(&mut self) {
        self.order_count += 1;
        self.open_orders -= 1;
        if self.open_orders == 0 {
            self.quiescing = None;
        }
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
        let port = self.orders.port.clone();
        let handle = self.handle.clone();
        let count = self.order_count;
        let limit = self.context.limits.order_timeout;
        self.context.traffic.spawn(async move {
            let read = timeout(limit, port.inventory()).await;
            let late = || PortError::Uncertain("no inventory in time".to_owned());
            let result = read.unwrap_or_else(|_| Err(late()));
            handle.send(EngineEvent::Inventory(count, result)).await;
        });
    }

    fn take_inventory(&mut self, count: u64, result: PortResult<EngineInventory>) {
        self.reading = false;
        match result {
            Ok(inventory) => {
                // Read across an order, it may show the engine before or after it; but another
                // incarnation is certain.
                let settled = count == self.order_count && self.open_orders == 0;
                if settled || self.is_restart(&inventory) {
                    self.adopt(inventory);
                }
                self.readmit();
            }
            Err(error) => {
                self.lose_engine(&error);
                self.refuse_stalled();
            }
        }
    }

    fn is_restart(&self, inventory: &EngineInventory) -> bool {
        self.inventory
            .as_ref()
            .is_none_or(|known| known.incarnation != inventory.incarnation)
    }

    fn adopt(&mut self, inventory: EngineInventory) {
        if self.inventory.as_deref() == Some(&inventory) {
            return;
        }
        if self.is_restart(&inventory) {
            self.greet(&inventory);
        }
        self.planner
            .resize(inventory.adapter_slots.into(), inventory.batch_slots.into());
        let adapters = inventory.adapters.clone();
        self.inventory = Some(Arc::new(inventory));
        self.plan(PlannerEvent::Inventory(adapters));
        self.context.changed.notify_one();
    }

    /// Learns what kind of engine this is.
    fn greet(&self, inventory: &EngineInventory) {
        self.decide(&format!(
            "event=engine_found incarnation={} resident={} checks_fencing={}",
            inventory.incarnation,
            inventory.adapters.len(),
            inventory.checks_fencing
        ));
        let lease = self.context.lease.clone();
        let kind = LeaseEvent::EngineKind {
            endpoint: self.endpoint.clone(),
            checks_fencing: inventory.checks_fencing,
        };
        self.context
            .traffic
            .spawn(async move { lease.send(kind).await });
    }

    fn lose_engine(&mut self, error: &PortError) {
        if self.inventory.take().is_some() {
            let cause = error.to_string();
            self.decide(&format!("event=engine_lost cause={cause:?}"));
            self.context.changed.notify_one();
        }
    }

    /// Queues the requests again that waited for the engine to be read.
    fn readmit(&mut self) {
        for id in std::mem::take(&mut self.stalled) {
            if self.context.lease.board().holds(&self.endpoint) {
                self.enqueue(id);
            } else {
                let error = self.no_lease();
                self.refuse(id, error);
            }
        }
    }

    /// Refuses the requests whose engine can't be read.
    fn refuse_stalled(&mut self) {
        for id in std::mem::take(&mut self.stalled) {
            let error = Error::new(
                ErrorKind::EndpointUnreachable,
                format!("engine {} broke off and does not answer", self.endpoint),
            );
            self.refuse(id, error);
        }
    }

    fn publish(&mut self) {
        let report = self.report();
        if self.published.as_ref() != Some(&report) {
            let running = f64::from(report.load.in_flight);
            let queued = f64::from(report.load.queued);
            let endpoint = self.endpoint.to_string();
            metrics::gauge!("amaranth_agent_batch_running", "endpoint" => endpoint.clone())
                .set(running);
            metrics::gauge!("amaranth_agent_queued", "endpoint" => endpoint).set(queued);
            self.handle.report.store(Arc::new(report.clone()));
            self.published = Some(report);
        }
    }

    fn report(&self) -> EndpointReport {
        let Some(inventory) = &self.inventory else {
            let mut report = EndpointReport::clone(&self.handle.report());
            report.ready = false;
            return report;
        };
        let count = |number: usize| u16::try_from(number).unwrap_or(u16::MAX);
        let loading: Vec<AdapterRef> = self.planner.loading().cloned().collect();
        EndpointReport {
            endpoint: self.endpoint.clone(),
            offer: EndpointOffer::Engine {
                bases: inventory.bases.iter().cloned().collect(),
                adapter_slots: inventory.adapter_slots,
                batch_slots: inventory.batch_slots,
            },
            ready: self.context.lease.board().holds(&self.endpoint),
            load: EndpointLoad {
                in_flight: count(self.planner.in_flight()),
                queued: count(self.planner.queued()),
                loads_pending: count(loading.len()),
            },
            resident: self.planner.resident().cloned().collect(),
            loading,
        }
    }

    fn decide(&self, line: &str) {
        let endpoint = &self.endpoint;
        self.context
            .decisions
            .record(format!("{line} endpoint={endpoint}"));
    }
}
