//! The engine planner of the baselines: first come, first served, with one eviction policy.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use amaranth_core::errors::{Error, ErrorKind};
use amaranth_core::ids::{AdapterRef, RequestId};
use amaranth_core::time::Timestamp;
use amaranth_placement::planner::{
    PlannedRequest, PlannerCommand, PlannerCommands, PlannerEvent, PlannerOptions,
};

use crate::policy::future_arrivals::FutureArrivals;

/// The rule by which a baseline selects the adapter to evict.
#[derive(Debug, Clone)]
pub enum EvictionPolicy {
    /// Evicts the adapter that was used least recently.
    LeastRecentlyUsed,
    /// Evicts the adapter whose next request is furthest in the future.
    FurthestNextUse(Rc<FutureArrivals>),
}

/// The usage of a resident adapter.
#[derive(Debug, Clone, Copy)]
struct ResidentUsage {
    pins: u32,
    last_used: Timestamp,
}

/// Plans the loads, evictions and dispatches of one engine as a baseline does.
#[derive(Debug, Clone)]
pub struct BaselineEngine {
    options: PlannerOptions,
    eviction_policy: EvictionPolicy,
    resident: BTreeMap<AdapterRef, ResidentUsage>,
    permit_requests: BTreeMap<AdapterRef, Option<Timestamp>>,
    loading: BTreeSet<AdapterRef>,
    queue: VecDeque<PlannedRequest>,
    running: BTreeMap<RequestId, AdapterRef>,
}

impl BaselineEngine {
    /// Creates a planner for an engine without adapters or requests.
    pub fn new(options: PlannerOptions, eviction_policy: EvictionPolicy) -> Self {
        Self {
            options,
            eviction_policy,
            resident: BTreeMap::new(),
            permit_requests: BTreeMap::new(),
            loading: BTreeSet::new(),
            queue: VecDeque::new(),
            running: BTreeMap::new(),
        }
    }

    /// Returns whether the adapter is resident.
    pub fn is_resident(&self, adapter: &AdapterRef) -> bool {
        self.resident.contains_key(adapter)
    }

    /// Returns whether the adapter is loading or waits for a load permit.
    pub fn has_pending_load(&self, adapter: &AdapterRef) -> bool {
        self.permit_requests.contains_key(adapter) || self.loading.contains(adapter)
    }

    /// Returns the number of dispatched and waiting requests.
    pub fn request_count(&self) -> usize {
        self.queue.len() + self.running.len()
    }

