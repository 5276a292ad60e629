//! The endpoints that an entry knows, as the registry lists them, with their health and load.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use amaranth_core::ids::{AdapterName, EndpointId, ModelName, ServiceName, SoftwareVersion};
use amaranth_core::time::Timestamp;
use strum::Display;

use crate::call_limiter::CallRate;
use crate::endpoint_health::{EndpointHealth, EndpointStanding};
use crate::engine_estimate::EngineEstimate;
use crate::engine_view::{AdapterUsage, EngineContents, EngineView, HeldAdapter, UsageReport};

/// An endpoint as the registry lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointRecord {
    /// The id of the endpoint. An endpoint that restarts mostly gets another id.
    pub id: EndpointId,
    /// The service that the endpoint belongs to.
    pub service: ServiceName,
    /// The address that the endpoint listens on.
    pub address: SocketAddr,
    /// The data centre of the endpoint.
    pub data_centre: String,
    /// The number of requests that the endpoint processes at once.
    pub slots: u32,
    /// Whether the endpoint is draining and accepts no new calls.
    pub draining: bool,
    /// The start time of the endpoint, in milliseconds of its own wall clock, if it states one.
    pub started_ms: Option<u64>,
    /// The sequence number of the announcement.
    pub sequence: u64,
    /// The version of the endpoint's software.
    pub software: SoftwareVersion,
    /// The engine's load and contents, if the endpoint is an engine.
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

/// The change of an endpoint in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum EndpointChange {
    /// The endpoint is new.
    Joined,
    /// The endpoint restarted under the same id.
    Restarted,
    /// The endpoint began to drain.
    #[strum(to_string = "leaving")]
    Draining,
    /// The endpoint was removed.
    #[strum(to_string = "gone")]
    Removed,
    /// The removal is delayed: many endpoints were removed at once, as after an outage of the
    /// registry.
    #[strum(to_string = "removal-held")]
    RemovalDelayed,
    /// Nothing relevant changed.
    Unchanged,
}

/// The way in which an engine's agent became unreachable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum AgentFailure {
    /// The VM closed the connection or refused a new one: the agent's process ended, and the engine
    /// may still work.
    ProcessEnded,
    /// The VM did not answer in time.
    VmSilent,
}

/// Age up to which an agent's view proves that its engine answers.
const VIEW_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time without an event after which an engine on a VM that does not answer is suspect: several
/// pauses between events of a busy engine, and the prefill of a few prompts.
const SUSPECT_SILENCE: Duration = Duration::from_millis(700);

/// Delay of a removal when many endpoints are removed at once. The platform gives registrations
/// that expired during an outage two seconds to return; the bound on sending to removed endpoints
/// is not much longer.
const MASS_REMOVAL_DELAY: Duration = Duration::from_millis(1_200);

/// Delay of the removal of an endpoint that is missing after the registry was restored from an older
/// copy: an endpoint that still runs announces itself again within this time.
const RESTORED_REMOVAL_DELAY: Duration = Duration::from_millis(2_000);

/// An endpoint with its health, load and this entry's calls.
#[derive(Debug, Clone)]
pub struct EndpointState {
    /// The newest announcement of the endpoint.
    pub record: EndpointRecord,
    /// The last view that the agent published, with the time of its arrival.
    pub view: Option<(Timestamp, EngineView)>,
    /// The estimate of the engine's speed.
    pub estimate: EngineEstimate,
    usage: Vec<AdapterUsage>,
    recently_used: Vec<(ModelName, AdapterName)>,
    pending_loads: Vec<HeldAdapter>,
    calls: u32,
    last_call_at: Option<Timestamp>,
    health: EndpointHealth,
    removal_at: Option<Timestamp>,
    vm_silent: bool,
}

impl EndpointState {
    fn new(record: EndpointRecord) -> Self {
        let mut health = EndpointHealth::default();
        if record.draining {
            health.record_leaving();
        }
        Self {
            record,
            view: None,
            estimate: EngineEstimate::default(),
            usage: Vec::new(),
            recently_used: Vec::new(),
            pending_loads: Vec::new(),
            calls: 0,
            last_call_at: None,
            health,
            removal_at: None,
            vm_silent: false,
        }
    }

    /// Returns the newest known contents of the engine.
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

    /// Returns whether the endpoint has a software version, if one is required.
    pub fn has_software(&self, required: Option<&SoftwareVersion>) -> bool {
        required.is_none_or(|software| self.record.software == *software)
    }

