//! The control task of one engine, which alone changes the engine's plan.
//!
//! The task runs on the control thread. It passes events to the planner and spawns a task on the
//! traffic runtime for each command. Those tasks report back with events.

mod handle;
mod inventory;
mod orders;
mod predecessor;
mod report;
mod requests;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use amaranth_control::pins::PinTable;
use amaranth_core::ids::{AdapterRef, EndpointId, RequestId};
use amaranth_core::membership::{EndpointLoad, EndpointOffer, EndpointReport};
use amaranth_core::request::CompletionRequest;
use amaranth_placement::planner::{EnginePlanner, PlannerCommand, PlannerEvent, PlannerOptions};
use amaranth_ports::PortResult;
use amaranth_ports::engine::{EngineInventory, EngineLoadReport, EnginePort};
use arc_swap::ArcSwap;
use tokio::sync::{mpsc, oneshot};
use tokio::time::interval;

pub use self::handle::{EngineContext, EngineHandle};
use self::predecessor::PredecessorWatch;
use self::requests::AcceptedRequest;
use crate::answer_store::AnswerSlot;
use crate::engine_orders::EngineOrders;
use crate::engine_traffic::EngineDispatchOutcome;
use crate::task_group::TaskGroup;

/// Maximum number of queued events of one engine's control task before senders wait.
const EVENT_QUEUE: usize = 4_096;

/// Time between two checks of deadlines and delayed loads while requests or loads wait.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of events that are handled before the report is published again.
const EVENTS_PER_REPORT: usize = 64;

/// An event for the control task of an engine.
pub enum EngineEvent {
    /// An entry sent a request, whose answer goes into the slot.
    Arrived(Box<CompletionRequest>, Arc<AnswerSlot>),
    /// The dispatch of a request to the engine ended.
    DispatchEnded(RequestId, EngineDispatchOutcome),
    /// The request was cancelled, since its answer is no longer wanted.
    Cancelled(RequestId),
    /// The load of an adapter was permitted.
    PermitGranted(AdapterRef),
    /// The permit for a load is to be requested again after a delay.
    PermitDelayed(AdapterRef, Duration),
    /// A load order was answered or timed out.
    LoadEnded(AdapterRef, PortResult<()>),
    /// An unload order was answered or timed out.
    UnloadEnded(AdapterRef, PortResult<()>),
    /// The engine's inventory was read. The number is the order count when the read began.
    Inventory(u64, PortResult<EngineInventory>),
    /// The engine reported its load.
    LoadReport(EngineLoadReport),
    /// The agent drains: requests that were not dispatched are refused, so that their entries
    /// send them to other endpoints.
    Drain,
    /// The agent drains: no further order is sent. The sender is dropped when no order is in
    /// flight.
    Quiesce(oneshot::Sender<()>),
}

/// The control state of one engine.
struct EngineControl {
    endpoint: EndpointId,
    orders: EngineOrders,
    context: Arc<EngineContext>,
    handle: EngineHandle,
    planner: EnginePlanner,
    pins: PinTable,
    requests: HashMap<RequestId, AcceptedRequest>,
    /// Requests that are queued again once the inventory has been read.
    awaiting_inventory: Vec<RequestId>,
    inventory: Option<Arc<EngineInventory>>,
    /// The number of starts and ends of orders so far. An inventory that was read across one of
    /// them may be stale.
    order_count: u64,
    orders_in_flight: usize,
    is_reading_inventory: bool,
    predecessor: PredecessorWatch,
    /// The sender of [`EngineEvent::Quiesce`], kept until no order is in flight.
    quiesce_done: Option<oneshot::Sender<()>>,
    /// Whether new requests are refused.
    draining: bool,
    /// Whether no further order is sent.
    quiesced: bool,
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
        planner: EnginePlanner::new(PlannerOptions {
            queue_limit: context.limits.queue,
            ..PlannerOptions::default()
        }),
        pins: PinTable::new(),
        context,
        handle: handle.clone(),
        requests: HashMap::new(),
        awaiting_inventory: Vec::new(),
        inventory: None,
        order_count: 0,
        orders_in_flight: 0,
        is_reading_inventory: false,
        predecessor: PredecessorWatch::default(),
        quiesce_done: None,
        draining: false,
        quiesced: false,
        published: None,
    };
    control.spawn(engine.run(events));
    handle
}

impl EngineControl {
    async fn run(mut self, mut events: mpsc::Receiver<EngineEvent>) {
        let leases = self.context.lease.published().clone();
        let mut lease_changes = leases.subscribe();
        let mut inventory_ticks = interval(self.context.limits.inventory_interval);
        let mut ticks = interval(TICK_INTERVAL);
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
                _ = inventory_ticks.tick() => {
                    self.read_inventory();
                    self.read_load();
                }
                // The inventory may contain changes by a former holder of the lease.
                Ok(()) = lease_changes.changed() => {
                    if leases.take_expired(&self.endpoint) {
                        self.predecessor.start();
                    }
                    self.read_inventory();
                }
            }
            self.publish();
        }
    }

    /// Returns whether a deadline or a delayed load may fall due.
    fn needs_ticks(&self) -> bool {
        self.planner.queued() > 0 || self.planner.next_wake().is_some()
    }

    fn handle_event(&mut self, event: EngineEvent) {
        match event {
            EngineEvent::Arrived(_, slot) if self.draining => {
                slot.fail(requests::draining_error());
            }
            EngineEvent::Arrived(request, slot) => self.admit(*request, slot),
            EngineEvent::DispatchEnded(id, outcome) => self.finish_dispatch(id, outcome),
            EngineEvent::Cancelled(id) => self.cancel(id),
            EngineEvent::PermitGranted(adapter) => self.plan(PlannerEvent::PermitGranted(adapter)),
            EngineEvent::PermitDelayed(adapter, delay) => {
                let until = self.context.clock.now() + delay;
                self.plan(PlannerEvent::PermitDelayed(adapter, until));
            }
            EngineEvent::LoadEnded(adapter, result) => self.finish_load(adapter, result),
            EngineEvent::UnloadEnded(adapter, result) => self.finish_unload(adapter, result),
            EngineEvent::Inventory(count, result) => self.handle_inventory(count, result),
            EngineEvent::LoadReport(report) => self.handle_load_report(report),
            EngineEvent::Drain => {
                self.draining = true;
                self.refuse_undispatched();
            }
            EngineEvent::Quiesce(done) => {
                self.quiesced = true;
                self.quiesce_done = (self.orders_in_flight > 0).then_some(done);
            }
        }
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

    fn record_decision(&self, decision: &str) {
        let endpoint = &self.endpoint;
        self.context
            .decisions
            .record(format!("{decision} endpoint={endpoint}"));
    }
}
