//! `explain`: shows recent decisions that name a request, an adapter or an endpoint.

use std::fmt;

use serde::Serialize;

use crate::daemons::{DaemonDecisions, DaemonDirectory};
use crate::error::CommandError;
use crate::exit::ExitStatus;
use crate::output::CommandOutput;
use crate::settings::CtlSettings;

#[derive(Debug, Serialize)]
struct ExplainReport {
    word: String,
    /// The number of daemons that answered.
    #[serde(rename = "asked")]
    answered: usize,
    found: Vec<DaemonDecisions>,
}

impl fmt::Display for ExplainReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for daemon in &self.found {
            for decision in &daemon.decisions {
                writeln!(formatter, "{}: {decision}", daemon.process)?;
            }
        }
        let Self { word, answered, .. } = self;
        let count: usize = self.found.iter().map(|daemon| daemon.decisions.len()).sum();
        write!(
            formatter,
            "{count} decisions name {word:?} at {answered} daemons"
        )
    }
}

/// Searches the recent decisions of the daemons for `word`, and returns [`ExitStatus::Failure`] when
/// none names it.
pub(super) async fn run(
    word: &str,
    settings: &CtlSettings,
    output: &mut CommandOutput,
) -> Result<ExitStatus, CommandError> {
    let decisions = DaemonDirectory::new(settings)?.collect_decisions().await?;
    let answered = decisions.len();
    let found: Vec<_> = decisions
        .into_iter()
        .map(|mut daemon| {
            daemon.decisions.retain(|decision| decision.contains(word));
            daemon
        })
        .filter(|daemon| !daemon.decisions.is_empty())
        .collect();
    let is_empty = found.is_empty();
    output.print(&ExplainReport {
        word: word.to_owned(),
        answered,
        found,
    });
    Ok(if is_empty {
        ExitStatus::Failure
    } else {
        ExitStatus::Success
    })
}
