//! Command line of `amaranth-lab overload`.

use std::ffi::OsString;
use std::time::Duration;

use lexopt::prelude::{Long, Short, ValueExt};

/// Text of `--help`.
pub const HELP: &str = "\
amaranth-lab overload: offers a small fleet up to four times the load that it can serve

Usage: amaranth-lab overload [OPTIONS]

Options:
  --seconds N      Offers each load level for N seconds (default 15)
  --deadline-ms N  Sets the deadline of each request to N ms (default 3000)
  --json           Prints JSON instead of the table
  -h, --help       Prints this help
";

/// Maximum of `--seconds`.
const MAX_SECONDS: u64 = 300;

/// Options of an overload measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverloadArguments {
    /// Duration of each load level.
    pub duration: Duration,
    /// Time from the start of each request to its deadline.
    pub deadline: Duration,
    /// Whether the report is printed as JSON.
    pub json: bool,
}

impl Default for OverloadArguments {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(15),
            deadline: Duration::from_secs(3),
            json: false,
        }
    }
}

impl OverloadArguments {
    /// Parses the arguments that follow `overload`, or returns `None` if they request help.
    ///
    /// # Errors
    ///
    /// Returns an error that names the unknown argument or the invalid value.
    pub fn parse(
        arguments: impl IntoIterator<Item = OsString>,
    ) -> Result<Option<Self>, lexopt::Error> {
        let mut parser = lexopt::Parser::from_args(arguments);
        let mut parsed = Self::default();
        while let Some(argument) = parser.next()? {
            match argument {
                Long("seconds") => {
                    let seconds: u64 = parser.value()?.parse()?;
                    if !(1..=MAX_SECONDS).contains(&seconds) {
                        return Err(format!("--seconds must be from 1 to {MAX_SECONDS}").into());
                    }
                    parsed.duration = Duration::from_secs(seconds);
                }
                Long("deadline-ms") => {
                    parsed.deadline = Duration::from_millis(parser.value()?.parse()?);
                }
                Long("json") => parsed.json = true,
                Short('h') | Long("help") => return Ok(None),
                unknown => return Err(unknown.unexpected()),
            }
        }
        if parsed.deadline.is_zero() || parsed.deadline >= parsed.duration {
            return Err("--deadline-ms must be more than 0 and less than --seconds".into());
        }
        Ok(Some(parsed))
    }
}
