//! Management of the adapters of one engine by its agent: load requests, evictions and orders.
//!
//! At most one order is in flight, and each names the number of orders that the engine is expected
//! to have accepted so far. The engine refuses an order whose count differs from its own. The
//! outcome of an order without an answer is learned from the engine's report: until the reported
//! count has increased, the order may still be carried out. The next order then carries the same
//! count, so that the engine accepts at most one of the two.

use std::collections::HashMap;
use std::time::Duration;

use amaranth_core::ids::{AdapterName, EndpointId, ModelName};
use amaranth_core::time::Timestamp;
use strum::Display;

use crate::adapter_demand::AdapterDemand;
use crate::engine_tokens::{REPORTED_TOKENS_TIME, is_noticeable};
use crate::engine_view::{
    EngineContents, EngineView, LoadOutcome, LoadRequest, UsageReport, adapter_key,
};
use crate::fleet_size::HeardEntries;
use crate::pause_forecast::StreamLoad;
use crate::prefill_turns::{PrefillTurns, TurnGrant, TurnId, TurnRequest};
use crate::shared_speed::SharedSpeed;

/// Age at which an entry's usage report expires: the entry stopped or is unreachable.
const USAGE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Largest number of adapters that one engine loads at once.
const MAX_CONCURRENT_LOADS: usize = 4;

/// Delay between a refused order and the next one.
const REFUSED_BACKOFF: Duration = Duration::from_millis(40);

/// Delay between an order without an answer and the next one.
const UNANSWERED_BACKOFF: Duration = Duration::from_millis(5);

/// Time after its load or last use for which an adapter is not evicted: the calls that requested it
/// may be about to arrive.
const MIN_IDLE_TIME: Duration = Duration::from_millis(200);

/// Change of the number of pending prefills that is published to entries at once.
const PREFILL_CHANGE_TO_PUBLISH: u32 = 3;

/// Number of adapters that an engine keeps cached after their eviction, in multiples of its slots.
/// They load again in a fraction of the time and without the weight store.
const CACHED_PER_SLOT: usize = 6;

/// Time for which an adapter that the engine did not unload on order is not evicted again: a run
/// that the agent does not know of uses the adapter.
const UNLOAD_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineOrder {
    /// Load a model's weights.
    LoadModel(ModelName),
    /// Load an adapter, in the given version or else in the newest.
    LoadAdapter(ModelName, AdapterName, Option<u64>),
    /// Unload an adapter.
    UnloadAdapter(ModelName, AdapterName),
}

/// An order that the engine accepts only at an expected count of accepted orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GuardedOrder {
    /// The order.
    pub order: EngineOrder,
    /// The endpoint, and thus the incarnation, of the engine that the order is for.
    pub endpoint: EndpointId,
    /// The number of orders that the engine must have accepted so far.
    pub expected_count: u64,
}

/// The engine's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum OrderAnswer {
    /// The order is being carried out, or was carried out at once.
    Accepted,
    /// The engine held the model or adapter already.
    HeldAlready,
    /// The order was refused: the count differs, or another order is being carried out.
    Conflict,
    /// The order was refused for another reason.
    Refused,
    /// No answer arrived, so the outcome is unknown.
    Unanswered,
}

/// Identifies a waiting load request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoadRequestId(u64);

#[derive(Debug)]
struct WaitingLoad {
    id: LoadRequestId,
    request: LoadRequest,
    deadline: Timestamp,
}

/// The rule by which the adapter to evict is chosen among idle ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum EvictionRule {
    /// The adapter with the lowest demand at the engine. Each is cached by the engine when it is
    /// evicted, so that all cost the same to bring back.
    #[default]
    LowestDemand,
    /// The adapter that was used least recently, for comparison.
    LeastRecentlyUsed,
}

