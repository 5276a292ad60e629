//! Outcomes of the requests of a run, and the figures computed from them.

use std::time::Duration;

use amaranth_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::policy::deployment::DeploymentName;
use crate::policy::workload::ReplayWorkload;

/// The state of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum RequestState {
    #[default]
    Pending,
    Dispatched,
    Completed,
    Refused,
}

/// The outcome of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RequestOutcome {
    state: RequestState,
    /// The engine that the request was last sent to.
    pub engine: Option<usize>,
    stall: Duration,
    wait: Duration,
}

impl RequestOutcome {
    /// Records the dispatch of the request, whose adapter has been resident since `resident_since`.
    pub fn record_dispatch(
        &mut self,
        arrived: Timestamp,
        resident_since: Timestamp,
        now: Timestamp,
    ) {
        self.state = RequestState::Dispatched;
        self.stall = resident_since.since(arrived);
        self.wait = now.since(arrived);
    }

    /// Records the end of the answer.
    pub fn record_completion(&mut self, _now: Timestamp) {
        self.state = RequestState::Completed;
    }

    /// Records a refusal.
    pub fn record_refusal(&mut self) {
        self.state = RequestState::Refused;
    }

    /// Records that the endpoint failed and the request is retried at another one.
    pub fn record_retry(&mut self) {
        self.state = RequestState::Pending;
        self.engine = None;
    }

    /// Returns whether the request is waiting or running on `engine`.
    pub fn is_unfinished_on(&self, engine: usize) -> bool {
        let is_unfinished = matches!(self.state, RequestState::Pending | RequestState::Dispatched);
        is_unfinished && self.engine == Some(engine)
    }
}

/// The loads, evictions and batch usage of one run.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RunCounts {
    /// Number of loads that started.
    pub loads: u64,
    /// Number of evictions.
    pub evictions: u64,
    /// Used batch slots, in slot-seconds.
    pub used_slot_seconds: f64,
    /// Batch slots of engines with any request, in slot-seconds.
    pub available_slot_seconds: f64,
}

/// The key that identifies a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunKey {
    /// The deployment of the run.
    pub deployment: DeploymentName,
    /// The preset of the product's policy.
    pub preset: String,
    /// The name of the scenario.
    pub scenario: String,
    /// The seed of the workload.
    pub seed: u64,
    /// The name of the policy.
    pub policy: String,
}

/// The figures of one run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunResult {
    /// The key of the run.
    #[serde(flatten)]
    pub key: RunKey,
    /// Number of measured requests, which arrived after the warm-up.
    pub requests: usize,
    /// Number of measured requests that were answered.
    pub completed: usize,
    /// Number of measured requests that were refused or not answered by the end of the run.
    pub refused: usize,
    /// Share of requests that waited for their adapter to load.
    pub stalled_share: f64,
    /// Median over all requests of the wait for the adapter to load, in seconds.
    pub stall_p50_s: f64,
    /// 99th percentile of the wait for the adapter, in seconds.
    pub stall_p99_s: f64,
    /// Sum of the waits for the adapter, in seconds; a refused request counts its whole deadline.
    pub stall_total_s: f64,
    /// Share of used batch slots over the time in which an engine has any request.
    pub batch_efficiency: f64,
    /// Number of loads that started.
    pub loads: u64,
    /// Number of evictions.
    pub evictions: u64,
    /// 99th percentile of the whole wait before the dispatch, in seconds.
    #[serde(skip)]
    pub wait_p99_s: f64,
}

/// Computes the figures of one run.
pub fn summarize(
    key: RunKey,
    workload: &ReplayWorkload,
    outcomes: &[RequestOutcome],
    counts: &RunCounts,
) -> RunResult {
    let mut stalls = Vec::new();
    let mut waits = Vec::new();
    let mut completed = 0;
    for (request, outcome) in workload.requests.iter().zip(outcomes) {
        if request.at < workload.measured_from {
            continue;
        }
        let answered = outcome.state == RequestState::Completed;
        completed += usize::from(answered);
        let or_deadline = |wait: Duration| if answered { wait } else { request.deadline };
        stalls.push(or_deadline(outcome.stall).as_secs_f64());
        waits.push(or_deadline(outcome.wait).as_secs_f64());
    }
    stalls.sort_by(f64::total_cmp);
    waits.sort_by(f64::total_cmp);
    let requests = stalls.len();
    let stalled = stalls.iter().filter(|&&stall| stall > 0.0).count();
    RunResult {
        key,
        requests,
        completed,
        refused: requests - completed,
        stalled_share: stalled as f64 / requests.max(1) as f64,
        stall_p50_s: percentile(&stalls, 0.5),
        stall_p99_s: percentile(&stalls, 0.99),
        stall_total_s: stalls.iter().sum(),
        batch_efficiency: counts.used_slot_seconds / counts.available_slot_seconds.max(1e-9),
        loads: counts.loads,
        evictions: counts.evictions,
        wait_p99_s: percentile(&waits, 0.99),
    }
}

/// Returns the value that `share` of the sorted values do not exceed, or 0 if there are none.
fn percentile(sorted: &[f64], share: f64) -> f64 {
    if sorted.is_empty() {
        return 0.0;
    }
    let index = (share * sorted.len() as f64).ceil() as usize;
    sorted[index.clamp(1, sorted.len()) - 1]
}
