//! Selection of the engine for a generation.
//!
//! Each engine is scored by the value of the expected answer less costs: an answer in time has the
//! value one, a late answer a lower one, and loads from the weight store, cross-region traffic and
//! an engine's failures have costs. A call therefore waits at an engine that holds its adapter
//! while it is on time there, and another replica is loaded only when it is not.

use std::collections::BTreeMap;
use std::time::Duration;

use amaranth_core::digest::hash64;
use amaranth_core::ids::{EndpointId, ServiceName, SoftwareVersion};
use amaranth_core::time::Timestamp;
use smallvec::SmallVec;
use strum::Display;

use crate::call::GenerationNeed;
use crate::endpoint_table::{EndpointState, EndpointTable};
use crate::engine_view::adapter_key;
use crate::pause_forecast::{PauseCurve, PauseForecast, late_share};
use crate::routes::EngineRule;
use crate::slot_wait::may_await_slot;

/// Time of a load from the weight store, including the orders to the engine.
const LOAD_TIME: Duration = Duration::from_millis(300);

/// Time of a load of an adapter that the engine has cached, including the orders to the engine.
const CACHED_LOAD_TIME: Duration = Duration::from_millis(60);

/// Round-trip time to another region.
const CROSS_REGION_TIME: Duration = Duration::from_millis(25);

/// Cost of a load from the weight store, as a fraction of the value of an answer in time.
const LOAD_COST: f64 = 0.25;

/// Cost of a load of an adapter that the engine has cached.
const CACHED_LOAD_COST: f64 = 0.01;

/// Cost of the cross-region traffic of a call.
const CROSS_REGION_COST: f64 = 0.06;

/// Cost of each rank in the rendezvous hashing order, so that entries agree on the engine for a
/// cold load.
const RANK_COST: f64 = 0.01;

/// Cost of a failure rate of one: the answer is lost or late.
const FAILURE_COST: f64 = 0.7;

/// Cost of an engine that is ejected for failures or silent. An engine without free memory or batch
/// slots costs half of it.
const LAST_RESORT_COST: f64 = 2.0;

/// Cost of an engine on a VM that does not answer: the first token is probably late.
const SUSPECT_COST: f64 = 0.7;

/// Value of a late answer, as a fraction of the value of one in time.
const LATE_VALUE: f64 = 0.3;

/// Fraction of the objective up to which a predicted first token counts as certainly in time, and
/// the fraction from which it counts as certainly late.
const ON_TIME_BOUNDS: (f64, f64) = (0.55, 1.25);

/// Cost of a wait as long as the objective: the engine is not available to other calls meanwhile.
const WAIT_COST: f64 = 0.4;

/// Odd number with evenly spread bits, by which hashes are mixed for the ranking.
const RANK_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Number of engines, on average, that are brought into the order of their rank at first.
const RANKED_AT_ONCE: usize = 32;

/// Prompts of mean length in the longest pause of a stream that runs for long, before the ratio that
/// is learned from observed pauses.
const SUFFERED_PROMPTS: f64 = 1.5;

/// Weight of the predicted lateness of the call's own stream: which prompts arrive while it runs is
/// not known. With a weight of one, the model of docs/design/engine-speed.md had more late streams.
const SUFFERED_WEIGHT: f64 = 0.3;

/// Weight of the predicted lateness of each stream at the engine. The prompt has to go somewhere, and
/// with a weight of one, engines with few streams got more prompts than they prefill in time.
const CAUSED_WEIGHT: f64 = 0.2;

/// The entry's data centre and the regions of all data centres.
#[derive(Debug, Clone, Default)]
pub struct Locality {
    /// The entry's data centre.
    pub data_centre: String,
    /// The region of each data centre.
    pub regions: BTreeMap<String, String>,
}

impl Locality {
    /// Returns whether a data centre is in the entry's region.
    pub fn is_same_region(&self, data_centre: &str) -> bool {
        if data_centre == self.data_centre {
            return true;
        }
        let region = self.regions.get(data_centre);
        region.is_some() && region == self.regions.get(&self.data_centre)
    }
}

/// The way in which a selected engine can serve the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SelectionReason {
    /// The engine holds the model and adapter that the call needs.
    Held,
    /// The engine is loading the adapter.
    #[strum(to_string = "coming")]
    Loading,
    /// The engine has the adapter cached, and a slot for it.
    #[strum(to_string = "at-hand")]
    Cached,
    /// The engine has a free slot, or one whose adapter is idle.
    #[strum(to_string = "free-place")]
    FreeSlot,
}

