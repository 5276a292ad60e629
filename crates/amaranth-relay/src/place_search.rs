//! The search for a place at an endpoint, and what the admission queue is told about a call.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranth_core::digest::hash64;
use amaranth_core::ids::{EndpointId, SoftwareVersion};
use amaranth_core::time::Timestamp;
use amaranth_dispatch::admission_queue::{AdmissionRequest, CallNeed, CallWork};
use amaranth_dispatch::attempts::AttemptHistory;
use amaranth_dispatch::call::GenerationNeed;
use amaranth_dispatch::endpoint_table::EndpointState;
use amaranth_dispatch::engine_selector::{self, EngineChoice, EngineQuery, need_key};
use amaranth_dispatch::exchange_policy::SHORTAGE_FRACTION;
use amaranth_dispatch::refusal::{Refusal, RefusalCause};
use amaranth_dispatch::routes::EngineRule;
use amaranth_dispatch::service_selector::{self, ServiceQuery};
use tokio::time::Instant;

use crate::admission::PlaceSearch;
use crate::endpoint_selection::{
    SelectedEndpoint, UNCONFIGURED_RETRY_AFTER, paused_refusal, permit_refusal, quarantine_refusal,
};
use crate::entry::{EntryCore, EntryState};
use crate::routed_call::{AnswerPosition, RoutedCall};
use crate::send_guard::SendGuard;

/// Time of a load from the weight store, including the orders to the engine.
const LOAD_TIME: Duration = Duration::from_millis(300);

/// Part of the shortest objective of a service's calls that the prompts before a new one may take at an
/// engine. Beyond it calls wait in the entry, where more urgent calls and other teams can go first;
/// the engine still has work for longer than an entry takes to learn that it has less.
const BACKLOG_FRACTION: f64 = 0.5;

/// Shortest time that the prompts before a new one may take: an engine without work is never left
/// alone, however short the objectives are.
const MIN_BACKLOG_TIME: Duration = Duration::from_millis(400);

/// Engines that are compared for the time to a first event. It only has to be typical.
const MAX_COMPARED: usize = 16;

/// Requests at an engine, in multiples of its batch slots, from which calls wait in the entry. Those
/// beyond the batch keep the engine busy when others end.
const MAX_BATCHES: f64 = 1.5;

/// What a call requires of an engine.
#[derive(Debug, Clone, Copy)]
pub struct PendingQuery<'a> {
    /// The requirements of the generation.
    pub need: &'a Arc<GenerationNeed>,
    /// The configuration of the service's engines.
    pub engine: &'a EngineRule,
    /// The only software version at which the call may run, if it goes on with a stream.
    pub software: Option<&'a SoftwareVersion>,
}

/// An engine that was selected for a call.
#[derive(Debug)]
pub struct SelectedEngine {
    /// The engine, and how it can serve the call.
    pub choice: EngineChoice,
    /// The address of the engine.
    pub address: SocketAddr,
    /// The version of the adapter that the call needs.
    pub version: Option<u64>,
    /// The guard that counts the call at the engine.
    pub guard: SendGuard,
}

/// The search for an engine with a place for a call.
#[derive(Debug, Clone, Copy)]
pub struct EngineSearch<'a> {
    /// The state of the entry.
    pub core: &'a Arc<EntryCore>,
    /// The call.
    pub call: &'a RoutedCall,
    /// What the call requires.
    pub query: PendingQuery<'a>,
    /// The endpoints that are not selected.
    pub excluded: &'a [EndpointId],
    /// Whether the call was sent before. It then does not wait for a shorter backlog.
    pub was_sent: bool,
}

