//! The choice of an endpoint for a request, by ranking that entries agree on without talking.
//!
//! A copy of the adapter comes first. A request goes elsewhere only when the wait expected there,
//! with the load, is shorter. Cold requests go to one of the first ranked engines, the one that
//! gives up the least for it, so that entries which see the same reports send them to one place.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use amaranth_core::ids::{AdapterRef, EndpointId, ModelName, ServiceName};
use amaranth_core::membership::{EndpointOffer, EndpointReport};
use amaranth_core::request::ModelTarget;
use amaranth_core::time::Timestamp;
use smallvec::SmallVec;

use crate::copies::{CopyIndex, CopyState, EndpointIndex};
use crate::ranking;
use crate::routed_endpoint::RoutedEndpoint;

/// Time that a load takes beyond its wait for a permit.
const LOAD_TIME: Duration = Duration::from_millis(300);

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
    /// It is loading the adapter, or was just sent another request for it.
    Loading,
    /// It ranks first for the adapter, or is the least loaded for a base model.
    FirstRanked,
    /// Of the first ranked, it gives up the least for the adapter.
    CheapestSlot,
    /// Every copy and first ranked endpoint is too busy.
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

/// Which copy is chosen among those with room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyChoice {
    /// The one with the fewest requests.
    Emptiest,
    /// The one with the most requests.
    Fullest,
}

/// Which of the first ranked endpoints takes a cold request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdChoice {
    /// The one that gives up the least demand for it.
    CheapestSlot,
    /// The one with the most requests among those with room.
    Fullest,
}

/// How the router weighs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouterOptions {
    /// Which copy is chosen among those with room.
    pub copy_choice: CopyChoice,
    /// Which of the first ranked endpoints takes a cold request.
    pub cold_choice: ColdChoice,
    /// How many times the least eviction cost among them an endpoint's may be.
    pub cost_tolerance: u32,
    /// First ranked endpoints among which a cold request chooses.
    pub cold_choices: usize,
    /// Loads per second that the store allows.
    pub load_rate: f64,
    /// Time that a request spends in the batch.
    pub service_time: Duration,
}

impl Default for RouterOptions {
    fn default() -> Self {
        Self {
            copy_choice: CopyChoice::Emptiest,
            cold_choice: ColdChoice::CheapestSlot,
            cost_tolerance: 1,
            cold_choices: 2,
            load_rate: 4.0,
            service_time: Duration::from_secs(5),
        }
    }
}

/// Chooses endpoints from reports and from this entry's own counts.
#[derive(Debug, Clone, Default)]
pub struct EndpointRouter {
    options: RouterOptions,
    table: Vec<Option<RoutedEndpoint>>,
    indexes: BTreeMap<EndpointId, EndpointIndex>,
    by_base: HashMap<ModelName, Vec<EndpointIndex>>,
    by_service: HashMap<ServiceName, Vec<EndpointIndex>>,
    copies: CopyIndex,
    loads_pending: u32,
}

impl EndpointRouter {
    /// Opens a router that knows no endpoint.
    pub fn open() -> Self {
        Self::default()
    }

