//! Which engine a generation goes to.
//!
//! An engine that holds the adapter is taken unless another one would, its load included, send
//! the first event sooner by a margin. Engines abroad are taken only when the wait at home is
//! longer than what the way abroad costs.

use std::collections::BTreeMap;
use std::time::Duration;

use amaranth_core::digest::hash64;
use amaranth_core::ids::{EndpointId, ServiceName};
use amaranth_core::time::Timestamp;
use strum::Display;

use crate::call::GenerationNeed;
use crate::endpoint_book::{EndpointBook, EndpointState};
use crate::routes::EngineRule;

/// What the way abroad costs, as time: two crossings and the price of the bytes.
const ABROAD_COST: Duration = Duration::from_millis(200);

/// Time of a load from the weight store, with its orders.
const LOAD_COST: Duration = Duration::from_millis(300);

/// What a copy of an adapter costs beyond the wait for it, as time: it takes a place from another.
const COPY_COST: Duration = Duration::from_millis(80);

/// Time that each place in the order of preference is worth, so that entries agree on cold loads.
const RANK_COST: Duration = Duration::from_millis(12);

/// Time that the rate of failures of an engine is worth, at a rate of one.
const FAILURE_COST: Duration = Duration::from_millis(2_000);

/// Time by which an engine that was just passed over for failures ranks behind others.
const SHUN_COST: Duration = Duration::from_millis(5_000);

/// Time by which an engine without memory for a prompt ranks behind others.
const FULL_COST: Duration = Duration::from_millis(800);

/// Where this entry stands, and what is near.
#[derive(Debug, Clone, Default)]
pub struct Locality {
    /// The entry's data centre.
    pub data_centre: String,
    /// The region of each data centre.
    pub regions: BTreeMap<String, String>,
}

impl Locality {
    /// Returns whether a data centre is in the entry's region.
    pub fn is_near(&self, data_centre: &str) -> bool {
        if data_centre == self.data_centre {
            return true;
        }
        let region = self.regions.get(data_centre);
        region.is_some() && region == self.regions.get(&self.data_centre)
    }
}

/// Why an engine was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum PlaceReason {
    /// It holds what the call needs.
    Held,
    /// It is loading it.
    Coming,
    /// It has a free place, or one whose adapter is idle.
    FreePlace,
}

/// Where a generation goes.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineChoice {
    /// The engine.
    pub endpoint: EndpointId,
    /// Why.
    pub reason: PlaceReason,
    /// When the first event would come.
    pub first_event: Duration,
}

/// What the placer is asked.
#[derive(Debug, Clone, Copy)]
pub struct PlaceQuery<'a> {
    /// The service whose engines are meant.
    pub service: &'a ServiceName,
    /// What its engines are.
    pub engine: &'a EngineRule,
    /// What the call needs.
    pub need: &'a GenerationNeed,
    /// The version of the adapter that it needs, if one was named.
    pub version: Option<u64>,
    /// Endpoints that failed the call.
    pub excluded: &'a [EndpointId],
}

/// Returns the seed under which an adapter's prompt parts are kept.
pub fn adapter_seed(need: &GenerationNeed) -> u64 {
    let name = need.adapter.as_ref().map_or("", |name| name.as_str());
    hash64(hash64(0, need.model.as_str().as_bytes()), name.as_bytes())
}

