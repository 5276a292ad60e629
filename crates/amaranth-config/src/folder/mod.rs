//! The configuration folder: TOML documents of the operators, merged in the order of their names.
//!
//! The rules of the merge:
//!
//! - Documents are merged in the byte order of their names.
//! - An adapter, model, rule, service or endpoint group is defined once. A later document that
//!   defines it again must set `override = true`; the fields that it sets then replace the
//!   earlier ones. A second definition without `override` is an error that shows both
//!   locations, and so is an `override` without an earlier definition.
//! - `[limits]` and `[policy]` are layered: a field in a later document replaces the earlier one.
//! - Unknown keys are errors.
//!
//! The merged entries are validated by the same code that every reader applies to changes.

mod adapter_set;
mod entry_table;
mod error;
mod location;
mod merge;
mod tables;

use std::collections::BTreeMap;
use std::sync::Arc;

use amaranth_core::ids::ConfigRevision;

use crate::catalogue::{Catalogue, ConfigEdit};
use crate::entries::{ConfigEntry, ConfigKey};

pub use error::{FolderError, FolderFault, RelatedLocation};

/// Maximum size of one document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 8 << 20;

/// Maximum total size of all documents, in bytes.
pub const MAX_FOLDER_BYTES: usize = 32 << 20;

/// Maximum number of documents in one folder.
pub const MAX_DOCUMENTS: usize = 4_096;

/// One file of the folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SourceDocument {
    /// The name of the file, which determines the order of the merge.
    pub name: Arc<str>,
    /// The TOML text of the file.
    pub text: Arc<str>,
}

impl SourceDocument {
    /// Creates a document with `name` and `text`.
    pub fn new(name: impl Into<Arc<str>>, text: impl Into<Arc<str>>) -> Self {
        Self {
            name: name.into(),
            text: text.into(),
        }
    }
}

/// The validated entries of a folder.
#[derive(Debug, Clone, Default)]
pub struct ConfigSet {
    entries: BTreeMap<ConfigKey, ConfigEntry>,
}

impl ConfigSet {
    /// Returns the entries in the order of their keys.
    pub fn entries(&self) -> impl Iterator<Item = &ConfigEntry> {
        self.entries.values()
    }

    /// Returns the entry with `key`, if any.
    pub fn entry(&self, key: &ConfigKey) -> Option<&ConfigEntry> {
        self.entries.get(key)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the set contains no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the edits that turn `catalogue` into this set, in the order of their keys.
    pub fn edits_from(&self, catalogue: &Catalogue) -> Vec<ConfigEdit> {
        let removed = catalogue
            .entries()
            .map(|(_, entry)| entry.key())
            .filter(|key| !self.entries.contains_key(key))
            .map(ConfigEdit::Remove);
        let put = self
            .entries
            .iter()
            .filter(|(key, entry)| catalogue.entry(key).as_ref() != Some(entry))
            .map(|(_, entry)| ConfigEdit::Put(entry.clone()));
        let mut edits: Vec<_> = removed.chain(put).collect();
        edits.sort_by_cached_key(ConfigEdit::key);
        edits
    }

    /// Returns a catalogue of `revision` with exactly the entries of this set.
    pub fn to_catalogue(&self, revision: ConfigRevision) -> Catalogue {
        let edits: Vec<_> = self.entries().cloned().map(ConfigEdit::Put).collect();
        Catalogue::default()
            .with_edits(revision, &edits)
            .unwrap_or_default()
    }
}

/// Merges and validates `documents`.
///
/// # Errors
///
/// Returns the faults that were found, each with its document and line and, for a conflict, with
/// the location of the other definition.
pub fn merge(documents: &[SourceDocument]) -> Result<ConfigSet, FolderError> {
    let merged = merge::merge_documents(documents)?;
    let edits: Vec<_> = merged
        .entries
        .values()
        .cloned()
        .map(ConfigEdit::Put)
        .collect();
    match Catalogue::default().with_edits(ConfigRevision(1), &edits) {
        Ok(_) => Ok(ConfigSet {
            entries: merged.entries,
        }),
        Err(problems) => Err(merged.locations.locate(&problems)),
    }
}
