//! The endpoints that an entry knows, from the registry and from its own experience.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use amaranth_core::ids::{AdapterName, EndpointId, ModelName, ServiceName};
use amaranth_core::time::Timestamp;
use strum::Display;

use crate::engine_estimate::EngineEstimate;
use crate::engine_view::{AdapterUse, EngineContents, EngineView, HeldAdapter, UsageReport};

/// An endpoint as the registry lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointRecord {
    /// The endpoint. An endpoint that starts again mostly has another id.
    pub id: EndpointId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is about to leave and takes no new calls.
    pub leaving: bool,
    /// When it started, in milliseconds of its own wall clock, if it says so.
    pub started_ms: Option<u64>,
    /// The number of its announcement.
    pub sequence: u64,
    /// What it holds, if it is an engine.
    pub contents: EngineContents,
}

/// A change of the registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RegistryEvent {
    /// An endpoint announced itself.
    Announced(Box<EndpointRecord>),
    /// An endpoint is no longer listed.
    Removed(EndpointId),
}

/// What became of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum BookChange {
    /// It is new.
    Joined,
    /// It started again under the same id.
    Restarted,
    /// It began to leave.
    Leaving,
    /// It is gone.
    Gone,
    /// Its removal waits: many were removed at once, as after an outage of the registry.
    RemovalHeld,
    /// Nothing that matters changed.
    Unchanged,
}

/// How the agent of an engine was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum AgentLoss {
    /// Its VM closed the connection or refused one: the agent's process ended, and the engine may
    /// be well.
    ProcessEnded,
    /// Its VM did not answer in time.
    VmSilent,
}

/// Age up to which an agent's word that its engine answers is trusted.
const VIEW_TRUST: Duration = Duration::from_millis(1_500);

/// Time without an event after which an engine on a VM that does not answer is suspect: several
/// pauses between events of a busy engine, and the reading of a few prompts.
const SUSPECT_SILENCE: Duration = Duration::from_millis(700);

/// Failures in a row after which an endpoint is passed over.
const FAILURES_TO_SHUN: u32 = 2;

/// How long an endpoint is passed over after its first failures; doubled each time.
const SHORTEST_SHUN: Duration = Duration::from_millis(500);

/// How long an endpoint is passed over at most.
const LONGEST_SHUN: Duration = Duration::from_secs(4);

/// How long a removal waits when many endpoints are removed at once. The platform gives entries
/// that expired during an outage two seconds to return; the bound on sending to endpoints that
/// left is not much longer.
const MASS_REMOVAL_HOLD: Duration = Duration::from_millis(1_200);

/// Weight of the newest outcome in an endpoint's failure rate.
const FAILURE_WEIGHT: f64 = 0.15;

/// An endpoint and what the entry knows of it.
#[derive(Debug, Clone)]
pub struct EndpointState {
    /// Its newest announcement.
    pub record: EndpointRecord,
    /// What its agent said last, and when.
    pub view: Option<(Timestamp, EngineView)>,
    /// How its engine performs.
    pub estimate: EngineEstimate,
    uses: Vec<AdapterUse>,
    touched: Vec<(ModelName, AdapterName)>,
    wishes: Vec<HeldAdapter>,
    calls: u32,
    failures_in_a_row: u32,
    failure_rate: f64,
    shunned_until: Timestamp,
    shun: Duration,
    removal_at: Option<Timestamp>,
    vm_silent: bool,
}

impl EndpointState {
    fn open(record: EndpointRecord) -> Self {
        Self {
            record,
            view: None,
            estimate: EngineEstimate::default(),
            uses: Vec::new(),
            touched: Vec::new(),
            wishes: Vec::new(),
            calls: 0,
            failures_in_a_row: 0,
            failure_rate: 0.0,
            shunned_until: Timestamp::ZERO,
            shun: SHORTEST_SHUN,
            removal_at: None,
            vm_silent: false,
        }
    }

    /// Returns the newest knowledge of what the engine holds.
    pub fn contents(&self) -> &EngineContents {
        match &self.view {
            Some((_, view)) => &view.contents,
            None => &self.record.contents,
        }
    }

    const fn contents_mut(&mut self) -> &mut EngineContents {
        match &mut self.view {
            Some((_, view)) => &mut view.contents,
            None => &mut self.record.contents,
        }
    }

    /// Returns the entry's own calls in flight.
    pub const fn calls(&self) -> u32 {
        self.calls
    }

    /// Returns the share of recent calls that failed, from 0 to 1.
    pub const fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Returns whether the endpoint takes new calls.
    pub const fn is_open(&self) -> bool {
        !self.record.leaving
    }

