//! The command line of the long-running programs.

use std::ffi::OsString;
use std::path::PathBuf;

use lexopt::prelude::{Long, Short, ValueExt};

/// The name, version and help texts of a program.
#[derive(Debug, Clone, Copy)]
pub struct ProgramInfo {
    /// The name of the program.
    pub name: &'static str,
    /// The version of the program.
    pub version: &'static str,
    /// The purpose of the program, in one sentence.
    pub about: &'static str,
    /// An example of a settings file, shown by `--help`.
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
             --check          Checks the settings and exits\n  \
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

/// The action that the command line requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProgramArguments {
    /// Run the program.
    Run {
        /// The path of the settings file.
        settings: PathBuf,
        /// Whether to exit after checking the settings.
        check: bool,
    },
    /// Print this text and exit.
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
