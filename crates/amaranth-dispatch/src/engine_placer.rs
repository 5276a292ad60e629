//! Which engine a generation goes to.
//!
//! Each engine is weighed by what the call would earn there: an answer in time is worth one, a
//! late one less, and loads from the weight store, the way abroad and an engine's failures have
//! their prices. So a call waits at an engine that holds its adapter while it is on time there,
//! and a copy is made only when it is not.

use std::collections::BTreeMap;
use std::time::Duration;

use amaranth_core::digest::hash64;
use amaranth_core::ids::{EndpointId, ServiceName};
use amaranth_core::time::Timestamp;
use strum::Display;

use crate::call::GenerationNeed;
use crate::endpoint_book::{EndpointBook, EndpointState};
use crate::engine_view::adapter_key;
use crate::routes::EngineRule;

/// Time of a load from the weight store, with its orders.
const LOAD_TIME: Duration = Duration::from_millis(300);

/// Time of a load of an adapter that the engine keeps at hand, with its orders.
const RELOAD_TIME: Duration = Duration::from_millis(60);

/// Time of the way abroad and back.
const ABROAD_TIME: Duration = Duration::from_millis(25);

/// Price of a load from the weight store, as a part of what an answer in time is worth.
const LOAD_PRICE: f64 = 0.25;

/// Price of a load of an adapter that the engine keeps at hand.
const RELOAD_PRICE: f64 = 0.01;

/// Price of the bytes of a call abroad.
const ABROAD_PRICE: f64 = 0.06;

/// Price of each place in the order of preference, so that entries agree on cold loads.
const RANK_PRICE: f64 = 0.01;

/// What a failure costs: the answer is lost or late.
const FAILURE_PRICE: f64 = 0.7;

/// What it costs to go to an engine that is passed over for failures, or whose memory is full.
const LAST_RESORT_PRICE: f64 = 2.0;

/// What it costs to go to an engine on a VM that does not answer: the first event is probably late.
const SUSPECT_PRICE: f64 = 0.7;

/// What a late answer is worth, as a part of one in time.
const LATE_WORTH: f64 = 0.3;

/// Part of the objective up to which a predicted first event is surely in time, and the one from
/// which it is surely late.
const SURE_PARTS: (f64, f64) = (0.55, 1.25);

/// What an engine's time costs others, for each objective's length of waiting.
const WAIT_PRICE: f64 = 0.4;

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
    /// It keeps the adapter at hand, and has a place for it.
    AtHand,
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
    /// The time within which a first event is on time.
    pub objective: Duration,
    /// The time that the call has spent already.
    pub spent: Duration,
    /// How long a load from the weight store waits before it may start.
    pub load_wait: Duration,
    /// The calls that the entry may have at one engine.
    pub max_calls: u32,
}

/// Returns the key under which an adapter and its prompt parts are kept.
pub fn need_key(need: &GenerationNeed) -> u64 {
    adapter_key(&need.model, need.adapter.as_ref())
}