    /// Opens a router with other weights.
    pub fn with_options(options: RouterOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Takes a report of an endpoint.
    pub fn report(&mut self, now: Timestamp, report: EndpointReport) {
        let index = self.index_of(&report.endpoint);
        let old = self.table[index as usize].take();
        if old
            .as_ref()
            .is_none_or(|old| old.report.offer != report.offer)
        {
            self.forget_offer(index);
            self.note_offer(index, &report.offer);
        }
        self.loads_pending -= pending_of(old.as_ref());
        let old_report = old.as_ref().map(|old| &old.report);
        self.copies.update(now, index, old_report, &report);
        let routed = RoutedEndpoint::open(report, old.as_ref());
        self.loads_pending += pending_of(Some(&routed));
        self.table[index as usize] = Some(routed);
    }

    /// Forgets an endpoint that left or is believed dead.
    pub fn remove(&mut self, endpoint: &EndpointId) {
        let Some(&index) = self.indexes.get(endpoint) else {
            return;
        };
        let Some(routed) = self.table[index as usize].take() else {
            return;
        };
        self.loads_pending -= pending_of(Some(&routed));
        self.copies.remove(index, &routed.report);
        self.forget_offer(index);
    }

    /// Notes that this entry sent a request to `endpoint`.
    pub fn started(&mut self, endpoint: &EndpointId) {
        if let Some(routed) = self.routed_mut(endpoint) {
            routed.note_started();
        }
    }

    /// Notes that this entry sent a request for `target` to `endpoint`, so that later requests
    /// for the same adapter follow it before a report shows the load.
    pub fn started_for(&mut self, now: Timestamp, endpoint: &EndpointId, target: &ModelTarget) {
        self.started(endpoint);
        if let (Some(&index), Some(adapter)) = (self.indexes.get(endpoint), target.adapter())
            && self.table[index as usize].is_some()
        {
            self.copies.note_sent(now, index, adapter);
        }
    }

    /// Notes that a request that this entry sent to `endpoint` ended.
    pub fn finished(&mut self, endpoint: &EndpointId) {
        if let Some(routed) = self.routed_mut(endpoint) {
            routed.note_finished();
        }
    }

    /// Returns the endpoint for a completion, or nothing if none serves its base model.
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

    /// Returns the least loaded instance of a plain service.
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

    /// Returns the copy with the shortest expected wait, and that wait.
    fn best_copy(
        &self,
        query: &RouteQuery,
        adapter: &AdapterRef,
    ) -> Option<(EndpointIndex, RouteReason, Duration)> {
        self.copies
            .of(adapter)
            .iter()
            .filter_map(|copy| {
                let routed = self.routed(copy.endpoint)?;
                let usable = routed.serves(query.target.base()) && is_open(routed, query);
                usable.then_some((copy, routed))
            })
            .map(|(copy, routed)| {
                let (reason, load_wait) = match copy.state {
                    CopyState::Resident => (RouteReason::Resident, Duration::ZERO),
                    CopyState::Loading | CopyState::Sent(_) => {
                        (RouteReason::Loading, self.load_wait())
                    }
                };
                let wait = load_wait + routed.batch_wait(self.options.service_time);
                (copy.endpoint, reason, wait)
            })
            .min_by_key(|&(index, _, wait)| (wait, self.fill_rank(index)))
    }

    /// Ranks the endpoints of equal wait by how many requests they have.
    fn fill_rank(&self, index: EndpointIndex) -> i64 {
        let in_flight = self
            .routed(index)
            .map_or(0, |routed| i64::from(routed.expected_in_flight()));
        match self.options.copy_choice {
            CopyChoice::Emptiest => in_flight,
            CopyChoice::Fullest => -in_flight,
        }
    }

    /// Returns where a load for the adapter costs least, and the expected wait there.
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
        let ranked = ranking::first_ranked(scored, self.options.cold_choices.max(1));
        let least = ranked.iter().map(|&index| self.eviction_cost(index)).min();
        let limit = least
            .unwrap_or_default()
            .saturating_mul(self.options.cost_tolerance);
        let cheapest = ranked
            .iter()
            .enumerate()
            .filter(|&(_, &index)| self.eviction_cost(index) <= limit)
            .min_by_key(|&(place, &index)| (self.cold_cost(index), place));
        if let Some((place, &index)) = cheapest {
            let reason = if place == 0 {
                RouteReason::FirstRanked
            } else {
                RouteReason::CheapestSlot
            };
            return Some((index, reason, self.load_wait()));
        }
        // With no slot to be had anywhere, the request waits where the batch is emptiest.
        let (index, routed) = self
            .candidates(query)
            .min_by_key(|&(_, routed)| Reverse(routed.room()))?;
        let wait = self.load_wait() + routed.batch_wait(self.options.service_time);
        Some((index, RouteReason::Spilled, wait))
    }

    fn has_slot(&self, index: EndpointIndex, routed: &RoutedEndpoint) -> bool {
        routed.room() > 0 && routed.spare_slots() > self.copies.sent_count(index)
    }

    fn eviction_cost(&self, index: EndpointIndex) -> u32 {
        self.routed(index)
            .map_or(u32::MAX, |routed| routed.report.load.eviction_cost)
    }

    fn cold_cost(&self, index: EndpointIndex) -> u32 {
        match self.options.cold_choice {
            ColdChoice::CheapestSlot => self.eviction_cost(index),
            ColdChoice::Fullest => self.routed(index).map_or(u32::MAX, RoutedEndpoint::room),
        }
    }

    /// Returns how long a load that is asked for now is expected to take.
    fn load_wait(&self) -> Duration {
        let permits = f64::from(self.loads_pending) / self.options.load_rate;
        LOAD_TIME + Duration::from_secs_f64(permits)
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
            .filter(|(_, routed)| is_open(routed, query))
    }

    fn choice(&self, index: EndpointIndex, reason: RouteReason) -> Option<RouteChoice> {
        let endpoint = self.routed(index)?.report.endpoint.clone();
        Some(RouteChoice { endpoint, reason })
    }

    fn routed(&self, index: EndpointIndex) -> Option<&RoutedEndpoint> {
        self.table.get(index as usize)?.as_ref()
    }

    fn routed_mut(&mut self, endpoint: &EndpointId) -> Option<&mut RoutedEndpoint> {
        let &index = self.indexes.get(endpoint)?;
        self.table[index as usize].as_mut()
    }

    /// Returns the place of an endpoint, which it keeps for good.
    fn index_of(&mut self, endpoint: &EndpointId) -> EndpointIndex {
        if let Some(&index) = self.indexes.get(endpoint) {
            return index;
        }
        let index = EndpointIndex::try_from(self.table.len()).expect("few endpoints exist");
        self.table.push(None);
        self.indexes.insert(endpoint.clone(), index);
        index
    }

    fn note_offer(&mut self, index: EndpointIndex, offer: &EndpointOffer) {
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

    fn forget_offer(&mut self, index: EndpointIndex) {
        let lists = self
            .by_base
            .values_mut()
            .chain(self.by_service.values_mut());
        for list in lists {
            list.retain(|&listed| listed != index);
        }
    }
}

/// Returns whether an endpoint takes the request as far as its state goes.
fn is_open(routed: &RoutedEndpoint, query: &RouteQuery) -> bool {
    routed.report.ready && !query.excluded.contains(&routed.report.endpoint)
}

fn pending_of(routed: Option<&RoutedEndpoint>) -> u32 {
    routed.map_or(0, |routed| u32::from(routed.report.load.loads_pending))
}
