//! The choice of an endpoint for a request, by ranking that entries agree on without talking.

use std::collections::BTreeMap;

use amaranth_core::digest::hash64;
use amaranth_core::ids::{EndpointId, ModelName, ServiceName};
use amaranth_core::membership::{EndpointLoad, EndpointOffer, EndpointReport};
use amaranth_core::request::ModelTarget;
use amaranth_core::time::Timestamp;
use smallvec::SmallVec;

/// What the router is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteQuery {
    /// What the request runs on.
    pub target: ModelTarget,
    /// Endpoints that already failed this request.
    pub excluded: SmallVec<[EndpointId; 2]>,
}

/// Why an endpoint was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RouteReason {
    /// It holds the adapter.
    Resident,
    /// It is loading the adapter.
    Loading,
    /// It ranks first for the adapter.
    FirstRanked,
    /// Better ranked endpoints are too busy.
    Spilled,
}

/// A chosen endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteChoice {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Why.
    pub reason: RouteReason,
}

/// One endpoint as the router knows it.
#[derive(Debug, Clone)]
struct RoutedEndpoint {
    report: EndpointReport,
    own_in_flight: u32,
}

/// Chooses endpoints from reports and from this entry's own counts.
#[derive(Debug, Clone, Default)]
pub struct EndpointRouter {
    endpoints: BTreeMap<EndpointId, RoutedEndpoint>,
}

impl EndpointRouter {
    /// Opens a router that knows no endpoint.
    pub fn open() -> Self {
        Self::default()
    }

    /// Takes a report of an endpoint.
    pub fn report(&mut self, _now: Timestamp, report: EndpointReport) {
        let own_in_flight = self
            .endpoints
            .get(&report.endpoint)
            .map_or(0, |known| known.own_in_flight);
        let routed = RoutedEndpoint {
            report,
            own_in_flight,
        };
        self.endpoints
            .insert(routed.report.endpoint.clone(), routed);
    }

    /// Forgets an endpoint that left or is believed dead.
    pub fn remove(&mut self, endpoint: &EndpointId) {
        self.endpoints.remove(endpoint);
    }

    /// Notes that this entry sent a request to `endpoint`.
    pub fn started(&mut self, endpoint: &EndpointId) {
        if let Some(routed) = self.endpoints.get_mut(endpoint) {
            routed.own_in_flight += 1;
        }
    }

    /// Notes that a request that this entry sent to `endpoint` ended.
    pub fn finished(&mut self, endpoint: &EndpointId) {
        if let Some(routed) = self.endpoints.get_mut(endpoint) {
            routed.own_in_flight = routed.own_in_flight.saturating_sub(1);
        }
    }

    /// Returns the endpoint for a completion, or nothing if none serves its base model.
    pub fn route(&self, _now: Timestamp, query: &RouteQuery) -> Option<RouteChoice> {
        let target = query.target.to_string();
        let rank = |routed: &RoutedEndpoint| {
            let holds = query
                .target
                .adapter()
                .is_some_and(|adapter| routed.report.resident.contains(adapter));
            let busy = routed.expected_in_flight() >= routed.batch_slots();
            let score = hash64(0, format!("{target} {}", routed.report.endpoint).as_bytes());
            (busy, !holds, score)
        };
        let chosen = self
            .endpoints
            .values()
            .filter(|routed| routed.serves(query.target.base()) && routed.report.ready)
            .filter(|routed| !query.excluded.contains(&routed.report.endpoint))
            .min_by_key(|routed| rank(routed))?;
        let reason = match rank(chosen) {
            (_, false, _) => RouteReason::Resident,
            _ => RouteReason::FirstRanked,
        };
        Some(RouteChoice {
            endpoint: chosen.report.endpoint.clone(),
            reason,
        })
    }

    /// Returns the least loaded instance of a plain service.
    pub fn route_service(
        &self,
        service: &ServiceName,
        excluded: &[EndpointId],
    ) -> Option<EndpointId> {
        self.endpoints
            .values()
            .filter(|routed| routed.report.ready && !excluded.contains(&routed.report.endpoint))
            .filter(|routed| routed.report.offer == EndpointOffer::Service(service.clone()))
            .min_by_key(|routed| routed.expected_in_flight())
            .map(|routed| routed.report.endpoint.clone())
    }
}

impl RoutedEndpoint {
    fn serves(&self, base: &ModelName) -> bool {
        matches!(&self.report.offer, EndpointOffer::Engine { bases, .. } if bases.contains(base))
    }

    fn batch_slots(&self) -> u32 {
        match &self.report.offer {
            EndpointOffer::Engine { batch_slots, .. } => u32::from(*batch_slots),
            EndpointOffer::Service(_) => u32::MAX,
        }
    }

    /// Returns the larger of the lagging report and this entry's own count.
    fn expected_in_flight(&self) -> u32 {
        let EndpointLoad {
            in_flight, queued, ..
        } = self.report.load;
        self.own_in_flight
            .max(u32::from(in_flight) + u32::from(queued))
    }
}