impl PlaceSearch for EngineSearch<'_> {
    type Place = SelectedEngine;

    fn find(&self) -> Option<SelectedEngine> {
        let PendingQuery {
            need,
            engine,
            software,
        } = self.query;
        let (core, call) = (self.core, self.call);
        let now = core.now();
        let mut state = core.state();
        let version = need
            .adapter
            .as_ref()
            .and_then(|adapter| state.versions.newest(&need.model, adapter));
        let query = EngineQuery {
            service: &call.service,
            engine,
            need,
            version,
            excluded: self.excluded,
            software,
            objective: call.route.objective,
            spent: call.arrived.elapsed(),
            pause_objective: call.route.pause_objective,
            load_wait: state.load_limiter.expected_wait(),
            max_calls: call.max_calls,
        };
        let choice = engine_selector::select(now, &state.endpoints, &core.options.locality, query);
        let is_short = choice.as_ref().is_none_or(|choice| {
            let predicted = query.spent + choice.first_token_time;
            predicted > call.route.objective.mul_f64(SHORTAGE_FRACTION)
        });
        let shortest = state
            .admissions
            .service(&call.service)
            .queue
            .shortest_objective();
        let selected = choice.and_then(|choice| {
            let endpoint = state.endpoints.get(&choice.endpoint)?;
            let is_open =
                self.was_sent || !is_backed_up(now, endpoint, engine, shortest.unwrap_or_default());
            is_open.then_some((endpoint.record.address, choice))
        });
        drop(state);
        if is_short {
            core.record_shortage();
        }
        let (address, choice) = selected?;
        let mut guard = SendGuard::new(
            Arc::clone(core),
            choice.endpoint.clone(),
            Some(Arc::clone(need)),
            Arc::clone(&call.properties),
        );
        guard.set_pauses(
            call.route.pause_objective,
            choice.pauses.unwrap_or_default(),
        );
        Some(SelectedEngine {
            choice,
            address,
            version,
            guard,
        })
    }

    fn refusal(&self) -> Option<Refusal> {
        let (core, call) = (self.core, self.call);
        quarantine_refusal(core, call)
            .or_else(|| paused_refusal(core, &call.service))
            .or_else(|| no_endpoint_refusal(core, call, self.query.software))
            .or_else(|| permit_refusal(core, &call.service, call.route.objective))
    }
}

/// Returns whether an engine has so much work before a new call that the call waits in the entry.
fn is_backed_up(
    now: Timestamp,
    endpoint: &EndpointState,
    engine: &EngineRule,
    shortest_objective: Duration,
) -> bool {
    let contents = endpoint.contents();
    let batch = endpoint.calls().max(contents.active + contents.queued);
    if f64::from(batch) >= MAX_BATCHES * f64::from(engine.slots) {
        return true;
    }
    let others = endpoint.others_pending_prefills();
    if others + endpoint.estimate.pending_prefills() == 0 {
        return false;
    }
    let limit = shortest_objective.mul_f64(BACKLOG_FRACTION);
    endpoint.estimate.first_token_time(now, 0, batch, others) > limit.max(MIN_BACKLOG_TIME)
}

/// The search for an endpoint of a plain service with a place for a call.
#[derive(Debug, Clone, Copy)]
pub struct ServiceSearch<'a> {
    /// The state of the entry.
    pub core: &'a Arc<EntryCore>,
    /// The call.
    pub call: &'a RoutedCall,
    /// The sends of the call until now.
    pub history: &'a AttemptHistory,
    /// The only software version at which the call may run, if it goes on with a stream.
    pub software: Option<&'a SoftwareVersion>,
}

impl PlaceSearch for ServiceSearch<'_> {
    type Place = SelectedEndpoint;

    fn find(&self) -> Option<SelectedEndpoint> {
        let (core, call) = (self.core, self.call);
        let now = core.now();
        let state = core.state();
        let select = |excluded| {
            let query = ServiceQuery {
                service: &call.service,
                excluded,
                software: self.software,
                max_calls: call.max_calls,
            };
            service_selector::select(now, &state.endpoints, &core.options.locality, query)
        };
        let endpoint = select(self.history.tried()).or_else(|| select(&[]))?;
        let address = state.endpoints.get(&endpoint)?.record.address;
        drop(state);
        Some(SelectedEndpoint {
            address,
            guard: SendGuard::new(
                Arc::clone(core),
                endpoint,
                None,
                Arc::clone(&call.properties),
            ),
            adapter_version: None,
        })
    }

    fn refusal(&self) -> Option<Refusal> {
        let (core, call) = (self.core, self.call);
        quarantine_refusal(core, call)
            .or_else(|| paused_refusal(core, &call.service))
            .or_else(|| no_endpoint_refusal(core, call, self.software))
            .or_else(|| permit_refusal(core, &call.service, Duration::ZERO))
    }
}

