//! The command line of the demo.

use std::ffi::OsString;
use std::time::Duration;

use lexopt::prelude::{Long, Short, ValueExt};
use log::LevelFilter;
use strum::IntoEnumIterator;

use crate::fleet::shape::Deployment;

/// The text of `--help`.
pub const HELP: &str = "\
amaranth-lab demo: runs both deployments' shapes in this process on loopback

Usage: amaranth-lab demo [OPTIONS]

Options:
      --deployment NAME  Runs tokachi or roata only
      --seconds N        Sends calls for N seconds for each deployment (default 8)
      --seed N           Draws the calls from this seed (default 1)
      --log LEVEL        Logs events of this level and above to standard error (default off)
      --keep             Leaves one fleet up until Ctrl-C and prints lines to paste
  -h, --help             Prints this help

Exit status: 0 when every promise held, 1 when one broke, 2 for a bad command line.
";

/// How long calls are sent unless the command line says otherwise.
const DEFAULT_SECONDS: u64 = 8;

/// Longest run, in seconds.
const MAX_SECONDS: u64 = 600;

/// The options of the demo.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DemoArguments {
    /// The deployments to run.
    pub deployments: Vec<Deployment>,
    /// How long calls are sent for each.
    pub duration: Duration,
    /// The seed.
    pub seed: u64,
    /// Whether the fleet stays up.
    pub keep: bool,
    /// The least important events that are logged.
    pub log_level: LevelFilter,
}

impl Default for DemoArguments {
    fn default() -> Self {
        Self {
            deployments: Deployment::iter().collect(),
            duration: Duration::from_secs(DEFAULT_SECONDS),
            seed: 1,
            keep: false,
            log_level: LevelFilter::Off,
        }
    }
}

/// What the command line asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DemoCommand {
    /// Run with these options.
    Run(DemoArguments),
    /// Print the help.
    Help,
}

impl DemoArguments {
    /// Parses the words behind `demo`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the argument that is unknown or has a bad value.
    pub fn parse(
        arguments: impl IntoIterator<Item = OsString>,
    ) -> Result<DemoCommand, lexopt::Error> {
        let mut parsed = Self::default();
        let mut parser = lexopt::Parser::from_args(arguments);
        while let Some(argument) = parser.next()? {
            match argument {
                Long("deployment") => parsed.deployments = vec![parser.value()?.parse()?],
                Long("seconds") => {
                    let seconds: u64 = parser.value()?.parse()?;
                    if !(1..=MAX_SECONDS).contains(&seconds) {
                        return Err(format!("--seconds must be 1 to {MAX_SECONDS}").into());
                    }
                    parsed.duration = Duration::from_secs(seconds);
                }
                Long("seed") => parsed.seed = parser.value()?.parse()?,
                Long("log") => parsed.log_level = parser.value()?.parse()?,
                Long("keep") => parsed.keep = true,
                Short('h') | Long("help") => return Ok(DemoCommand::Help),
                unknown => return Err(unknown.unexpected()),
            }
        }
        Ok(DemoCommand::Run(parsed))
    }
}
