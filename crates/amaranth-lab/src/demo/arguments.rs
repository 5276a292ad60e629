//! Command line of `amaranth-lab demo`.

use std::ffi::OsString;
use std::time::Duration;

use lexopt::prelude::{Long, Short, ValueExt};
use log::LevelFilter;
use strum::IntoEnumIterator;

use crate::fleet::shape::Deployment;

/// Text of `--help`.
pub const HELP: &str = "\
amaranth-lab demo: runs small fleets of both deployments in this process on loopback

Usage: amaranth-lab demo [OPTIONS]

Options:
      --deployment NAME  Runs only this deployment, tokachi or roata
      --seconds N        Sends calls for N seconds for each deployment (default 8)
      --seed N           Seeds the generator of calls with N (default 1)
      --log LEVEL        Logs events of this level and above to standard error (default off)
      --keep             Keeps one fleet running until Ctrl-C and prints commands to paste
  -h, --help             Prints this help

Exit status: 0 when every promise held, 1 when one was violated or a run failed,
2 for a bad command line.
";

/// Default of `--seconds`.
const DEFAULT_SECONDS: u64 = 8;

/// Maximum of `--seconds`.
const MAX_SECONDS: u64 = 600;

/// Options of the demo.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DemoArguments {
    /// Deployments to run.
    pub deployments: Vec<Deployment>,
    /// Time for which calls are sent to each deployment.
    pub duration: Duration,
    /// Seed of the generator of calls.
    pub seed: u64,
    /// Whether one fleet runs until a shutdown signal, without a scenario.
    pub keep: bool,
    /// Lowest level of events that are logged.
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

/// Command that the command line selects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DemoCommand {
    /// Runs the demo with these options.
    Run(DemoArguments),
    /// Prints the help text.
    Help,
}

impl DemoArguments {
    /// Parses the arguments that follow `demo`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the unknown argument or the invalid value.
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
                        return Err(format!("--seconds must be from 1 to {MAX_SECONDS}").into());
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
