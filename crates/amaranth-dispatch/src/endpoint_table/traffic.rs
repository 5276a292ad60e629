//! What this entry's calls and the agents tell about endpoints.

use std::time::Duration;

use amaranth_core::ids::{AdapterName, EndpointId, ModelName, ServiceName};
use amaranth_core::time::Timestamp;

use super::{AgentFailure, EndpointChange, EndpointTable};
use crate::call_limiter::CallRate;
use crate::engine_speed::SpeedEstimate;
use crate::engine_view::{AdapterUsage, EngineView, HeldAdapter, UsageReport};
use crate::pause_forecast::StreamLoad;

/// Time between two updates of the mean speed of a service's engines.
const PRIOR_INTERVAL: Duration = Duration::from_secs(1);

/// The outcome of a call with regard to the endpoint's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointOutcome {
    /// The endpoint answered successfully.
    Succeeded,
    /// The endpoint failed, aborted its answer or could not be reached.
    Failed,
    /// The outcome says nothing about the endpoint's health.
    Inconclusive,
}

impl EndpointTable {
    /// Records that an endpoint stated in an answer that it is leaving.
    pub fn record_leaving(&mut self, id: &EndpointId) -> EndpointChange {
        let Some(state) = self.endpoints.get_mut(id) else {
            return EndpointChange::Unchanged;
        };
        if state.health.record_leaving() {
            EndpointChange::Draining
        } else {
            EndpointChange::Unchanged
        }
    }

