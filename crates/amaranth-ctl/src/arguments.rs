//! The command line of `amaranthctl`.

use std::ffi::OsString;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use amaranth_core::ids::ConfigRevision;
use amaranth_telemetry::settings;
use lexopt::prelude::{Long, Short, Value, ValueExt};
use strum::{EnumString, IntoEnumIterator};

use crate::error::CommandError;
use crate::exit::ExitStatus;
use crate::settings::CtlSettings;

const HELP: &str = "\
amaranthctl: checks, applies and explains the configuration of amaranthfield

Usage: amaranthctl COMMAND [OPTIONS]

Commands:
  check FOLDER           Merges and checks the folder's .toml files, without any connection
  diff FOLDER            Shows what applying the folder would change
  apply FOLDER           Makes the folder the configuration in force
  status                 Shows every daemon with its revision
  history                Shows the changes that the log retains, with their outcomes
  explain WORD           Shows recent decisions that name a request, adapter or endpoint
  drain NAME             Stops admission at a process, which ends when nothing is in flight

Options of every command:
      --json             Prints one JSON object
      --settings FILE    Reads log_address, vm_list_address, entries and author from this file
      --log ADDRESS      The platform's log
      --vm-list ADDRESS  The platform's list of VMs, from which daemons are found
      --entry ADDRESS    An entry's peer address, from which daemons are found; may be repeated
  -h, --help             Prints this help
  -V, --version          Prints the version

Options of diff and apply:
      --base REVISION    The revision that the folder was made from: later changes by others are
                         kept, and an edit of the same entry is a conflict

Options of apply:
      --author NAME      The author of the change
      --dry-run          Shows the change without applying it
      --yes              Confirms any number of deletions
      --max-deletions P  Percentage of all entries that may be deleted without --yes [10]

Options of apply and drain:
      --wait             Waits until every live daemon reports the revision, or until the drained
                         process has ended
      --timeout TIME     Maximum wait for the log and for daemons, such as 30s [15s]

Options of explain:
      --logs FILE        Follows a call by its id through this log instead of querying daemons;
                         may be repeated

Options of history:
      --limit N          Maximum number of changes to show, newest last [50]
";

/// The action that the command line requests.
#[derive(Debug)]
pub enum ParsedArguments {
    /// Run a command.
    Run(Box<Invocation>),
    /// Print this text and exit.
    Print(String),
}

/// A command with its settings and output format.
#[derive(Debug)]
pub struct Invocation {
    /// The command to run.
    pub command: Command,
    /// The addresses of the log and the daemons.
    pub settings: CtlSettings,
    /// Whether the report is printed as a JSON object.
    pub json: bool,
}

/// A command with its arguments.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// `check`, with the folder.
    Check(PathBuf),
    /// `diff`
    Diff {
        /// The path of the folder.
        folder: PathBuf,
        /// The revision that the folder was made from.
        base: Option<ConfigRevision>,
    },
    /// `apply`
    Apply(ApplyOptions),
    /// `status`
    Status,
    /// `history`
    History {
        /// The maximum number of changes to show.
        limit: usize,
    },
    /// `explain`
    Explain {
        /// The request, adapter or endpoint to search for.
        word: String,
        /// The log files of the processes; if there are none, the daemons are queried.
        logs: Vec<PathBuf>,
    },
    /// `drain`
    Drain(DrainOptions),
}

/// Options of `drain`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainOptions {
    /// The name or address of the process.
    pub name: String,
    /// Whether to wait until the process has ended.
    pub wait: bool,
    /// Maximum wait for the end of the process.
    pub timeout: Duration,
}

/// Options of `apply`.
#[derive(Debug, Clone, PartialEq)]
pub struct ApplyOptions {
    /// The path of the folder.
    pub folder: PathBuf,
    /// The revision that the folder was made from.
    pub base: Option<ConfigRevision>,
    /// Whether the change is shown and not applied.
    pub dry_run: bool,
    /// Whether any number of deletions is confirmed.
    pub confirmed: bool,
    /// Percentage of all entries that may be deleted without confirmation.
    pub max_deletions: f64,
    /// Whether to wait until every daemon reports the revision.
    pub wait: bool,
    /// Maximum wait for the log and for the daemons.
    pub timeout: Duration,
}

/// The name of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "kebab-case")]
enum CommandName {
    Check,
    Diff,
    Apply,
    Status,
    History,
    Explain,
    Drain,
}

/// Default percentage of entries that may be deleted without confirmation.
const DEFAULT_MAX_DELETIONS: f64 = 10.0;

/// Default of `--timeout`: the time within which a change must be in force at every daemon.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);

/// Default maximum number of changes that `history` shows.
const DEFAULT_LIMIT: usize = 50;

/// The parsed words and options, before they are checked for a command.
#[derive(Debug)]
struct OptionValues {
    words: Vec<String>,
    settings: CtlSettings,
    settings_file: Option<PathBuf>,
    json: bool,
    base: Option<ConfigRevision>,
    dry_run: bool,
    confirmed: bool,
    max_deletions: f64,
    wait: bool,
    timeout: Duration,
    limit: usize,
    logs: Vec<PathBuf>,
}

impl Default for OptionValues {
    fn default() -> Self {
        Self {
            words: Vec::new(),
            settings: CtlSettings::default(),
            settings_file: None,
            json: false,
            base: None,
            dry_run: false,
            confirmed: false,
            max_deletions: DEFAULT_MAX_DELETIONS,
            wait: false,
            timeout: DEFAULT_TIMEOUT,
            limit: DEFAULT_LIMIT,
            logs: Vec::new(),
        }
    }
}

