//! The plan of one engine: its queue, its adapters, its loads and evictions.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use amaranth_core::errors::{Error, ErrorKind};
use amaranth_core::ids::{AdapterRef, RequestId};
use amaranth_core::request::{ModelTarget, RequestPriority};
use amaranth_core::time::Timestamp;
use amaranth_core::units::TokenCount;
use smallvec::SmallVec;

use crate::admission::AdmissionControl;
use crate::asks::{AskState, LoadAsks};
use crate::decision::{DecisionHistory, PlacementDecision};
use crate::demand::DemandTable;
use crate::eviction::{EvictionVictim, choose_victim};
use crate::queue::RequestQueue;
use crate::slots::AdapterSlots;

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
    /// The adapter will be asked for soon, as a version that was just accepted.
    Expected(AdapterRef),
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

/// How long an adapter that is expected may wait for a load that nothing else wants.
const WARMING_TERM: Duration = Duration::from_secs(60);

/// Weight of the demand for an adapter beside its waiting requests, in permit requests.
const DEMAND_HORIZON: Duration = Duration::from_secs(10);

/// What one waiting request adds to the saved waiting that a permit request states.
const SAVED_PER_REQUEST: Duration = Duration::from_secs(1);

/// Requests per million seconds in one request per second.
const MICRO: f64 = 1e6;

/// Pause before a permit is asked for again that came while no slot could be emptied.
const NO_SLOT_PAUSE: Duration = Duration::from_millis(250);

/// Limits of one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannerOptions {
    /// Adapters that can be resident or loading at once.
    pub adapter_slots: usize,
    /// Requests that the engine batches at once.
    pub batch_slots: usize,
    /// Requests that wait at once; more are refused.
    pub queue_limit: usize,
    /// Whether requests that can't end before their deadline are refused when they come.
    pub refuse_early: bool,
}

impl Default for PlannerOptions {
    fn default() -> Self {
        Self {
            adapter_slots: 8,
            batch_slots: 16,
            queue_limit: 1_024,
            refuse_early: true,
        }
    }
}

/// A dispatched request.
#[derive(Debug, Clone)]
struct RunningRequest {
    target: ModelTarget,
    dispatched: Timestamp,
    deadline: Timestamp,
}

/// Plans one engine.
#[derive(Debug, Clone)]
pub struct EnginePlanner {
    options: PlannerOptions,
    slots: AdapterSlots,
    queue: RequestQueue,
    demands: DemandTable,
    asks: LoadAsks,
    warming: BTreeMap<AdapterRef, Timestamp>,
    running: HashMap<RequestId, RunningRequest>,
    admission: AdmissionControl,
    decisions: DecisionHistory,
}

impl EnginePlanner {
    /// Opens a planner for an empty engine.
    pub fn open(options: PlannerOptions) -> Self {
        Self {
            options,
            slots: AdapterSlots::open(options.adapter_slots),
            queue: RequestQueue::open(),
            demands: DemandTable::open(),
            asks: LoadAsks::open(),
            warming: BTreeMap::new(),
            running: HashMap::new(),
            admission: AdmissionControl::default(),
            decisions: DecisionHistory::default(),
        }
    }

    /// Changes the sizes of the engine, as its inventory states them.
    pub fn resize(&mut self, adapter_slots: usize, batch_slots: usize) {
        self.options.adapter_slots = adapter_slots;
        self.options.batch_slots = batch_slots;
        self.slots.resize(adapter_slots);
    }

    /// Returns the resident adapters in order.
    pub fn resident(&self) -> impl Iterator<Item = &AdapterRef> {
        self.slots.resident()
    }

    /// Returns the adapters that wait for a permit or are in transit, in order.
    pub fn loading(&self) -> impl Iterator<Item = &AdapterRef> {
        let mut adapters: SmallVec<[&AdapterRef; 8]> =
            self.slots.loading().chain(self.asks.adapters()).collect();
        adapters.sort_unstable();
        adapters.dedup();
        adapters.into_iter()
    }

    /// Returns the number of waiting requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of dispatched requests.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Returns when a [`PlannerEvent::Tick`] is needed at the latest for loads to go on.
    pub fn next_wake(&self) -> Option<Timestamp> {
        self.asks.next_due()
    }

