//! The plan of one engine: its queue, its adapters, its loads and evictions.

use std::collections::{BTreeMap, VecDeque};

use amaranth_core::errors::{Error, ErrorKind};
use amaranth_core::ids::{AdapterRef, RequestId};
use amaranth_core::request::{ModelTarget, RequestPriority};
use amaranth_core::time::Timestamp;
use amaranth_core::units::TokenCount;
use smallvec::SmallVec;

/// A request as the planner sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedRequest {
    /// The request.
    pub id: RequestId,
    /// What it runs on.
    pub target: ModelTarget,
    /// When the caller gives up.
    pub deadline: Timestamp,
    /// How urgent it is.
    pub priority: RequestPriority,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: TokenCount,
    /// Most tokens to generate.
    pub max_tokens: TokenCount,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlannerEvent {
    /// A request came.
    Arrived(PlannedRequest),
    /// A caller left before its request was dispatched.
    Withdrawn(RequestId),
    /// A dispatched request ended, in whatever way.
    Finished(RequestId),
    /// The broker lets a load start.
    PermitGranted(AdapterRef),
    /// The broker puts a load off until this time.
    PermitDelayed(AdapterRef, Timestamp),
    /// An adapter is resident.
    Loaded(AdapterRef),
    /// A load ended without the adapter being resident.
    LoadFailed(AdapterRef),
    /// An adapter is no longer resident.
    Unloaded(AdapterRef),
    /// An unload order failed: the adapter may still be resident.
    UnloadFailed(AdapterRef),
    /// The engine was read: it holds exactly these adapters. Sent when it restarts as well.
    Inventory(Vec<AdapterRef>),
    /// Time passed.
    Tick,
}

/// What the agent is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlannerCommand {
    /// Send the request to the engine. Its adapter stays pinned until `Finished`.
    Dispatch(RequestId),
    /// Ask the broker for leave to load, stating the waiting that it saves in milliseconds.
    RequestPermit(AdapterRef, u64),
    /// Give a permit back unused.
    ReturnPermit(AdapterRef),
    /// Order the load.
    Load(AdapterRef),
    /// Order the unload.
    Unload(AdapterRef),
    /// Answer with an error; the request was not run.
    Refuse(RequestId, Error),
}

/// The commands that one event causes.
pub type PlannerCommands = SmallVec<[PlannerCommand; 4]>;

/// Limits of one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannerOptions {
    /// Adapters that can be resident or loading at once.
    pub adapter_slots: usize,
    /// Requests that the engine batches at once.
    pub batch_slots: usize,
    /// Requests that wait at once; more are refused.
    pub queue_limit: usize,
}

impl Default for PlannerOptions {
    fn default() -> Self {
        Self {
            adapter_slots: 8,
            batch_slots: 16,
            queue_limit: 1_024,
        }
    }
}

/// How far an adapter is on this engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AdapterPhase {
    AwaitingPermit,
    Loading,
    Resident,
    Unloading,
}

/// One adapter on this engine.
#[derive(Debug, Clone)]
struct AdapterSlot {
    phase: AdapterPhase,
    pins: u32,
    last_used: Timestamp,
}

/// Plans one engine.
#[derive(Debug, Clone)]
pub struct EnginePlanner {
    options: PlannerOptions,
    slots: BTreeMap<AdapterRef, AdapterSlot>,
    queue: VecDeque<PlannedRequest>,
    running: BTreeMap<RequestId, ModelTarget>,
    delayed: BTreeMap<AdapterRef, Timestamp>,
}

impl EnginePlanner {
    /// Opens a planner for an empty engine.
    pub fn open(options: PlannerOptions) -> Self {
        Self {
            options,
            slots: BTreeMap::new(),
            queue: VecDeque::new(),
            running: BTreeMap::new(),
            delayed: BTreeMap::new(),
        }
    }

    /// Changes the sizes of the engine, as its inventory states them.
    pub fn resize(&mut self, adapter_slots: usize, batch_slots: usize) {
        self.options.adapter_slots = adapter_slots;
        self.options.batch_slots = batch_slots;
    }

