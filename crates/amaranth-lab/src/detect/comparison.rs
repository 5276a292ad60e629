//! Scores each failure detector over a range of its parameter on the same heartbeats.

use std::time::Duration;

use amaranth_control::detector::{
    ArrivalDetector, ArrivalOptions, AveragedDetector, AveragedOptions, FailureDetector,
    FixedDetector, QuantileDetector, QuantileOptions,
};
use serde::Serialize;
use strum::{Display, EnumIter, IntoEnumIterator};

use crate::detect::heartbeats::{HeartbeatScenario, INTERVAL, LIFETIME, PeerTrace, draw_trace};
use crate::detect::score::{DetectorScore, ScoreFigures};

/// Length of the sliding window of the detectors that have one, in heartbeats.
const WINDOW_HEARTBEATS: usize = 64;

/// The name of a compared failure detector; each variant states which parameter is varied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum DetectorName {
    /// A fixed timeout; the parameter is the timeout in seconds.
    Fixed,
    /// An expected gap averaged from past gaps; the parameter is the factor on that gap, which is 1
    /// in the paper that the detector comes from.
    Averaged,
    /// A multiple of the 99th percentile of the recent gaps; the parameter is the factor.
    Quantile,
    /// A margin after the expected arrival; the parameter is the margin in seconds.
    Arrival,
}

/// Number of parameter values for each detector.
const PARAMETER_COUNT: u32 = 50;

/// Returns the parameter values of a detector in ascending order.
fn parameter_values(name: DetectorName) -> Vec<f64> {
    let (first, step) = match name {
        DetectorName::Fixed => (1.1, 0.2),
        DetectorName::Averaged => (1.0, 0.15),
        DetectorName::Quantile => (1.1, 0.2),
        DetectorName::Arrival => (0.1, 0.25),
    };
    let parameter = |index| first + step * f64::from(index);
    (0..PARAMETER_COUNT).map(parameter).collect()
}

/// The score of a detector at one value of its parameter.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct CurvePoint {
    /// The value of the parameter.
    pub parameter: f64,
    /// The figures of the score.
    pub figures: ScoreFigures,
}

/// The scores of one detector over its parameter.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DetectorCurve {
    /// The detector that was scored.
    pub name: DetectorName,
    /// The points in ascending order of the parameter.
    pub points: Vec<CurvePoint>,
}

impl DetectorCurve {
    /// Returns the point whose parameter is closest to `parameter`.
    pub fn nearest(&self, parameter: f64) -> Option<&CurvePoint> {
        let distance = |point: &CurvePoint| (point.parameter - parameter).abs();
        self.points
            .iter()
            .min_by(|left, right| distance(left).total_cmp(&distance(right)))
    }

    /// Returns the point with the shortest mean detection time among those with at most `limit`
    /// false suspicions a day.
    pub fn best(&self, limit: f64) -> Option<&CurvePoint> {
        let mean_detection = |point: &CurvePoint| point.figures.mean_detection_s;
        self.points
            .iter()
            .filter(|point| point.figures.false_per_day <= limit)
            .min_by(|left, right| mean_detection(left).total_cmp(&mean_detection(right)))
    }
}

/// The curves of all detectors in one scenario.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ScenarioComparison {
    /// The scenario of the heartbeats.
    pub scenario: HeartbeatScenario,
    /// One curve for each detector.
    pub curves: Vec<DetectorCurve>,
}

/// Scores new detectors, one for each peer, on `traces`.
fn score<D: FailureDetector>(traces: &[PeerTrace], new_detector: impl Fn() -> D) -> ScoreFigures {
    let mut score = DetectorScore::default();
    for trace in traces {
        score.add_trace(new_detector(), trace);
    }
    score.figures()
}

/// Scores the detector `name` with `parameter` on `traces`.
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
                window: WINDOW_HEARTBEATS,
                quantile: 0.99,
                factor: parameter,
                initial: INTERVAL.mul_f64(parameter),
            })
        }),
        DetectorName::Arrival => score(traces, || {
            ArrivalDetector::new(ArrivalOptions {
                interval: INTERVAL,
                window: WINDOW_HEARTBEATS,
                margin: Duration::from_secs_f64(parameter),
            })
        }),
    }
}

/// Scores every detector on `days` peer-days of heartbeats.
pub fn compare_scenario(scenario: HeartbeatScenario, seed: u64, days: u32) -> ScenarioComparison {
    let lifetimes_per_day = Duration::from_secs(86_400).as_secs() / LIFETIME.as_secs();
    let count = u64::from(days) * lifetimes_per_day;
    let traces: Vec<_> = (0..count)
        .map(|index| draw_trace(scenario, seed.wrapping_mul(1_000_003).wrapping_add(index)))
        .collect();
    let curve = |name| DetectorCurve {
        name,
        points: parameter_values(name)
            .into_iter()
            .map(|parameter| CurvePoint {
                parameter,
                figures: score_detector(name, parameter, &traces),
            })
            .collect(),
    };
    ScenarioComparison {
        scenario,
        curves: DetectorName::iter().map(curve).collect(),
    }
}
