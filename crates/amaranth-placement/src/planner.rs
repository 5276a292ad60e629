//! The planner of one engine, which schedules its requests, adapter loads and evictions.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use amaranth_core::errors::{Error, ErrorKind};
use amaranth_core::ids::{AdapterRef, RequestId};
use amaranth_core::request::{ModelTarget, RequestPriority};
use amaranth_core::time::Timestamp;
use amaranth_core::units::TokenCount;
use smallvec::SmallVec;

use crate::admission::AdmissionEstimates;
use crate::decision::{DecisionHistory, PlacementDecision};
use crate::demand::DemandTable;
use crate::eviction::{EvictionVictim, select_victim};
use crate::pending_loads::{PendingLoads, PermitState};
use crate::queue::RequestQueue;
use crate::slots::AdapterSlots;

/// The properties of a request that the planner uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedRequest {
    /// The id of the request.
    pub id: RequestId,
    /// The model and adapter that the request needs.
    pub target: ModelTarget,
    /// The time at which the caller stops waiting.
    pub deadline: Timestamp,
    /// The priority of the request.
    pub priority: RequestPriority,
    /// The estimated number of tokens in the prompt.
    pub prompt_tokens: TokenCount,
    /// The maximum number of tokens to generate.
    pub max_tokens: TokenCount,
}

/// An event that the planner handles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlannerEvent {
    /// A request arrived.
    Arrived(PlannedRequest),
    /// A request was cancelled before it was dispatched.
    Cancelled(RequestId),
    /// A dispatched request ended, successfully or not.
    Finished(RequestId),
    /// The broker granted the permit for a load.
    PermitGranted(AdapterRef),
    /// The broker delayed a load; the permit is to be requested again at this time.
    PermitDelayed(AdapterRef, Timestamp),
    /// An adapter was loaded and is resident.
    Loaded(AdapterRef),
    /// A load failed; the adapter is not resident.
    LoadFailed(AdapterRef),
    /// An adapter was unloaded and is no longer resident.
    Unloaded(AdapterRef),
    /// An unload failed; the adapter may still be resident.
    UnloadFailed(AdapterRef),
    /// The inventory of the engine was read, which also happens after an engine restart: the engine
    /// holds exactly these adapters.
    Inventory(Vec<AdapterRef>),
    /// Requests for the adapter are expected soon, for example because its version was just
    /// accepted.
    Expected(AdapterRef),
    /// Time passed.
    Tick,
}

/// A command of the planner to the agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlannerCommand {
    /// Sends the request to the engine. Its adapter stays pinned until [`PlannerEvent::Finished`].
    Dispatch(RequestId),
    /// Requests a permit for a load from the broker, with the waiting time in milliseconds that the
    /// load saves.
    RequestPermit(AdapterRef, u64),
    /// Returns an unused permit to the broker.
    ReturnPermit(AdapterRef),
    /// Loads the adapter.
    Load(AdapterRef),
    /// Unloads the adapter.
    Unload(AdapterRef),
    /// Refuses the request with an error; the request did not run.
    Refuse(RequestId, Error),
}

/// The commands that result from one event.
pub type PlannerCommands = SmallVec<[PlannerCommand; 4]>;

/// The time after which an expected adapter without waiting requests is no longer to be loaded.
const WARMING_TIMEOUT: Duration = Duration::from_secs(60);

/// The time over which expected requests count like waiting ones in the waiting time that a load
/// saves.
const DEMAND_HORIZON: Duration = Duration::from_secs(10);

/// The waiting time that a load saves for each request, as permit requests state it.
const SAVED_WAIT_PER_REQUEST: Duration = Duration::from_secs(1);

/// The factor from requests per second to requests per million seconds.
const EVICTION_COST_SCALE: f64 = 1e6;

/// The delay before another permit request after a permit was returned because no adapter could be
/// evicted.
const NO_SLOT_DELAY: Duration = Duration::from_millis(250);

/// The limits of one engine, and the policy for early refusals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannerOptions {
    /// The number of adapters that can be resident or loading at once.
    pub adapter_slots: usize,
    /// The number of requests that the engine batches at once.
    pub batch_slots: usize,
    /// The number of requests that can wait at once; further requests are refused.
    pub queue_limit: usize,
    /// Whether requests that can't end before their deadline are refused on arrival.
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

