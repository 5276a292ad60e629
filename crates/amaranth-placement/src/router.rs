//! The selection of an endpoint for a request, by a ranking that all entries share without
//! communication.
//!
//! Endpoints with a copy of the adapter are preferred. A request goes to another endpoint only if
//! the expected wait there, including the load, is shorter. A cold request, whose adapter has no
//! copy, goes to one of the highest ranked engines, the one with the least eviction cost. Entries
//! with the same reports therefore send it to the same engine.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use amaranth_core::ids::{AdapterRef, EndpointId, ModelName, ServiceName};
use amaranth_core::membership::{EndpointOffer, EndpointReport};
use amaranth_core::request::ModelTarget;
use amaranth_core::time::Timestamp;
use smallvec::SmallVec;

use crate::copy_index::{CopyIndex, CopyState, EndpointIndex};
use crate::ranking;
use crate::routed_endpoint::RoutedEndpoint;

/// The duration of a load, without the wait for its permit.
const LOAD_TIME: Duration = Duration::from_millis(300);

/// A request for which an endpoint is selected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteQuery {
    /// The model and adapter that the request needs.
    pub target: ModelTarget,
    /// The endpoints that already failed for this request.
    pub excluded: SmallVec<[EndpointId; 2]>,
}

/// The reason for which an endpoint was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RouteReason {
    /// The endpoint holds the adapter.
    Resident,
    /// The endpoint is loading the adapter, or was just sent another request for it.
    Loading,
    /// The endpoint ranks first for the adapter, or is the least loaded one for a base model.
    FirstRanked,
    /// The endpoint has the least eviction cost among the highest ranked endpoints.
    CheapestSlot,
    /// Every endpoint with a copy and every highest ranked endpoint is too busy.
    Spilled,
}

/// An endpoint that was selected for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteChoice {
    /// The name of the endpoint.
    pub endpoint: EndpointId,
    /// The reason for the selection.
    pub reason: RouteReason,
}

/// The policy that selects among copies with equal expected waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyPolicy {
    /// Selects the endpoint with the fewest requests.
    LeastLoaded,
    /// Selects the endpoint with the most requests.
    MostLoaded,
}

/// The policy that selects among the highest ranked endpoints for a cold request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdPolicy {
    /// Selects the endpoint with the least eviction cost.
    CheapestSlot,
    /// Selects the endpoint with the fewest free batch slots, among those with at least one.
    MostLoaded,
}

/// The policies and estimates of a router.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouterOptions {
    /// The policy that selects among copies with equal expected waits.
    pub copy_policy: CopyPolicy,
    /// The policy that selects among the highest ranked endpoints for a cold request.
    pub cold_policy: ColdPolicy,
    /// The largest eviction cost of a selected endpoint, as a multiple of the least cost among the
    /// candidates.
    pub cost_tolerance: u32,
    /// The number of highest ranked endpoints that are candidates for a cold request.
    pub cold_candidates: usize,
    /// The rate of loads that the store allows, per second.
    pub load_rate: f64,
    /// The time that a request spends in the batch.
    pub service_time: Duration,
}

impl Default for RouterOptions {
    fn default() -> Self {
        Self {
            copy_policy: CopyPolicy::LeastLoaded,
            cold_policy: ColdPolicy::CheapestSlot,
            cost_tolerance: 1,
            cold_candidates: 2,
            load_rate: 4.0,
            service_time: Duration::from_secs(5),
        }
    }
}

/// Selects endpoints by their reports and by this entry's own request counts.
#[derive(Debug, Clone, Default)]
pub struct EndpointRouter {
    options: RouterOptions,
    /// The endpoints by index; `None` for removed ones.
    endpoints: Vec<Option<RoutedEndpoint>>,
    indexes: BTreeMap<EndpointId, EndpointIndex>,
    by_base: HashMap<ModelName, Vec<EndpointIndex>>,
    by_service: HashMap<ServiceName, Vec<EndpointIndex>>,
    copies: CopyIndex,
    /// The number of pending loads in the last reports of all endpoints.
    loads_pending: u32,
}