/// Returns the refusal of a call to a service without an endpoint that stays.
fn no_endpoint_refusal(
    core: &EntryCore,
    call: &RoutedCall,
    software: Option<&SoftwareVersion>,
) -> Option<Refusal> {
    let is_known = service_selector::has_endpoint(&core.state().endpoints, &call.service, software);
    (!is_known)
        .then(|| Refusal::with_retry_after(RefusalCause::NoEndpoint, UNCONFIGURED_RETRY_AFTER))
}

/// Returns what the admission queue has to know of a call to an engine.
pub fn engine_request(search: &EngineSearch<'_>, history: &AttemptHistory) -> AdmissionRequest {
    let need = search.query.need;
    let now = search.core.now();
    let state = search.core.state();
    let version = need
        .adapter
        .as_ref()
        .and_then(|adapter| state.versions.newest(&need.model, adapter));
    let needs_load = !state
        .endpoints
        .of_service(&search.call.service)
        .any(|endpoint| holds(endpoint, need, version));
    let first_event = predicted_first_event(now, &state, search, needs_load);
    drop(state);
    let mut key = need_key(need);
    if !search.excluded.is_empty() || search.query.software.is_some() {
        // The obstacle of such a call is its own.
        key = hash64(key, search.call.head.id.as_str().as_bytes());
    }
    AdmissionRequest {
        need: CallNeed(key),
        work: CallWork::of_generation(need.prompt_tokens, need.expected_output(), needs_load),
        first_event,
        ..plain_request(search.core, search.call, history)
    }
}

fn holds(endpoint: &EndpointState, need: &GenerationNeed, version: Option<u64>) -> bool {
    let contents = endpoint.contents();
    let adapter = need.adapter.as_ref();
    let holds_adapter = |adapter| contents.holds(&need.model, adapter, version);
    contents.models.contains(&need.model) && adapter.is_none_or(holds_adapter)
}

/// Returns the predicted time from sending a generation until its first token, at the engine where that
/// is shortest.
fn predicted_first_event(
    now: Timestamp,
    state: &EntryState,
    search: &EngineSearch<'_>,
    needs_load: bool,
) -> Duration {
    let need = search.query.need;
    let key = need_key(need);
    let engines = state.endpoints.of_service(&search.call.service);
    let engines = engines.filter(|endpoint| endpoint.may_be_selected(now));
    let shortest = engines
        .take(MAX_COMPARED)
        .map(|endpoint| {
            let tokens = endpoint.estimate.prefill_tokens(need, key);
            endpoint.estimate.first_token_time(now, tokens, 0, 0)
        })
        .min();
    let load = if needs_load {
        state.load_limiter.expected_wait() + LOAD_TIME
    } else {
        Duration::ZERO
    };
    shortest.unwrap_or_default() + load
}

/// Returns what the admission queue has to know of a call to a plain service.
pub fn plain_request(
    core: &EntryCore,
    call: &RoutedCall,
    history: &AttemptHistory,
) -> AdmissionRequest {
    let now = core.now();
    let was_sent = history.may_have_run();
    let position = if was_sent {
        // The caller may have received a part of the answer until now.
        AnswerPosition {
            last_event_at: Instant::now(),
            ..call.start_position()
        }
    } else {
        call.start_position()
    };
    let useful_for = call
        .abandon_at(position)
        .saturating_duration_since(Instant::now());
    let mut state = core.state();
    let first_event = state.admissions.service(&call.service).answer_time();
    drop(state);
    let elapsed = u64::try_from(call.arrived.elapsed().as_micros()).unwrap_or(u64::MAX);
    AdmissionRequest {
        rank: call.priority,
        team: call.team.clone(),
        work: CallWork::PLAIN,
        need: CallNeed::default(),
        request: call.digest,
        arrived: Timestamp::from_micros(now.as_micros().saturating_sub(elapsed)),
        objective: call.route.objective,
        deadline: call.boottime_deadline,
        useful_until: now + useful_for,
        first_event: first_event.unwrap_or_default(),
        was_sent,
    }
}
