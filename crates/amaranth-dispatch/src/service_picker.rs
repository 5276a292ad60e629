//! Which endpoint of a plain service a call goes to, and when it is refused.
//!
//! A plain service has few slots that all entries share. An endpoint in the entry's region is
//! taken while its slots are not all used by this entry; after that the least used one anywhere.

use std::time::Duration;

use amaranth_core::ids::{EndpointId, ServiceName};
use amaranth_core::time::Timestamp;

use crate::endpoint_book::{EndpointBook, EndpointState};
use crate::engine_placer::Locality;

/// Calls of one entry at an endpoint, in multiples of its slots, beyond which it takes no more.
const FULL_SHARE: f64 = 2.0;

/// What the way abroad costs, as a share of an endpoint's slots.
const ABROAD_SHARE: f64 = 0.7;

/// What the rate of failures costs, as a share of an endpoint's slots at a rate of one.
const FAILURE_SHARE: f64 = 4.0;

/// What an endpoint that is passed over for failures costs, as a share of its slots.
const SHUN_SHARE: f64 = 50.0;

/// When a refused caller may come back: the time in which a busy endpoint frees some slots.
pub const FULL_RETRY_AFTER: Duration = Duration::from_millis(250);

/// What the picker is asked.
#[derive(Debug, Clone, Copy)]
pub struct PickQuery<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Endpoints that failed the call.
    pub excluded: &'a [EndpointId],
    /// The calls that the entry may have at one endpoint.
    pub max_calls: u32,
}

/// Returns the endpoint that is least used, all costs counted, or nothing if all are full.
pub fn pick(
    now: Timestamp,
    book: &EndpointBook,
    locality: &Locality,
    query: PickQuery<'_>,
) -> Option<EndpointId> {
    book.of_service(query.service)
        .filter(|state| state.is_open() && !query.excluded.contains(&state.record.id))
        .filter(|state| state.calls() < query.max_calls)
        .filter(|state| use_share(state) < FULL_SHARE)
        .map(|state| (cost(now, state, locality), state))
        .min_by(|(left, _), (right, _)| left.total_cmp(right))
        .map(|(_, state)| state.record.id.clone())
}

/// Returns whether a service has an endpoint that could take calls when it is less busy.
pub fn has_endpoint(book: &EndpointBook, service: &ServiceName) -> bool {
    book.of_service(service).any(EndpointState::is_open)
}

fn use_share(state: &EndpointState) -> f64 {
    f64::from(state.calls()) / f64::from(state.record.slots.max(1))
}

fn cost(now: Timestamp, state: &EndpointState, locality: &Locality) -> f64 {
    let mut cost = use_share(state) + FAILURE_SHARE * state.failure_rate();
    if !locality.is_near(&state.record.data_centre) {
        cost += ABROAD_SHARE;
    }
    if state.is_shunned(now) {
        cost += SHUN_SHARE;
    }
    cost
}
