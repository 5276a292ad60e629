//! Workloads: the arrivals of a run, generated with Zipf popularity or read from a trace file.

use std::time::Duration;

use amaranth_core::ids::AdapterRef;
use amaranth_core::time::Timestamp;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};

use crate::policy::deployment::{DeploymentSize, PROMPT_TOKENS_PER_STEP};
use crate::policy::scenario::{ReplayScenario, ShiftKind};

/// Largest share of the load rate of the store that the workload needs with ideal placement.
const STORE_SHARE: f64 = 0.7;

/// Largest share of the token rate of the engines that the workload needs.
const ENGINE_SHARE: f64 = 0.6;

/// Factor of the request rate in a class-time peak over the rate outside of peaks.
const PEAK_FACTOR: f64 = 4.0;

/// Share of the mean rate of other scenarios that is offered outside class-time peaks.
const OFF_PEAK_SHARE: f64 = 0.35;

/// Time between the starts of two class-time peaks.
const PEAK_INTERVAL: Duration = Duration::from_secs(240);

/// Length of a class-time peak.
const PEAK_LENGTH: Duration = Duration::from_secs(60);

/// Time between two swaps of popular adapters in a slow drift.
const DRIFT_INTERVAL: Duration = Duration::from_secs(5);

/// Standard deviation of the logarithm of the output and prompt lengths.
const LENGTH_SPREAD: f64 = 0.6;

/// Median of the prompt length in tokens.
const MEDIAN_PROMPT_TOKENS: f64 = 600.0;

/// Range of the times that callers wait for the start of an answer, in seconds.
const DEADLINE_SECONDS: std::ops::Range<f64> = 20.0..40.0;

/// The arrival of one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplayRequest {
    /// The time of the arrival.
    pub at: Timestamp,
    /// The index of the adapter.
    pub adapter: usize,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of tokens that the request generates.
    pub output_tokens: u32,
    /// The time from the arrival after which the caller abandons the request.
    pub deadline: Duration,
    /// The index of the entry that receives the request.
    pub entry: usize,
}

/// The adapters and arrivals of one run.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplayWorkload {
    /// The adapters, which arrivals refer to by index.
    pub adapters: Vec<AdapterRef>,
    /// The arrivals, in order of time.
    pub requests: Vec<ReplayRequest>,
    /// The time from which arrivals are measured.
    pub measured_from: Timestamp,
}

/// The cumulative distribution of popularity over the ranks of a Zipf distribution.
struct ZipfTable {
    cumulative: Vec<f64>,
}

impl ZipfTable {
    fn new(ranks: usize, exponent: f64) -> Self {
        let mut sum = 0.0;
        let mut cumulative: Vec<f64> = (1..=ranks)
            .map(|rank| {
                sum += (rank as f64).powf(-exponent);
                sum
            })
            .collect();
        for share in &mut cumulative {
            *share /= sum;
        }
        Self { cumulative }
    }

    fn rank_at(&self, position: f64) -> usize {
        self.cumulative
            .partition_point(|&share| share < position)
            .min(self.cumulative.len() - 1)
    }

    /// Returns the share of requests for the `ranks` most popular adapters.
    fn top_share(&self, ranks: usize) -> f64 {
        self.cumulative[ranks.min(self.cumulative.len()) - 1]
    }
}

/// Returns the adapters of a deployment.
fn adapter_names(count: usize) -> Vec<AdapterRef> {
    (0..count)
        .map(|index| {
            format!("adapter-{index:05}@1")
                .parse()
                .expect("the name is well formed")
        })
        .collect()
}

/// Returns a request rate, per second, that stresses the deployment but is feasible.
///
/// If one copy of each of the most popular adapters is resident, loads of the other adapters need
/// at most [`STORE_SHARE`] of the load rate, and the requests need at most [`ENGINE_SHARE`] of
/// the token rate.
fn offered_rate(size: &DeploymentSize, zipf: &ZipfTable) -> f64 {
    let miss_share = 1.0 - zipf.top_share(size.fleet_slots());
    let store_bound = STORE_SHARE * size.load_rate.0 / miss_share;
    let mean_output = size.median_output_tokens * (LENGTH_SPREAD * LENGTH_SPREAD / 2.0).exp();
    let steps = mean_output + MEDIAN_PROMPT_TOKENS / PROMPT_TOKENS_PER_STEP;
    let engine_rate = size.batch_slots as f64 / (steps * size.step_time(size.batch_slots));
    let engine_bound = ENGINE_SHARE * engine_rate * size.engines as f64;
    store_bound.min(engine_bound)
}

