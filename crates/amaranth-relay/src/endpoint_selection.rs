//! Selection of an endpoint for a call, with the load of an adapter that the engine lacks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranth_core::ids::{EndpointId, ServiceName, SoftwareVersion};
use amaranth_dispatch::admission_queue::AdmissionRequest;
use amaranth_dispatch::attempts::AttemptHistory;
use amaranth_dispatch::call_limiter::{self, CallPermit, CallRate};
use amaranth_dispatch::engine_selector::SelectionReason;
use amaranth_dispatch::engine_view::LoadOutcome;
use amaranth_dispatch::refusal::{Refusal, RefusalCause};
use amaranth_dispatch::service_selector;
use amaranth_dispatch::slot_wait::max_cached_wait;
use smallvec::SmallVec;
use tokio::time::timeout;

use crate::admission;
use crate::entry::{EntryCore, LoadOptions};
use crate::place_search::{
    EngineSearch, PendingQuery, SelectedEngine, ServiceSearch, engine_request, plain_request,
};
use crate::routed_call::RoutedCall;
use crate::send_guard::SendGuard;
use crate::shared_loads::LoadKey;

/// Time for which a call waits for a load before another engine is selected, in objectives of its
/// route.
const LOAD_WAIT_OBJECTIVES: u32 = 2;

/// Engine selections for one call before it is refused.
const MAX_SELECTIONS: u32 = 4;

/// Permits that are denied to one call before it is refused.
const MAX_DENIALS: u32 = 6;

/// Timeout for a permit: a cross-region round trip, and a pause of the processes at both ends.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which an endpoint with a limit is left alone while its agent can't be reached.
const NO_AGENT_WAIT: Duration = Duration::from_secs(1);

/// Retry delay for a refused caller where no better estimate is known.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Retry delay for a caller of an entry that knows no configuration or no endpoint. Reading the
/// platform's tables takes about this long once they can be reached.
pub const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// An endpoint that was selected for a call.
#[derive(Debug)]
pub struct SelectedEndpoint {
    /// The address of the endpoint.
    pub address: SocketAddr,
    /// The guard that counts the call at the endpoint.
    pub guard: SendGuard,
    /// The adapter's version that the call needs.
    pub adapter_version: Option<u64>,
}

/// Selects an endpoint, and waits until an engine holds the adapter. A call that goes on with a stream
/// is sent to endpoints of one software version only.
///
/// # Errors
///
/// Returns a refusal if no endpoint is available in time.
pub async fn select(
    core: &Arc<EntryCore>,
    call: &RoutedCall,
    history: &AttemptHistory,
    software: Option<&SoftwareVersion>,
) -> Result<SelectedEndpoint, Refusal> {
    if let Some(refusal) = quarantine_refusal(core, call) {
        return Err(refusal);
    }
    if software.is_some()
        && !service_selector::has_endpoint(&core.state().endpoints, &call.service, software)
    {
        return Err(Refusal::new(RefusalCause::NoEndpoint));
    }
    match (&call.need, &call.engine) {
        (Some(need), Some(engine)) => {
            let query = PendingQuery {
                need,
                engine,
                software,
            };
            select_engine(core, call, history, query).await
        }
        _ => select_service(core, call, history, software).await,
    }
}

async fn select_service(
    core: &Arc<EntryCore>,
    call: &RoutedCall,
    history: &AttemptHistory,
    software: Option<&SoftwareVersion>,
) -> Result<SelectedEndpoint, Refusal> {
    let search = ServiceSearch {
        core,
        call,
        history,
        software,
    };
    let request = plain_request(core, call, history);
    record_arrival(core, call, history, &request);
    for _ in 0..MAX_DENIALS {
        let selected = admission::admit(core, call, request.clone(), &search).await?;
        if acquire_permit(core, call, selected.guard.endpoint()).await {
            return Ok(selected);
        }
    }
    Err(denied_refusal(core, call))
}

