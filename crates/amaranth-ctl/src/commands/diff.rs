//! `diff`: shows what applying a folder would change.

use std::fmt;
use std::path::Path;
use std::sync::Arc;

use amaranth_config::catalogue::{Catalogue, ConfigEdit};
use amaranth_config::folder::ConfigSet;
use amaranth_core::ids::ConfigRevision;
use serde::Serialize;

use super::edit_list::{ListedEdit, list_edits};
use crate::error::CommandError;
use crate::exit::ExitStatus;
use crate::folder_reader::read_folder;
use crate::log_history::LogHistory;
use crate::output::CommandOutput;
use crate::settings::CtlSettings;

/// The edits that a folder makes, and the catalogue that they are based on.
pub(super) struct FolderDelta {
    pub(super) catalogue: Arc<Catalogue>,
    pub(super) edits: Vec<ConfigEdit>,
}

impl FolderDelta {
    /// Computes the edits from the catalogue at `base`, or at the current revision, to the folder.
    pub(super) async fn compute(
        set: &ConfigSet,
        base: Option<ConfigRevision>,
        log: &LogHistory,
    ) -> Result<Self, CommandError> {
        let catalogue = match base {
            Some(base) if base != log.history().revision() => log.catalogue_at(base).await?,
            _ => log.history().catalogue(),
        };
        let edits = set.edits_from(&catalogue);
        Ok(Self { catalogue, edits })
    }

    /// Returns the edits as reports list them.
    pub(super) fn listed(&self) -> Vec<ListedEdit> {
        list_edits(&self.edits, &self.catalogue)
    }

    /// Returns the number of removed entries.
    pub(super) fn deletions(&self) -> usize {
        let removed = self
            .edits
            .iter()
            .filter(|edit| matches!(edit, ConfigEdit::Remove(_)));
        removed.count()
    }
}

#[derive(Debug, Serialize)]
struct DiffReport {
    base: ConfigRevision,
    edits: Vec<ListedEdit>,
}

impl fmt::Display for DiffReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { base, edits } = self;
        writeln!(formatter, "{} edits against revision {base}", edits.len())?;
        edits
            .iter()
            .try_for_each(|edit| writeln!(formatter, "{edit}"))
    }
}

pub(super) async fn run(
    folder: &Path,
    base: Option<ConfigRevision>,
    settings: &CtlSettings,
    output: &mut CommandOutput,
) -> Result<ExitStatus, CommandError> {
    let set = read_folder(folder)?;
    let log = LogHistory::open(settings).await?;
    let delta = FolderDelta::compute(&set, base, &log).await?;
    output.print(&DiffReport {
        base: delta.catalogue.revision(),
        edits: delta.listed(),
    });
    if delta.edits.is_empty() {
        Ok(ExitStatus::Success)
    } else {
        Ok(ExitStatus::Differs)
    }
}
