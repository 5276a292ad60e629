//! The command-line arguments of `amaranth-lab detect`.

use std::ffi::OsString;

use lexopt::prelude::{Long, Short, ValueExt};

/// The text of `--help`.
pub const HELP: &str = "\
amaranth-lab detect: compares failure detectors on the same heartbeats

Usage: amaranth-lab detect [OPTIONS]

Options:
  --seed N   Generates the heartbeats from this seed (default 1)
  --days N   Simulates this many peer-days in each scenario (default 20)
  --json     Prints every point of every curve as JSON
  -h, --help Prints this help
";

/// The arguments of a comparison of failure detectors.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DetectArguments {
    /// The seed that the heartbeats are generated from.
    pub seed: u64,
    /// Number of peer-days in each scenario.
    pub days: u32,
    /// Whether to print JSON instead of a table.
    pub json: bool,
}

impl Default for DetectArguments {
    fn default() -> Self {
        Self {
            seed: 1,
            days: 20,
            json: false,
        }
    }
}

impl DetectArguments {
    /// Parses the arguments after the subcommand; returns `None` if they request help.
    ///
    /// # Errors
    ///
    /// Returns an error that names the unknown or malformed argument.
    pub fn parse(
        arguments: impl IntoIterator<Item = OsString>,
    ) -> Result<Option<Self>, lexopt::Error> {
        let mut parser = lexopt::Parser::from_args(arguments);
        let mut parsed = Self::default();
        while let Some(argument) = parser.next()? {
            match argument {
                Long("seed") => parsed.seed = parser.value()?.parse()?,
                Long("days") => parsed.days = parser.value()?.parse()?,
                Long("json") => parsed.json = true,
                Short('h') | Long("help") => return Ok(None),
                unknown => return Err(unknown.unexpected()),
            }
        }
        if parsed.days == 0 {
            return Err("--days must be 1 or more".into());
        }
        Ok(Some(parsed))
    }
}
