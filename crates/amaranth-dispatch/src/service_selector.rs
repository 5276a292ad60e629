//! Selection of the endpoint of a plain service for a call.
//!
//! A plain service has few slots, which all entries share. An endpoint in the entry's region is
//! preferred until this entry uses all of its slots; after that, the least used endpoint of any
//! region is selected.

use amaranth_core::ids::{EndpointId, ServiceName, SoftwareVersion};
use amaranth_core::time::Timestamp;

use crate::endpoint_table::{EndpointState, EndpointTable};
use crate::engine_selector::Locality;

/// Calls of one entry at an endpoint, in multiples of its slots, at which the endpoint counts as
/// full.
const FULL_UTILIZATION: f64 = 2.0;

/// Cost of an endpoint in another region, as a fraction of an endpoint's slots.
const CROSS_REGION_COST: f64 = 0.7;

/// Cost of a failure rate of one, as a multiple of an endpoint's slots.
const FAILURE_COST: f64 = 4.0;

/// Cost of an endpoint that is ejected for failures, as a multiple of its slots.
const EJECTION_COST: f64 = 50.0;

/// The criteria for the selection of a plain service's endpoint.
#[derive(Debug, Clone, Copy)]
pub struct ServiceQuery<'a> {
    /// The service whose endpoints are considered.
    pub service: &'a ServiceName,
    /// The endpoints that failed the call.
    pub excluded: &'a [EndpointId],
    /// The only software version at which the call may run, if it goes on with a stream.
    pub software: Option<&'a SoftwareVersion>,
    /// The largest number of calls that the entry may have at one endpoint.
    pub max_calls: u32,
}

/// Returns the endpoint with the lowest cost, or nothing if all are full.
pub fn select(
    now: Timestamp,
    table: &EndpointTable,
    locality: &Locality,
    query: ServiceQuery<'_>,
) -> Option<EndpointId> {
    table
        .of_service(query.service)
        .filter(|state| state.may_be_selected(now) && !query.excluded.contains(&state.record.id))
        .filter(|state| state.has_software(query.software))
        .filter(|state| state.calls() < query.max_calls)
        .filter(|state| utilization(state) < FULL_UTILIZATION)
        .map(|state| (cost(now, state, locality), state))
        .min_by(|(left, _), (right, _)| left.total_cmp(right))
        .map(|(_, state)| state.record.id.clone())
}

/// Returns whether a service has an endpoint that accepts calls when it is less busy, of one software
/// version if it is given.
pub fn has_endpoint(
    table: &EndpointTable,
    service: &ServiceName,
    software: Option<&SoftwareVersion>,
) -> bool {
    let mut endpoints = table.of_service(service);
    endpoints.any(|state| state.is_accepting() && state.has_software(software))
}

fn utilization(state: &EndpointState) -> f64 {
    f64::from(state.calls()) / f64::from(state.record.slots.max(1))
}

fn cost(now: Timestamp, state: &EndpointState, locality: &Locality) -> f64 {
    let mut cost = utilization(state) + FAILURE_COST * state.failure_rate();
    if !locality.is_same_region(&state.record.data_centre) {
        cost += CROSS_REGION_COST;
    }
    if state.is_ejected(now) {
        cost += EJECTION_COST;
    }
    cost
}
