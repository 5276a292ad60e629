//! The arguments of `amaranth-lab policy`.

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

/// Seeds of a full run.
const FULL_SEEDS: std::ops::RangeInclusive<u64> = 1..=5;

/// What to replay and how to report it.
#[derive(Debug, Clone)]
pub struct PolicyArguments {
    /// The deployments.
    pub deployments: Vec<DeploymentName>,
    /// The preset, or each deployment's own.
    pub preset: Option<PolicyPreset>,
    /// The seeds.
    pub seeds: Vec<u64>,
    /// Only this policy.
    pub policy: Option<PolicyName>,
    /// Only this scenario.
    pub scenario: Option<String>,
    /// A trace in place of the scenarios.
    pub trace: Option<PathBuf>,
    /// Where plots go.
    pub plots: Option<PathBuf>,
    /// Whether to print JSON.
    pub json: bool,
    /// Whether to run one seed and few scenarios.
    pub quick: bool,
}

impl PolicyArguments {
    /// Reads the arguments; returns nothing when help is asked for.
    ///
    /// # Errors
    ///
    /// Returns an error for an unknown option or a malformed value.
    pub fn parse(words: impl IntoIterator<Item = OsString>) -> miette::Result<Option<Self>> {
        let mut parser = lexopt::Parser::from_args(words);
        let mut arguments = Self {
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
                    let name: DeploymentName = parsed(&mut parser)?;
                    arguments.deployments = vec![name];
                }
                Arg::Long("policy") => arguments.policy = Some(parsed(&mut parser)?),
                Arg::Long("preset") => arguments.preset = Some(parsed(&mut parser)?),
                Arg::Long("seed") => seed = Some(parsed(&mut parser)?),
                Arg::Long("scenario") => arguments.scenario = Some(parsed(&mut parser)?),
                Arg::Long("trace") => arguments.trace = Some(parsed(&mut parser)?),
                Arg::Long("plots") => arguments.plots = Some(parsed(&mut parser)?),
                Arg::Long("help") | Arg::Short('h') => return Ok(None),
                Arg::Long("json") => arguments.json = true,
                Arg::Long("quick") => arguments.quick = true,
                other => return Err(miette!("{}", other.unexpected())),
            }
        }
        if arguments.quick {
            arguments.seeds = vec![1];
        }
        if let Some(seed) = seed {
            arguments.seeds = vec![seed];
        }
        arguments.check_scenario()?;
        Ok(Some(arguments))
    }

    /// Returns the preset for a deployment: the one asked for, or what its operators weigh more.
    pub fn preset_of(&self, deployment: DeploymentName) -> PolicyPreset {
        let own = match deployment {
            DeploymentName::Tokachi => PolicyPreset::LoadStalls,
            DeploymentName::Roata => PolicyPreset::BatchEfficiency,
        };
        self.preset.unwrap_or(own)
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
            let known: Vec<&str> = scenario::built_in().iter().map(|one| one.name).collect();
            return Err(miette!("no such scenario; known: {}", known.join(", ")));
        }
        Ok(())
    }
}

/// Returns whether a scenario belongs to a quick run: each shift and fault at one exponent.
fn is_quick(scenario: &ReplayScenario) -> bool {
    let plain = scenario.shift == ShiftKind::None && scenario.fault == FaultKind::None;
    plain || (scenario.exponent - 1.0).abs() < f64::EPSILON
}

fn parsed<V>(parser: &mut lexopt::Parser) -> miette::Result<V>
where
    V: std::str::FromStr,
    V::Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>,
{
    parser
        .value()
        .and_then(|value| value.parse())
        .into_diagnostic()
}
