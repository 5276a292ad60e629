//! The control task of one engine: the only writer of its plan.
//!
//! The task runs on the control thread. It hands events to the planner and spawns a task of the
//! traffic runtime for every command; those tasks report back with events.

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
use self::requests::HeldRequest;
use crate::answer_store::AnswerSlot;
use crate::engine_orders::EngineOrders;
use crate::engine_traffic::DispatchEnd;
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
    /// The engine reported its load.
    Load(EngineLoadReport),
    /// The agent leaves: requests that were not dispatched go back to their entries.
    HandBack,
    /// The agent leaves: no further order is sent. The sender is dropped when none is in transit.
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
    held: HashMap<RequestId, HeldRequest>,
    stalled: Vec<RequestId>,
    inventory: Option<Arc<EngineInventory>>,
    /// Orders begun or ended so far: an inventory that was read across one of them is stale.
    order_count: u64,
    open_orders: usize,
    reading: bool,
    predecessor: PredecessorWatch,
    /// Held while the agent leaves and an order is in transit.
    quiescing: Option<oneshot::Sender<()>>,
    /// Requests that were not dispatched go back to their entries.
    handing_back: bool,
    /// No order is sent any more.
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
        planner: EnginePlanner::new(PlannerOptions {
            queue_limit: context.limits.queue,
            ..PlannerOptions::default()
        }),
        pins: PinTable::new(),
        context,
        handle: handle.clone(),
        held: HashMap::new(),
        stalled: Vec::new(),
        inventory: None,
        order_count: 0,
        open_orders: 0,
        reading: false,
        predecessor: PredecessorWatch::default(),
        quiescing: None,
        handing_back: false,
        leaving: false,
        published: None,
    };
    control.spawn(engine.run(events));
    handle
}

impl EngineControl {
    async fn run(mut self, mut events: mpsc::Receiver<EngineEvent>) {
        let board = self.context.lease.board().clone();
        let mut leases = board.subscribe();
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
                _ = inventories.tick() => {
                    self.read_inventory();
                    self.read_load();
                }
                // A new holder reads back what its predecessor left.
                Ok(()) = leases.changed() => {
                    if board.take_lapsed(&self.endpoint) {
                        self.predecessor.appear();
                    }
                    self.read_inventory();
                }
            }
            self.publish();
        }
    }

    /// Returns whether a deadline or a delayed load may come due.
    fn needs_ticks(&self) -> bool {
        self.planner.queued() > 0 || self.planner.next_wake().is_some()
    }

    fn handle_event(&mut self, event: EngineEvent) {
        match event {
            EngineEvent::Arrived(_, slot) if self.handing_back => {
                slot.fail(requests::leaving_error());
            }
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
            EngineEvent::Load(report) => self.take_load(report),
            EngineEvent::HandBack => {
                self.handing_back = true;
                self.hand_back();
            }
            EngineEvent::Quiesce(done) => {
                self.leaving = true;
                self.quiescing = (self.open_orders > 0).then_some(done);
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

    fn decide(&self, line: &str) {
        let endpoint = &self.endpoint;
        self.context
            .decisions
            .record(format!("{line} endpoint={endpoint}"));
    }
}