/// Records the arrival of a call that is selected an endpoint for the first time.
fn record_arrival(
    core: &EntryCore,
    call: &RoutedCall,
    history: &AttemptHistory,
    request: &AdmissionRequest,
) {
    if history.sends() == 0 {
        let now = core.now();
        let mut state = core.state();
        let queue = &mut state.admissions.service(&call.service).queue;
        queue.record_arrival(now, request);
    }
}

async fn select_engine(
    core: &Arc<EntryCore>,
    call: &RoutedCall,
    history: &AttemptHistory,
    query: PendingQuery<'_>,
) -> Result<SelectedEndpoint, Refusal> {
    let PendingQuery { need, engine, .. } = query;
    let mut outcome = LoadOutcome::Unavailable;
    let mut excluded: SmallVec<[EndpointId; 4]> = history.tried().iter().cloned().collect();
    let (mut selections, mut denials) = (0, 0);
    while selections < MAX_SELECTIONS {
        let search = EngineSearch {
            core,
            call,
            query,
            excluded: &excluded,
            was_sent: history.may_have_run(),
        };
        let request = engine_request(&search, history);
        if selections + denials == 0 {
            record_arrival(core, call, history, &request);
        }
        let SelectedEngine {
            choice,
            address,
            version,
            guard,
        } = admission::admit(core, call, request, &search).await?;
        if choice.first_token_time > call.time_left(core) {
            let delay = choice.first_token_time.saturating_sub(call.route.objective);
            return Err(Refusal::with_retry_after(
                RefusalCause::Overloaded,
                delay.max(DEFAULT_RETRY_AFTER),
            ));
        }
        if choice.reason != SelectionReason::Held {
            let key = LoadKey {
                endpoint: choice.endpoint.clone(),
                model: need.model.clone(),
                adapter: need.adapter.clone(),
                version,
            };
            let longest_wait = if choice.reason == SelectionReason::Cached {
                max_cached_wait(call.route.objective)
            } else {
                call.route.objective * LOAD_WAIT_OBJECTIVES
            };
            let options = LoadOptions {
                max_wait: longest_wait.min(call.time_left(core)),
                from_store: choice.reason == SelectionReason::FreeSlot,
                priority: call.priority,
            };
            outcome = core.load(key, address, engine, options).await;
            if outcome != LoadOutcome::Held {
                selections += 1;
                // A load that timed out continues, and its engine is still the first to be ready.
                if outcome != LoadOutcome::TimedOut {
                    excluded.push(choice.endpoint);
                }
                continue;
            }
        }
        let is_retry = !history.tried().is_empty();
        if is_retry
            && choice.reason == SelectionReason::Held
            && !core.is_vm_responsive(&choice.endpoint).await
        {
            // VMs tend to freeze or lose their network together, and a call has few attempts.
            selections += 1;
            excluded.push(choice.endpoint);
            continue;
        }
        if !may_get_calls(core, &choice.endpoint) {
            // The endpoint began to drain or asked for a pause while the call waited for the load.
            selections += 1;
            continue;
        }
        if !acquire_permit(core, call, &choice.endpoint).await {
            // The endpoint is not selected again before its next permit.
            denials += 1;
            if denials == MAX_DENIALS {
                return Err(denied_refusal(core, call));
            }
            continue;
        }
        return Ok(SelectedEndpoint {
            address,
            guard,
            adapter_version: version,
        });
    }
    log::info!(
        "event=adapter_wait_over id={} outcome={outcome}",
        call.head.id
    );
    Err(Refusal::with_retry_after(
        RefusalCause::AdapterWait,
        DEFAULT_RETRY_AFTER,
    ))
}

