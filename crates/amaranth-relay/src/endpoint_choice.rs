//! Choosing an endpoint for a call, and having an engine hold the adapter first.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranth_core::ids::EndpointId;
use amaranth_dispatch::attempts::AttemptHistory;
use amaranth_dispatch::call::GenerationNeed;
use amaranth_dispatch::endpoint_table::EndpointState;
use amaranth_dispatch::engine_selector::{self, EngineChoice, EngineQuery, SelectionReason};
use amaranth_dispatch::engine_view::LoadOutcome;
use amaranth_dispatch::refusal::{Refusal, RefusalCause};
use amaranth_dispatch::routes::EngineRule;
use amaranth_dispatch::service_selector::{self, ServiceQuery};
use amaranth_dispatch::slot_queue::{self, QueuePosition};
use smallvec::SmallVec;
use tokio::time::{Instant, timeout_at};

use crate::entry::{EntryCore, LoadTerms};
use crate::load_waits::LoadKey;
use crate::routed_call::Call;
use crate::send_guard::SendGuard;

/// Time for which a call waits for an adapter before it is placed anew, in objectives.
const LOAD_PATIENCE_OBJECTIVES: u32 = 2;

/// Time after which a call in line looks again, without news.
const LINE_INTERVAL: Duration = Duration::from_millis(80);

/// Placements of one call before it is refused.
const MAX_PLACEMENTS: u32 = 4;

/// When a refused caller may come back, where no better time is known.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(400);

/// When a caller may come back to an entry that knows no configuration or no endpoint: reading
/// the platform's tables takes about this long once they can be reached.
pub const UNKNOWING_RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// An endpoint that was chosen for a call.
#[derive(Debug)]
pub struct ChosenEndpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// The call's place there.
    pub guard: SendGuard,
    /// The adapter's version that the call needs.
    pub adapter_version: Option<u64>,
}

/// Chooses an endpoint, and has an engine hold the adapter first.
pub async fn choose(
    core: &Arc<EntryCore>,
    call: &Call,
    history: &AttemptHistory,
) -> Result<ChosenEndpoint, Refusal> {
    match (&call.need, &call.engine) {
        (Some(need), Some(engine)) => choose_engine(core, call, history, need, engine).await,
        _ => choose_service(core, call, history),
    }
}

fn choose_service(
    core: &Arc<EntryCore>,
    call: &Call,
    history: &AttemptHistory,
) -> Result<ChosenEndpoint, Refusal> {
    let now = core.now();
    let state = core.state();
    let locality = &core.options.locality;
    let query = |excluded| ServiceQuery {
        service: &call.service,
        excluded,
        max_calls: call.max_calls,
    };
    let picked = service_selector::select(now, &state.book, locality, query(history.tried()))
        .or_else(|| service_selector::select(now, &state.book, locality, query(&[])));
    let Some(endpoint) = picked else {
        let known = service_selector::has_endpoint(&state.book, &call.service);
        let refusal = if known {
            Refusal::with_retry_after(RefusalCause::Overloaded, service_selector::FULL_RETRY_AFTER)
        } else {
            Refusal::with_retry_after(RefusalCause::NoEndpoint, UNKNOWING_RETRY_AFTER)
        };
        return Err(refusal);
    };
    let address = state.book.get(&endpoint).map(|known| known.record.address);
    drop(state);
    let address = address.ok_or(Refusal::with_retry_after(
        RefusalCause::NoEndpoint,
        DEFAULT_RETRY_AFTER,
    ))?;
    Ok(ChosenEndpoint {
        address,
        guard: SendGuard::open(Arc::clone(core), endpoint, None),
        adapter_version: None,
    })
}

