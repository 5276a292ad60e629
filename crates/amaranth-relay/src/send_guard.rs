//! A call's place at an endpoint, from the choice to the end.

use std::sync::Arc;
use std::time::Duration;

use amaranth_core::ids::EndpointId;
use amaranth_core::time::Timestamp;
use amaranth_dispatch::call::GenerationNeed;
use amaranth_dispatch::endpoint_table::EndpointOutcome;
use amaranth_dispatch::engine_estimate::PromptTicket;
use amaranth_dispatch::engine_selector::need_key;

use crate::entry::EntryCore;

/// Time without an event after which an engine that is no longer listed counts as silent. An engine
/// that left goes on with its calls, and sends events more often than that.
const UNLISTED_SILENCE: Duration = Duration::from_millis(1_500);

/// The predicted and the real time from the send to the first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FirstEventPrediction {
    /// The time that was expected.
    pub expected: Duration,
    /// The time that it took.
    pub took: Duration,
}

/// Counts a call at an endpoint until it is dropped.
#[derive(Debug)]
pub struct SendGuard {
    core: Arc<EntryCore>,
    endpoint: EndpointId,
    need: Option<Arc<GenerationNeed>>,
    ticket: Option<PromptTicket>,
    runs: bool,
    has_event: bool,
    prediction: Option<FirstEventPrediction>,
    heard_at: Timestamp,
    outcome: EndpointOutcome,
}

impl SendGuard {
    /// Counts a call at an endpoint.
    pub fn open(
        core: Arc<EntryCore>,
        endpoint: EndpointId,
        need: Option<Arc<GenerationNeed>>,
    ) -> Self {
        let used = need.as_deref().and_then(used_adapter);
        let heard_at = core.now();
        let begins = core.state().book.begin_call(&endpoint, used);
        if begins {
            core.announce_use(&endpoint);
        }
        Self {
            core,
            endpoint,
            need,
            ticket: None,
            runs: false,
            has_event: false,
            prediction: None,
            heard_at,
            outcome: EndpointOutcome::Inconclusive,
        }
    }

    /// Returns the endpoint.
    pub const fn endpoint(&self) -> &EndpointId {
        &self.endpoint
    }

    /// Notes that the prompt goes to the engine now.
    pub fn prompt_sent(&mut self) {
        let Some(need) = self.need.clone() else {
            return;
        };
        let now = self.core.now();
        self.heard_at = now;
        let mut state = self.core.state();
        if let Some(endpoint) = state.book.get_mut(&self.endpoint) {
            let batch = endpoint.calls();
            let others = endpoint.others_pending_prefills();
            let seed = need_key(&need);
            self.ticket = Some(
                endpoint
                    .estimate
                    .begin_prefill(now, &need, seed, batch, others),
            );
        }
    }

    /// Notes that the first event came.
    pub fn first_event_came(&mut self) {
        let (Some(need), Some(ticket)) = (self.need.clone(), self.ticket.take()) else {
            return;
        };
        let now = self.core.now();
        let mut state = self.core.state();
        if let Some(endpoint) = state.book.get_mut(&self.endpoint) {
            let seed = need_key(&need);
            let took = endpoint
                .estimate
                .record_first_token(now, ticket, &need, seed);
            self.prediction = took.map(|took| FirstEventPrediction {
                expected: ticket.expected(),
                took,
            });
            self.runs = true;
        }
    }

    /// Returns whether an event has come, also from an engine that is no longer listed.
    pub const fn has_event(&self) -> bool {
        self.has_event
    }

    /// Returns how the time of the first event was predicted, once it has come.
    pub const fn prediction(&self) -> Option<FirstEventPrediction> {
        self.prediction
    }

    /// Notes that an event came.
    pub fn heard(&mut self) {
        let now = self.core.now();
        self.heard_at = now;
        self.has_event = true;
        if let Some(endpoint) = self.core.state().book.get_mut(&self.endpoint) {
            endpoint.estimate.record_event(now);
        }
    }

    /// Returns whether the engine has sent nothing to any call for much longer than expected. Of an
    /// engine that is no longer listed, only what this call heard is known.
    pub fn is_silent(&self) -> bool {
        let now = self.core.now();
        let state = self.core.state();
        match state.book.get(&self.endpoint) {
            Some(endpoint) => endpoint.is_silent(now),
            None => self.need.is_some() && now.since(self.heard_at) > UNLISTED_SILENCE,
        }
    }

    /// Notes that the call leaves its engine for its silence.
    pub fn note_silent(&self) {
        let now = self.core.now();
        if let Some(endpoint) = self.core.state().book.get_mut(&self.endpoint) {
            endpoint.estimate.record_silence(now);
        }
    }

    /// Notes how the call went, for the endpoint's health.
    pub const fn conclude(&mut self, outcome: EndpointOutcome) {
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
        if let (Some(ticket), Some(endpoint)) = (self.ticket, state.book.get_mut(&self.endpoint)) {
            endpoint.estimate.abandon(ticket);
        }
        if self.runs
            && let Some(endpoint) = state.book.get_mut(&self.endpoint)
        {
            endpoint.estimate.record_stream_end();
        }
        let used = self.need.as_deref().and_then(used_adapter);
        state.book.end_call(now, &self.endpoint, used, self.outcome);
    }
}
