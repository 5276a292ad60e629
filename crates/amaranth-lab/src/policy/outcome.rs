//! What happened to each request, and the figures of one run.

use std::time::Duration;

use amaranth_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::policy::deployment::DeploymentName;
use crate::policy::workload::ReplayWorkload;

/// How far a request came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum RequestState {
    #[default]
    Pending,
    Dispatched,
    Completed,
    Refused,
}

/// What happened to one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RequestOutcome {
    state: RequestState,
    /// The engine that it was sent to last.
    pub engine: Option<usize>,
    stall: Duration,
    wait: Duration,
}

impl RequestOutcome {
    /// Notes a dispatch with an adapter that is resident since `resident_since`.
    pub fn dispatch(&mut self, arrived: Timestamp, resident_since: Timestamp, now: Timestamp) {
        self.state = RequestState::Dispatched;
        self.stall = resident_since.since(arrived);
        self.wait = now.since(arrived);
    }

    /// Notes the end of the answer.
    pub fn complete(&mut self, _now: Timestamp) {
        self.state = RequestState::Completed;
    }

    /// Notes a refusal.
    pub fn refuse(&mut self) {
        self.state = RequestState::Refused;
    }

    /// Notes that the endpoint failed and the request starts again elsewhere.
    pub fn restart(&mut self) {
        self.state = RequestState::Pending;
        self.engine = None;
    }

    /// Returns whether the request waits or runs on `engine`.
    pub fn is_pending_on(&self, engine: usize) -> bool {
        let open = matches!(self.state, RequestState::Pending | RequestState::Dispatched);
        open && self.engine == Some(engine)
    }
}

/// Counts of one run.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RunCounts {
    /// Loads that started.
    pub loads: u64,
    /// Evictions.
    pub evictions: u64,
    /// Batch places filled, in seconds.
    pub filled_seconds: f64,
    /// Batch places of engines with any request, in seconds.
    pub offered_seconds: f64,
}

/// What identifies a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunKey {
    /// The deployment.
    pub deployment: DeploymentName,
    /// The preset of the product's policy.
    pub preset: String,
    /// The scenario.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// The policy.
    pub policy: String,
}

/// The figures of one run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunResult {
    /// What identifies the run.
    #[serde(flatten)]
    pub key: RunKey,
    /// Requests that were counted.
    pub requests: usize,
    /// Those answered.
    pub completed: usize,
    /// Those refused, or not answered by the end.
    pub refused: usize,
    /// Share of requests that waited for their adapter.
    pub stalled_share: f64,
    /// Median wait for the adapter of all requests, in seconds.
    pub stall_p50_s: f64,
    /// 99th percentile of that wait.
    pub stall_p99_s: f64,
    /// Sum of that wait; a refused request counts its whole deadline.
    pub stall_total_s: f64,
    /// Share of batch places filled, over the time in which an engine has any request.
    pub batch_efficiency: f64,
    /// Loads started.
    pub loads: u64,
    /// Evictions.
    pub evictions: u64,
    /// 99th percentile of the wait for anything before the dispatch, in seconds.
    #[serde(skip)]
    pub wait_p99_s: f64,
}

/// Sums up one run.
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
        if request.at < workload.counted_from {
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
        batch_efficiency: counts.filled_seconds / counts.offered_seconds.max(1e-9),
        loads: counts.loads,
        evictions: counts.evictions,
        wait_p99_s: percentile(&waits, 0.99),
    }
}

/// Returns the value below which `share` of the sorted values lie.
fn percentile(sorted: &[f64], share: f64) -> f64 {
    if sorted.is_empty() {
        return 0.0;
    }
    let index = (share * sorted.len() as f64).ceil() as usize;
    sorted[index.clamp(1, sorted.len()) - 1]
}