    /// Records that an endpoint refused a call at `now` and asked for a pause.
    pub fn record_pause(&mut self, now: Timestamp, id: &EndpointId, pause: Duration) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.health.record_pause(now, pause);
        }
    }

    /// Records the limit in an endpoint's answer, or that there is none. Returns whether it changed.
    pub fn record_limit(
        &mut self,
        now: Timestamp,
        id: &EndpointId,
        sent_at: Timestamp,
        stated: Option<CallRate>,
    ) -> bool {
        let Some(state) = self.endpoints.get_mut(id) else {
            return false;
        };
        let before = state.health.limit();
        state.health.record_limit(now, sent_at, stated);
        before != state.health.limit()
    }

    /// Records that an endpoint's agent denied a permit and names the time after which to ask again.
    pub fn record_denied(&mut self, now: Timestamp, id: &EndpointId, wait: Duration) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.health.record_denied(now, wait);
        }
    }

    /// Returns the time until calls to a service may be sent again, if permits have run out at all
    /// endpoints to which calls may be sent.
    pub fn permit_wait(&self, now: Timestamp, service: &ServiceName) -> Option<Duration> {
        let mut soonest: Option<Timestamp> = None;
        let open = self.of_service(service);
        for state in open.filter(|state| state.may_get_calls(now)) {
            let until = state.health.closed_until(now)?;
            soonest = Some(soonest.map_or(until, |known| known.min(until)));
        }
        soonest.map(|until| until.since(now))
    }

    /// Returns the time until the first pause of a service's endpoints ends, if all endpoints that
    /// stay are paused.
    pub fn pause_left(&self, now: Timestamp, service: &ServiceName) -> Option<Duration> {
        let mut soonest: Option<Timestamp> = None;
        for state in self
            .of_service(service)
            .filter(|state| state.is_accepting())
        {
            let until = state.paused_until(now)?;
            soonest = Some(soonest.map_or(until, |known| known.min(until)));
        }
        soonest.map(|until| until.since(now))
    }

    /// Records a view that an agent published of its engine.
    pub fn record_view(&mut self, now: Timestamp, id: &EndpointId, view: EngineView) {
        let Some(state) = self.endpoints.get_mut(id) else {
            return;
        };
        let service = state.record.service.clone();
        state.estimate.learner_mut().set_shared(now, view.speed);
        state.view = Some((now, view));
        state.vm_silent = false;
        state.refresh_keys();
        self.refresh_prior(now, &service);
    }

    /// Updates the mean speed of a service's engines, from which the speed of an engine is taken of
    /// which little was observed.
    fn refresh_prior(&mut self, now: Timestamp, service: &ServiceName) {
        let known = self.priors.get(service);
        if known.is_some_and(|(at, _)| now.since(*at) < PRIOR_INTERVAL) {
            return;
        }
        let engines = self.of_service(service);
        let prior =
            SpeedEstimate::prior_of(engines.map(|state| state.estimate.learner().observed()));
        self.priors.insert(service.clone(), (now, prior));
        let endpoints = self.endpoints.values_mut();
        for state in endpoints.filter(|state| state.record.service == *service) {
            state.estimate.learner_mut().set_prior(prior);
        }
    }

    /// Clears an agent's view, so that the contents in the registry are used again.
    pub fn clear_view(&mut self, id: &EndpointId, failure: AgentFailure) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.view = None;
            state.refresh_keys();
            state.vm_silent = failure == AgentFailure::VmSilent;
        }
    }

    /// Records that the load of an adapter is requested from an endpoint's agent.
    pub fn begin_load(&mut self, id: &EndpointId, adapter: HeldAdapter) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.pending_loads.push(adapter);
            state.refresh_keys();
        }
    }

    /// Records that an endpoint's agent answered a load request.
    pub fn end_load(&mut self, id: &EndpointId, adapter: &HeldAdapter) {
        if let Some(state) = self.endpoints.get_mut(id)
            && let Some(position) = state
                .pending_loads
                .iter()
                .position(|known| known == adapter)
        {
            state.pending_loads.swap_remove(position);
            state.refresh_keys();
        }
    }

    /// Records that a call is about to be sent to an endpoint. Returns whether the call is the
    /// first in flight that uses its adapter, which has to be reported to the endpoint's agent.
    pub fn begin_call(
        &mut self,
        id: &EndpointId,
        used: Option<(&ModelName, &AdapterName)>,
    ) -> bool {
        let Some(state) = self.endpoints.get_mut(id) else {
            return false;
        };
        state.calls += 1;
        let Some((model, adapter)) = used else {
            return false;
        };
        let key = (model.clone(), adapter.clone());
        if !state.recently_used.contains(&key) {
            state.recently_used.push(key);
        }
        let known = state
            .usage
            .iter_mut()
            .find(|known| known.name == *adapter && known.model == *model);
        match known {
            Some(known) => {
                known.calls += 1;
                false
            }
            None => {
                state.usage.push(AdapterUsage {
                    model: model.clone(),
                    name: adapter.clone(),
                    calls: 1,
                });
                true
            }
        }
    }

    /// Records the end and outcome of a call at an endpoint.
    pub fn end_call(
        &mut self,
        now: Timestamp,
        id: &EndpointId,
        used: Option<(&ModelName, &AdapterName)>,
        outcome: EndpointOutcome,
    ) {
        let Some(state) = self.endpoints.get_mut(id) else {
            return;
        };
        state.calls = state.calls.saturating_sub(1);
        state.last_call_at = Some(now);
        if let Some((model, adapter)) = used {
            for known in &mut state.usage {
                if known.name == *adapter && known.model == *model {
                    known.calls = known.calls.saturating_sub(1);
                }
            }
            state.usage.retain(|known| known.calls > 0);
        }
        match outcome {
            EndpointOutcome::Succeeded => state.health.record_success(),
            EndpointOutcome::Failed => state.health.record_failure(now),
            EndpointOutcome::Inconclusive => {}
        }
    }

    /// Returns this entry's usage report for an endpoint's agent: the adapters that its calls use,
    /// and those that they used since the last report.
    pub fn take_usage(&mut self, entry: &str, id: &EndpointId) -> UsageReport {
        let mut report = UsageReport {
            entry: entry.to_owned(),
            endpoint: id.clone(),
            started_ms: None,
            adapters: Vec::new(),
            calls: 0,
            speed: None,
            streams: StreamLoad::default(),
            sent_tokens: 0,
        };
        let Some(state) = self.endpoints.get_mut(id) else {
            return report;
        };
        report.started_ms = state.record.started_ms;
        report.adapters.clone_from(&state.usage);
        report.calls = state.calls;
        report.speed = state.estimate.learner().own();
        report.streams = state.estimate.load();
        let reported_at = state.reported_at();
        report.sent_tokens = state.sent.take_report(reported_at);
        for (model, name) in state.recently_used.drain(..) {
            let listed = report
                .adapters
                .iter()
                .any(|used| used.name == name && used.model == model);
            if !listed {
                let ended = AdapterUsage {
                    model,
                    name,
                    calls: 0,
                };
                report.adapters.push(ended);
            }
        }
        report
    }
}
