//! The command line of `amaranth-lab config`.

use std::ffi::OsString;
use std::time::Duration;

use lexopt::prelude::{Long, Short, ValueExt};

pub(super) const HELP: &str = "\
amaranth-lab config: measures what configuration costs

Usage: amaranth-lab config [OPTIONS]

Options:
      --adapters N    Adapters of the full catalogue [73000]
      --changes N     Changes whose cost is measured at each size [20000]
      --readers N     Readers that a change has to reach [330]
      --held N        Adapters that each of those readers holds [3000]
      --time TIME     Time for each rate of changes, such as 30s [30s]
      --threads N     Threads of the readers [4]
  -h, --help          Prints this help

Exit status: 0 when the targets are met, 1 when not, 2 for a bad command line.
";

/// What to measure.
#[derive(Debug, Clone)]
pub(super) struct BenchOptions {
    pub(super) adapters: usize,
    /// Sizes of catalogues at which the cost of a change is measured.
    pub(super) sizes: Vec<usize>,
    pub(super) changes: usize,
    pub(super) readers: usize,
    pub(super) held: usize,
    pub(super) time: Duration,
    pub(super) threads: usize,
}

impl Default for BenchOptions {
    fn default() -> Self {
        Self {
            adapters: 73_000,
            sizes: vec![1_000, 10_000, 73_000, 146_000],
            changes: 20_000,
            readers: 330,
            held: 3_000,
            time: Duration::from_secs(30),
            threads: 4,
        }
    }
}

/// What the command line asks for.
#[derive(Debug, Clone)]
pub(super) enum BenchArguments {
    Run(BenchOptions),
    Help,
}

impl BenchArguments {
    pub(super) fn parse(
        arguments: impl IntoIterator<Item = OsString>,
    ) -> Result<Self, lexopt::Error> {
        let mut parser = lexopt::Parser::from_args(arguments);
        let mut options = BenchOptions::default();
        while let Some(argument) = parser.next()? {
            match argument {
                Long("adapters") => options.adapters = parser.value()?.parse()?,
                Long("changes") => options.changes = parser.value()?.parse()?,
                Long("readers") => options.readers = parser.value()?.parse()?,
                Long("held") => options.held = parser.value()?.parse()?,
                Long("time") => {
                    options.time = parser.value()?.parse_with(humantime::parse_duration)?;
                }
                Long("threads") => options.threads = parser.value()?.parse()?,
                Short('h') | Long("help") => return Ok(Self::Help),
                unknown => return Err(unknown.unexpected()),
            }
        }
        Ok(Self::Run(options))
    }
}