    /// Returns the resident adapters in order.
    pub fn resident(&self) -> impl Iterator<Item = &AdapterRef> {
        self.in_phase(|phase| phase == AdapterPhase::Resident)
    }

    /// Returns the adapters that wait for a permit or are in transit, in order.
    pub fn loading(&self) -> impl Iterator<Item = &AdapterRef> {
        self.in_phase(|phase| matches!(phase, AdapterPhase::AwaitingPermit | AdapterPhase::Loading))
    }

    /// Returns the number of waiting requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of dispatched requests.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Takes one event and returns what to do about it.
    pub fn handle(&mut self, now: Timestamp, event: PlannerEvent) -> PlannerCommands {
        let mut commands = PlannerCommands::new();
        self.apply(now, event, &mut commands);
        self.refuse_expired(now, &mut commands);
        self.dispatch_ready(now, &mut commands);
        self.start_loads(now, &mut commands);
        commands
    }

    fn in_phase(&self, wanted: impl Fn(AdapterPhase) -> bool) -> impl Iterator<Item = &AdapterRef> {
        self.slots
            .iter()
            .filter(move |(_, slot)| wanted(slot.phase))
            .map(|(adapter, _)| adapter)
    }

    fn apply(&mut self, now: Timestamp, event: PlannerEvent, commands: &mut PlannerCommands) {
        match event {
            PlannerEvent::Arrived(request) => self.enqueue(request, commands),
            PlannerEvent::Withdrawn(id) => self.queue.retain(|waiting| waiting.id != id),
            PlannerEvent::Finished(id) => self.finish(id),
            PlannerEvent::PermitGranted(adapter) => {
                if self.advance(
                    &adapter,
                    AdapterPhase::AwaitingPermit,
                    AdapterPhase::Loading,
                ) {
                    commands.push(PlannerCommand::Load(adapter));
                }
            }
            PlannerEvent::PermitDelayed(adapter, until) => {
                self.forget_unpinned(&adapter);
                self.delayed.insert(adapter, until);
            }
            PlannerEvent::LoadFailed(adapter) => self.forget_unpinned(&adapter),
            PlannerEvent::Loaded(adapter) => self.hold(adapter, now),
            PlannerEvent::Unloaded(adapter) => self.forget_unpinned(&adapter),
            PlannerEvent::UnloadFailed(adapter) => {
                self.advance(&adapter, AdapterPhase::Unloading, AdapterPhase::Resident);
            }
            PlannerEvent::Inventory(adapters) => self.reconcile(now, &adapters),
            PlannerEvent::Tick => {}
        }
    }

    fn enqueue(&mut self, request: PlannedRequest, commands: &mut PlannerCommands) {
        if self.queue.len() < self.options.queue_limit {
            self.queue.push_back(request);
            return;
        }
        let error = Error::new(ErrorKind::Overloaded, "the endpoint's queue is full");
        commands.push(PlannerCommand::Refuse(request.id, error));
    }

    fn finish(&mut self, id: RequestId) {
        let Some(target) = self.running.remove(&id) else {
            return;
        };
        if let Some(slot) = target
            .adapter()
            .and_then(|adapter| self.slots.get_mut(adapter))
        {
            slot.pins = slot.pins.saturating_sub(1);
            let lost = slot.phase == AdapterPhase::Unloading && slot.pins == 0;
            if let Some(adapter) = target.adapter().filter(|_| lost) {
                self.slots.remove(adapter);
            }
        }
    }

    fn advance(&mut self, adapter: &AdapterRef, from: AdapterPhase, to: AdapterPhase) -> bool {
        match self.slots.get_mut(adapter) {
            Some(slot) if slot.phase == from => {
                slot.phase = to;
                true
            }
            _ => false,
        }
    }

    fn forget_unpinned(&mut self, adapter: &AdapterRef) {
        if self.slots.get(adapter).is_some_and(|slot| slot.pins == 0) {
            self.slots.remove(adapter);
        }
    }