/// Acquires the permit to send one call to an endpoint, if the endpoint states a limit on calls.
/// Returns `false` if there is none; the endpoint is not selected again before the next one.
async fn acquire_permit(core: &EntryCore, call: &RoutedCall, endpoint: &EndpointId) -> bool {
    let Some((rate, agent)) = permit_source(core, call, endpoint) else {
        return true;
    };
    let asking = async {
        let agent = agent.ok_or("no agent is known")?;
        let answer = core.agents.permit(agent, endpoint.clone(), rate).await;
        answer.map_err(|_| "its agent gave no answer")
    };
    let answer = timeout(PERMIT_TIMEOUT, asking).await;
    let wait = match answer.unwrap_or(Err("its agent was silent")) {
        Ok(CallPermit::Granted) => return true,
        Ok(CallPermit::Denied(wait)) => wait,
        Err(reason) => {
            log::info!("event=permit_unavailable endpoint={endpoint} reason={reason:?}");
            NO_AGENT_WAIT
        }
    };
    let now = core.now();
    core.state().endpoints.record_denied(now, endpoint, wait);
    false
}

/// Returns the limit that an endpoint states, if it states one, and the agent that grants its permits:
/// the one beside an engine, and one that all entries select alike for other endpoints.
fn permit_source(
    core: &EntryCore,
    call: &RoutedCall,
    endpoint: &EndpointId,
) -> Option<(CallRate, Option<SocketAddr>)> {
    let state = core.state();
    let rate = state.endpoints.get(endpoint)?.limit()?;
    let table = state.config.current();
    let is_engine = |service: &ServiceName| {
        let rule = table.and_then(|table| table.service(service));
        rule.is_some_and(|rule| rule.engine.is_some())
    };
    let grantor = if call.engine.is_some() {
        Some(endpoint)
    } else {
        let engines = state.endpoints.iter();
        let engines = engines.filter(|known| is_engine(&known.record.service));
        call_limiter::permit_grantor(endpoint, engines.map(|known| &known.record.id))
    };
    let grantor = grantor.and_then(|grantor| state.endpoints.get(grantor));
    let agent = grantor.map(|grantor| core.agent_address(grantor.record.address));
    Some((rate, agent))
}

/// Returns whether a call may be sent to an endpoint now.
pub fn may_get_calls(core: &EntryCore, endpoint: &EndpointId) -> bool {
    let now = core.now();
    let state = core.state();
    state
        .endpoints
        .get(endpoint)
        .is_some_and(|endpoint| endpoint.may_get_calls(now))
}

/// Returns the refusal of a call that crashes endpoints.
pub fn quarantine_refusal(core: &EntryCore, call: &RoutedCall) -> Option<Refusal> {
    let left = call.quarantine_left(core)?;
    Some(Refusal::with_retry_after(RefusalCause::Quarantined, left))
}

/// Returns the refusal of calls to a service whose endpoints all asked for a pause.
pub fn paused_refusal(core: &EntryCore, service: &ServiceName) -> Option<Refusal> {
    let now = core.now();
    let pause = core.state().endpoints.pause_left(now, service)?;
    Some(Refusal::with_retry_after(
        RefusalCause::EndpointsPaused,
        pause,
    ))
}

/// Returns the refusal of a call to which several permits were denied.
fn denied_refusal(core: &EntryCore, call: &RoutedCall) -> Refusal {
    let now = core.now();
    let wait = core.state().endpoints.permit_wait(now, &call.service);
    Refusal::with_retry_after(
        RefusalCause::Overloaded,
        wait.unwrap_or(DEFAULT_RETRY_AFTER),
    )
}

/// Returns the refusal of calls to a service for which no permit is left for `longest_wait` or longer.
pub fn permit_refusal(
    core: &EntryCore,
    service: &ServiceName,
    longest_wait: Duration,
) -> Option<Refusal> {
    let now = core.now();
    let wait = core.state().endpoints.permit_wait(now, service)?;
    (wait >= longest_wait).then(|| Refusal::with_retry_after(RefusalCause::Overloaded, wait))
}