    /// Returns the slots that further loads could take.
    pub fn spare_slots(&self) -> usize {
        let evictable = self
            .slots
            .idle()
            .filter(|(adapter, _)| self.queue.waiting_for(adapter) == 0)
            .count();
        (self.slots.free() + evictable).saturating_sub(self.asks.adapters().count())
    }

    /// Returns the demand that the next eviction would lose, in requests per second.
    pub fn eviction_cost(&self, now: Timestamp) -> f64 {
        if self.slots.has_free() {
            return 0.0;
        }
        self.victim(now)
            .map_or(f64::INFINITY, |victim| victim.demand)
    }

    /// Returns the cost of the next eviction as reports state it: in requests per million seconds.
    pub fn eviction_cost_rank(&self, now: Timestamp) -> u32 {
        (self.eviction_cost(now) * MICRO) as u32
    }

    /// Returns the latest decisions with their reasons, oldest first.
    pub fn decisions(&self) -> impl Iterator<Item = &(Timestamp, PlacementDecision)> {
        self.decisions.iter()
    }

    /// Takes one event and returns what to do about it.
    pub fn handle(&mut self, now: Timestamp, event: PlannerEvent) -> PlannerCommands {
        let mut commands = PlannerCommands::new();
        self.apply(now, event, &mut commands);
        self.refuse_expired(now, &mut commands);
        self.dispatch_ready(now, &mut commands);
        self.start_granted(now, &mut commands);
        self.ask_for_loads(now, &mut commands);
        commands
    }

    fn apply(&mut self, now: Timestamp, event: PlannerEvent, commands: &mut PlannerCommands) {
        match event {
            PlannerEvent::Arrived(request) => self.enqueue(now, request, commands),
            PlannerEvent::Withdrawn(id) => {
                self.queue.remove(id);
            }
            PlannerEvent::Finished(id) => self.finish(now, id),
            PlannerEvent::PermitGranted(adapter) => self.take_permit(now, adapter, commands),
            PlannerEvent::PermitDelayed(adapter, until) => {
                if self.asks.state(&adapter) == Some(AskState::Asked) {
                    self.asks.set(now, &adapter, AskState::Delayed(until));
                }
            }
            PlannerEvent::Loaded(adapter) => self.hold(now, adapter),
            PlannerEvent::LoadFailed(adapter) => self.fail_load(now, &adapter),
            PlannerEvent::Unloaded(adapter) => {
                self.slots.note_gone(&adapter);
                self.queue.set_ready(&adapter, false);
            }
            PlannerEvent::UnloadFailed(adapter) => {
                self.slots.cancel_eviction(&adapter);
                let is_resident = self.slots.is_resident(&adapter);
                self.queue.set_ready(&adapter, is_resident);
            }
            PlannerEvent::Inventory(adapters) => self.reconcile(now, &adapters),
            PlannerEvent::Expected(adapter) => {
                self.warming.insert(adapter, now + WARMING_TERM);
            }
            PlannerEvent::Tick => {}
        }
    }

    fn enqueue(&mut self, now: Timestamp, request: PlannedRequest, commands: &mut PlannerCommands) {
        if let Some(adapter) = request.target.adapter() {
            self.demands.record(now, adapter);
        }
        let expected = self.expected_wait(now, &request.target);
        // A request that starts in time and ends too late takes a place from one that could end.
        let end = now + expected + self.admission.service_time(now);
        let too_late = self.options.refuse_early && end > request.deadline;
        if too_late || self.queue.len() >= self.options.queue_limit {
            let error = Error::new(
                ErrorKind::Overloaded,
                format!(
                    "the expected wait for {} is {} ms",
                    request.target,
                    expected.as_millis()
                ),
            )
            .with_retry_after(expected);
            commands.push(PlannerCommand::Refuse(request.id, error));
            return;
        }
        self.queue.push(now, request);
    }

    /// Returns how long a request that comes now will wait.
    fn expected_wait(&self, now: Timestamp, target: &ModelTarget) -> Duration {
        let resident = target
            .adapter()
            .is_none_or(|adapter| self.slots.is_resident(adapter));
        if !resident {
            return self.admission.load_wait(now);
        }
        let batch_slots = self.options.batch_slots;
        let ahead = (self.running.len() + self.queue.ready_len()).saturating_sub(batch_slots);
        self.admission.batch_wait(now, ahead, batch_slots)
    }