    fn hold(&mut self, adapter: AdapterRef, now: Timestamp) {
        let slot = self.slots.entry(adapter).or_insert(AdapterSlot {
            phase: AdapterPhase::Resident,
            pins: 0,
            last_used: now,
        });
        slot.phase = AdapterPhase::Resident;
    }

    /// Makes the plan agree with what the engine really holds.
    fn reconcile(&mut self, now: Timestamp, adapters: &[AdapterRef]) {
        self.slots.retain(|adapter, slot| {
            slot.pins > 0 || slot.phase != AdapterPhase::Resident || adapters.contains(adapter)
        });
        for (adapter, slot) in &mut self.slots {
            if slot.phase == AdapterPhase::Resident && !adapters.contains(adapter) {
                slot.phase = AdapterPhase::Unloading;
            }
        }
        for adapter in adapters {
            self.hold(adapter.clone(), now);
        }
    }

    fn refuse_expired(&mut self, now: Timestamp, commands: &mut PlannerCommands) {
        self.queue.retain(|request| {
            if request.deadline > now {
                return true;
            }
            let error = Error::new(
                ErrorKind::DeadlineBeforeStart,
                "the deadline passed while the request waited for its endpoint",
            );
            commands.push(PlannerCommand::Refuse(request.id, error));
            false
        });
    }

    fn is_ready(&self, target: &ModelTarget) -> bool {
        target.adapter().is_none_or(|adapter| {
            self.slots
                .get(adapter)
                .is_some_and(|slot| slot.phase == AdapterPhase::Resident)
        })
    }

    fn dispatch_ready(&mut self, now: Timestamp, commands: &mut PlannerCommands) {
        while self.running.len() < self.options.batch_slots {
            let ready = self
                .queue
                .iter()
                .position(|request| self.is_ready(&request.target));
            let Some(request) = ready.and_then(|index| self.queue.remove(index)) else {
                return;
            };
            self.pin(now, &request.target);
            commands.push(PlannerCommand::Dispatch(request.id));
            self.running.insert(request.id, request.target);
        }
    }

    fn pin(&mut self, now: Timestamp, target: &ModelTarget) {
        if let Some(slot) = target
            .adapter()
            .and_then(|adapter| self.slots.get_mut(adapter))
        {
            slot.pins += 1;
            slot.last_used = now;
        }
    }

    fn start_loads(&mut self, now: Timestamp, commands: &mut PlannerCommands) {
        self.delayed.retain(|_, until| *until > now);
        let missing: Vec<AdapterRef> = self
            .queue
            .iter()
            .filter_map(|request| request.target.adapter())
            .filter(|adapter| !self.slots.contains_key(adapter))
            .filter(|adapter| self.delayed.get(adapter).is_none_or(|until| now >= *until))
            .cloned()
            .collect();
        for adapter in missing {
            if self.slots.contains_key(&adapter) {
                continue;
            }
            if self.slots.len() >= self.options.adapter_slots {
                self.evict_one(commands);
                return;
            }
            let slot = AdapterSlot {
                phase: AdapterPhase::AwaitingPermit,
                pins: 0,
                last_used: now,
            };
            self.slots.insert(adapter.clone(), slot);
            commands.push(PlannerCommand::RequestPermit(adapter, 0));
        }
    }

    /// Evicts the least recently used adapter that no request needs.
    fn evict_one(&mut self, commands: &mut PlannerCommands) {
        let unneeded = |adapter: &AdapterRef| {
            !self
                .queue
                .iter()
                .any(|request| request.target.adapter() == Some(adapter))
        };
        let victim = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.phase == AdapterPhase::Resident && slot.pins == 0)
            .filter(|(adapter, _)| unneeded(adapter))
            .min_by_key(|(_, slot)| slot.last_used)
            .map(|(adapter, _)| adapter.clone());
        if let Some(adapter) = victim {
            self.advance(&adapter, AdapterPhase::Resident, AdapterPhase::Unloading);
            commands.push(PlannerCommand::Unload(adapter));
        }
    }
}
