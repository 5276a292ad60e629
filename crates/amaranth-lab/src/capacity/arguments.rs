//! Command line of `amaranth-lab capacity`.

use std::ffi::OsString;
use std::path::PathBuf;
use std::time::Duration;

use lexopt::prelude::{Long, Short, ValueExt};

/// Text of `--help`.
pub const HELP: &str = "\
amaranth-lab capacity: measures the CPU time and memory that load and state cost

Usage: amaranth-lab capacity [OPTIONS]

Options:
      --seconds N   Runs each load for N seconds (default 4)
      --repeats N   Measures each point N times (default 2)
      --plot FILE   Writes a plot as SVG
      --json        Prints the slopes as JSON
  -h, --help        Prints this help

Exit status: 0 on success, 1 when a run failed, 2 for a bad command line.
";

/// Default of `--seconds`.
const DEFAULT_SECONDS: u64 = 4;

/// Default of `--repeats`.
const DEFAULT_REPEATS: u32 = 2;

/// Maximum of `--seconds` and of `--repeats`.
const MAX_COUNT: u64 = 60;

/// Options of a capacity measurement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CapacityArguments {
    /// Duration of each load.
    pub duration: Duration,
    /// Number of measurements of each point.
    pub repeats: u32,
    /// SVG file that the plot is written to.
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

/// Command that the command line selects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CapacityCommand {
    /// Measures with these options.
    Run(CapacityArguments),
    /// Prints the help text.
    Help,
}

impl CapacityArguments {
    /// Parses the arguments that follow `capacity`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the unknown argument or the invalid value.
    pub fn parse(
        arguments: impl IntoIterator<Item = OsString>,
    ) -> Result<CapacityCommand, lexopt::Error> {
        let mut parsed = Self::default();
        let mut parser = lexopt::Parser::from_args(arguments);
        while let Some(argument) = parser.next()? {
            match argument {
                Long("seconds") => parsed.duration = Duration::from_secs(parse_count(&mut parser)?),
                Long("repeats") => {
                    parsed.repeats = u32::try_from(parse_count(&mut parser)?).unwrap_or(u32::MAX);
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

/// Parses the value of an option, a number from 1 to [`MAX_COUNT`].
fn parse_count(parser: &mut lexopt::Parser) -> Result<u64, lexopt::Error> {
    let count: u64 = parser.value()?.parse()?;
    if (1..=MAX_COUNT).contains(&count) {
        Ok(count)
    } else {
        Err(format!("the value must be from 1 to {MAX_COUNT}").into())
    }
}
