//! Every detector over a range of its parameter, on the same heartbeats.

use std::time::Duration;

use amaranth_control::detector::{
    ArrivalDetector, ArrivalOptions, AveragedDetector, AveragedOptions, FailureDetector,
    FixedDetector, QuantileDetector, QuantileOptions,
};
use serde::Serialize;
use strum::{Display, EnumIter, IntoEnumIterator};

use crate::detect::heartbeats::{HeartbeatScenario, INTERVAL, LIFETIME, PeerTrace, draw_trace};
use crate::detect::score::{DetectorScore, ScoreFigures};

/// Heartbeats that detectors with a window remember.
const WINDOW: usize = 64;

/// A detector under comparison, and what its parameter means.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum DetectorName {
    /// A fixed timeout; the parameter is the timeout in seconds.
    Fixed,
    /// The paper's averaged expectation; the parameter is a factor on it, 1 in the paper.
    Averaged,
    /// A factor on the 99th percentile of the last gaps; the parameter is the factor.
    Quantile,
    /// A margin on the expected arrival; the parameter is the margin in seconds.
    Arrival,
}

/// Parameters that each detector is run with.
const PARAMETERS: u32 = 50;

/// Returns the parameters by rising value.
fn parameters(name: DetectorName) -> Vec<f64> {
    let (first, step) = match name {
        DetectorName::Fixed => (1.1, 0.2),
        DetectorName::Averaged => (1.0, 0.15),
        DetectorName::Quantile => (1.1, 0.2),
        DetectorName::Arrival => (0.1, 0.25),
    };
    let parameter = |index| first + step * f64::from(index);
    (0..PARAMETERS).map(parameter).collect()
}

/// One point of a detector's curve.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct CurvePoint {
    /// The parameter.
    pub parameter: f64,
    /// The score.
    pub figures: ScoreFigures,
}

/// One detector's curve.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DetectorCurve {
    /// The detector.
    pub name: DetectorName,
    /// Its points by rising parameter.
    pub points: Vec<CurvePoint>,
}

impl DetectorCurve {
    /// Returns the point whose parameter is nearest to `parameter`.
    pub fn nearest(&self, parameter: f64) -> Option<&CurvePoint> {
        let distance = |point: &CurvePoint| (point.parameter - parameter).abs();
        self.points
            .iter()
            .min_by(|left, right| distance(left).total_cmp(&distance(right)))
    }

    /// Returns the point that detects soonest with at most `limit` false suspicions a day.
    pub fn best(&self, limit: f64) -> Option<&CurvePoint> {
        let mean = |point: &CurvePoint| point.figures.mean_detection_s;
        self.points
            .iter()
            .filter(|point| point.figures.false_per_day <= limit)
            .min_by(|left, right| mean(left).total_cmp(&mean(right)))
    }
}

/// The curves of one scenario.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ContestResult {
    /// The scenario.
    pub scenario: HeartbeatScenario,
    /// One curve for each detector.
    pub curves: Vec<DetectorCurve>,
}

fn score<D: FailureDetector>(traces: &[PeerTrace], open: impl Fn() -> D) -> ScoreFigures {
    let mut score = DetectorScore::default();
    for trace in traces {
        score.watch(open(), trace);
    }
    score.figures()
}

fn score_detector(name: DetectorName, parameter: f64, traces: &[PeerTrace]) -> ScoreFigures {
    match name {
        DetectorName::Fixed => score(traces, || {
            FixedDetector::new(Duration::from_secs_f64(parameter))
        }),
        DetectorName::Averaged => score(traces, || {
            AveragedDetector::new(AveragedOptions {
                slack: parameter,
                ..AveragedOptions::paper(INTERVAL)
            })
        }),
        DetectorName::Quantile => score(traces, || {
            QuantileDetector::new(QuantileOptions {
                window: WINDOW,
                quantile: 0.99,
                factor: parameter,
                initial: INTERVAL.mul_f64(parameter),
            })
        }),
        DetectorName::Arrival => score(traces, || {
            ArrivalDetector::new(ArrivalOptions {
                interval: INTERVAL,
                window: WINDOW,
                margin: Duration::from_secs_f64(parameter),
            })
        }),
    }
}

/// Runs every detector over `days` days of peers.
pub fn run_contest(scenario: HeartbeatScenario, seed: u64, days: u32) -> ContestResult {
    let lifetimes_per_day = Duration::from_secs(86_400).as_secs() / LIFETIME.as_secs();
    let count = u64::from(days) * lifetimes_per_day;
    let traces: Vec<_> = (0..count)
        .map(|index| draw_trace(scenario, seed.wrapping_mul(1_000_003).wrapping_add(index)))
        .collect();
    let curve = |name| DetectorCurve {
        name,
        points: parameters(name)
            .into_iter()
            .map(|parameter| CurvePoint {
                parameter,
                figures: score_detector(name, parameter, &traces),
            })
            .collect(),
    };
    ContestResult {
        scenario,
        curves: DetectorName::iter().map(curve).collect(),
    }
}
