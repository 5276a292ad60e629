//! One endpoint with its health, its load and this entry's calls.

use std::time::Duration;

use amaranth_core::digest::hash64;
use amaranth_core::ids::{AdapterName, ModelName, SoftwareVersion};
use amaranth_core::time::Timestamp;

use super::record::EndpointRecord;
use super::selection_keys::SelectionKeys;
use crate::call_limiter::CallRate;
use crate::endpoint_health::{EndpointHealth, EndpointStanding};
use crate::engine_estimate::EngineEstimate;
use crate::engine_tokens::SentTokens;
use crate::engine_view::{AdapterUsage, EngineContents, EngineView, HeldAdapter};
use crate::pause_forecast::StreamLoad;

/// Age up to which an agent's view proves that its engine answers.
const VIEW_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time without an event after which an engine on a VM that does not answer is suspect: several
/// pauses between events of a busy engine, and the prefill of a few prompts.
const SUSPECT_SILENCE: Duration = Duration::from_millis(700);
/// An endpoint with its health, load and this entry's calls.
#[derive(Debug, Clone)]
pub struct EndpointState {
    /// The newest announcement of the endpoint.
    pub record: EndpointRecord,
    /// The last view that the agent published, with the time of its arrival.
    pub view: Option<(Timestamp, EngineView)>,
    /// The estimate of the engine's speed.
    pub estimate: EngineEstimate,
    /// The tokens of this entry's calls that may be missing from the engine's report.
    pub sent: SentTokens,
    pub(super) usage: Vec<AdapterUsage>,
    pub(super) recently_used: Vec<(ModelName, AdapterName)>,
    pub(super) pending_loads: Vec<HeldAdapter>,
    pub(super) calls: u32,
    pub(super) last_call_at: Option<Timestamp>,
    pub(super) health: EndpointHealth,
    pub(super) removal_at: Option<Timestamp>,
    pub(super) vm_silent: bool,
    keys: SelectionKeys,
    id_hash: u64,
    service_hash: u64,
}

impl EndpointState {
    pub(super) fn new(record: EndpointRecord) -> Self {
        let mut health = EndpointHealth::default();
        if record.draining {
            health.record_leaving();
        }
        let keys = SelectionKeys::new(&record.contents, &[], None);
        Self {
            keys,
            id_hash: hash64(0, record.id.as_str().as_bytes()),
            service_hash: hash64(0, record.service.as_str().as_bytes()),
            record,
            view: None,
            estimate: EngineEstimate::default(),
            sent: SentTokens::default(),
            usage: Vec::new(),
            recently_used: Vec::new(),
            pending_loads: Vec::new(),
            calls: 0,
            last_call_at: None,
            health,
            removal_at: None,
            vm_silent: false,
        }
    }

    /// Returns the hash of the endpoint's id.
    pub const fn id_hash(&self) -> u64 {
        self.id_hash
    }

    /// Returns the hash of the name of the endpoint's service.
    pub const fn service_hash(&self) -> u64 {
        self.service_hash
    }

    /// Replaces the announcement by a newer one of the same incarnation.
    pub(super) fn set_record(&mut self, record: EndpointRecord) {
        self.service_hash = hash64(0, record.service.as_str().as_bytes());
        self.record = record;
        self.refresh_keys();
    }

    /// Updates the keys of what the engine holds, after its contents, its view or the pending loads
    /// have changed.
    pub(super) fn refresh_keys(&mut self) {
        let view = self.view.as_ref().map(|(_, view)| view);
        self.keys = SelectionKeys::new(self.contents(), &self.pending_loads, view);
    }

    /// Returns whether the engine holds or loads what a key identifies, or possibly has it cached.
    pub fn may_serve(&self, key: u64) -> bool {
        self.keys.may_serve(key)
    }

    /// Returns the newest known contents of the engine.
    pub fn contents(&self) -> &EngineContents {
        match &self.view {
            Some((_, view)) => &view.contents,
            None => &self.record.contents,
        }
    }

    /// Returns the time of the engine's newest known report.
    pub(super) fn reported_at(&self) -> Timestamp {
        self.view.as_ref().map_or(Timestamp::ZERO, |(at, view)| {
            Timestamp::ZERO + at.since(Timestamp::ZERO).saturating_sub(view.report_age)
        })
    }

    /// Returns the tokens that this entry and others sent to the engine and that its newest known
    /// report does not contain.
    pub fn unreported_tokens(&self) -> u64 {
        let others = self.view.as_ref().map_or(0, |(_, view)| view.others_tokens);
        self.sent.unreported(self.reported_at()) + others
    }

    /// Returns the tokens to leave free for a call that another entry has just sent and that no report
    /// contains yet, if others send calls to the engine. It is taken to be as large as the call
    /// at hand, but not more than an eighth of the memory, so that large calls still fit.
    pub fn transit_reserve(&self, wanted: u64) -> u64 {
        let is_shared = self
            .view
            .as_ref()
            .is_some_and(|(_, view)| view.others_tokens > 0);
        let reserve = wanted.min(self.contents().cache_total / 8);
        if is_shared { reserve } else { 0 }
    }

    /// Returns whether the tokens that this entry sent since its last usage report are so many that the
    /// engine's agent has to learn of them now.
    pub fn is_token_report_due(&self) -> bool {
        let contents = self.contents();
        let taken = contents.cache_used + self.unreported_tokens();
        contents.cache_total > 0
            && self
                .sent
                .is_report_due(contents.cache_total.saturating_sub(taken))
    }

    const fn contents_mut(&mut self) -> &mut EngineContents {
        match &mut self.view {
            Some((_, view)) => &mut view.contents,
            None => &mut self.record.contents,
        }
    }

