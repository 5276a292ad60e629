//! The command line of `amaranth-lab faults`.

use std::ffi::OsString;
use std::time::Duration;

use lexopt::prelude::{Long, Short, ValueExt};

use crate::faults::fault_kind::FaultKind;
use crate::fleet::shape::Deployment;

/// The text of `--help`.
pub const HELP: &str = "\
amaranth-lab faults: runs a fleet under faults and checks every promise

Usage: amaranth-lab faults [OPTIONS]

Options:
      --deployment NAME  Runs tokachi or roata (default roata)
      --seed N           Draws the calls and the order of faults from this seed (default 1)
      --minutes M        Injects faults for M minutes (default 2)
      --only FAULT       Injects only this fault in every window; repeat it for a pair
      --json             Prints the report as JSON
  -h, --help             Prints this help

Each kind of fault is injected once alone before pairs begin.
Exit status: 0 when every promise held and the fleet recovered, 1 if not, 2 for a bad command line.
";

/// Default time for which faults are injected, in minutes.
const DEFAULT_MINUTES: f64 = 2.0;

/// Maximum time for which faults can be injected, in minutes.
const MAX_MINUTES: f64 = 120.0;

/// The options of a fault run.
#[derive(Debug, Clone, PartialEq)]
pub struct FaultArguments {
    /// The deployment that is run.
    pub deployment: Deployment,
    /// The seed from which the calls and the fault schedule are drawn.
    pub seed: u64,
    /// The time for which faults are injected, warm-up included.
    pub duration: Duration,
    /// The faults of every window; empty for a schedule of all kinds.
    pub only: Vec<FaultKind>,
    /// Whether the report is printed as JSON.
    pub json: bool,
}

impl Default for FaultArguments {
    fn default() -> Self {
        Self {
            deployment: Deployment::Roata,
            seed: 1,
            duration: minutes(DEFAULT_MINUTES),
            only: Vec::new(),
            json: false,
        }
    }
}

/// The action that the command line requests.
#[derive(Debug, Clone, PartialEq)]
pub enum FaultCommand {
    /// Runs the faults with these options.
    Run(FaultArguments),
    /// Prints the help text.
    Help,
}

fn minutes(count: f64) -> Duration {
    Duration::from_secs_f64(count * 60.0)
}

impl FaultArguments {
    /// Parses the command line arguments after `faults`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first argument that is unknown or has an invalid value.
    pub fn parse(
        arguments: impl IntoIterator<Item = OsString>,
    ) -> Result<FaultCommand, lexopt::Error> {
        let mut parsed = Self::default();
        let mut parser = lexopt::Parser::from_args(arguments);
        while let Some(argument) = parser.next()? {
            match argument {
                Long("deployment") => parsed.deployment = parser.value()?.parse()?,
                Long("seed") => parsed.seed = parser.value()?.parse()?,
                Long("minutes") => {
                    let count: f64 = parser.value()?.parse()?;
                    if !(count > 0.0 && count <= MAX_MINUTES) {
                        return Err(format!(
                            "--minutes must be greater than 0 and at most {MAX_MINUTES}"
                        )
                        .into());
                    }
                    parsed.duration = minutes(count);
                }
                Long("only") => parsed.only.push(parser.value()?.parse()?),
                Long("json") => parsed.json = true,
                Short('h') | Long("help") => return Ok(FaultCommand::Help),
                unknown => return Err(unknown.unexpected()),
            }
        }
        Ok(FaultCommand::Run(parsed))
    }
}