/// Decides on loads and evictions of one engine's adapters.
#[derive(Debug, Default)]
pub struct AdapterManager {
    endpoint: Option<EndpointId>,
    contents: Option<EngineContents>,
    usage: HashMap<String, (Timestamp, UsageReport)>,
    heard: HeardEntries,
    speed: SharedSpeed,
    turns: PrefillTurns,
    last_used: HashMap<(ModelName, AdapterName), Timestamp>,
    unload_blocked_until: HashMap<(ModelName, AdapterName), Timestamp>,
    cached: Vec<u64>,
    slots: usize,
    last_order: Option<EngineOrder>,
    waiting: Vec<WaitingLoad>,
    last_request: u64,
    order_in_flight: bool,
    stale: bool,
    backoff_until: Timestamp,
    revision: u64,
    published_prefills: u32,
    observed_at: Timestamp,
    published_tokens: u64,
    eviction: EvictionRule,
    demand: AdapterDemand,
}

impl AdapterManager {
    /// Creates the manager of an engine whose contents are not known yet.
    pub fn new(eviction: EvictionRule) -> Self {
        Self {
            eviction,
            ..Self::default()
        }
    }

    /// Returns the endpoint of the managed engine, once an entry has named it.
    pub const fn endpoint(&self) -> Option<&EndpointId> {
        self.endpoint.as_ref()
    }

    /// Returns whether load requests are waiting.
    pub const fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns whether the engine is loading a model or adapters, according to its last report.
    pub fn has_loading(&self) -> bool {
        self.contents
            .as_ref()
            .is_some_and(|contents| !contents.loading.is_empty() || contents.busy)
    }

    /// Returns whether the last report is out of date because an order ended after it.
    pub const fn is_stale(&self) -> bool {
        self.stale
    }

    /// Applies the engine's own report.
    pub fn observe(&mut self, now: Timestamp, contents: EngineContents) {
        self.stale = false;
        self.observed_at = now;
        self.record_failed_unload(now, &contents);
        self.update_cached(&contents);
        for held in &contents.adapters {
            self.last_used
                .entry((held.model.clone(), held.name.clone()))
                .or_insert(now);
        }
        self.last_used.retain(|(model, name), _| {
            contents
                .adapters
                .iter()
                .any(|held| held.is_for(model, name))
        });
        let changed = self.contents.as_ref().is_none_or(|known| {
            known.adapters != contents.adapters
                || known.loading != contents.loading
                || known.models != contents.models
                || known.started_ms != contents.started_ms
        });
        let load_changed = contents.pending_prefills.abs_diff(self.published_prefills)
            >= PREFILL_CHANGE_TO_PUBLISH;
        if changed || load_changed {
            self.revision += 1;
            self.published_prefills = contents.pending_prefills;
        }
        if let Some(before) = &self.contents {
            self.speed.record_progress(now, before, &contents);
        }
        self.contents = Some(contents);
    }

    /// Blocks the eviction of an adapter that the engine was ordered to unload and still holds.
    fn record_failed_unload(&mut self, now: Timestamp, contents: &EngineContents) {
        if let Some(EngineOrder::UnloadAdapter(model, name)) = self.last_order.take()
            && contents.holds(&model, &name, None)
        {
            self.unload_blocked_until
                .insert((model, name), now + UNLOAD_RETRY_DELAY);
        }
        self.unload_blocked_until.retain(|_, until| *until > now);
    }

    /// Moves the adapters that the engine holds to the newest end of the list of cached adapters.
    fn update_cached(&mut self, contents: &EngineContents) {
        let started = self.contents.as_ref().map(|known| known.started_ms);
        if started.is_some_and(|started| started != contents.started_ms) {
            self.cached.clear();
        }
        let known = self.contents.as_ref().map(|known| &known.adapters);
        if known == Some(&contents.adapters) {
            return;
        }
        for held in &contents.adapters {
            let key = adapter_key(&held.model, Some(&held.name));
            self.cached.retain(|known| *known != key);
            self.cached.push(key);
        }
        let capacity = self.slots.max(1) * CACHED_PER_SLOT;
        let excess = self.cached.len().saturating_sub(capacity);
        self.cached.drain(..excess);
    }