    /// Returns whether the endpoint has a software version, if one is required.
    pub fn has_software(&self, required: Option<&SoftwareVersion>) -> bool {
        required.is_none_or(|software| self.record.software == *software)
    }

    /// Returns the number of this entry's calls in flight.
    pub const fn calls(&self) -> u32 {
        self.calls
    }

    /// Returns the number of requests that the engine is believed to have, from this entry and
    /// others.
    pub fn batch_size(&self) -> u32 {
        let contents = self.contents();
        self.calls.max(contents.active + contents.queued)
    }

    /// Returns whether this entry has calls or loads at the endpoint, or had calls within the last
    /// `time`.
    pub fn was_used_within(&self, now: Timestamp, time: Duration) -> bool {
        self.calls > 0
            || !self.pending_loads.is_empty()
            || self.last_call_at.is_some_and(|at| now.since(at) <= time)
    }

    /// Returns the fraction of recent calls that failed, from 0 to 1.
    pub const fn failure_rate(&self) -> f64 {
        self.health.failure_rate()
    }

    /// Returns whether the endpoint stays, and accepts new calls at least after a pause.
    pub const fn is_accepting(&self) -> bool {
        !self.health.is_leaving()
    }

    /// Returns whether a new call may be sent to the endpoint at `now`.
    pub fn may_get_calls(&self, now: Timestamp) -> bool {
        matches!(
            self.health.standing(now),
            EndpointStanding::Accepting | EndpointStanding::Ejected
        )
    }

    /// Returns whether a new call may select the endpoint at `now`: calls may be sent to it, and it is
    /// not known that no permit is left.
    pub fn may_be_selected(&self, now: Timestamp) -> bool {
        self.may_get_calls(now) && self.health.closed_until(now).is_none()
    }

    /// Returns the limit on the rate of calls that the endpoint states for all entries together.
    pub fn limit(&self) -> Option<CallRate> {
        self.health.limit()
    }

    /// Returns the end of the pause that the endpoint asked for, if it is paused at `now`.
    pub fn paused_until(&self, now: Timestamp) -> Option<Timestamp> {
        match self.health.standing(now) {
            EndpointStanding::Paused(until) => Some(until),
            _ => None,
        }
    }

    /// Returns whether the endpoint is ejected for its recent failures.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.health.standing(now) == EndpointStanding::Ejected
    }

    /// Returns whether the engine has fallen silent: events for this entry are outstanding, and no
    /// recent view of its agent shows that it still answers.
    pub fn is_silent(&self, now: Timestamp) -> bool {
        let answers = self.has_recent_view(now) && self.contents().cache_total > 0;
        let suspect = self.is_suspect(now) && self.estimate.has_outstanding();
        !answers && (suspect || self.estimate.is_silent(now))
    }

    /// Returns whether the agent published a view a short time ago.
    pub fn has_recent_view(&self, now: Timestamp) -> bool {
        let view = self.view.as_ref();
        view.is_some_and(|(at, _)| now.since(*at) < VIEW_TIMEOUT)
    }

    /// Returns whether the engine's VM did not answer a request to its agent, and the engine has
    /// sent no event recently either. The VM may be frozen or cut off.
    pub fn is_suspect(&self, now: Timestamp) -> bool {
        self.vm_silent && !self.estimate.had_event_within(now, SUSPECT_SILENCE)
    }

    /// Returns the number of pending prefills of other entries' prompts.
    pub fn others_pending_prefills(&self) -> u32 {
        self.contents()
            .pending_prefills
            .saturating_sub(self.estimate.pending_prefills())
    }

    /// Returns the estimated number of prompt tokens that are prefilled before a prompt that is sent
    /// now: those of this entry and of others, or those that had turns at the agent.
    pub fn tokens_ahead(&self, now: Timestamp) -> f64 {
        let seen = self
            .estimate
            .tokens_ahead(now, self.others_pending_prefills());
        let Some((at, view)) = self.view.as_ref().filter(|(_, view)| view.turn_tokens > 0) else {
            return seen;
        };
        let elapsed_ms = now.since(*at).as_secs_f64() * 1_000.0;
        let prefilled = elapsed_ms / self.estimate.speed().prefill.value;
        seen.max(f64::from(view.turn_tokens) - prefilled)
    }

    /// Returns the streams with a pause objective of other entries at the engine.
    pub fn others_streams(&self) -> StreamLoad {
        let Some((_, view)) = &self.view else {
            return StreamLoad::default();
        };
        let own = self.estimate.load();
        StreamLoad {
            streams: view.streams.streams.saturating_sub(own.streams),
            ..view.streams
        }
    }

    /// Returns the adapters that this entry requested from the agent and whose loads are pending.
    pub fn pending_loads(&self) -> &[HeldAdapter] {
        &self.pending_loads
    }

    /// Records that the engine holds an adapter, before the agent's next view shows it.
    pub fn record_held(&mut self, held: HeldAdapter) {
        self.record_missing(&held.model, &held.name);
        self.contents_mut().adapters.push(held);
        self.refresh_keys();
    }

    /// Records that the engine lacks an adapter that it was believed to hold.
    pub fn record_missing(&mut self, model: &ModelName, adapter: &AdapterName) {
        self.contents_mut()
            .adapters
            .retain(|known| !known.is_for(model, adapter));
        self.refresh_keys();
    }

    /// Returns whether any entry is known to use an adapter at this endpoint.
    pub fn is_used(&self, model: &ModelName, adapter: &AdapterName) -> bool {
        let own = self
            .usage
            .iter()
            .any(|used| used.name == *adapter && used.model == *model);
        own || self.view.as_ref().is_some_and(|(_, view)| {
            view.in_use
                .iter()
                .any(|(m, name)| name == adapter && m == model)
        })
    }
}
