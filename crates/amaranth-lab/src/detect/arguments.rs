//! The command line of `amaranth-lab detect`.

use std::ffi::OsString;

use lexopt::prelude::{Long, Short, ValueExt};

/// The text of `--help`.
pub const HELP: &str = "\
amaranth-lab detect: compares failure detectors on seeded heartbeats

Usage: amaranth-lab detect [OPTIONS]

Options:
  --seed N   Draws the heartbeats from this seed (default 1)
  --days N   Watches this many days of one peer in each scenario (default 20)
  --json     Prints every point of every curve as JSON
  -h, --help Prints this help
";

/// What to compare.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DetectArguments {
    /// The seed of the heartbeats.
    pub seed: u64,
    /// Days of one peer in each scenario.
    pub days: u32,
    /// Whether to print JSON.
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