    /// Returns the number of this entry's calls in flight.
    pub const fn calls(&self) -> u32 {
        self.calls
    }

    /// Returns whether this entry has calls or loads at the endpoint, or had calls within the last
    /// `time`.
    pub fn was_used_within(&self, now: Timestamp, time: Duration) -> bool {
        self.calls > 0
            || !self.pending_loads.is_empty()
            || self.last_call_at.is_some_and(|at| now.since(at) <= time)
    }

    /// Returns the fraction of recent calls that failed, from 0 to 1.
    pub const fn failure_rate(&self) -> f64 {
        self.health.failure_rate()
    }

    /// Returns whether the endpoint stays, and accepts new calls at least after a pause.
    pub const fn is_accepting(&self) -> bool {
        !self.health.is_leaving()
    }

    /// Returns whether a new call may be sent to the endpoint at `now`.
    pub fn may_get_calls(&self, now: Timestamp) -> bool {
        matches!(
            self.health.standing(now),
            EndpointStanding::Accepting | EndpointStanding::Ejected
        )
    }

    /// Returns whether a new call may select the endpoint at `now`: calls may be sent to it, and it is
    /// not known that no permit is left.
    pub fn may_be_selected(&self, now: Timestamp) -> bool {
        self.may_get_calls(now) && self.health.closed_until(now).is_none()
    }

    /// Returns the limit on the rate of calls that the endpoint states for all entries together.
    pub fn limit(&self) -> Option<CallRate> {
        self.health.limit()
    }

    /// Returns the end of the pause that the endpoint asked for, if it is paused at `now`.
    pub fn paused_until(&self, now: Timestamp) -> Option<Timestamp> {
        match self.health.standing(now) {
            EndpointStanding::Paused(until) => Some(until),
            _ => None,
        }
    }

    /// Returns whether the endpoint is ejected for its recent failures.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.health.standing(now) == EndpointStanding::Ejected
    }

    /// Returns whether the engine has fallen silent: events for this entry are outstanding, and no
    /// recent view of its agent shows that it still answers.
    pub fn is_silent(&self, now: Timestamp) -> bool {
        let answers = self.view.as_ref().is_some_and(|(at, view)| {
            now.since(*at) < VIEW_TIMEOUT && view.contents.cache_total > 0
        });
        let suspect = self.is_suspect(now) && self.estimate.has_outstanding();
        !answers && (suspect || self.estimate.is_silent(now))
    }

    /// Returns whether the engine's VM did not answer a request to its agent, and the engine has
    /// sent no event recently either. The VM may be frozen or cut off.
    pub fn is_suspect(&self, now: Timestamp) -> bool {
        self.vm_silent && !self.estimate.had_event_within(now, SUSPECT_SILENCE)
    }

    /// Returns the number of pending prefills of other entries' prompts.
    pub fn others_pending_prefills(&self) -> u32 {
        self.contents()
            .pending_prefills
            .saturating_sub(self.estimate.pending_prefills())
    }

    /// Returns the adapters that this entry requested from the agent and whose loads are pending.
    pub fn pending_loads(&self) -> &[HeldAdapter] {
        &self.pending_loads
    }

    /// Records that the engine holds an adapter, before the agent's next view shows it.
    pub fn record_held(&mut self, held: HeldAdapter) {
        self.record_missing(&held.model, &held.name);
        self.contents_mut().adapters.push(held);
    }

    /// Records that the engine lacks an adapter that it was believed to hold.
    pub fn record_missing(&mut self, model: &ModelName, adapter: &AdapterName) {
        self.contents_mut()
            .adapters
            .retain(|known| !known.is_for(model, adapter));
    }

    /// Returns whether any entry is known to use an adapter at this endpoint.
    pub fn is_used(&self, model: &ModelName, adapter: &AdapterName) -> bool {
        let own = self
            .usage
            .iter()
            .any(|used| used.name == *adapter && used.model == *model);
        own || self.view.as_ref().is_some_and(|(_, view)| {
            view.in_use
                .iter()
                .any(|(m, name)| name == adapter && m == model)
        })
    }
}

/// The outcome of a call with regard to the endpoint's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointOutcome {
    /// The endpoint answered successfully.
    Succeeded,
    /// The endpoint failed, aborted its answer or could not be reached.
    Failed,
    /// The outcome says nothing about the endpoint's health.
    Inconclusive,
}