/// Generates the workload of `scenario`; the same seed gives the same arrivals.
pub fn build(size: &DeploymentSize, scenario: &ReplayScenario, seed: u64) -> ReplayWorkload {
    let mut generator = StdRng::seed_from_u64(seed);
    let zipf = ZipfTable::new(size.adapters, scenario.exponent);
    let mut popularity: Vec<usize> = (0..size.adapters).collect();
    shuffle(&mut popularity, &mut generator);
    let mean_rate = offered_rate(size, &zipf);
    let lengths = RequestLengths::new(size);
    let mut shifts = ShiftSchedule::new(scenario);
    let mut requests = Vec::new();
    let mut seconds = 0.0;
    loop {
        let rate = mean_rate * shifts.rate_factor(seconds);
        let gap = Exp::new(rate).expect("the rate is positive");
        seconds += gap.sample(&mut generator);
        if seconds >= scenario.length.as_secs_f64() {
            break;
        }
        shifts.apply_until(seconds, &mut popularity, size, &mut generator);
        let rank = zipf.rank_at(generator.random::<f64>());
        requests.push(lengths.draw(seconds, popularity[rank], size, &mut generator));
    }
    ReplayWorkload {
        adapters: adapter_names(size.adapters),
        requests,
        measured_from: Timestamp::ZERO + scenario.warm_up,
    }
}

fn shuffle(items: &mut [usize], generator: &mut StdRng) {
    for last in (1..items.len()).rev() {
        items.swap(last, generator.random_range(0..=last));
    }
}

/// Draws the lengths and deadlines of requests.
struct RequestLengths {
    output: LogNormal<f64>,
    prompt: LogNormal<f64>,
}

impl RequestLengths {
    fn new(size: &DeploymentSize) -> Self {
        let log_normal =
            |median: f64| LogNormal::new(median.ln(), LENGTH_SPREAD).expect("the spread is finite");
        Self {
            output: log_normal(size.median_output_tokens),
            prompt: log_normal(MEDIAN_PROMPT_TOKENS),
        }
    }

    fn draw(
        &self,
        seconds: f64,
        adapter: usize,
        size: &DeploymentSize,
        generator: &mut StdRng,
    ) -> ReplayRequest {
        ReplayRequest {
            at: Timestamp::ZERO + Duration::from_secs_f64(seconds),
            adapter,
            prompt_tokens: self.prompt.sample(generator).ceil() as u32,
            output_tokens: self.output.sample(generator).ceil() as u32,
            deadline: Duration::from_secs_f64(generator.random_range(DEADLINE_SECONDS)),
            entry: generator.random_range(0..size.entries),
        }
    }
}

/// The schedule of changes of popularity and rate in one run.
struct ShiftSchedule {
    kind: ShiftKind,
    next_change: f64,
}

impl ShiftSchedule {
    fn new(scenario: &ReplayScenario) -> Self {
        let next_change = match scenario.shift {
            ShiftKind::HotSetReplaced(at) => at.as_secs_f64(),
            ShiftKind::SlowDrift => DRIFT_INTERVAL.as_secs_f64(),
            ShiftKind::None | ShiftKind::ClassPeaks => f64::INFINITY,
        };
        Self {
            kind: scenario.shift,
            next_change,
        }
    }

    fn rate_factor(&self, seconds: f64) -> f64 {
        if self.kind != ShiftKind::ClassPeaks {
            return 1.0;
        }
        let phase = seconds % PEAK_INTERVAL.as_secs_f64();
        if phase >= (PEAK_INTERVAL - PEAK_LENGTH).as_secs_f64() {
            OFF_PEAK_SHARE * PEAK_FACTOR
        } else {
            OFF_PEAK_SHARE
        }
    }

    fn apply_until(
        &mut self,
        seconds: f64,
        popularity: &mut [usize],
        size: &DeploymentSize,
        generator: &mut StdRng,
    ) {
        let hot_ranks = size.fleet_slots();
        while self.next_change <= seconds {
            match self.kind {
                ShiftKind::HotSetReplaced(_) => {
                    for rank in 0..hot_ranks {
                        popularity.swap(rank, generator.random_range(hot_ranks..popularity.len()));
                    }
                    self.next_change = f64::INFINITY;
                }
                ShiftKind::SlowDrift => {
                    let rising = generator.random_range(hot_ranks..popularity.len());
                    popularity.swap(generator.random_range(0..hot_ranks), rising);
                    self.next_change += DRIFT_INTERVAL.as_secs_f64();
                }
                ShiftKind::None | ShiftKind::ClassPeaks => return,
            }
        }
    }
}
