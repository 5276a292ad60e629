//! The command line of the fault runs.

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
      --minutes M        Causes faults for M minutes (default 2)
      --only FAULT       Causes this fault in every window; give it twice for a pair
      --json             Prints the report as JSON
  -h, --help             Prints this help

Every kind of fault comes once alone before pairs begin.
Exit status: 0 when every promise held and the fleet recovered, 1 if not, 2 for a bad command line.
";

/// How long faults are caused unless the command line says otherwise, in minutes.
const DEFAULT_MINUTES: f64 = 2.0;

/// Longest run, in minutes.
const MAX_MINUTES: f64 = 120.0;

/// The options of a fault run.
#[derive(Debug, Clone, PartialEq)]
pub struct FaultArguments {
    /// The deployment.
    pub deployment: Deployment,
    /// The seed.
    pub seed: u64,
    /// How long faults are caused.
    pub duration: Duration,
    /// The faults of every window; empty for all kinds.
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

/// What the command line asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum FaultCommand {
    /// Run with these options.
    Run(FaultArguments),
    /// Print the help.
    Help,
}

fn minutes(count: f64) -> Duration {
    Duration::from_secs_f64(count * 60.0)
}

impl FaultArguments {
    /// Parses the words behind `faults`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the argument that is unknown or has a bad value.
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
                        return Err(
                            format!("--minutes must be above 0, at most {MAX_MINUTES}").into()
                        );
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
