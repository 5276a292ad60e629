//! The command line of `amaranth-lab overload`.

use std::ffi::OsString;
use std::time::Duration;

use lexopt::prelude::{Long, Short, ValueExt};

/// The text of `--help`.
pub const HELP: &str = "\
amaranth-lab overload: offers a small fleet up to four times what it can carry

Usage: amaranth-lab overload [OPTIONS]

Options:
  --seconds N      Offers each level for N seconds (default 15)
  --deadline-ms N  Gives each request a deadline of N ms (default 3000)
  --json           Prints JSON in place of the table
  -h, --help       Prints this help
";

/// Longest time for each level, in seconds.
const MAX_SECONDS: u64 = 300;

/// What to offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OverloadArguments {
    /// How long each level is offered.
    pub duration: Duration,
    /// The deadline of each request.
    pub deadline: Duration,
    /// Whether to print JSON.
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
    /// Parses the arguments that follow the subcommand, or nothing if they ask for help.
    ///
    /// # Errors
    ///
    /// Returns an error that names the argument that is unknown or malformed.
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
                        return Err(format!("--seconds must be 1 to {MAX_SECONDS}").into());
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