/// Returns the engine that would send the first event soonest, all costs counted, or nothing if
/// none can take the call.
pub fn place(
    now: Timestamp,
    book: &EndpointBook,
    locality: &Locality,
    query: PlaceQuery<'_>,
) -> Option<EngineChoice> {
    let seed = adapter_seed(query.need);
    let mut ranked: Vec<(u64, &EndpointState)> = book
        .of_service(query.service)
        .filter(|state| state.is_open() && !query.excluded.contains(&state.record.id))
        .map(|state| (hash64(seed, state.record.id.as_str().as_bytes()), state))
        .collect();
    ranked.sort_unstable_by_key(|(score, _)| *score);
    let mut near_rank = 0;
    let mut best: Option<(Duration, EngineChoice)> = None;
    for (_, state) in ranked {
        let near = locality.is_near(&state.record.data_centre);
        let rank = near_rank;
        near_rank += u32::from(near);
        let Some((reason, extra)) = readiness(state, query, rank) else {
            continue;
        };
        let batch = batch_size(state);
        let tokens = state.estimate.unread_tokens(query.need, seed);
        let first_event = state.estimate.first_event(now, tokens, batch) + load_wait(reason);
        let cost = first_event + extra + penalties(now, state, query, near);
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            let endpoint = state.record.id.clone();
            best = Some((
                cost,
                EngineChoice {
                    endpoint,
                    reason,
                    first_event,
                },
            ));
        }
    }
    best.map(|(_, choice)| choice)
}

/// Returns the requests that an engine is believed to have, this entry's and others'.
fn batch_size(state: &EndpointState) -> u32 {
    let contents = state.contents();
    state.calls().max(contents.active + contents.queued)
}

fn load_wait(reason: PlaceReason) -> Duration {
    match reason {
        PlaceReason::Held => Duration::ZERO,
        PlaceReason::Coming => LOAD_COST / 2,
        PlaceReason::FreePlace => LOAD_COST,
    }
}

/// Returns how an engine can serve the call and what that costs beyond the wait.
fn readiness(
    state: &EndpointState,
    query: PlaceQuery<'_>,
    rank: u32,
) -> Option<(PlaceReason, Duration)> {
    let contents = state.contents();
    let need = query.need;
    if !contents.models.contains(&need.model) {
        return None;
    }
    let Some(adapter) = &need.adapter else {
        return Some((PlaceReason::Held, Duration::ZERO));
    };
    if contents.holds(&need.model, adapter, query.version) {
        return Some((PlaceReason::Held, Duration::ZERO));
    }
    let coming = contents.coming.iter().chain(state.wishes()).any(|coming| {
        coming.is_for(&need.model, adapter) && query.version.is_none_or(|v| coming.version >= v)
    });
    if coming {
        return Some((PlaceReason::Coming, Duration::ZERO));
    }
    // Without its agent nobody gives the engine orders.
    state.view.as_ref()?;
    let has_older = contents.holds(&need.model, adapter, None);
    if has_older && state.is_used(&need.model, adapter) {
        return None;
    }
    if !has_older && !has_idle_place(state, query.engine) {
        return None;
    }
    Some((PlaceReason::FreePlace, COPY_COST + RANK_COST * rank))
}

/// Returns whether an engine has a place that is free or whose adapter nobody is known to use.
fn has_idle_place(state: &EndpointState, engine: &EngineRule) -> bool {
    let contents = state.contents();
    let used = contents
        .adapters
        .iter()
        .filter(|held| state.is_used(&held.model, &held.name))
        .count();
    let waiting = state
        .view
        .as_ref()
        .map_or(0, |(_, view)| view.waiting_loads as usize);
    // Wishes of this entry that the agent has heard of are among those that wait or come.
    let expected = (contents.coming.len() + waiting).max(state.wishes().len());
    used + expected < engine.adapter_places as usize
}

/// Returns the costs that do not depend on the adapter.
fn penalties(now: Timestamp, state: &EndpointState, query: PlaceQuery<'_>, near: bool) -> Duration {
    let mut cost = FAILURE_COST.mul_f64(state.failure_rate());
    if !near {
        cost += ABROAD_COST;
    }
    if state.is_shunned(now) {
        cost += SHUN_COST;
    }
    let contents = state.contents();
    let total = if contents.cache_total > 0 {
        contents.cache_total
    } else {
        query.engine.cache_tokens
    };
    let wanted = u64::from(query.need.prompt_tokens + query.need.expected_output());
    let backlog = state.estimate.backlog_tokens(now) as u64;
    if contents.cache_used + backlog + wanted > total || batch_size(state) >= query.engine.slots {
        cost += FULL_COST;
    }
    cost
}
