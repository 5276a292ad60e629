//! The comparison of the detectors as a table or as JSON.

use std::fmt::Write;

use serde::Serialize;

use crate::detect::comparison::{CurvePoint, DetectorCurve, DetectorName, ScenarioComparison};

/// The rates of false suspicion, per peer-day, at which detectors are compared.
pub const FALSE_RATES: [f64; 2] = [24.0, 1.0];

/// The parameter of [`DetectorName::Averaged`] in the paper that the detector comes from.
const PAPER_FACTOR: f64 = 1.0;

/// The default timeout of entries, in seconds.
const DEFAULT_TIMEOUT_SECONDS: f64 = 3.5;

/// The comparisons of all scenarios.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DetectReport {
    /// The seed that the heartbeats were generated from.
    pub seed: u64,
    /// Number of peer-days in each scenario.
    pub days: u32,
    /// The comparison in each scenario.
    pub scenarios: Vec<ScenarioComparison>,
}

impl DetectReport {
    /// Returns every point of every curve as JSON.
    ///
    /// # Panics
    ///
    /// Panics if a figure is not finite, which does not occur with at least one peer.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("figures are finite")
    }

    /// Returns a table of the points at equal rates of false suspicion.
    pub fn to_table(&self) -> String {
        let mut table = format!(
            "seed {}, {} peer-days in each scenario\n\n",
            self.seed, self.days
        );
        table.push_str(
            "| scenario | detector | false suspicions a day | parameter \
             | detection mean s | p99 s | measured false a day |\n\
             |---|---|---|---|---|---|---|\n",
        );
        for comparison in &self.scenarios {
            for limit in FALSE_RATES {
                for curve in &comparison.curves {
                    let limit_text = format!("at most {limit}");
                    push_row(
                        &mut table,
                        comparison,
                        curve,
                        &limit_text,
                        curve.best(limit),
                    );
                }
            }
            for curve in &comparison.curves {
                let (setting, parameter) = match curve.name {
                    DetectorName::Fixed => ("default setting", DEFAULT_TIMEOUT_SECONDS),
                    DetectorName::Averaged => ("setting of the paper", PAPER_FACTOR),
                    DetectorName::Quantile | DetectorName::Arrival => continue,
                };
                push_row(
                    &mut table,
                    comparison,
                    curve,
                    setting,
                    curve.nearest(parameter),
                );
            }
        }
        table
    }
}

fn push_row(
    table: &mut String,
    comparison: &ScenarioComparison,
    curve: &DetectorCurve,
    setting: &str,
    point: Option<&CurvePoint>,
) {
    let figures = point.map_or_else(
        || "none | - | - | -".to_owned(),
        |CurvePoint { parameter, figures }| {
            format!(
                "{parameter:.2} | {:.2} | {:.2} | {:.2}",
                figures.mean_detection_s, figures.p99_detection_s, figures.false_per_day
            )
        },
    );
    writeln!(
        table,
        "| {} | {} | {setting} | {figures} |",
        comparison.scenario, curve.name
    )
    .expect("writing to a string cannot fail");
}