/// A request that was dispatched to the engine.
#[derive(Debug, Clone)]
struct RunningRequest {
    target: ModelTarget,
    dispatched_at: Timestamp,
    deadline: Timestamp,
}

/// Schedules the requests of one engine and manages its adapter slots.
#[derive(Debug, Clone)]
pub struct EnginePlanner {
    options: PlannerOptions,
    slots: AdapterSlots,
    queue: RequestQueue,
    demands: DemandTable,
    pending_loads: PendingLoads,
    /// The adapters to load without waiting requests, with the time at which each entry expires.
    warming: BTreeMap<AdapterRef, Timestamp>,
    running: HashMap<RequestId, RunningRequest>,
    estimates: AdmissionEstimates,
    decisions: DecisionHistory,
}

impl EnginePlanner {
    /// Creates a planner for an empty engine.
    pub fn new(options: PlannerOptions) -> Self {
        Self {
            options,
            slots: AdapterSlots::new(options.adapter_slots),
            queue: RequestQueue::new(),
            demands: DemandTable::new(),
            pending_loads: PendingLoads::new(),
            warming: BTreeMap::new(),
            running: HashMap::new(),
            estimates: AdmissionEstimates::default(),
            decisions: DecisionHistory::default(),
        }
    }

    /// Changes the number of adapter and batch slots, as the inventory of the engine states them.
    pub fn resize(&mut self, adapter_slots: usize, batch_slots: usize) {
        self.options.adapter_slots = adapter_slots;
        self.options.batch_slots = batch_slots;
        self.slots.resize(adapter_slots);
    }

    /// Returns the resident adapters, sorted.
    pub fn resident(&self) -> impl Iterator<Item = &AdapterRef> {
        self.slots.resident()
    }

