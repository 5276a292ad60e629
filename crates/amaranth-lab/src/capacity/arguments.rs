//! The command line of the capacity measurement.

use std::ffi::OsString;
use std::path::PathBuf;
use std::time::Duration;

use lexopt::prelude::{Long, Short, ValueExt};

/// The text of `--help`.
pub const HELP: &str = "\
amaranth-lab capacity: measures what load and state cost each role

Usage: amaranth-lab capacity [OPTIONS]

Options:
      --seconds N   Runs each load for N seconds (default 4)
      --repeats N   Measures each point N times (default 2)
      --plot FILE   Writes a plot as SVG
      --json        Prints the slopes as JSON
  -h, --help        Prints this help

Exit status: 0 on success, 1 when a run failed, 2 for a bad command line.
";

/// How long each load runs unless the command line says otherwise, in seconds.
const DEFAULT_SECONDS: u64 = 4;

/// How often each point is measured unless the command line says otherwise.
const DEFAULT_REPEATS: u32 = 2;

/// Most seconds and repeats.
const MAX_COUNT: u64 = 60;

/// The options of a measurement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CapacityArguments {
    /// How long each load runs.
    pub duration: Duration,
    /// How often each point is measured.
    pub repeats: u32,
    /// Where the plot goes.
    pub plot: Option<PathBuf>,
    /// Whether the slopes are printed as JSON.
    pub json: bool,
}

impl Default for CapacityArguments {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(DEFAULT_SECONDS),
            repeats: DEFAULT_REPEATS,
            plot: None,
            json: false,
        }
    }
}

/// What the command line asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CapacityCommand {
    /// Measure with these options.
    Run(CapacityArguments),
    /// Print the help.
    Help,
}

impl CapacityArguments {
    /// Parses the words behind `capacity`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the argument that is unknown or has a bad value.
    pub fn parse(
        arguments: impl IntoIterator<Item = OsString>,
    ) -> Result<CapacityCommand, lexopt::Error> {
        let mut parsed = Self::default();
        let mut parser = lexopt::Parser::from_args(arguments);
        while let Some(argument) = parser.next()? {
            match argument {
                Long("seconds") => parsed.duration = Duration::from_secs(count(&mut parser)?),
                Long("repeats") => {
                    parsed.repeats = u32::try_from(count(&mut parser)?).unwrap_or(u32::MAX);
                }
                Long("plot") => parsed.plot = Some(PathBuf::from(parser.value()?)),
                Long("json") => parsed.json = true,
                Short('h') | Long("help") => return Ok(CapacityCommand::Help),
                unknown => return Err(unknown.unexpected()),
            }
        }
        Ok(CapacityCommand::Run(parsed))
    }
}

fn count(parser: &mut lexopt::Parser) -> Result<u64, lexopt::Error> {
    let count: u64 = parser.value()?.parse()?;
    if (1..=MAX_COUNT).contains(&count) {
        Ok(count)
    } else {
        Err(format!("a count must be 1 to {MAX_COUNT}").into())
    }
}