    /// Clears the engine's contents because the engine is unreachable.
    pub fn mark_unreachable(&mut self) {
        if self.contents.take().is_some() {
            self.revision += 1;
        }
    }

    /// Records an entry's usage of the engine.
    ///
    /// A report about an earlier incarnation of the engine than the one that answers is ignored:
    /// the registry lists an endpoint for some time after its process has ended.
    pub fn record_usage(&mut self, now: Timestamp, report: UsageReport) {
        self.heard.record(now, &report.entry);
        if self.is_of_earlier_incarnation(&report) {
            return;
        }
        if self.endpoint.as_ref() != Some(&report.endpoint) {
            self.endpoint = Some(report.endpoint.clone());
            self.usage.clear();
            self.speed.record_restart();
            self.revision += 1;
        }
        if let Some(speed) = report.speed {
            self.speed.record(now, &report.entry, speed);
        }
        for used in &report.adapters {
            self.last_used
                .insert((used.model.clone(), used.name.clone()), now);
        }
        let previous = self.usage.get(&report.entry).map(|(_, known)| known);
        self.demand.record_report(now, previous, &report);
        self.usage.insert(report.entry.clone(), (now, report));
        self.publish_tokens(now);
    }

    /// Publishes the tokens that entries sent if they have grown by a noticeable part of the engine's
    /// memory.
    fn publish_tokens(&mut self, now: Timestamp) {
        let sent = self.tokens_of_others(now, "");
        let free = self.contents.as_ref().map_or(u64::MAX, |contents| {
            contents
                .cache_total
                .saturating_sub(contents.cache_used + sent)
        });
        if is_noticeable(sent.saturating_sub(self.published_tokens), free) {
            self.revision += 1;
            self.published_tokens = sent;
        }
        self.published_tokens = self.published_tokens.min(sent);
    }

    /// Returns the view that is published to entries.
    pub fn view(&mut self, now: Timestamp) -> EngineView {
        let mut in_use: Vec<(ModelName, AdapterName)> = self
            .live_usage(now)
            .flat_map(|report| &report.adapters)
            .filter(|used| used.calls > 0)
            .map(|used| (used.model.clone(), used.name.clone()))
            .collect();
        in_use.sort();
        in_use.dedup();
        let streams = self
            .live_usage(now)
            .fold(StreamLoad::default(), |sum, report| sum.sum(report.streams));
        EngineView {
            revision: self.revision,
            contents: self.contents.clone().unwrap_or_default(),
            in_use,
            cached: self.cached.clone(),
            waiting_loads: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            entries: self.heard.count(now),
            speed: self.speed.merged(now),
            streams,
            turn_tokens: self.turns.backlog_tokens(),
            report_age: now.since(self.observed_at),
            others_tokens: 0,
        }
    }

    /// Returns the view that is published to one entry.
    pub fn view_for(&mut self, now: Timestamp, entry: &str) -> EngineView {
        EngineView {
            others_tokens: self.tokens_of_others(now, entry),
            ..self.view(now)
        }
    }

    /// Returns the tokens that entries other than `entry` sent and that the engine's report does not
    /// contain.
    fn tokens_of_others(&self, now: Timestamp, entry: &str) -> u64 {
        self.usage
            .iter()
            .filter(|(name, (at, _))| {
                let is_recent = now.since(*at) < REPORTED_TOKENS_TIME;
                *name != entry && (is_recent || *at >= self.observed_at)
            })
            .filter(|(_, (at, _))| now.since(*at) < USAGE_TIMEOUT)
            .map(|(_, (_, report))| report.sent_tokens)
            .sum()
    }

    /// Enqueues a prompt that waits for its turn at the engine.
    pub fn enqueue_prompt(&mut self, request: &TurnRequest) -> TurnId {
        self.turns.enqueue(request)
    }

