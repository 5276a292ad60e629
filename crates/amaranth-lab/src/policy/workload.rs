//! Arrivals: built-in ones with Zipf popularity, or those of a trace file.

use std::time::Duration;

use amaranth_core::ids::AdapterRef;
use amaranth_core::time::Timestamp;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};

use crate::policy::deployment::{DeploymentSize, PROMPT_TOKENS_PER_STEP};
use crate::policy::scenario::{ReplayScenario, ShiftKind};

/// Share of the store's load rate that the offered load needs at best.
const STORE_SHARE: f64 = 0.7;

/// Share of the engines' token rate that the offered load needs at most.
const ENGINE_SHARE: f64 = 0.6;

/// Factor of a class-time peak.
const PEAK_FACTOR: f64 = 4.0;

/// Share of the usual load that is offered outside class-time peaks.
const OFF_PEAK_SHARE: f64 = 0.35;

/// Time between the starts of two class-time peaks.
const PEAK_INTERVAL: Duration = Duration::from_secs(240);

/// Length of a class-time peak.
const PEAK_LENGTH: Duration = Duration::from_secs(60);

/// Time between two exchanges of one popular adapter in a slow drift.
const DRIFT_INTERVAL: Duration = Duration::from_secs(5);

/// Spread of the logarithm of the output length.
const OUTPUT_SPREAD: f64 = 0.6;

/// Median of the prompt length in tokens.
const MEDIAN_PROMPT_TOKENS: f64 = 600.0;

/// Shortest and longest time that callers wait for an answer to start, in seconds.
const DEADLINE_SECONDS: std::ops::Range<f64> = 20.0..40.0;

/// One arrival.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplayRequest {
    /// When it arrives.
    pub at: Timestamp,
    /// Index of its adapter.
    pub adapter: usize,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens that it generates.
    pub output_tokens: u32,
    /// Time until the caller gives up.
    pub deadline: Duration,
    /// Index of the entry that it meets.
    pub entry: usize,
}

/// All arrivals of one run.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplayWorkload {
    /// The adapters.
    pub adapters: Vec<AdapterRef>,
    /// The arrivals in order of time.
    pub requests: Vec<ReplayRequest>,
    /// Arrivals before this are not counted.
    pub counted_from: Timestamp,
}

/// Popularity of the ranks of a Zipf distribution.
struct ZipfTable {
    cumulative: Vec<f64>,
}

impl ZipfTable {
    fn build(ranks: usize, exponent: f64) -> Self {
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

    /// Returns the share of requests that ask for one of the `ranks` most popular adapters.
    fn top_share(&self, ranks: usize) -> f64 {
        self.cumulative[ranks.min(self.cumulative.len()) - 1]
    }
}

/// Returns the adapter names of a fleet.
fn adapter_names(count: usize) -> Vec<AdapterRef> {
    (0..count)
        .map(|index| {
            format!("adapter-{index:05}@1")
                .parse()
                .expect("the name is well formed")
        })
        .collect()
}

/// Returns the requests per second that stress the deployment and are feasible.
///
/// They are feasible because a fleet that holds the most popular adapters once each would need
/// [`STORE_SHARE`] of the load rate for the others, and [`ENGINE_SHARE`] of the token rate.
fn offered_rate(size: &DeploymentSize, zipf: &ZipfTable) -> f64 {
    let missed = 1.0 - zipf.top_share(size.fleet_slots());
    let by_store = STORE_SHARE * size.load_rate.0 / missed;
    let mean_output = size.median_output_tokens * (OUTPUT_SPREAD * OUTPUT_SPREAD / 2.0).exp();
    let steps = mean_output + MEDIAN_PROMPT_TOKENS / PROMPT_TOKENS_PER_STEP;
    let engine_rate = size.batch_slots as f64 / (steps * size.step_time(size.batch_slots));
    let by_engines = ENGINE_SHARE * engine_rate * size.engines as f64;
    by_store.min(by_engines)
}

/// Builds the arrivals of `scenario`; the same seed gives the same arrivals.
pub fn build(size: &DeploymentSize, scenario: &ReplayScenario, seed: u64) -> ReplayWorkload {
    let mut generator = StdRng::seed_from_u64(seed);
    let zipf = ZipfTable::build(size.adapters, scenario.exponent);
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
        counted_from: Timestamp::ZERO + scenario.warm_up,
    }
}

fn shuffle(items: &mut [usize], generator: &mut StdRng) {
    for last in (1..items.len()).rev() {
        items.swap(last, generator.random_range(0..=last));
    }
}

/// Draws the lengths of requests.
struct RequestLengths {
    output: LogNormal<f64>,
    prompt: LogNormal<f64>,
}

impl RequestLengths {
    fn new(size: &DeploymentSize) -> Self {
        let spread = |median: f64| {
            LogNormal::new(median.ln(), OUTPUT_SPREAD).expect("the spread is positive")
        };
        Self {
            output: spread(size.median_output_tokens),
            prompt: spread(MEDIAN_PROMPT_TOKENS),
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

/// The changes of popularity and rate in one run.
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
        let hot = size.fleet_slots();
        while self.next_change <= seconds {
            match self.kind {
                ShiftKind::HotSetReplaced(_) => {
                    for rank in 0..hot {
                        popularity.swap(rank, generator.random_range(hot..popularity.len()));
                    }
                    self.next_change = f64::INFINITY;
                }
                ShiftKind::SlowDrift => {
                    let rising = generator.random_range(hot..popularity.len());
                    popularity.swap(generator.random_range(0..hot), rising);
                    self.next_change += DRIFT_INTERVAL.as_secs_f64();
                }
                ShiftKind::None | ShiftKind::ClassPeaks => return,
            }
        }
    }
}
