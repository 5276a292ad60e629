//! Where in the documents each entry and field stands.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;

use super::SourceDocument;
use super::error::{FolderError, FolderFault, OtherPlace};
use crate::catalogue::{CatalogueProblem, EntryField};
use crate::entries::ConfigKey;

/// A range of one document.
#[derive(Debug, Clone)]
pub(super) struct SourcePlace {
    pub(super) document: Arc<SourceDocument>,
    pub(super) span: Range<usize>,
}

impl SourcePlace {
    /// Returns the line, counted from 1.
    pub(super) fn line(&self) -> usize {
        let start = self.span.start.min(self.document.text.len());
        let before = &self.document.text.as_bytes()[..start];
        1 + before.iter().filter(|byte| **byte == b'\n').count()
    }
}

/// The places of all entries and fields.
#[derive(Debug, Default)]
pub(super) struct SourcePlaces {
    places: BTreeMap<(ConfigKey, EntryField), SourcePlace>,
}

impl SourcePlaces {
    /// Notes where a field stands, in place of an earlier document's.
    pub(super) fn note(&mut self, key: &ConfigKey, field: EntryField, place: SourcePlace) {
        self.places.insert((key.clone(), field), place);
    }

    /// Returns where the entry was first defined.
    pub(super) fn entry(&self, key: &ConfigKey) -> Option<&SourcePlace> {
        self.places.get(&(key.clone(), EntryField::Entry))
    }

    fn field(&self, key: &ConfigKey, field: EntryField) -> Option<&SourcePlace> {
        self.places
            .get(&(key.clone(), field))
            .or_else(|| self.entry(key))
    }

    /// Shows each problem at its place.
    pub(super) fn explain(&self, problems: &[CatalogueProblem]) -> FolderError {
        let faults = problems.iter().map(|problem| self.fault(problem));
        FolderError::collect(problems.len(), faults)
    }

    fn fault(&self, problem: &CatalogueProblem) -> FolderFault {
        let other = problem
            .other()
            .and_then(|key| self.field(key, problem.field))
            .map(|place| OtherPlace::new(place, "the other one is here"));
        let message = problem.to_string();
        match self.field(&problem.key, problem.field) {
            Some(place) => FolderFault::at(place, message, other),
            None => FolderFault::without_place(message),
        }
    }
}
