//! Locations of entries and fields in the documents.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;

use super::SourceDocument;
use super::error::{FolderError, FolderFault, RelatedLocation};
use crate::catalogue::{CatalogueProblem, EntryField};
use crate::entries::ConfigKey;

/// A range of bytes in one document.
#[derive(Debug, Clone)]
pub(super) struct SourceLocation {
    pub(super) document: Arc<SourceDocument>,
    pub(super) span: Range<usize>,
}

impl SourceLocation {
    /// Returns the line on which the range starts, counted from 1.
    pub(super) fn line(&self) -> usize {
        let start = self.span.start.min(self.document.text.len());
        let before = &self.document.text.as_bytes()[..start];
        1 + before.iter().filter(|byte| **byte == b'\n').count()
    }
}

/// The locations of all entries and fields of a folder.
#[derive(Debug, Default)]
pub(super) struct SourceLocations {
    locations: BTreeMap<(ConfigKey, EntryField), SourceLocation>,
}

impl SourceLocations {
    /// Records the location of a field, which replaces that in an earlier document.
    pub(super) fn record(&mut self, key: &ConfigKey, field: EntryField, location: SourceLocation) {
        self.locations.insert((key.clone(), field), location);
    }

    /// Returns the location of the entry's first definition.
    pub(super) fn entry(&self, key: &ConfigKey) -> Option<&SourceLocation> {
        self.locations.get(&(key.clone(), EntryField::Entry))
    }

    fn field(&self, key: &ConfigKey, field: EntryField) -> Option<&SourceLocation> {
        self.locations
            .get(&(key.clone(), field))
            .or_else(|| self.entry(key))
    }

    /// Returns an error that shows each problem at its location.
    pub(super) fn locate(&self, problems: &[CatalogueProblem]) -> FolderError {
        let faults = problems.iter().map(|problem| self.fault(problem));
        FolderError::collect(problems.len(), faults)
    }

    fn fault(&self, problem: &CatalogueProblem) -> FolderFault {
        let other = problem
            .other()
            .and_then(|key| self.field(key, problem.field))
            .map(|location| RelatedLocation::new(location, "the other entry is defined here"));
        let message = problem.to_string();
        match self.field(&problem.key, problem.field) {
            Some(location) => FolderFault::at(location, message, other),
            None => FolderFault::without_location(message),
        }
    }
}