/// Returns whether `earlier` is another endpoint at the address of `later` that started before
/// `later`.
fn started_before(earlier: &EndpointRecord, later: &EndpointRecord) -> bool {
    earlier.address == later.address
        && earlier.id != later.id
        && earlier.started_ms.is_some()
        && earlier.started_ms < later.started_ms
}

/// The last that was known of a removed endpoint.
#[derive(Debug, Clone, Copy)]
struct RemovedEndpoint {
    started_ms: Option<u64>,
    sequence: u64,
    leaving: bool,
}

/// The table of all endpoints that the entry knows.
#[derive(Debug, Default)]
pub struct EndpointTable {
    endpoints: BTreeMap<EndpointId, EndpointState>,
    removed: HashMap<EndpointId, RemovedEndpoint>,
}

/// Largest number of removed endpoints that are remembered, so that a late announcement does not add
/// them again.
const MAX_REMOVED_KEPT: usize = 512;

impl EndpointTable {
    /// Returns the state of an endpoint.
    pub fn get(&self, id: &EndpointId) -> Option<&EndpointState> {
        self.endpoints.get(id)
    }

    /// Returns the mutable state of an endpoint.
    pub fn get_mut(&mut self, id: &EndpointId) -> Option<&mut EndpointState> {
        self.endpoints.get_mut(id)
    }

    /// Returns whether no endpoint that accepts calls holds a model, while at least one has an
    /// agent that can have the model loaded.
    pub fn is_loading_model(&self, service: &ServiceName, model: &ModelName) -> bool {
        let mut accepting = self
            .of_service(service)
            .filter(|state| state.is_accepting());
        let mut has_agent = false;
        let is_held = accepting.any(|state| {
            has_agent |= state.view.is_some();
            state.contents().models.contains(model)
        });
        has_agent && !is_held
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

    /// Returns the number of known endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Applies a change of the registry.
    pub fn apply(&mut self, event: RegistryEvent) -> EndpointChange {
        match event {
            RegistryEvent::Announced(record) => self.announce(*record),
            RegistryEvent::Removed(id) => self.remove(&id),
        }
    }

    /// Replaces the table's endpoints by a complete list of the registry, and returns the changes.
    ///
    /// Endpoints that are missing from the list are removed by [`EndpointTable::remove_batch`], except
    /// those whose removal is delayed already.
    pub fn replace(
        &mut self,
        now: Timestamp,
        records: Vec<EndpointRecord>,
    ) -> Vec<(EndpointId, EndpointChange)> {
        let mut missing = self.missing_from(&records);
        missing.retain(|id| {
            let state = self.endpoints.get(id);
            state.is_some_and(|state| state.removal_at.is_none())
        });
        let mut changes = self.remove_batch(now, &missing);
        changes.extend(self.announce_all(records));
        changes
    }

    /// Applies a complete list of a registry that was restored from an older copy, and returns the
    /// changes.
    ///
    /// Endpoints that are missing from the list may have announced themselves after the copy was
    /// made. They are removed after a delay unless they announce themselves again.
    pub fn restore(
        &mut self,
        now: Timestamp,
        records: Vec<EndpointRecord>,
    ) -> Vec<(EndpointId, EndpointChange)> {
        let missing = self.missing_from(&records);
        let mut changes: Vec<_> = missing
            .into_iter()
            .map(|id| {
                let change = self.delay_removal(now + RESTORED_REMOVAL_DELAY, &id);
                (id, change)
            })
            .collect();
        changes.extend(self.announce_all(records));
        changes
    }

    fn missing_from(&self, records: &[EndpointRecord]) -> Vec<EndpointId> {
        let listed: HashSet<&EndpointId> = records.iter().map(|record| &record.id).collect();
        self.endpoints
            .keys()
            .filter(|id| !listed.contains(id))
            .cloned()
            .collect()
    }

    fn announce_all(&mut self, records: Vec<EndpointRecord>) -> Vec<(EndpointId, EndpointChange)> {
        let mut changes = Vec::new();
        for record in records {
            let id = record.id.clone();
            let change = self.announce(record);
            if change != EndpointChange::Unchanged {
                changes.push((id, change));
            }
        }
        changes
    }

    /// Applies removals from one read of the registry.
    ///
    /// If they are more than a third of the endpoints, they are delayed until
    /// [`EndpointTable::expire`] finds them due.
    pub fn remove_batch(
        &mut self,
        now: Timestamp,
        ids: &[EndpointId],
    ) -> Vec<(EndpointId, EndpointChange)> {
        let known: Vec<EndpointId> = ids
            .iter()
            .filter(|id| self.endpoints.contains_key(*id))
            .cloned()
            .collect();
        let is_delayed = known.len() * 3 > self.endpoints.len();
        known
            .into_iter()
            .map(|id| {
                let change = if is_delayed {
                    self.delay_removal(now + MASS_REMOVAL_DELAY, &id)
                } else {
                    self.remove(&id)
                };
                (id, change)
            })
            .collect()
    }

    /// Removes the endpoints whose delayed removal is due, and returns their ids.
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

    fn delay_removal(&mut self, until: Timestamp, id: &EndpointId) -> EndpointChange {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.removal_at.get_or_insert(until);
        }
        EndpointChange::RemovalDelayed
    }