impl EndpointRouter {
    /// Creates a router without endpoints.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a router without endpoints, with the given options.
    pub fn with_options(options: RouterOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Applies a report of an endpoint, which may be new.
    pub fn apply_report(&mut self, now: Timestamp, report: EndpointReport) {
        let index = self.index_of(&report.endpoint);
        let old = self.endpoints[index as usize].take();
        if old
            .as_ref()
            .is_none_or(|old| old.report.offer != report.offer)
        {
            self.remove_offer(index);
            self.insert_offer(index, &report.offer);
        }
        self.loads_pending -= pending_loads_of(old.as_ref());
        let old_report = old.as_ref().map(|old| &old.report);
        self.copies.update(now, index, old_report, &report);
        let routed = RoutedEndpoint::new(report, old.as_ref());
        self.loads_pending += pending_loads_of(Some(&routed));
        self.endpoints[index as usize] = Some(routed);
    }

    /// Removes an endpoint that was withdrawn or is considered failed.
    pub fn remove(&mut self, endpoint: &EndpointId) {
        let Some(&index) = self.indexes.get(endpoint) else {
            return;
        };
        let Some(routed) = self.endpoints[index as usize].take() else {
            return;
        };
        self.loads_pending -= pending_loads_of(Some(&routed));
        self.copies.remove(index, &routed.report);
        self.remove_offer(index);
    }

    /// Records that this entry sent a request to `endpoint`.
    pub fn record_started(&mut self, endpoint: &EndpointId) {
        if let Some(routed) = self.routed_mut(endpoint) {
            routed.record_started();
        }
    }

    /// Records that this entry sent a request for `target` to `endpoint`.
    ///
    /// Later requests for the same adapter go to the same endpoint, even before a report shows the
    /// load.
    pub fn record_started_for(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        target: &ModelTarget,
    ) {
        self.record_started(endpoint);
        if let (Some(&index), Some(adapter)) = (self.indexes.get(endpoint), target.adapter())
            && self.endpoints[index as usize].is_some()
        {
            self.copies.record_sent(now, index, adapter);
        }
    }

    /// Records that a request that this entry sent to `endpoint` ended.
    pub fn record_finished(&mut self, endpoint: &EndpointId) {
        if let Some(routed) = self.routed_mut(endpoint) {
            routed.record_finished();
        }
    }

    /// Selects the endpoint for a completion; returns `None` if no endpoint serves its base model.
    pub fn route(&self, _now: Timestamp, query: &RouteQuery) -> Option<RouteChoice> {
        let Some(adapter) = query.target.adapter() else {
            let index = self
                .candidates(query)
                .min_by_key(|&(_, routed)| routed.expected_in_flight())?
                .0;
            return self.choice(index, RouteReason::FirstRanked);
        };
        let copy = self.best_copy(query, adapter);
        if let Some((index, reason, wait)) = copy
            && wait <= self.load_wait()
        {
            return self.choice(index, reason);
        }
        let cold = self.best_cold(query, adapter);
        match (copy, cold) {
            (Some((index, reason, wait)), Some((_, _, cold_wait))) if wait <= cold_wait => {
                self.choice(index, reason)
            }
            (Some(_), Some((index, _, _))) => self.choice(index, RouteReason::Spilled),
            (None, Some((index, reason, _))) => self.choice(index, reason),
            (Some((index, reason, _)), None) => self.choice(index, reason),
            (None, None) => None,
        }
    }

    /// Selects the least loaded instance of a plain service that is not excluded.
    pub fn route_service(
        &self,
        service: &ServiceName,
        excluded: &[EndpointId],
    ) -> Option<EndpointId> {
        self.by_service
            .get(service)?
            .iter()
            .filter_map(|&index| self.routed(index))
            .filter(|routed| routed.report.ready && !excluded.contains(&routed.report.endpoint))
            .min_by_key(|routed| (routed.expected_in_flight(), &routed.report.endpoint))
            .map(|routed| routed.report.endpoint.clone())
    }

    /// Returns the copy with the shortest expected wait, with the reason and the wait.
    fn best_copy(
        &self,
        query: &RouteQuery,
        adapter: &AdapterRef,
    ) -> Option<(EndpointIndex, RouteReason, Duration)> {
        self.copies
            .copies_of(adapter)
            .iter()
            .filter_map(|copy| {
                let routed = self.routed(copy.endpoint)?;
                let usable = routed.serves(query.target.base()) && accepts(routed, query);
                usable.then_some((copy, routed))
            })
            .map(|(copy, routed)| {
                let (reason, load_wait) = match copy.state {
                    CopyState::Resident => (RouteReason::Resident, Duration::ZERO),
                    CopyState::Loading | CopyState::RequestSent(_) => {
                        (RouteReason::Loading, self.load_wait())
                    }
                };
                let wait = load_wait + routed.batch_wait(self.options.service_time);
                (copy.endpoint, reason, wait)
            })
            .min_by_key(|&(index, _, wait)| (wait, self.load_rank(index)))
    }

    /// Returns the rank of an endpoint among those of equal wait, by its number of requests.
    fn load_rank(&self, index: EndpointIndex) -> i64 {
        let in_flight = self
            .routed(index)
            .map_or(0, |routed| i64::from(routed.expected_in_flight()));
        match self.options.copy_policy {
            CopyPolicy::LeastLoaded => in_flight,
            CopyPolicy::MostLoaded => -in_flight,
        }
    }

    /// Returns the endpoint for a cold request, with the reason and the expected wait.
    fn best_cold(
        &self,
        query: &RouteQuery,
        adapter: &AdapterRef,
    ) -> Option<(EndpointIndex, RouteReason, Duration)> {
        let hash = ranking::adapter_hash(adapter);
        let scored = self
            .candidates(query)
            .filter(|&(index, routed)| self.has_slot(index, routed))
            .map(|(index, routed)| (ranking::score(hash, routed.hash), index));
        let ranked = ranking::first_ranked(scored, self.options.cold_candidates.max(1));
        let least = ranked.iter().map(|&index| self.eviction_cost(index)).min();
        let limit = least
            .unwrap_or_default()
            .saturating_mul(self.options.cost_tolerance);
        let cheapest = ranked
            .iter()
            .enumerate()
            .filter(|&(_, &index)| self.eviction_cost(index) <= limit)
            .min_by_key(|&(rank, &index)| (self.cold_cost(index), rank));
        if let Some((rank, &index)) = cheapest {
            let reason = if rank == 0 {
                RouteReason::FirstRanked
            } else {
                RouteReason::CheapestSlot
            };
            return Some((index, reason, self.load_wait()));
        }
        // If no endpoint has a slot, the request waits at the one with the most free batch slots.
        let (index, routed) = self
            .candidates(query)
            .min_by_key(|&(_, routed)| Reverse(routed.free_batch_slots()))?;
        let wait = self.load_wait() + routed.batch_wait(self.options.service_time);
        Some((index, RouteReason::Spilled, wait))
    }

    /// Returns whether an endpoint has a free batch slot and an adapter slot for a cold request.
    fn has_slot(&self, index: EndpointIndex, routed: &RoutedEndpoint) -> bool {
        routed.free_batch_slots() > 0 && routed.spare_slots() > self.copies.sent_count(index)
    }

    fn eviction_cost(&self, index: EndpointIndex) -> u32 {
        self.routed(index)
            .map_or(u32::MAX, |routed| routed.report.load.eviction_cost)
    }

    fn cold_cost(&self, index: EndpointIndex) -> u32 {
        match self.options.cold_policy {
            ColdPolicy::CheapestSlot => self.eviction_cost(index),
            ColdPolicy::MostLoaded => self
                .routed(index)
                .map_or(u32::MAX, RoutedEndpoint::free_batch_slots),
        }
    }

    /// Returns the expected time until a load that is requested now ends.
    fn load_wait(&self) -> Duration {
        let permit_wait = f64::from(self.loads_pending) / self.options.load_rate;
        LOAD_TIME + Duration::from_secs_f64(permit_wait)
    }

    fn candidates(
        &self,
        query: &RouteQuery,
    ) -> impl Iterator<Item = (EndpointIndex, &RoutedEndpoint)> {
        self.by_base
            .get(query.target.base())
            .into_iter()
            .flatten()
            .filter_map(|&index| Some((index, self.routed(index)?)))
            .filter(|(_, routed)| accepts(routed, query))
    }

    fn choice(&self, index: EndpointIndex, reason: RouteReason) -> Option<RouteChoice> {
        let endpoint = self.routed(index)?.report.endpoint.clone();
        Some(RouteChoice { endpoint, reason })
    }

    fn routed(&self, index: EndpointIndex) -> Option<&RoutedEndpoint> {
        self.endpoints.get(index as usize)?.as_ref()
    }

    fn routed_mut(&mut self, endpoint: &EndpointId) -> Option<&mut RoutedEndpoint> {
        let &index = self.indexes.get(endpoint)?;
        self.endpoints[index as usize].as_mut()
    }

    /// Returns the index of an endpoint, which never changes, and assigns one to a new endpoint.
    fn index_of(&mut self, endpoint: &EndpointId) -> EndpointIndex {
        if let Some(&index) = self.indexes.get(endpoint) {
            return index;
        }
        let index = EndpointIndex::try_from(self.endpoints.len())
            .expect("endpoint index fits into 32 bits");
        self.endpoints.push(None);
        self.indexes.insert(endpoint.clone(), index);
        index
    }

    fn insert_offer(&mut self, index: EndpointIndex, offer: &EndpointOffer) {
        match offer {
            EndpointOffer::Engine { bases, .. } => {
                for base in bases {
                    self.by_base.entry(base.clone()).or_default().push(index);
                }
            }
            EndpointOffer::Service(service) => {
                let instances = self.by_service.entry(service.clone()).or_default();
                instances.push(index);
            }
        }
    }

    fn remove_offer(&mut self, index: EndpointIndex) {
        let lists = self
            .by_base
            .values_mut()
            .chain(self.by_service.values_mut());
        for list in lists {
            list.retain(|&listed| listed != index);
        }
    }
}

/// Returns whether an endpoint is ready and not excluded by the query.
fn accepts(routed: &RoutedEndpoint, query: &RouteQuery) -> bool {
    routed.report.ready && !query.excluded.contains(&routed.report.endpoint)
}

fn pending_loads_of(routed: Option<&RoutedEndpoint>) -> u32 {
    routed.map_or(0, |routed| u32::from(routed.report.load.loads_pending))
}