    fn finish(&mut self, now: Timestamp, id: RequestId) {
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        // A request that its deadline cut off says nothing of the time that it would have needed.
        if now < running.deadline {
            self.admission
                .record_service(now, now.since(running.dispatched));
        }
        if let Some(adapter) = running.target.adapter() {
            self.slots.unpin(adapter);
        }
    }

    fn hold(&mut self, now: Timestamp, adapter: AdapterRef) {
        if let Some(waited) = self.asks.remove(now, &adapter) {
            self.admission.record_load(now, waited);
        }
        self.asks.clear_failures(&adapter);
        self.warming.remove(&adapter);
        self.slots.note_resident(now, adapter.clone());
        let is_resident = self.slots.is_resident(&adapter);
        self.queue.set_ready(&adapter, is_resident);
    }

    fn fail_load(&mut self, now: Timestamp, adapter: &AdapterRef) {
        if self.slots.fail_load(adapter) {
            self.asks.back_off(now, adapter);
        }
    }

    /// Makes the plan agree with what the engine really holds.
    ///
    /// Adapters that it lost and that are in demand are loaded again.
    fn reconcile(&mut self, now: Timestamp, held: &[AdapterRef]) {
        let lost: Vec<AdapterRef> = self
            .slots
            .resident()
            .filter(|adapter| !held.contains(adapter))
            .cloned()
            .collect();
        self.slots.reconcile(now, held);
        for adapter in lost {
            self.queue.set_ready(&adapter, false);
            self.warming.insert(adapter, now + WARMING_TERM);
        }
        for adapter in held {
            let is_resident = self.slots.is_resident(adapter);
            self.queue.set_ready(adapter, is_resident);
        }
    }

    fn refuse_expired(&mut self, now: Timestamp, commands: &mut PlannerCommands) {
        while let Some(expired) = self.queue.pop_expired(now) {
            let target = &expired.request.target;
            let failed = target
                .adapter()
                .is_some_and(|adapter| self.asks.has_failed(adapter));
            let (kind, reason) = if failed {
                (ErrorKind::LoadFailed, "its adapter could not be loaded")
            } else {
                (ErrorKind::DeadlineBeforeStart, "it waited for its endpoint")
            };
            let message = format!("the deadline of a request for {target} passed while {reason}");
            let error = Error::new(kind, message).with_retry_after(self.expected_wait(now, target));
            commands.push(PlannerCommand::Refuse(expired.request.id, error));
        }
    }

    fn dispatch_ready(&mut self, now: Timestamp, commands: &mut PlannerCommands) {
        while self.running.len() < self.options.batch_slots {
            let end = now + self.admission.service_time(now);
            let Some(queued) = self.queue.pop_ready(end) else {
                return;
            };
            let id = queued.request.id;
            let target = queued.request.target;
            if let Some(adapter) = target.adapter() {
                self.slots.pin(adapter);
            }
            commands.push(PlannerCommand::Dispatch(id));
            let running = RunningRequest {
                target,
                dispatched: now,
                deadline: queued.request.deadline,
            };
            self.running.insert(id, running);
        }
    }

    fn is_wanted(&self, adapter: &AdapterRef) -> bool {
        self.queue.waiting_for(adapter) > 0 || self.warming.contains_key(adapter)
    }

    fn take_permit(&mut self, now: Timestamp, adapter: AdapterRef, commands: &mut PlannerCommands) {
        let asked = self.asks.state(&adapter) == Some(AskState::Asked);
        if asked && self.is_wanted(&adapter) && !self.slots.contains(&adapter) {
            self.asks.set(now, &adapter, AskState::Granted);
            return;
        }
        if asked {
            self.asks.remove(now, &adapter);
        }
        if self.asks.state(&adapter) != Some(AskState::Granted) {
            commands.push(PlannerCommand::ReturnPermit(adapter));
        }
    }

