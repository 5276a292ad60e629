//! The engine plan of the baselines: first come, first served, and one rule for evictions.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use amaranth_core::errors::{Error, ErrorKind};
use amaranth_core::ids::{AdapterRef, RequestId};
use amaranth_core::time::Timestamp;
use amaranth_placement::planner::{
    PlannedRequest, PlannerCommand, PlannerCommands, PlannerEvent, PlannerOptions,
};

use crate::policy::future::FutureArrivals;

/// Which adapter a baseline evicts.
#[derive(Debug, Clone)]
pub enum VictimRule {
    /// The one used least recently.
    LeastRecentlyUsed,
    /// The one whose next request is furthest away.
    FurthestNextUse(Rc<FutureArrivals>),
}

/// One resident adapter.
#[derive(Debug, Clone, Copy)]
struct ResidentAdapter {
    pins: u32,
    last_used: Timestamp,
}

/// Plans one engine in the way of a baseline.
#[derive(Debug, Clone)]
pub struct BaselineEngine {
    options: PlannerOptions,
    rule: VictimRule,
    resident: BTreeMap<AdapterRef, ResidentAdapter>,
    asking: BTreeMap<AdapterRef, Option<Timestamp>>,
    loading: BTreeSet<AdapterRef>,
    queue: VecDeque<PlannedRequest>,
    running: BTreeMap<RequestId, AdapterRef>,
}

impl BaselineEngine {
    /// Opens a plan of an empty engine.
    pub fn open(options: PlannerOptions, rule: VictimRule) -> Self {
        Self {
            options,
            rule,
            resident: BTreeMap::new(),
            asking: BTreeMap::new(),
            loading: BTreeSet::new(),
            queue: VecDeque::new(),
            running: BTreeMap::new(),
        }
    }

    /// Returns whether the adapter is resident.
    pub fn holds(&self, adapter: &AdapterRef) -> bool {
        self.resident.contains_key(adapter)
    }

    /// Returns whether the adapter is wanted or loading.
    pub fn fetches(&self, adapter: &AdapterRef) -> bool {
        self.asking.contains_key(adapter) || self.loading.contains(adapter)
    }

    /// Returns the requests dispatched or waiting.
    pub fn load(&self) -> usize {
        self.queue.len() + self.running.len()
    }

    /// Returns the number of waiting requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the waiting requests for an adapter.
    pub fn waiting_for(&self, adapter: &AdapterRef) -> usize {
        self.queue
            .iter()
            .filter(|request| request.target.adapter() == Some(adapter))
            .count()
    }

    /// Returns slots that hold nothing, or something that may be evicted, beyond those that
    /// waiting loads will take.
    pub fn spare_slots(&self) -> usize {
        let pinned = self.resident.values().filter(|held| held.pins > 0).count();
        let taken = pinned + self.loading.len() + self.asking.len();
        self.options.adapter_slots.saturating_sub(taken)
    }

    /// Returns the adapter that would be evicted next.
    pub fn victim(&self, now: Timestamp) -> Option<&AdapterRef> {
        let wanted: BTreeSet<&AdapterRef> = self
            .queue
            .iter()
            .filter_map(|request| request.target.adapter())
            .collect();
        self.resident
            .iter()
            .filter(|(adapter, held)| held.pins == 0 && !wanted.contains(adapter))
            .min_by_key(|(adapter, held)| match &self.rule {
                VictimRule::LeastRecentlyUsed => held.last_used.as_micros(),
                VictimRule::FurthestNextUse(future) => {
                    u64::MAX - future.next_use(adapter, now).as_micros()
                }
            })
            .map(|(adapter, _)| adapter)
    }

    /// Returns whether a slot holds nothing.
    pub fn has_free_slot(&self) -> bool {
        self.resident.len() + self.loading.len() < self.options.adapter_slots
    }

    /// Takes one event and returns what to do about it.
    pub fn handle(&mut self, now: Timestamp, event: PlannerEvent) -> PlannerCommands {
        let mut commands = PlannerCommands::new();
        self.apply(now, event, &mut commands);
        self.refuse_expired(now, &mut commands);
        self.dispatch_ready(now, &mut commands);
        self.drop_due_asks(now);
        self.ask_for_missing(&mut commands);
        commands
    }

    fn apply(&mut self, now: Timestamp, event: PlannerEvent, commands: &mut PlannerCommands) {
        match event {
            PlannerEvent::Arrived(request) => self.queue.push_back(request),
            PlannerEvent::Cancelled(id) => self.queue.retain(|waiting| waiting.id != id),
            PlannerEvent::Finished(id) => self.finish(id),
            PlannerEvent::PermitGranted(adapter) => self.start_load(now, adapter, commands),
            PlannerEvent::PermitDelayed(adapter, until) => {
                self.asking.insert(adapter, Some(until));
            }
            PlannerEvent::LoadFailed(adapter) => {
                self.loading.remove(&adapter);
            }
            PlannerEvent::Loaded(adapter) => {
                self.loading.remove(&adapter);
                let held = ResidentAdapter {
                    pins: 0,
                    last_used: now,
                };
                self.resident.insert(adapter, held);
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
        if let Some(held) = self.resident.get_mut(&adapter) {
            held.pins = held.pins.saturating_sub(1);
        }
    }

    /// Starts a load in a free slot or in that of the victim; gives the permit back otherwise.
    fn start_load(&mut self, now: Timestamp, adapter: AdapterRef, commands: &mut PlannerCommands) {
        self.asking.remove(&adapter);
        let wanted = self.waiting_for(&adapter) > 0 && !self.holds(&adapter);
        let victim = self.victim(now).cloned();
        if !wanted || (!self.has_free_slot() && victim.is_none()) {
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
            let error = Error::new(ErrorKind::DeadlineBeforeStart, "the deadline passed");
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
                .expect("replayed requests have one");
            if let Some(held) = self.resident.get_mut(adapter) {
                held.pins += 1;
                held.last_used = now;
            }
            commands.push(PlannerCommand::Dispatch(request.id));
            self.running.insert(request.id, adapter.clone());
        }
    }

    /// Makes room for asking again where the broker's delay is over.
    fn drop_due_asks(&mut self, now: Timestamp) {
        self.asking
            .retain(|_, until| until.is_none_or(|until| until > now));
    }

    /// Asks for permits in the order in which the requests came, as many as could start.
    fn ask_for_missing(&mut self, commands: &mut PlannerCommands) {
        let mut spare = self.spare_slots();
        for request in &self.queue {
            if spare == 0 {
                return;
            }
            let adapter = request
                .target
                .adapter()
                .expect("replayed requests have one");
            if self.resident.contains_key(adapter)
                || self.asking.contains_key(adapter)
                || self.loading.contains(adapter)
            {
                continue;
            }
            self.asking.insert(adapter.clone(), None);
            spare -= 1;
            commands.push(PlannerCommand::RequestPermit(adapter.clone(), 0));
        }
    }
}