async fn choose_engine(
    core: &Arc<EntryCore>,
    call: &Call,
    history: &AttemptHistory,
    need: &Arc<GenerationNeed>,
    engine: &EngineRule,
) -> Result<ChosenEndpoint, Refusal> {
    let mut outcome = LoadOutcome::Unavailable;
    let mut excluded: SmallVec<[EndpointId; 4]> = history.tried().iter().cloned().collect();
    for _ in 0..MAX_PLACEMENTS {
        let placed = place_in_line(core, call, need, engine, &excluded).await?;
        let PlacedCall {
            choice,
            address,
            version,
        } = placed;
        if choice.first_token_time > call.time_left(core) {
            let delay = choice.first_token_time.saturating_sub(call.route.objective);
            return Err(Refusal::with_retry_after(
                RefusalCause::Overloaded,
                delay.max(DEFAULT_RETRY_AFTER),
            ));
        }
        let guard = SendGuard::open(
            Arc::clone(core),
            choice.endpoint.clone(),
            Some(Arc::clone(need)),
        );
        if choice.reason != SelectionReason::Held {
            let key = LoadKey {
                endpoint: choice.endpoint.clone(),
                model: need.model.clone(),
                adapter: need.adapter.clone(),
                version,
            };
            let terms = LoadTerms {
                patience: (call.route.objective * LOAD_PATIENCE_OBJECTIVES)
                    .min(call.time_left(core)),
                from_store: choice.reason == SelectionReason::FreeSlot,
                rank: call.route.priority,
            };
            outcome = core.load(key, address, engine, terms).await;
            if outcome != LoadOutcome::Held {
                // A load that is only slow goes on, and is still the soonest.
                if outcome != LoadOutcome::TimedOut {
                    excluded.push(choice.endpoint);
                }
                continue;
            }
        }
        let left_another = !history.tried().is_empty();
        if left_another
            && choice.reason == SelectionReason::Held
            && !core.vm_answers(&choice.endpoint).await
        {
            // VMs freeze or are cut off together, and a call has few sends.
            excluded.push(choice.endpoint);
            continue;
        }
        if !is_open(core, &choice.endpoint) {
            // It began to leave while the call waited for the load.
            continue;
        }
        return Ok(ChosenEndpoint {
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

/// Returns whether an endpoint still takes calls.
pub fn is_open(core: &EntryCore, endpoint: &EndpointId) -> bool {
    let state = core.state();
    state
        .book
        .get(endpoint)
        .is_some_and(EndpointState::is_accepting)
}

/// An engine that was chosen for a call.
#[derive(Debug)]
struct PlacedCall {
    choice: EngineChoice,
    address: SocketAddr,
    version: Option<u64>,
}

/// A call's stay in the line for a place.
struct LineStay<'a> {
    core: &'a EntryCore,
    position: QueuePosition,
}

impl Drop for LineStay<'_> {
    fn drop(&mut self) {
        self.core.state().line.remove(self.position);
    }
}

/// Chooses an engine; a call for which there is no place waits in line for a part of its
/// objective.
async fn place_in_line(
    core: &Arc<EntryCore>,
    call: &Call,
    need: &GenerationNeed,
    engine: &EngineRule,
    excluded: &[EndpointId],
) -> Result<PlacedCall, Refusal> {
    let taken = core.state().line.must_wait(call.route.priority);
    if !taken && let Some(placed) = place(core, call, need, engine, excluded) {
        return Ok(placed);
    }
    let position = core.state().line.insert(call.route.priority);
    let stay = LineStay { core, position };
    let joined = Instant::now();
    let ends = |model_coming| {
        (joined + slot_queue::max_wait(call.route.objective, model_coming)).min(call.expires)
    };
    let mut until = ends(false);
    loop {
        if Instant::now() >= until {
            // Engines may have lost the model, or got it, while the call waits.
            let coming = core
                .state()
                .book
                .is_loading_model(&call.service, &need.model);
            until = ends(coming);
            if Instant::now() >= until {
                break;
            }
        }
        let changed = core.changed();
        let wait = (Instant::now() + LINE_INTERVAL).min(until);
        // Engines' estimates change with time too, so that nobody waits for news alone.
        let _ = timeout_at(wait, changed).await;
        if !core.state().line.may_try(stay.position) {
            continue;
        }
        if let Some(placed) = place(core, call, need, engine, excluded) {
            return Ok(placed);
        }
    }
    let waiting = core.state().line.len();
    log::info!(
        "event=no_place id={} waited_ms={} line={waiting}",
        call.head.id,
        joined.elapsed().as_millis()
    );
    Err(Refusal::with_retry_after(
        RefusalCause::AdapterWait,
        DEFAULT_RETRY_AFTER,
    ))
}

fn place(
    core: &EntryCore,
    call: &Call,
    need: &GenerationNeed,
    engine: &EngineRule,
    excluded: &[EndpointId],
) -> Option<PlacedCall> {
    let now = core.now();
    let state = core.state();
    let version = need
        .adapter
        .as_ref()
        .and_then(|adapter| state.versions.newest(&need.model, adapter));
    let query = EngineQuery {
        service: &call.service,
        engine,
        need,
        version,
        excluded,
        objective: call.route.objective,
        spent: call.arrived.elapsed(),
        load_wait: state.gate.expected_wait(),
        max_calls: call.max_calls,
    };
    let choice = engine_selector::select(now, &state.book, &core.options.locality, query)?;
    let address = state.book.get(&choice.endpoint)?.record.address;
    Some(PlacedCall {
        choice,
        address,
        version,
    })
}
