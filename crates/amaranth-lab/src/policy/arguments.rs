//! The command-line arguments of `amaranth-lab policy`.

use std::ffi::OsString;
use std::path::PathBuf;

use amaranth_placement::presets::PolicyPreset;
use lexopt::{Arg, ValueExt};
use miette::{IntoDiagnostic, miette};
use strum::IntoEnumIterator;

use crate::policy::PolicyName;
use crate::policy::deployment::DeploymentName;
use crate::policy::scenario::{self, FaultKind, ReplayScenario, ShiftKind};

/// The text of `--help`.
pub const HELP: &str = "\
amaranth-lab policy: replays placement decisions against baselines in virtual time

Usage: amaranth-lab policy [OPTIONS]

Options:
  --deployment NAME  tokachi or roata instead of both
  --preset NAME      load-stalls or batch-efficiency instead of each deployment's own
  --scenario NAME    one scenario instead of all
  --policy NAME      amaranthfield or one baseline instead of all
  --seed NUMBER      one seed instead of 1 to 5
  --quick            one seed, and shifts and faults at one Zipf exponent only
  --trace FILE       CSV with at_ms,adapter,prompt_tokens,output_tokens,deadline_ms
  --plots FOLDER     writes SVG plots
  --json             prints JSON in place of the table
  --help             prints this help
";

/// The seeds of a full run.
const FULL_SEEDS: std::ops::RangeInclusive<u64> = 1..=5;

/// The arguments of a replay and of its report.
#[derive(Debug, Clone)]
pub struct PolicyArguments {
    /// The deployments to replay.
    pub deployments: Vec<DeploymentName>,
    /// The preset of the product's policy; `None` uses each deployment's own.
    pub preset: Option<PolicyPreset>,
    /// The seeds of the workloads.
    pub seeds: Vec<u64>,
    /// The only policy to replay; `None` replays all.
    pub policy: Option<PolicyName>,
    /// The name of the only scenario to replay; `None` replays all.
    pub scenario: Option<String>,
    /// The trace file that replaces the built-in scenarios.
    pub trace: Option<PathBuf>,
    /// The folder that the plots are written to.
    pub plots: Option<PathBuf>,
    /// Whether to print JSON instead of a table.
    pub json: bool,
    /// Whether to replay only one seed and fewer scenarios.
    pub quick: bool,
}

impl PolicyArguments {
    /// Parses the arguments after the subcommand; returns `None` if they request help.
    ///
    /// # Errors
    ///
    /// Returns an error for an unknown option or a malformed value.
    pub fn parse(arguments: impl IntoIterator<Item = OsString>) -> miette::Result<Option<Self>> {
        let mut parser = lexopt::Parser::from_args(arguments);
        let mut parsed = Self {
            deployments: DeploymentName::iter().collect(),
            preset: None,
            seeds: FULL_SEEDS.collect(),
            policy: None,
            scenario: None,
            trace: None,
            plots: None,
            json: false,
            quick: false,
        };
        let mut seed = None;
        while let Some(argument) = parser.next().into_diagnostic()? {
            match argument {
                Arg::Long("deployment") => {
                    let name: DeploymentName = parse_value(&mut parser)?;
                    parsed.deployments = vec![name];
                }
                Arg::Long("policy") => parsed.policy = Some(parse_value(&mut parser)?),
                Arg::Long("preset") => parsed.preset = Some(parse_value(&mut parser)?),
                Arg::Long("seed") => seed = Some(parse_value(&mut parser)?),
                Arg::Long("scenario") => parsed.scenario = Some(parse_value(&mut parser)?),
                Arg::Long("trace") => parsed.trace = Some(parse_value(&mut parser)?),
                Arg::Long("plots") => parsed.plots = Some(parse_value(&mut parser)?),
                Arg::Long("help") | Arg::Short('h') => return Ok(None),
                Arg::Long("json") => parsed.json = true,
                Arg::Long("quick") => parsed.quick = true,
                other => return Err(miette!("{}", other.unexpected())),
            }
        }
        if parsed.quick {
            parsed.seeds = vec![1];
        }
        if let Some(seed) = seed {
            parsed.seeds = vec![seed];
        }
        parsed.check_scenario()?;
        Ok(Some(parsed))
    }

    /// Returns the preset for a deployment: the requested one, or the one for the goal that matters
    /// more to its operators.
    pub fn preset_of(&self, deployment: DeploymentName) -> PolicyPreset {
        let default = match deployment {
            DeploymentName::Tokachi => PolicyPreset::LoadStalls,
            DeploymentName::Roata => PolicyPreset::BatchEfficiency,
        };
        self.preset.unwrap_or(default)
    }

    /// Returns the scenarios to replay.
    pub fn scenarios(&self) -> Vec<ReplayScenario> {
        if self.trace.is_some() {
            return vec![ReplayScenario::of_trace()];
        }
        scenario::built_in()
            .into_iter()
            .filter(|scenario| !self.quick || is_quick(scenario))
            .filter(|scenario| {
                self.scenario
                    .as_ref()
                    .is_none_or(|name| name == scenario.name)
            })
            .collect()
    }

    fn check_scenario(&self) -> miette::Result<()> {
        if self.scenarios().is_empty() {
            let known: Vec<&str> = scenario::built_in()
                .iter()
                .map(|scenario| scenario.name)
                .collect();
            return Err(miette!(
                "unknown scenario; the known ones are: {}",
                known.join(", ")
            ));
        }
        Ok(())
    }
}

/// Returns whether a quick run includes the scenario: shifts and faults at one Zipf exponent only.
fn is_quick(scenario: &ReplayScenario) -> bool {
    let is_steady = scenario.shift == ShiftKind::None && scenario.fault == FaultKind::None;
    is_steady || (scenario.exponent - 1.0).abs() < f64::EPSILON
}

fn parse_value<V>(parser: &mut lexopt::Parser) -> miette::Result<V>
where
    V: std::str::FromStr,
    V::Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>,
{
    parser
        .value()
        .and_then(|value| value.parse())
        .into_diagnostic()
}
