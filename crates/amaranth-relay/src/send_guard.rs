//! The accounting of a call at an endpoint, from the selection to the end of the call.

use std::sync::Arc;
use std::time::Duration;

use amaranth_core::ids::{EndpointId, SoftwareVersion};
use amaranth_core::time::Timestamp;
use amaranth_dispatch::call::{CallProperty, GenerationNeed};
use amaranth_dispatch::endpoint_table::{EndpointOutcome, EndpointState};
use amaranth_dispatch::engine_estimate::{EventGap, PromptTicket};
use amaranth_dispatch::engine_selector::need_key;
use amaranth_dispatch::engine_tokens::SentTicket;
use amaranth_dispatch::pause_forecast::PauseForecast;

use crate::crash_watch;
use crate::entry::EntryCore;
use crate::prefill_turn::PromptTurn;

/// Time without an event after which an engine that is no longer listed counts as silent. An engine
/// that was removed from the registry finishes its calls and sends events more often than that.
const UNLISTED_SILENCE: Duration = Duration::from_millis(1_500);

/// Time after the first event of an answer for which a crash of the engine may be due to its prompt.
const SURVIVAL_TIME: Duration = Duration::from_secs(1);

/// The predicted and the actual time from sending the prompt to the first token event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FirstTokenPrediction {
    /// The predicted time.
    pub expected: Duration,
    /// The actual time.
    pub actual: Duration,
}

/// Counts a call at an endpoint until the guard is dropped, and then reports its outcome.
#[derive(Debug)]
pub struct SendGuard {
    core: Arc<EntryCore>,
    endpoint: EndpointId,
    software: SoftwareVersion,
    need: Option<Arc<GenerationNeed>>,
    properties: Arc<[CallProperty]>,
    ticket: Option<PromptTicket>,
    pause_objective: Option<Duration>,
    pauses: PauseForecast,
    turn: Option<PromptTurn>,
    stream: Option<PromptTicket>,
    sent: Option<SentTicket>,
    first_event_at: Option<Timestamp>,
    has_survived: bool,
    prediction: Option<FirstTokenPrediction>,
    selected_at: Timestamp,
    last_event_at: Timestamp,
    outcome: EndpointOutcome,
}

impl SendGuard {
    /// Creates a guard and counts the call at the endpoint.
    pub fn new(
        core: Arc<EntryCore>,
        endpoint: EndpointId,
        need: Option<Arc<GenerationNeed>>,
        properties: Arc<[CallProperty]>,
    ) -> Self {
        let adapter = need.as_deref().and_then(used_adapter);
        let selected_at = core.now();
        let (is_first_use, software) = {
            let mut state = core.state();
            let is_first_use = state.endpoints.begin_call(&endpoint, adapter);
            let known = state.endpoints.get(&endpoint);
            let software = known.map(|known| known.record.software.clone());
            (is_first_use, software.unwrap_or_default())
        };
        if is_first_use {
            core.announce_usage(&endpoint);
        }
        core.wake_exchange(&endpoint);
        Self {
            core,
            endpoint,
            software,
            need,
            properties,
            ticket: None,
            pause_objective: None,
            pauses: PauseForecast::default(),
            turn: None,
            stream: None,
            sent: None,
            first_event_at: None,
            has_survived: false,
            prediction: None,
            selected_at,
            last_event_at: selected_at,
            outcome: EndpointOutcome::Inconclusive,
        }
    }

    /// Sets the pause objective of the call's stream, and the pauses that are predicted for it.
    pub const fn set_pauses(&mut self, objective: Option<Duration>, pauses: PauseForecast) {
        self.pause_objective = objective;
        self.pauses = pauses;
    }

    /// Returns the pauses that were predicted when the endpoint was selected.
    pub const fn pauses(&self) -> PauseForecast {
        self.pauses
    }

    /// Sets the turn of the call's prompt, which ends with the first token or with the call.
    pub fn set_turn(&mut self, turn: PromptTurn) {
        self.turn = Some(turn);
    }

    /// Returns the number of tokens of the call's prompt that the endpoint has to prefill, if the call
    /// is a generation.
    pub fn prefill_tokens(&self, endpoint: &EndpointState) -> Option<u32> {
        let need = self.need.as_deref()?;
        Some(endpoint.estimate.prefill_tokens(need, need_key(need)))
    }

    /// Returns the endpoint.
    pub const fn endpoint(&self) -> &EndpointId {
        &self.endpoint
    }

    /// Returns the version of the endpoint's software when the endpoint was selected.
    pub const fn software(&self) -> &SoftwareVersion {
        &self.software
    }

    /// Returns whether the endpoint has another software version since it was selected.
    pub fn has_other_software(&self) -> bool {
        let state = self.core.state();
        let known = state.endpoints.get(&self.endpoint);
        known.is_some_and(|known| known.record.software != self.software)
    }

    /// Records that the prompt is sent to the engine now.
    pub fn record_prompt_sent(&mut self) {
        let Some(ticket) = self.ticket else {
            self.record_prompt_queued();
            return;
        };
        let now = self.core.now();
        self.last_event_at = now;
        let tokens_ahead = self.turn.as_ref().map_or(0, PromptTurn::tokens_ahead);
        if let Some(endpoint) = self.core.state().endpoints.get_mut(&self.endpoint) {
            let ticket = endpoint.estimate.record_turn(now, ticket, tokens_ahead);
            self.ticket = Some(ticket);
        }
    }

