//! The faults of a folder, with the places that operators need to see.

use std::fmt;
use std::sync::Arc;

use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode};

use super::place::SourcePlace;

/// Most faults that one check reports.
const MAX_FAULTS: usize = 32;

/// All faults of one folder.
#[derive(Debug)]
pub struct FolderError {
    faults: Vec<FolderFault>,
    omitted: usize,
}

impl FolderError {
    /// Keeps the first of `faults`, of which there are `found`.
    pub(super) fn collect(found: usize, faults: impl Iterator<Item = FolderFault>) -> Self {
        Self {
            faults: faults.take(MAX_FAULTS).collect(),
            omitted: found.saturating_sub(MAX_FAULTS),
        }
    }

    /// Returns the faults in the order in which they were found.
    pub fn faults(&self) -> &[FolderFault] {
        &self.faults
    }
}

impl From<FolderFault> for FolderError {
    fn from(fault: FolderFault) -> Self {
        Self::collect(1, std::iter::once(fault))
    }
}

impl fmt::Display for FolderError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let found = self.faults.len() + self.omitted;
        write!(formatter, "the configuration has {found} fault(s)")?;
        if self.omitted > 0 {
            write!(formatter, ", of which {} are not shown", self.omitted)?;
        }
        Ok(())
    }
}

impl std::error::Error for FolderError {}

impl Diagnostic for FolderError {
    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        Some(Box::new(
            self.faults.iter().map(|fault| fault as &dyn Diagnostic),
        ))
    }
}

/// One fault at one place.
#[derive(Debug)]
pub struct FolderFault {
    message: String,
    place: Option<ShownPlace>,
    other: Option<OtherPlace>,
}

/// The place that a clash is with.
#[derive(Debug)]
pub struct OtherPlace {
    message: String,
    place: ShownPlace,
}

/// A place together with the text that is shown around it.
#[derive(Debug)]
struct ShownPlace {
    document: String,
    line: usize,
    source: NamedSource<Arc<str>>,
    span: LabeledSpan,
}

impl ShownPlace {
    fn new(place: &SourcePlace) -> Self {
        let document = place.document.name.to_string();
        Self {
            line: place.line(),
            source: NamedSource::new(&document, Arc::clone(&place.document.text)),
            span: LabeledSpan::new_with_span(Some("here".to_owned()), place.span.clone()),
            document,
        }
    }
}

impl FolderFault {
    pub(super) fn at(place: &SourcePlace, message: String, other: Option<OtherPlace>) -> Self {
        Self {
            message,
            place: Some(ShownPlace::new(place)),
            other,
        }
    }

    pub(super) const fn without_place(message: String) -> Self {
        Self {
            message,
            place: None,
            other: None,
        }
    }

    /// Returns what is wrong, without the place.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Returns the document and the line, counted from 1.
    pub fn place(&self) -> Option<(&str, usize)> {
        self.place
            .as_ref()
            .map(|place| (place.document.as_str(), place.line))
    }

    /// Returns the document and line of the other place of a clash.
    pub fn other_place(&self) -> Option<(&str, usize)> {
        self.other
            .as_ref()
            .map(|other| (other.place.document.as_str(), other.place.line))
    }
}

impl OtherPlace {
    pub(super) fn new(place: &SourcePlace, message: &str) -> Self {
        Self {
            message: message.to_owned(),
            place: ShownPlace::new(place),
        }
    }
}

impl fmt::Display for FolderFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some((document, line)) = self.place() {
            write!(formatter, "{document}:{line}: ")?;
        }
        formatter.write_str(&self.message)?;
        if let Some((document, line)) = self.other_place() {
            write!(formatter, " (see {document}:{line})")?;
        }
        Ok(())
    }
}

impl std::error::Error for FolderFault {}

impl Diagnostic for FolderFault {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        self.place
            .as_ref()
            .map(|place| &place.source as &dyn SourceCode)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let place = self.place.as_ref()?;
        Some(Box::new(std::iter::once(place.span.clone())))
    }

    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        let other = self.other.as_ref()?;
        Some(Box::new(std::iter::once(other as &dyn Diagnostic)))
    }
}

impl fmt::Display for OtherPlace {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ShownPlace { document, line, .. } = &self.place;
        write!(formatter, "{document}:{line}: {}", self.message)
    }
}

impl std::error::Error for OtherPlace {}

impl Diagnostic for OtherPlace {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.place.source)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        Some(Box::new(std::iter::once(self.place.span.clone())))
    }
}