    /// Returns the adapters that wait for a permit or are being loaded, sorted.
    pub fn loading(&self) -> impl Iterator<Item = &AdapterRef> {
        let mut adapters: SmallVec<[&AdapterRef; 8]> = self
            .slots
            .loading()
            .chain(self.pending_loads.adapters())
            .collect();
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

    /// Returns the time by which the next [`PlannerEvent::Tick`] is needed to continue pending
    /// loads.
    pub fn next_wake(&self) -> Option<Timestamp> {
        self.pending_loads.next_due()
    }

    /// Returns the number of slots that are available for further loads.
    pub fn spare_slots(&self) -> usize {
        let evictable = self
            .slots
            .idle()
            .filter(|(adapter, _)| self.queue.waiting_for(adapter) == 0)
            .count();
        (self.slots.free_count() + evictable).saturating_sub(self.pending_loads.adapters().count())
    }

    /// Returns the demand for the next adapter to be evicted, in requests per second.
    ///
    /// The cost is zero while a slot is free, and infinite if no adapter can be evicted.
    pub fn eviction_cost(&self, now: Timestamp) -> f64 {
        if self.slots.has_free_slot() {
            return 0.0;
        }
        self.victim(now)
            .map_or(f64::INFINITY, |victim| victim.demand)
    }

    /// Returns the cost of the next eviction as reports state it, in requests per million seconds.
    pub fn reported_eviction_cost(&self, now: Timestamp) -> u32 {
        (self.eviction_cost(now) * EVICTION_COST_SCALE) as u32
    }

    /// Returns the latest decisions with their reasons, oldest first.
    pub fn decisions(&self) -> impl Iterator<Item = &(Timestamp, PlacementDecision)> {
        self.decisions.iter()
    }

    /// Handles one event and returns the resulting commands.
    pub fn handle(&mut self, now: Timestamp, event: PlannerEvent) -> PlannerCommands {
        let mut commands = PlannerCommands::new();
        self.apply(now, event, &mut commands);
        self.refuse_expired(now, &mut commands);
        self.dispatch_ready(now, &mut commands);
        self.start_granted_loads(now, &mut commands);
        self.request_permits(now, &mut commands);
        commands
    }

    fn apply(&mut self, now: Timestamp, event: PlannerEvent, commands: &mut PlannerCommands) {
        match event {
            PlannerEvent::Arrived(request) => self.enqueue(now, request, commands),
            PlannerEvent::Cancelled(id) => {
                self.queue.remove(id);
            }
            PlannerEvent::Finished(id) => self.finish(now, id),
            PlannerEvent::PermitGranted(adapter) => self.accept_permit(now, adapter, commands),
            PlannerEvent::PermitDelayed(adapter, until) => {
                if self.pending_loads.permit_state(&adapter) == Some(PermitState::Requested) {
                    self.pending_loads
                        .set_permit(now, &adapter, PermitState::Delayed(until));
                }
            }
            PlannerEvent::Loaded(adapter) => self.record_loaded(now, adapter),
            PlannerEvent::LoadFailed(adapter) => self.fail_load(now, &adapter),
            PlannerEvent::Unloaded(adapter) => {
                self.slots.mark_removed(&adapter);
                self.queue.set_ready(&adapter, false);
            }
            PlannerEvent::UnloadFailed(adapter) => {
                self.slots.cancel_eviction(&adapter);
                let is_resident = self.slots.is_resident(&adapter);
                self.queue.set_ready(&adapter, is_resident);
            }
            PlannerEvent::Inventory(adapters) => self.reconcile(now, &adapters),
            PlannerEvent::Expected(adapter) => {
                self.warming.insert(adapter, now + WARMING_TIMEOUT);
            }
            PlannerEvent::Tick => {}
        }
    }

    fn enqueue(&mut self, now: Timestamp, request: PlannedRequest, commands: &mut PlannerCommands) {
        if let Some(adapter) = request.target.adapter() {
            self.demands.record(now, adapter);
        }
        let expected = self.expected_wait(now, &request.target);
        // A request that starts in time but ends too late occupies a batch slot that a request
        // which can end in time could use.
        let end = now + expected + self.estimates.service_time(now);
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

    /// Returns the expected wait of a request that arrives now.
    fn expected_wait(&self, now: Timestamp, target: &ModelTarget) -> Duration {
        let resident = target
            .adapter()
            .is_none_or(|adapter| self.slots.is_resident(adapter));
        if !resident {
            return self.estimates.load_wait(now);
        }
        let batch_slots = self.options.batch_slots;
        let ahead = (self.running.len() + self.queue.ready_len()).saturating_sub(batch_slots);
        self.estimates.batch_wait(now, ahead, batch_slots)
    }

    fn finish(&mut self, now: Timestamp, id: RequestId) {
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        // The duration of a request that ended at its deadline does not show the time it needed.
        if now < running.deadline {
            self.estimates
                .record_service(now, now.since(running.dispatched_at));
        }
        if let Some(adapter) = running.target.adapter() {
            self.slots.unpin(adapter);
        }
    }

    fn record_loaded(&mut self, now: Timestamp, adapter: AdapterRef) {
        if let Some(waited) = self.pending_loads.remove(now, &adapter) {
            self.estimates.record_load(now, waited);
        }
        self.pending_loads.clear_failures(&adapter);
        self.warming.remove(&adapter);
        self.slots.mark_resident(now, adapter.clone());
        let is_resident = self.slots.is_resident(&adapter);
        self.queue.set_ready(&adapter, is_resident);
    }

    fn fail_load(&mut self, now: Timestamp, adapter: &AdapterRef) {
        if self.slots.fail_load(adapter) {
            self.pending_loads.back_off(now, adapter);
        }
    }

    /// Updates the state of the planner to the adapters that the engine holds.
    ///
    /// Adapters that the engine no longer holds are loaded again, the most demanded ones first.
    fn reconcile(&mut self, now: Timestamp, held: &[AdapterRef]) {
        let removed: Vec<AdapterRef> = self
            .slots
            .resident()
            .filter(|adapter| !held.contains(adapter))
            .cloned()
            .collect();
        self.slots.reconcile(now, held);
        for adapter in removed {
            self.queue.set_ready(&adapter, false);
            self.warming.insert(adapter, now + WARMING_TIMEOUT);
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
                .is_some_and(|adapter| self.pending_loads.has_failed(adapter));
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
            let end = now + self.estimates.service_time(now);
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
                dispatched_at: now,
                deadline: queued.request.deadline,
            };
            self.running.insert(id, running);
        }
    }

    fn is_wanted(&self, adapter: &AdapterRef) -> bool {
        self.queue.waiting_for(adapter) > 0 || self.warming.contains_key(adapter)
    }

    fn accept_permit(
        &mut self,
        now: Timestamp,
        adapter: AdapterRef,
        commands: &mut PlannerCommands,
    ) {
        let requested = self.pending_loads.permit_state(&adapter) == Some(PermitState::Requested);
        if requested && self.is_wanted(&adapter) && !self.slots.contains(&adapter) {
            self.pending_loads
                .set_permit(now, &adapter, PermitState::Granted);
            return;
        }
        if requested {
            self.pending_loads.remove(now, &adapter);
        }
        if self.pending_loads.permit_state(&adapter) != Some(PermitState::Granted) {
            commands.push(PlannerCommand::ReturnPermit(adapter));
        }
    }

    /// Starts the loads with a granted permit, and evicts adapters to free slots for them.
    fn start_granted_loads(&mut self, now: Timestamp, commands: &mut PlannerCommands) {
        while self.slots.has_free_slot() {
            let Some(adapter) = self.pending_loads.first_granted() else {
                return;
            };
            self.start_load(now, adapter, commands);
        }
        while self.pending_loads.granted_count() > self.slots.unloading_count() {
            let Some(adapter) = self.pending_loads.first_granted() else {
                return;
            };
            if !self.evict_for(now, &adapter, commands) {
                let retry_at = now + NO_SLOT_DELAY;
                self.pending_loads
                    .set_permit(now, &adapter, PermitState::Delayed(retry_at));
                commands.push(PlannerCommand::ReturnPermit(adapter));
            }
        }
    }

    fn start_load(&mut self, now: Timestamp, adapter: AdapterRef, commands: &mut PlannerCommands) {
        let waited = self.pending_loads.remove(now, &adapter);
        if !self.slots.begin_load(adapter.clone()) {
            commands.push(PlannerCommand::ReturnPermit(adapter));
            return;
        }
        self.estimates.record_load(now, waited.unwrap_or_default());
        let decision = PlacementDecision::Load {
            adapter: adapter.clone(),
            waiting: self.queue.waiting_for(&adapter),
            demand: self.demands.rate(now, &adapter),
        };
        self.decisions.record(now, decision);
        commands.push(PlannerCommand::Load(adapter));
    }

    /// Starts an eviction that frees a slot for `adapter`; returns whether there was a victim.
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
        select_victim(now, &self.slots, &self.queue, &self.demands)
    }