    /// Records that the prompt waits for its turn at the engine, or is sent now without one.
    pub fn record_prompt_queued(&mut self) {
        let Some(need) = self.need.clone() else {
            return;
        };
        let now = self.core.now();
        self.last_event_at = now;
        let mut state = self.core.state();
        if let Some(endpoint) = state.endpoints.get_mut(&self.endpoint) {
            let batch = endpoint.batch_size();
            let others = endpoint.others_pending_prefills();
            let seed = need_key(&need);
            let estimate = &mut endpoint.estimate;
            let ticket = estimate.begin_prefill(now, &need, seed, batch, others);
            estimate.set_pause_objective(ticket, self.pause_objective, self.pauses.suffered);
            self.ticket = Some(ticket);
            self.sent = Some(endpoint.sent.begin(need.needed_tokens()));
            let is_report_due = endpoint.is_token_report_due();
            drop(state);
            if is_report_due {
                self.core.announce_usage(&self.endpoint);
            }
        }
    }

    /// Records that the first token event arrived.
    pub fn record_first_token(&mut self) {
        self.turn = None;
        let (Some(need), Some(ticket)) = (self.need.clone(), self.ticket.take()) else {
            return;
        };
        let now = self.core.now();
        let mut state = self.core.state();
        if let Some(endpoint) = state.endpoints.get_mut(&self.endpoint) {
            if let Some(sent) = self.sent {
                endpoint.sent.record_first_token(now, sent);
            }
            let seed = need_key(&need);
            let actual = endpoint
                .estimate
                .record_first_token(now, ticket, &need, seed);
            self.prediction = actual.map(|actual| FirstTokenPrediction {
                expected: ticket.expected(),
                actual,
            });
            self.stream = Some(ticket);
        }
        drop(state);
        self.core.notify_change();
    }

    /// Returns whether an event has arrived, also from an engine that is no longer listed.
    pub const fn has_event(&self) -> bool {
        self.first_event_at.is_some()
    }

    /// Returns the predicted and actual time to the first token event, once the event has arrived.
    pub const fn prediction(&self) -> Option<FirstTokenPrediction> {
        self.prediction
    }

    /// Records that a number of events arrived together.
    pub fn record_events(&mut self, events: u32) {
        let now = self.core.now();
        let gap = self.first_event_at.map(|_| now.since(self.last_event_at));
        self.last_event_at = now;
        let first_event_at = *self.first_event_at.get_or_insert(now);
        if now.since(first_event_at) >= SURVIVAL_TIME {
            self.record_survival();
        }
        if let Some(endpoint) = self.core.state().endpoints.get_mut(&self.endpoint) {
            endpoint.estimate.record_event(now);
            if let (Some(elapsed), Some(stream)) = (gap, self.stream) {
                let gap = EventGap {
                    elapsed,
                    events,
                    batch: endpoint.batch_size(),
                    others: endpoint.others_pending_prefills(),
                };
                endpoint.estimate.record_gap(now, stream, gap);
            }
        }
    }

    /// Records that the engine can't crash under this call any more: its answer is complete, or has
    /// gone on for long enough.
    pub fn record_survival(&mut self) {
        if !std::mem::replace(&mut self.has_survived, true) {
            crash_watch::record_survival(&self.core, &self.properties);
        }
    }

    /// Records that the engine closed the connection before the answer was complete.
    pub fn record_lost_connection(&self) {
        if !self.has_survived {
            crash_watch::record_lost_connection(&self.core, &self.endpoint, &self.properties);
        }
    }

    /// Returns whether the engine has sent no event to any call for much longer than expected. For
    /// an engine that is no longer listed, only events of this call are considered.
    pub fn is_silent(&self) -> bool {
        let now = self.core.now();
        let state = self.core.state();
        match state.endpoints.get(&self.endpoint) {
            Some(endpoint) => endpoint.is_silent(now),
            None => self.need.is_some() && now.since(self.last_event_at) > UNLISTED_SILENCE,
        }
    }

    /// Records that the call is retried elsewhere because the engine is silent.
    pub fn record_silence(&self) {
        let now = self.core.now();
        if let Some(endpoint) = self.core.state().endpoints.get_mut(&self.endpoint) {
            endpoint.estimate.record_silence(now);
        }
    }

    /// Sets the outcome that counts towards the endpoint's health.
    pub const fn set_outcome(&mut self, outcome: EndpointOutcome) {
        self.outcome = outcome;
    }
}

fn used_adapter(
    need: &GenerationNeed,
) -> Option<(
    &amaranth_core::ids::ModelName,
    &amaranth_core::ids::AdapterName,
)> {
    Some((&need.model, need.adapter.as_ref()?))
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        let now = self.core.now();
        let mut state = self.core.state();
        if let (Some(ticket), Some(endpoint)) =
            (self.ticket, state.endpoints.get_mut(&self.endpoint))
        {
            endpoint.estimate.abandon(now, ticket);
        }
        if let (Some(sent), Some(endpoint)) = (self.sent, state.endpoints.get_mut(&self.endpoint)) {
            endpoint.sent.end(sent);
        }
        if let (Some(stream), Some(endpoint)) =
            (self.stream, state.endpoints.get_mut(&self.endpoint))
        {
            endpoint.estimate.record_stream_end(now, stream);
        }
        let adapter = self.need.as_deref().and_then(used_adapter);
        state
            .endpoints
            .end_call(now, &self.endpoint, adapter, self.outcome);
        if self.need.is_none() && self.outcome == EndpointOutcome::Succeeded {
            let known = state.endpoints.get(&self.endpoint);
            if let Some(service) = known.map(|known| known.record.service.clone()) {
                let took = now.since(self.selected_at);
                state.admissions.service(&service).record_answer_time(took);
            }
        }
        drop(state);
        self.core.notify_change();
    }
}
