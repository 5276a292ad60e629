//! The command line that the long-running programs share.

use std::ffi::OsString;
use std::path::PathBuf;

use lexopt::prelude::{Long, Short, ValueExt};

/// What a program says of itself.
#[derive(Debug, Clone, Copy)]
pub struct ProgramInfo {
    /// The program's name.
    pub name: &'static str,
    /// Its version.
    pub version: &'static str,
    /// What it does, in one sentence.
    pub about: &'static str,
    /// An example of its settings, shown by `--help`.
    pub example: &'static str,
}

impl ProgramInfo {
    /// Returns the text of `--help`.
    pub fn help(&self) -> String {
        format!(
            "{name} {version}\n{about}\n\n\
             Usage: {name} --settings FILE [--check]\n\n\
             Options:\n  \
             -s, --settings FILE  Reads the settings from this TOML file\n      \
             --check          Checks the settings and ends\n  \
             -h, --help           Prints this help\n  \
             -V, --version        Prints the version\n\n\
             Exit status: 0 after a graceful shutdown, 1 on a failure, 2 for a bad command line or \
             bad settings.\n\n\
             Settings, for example:\n\n{example}",
            name = self.name,
            version = self.version,
            about = self.about,
            example = self.example,
        )
    }
}

/// What the command line asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProgramArguments {
    /// Run with these settings.
    Run {
        /// The settings file.
        settings: PathBuf,
        /// Whether to check the settings only.
        check: bool,
    },
    /// Print this text and end.
    Print(String),
}

impl ProgramArguments {
    /// Parses the arguments that follow the program's name.
    ///
    /// # Errors
    ///
    /// Returns an error that names the argument that is unknown, incomplete or missing.
    pub fn parse<Arguments>(info: &ProgramInfo, arguments: Arguments) -> Result<Self, lexopt::Error>
    where
        Arguments: IntoIterator<Item = OsString>,
    {
        let mut parser = lexopt::Parser::from_args(arguments);
        let mut settings = None;
        let mut check = false;
        while let Some(argument) = parser.next()? {
            match argument {
                Short('s') | Long("settings") => {
                    settings = Some(PathBuf::from(parser.value()?.string()?));
                }
                Long("check") => check = true,
                Short('h') | Long("help") => return Ok(Self::Print(info.help())),
                Short('V') | Long("version") => {
                    return Ok(Self::Print(format!("{} {}", info.name, info.version)));
                }
                unknown => return Err(unknown.unexpected()),
            }
        }
        let settings = settings.ok_or("--settings FILE is missing; see --help")?;
        Ok(Self::Run { settings, check })
    }
}