    /// Returns the turns of prompts that begin now.
    pub fn grant_turns(&mut self, now: Timestamp) -> Vec<TurnGrant> {
        let speed = self.speed.merged(now).into();
        self.turns.grant(now, &speed)
    }

    /// Begins the turn of a prompt that has waited for its time, if it still waits.
    pub fn force_turn(&mut self, now: Timestamp, turn: TurnId) -> Option<TurnGrant> {
        let speed = self.speed.merged(now).into();
        self.turns.force(now, turn, &speed)
    }

    /// Ends the turn of a prompt, or its wait.
    pub fn end_turn(&mut self, turn: TurnId) {
        self.turns.end(turn);
    }

    /// Returns the time at which the next turn ends by itself, if prompts wait for it.
    pub fn next_turn_expiry(&self) -> Option<Timestamp> {
        self.turns.next_expiry()
    }

    /// Returns the revision of the view.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether the engine is known to hold the model or adapter of a load request.
    pub fn is_held(&self, request: &LoadRequest) -> bool {
        let Some(contents) = &self.contents else {
            return false;
        };
        match &request.adapter {
            Some(adapter) => contents.holds(&request.model, adapter, request.version),
            None => contents.models.contains(&request.model),
        }
    }

    /// Enqueues a load request that the engine does not satisfy yet.
    pub fn enqueue(&mut self, now: Timestamp, request: LoadRequest) -> LoadRequestId {
        self.slots = request.adapter_slots as usize;
        self.last_request += 1;
        let id = LoadRequestId(self.last_request);
        let deadline = now + request.max_wait;
        self.waiting.push(WaitingLoad {
            id,
            request,
            deadline,
        });
        id
    }

    /// Cancels a waiting load request.
    pub fn cancel(&mut self, id: LoadRequestId) {
        self.waiting.retain(|waiting| waiting.id != id);
    }

    /// Removes the load requests that are settled, and returns them with their outcomes.
    pub fn settle(&mut self, now: Timestamp) -> Vec<(LoadRequestId, LoadOutcome)> {
        let mut settled = Vec::new();
        let waiting = std::mem::take(&mut self.waiting);
        for load in waiting {
            if self.is_held(&load.request) {
                self.record_use(now, &load.request);
                settled.push((load.id, LoadOutcome::Held));
            } else if self.endpoint.as_ref() != Some(&load.request.endpoint) {
                settled.push((load.id, LoadOutcome::Unavailable));
            } else if load.deadline <= now {
                let outcome = if self.find_slot(now, &load.request).is_none() {
                    LoadOutcome::NoSlot
                } else {
                    LoadOutcome::TimedOut
                };
                settled.push((load.id, outcome));
            } else {
                self.waiting.push(load);
            }
        }
        settled
    }

    /// Returns the next order, if one is due and none is in flight.
    pub fn next_order(&mut self, now: Timestamp) -> Option<GuardedOrder> {
        if self.order_in_flight || self.stale || now < self.backoff_until {
            return None;
        }
        let endpoint = self.endpoint.clone()?;
        let expected_count = self.contents.as_ref()?.order_count;
        let order = self
            .waiting
            .iter()
            .filter(|waiting| !self.is_held(&waiting.request) && !self.is_loading(&waiting.request))
            .find_map(|waiting| self.order_for(now, &waiting.request))?;
        self.order_in_flight = true;
        self.last_order = Some(order.clone());
        Some(GuardedOrder {
            order,
            endpoint,
            expected_count,
        })
    }

    /// Returns the time until which no order is sent, if it is later than `now`.
    pub fn backoff_until(&self, now: Timestamp) -> Option<Timestamp> {
        (self.backoff_until > now).then_some(self.backoff_until)
    }

    /// Records the engine's answer to the order in flight.
    pub fn record_answer(&mut self, now: Timestamp, answer: OrderAnswer) {
        self.order_in_flight = false;
        self.stale = true;
        self.backoff_until = match answer {
            OrderAnswer::Accepted | OrderAnswer::HeldAlready => now,
            OrderAnswer::Conflict | OrderAnswer::Refused => now + REFUSED_BACKOFF,
            OrderAnswer::Unanswered => now + UNANSWERED_BACKOFF,
        };
    }