    /// Starts the loads that hold a permit, and makes room for them.
    fn start_granted(&mut self, now: Timestamp, commands: &mut PlannerCommands) {
        while self.slots.has_free() {
            let Some(adapter) = self.asks.granted() else {
                return;
            };
            self.start_load(now, adapter, commands);
        }
        while self.asks.granted_count() > self.slots.unloading() {
            let Some(adapter) = self.asks.granted() else {
                return;
            };
            if !self.evict_for(now, &adapter, commands) {
                let again = now + NO_SLOT_PAUSE;
                self.asks.set(now, &adapter, AskState::Delayed(again));
                commands.push(PlannerCommand::ReturnPermit(adapter));
            }
        }
    }

    fn start_load(&mut self, now: Timestamp, adapter: AdapterRef, commands: &mut PlannerCommands) {
        let waited = self.asks.remove(now, &adapter);
        if !self.slots.begin_load(adapter.clone()) {
            commands.push(PlannerCommand::ReturnPermit(adapter));
            return;
        }
        self.admission.record_load(now, waited.unwrap_or_default());
        let decision = PlacementDecision::Load {
            adapter: adapter.clone(),
            waiting: self.queue.waiting_for(&adapter),
            demand: self.demands.rate(now, &adapter),
        };
        self.decisions.record(now, decision);
        commands.push(PlannerCommand::Load(adapter));
    }

    /// Starts an eviction that makes room for `adapter`; returns whether there was a victim.
    fn evict_for(
        &mut self,
        now: Timestamp,
        adapter: &AdapterRef,
        commands: &mut PlannerCommands,
    ) -> bool {
        let Some(victim) = self.victim(now) else {
            return false;
        };
        if !self.slots.begin_eviction(&victim.adapter) {
            return false;
        }
        self.queue.set_ready(&victim.adapter, false);
        let decision = PlacementDecision::Evict {
            adapter: victim.adapter.clone(),
            demand: victim.demand,
            replaced_by: adapter.clone(),
        };
        self.decisions.record(now, decision);
        commands.push(PlannerCommand::Unload(victim.adapter));
        true
    }

    fn victim(&self, now: Timestamp) -> Option<EvictionVictim> {
        choose_victim(now, &self.slots, &self.queue, &self.demands)
    }

    /// Asks for permits for the loads that save the most waiting, as many as slots can be had.
    fn ask_for_loads(&mut self, now: Timestamp, commands: &mut PlannerCommands) {
        self.warming.retain(|_, until| *until > now);
        let mut wanted = self.wanted_loads(now);
        let spare = (self.spare_slots() + self.asks.adapters().count())
            .saturating_sub(self.asks.committed());
        wanted.truncate(spare);
        self.asks
            .retain_delayed(|adapter| wanted.iter().any(|(_, kept)| kept == adapter));
        for (saved, adapter) in wanted {
            if self.asks.is_due(now, &adapter) {
                self.asks.set(now, &adapter, AskState::Asked);
                commands.push(PlannerCommand::RequestPermit(adapter, saved));
            }
        }
    }

    /// Returns the missing adapters that are not yet committed, with the waiting in milliseconds
    /// that a load saves, the greatest first.
    fn wanted_loads(&self, now: Timestamp) -> Vec<(u64, AdapterRef)> {
        let mut wanted: Vec<(u64, AdapterRef)> = self
            .queue
            .missing()
            .chain(self.warming.keys())
            .filter(|adapter| !self.slots.contains(adapter))
            .filter(|adapter| matches!(self.asks.state(adapter), None | Some(AskState::Delayed(_))))
            .map(|adapter| (self.saved_wait_ms(now, adapter), adapter.clone()))
            .collect();
        wanted.sort_unstable_by(|one, other| other.0.cmp(&one.0).then(one.1.cmp(&other.1)));
        wanted.dedup();
        wanted
    }

    fn saved_wait_ms(&self, now: Timestamp, adapter: &AdapterRef) -> u64 {
        let waiting = self.queue.waiting_for(adapter) as f64;
        let coming = self.demands.rate(now, adapter) * DEMAND_HORIZON.as_secs_f64();
        ((waiting + coming) * SAVED_PER_REQUEST.as_secs_f64() * 1_000.0) as u64
    }
}