impl ParsedArguments {
    /// Parses the arguments that follow the program's name.
    ///
    /// # Errors
    ///
    /// Returns an error that names the argument that is unknown, incomplete or missing.
    pub fn parse(arguments: impl IntoIterator<Item = OsString>) -> Result<Self, CommandError> {
        let mut parser = lexopt::Parser::from_args(arguments);
        let mut values = OptionValues::default();
        while let Some(argument) = parser.next().map_err(usage_error)? {
            match argument {
                Short('h') | Long("help") => return Ok(Self::Print(help())),
                Short('V') | Long("version") => {
                    return Ok(Self::Print(format!(
                        "amaranthctl {}",
                        env!("CARGO_PKG_VERSION")
                    )));
                }
                Value(word) => values.words.push(word.string().map_err(usage_error)?),
                Long(option) => {
                    let option = option.to_owned();
                    values
                        .parse_option(&option, &mut parser)
                        .map_err(usage_error)?;
                }
                unknown @ Short(_) => return Err(usage_error(unknown.unexpected())),
            }
        }
        values.into_invocation().map(Box::new).map(Self::Run)
    }
}

fn usage_error(error: lexopt::Error) -> CommandError {
    CommandError::usage(format!("{error}; see amaranthctl --help"))
}

/// Returns the text of `--help`, with the exit statuses.
fn help() -> String {
    let mut text = format!("{HELP}\nExit status:\n");
    for status in ExitStatus::iter() {
        let number = status as u8;
        writeln!(text, "  {number}  {}", status.meaning())
            .expect("writing to a string never fails");
    }
    text
}

impl OptionValues {
    /// Parses the value of one option.
    fn parse_option(
        &mut self,
        option: &str,
        parser: &mut lexopt::Parser,
    ) -> Result<(), lexopt::Error> {
        match option {
            "json" => self.json = true,
            "settings" => self.settings_file = Some(parser.value()?.into()),
            "log" => self.settings.log_address = Some(parser.value()?.parse()?),
            "vm-list" => self.settings.vm_list_address = Some(parser.value()?.parse()?),
            "entry" => {
                let address: SocketAddr = parser.value()?.parse()?;
                self.settings.entries.push(address);
            }
            "author" => self.settings.author = Some(parser.value()?.parse()?),
            "base" => self.base = Some(parser.value()?.parse()?),
            "dry-run" => self.dry_run = true,
            "yes" => self.confirmed = true,
            "max-deletions" => {
                self.max_deletions = parser.value()?.parse_with(parse_percentage)?;
            }
            "wait" => self.wait = true,
            "timeout" => {
                self.timeout = parser.value()?.parse_with(humantime::parse_duration)?;
            }
            "logs" => self.logs.push(parser.value()?.into()),
            "limit" => self.limit = parser.value()?.parse()?,
            unknown => return Err(Long(unknown).unexpected()),
        }
        Ok(())
    }

    /// Checks the words and options and returns the command.
    fn into_invocation(self) -> Result<Invocation, CommandError> {
        let mut words = self.words.iter().cloned();
        let command = words
            .next()
            .ok_or_else(|| CommandError::usage("a command is missing; see amaranthctl --help"))?;
        let name: CommandName = command.parse().map_err(|_| {
            CommandError::usage(format!(
                "command {command:?} is unknown; see amaranthctl --help"
            ))
        })?;
        let mut operand = |expected: &str| {
            words
                .next()
                .ok_or_else(|| CommandError::usage(format!("{command} needs {expected}")))
        };
        let command = match name {
            CommandName::Check => Command::Check(operand("a folder")?.into()),
            CommandName::Diff => Command::Diff {
                folder: operand("a folder")?.into(),
                base: self.base,
            },
            CommandName::Apply => Command::Apply(self.apply_options(operand("a folder")?.into())),
            CommandName::Status => Command::Status,
            CommandName::History => Command::History { limit: self.limit },
            CommandName::Explain => Command::Explain {
                word: operand("a word to look for")?,
                logs: self.logs.clone(),
            },
            CommandName::Drain => Command::Drain(DrainOptions {
                name: operand("a process or an address")?,
                wait: self.wait,
                timeout: self.timeout,
            }),
        };
        if let Some(surplus) = words.next() {
            let message = format!("argument {surplus:?} is one too many");
            return Err(CommandError::usage(message));
        }
        Ok(Invocation {
            command,
            settings: self.merged_settings()?,
            json: self.json,
        })
    }

    const fn apply_options(&self, folder: PathBuf) -> ApplyOptions {
        ApplyOptions {
            folder,
            base: self.base,
            dry_run: self.dry_run,
            confirmed: self.confirmed,
            max_deletions: self.max_deletions,
            wait: self.wait,
            timeout: self.timeout,
        }
    }

    /// Returns the settings of the options, with missing values read from the settings file.
    fn merged_settings(&self) -> Result<CtlSettings, CommandError> {
        let Some(path) = &self.settings_file else {
            return Ok(self.settings.clone());
        };
        let fallback: CtlSettings = settings::read(path).map_err(|error| CommandError {
            status: ExitStatus::Usage,
            report: error.into(),
            faults: Vec::new(),
        })?;
        Ok(self.settings.clone().or(fallback))
    }
}

fn parse_percentage(text: &str) -> Result<f64, String> {
    let number = text.strip_suffix('%').unwrap_or(text);
    match number.parse::<f64>() {
        Ok(percentage) if (0.0..=100.0).contains(&percentage) => Ok(percentage),
        _ => Err(format!("{text:?} is not a percentage from 0 to 100")),
    }
}