    fn is_of_earlier_incarnation(&self, report: &UsageReport) -> bool {
        let answering = self
            .contents
            .as_ref()
            .and_then(|contents| contents.started_ms);
        report.started_ms.is_some() && answering.is_some() && report.started_ms != answering
    }

    fn record_use(&mut self, now: Timestamp, request: &LoadRequest) {
        if let Some(adapter) = &request.adapter {
            self.last_used
                .insert((request.model.clone(), adapter.clone()), now);
        }
    }

    fn is_loading(&self, request: &LoadRequest) -> bool {
        let Some(contents) = &self.contents else {
            return false;
        };
        match &request.adapter {
            Some(adapter) => contents
                .loading
                .iter()
                .any(|held| held.is_for(&request.model, adapter)),
            None => contents.busy,
        }
    }

    fn order_for(&self, now: Timestamp, request: &LoadRequest) -> Option<EngineOrder> {
        let contents = self.contents.as_ref()?;
        if !request.fits_memory {
            return None;
        }
        if !contents.models.contains(&request.model) {
            return (!contents.busy).then(|| EngineOrder::LoadModel(request.model.clone()));
        }
        let adapter = request.adapter.clone()?;
        if contents.loading.len() >= MAX_CONCURRENT_LOADS {
            return None;
        }
        match self.find_slot(now, request)? {
            Slot::Free => Some(EngineOrder::LoadAdapter(
                request.model.clone(),
                adapter,
                request.version,
            )),
            Slot::Idle(model, name) => Some(EngineOrder::UnloadAdapter(model, name)),
        }
    }

    /// Returns a slot for the adapter of a load request: a free one, or that of the idle adapter that
    /// the eviction rule chooses.
    fn find_slot(&self, now: Timestamp, request: &LoadRequest) -> Option<Slot> {
        let contents = self.contents.as_ref()?;
        let replaces_older = request
            .adapter
            .as_ref()
            .is_some_and(|adapter| contents.holds(&request.model, adapter, None));
        let occupied = contents.adapters.len() + contents.loading.len();
        if replaces_older || occupied < request.adapter_slots as usize {
            return Some(Slot::Free);
        }
        contents
            .adapters
            .iter()
            .filter(|held| !self.is_used(now, &held.model, &held.name))
            .filter(|held| {
                !self
                    .unload_blocked_until
                    .contains_key(&(held.model.clone(), held.name.clone()))
            })
            .filter(|held| {
                let used = self.last_used.get(&(held.model.clone(), held.name.clone()));
                used.is_none_or(|at| now.since(*at) >= MIN_IDLE_TIME)
            })
            .map(|held| {
                let id = (held.model.clone(), held.name.clone());
                let demand = match self.eviction {
                    EvictionRule::LeastRecentlyUsed => 0.0,
                    EvictionRule::LowestDemand => self.demand.of(now, &id),
                };
                (demand, self.last_used.get(&id).copied(), id)
            })
            .min_by(|(demand, used, _), (other_demand, other_used, _)| {
                demand.total_cmp(other_demand).then(used.cmp(other_used))
            })
            .map(|(_, _, (model, name))| Slot::Idle(model, name))
    }

    fn is_used(&self, now: Timestamp, model: &ModelName, adapter: &AdapterName) -> bool {
        self.live_usage(now)
            .flat_map(|report| &report.adapters)
            .any(|used| used.calls > 0 && used.name == *adapter && used.model == *model)
    }

    fn live_usage(&self, now: Timestamp) -> impl Iterator<Item = &UsageReport> {
        self.usage
            .values()
            .filter(move |(at, _)| now.since(*at) < USAGE_TIMEOUT)
            .map(|(_, report)| report)
    }
}

/// An adapter slot of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Slot {
    Free,
    Idle(ModelName, AdapterName),
}