/// The engine that was selected for a generation.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineChoice {
    /// The endpoint of the engine.
    pub endpoint: EndpointId,
    /// The way in which the engine can serve the call.
    pub reason: SelectionReason,
    /// The predicted time until the first token.
    pub first_token_time: Duration,
    /// The predicted pauses, if the call's route has an objective for them.
    pub pauses: Option<PauseForecast>,
}

/// The criteria for the selection of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineQuery<'a> {
    /// The service whose engines are considered.
    pub service: &'a ServiceName,
    /// The configuration of the service's engines.
    pub engine: &'a EngineRule,
    /// The requirements of the generation.
    pub need: &'a GenerationNeed,
    /// The lowest version of the adapter that serves the call, if one was named.
    pub version: Option<u64>,
    /// The endpoints that failed the call.
    pub excluded: &'a [EndpointId],
    /// The only software version at which the call may run, if it goes on with a stream.
    pub software: Option<&'a SoftwareVersion>,
    /// The time within which a first token is on time.
    pub objective: Duration,
    /// The time that the call has spent already.
    pub spent: Duration,
    /// The objective for pauses between the call's events, if its route has one.
    pub pause_objective: Option<Duration>,
    /// The expected time until a load from the weight store may start.
    pub load_wait: Duration,
    /// The largest number of calls that the entry may have at one engine.
    pub max_calls: u32,
}

/// Returns the key of the model and adapter that a generation needs. It also seeds the keys of
/// prompt parts.
pub fn need_key(need: &GenerationNeed) -> u64 {
    adapter_key(&need.model, need.adapter.as_ref())
}

/// Returns the engine with the highest score, or nothing if none can serve the call.
///
/// Engines that hold, load or have cached what the call needs come first. The others, of which there
/// may be hundreds, are scored in the order of their rank, and only as long as one of them can still
/// have a higher score.
pub fn select(
    now: Timestamp,
    table: &EndpointTable,
    locality: &Locality,
    query: EngineQuery<'_>,
) -> Option<EngineChoice> {
    let mut selection = Selection {
        now,
        locality,
        query,
        key: need_key(query.need),
        service_hash: hash64(0, query.service.as_str().as_bytes()),
        best: None,
    };
    // The hashes are spread evenly, so this is the bound of the first ranks.
    let first = u64::MAX / (table.len() / RANKED_AT_ONCE + 1) as u64;
    let mut ranked = RankedEngines::new();
    for state in table.iter() {
        let hash = selection.hash(state);
        let may_serve = state.may_serve(selection.key);
        if (hash <= first || may_serve) && selection.is_candidate(state) {
            if may_serve {
                selection.consider(state, None);
            }
            if hash <= first {
                ranked.push((hash, state));
            }
        }
    }
    let rank = selection.consider_by_rank(ranked, 0);
    if first < u64::MAX && selection.may_improve(rank) {
        let engines = table.iter().map(|state| (selection.hash(state), state));
        let rest = engines.filter(|(hash, state)| *hash > first && selection.is_candidate(state));
        let rest = rest.collect();
        selection.consider_by_rank(rest, rank);
    }
    selection.best.map(|best| best.choice)
}

/// An engine with its score. Of engines with the same score, the one with the lower hash is selected,
/// so that ties are spread over engines and entries agree.
#[derive(Debug)]
struct ScoredChoice {
    score: f64,
    hash: u64,
    choice: EngineChoice,
}

/// Engines with the hashes by which they are ranked.
type RankedEngines<'a> = SmallVec<[(u64, &'a EndpointState); 2 * RANKED_AT_ONCE]>;

/// The state of one selection.
struct Selection<'a> {
    now: Timestamp,
    locality: &'a Locality,
    query: EngineQuery<'a>,
    key: u64,
    service_hash: u64,
    best: Option<ScoredChoice>,
}