    fn remove(&mut self, id: &EndpointId) -> EndpointChange {
        let Some(state) = self.endpoints.remove(id) else {
            return EndpointChange::Unchanged;
        };
        if self.removed.len() >= MAX_REMOVED_KEPT {
            self.removed.clear();
        }
        let removed = RemovedEndpoint {
            started_ms: state.record.started_ms,
            sequence: state.record.sequence,
            leaving: state.health.is_leaving(),
        };
        self.removed.insert(id.clone(), removed);
        EndpointChange::Removed
    }

    /// Applies an announcement. One that is older than the known one of the same incarnation is
    /// ignored.
    fn announce(&mut self, record: EndpointRecord) -> EndpointChange {
        let removed = self.removed.get(&record.id).copied();
        let removed = removed.filter(|removed| removed.started_ms == record.started_ms);
        if removed.is_some_and(|removed| record.sequence <= removed.sequence) {
            return EndpointChange::Unchanged;
        }
        if self.is_superseded(&record) {
            return EndpointChange::Unchanged;
        }
        self.remove_superseded(&record);
        let Some(state) = self.endpoints.get_mut(&record.id) else {
            let id = record.id.clone();
            self.removed.remove(&id);
            let mut state = EndpointState::new(record);
            if removed.is_some_and(|removed| removed.leaving) {
                state.health.record_leaving();
            }
            let is_leaving = state.health.is_leaving();
            self.endpoints.insert(id, state);
            return if is_leaving {
                EndpointChange::Draining
            } else {
                EndpointChange::Joined
            };
        };
        if record.started_ms == state.record.started_ms && record.sequence < state.record.sequence {
            return EndpointChange::Unchanged;
        }
        if record.started_ms < state.record.started_ms {
            return EndpointChange::Unchanged;
        }
        state.removal_at = None;
        if record.started_ms != state.record.started_ms {
            *state = EndpointState::new(record);
            return EndpointChange::Restarted;
        }
        // An endpoint that is leaving does not accept calls again in the same incarnation.
        let began_leaving = record.draining && state.health.record_leaving();
        state.record = record;
        if began_leaving {
            EndpointChange::Draining
        } else {
            EndpointChange::Unchanged
        }
    }

    /// Removes an endpoint at whose address another endpoint answers.
    pub fn record_replaced(&mut self, id: &EndpointId) -> EndpointChange {
        self.remove(id)
    }

    /// Returns whether an endpoint that started later is known at a record's address. The registry
    /// lists an endpoint for some time after its process has ended.
    fn is_superseded(&self, record: &EndpointRecord) -> bool {
        self.endpoints
            .values()
            .any(|known| started_before(record, &known.record))
    }

    /// Removes the endpoints that started earlier at a record's address.
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

    /// Records that an endpoint stated in an answer that it is leaving.
    pub fn record_leaving(&mut self, id: &EndpointId) -> EndpointChange {
        let Some(state) = self.endpoints.get_mut(id) else {
            return EndpointChange::Unchanged;
        };
        if state.health.record_leaving() {
            EndpointChange::Draining
        } else {
            EndpointChange::Unchanged
        }
    }