    /// Returns whether the endpoint is passed over for its recent failures.
    pub fn is_shunned(&self, now: Timestamp) -> bool {
        now < self.shunned_until
    }

    /// Returns whether the engine has fallen silent: it owes this entry events, and its agent does
    /// not say that it still answers.
    pub fn is_silent(&self, now: Timestamp) -> bool {
        let answers = self
            .view
            .as_ref()
            .is_some_and(|(at, view)| now.since(*at) < VIEW_TRUST && view.contents.cache_total > 0);
        let suspect = self.is_suspect(now) && self.estimate.owes();
        !answers && (suspect || self.estimate.is_silent(now))
    }

    /// Returns whether the engine's VM did not answer when its agent was asked, and the engine has
    /// sent no event lately either. It may be frozen or cut off.
    pub fn is_suspect(&self, now: Timestamp) -> bool {
        self.vm_silent && !self.estimate.was_heard_within(now, SUSPECT_SILENCE)
    }

    /// Returns the prompts of other entries that the engine has not read.
    pub fn unread_of_others(&self) -> u32 {
        self.contents()
            .unread
            .saturating_sub(self.estimate.unread_prompts())
    }

    /// Returns the loads that this entry asked the agent for and that are not settled.
    pub fn wishes(&self) -> &[HeldAdapter] {
        &self.wishes
    }

    /// Notes that the engine holds an adapter, before the agent's next view says so.
    pub fn note_held(&mut self, held: HeldAdapter) {
        self.note_missing(&held.model, &held.name);
        self.contents_mut().adapters.push(held);
    }

    /// Notes that the engine lacks an adapter that it was believed to hold.
    pub fn note_missing(&mut self, model: &ModelName, adapter: &AdapterName) {
        self.contents_mut()
            .adapters
            .retain(|known| !known.is_for(model, adapter));
    }

    /// Returns whether any entry is known to use an adapter here.
    pub fn is_used(&self, model: &ModelName, adapter: &AdapterName) -> bool {
        let own = self
            .uses
            .iter()
            .any(|used| used.name == *adapter && used.model == *model);
        own || self.view.as_ref().is_some_and(|(_, view)| {
            view.in_use
                .iter()
                .any(|(m, name)| name == adapter && m == model)
        })
    }

    fn note_failure(&mut self, now: Timestamp) {
        self.failures_in_a_row += 1;
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
        if self.failures_in_a_row >= FAILURES_TO_SHUN {
            self.shunned_until = now + self.shun;
            self.shun = (self.shun * 2).min(LONGEST_SHUN);
            self.failures_in_a_row = 0;
        }
    }

    fn note_success(&mut self) {
        self.failures_in_a_row = 0;
        self.shun = SHORTEST_SHUN;
        self.failure_rate -= FAILURE_WEIGHT * self.failure_rate;
    }
}

/// How a call at an endpoint ended, as far as the endpoint's health goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointOutcome {
    /// It answered well.
    Succeeded,
    /// It failed, broke off or could not be reached.
    Failed,
    /// The end says nothing of its health.
    Inconclusive,
}

/// Returns whether `earlier` is another endpoint at the address of `later` that started before it.
fn started_before(earlier: &EndpointRecord, later: &EndpointRecord) -> bool {
    earlier.address == later.address
        && earlier.id != later.id
        && earlier.started_ms.is_some()
        && earlier.started_ms < later.started_ms
}

/// All endpoints that the entry knows.
#[derive(Debug, Default)]
pub struct EndpointBook {
    endpoints: BTreeMap<EndpointId, EndpointState>,
    departed: HashMap<EndpointId, (Option<u64>, u64)>,
}

/// Endpoints that left whose last announcement is remembered.
const DEPARTED_KEPT: usize = 512;

impl EndpointBook {
    /// Returns an endpoint.
    pub fn get(&self, id: &EndpointId) -> Option<&EndpointState> {
        self.endpoints.get(id)
    }

    /// Returns an endpoint to change what is known of it.
    pub fn get_mut(&mut self, id: &EndpointId) -> Option<&mut EndpointState> {
        self.endpoints.get_mut(id)
    }

    /// Returns whether no endpoint that takes calls holds a model, and an agent is there that can
    /// have one load it.
    pub fn is_model_coming(&self, service: &ServiceName, model: &ModelName) -> bool {
        let mut open = self.of_service(service).filter(|state| state.is_open());
        let mut any_heard = false;
        let held = open.any(|state| {
            any_heard |= state.view.is_some();
            state.contents().models.contains(model)
        });
        any_heard && !held
    }