impl Selection<'_> {
    fn is_candidate(&self, state: &EndpointState) -> bool {
        let query = &self.query;
        state.service_hash() == self.service_hash
            && state.may_be_selected(self.now)
            && !query.excluded.contains(&state.record.id)
            && state.has_software(query.software)
            && state.calls() < query.max_calls
    }

    fn hash(&self, state: &EndpointState) -> u64 {
        // Both are hashes already, so a multiplication that carries into the high bits mixes them.
        let mixed = (self.key ^ state.id_hash()).wrapping_mul(RANK_MULTIPLIER);
        (mixed ^ (mixed >> 32)).wrapping_mul(RANK_MULTIPLIER)
    }

    /// Returns whether an engine of this or a later rank that has to load the adapter from the weight
    /// store can have a higher score than the best one.
    fn may_improve(&self, rank: u32) -> bool {
        let Some(best) = &self.best else {
            return true;
        };
        let soonest = self.query.spent + load_time(SelectionReason::FreeSlot, self.query.load_wait);
        let value = expected_value(soonest, self.query.objective, 1.0);
        value - load_cost(SelectionReason::FreeSlot, rank) >= best.score
    }

    /// Considers engines that have to load the adapter from the weight store in the order of their
    /// hashes, of which the first has the given rank. Returns the next rank.
    fn consider_by_rank(&mut self, mut ranked: RankedEngines<'_>, mut rank: u32) -> u32 {
        if !self.may_improve(rank) {
            return rank;
        }
        ranked.sort_unstable_by_key(|(hash, _)| *hash);
        for (_, state) in ranked {
            if !self.may_improve(rank) {
                break;
            }
            self.consider(state, Some(rank));
            rank += u32::from(self.locality.is_same_region(&state.record.data_centre));
        }
        rank
    }

    /// Scores an engine. Without a rank, an engine that has to load from the weight store is passed
    /// over.
    fn consider(&mut self, state: &EndpointState, rank: Option<u32>) {
        let (now, query) = (self.now, self.query);
        let Some(reason) = selection_reason(state, query, self.key) else {
            return;
        };
        // Engines of the other reasons were scored without a rank.
        if rank.is_some() != (reason == SelectionReason::FreeSlot) {
            return;
        }
        let same_region = self.locality.is_same_region(&state.record.data_centre);
        let transit = if same_region {
            Duration::ZERO
        } else {
            CROSS_REGION_TIME
        };
        let tokens = f64::from(state.estimate.prefill_tokens(query.need, self.key));
        let ahead = state.tokens_ahead(now);
        let first_token_time =
            state
                .estimate
                .time_to_first(now, ahead + tokens, state.batch_size())
                + load_time(reason, query.load_wait)
                + transit;
        let risk = query
            .pause_objective
            .map(|objective| pause_risk(now, state, query, objective, ahead, tokens));
        let in_time = risk.as_ref().map_or(1.0, |risk| 1.0 - risk.late_share);
        let score = expected_value(query.spent + first_token_time, query.objective, in_time)
            - risk.as_ref().map_or(0.0, |risk| risk.cost)
            - load_cost(reason, rank.unwrap_or(0))
            - endpoint_cost(now, state, query, same_region);
        let hash = self.hash(state);
        let is_better = self
            .best
            .as_ref()
            .is_none_or(|best| score > best.score || (score >= best.score && hash < best.hash));
        if is_better {
            let choice = EngineChoice {
                endpoint: state.record.id.clone(),
                reason,
                first_token_time,
                pauses: risk.map(|risk| risk.pauses),
            };
            self.best = Some(ScoredChoice {
                score,
                hash,
                choice,
            });
        }
    }
}

/// The risk that pauses make streams late.
struct PauseRisk {
    pauses: PauseForecast,
    /// The probability that the call's own stream gets a pause over its objective.
    late_share: f64,
    /// The value that streams at the engine lose.
    cost: f64,
}

/// Returns the risk of a call with a pause objective at an engine where `ahead` prompt tokens await
/// prefill before the `tokens` of its prompt.
fn pause_risk(
    now: Timestamp,
    state: &EndpointState,
    query: EngineQuery<'_>,
    objective: Duration,
    ahead: f64,
    tokens: f64,
) -> PauseRisk {
    let estimate = &state.estimate;
    let disturbance = estimate.disturbance(now);
    let curve = PauseCurve::new(estimate.speed(), state.batch_size(), disturbance);
    let others = state.others_streams();
    let own_late = curve.late_streams(estimate.streams_at_risk(now), tokens);
    let others_late =
        f64::from(others.streams) * curve.added_late_share(others.objective(), ahead, tokens);
    let suffered_tokens = estimate.mean_prompt_tokens()
        * SUFFERED_PROMPTS
        * estimate.exposure(query.need.expected_output());
    let suffered = curve.pause(suffered_tokens).mul_f64(estimate.pause_ratio());
    PauseRisk {
        pauses: PauseForecast {
            caused: curve.pause(ahead + tokens),
            suffered,
        },
        late_share: SUFFERED_WEIGHT * late_share(suffered, objective),
        cost: (1.0 - LATE_VALUE) * CAUSED_WEIGHT * (own_late + others_late),
    }
}