    /// Records that an endpoint refused a call at `now` and asked for a pause.
    pub fn record_pause(&mut self, now: Timestamp, id: &EndpointId, pause: Duration) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.health.record_pause(now, pause);
        }
    }

    /// Records the limit in an endpoint's answer, or that there is none. Returns whether it changed.
    pub fn record_limit(
        &mut self,
        now: Timestamp,
        id: &EndpointId,
        sent_at: Timestamp,
        stated: Option<CallRate>,
    ) -> bool {
        let Some(state) = self.endpoints.get_mut(id) else {
            return false;
        };
        let before = state.health.limit();
        state.health.record_limit(now, sent_at, stated);
        before != state.health.limit()
    }

    /// Records that an endpoint's agent denied a permit and names the time after which to ask again.
    pub fn record_denied(&mut self, now: Timestamp, id: &EndpointId, wait: Duration) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.health.record_denied(now, wait);
        }
    }

    /// Returns the time until calls to a service may be sent again, if permits have run out at all
    /// endpoints to which calls may be sent.
    pub fn permit_wait(&self, now: Timestamp, service: &ServiceName) -> Option<Duration> {
        let mut soonest: Option<Timestamp> = None;
        let open = self.of_service(service);
        for state in open.filter(|state| state.may_get_calls(now)) {
            let until = state.health.closed_until(now)?;
            soonest = Some(soonest.map_or(until, |known| known.min(until)));
        }
        soonest.map(|until| until.since(now))
    }

    /// Returns the time until the first pause of a service's endpoints ends, if all endpoints that
    /// stay are paused.
    pub fn pause_left(&self, now: Timestamp, service: &ServiceName) -> Option<Duration> {
        let mut soonest: Option<Timestamp> = None;
        for state in self
            .of_service(service)
            .filter(|state| state.is_accepting())
        {
            let until = state.paused_until(now)?;
            soonest = Some(soonest.map_or(until, |known| known.min(until)));
        }
        soonest.map(|until| until.since(now))
    }

    /// Records a view that an agent published of its engine.
    pub fn record_view(&mut self, now: Timestamp, id: &EndpointId, view: EngineView) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.view = Some((now, view));
            state.vm_silent = false;
        }
    }

    /// Clears an agent's view, so that the contents in the registry are used again.
    pub fn clear_view(&mut self, id: &EndpointId, failure: AgentFailure) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.view = None;
            state.vm_silent = failure == AgentFailure::VmSilent;
        }
    }

    /// Records that the load of an adapter is requested from an endpoint's agent.
    pub fn begin_load(&mut self, id: &EndpointId, adapter: HeldAdapter) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.pending_loads.push(adapter);
        }
    }

    /// Records that an endpoint's agent answered a load request.
    pub fn end_load(&mut self, id: &EndpointId, adapter: &HeldAdapter) {
        if let Some(state) = self.endpoints.get_mut(id)
            && let Some(position) = state
                .pending_loads
                .iter()
                .position(|known| known == adapter)
        {
            state.pending_loads.swap_remove(position);
        }
    }

    /// Records that a call is about to be sent to an endpoint. Returns whether the call is the
    /// first in flight that uses its adapter, which has to be reported to the endpoint's agent.
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
        let key = (model.clone(), adapter.clone());
        if !state.recently_used.contains(&key) {
            state.recently_used.push(key);
        }
        let known = state
            .usage
            .iter_mut()
            .find(|known| known.name == *adapter && known.model == *model);
        match known {
            Some(known) => {
                known.calls += 1;
                false
            }
            None => {
                state.usage.push(AdapterUsage {
                    model: model.clone(),
                    name: adapter.clone(),
                    calls: 1,
                });
                true
            }
        }
    }

    /// Records the end and outcome of a call at an endpoint.
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
        state.last_call_at = Some(now);
        if let Some((model, adapter)) = used {
            for known in &mut state.usage {
                if known.name == *adapter && known.model == *model {
                    known.calls = known.calls.saturating_sub(1);
                }
            }
            state.usage.retain(|known| known.calls > 0);
        }
        match outcome {
            EndpointOutcome::Succeeded => state.health.record_success(),
            EndpointOutcome::Failed => state.health.record_failure(now),
            EndpointOutcome::Inconclusive => {}
        }
    }

    /// Returns this entry's usage report for an endpoint's agent: the adapters that its calls use,
    /// and those that they used since the last report.
    pub fn take_usage(&mut self, entry: &str, id: &EndpointId) -> UsageReport {
        let mut report = UsageReport {
            entry: entry.to_owned(),
            endpoint: id.clone(),
            started_ms: None,
            adapters: Vec::new(),
            calls: 0,
        };
        let Some(state) = self.endpoints.get_mut(id) else {
            return report;
        };
        report.started_ms = state.record.started_ms;
        report.adapters.clone_from(&state.usage);
        report.calls = state.calls;
        for (model, name) in state.recently_used.drain(..) {
            let listed = report
                .adapters
                .iter()
                .any(|used| used.name == name && used.model == model);
            if !listed {
                let ended = AdapterUsage {
                    model,
                    name,
                    calls: 0,
                };
                report.adapters.push(ended);
            }
        }
        report
    }
}
