//! The operators' folder: TOML documents merged in the order of their names.
//!
//! The rules of the merge:
//!
//! - Documents are merged in the byte order of their names.
//! - An adapter, model, rule, service or group of endpoints is defined once. A later document
//!   that defines it again must say `override = true`; the fields that it gives then replace
//!   the earlier ones. Without it, and with it where there is nothing to override, the merge
//!   fails and shows both places.
//! - `[limits]` and `[policy]` are layered: a field in a later document replaces the earlier one.
//! - Unknown keys are errors.
//!
//! The outcome is checked as a whole by the same code that rules changes at every reader.

mod adapter_set;
mod error;
mod layer;
mod merge;
mod place;
mod tables;

use std::collections::BTreeMap;
use std::sync::Arc;

use amaranth_core::ids::ConfigRevision;

use crate::catalogue::{Catalogue, ConfigEdit};
use crate::entries::{ConfigEntry, ConfigKey};

pub use error::{FolderError, FolderFault, OtherPlace};

/// Largest document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 8 << 20;

/// Largest sum of all documents, in bytes.
pub const MAX_FOLDER_BYTES: usize = 32 << 20;

/// Most documents of one folder.
pub const MAX_DOCUMENTS: usize = 4_096;

/// One file of the folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SourceDocument {
    /// The name of the file, which decides its place in the order.
    pub name: Arc<str>,
    /// The text.
    pub text: Arc<str>,
}

impl SourceDocument {
    /// Creates a document.
    pub fn new(name: impl Into<Arc<str>>, text: impl Into<Arc<str>>) -> Self {
        Self {
            name: name.into(),
            text: text.into(),
        }
    }
}

/// The entries of a whole folder, checked.
#[derive(Debug, Clone, Default)]
pub struct ConfigSet {
    entries: BTreeMap<ConfigKey, ConfigEntry>,
}

impl ConfigSet {
    /// Returns the entries in the order of their keys.
    pub fn entries(&self) -> impl Iterator<Item = &ConfigEntry> {
        self.entries.values()
    }

    /// Returns the entry with `key`.
    pub fn entry(&self, key: &ConfigKey) -> Option<&ConfigEntry> {
        self.entries.get(key)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no entry.
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

    /// Returns a catalogue of `revision` that holds exactly this set.
    pub fn to_catalogue(&self, revision: ConfigRevision) -> Catalogue {
        let edits: Vec<_> = self.entries().cloned().map(ConfigEdit::Put).collect();
        Catalogue::default()
            .with_edits(revision, &edits)
            .unwrap_or_default()
    }
}

/// Merges and checks `documents`.
///
/// # Errors
///
/// Returns every fault that was found, with its document, line and, for a clash, the other place.
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
        Err(problems) => Err(merged.places.explain(&problems)),
    }
}