/// Returns the value of an answer whose first token is predicted after `first_token_time`, as a
/// fraction of the value of one in time, less the cost of the engine's time to other calls.
/// `pauses_in_time` is the probability that no pause makes the answer late.
fn expected_value(first_token_time: Duration, objective: Duration, pauses_in_time: f64) -> f64 {
    let fraction = first_token_time.as_secs_f64() / objective.as_secs_f64().max(0.001);
    let (in_time, late) = ON_TIME_BOUNDS;
    let in_time_share = 1.0 - ((fraction - in_time) / (late - in_time)).clamp(0.0, 1.0);
    LATE_VALUE + (1.0 - LATE_VALUE) * in_time_share * pauses_in_time - WAIT_COST * fraction
}

fn load_time(reason: SelectionReason, wait: Duration) -> Duration {
    match reason {
        SelectionReason::Held => Duration::ZERO,
        SelectionReason::Loading => Duration::from_millis(150),
        SelectionReason::Cached => CACHED_LOAD_TIME,
        SelectionReason::FreeSlot => wait + LOAD_TIME,
    }
}

fn load_cost(reason: SelectionReason, rank: u32) -> f64 {
    match reason {
        SelectionReason::Held | SelectionReason::Loading => 0.0,
        SelectionReason::Cached => CACHED_LOAD_COST,
        SelectionReason::FreeSlot => LOAD_COST + RANK_COST * f64::from(rank),
    }
}

/// Returns the way in which an engine can serve the call, if it can.
fn selection_reason(
    state: &EndpointState,
    query: EngineQuery<'_>,
    key: u64,
) -> Option<SelectionReason> {
    let contents = state.contents();
    let need = query.need;
    if !contents.models.contains(&need.model) {
        return None;
    }
    let Some(adapter) = &need.adapter else {
        return Some(SelectionReason::Held);
    };
    if contents.holds(&need.model, adapter, query.version) {
        return Some(SelectionReason::Held);
    }
    let loading = contents
        .loading
        .iter()
        .chain(state.pending_loads())
        .any(|loading| {
            loading.is_for(&need.model, adapter)
                && query.version.is_none_or(|v| loading.version >= v)
        });
    if loading {
        return Some(SelectionReason::Loading);
    }
    // Only the agent can order a load.
    let (_, view) = state.view.as_ref()?;
    let has_older = contents.holds(&need.model, adapter, None);
    if has_older && state.is_used(&need.model, adapter) {
        return None;
    }
    if !has_older
        && !has_idle_slot(state, query.engine)
        && !may_await_slot(state, view, key, query.spent, query.objective)
    {
        return None;
    }
    if !has_older && view.cached.contains(&key) {
        return Some(SelectionReason::Cached);
    }
    Some(SelectionReason::FreeSlot)
}

/// Returns whether an engine has a slot that is free or whose adapter no entry is known to use.
fn has_idle_slot(state: &EndpointState, engine: &EngineRule) -> bool {
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
    // Pending loads of this entry that have reached the agent are already counted there as waiting
    // or loading.
    let expected = (contents.loading.len() + waiting).max(state.pending_loads().len());
    used + expected < engine.adapter_slots as usize
}

/// Returns the costs of an engine that do not depend on the adapter.
fn endpoint_cost(
    now: Timestamp,
    state: &EndpointState,
    query: EngineQuery<'_>,
    same_region: bool,
) -> f64 {
    let mut cost = FAILURE_COST * state.failure_rate();
    if !same_region {
        cost += CROSS_REGION_COST;
    }
    if state.is_ejected(now) || state.is_silent(now) {
        cost += LAST_RESORT_COST;
    } else if state.is_suspect(now) {
        cost += SUSPECT_COST;
    }
    if is_full(state, query) {
        cost += LAST_RESORT_COST / 2.0;
    }
    cost
}

/// Returns whether an engine lacks a batch slot or memory for the call.
fn is_full(state: &EndpointState, query: EngineQuery<'_>) -> bool {
    let contents = state.contents();
    let total = if contents.cache_total > 0 {
        contents.cache_total
    } else {
        query.engine.cache_tokens
    };
    let wanted = query.need.needed_tokens();
    contents.cache_used + state.unreported_tokens() + wanted + state.transit_reserve(wanted) > total
        || state.batch_size() >= query.engine.slots
}