    /// Requests permits for the loads that save the most waiting time, up to the number of
    /// available slots.
    fn request_permits(&mut self, now: Timestamp, commands: &mut PlannerCommands) {
        self.warming.retain(|_, until| *until > now);
        let mut wanted = self.wanted_loads(now);
        let spare = (self.spare_slots() + self.pending_loads.adapters().count())
            .saturating_sub(self.pending_loads.committed_count());
        wanted.truncate(spare);
        self.pending_loads
            .retain_delayed(|adapter| wanted.iter().any(|(_, kept)| kept == adapter));
        for (saved_wait_ms, adapter) in wanted {
            if self.pending_loads.is_due(now, &adapter) {
                self.pending_loads
                    .set_permit(now, &adapter, PermitState::Requested);
                commands.push(PlannerCommand::RequestPermit(adapter, saved_wait_ms));
            }
        }
    }

    /// Returns the adapters to load whose permits are neither requested nor granted, with the
    /// waiting time in milliseconds that each load saves, in descending order.
    fn wanted_loads(&self, now: Timestamp) -> Vec<(u64, AdapterRef)> {
        let mut wanted: Vec<(u64, AdapterRef)> = self
            .queue
            .missing()
            .chain(self.warming.keys())
            .filter(|adapter| !self.slots.contains(adapter))
            .filter(|adapter| {
                matches!(
                    self.pending_loads.permit_state(adapter),
                    None | Some(PermitState::Delayed(_))
                )
            })
            .map(|adapter| (self.saved_wait_ms(now, adapter), adapter.clone()))
            .collect();
        wanted.sort_unstable_by(|one, other| other.0.cmp(&one.0).then(one.1.cmp(&other.1)));
        wanted.dedup();
        wanted
    }

    fn saved_wait_ms(&self, now: Timestamp, adapter: &AdapterRef) -> u64 {
        let waiting = self.queue.waiting_for(adapter) as f64;
        let expected = self.demands.rate(now, adapter) * DEMAND_HORIZON.as_secs_f64();
        ((waiting + expected) * SAVED_WAIT_PER_REQUEST.as_secs_f64() * 1_000.0) as u64
    }
}