/// Returns the engine where the call would earn most, all prices counted, or nothing if none can
/// take it.
pub fn place(
    now: Timestamp,
    book: &EndpointBook,
    locality: &Locality,
    query: PlaceQuery<'_>,
) -> Option<EngineChoice> {
    let key = need_key(query.need);
    let mut ranked: Vec<(u64, &EndpointState)> = book
        .of_service(query.service)
        .filter(|state| state.is_open() && !query.excluded.contains(&state.record.id))
        .filter(|state| state.calls() < query.max_calls)
        .map(|state| (hash64(key, state.record.id.as_str().as_bytes()), state))
        .collect();
    ranked.sort_unstable_by_key(|(score, _)| *score);
    let mut near_rank = 0;
    let mut best: Option<(f64, EngineChoice)> = None;
    for (_, state) in ranked {
        let near = locality.is_near(&state.record.data_centre);
        let rank = near_rank;
        near_rank += u32::from(near);
        let Some(reason) = readiness(state, query, key) else {
            continue;
        };
        let tokens = state.estimate.unread_tokens(query.need, key);
        let travel = if near { Duration::ZERO } else { ABROAD_TIME };
        let first_event =
            state
                .estimate
                .first_event(now, tokens, batch_size(state), state.unread_of_others())
                + load_time(reason, query.load_wait)
                + travel;
        let earned = expected_worth(query.spent + first_event, query.objective)
            - load_price(reason, rank)
            - prices(now, state, query, near);
        if best.as_ref().is_none_or(|(most, _)| earned > *most) {
            let endpoint = state.record.id.clone();
            best = Some((
                earned,
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

/// Returns what an answer earns whose first event is predicted after `first_event`, as a part of
/// what one in time is worth, less what the engine's time costs others.
fn expected_worth(first_event: Duration, objective: Duration) -> f64 {
    let parts = first_event.as_secs_f64() / objective.as_secs_f64().max(0.001);
    let (sure, late) = SURE_PARTS;
    let in_time = 1.0 - ((parts - sure) / (late - sure)).clamp(0.0, 1.0);
    LATE_WORTH + (1.0 - LATE_WORTH) * in_time - WAIT_PRICE * parts
}

/// Returns the requests that an engine is believed to have, this entry's and others'.
fn batch_size(state: &EndpointState) -> u32 {
    let contents = state.contents();
    state.calls().max(contents.active + contents.queued)
}

fn load_time(reason: PlaceReason, wait: Duration) -> Duration {
    match reason {
        PlaceReason::Held => Duration::ZERO,
        PlaceReason::Coming => Duration::from_millis(150),
        PlaceReason::AtHand => RELOAD_TIME,
        PlaceReason::FreePlace => wait + LOAD_TIME,
    }
}

fn load_price(reason: PlaceReason, rank: u32) -> f64 {
    match reason {
        PlaceReason::Held | PlaceReason::Coming => 0.0,
        PlaceReason::AtHand => RELOAD_PRICE,
        PlaceReason::FreePlace => LOAD_PRICE + RANK_PRICE * f64::from(rank),
    }
}

/// Returns how an engine can serve the call, if it can.
fn readiness(state: &EndpointState, query: PlaceQuery<'_>, key: u64) -> Option<PlaceReason> {
    let contents = state.contents();
    let need = query.need;
    if !contents.models.contains(&need.model) {
        return None;
    }
    let Some(adapter) = &need.adapter else {
        return Some(PlaceReason::Held);
    };
    if contents.holds(&need.model, adapter, query.version) {
        return Some(PlaceReason::Held);
    }
    let coming = contents.coming.iter().chain(state.wishes()).any(|coming| {
        coming.is_for(&need.model, adapter) && query.version.is_none_or(|v| coming.version >= v)
    });
    if coming {
        return Some(PlaceReason::Coming);
    }
    // Without its agent nobody gives the engine orders.
    let (_, view) = state.view.as_ref()?;
    let has_older = contents.holds(&need.model, adapter, None);
    if has_older && state.is_used(&need.model, adapter) {
        return None;
    }
    if !has_older && !has_idle_place(state, query.engine) {
        return None;
    }
    if !has_older && view.remembered.contains(&key) {
        return Some(PlaceReason::AtHand);
    }
    Some(PlaceReason::FreePlace)
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

/// Returns the prices that do not depend on the adapter.
fn prices(now: Timestamp, state: &EndpointState, query: PlaceQuery<'_>, near: bool) -> f64 {
    let mut price = FAILURE_PRICE * state.failure_rate();
    if !near {
        price += ABROAD_PRICE;
    }
    if state.is_shunned(now) || state.is_silent(now) {
        price += LAST_RESORT_PRICE;
    } else if state.is_suspect(now) {
        price += SUSPECT_PRICE;
    }
    if is_full(now, state, query) {
        price += LAST_RESORT_PRICE / 2.0;
    }
    price
}

/// Returns whether an engine has no slot or no memory for the call.
fn is_full(now: Timestamp, state: &EndpointState, query: PlaceQuery<'_>) -> bool {
    let contents = state.contents();
    let total = if contents.cache_total > 0 {
        contents.cache_total
    } else {
        query.engine.cache_tokens
    };
    let wanted = u64::from(query.need.prompt_tokens + query.need.expected_output());
    let backlog = state.estimate.backlog_tokens(now) as u64;
    contents.cache_used + backlog + wanted > total || batch_size(state) >= query.engine.slots
}