    /// Returns the number of waiting requests.
    pub fn queued_count(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of waiting requests for an adapter.
    pub fn waiting_for(&self, adapter: &AdapterRef) -> usize {
        self.queue
            .iter()
            .filter(|request| request.target.adapter() == Some(adapter))
            .count()
    }

    /// Returns the number of adapter slots that are free or occupied by an unused adapter, less
    /// those that pending loads will occupy.
    pub fn spare_slots(&self) -> usize {
        let pinned = self
            .resident
            .values()
            .filter(|usage| usage.pins > 0)
            .count();
        let occupied = pinned + self.loading.len() + self.permit_requests.len();
        self.options.adapter_slots.saturating_sub(occupied)
    }

    /// Returns the adapter to evict next; adapters in use or with waiting requests are never
    /// evicted.
    pub fn victim(&self, now: Timestamp) -> Option<&AdapterRef> {
        let requested: BTreeSet<&AdapterRef> = self
            .queue
            .iter()
            .filter_map(|request| request.target.adapter())
            .collect();
        self.resident
            .iter()
            .filter(|(adapter, usage)| usage.pins == 0 && !requested.contains(adapter))
            .min_by_key(|(adapter, usage)| match &self.eviction_policy {
                EvictionPolicy::LeastRecentlyUsed => usage.last_used.as_micros(),
                EvictionPolicy::FurthestNextUse(future) => {
                    u64::MAX - future.next_use(adapter, now).as_micros()
                }
            })
            .map(|(adapter, _)| adapter)
    }

    /// Returns whether the engine has a free adapter slot.
    pub fn has_free_slot(&self) -> bool {
        self.resident.len() + self.loading.len() < self.options.adapter_slots
    }

    /// Handles an event and returns the commands that result from it.
    pub fn handle(&mut self, now: Timestamp, event: PlannerEvent) -> PlannerCommands {
        let mut commands = PlannerCommands::new();
        self.apply(now, event, &mut commands);
        self.refuse_expired(now, &mut commands);
        self.dispatch_ready(now, &mut commands);
        self.remove_expired_delays(now);
        self.request_missing_permits(&mut commands);
        commands
    }

    fn apply(&mut self, now: Timestamp, event: PlannerEvent, commands: &mut PlannerCommands) {
        match event {
            PlannerEvent::Arrived(request) => self.queue.push_back(request),
            PlannerEvent::Cancelled(id) => self.queue.retain(|waiting| waiting.id != id),
            PlannerEvent::Finished(id) => self.finish(id),
            PlannerEvent::PermitGranted(adapter) => self.start_load(now, adapter, commands),
            PlannerEvent::PermitDelayed(adapter, until) => {
                self.permit_requests.insert(adapter, Some(until));
            }
            PlannerEvent::LoadFailed(adapter) => {
                self.loading.remove(&adapter);
            }
            PlannerEvent::Loaded(adapter) => {
                self.loading.remove(&adapter);
                let usage = ResidentUsage {
                    pins: 0,
                    last_used: now,
                };
                self.resident.insert(adapter, usage);
            }
            PlannerEvent::Inventory(adapters) => {
                self.resident
                    .retain(|adapter, _| adapters.contains(adapter));
            }
            _ => {}
        }
    }

    fn finish(&mut self, id: RequestId) {
        let Some(adapter) = self.running.remove(&id) else {
            return;
        };
        if let Some(usage) = self.resident.get_mut(&adapter) {
            usage.pins = usage.pins.saturating_sub(1);
        }
    }

    /// Starts a load in a free slot, or evicts the victim for it. Returns the permit if neither is
    /// possible or the adapter is no longer needed.
    fn start_load(&mut self, now: Timestamp, adapter: AdapterRef, commands: &mut PlannerCommands) {
        self.permit_requests.remove(&adapter);
        let is_needed = self.waiting_for(&adapter) > 0 && !self.is_resident(&adapter);
        let victim = self.victim(now).cloned();
        if !is_needed || (!self.has_free_slot() && victim.is_none()) {
            commands.push(PlannerCommand::ReturnPermit(adapter));
            return;
        }
        if !self.has_free_slot()
            && let Some(victim) = victim
        {
            self.resident.remove(&victim);
            commands.push(PlannerCommand::Unload(victim));
        }
        self.loading.insert(adapter.clone());
        commands.push(PlannerCommand::Load(adapter));
    }

    fn refuse_expired(&mut self, now: Timestamp, commands: &mut PlannerCommands) {
        self.queue.retain(|request| {
            if request.deadline > now {
                return true;
            }
            let error = Error::new(
                ErrorKind::DeadlineBeforeStart,
                "the deadline passed before the request started",
            );
            commands.push(PlannerCommand::Refuse(request.id, error));
            false
        });
    }

    fn dispatch_ready(&mut self, now: Timestamp, commands: &mut PlannerCommands) {
        while self.running.len() < self.options.batch_slots {
            let ready = self.queue.iter().position(|request| {
                request
                    .target
                    .adapter()
                    .is_some_and(|adapter| self.resident.contains_key(adapter))
            });
            let Some(request) = ready.and_then(|index| self.queue.remove(index)) else {
                return;
            };
            let adapter = request
                .target
                .adapter()
                .expect("replayed requests name an adapter");
            if let Some(usage) = self.resident.get_mut(adapter) {
                usage.pins += 1;
                usage.last_used = now;
            }
            commands.push(PlannerCommand::Dispatch(request.id));
            self.running.insert(request.id, adapter.clone());
        }
    }

    /// Removes permit requests whose delay by the broker is over, so that they are made again.
    fn remove_expired_delays(&mut self, now: Timestamp) {
        self.permit_requests
            .retain(|_, until| until.is_none_or(|until| until > now));
    }

    /// Requests permits in the order in which the requests arrived, for as many loads as could
    /// start.
    fn request_missing_permits(&mut self, commands: &mut PlannerCommands) {
        let mut spare = self.spare_slots();
        for request in &self.queue {
            if spare == 0 {
                return;
            }
            let adapter = request
                .target
                .adapter()
                .expect("replayed requests name an adapter");
            if self.resident.contains_key(adapter)
                || self.permit_requests.contains_key(adapter)
                || self.loading.contains(adapter)
            {
                continue;
            }
            self.permit_requests.insert(adapter.clone(), None);
            spare -= 1;
            commands.push(PlannerCommand::RequestPermit(adapter.clone(), 0));
        }
    }
}
