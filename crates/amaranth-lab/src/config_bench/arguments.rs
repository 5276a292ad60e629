//! The command-line arguments of `amaranth-lab config`.

use std::ffi::OsString;
use std::time::Duration;

use lexopt::prelude::{Long, Short, ValueExt};

pub(super) const HELP: &str = "\
amaranth-lab config: measures the size and cost of configuration and the time to propagate changes

Usage: amaranth-lab config [OPTIONS]

Options:
      --adapters N    Number of adapters in the full catalogue [73000]
      --changes N     Number of measured changes at each catalogue size [20000]
      --readers N     Number of readers that each change must reach [330]
      --held N        Number of adapters in the catalogue of each reader [3000]
      --time TIME     Duration of the run at each rate of changes, such as 30s [30s]
      --threads N     Number of threads that run the readers [4]
  -h, --help          Prints this help

Exit status: 0 when the targets are met, 1 when not, 2 for a bad command line.
";

/// The sizes and counts of the measurements.
#[derive(Debug, Clone)]
pub(super) struct BenchOptions {
    /// Number of adapters in the full catalogue.
    pub(super) adapters: usize,
    /// Catalogue sizes, in adapters, at which the cost of a change is measured.
    pub(super) sizes: Vec<usize>,
    /// Number of measured changes at each catalogue size.
    pub(super) changes: usize,
    /// Number of readers that each change must reach.
    pub(super) readers: usize,
    /// Number of adapters in the catalogue of each reader.
    pub(super) reader_adapters: usize,
    /// Duration of the run at each rate of changes.
    pub(super) time: Duration,
    /// Number of threads that run the readers.
    pub(super) threads: usize,
}

impl Default for BenchOptions {
    fn default() -> Self {
        Self {
            adapters: 73_000,
            sizes: vec![1_000, 10_000, 73_000, 146_000],
            changes: 20_000,
            readers: 330,
            reader_adapters: 3_000,
            time: Duration::from_secs(30),
            threads: 4,
        }
    }
}

/// The parsed command line.
#[derive(Debug, Clone)]
pub(super) enum BenchArguments {
    /// Runs the measurements.
    Run(BenchOptions),
    /// Prints the help text.
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
                Long("held") => options.reader_adapters = parser.value()?.parse()?,
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