    /// Iterates over the endpoints of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a EndpointState> {
        self.endpoints
            .values()
            .filter(move |state| state.record.service == *service)
    }

    /// Iterates over all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointState> {
        self.endpoints.values()
    }

    /// Returns how many endpoints are known.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Takes a change of the registry.
    pub fn apply(&mut self, event: RegistryEvent) -> BookChange {
        match event {
            RegistryEvent::Announced(record) => self.announce(*record),
            RegistryEvent::Removed(id) => self.remove(&id),
        }
    }

    /// Replaces everything by a whole list of the registry, and returns what changed.
    ///
    /// What is missing from the list is removed as [`EndpointBook::remove_together`] says.
    pub fn replace(
        &mut self,
        now: Timestamp,
        records: Vec<EndpointRecord>,
    ) -> Vec<(EndpointId, BookChange)> {
        let missing: Vec<EndpointId> = self
            .endpoints
            .keys()
            .filter(|id| !records.iter().any(|record| record.id == **id))
            .cloned()
            .collect();
        let mut changes = self.remove_together(now, &missing);
        for record in records {
            let id = record.id.clone();
            let change = self.announce(record);
            if change != BookChange::Unchanged {
                changes.push((id, change));
            }
        }
        changes
    }

    /// Takes removals that came in one read of the registry.
    ///
    /// If they are more than a third of the endpoints, they wait until [`EndpointBook::expire`] finds
    /// them due.
    pub fn remove_together(
        &mut self,
        now: Timestamp,
        ids: &[EndpointId],
    ) -> Vec<(EndpointId, BookChange)> {
        let known: Vec<EndpointId> = ids
            .iter()
            .filter(|id| self.endpoints.contains_key(*id))
            .cloned()
            .collect();
        let held = known.len() * 3 > self.endpoints.len();
        known
            .into_iter()
            .map(|id| {
                let change = if held {
                    self.hold(now, &id)
                } else {
                    self.remove(&id)
                };
                (id, change)
            })
            .collect()
    }

    /// Removes the endpoints whose held removal is due.
    pub fn expire(&mut self, now: Timestamp) -> Vec<EndpointId> {
        let due: Vec<EndpointId> = self
            .endpoints
            .iter()
            .filter(|(_, state)| state.removal_at.is_some_and(|at| at <= now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &due {
            self.remove(id);
        }
        due
    }

    fn hold(&mut self, now: Timestamp, id: &EndpointId) -> BookChange {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.removal_at.get_or_insert(now + MASS_REMOVAL_HOLD);
        }
        BookChange::RemovalHeld
    }

    fn remove(&mut self, id: &EndpointId) -> BookChange {
        let Some(state) = self.endpoints.remove(id) else {
            return BookChange::Unchanged;
        };
        if self.departed.len() >= DEPARTED_KEPT {
            self.departed.clear();
        }
        let mark = (state.record.started_ms, state.record.sequence);
        self.departed.insert(id.clone(), mark);
        BookChange::Gone
    }

    /// Takes an announcement. One that is older than the known one of the same start is ignored.
    fn announce(&mut self, record: EndpointRecord) -> BookChange {
        if let Some((started, sequence)) = self.departed.get(&record.id)
            && *started == record.started_ms
            && record.sequence <= *sequence
        {
            return BookChange::Unchanged;
        }
        if self.is_superseded(&record) {
            return BookChange::Unchanged;
        }
        self.remove_superseded(&record);
        let Some(state) = self.endpoints.get_mut(&record.id) else {
            let id = record.id.clone();
            self.departed.remove(&id);
            let leaving = record.leaving;
            self.endpoints.insert(id, EndpointState::open(record));
            return if leaving {
                BookChange::Leaving
            } else {
                BookChange::Joined
            };
        };
        if record.started_ms == state.record.started_ms && record.sequence < state.record.sequence {
            return BookChange::Unchanged;
        }
        if record.started_ms < state.record.started_ms {
            return BookChange::Unchanged;
        }
        state.removal_at = None;
        if record.started_ms != state.record.started_ms {
            *state = EndpointState::open(record);
            return BookChange::Restarted;
        }
        let began_to_leave = record.leaving && !state.record.leaving;
        // An endpoint that has begun to leave does not come back in the same start.
        let leaving = record.leaving || state.record.leaving;
        state.record = EndpointRecord { leaving, ..record };
        if began_to_leave {
            BookChange::Leaving
        } else {
            BookChange::Unchanged
        }
    }

    /// Notes that another endpoint answers at an endpoint's address: it is gone.
    pub fn note_replaced(&mut self, id: &EndpointId) -> BookChange {
        self.remove(id)
    }

    /// Returns whether an endpoint that started later is known at a record's address. The registry
    /// lists an endpoint for some time after it has ended.
    fn is_superseded(&self, record: &EndpointRecord) -> bool {
        self.endpoints
            .values()
            .any(|known| started_before(record, &known.record))
    }

    /// Removes the endpoints that started before a record's at its address.
    fn remove_superseded(&mut self, record: &EndpointRecord) {
        let superseded: Vec<EndpointId> = self
            .endpoints
            .values()
            .filter(|known| started_before(&known.record, record))
            .map(|known| known.record.id.clone())
            .collect();
        for id in superseded {
            self.remove(&id);
        }
    }

    /// Takes what an agent said of its engine.
    pub fn take_view(&mut self, now: Timestamp, id: &EndpointId, view: EngineView) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.view = Some((now, view));
            state.vm_silent = false;
        }
    }

    /// Forgets what an agent said, so that the registry's list is believed again.
    pub fn forget_view(&mut self, id: &EndpointId, loss: AgentLoss) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.view = None;
            state.vm_silent = loss == AgentLoss::VmSilent;
        }
    }

    /// Notes that the agent of an endpoint is asked for an adapter.
    pub fn begin_wish(&mut self, id: &EndpointId, wished: HeldAdapter) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.wishes.push(wished);
        }
    }

    /// Notes that the agent of an endpoint answered.
    pub fn end_wish(&mut self, id: &EndpointId, wished: &HeldAdapter) {
        if let Some(state) = self.endpoints.get_mut(id)
            && let Some(position) = state.wishes.iter().position(|known| known == wished)
        {
            state.wishes.swap_remove(position);
        }
    }

    /// Notes that a call is about to be sent to an endpoint. Returns whether the call begins the
    /// use of an adapter, which the endpoint's agent has to hear of.
    pub fn begin_call(
        &mut self,
        id: &EndpointId,
        used: Option<(&ModelName, &AdapterName)>,
    ) -> bool {
        let Some(state) = self.endpoints.get_mut(id) else {
            return false;
        };
        state.calls += 1;
        let Some((model, adapter)) = used else {
            return false;
        };
        let touched = (model.clone(), adapter.clone());
        if !state.touched.contains(&touched) {
            state.touched.push(touched);
        }
        let known = state
            .uses
            .iter_mut()
            .find(|known| known.name == *adapter && known.model == *model);
        match known {
            Some(known) => {
                known.calls += 1;
                false
            }
            None => {
                state.uses.push(AdapterUse {
                    model: model.clone(),
                    name: adapter.clone(),
                    calls: 1,
                });
                true
            }
        }
    }

    /// Notes that a call at an endpoint ended.
    pub fn end_call(
        &mut self,
        now: Timestamp,
        id: &EndpointId,
        used: Option<(&ModelName, &AdapterName)>,
        outcome: EndpointOutcome,
    ) {
        let Some(state) = self.endpoints.get_mut(id) else {
            return;
        };
        state.calls = state.calls.saturating_sub(1);
        if let Some((model, adapter)) = used {
            for known in &mut state.uses {
                if known.name == *adapter && known.model == *model {
                    known.calls = known.calls.saturating_sub(1);
                }
            }
            state.uses.retain(|known| known.calls > 0);
        }
        match outcome {
            EndpointOutcome::Succeeded => state.note_success(),
            EndpointOutcome::Failed => state.note_failure(now),
            EndpointOutcome::Inconclusive => {}
        }
    }

    /// Returns what the entry tells the agent of an endpoint: the adapters that its calls use, and
    /// those that they used since the last time.
    pub fn take_usage(&mut self, entry: &str, id: &EndpointId) -> UsageReport {
        let mut report = UsageReport {
            entry: entry.to_owned(),
            endpoint: id.clone(),
            started_ms: None,
            uses: Vec::new(),
            calls: 0,
        };
        let Some(state) = self.endpoints.get_mut(id) else {
            return report;
        };
        report.started_ms = state.record.started_ms;
        report.uses.clone_from(&state.uses);
        report.calls = state.calls;
        for (model, name) in state.touched.drain(..) {
            let listed = report
                .uses
                .iter()
                .any(|used| used.name == name && used.model == model);
            if !listed {
                let ended = AdapterUse {
                    model,
                    name,
                    calls: 0,
                };
                report.uses.push(ended);
            }
        }
        report
    }
}
