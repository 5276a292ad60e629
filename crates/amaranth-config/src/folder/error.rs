//! Errors in the documents of a folder, with their locations.

use std::fmt;
use std::sync::Arc;

use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode};

use super::location::SourceLocation;

/// Maximum number of faults that one error lists.
const MAX_FAULTS: usize = 32;

/// The faults found in a folder.
#[derive(Debug)]
pub struct FolderError {
    faults: Vec<FolderFault>,
    omitted: usize,
}

impl FolderError {
    /// Collects the first of `faults`, whose total number is `total`.
    pub(super) fn collect(total: usize, faults: impl Iterator<Item = FolderFault>) -> Self {
        Self {
            faults: faults.take(MAX_FAULTS).collect(),
            omitted: total.saturating_sub(MAX_FAULTS),
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
        let total = self.faults.len() + self.omitted;
        write!(formatter, "the configuration has {total} fault(s)")?;
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

/// One fault in a folder, with its location if it has one.
#[derive(Debug)]
pub struct FolderFault {
    message: String,
    location: Option<SourceExcerpt>,
    related: Option<RelatedLocation>,
}

/// The location of another definition that a fault refers to.
#[derive(Debug)]
pub struct RelatedLocation {
    message: String,
    location: SourceExcerpt,
}

/// A location with the document's text, an excerpt of which is shown.
#[derive(Debug)]
struct SourceExcerpt {
    document: String,
    line: usize,
    source: NamedSource<Arc<str>>,
    span: LabeledSpan,
}

impl SourceExcerpt {
    fn new(location: &SourceLocation) -> Self {
        let document = location.document.name.to_string();
        Self {
            line: location.line(),
            source: NamedSource::new(&document, Arc::clone(&location.document.text)),
            span: LabeledSpan::new_with_span(Some("here".to_owned()), location.span.clone()),
            document,
        }
    }
}

impl FolderFault {
    pub(super) fn at(
        location: &SourceLocation,
        message: String,
        related: Option<RelatedLocation>,
    ) -> Self {
        Self {
            message,
            location: Some(SourceExcerpt::new(location)),
            related,
        }
    }

    pub(super) const fn without_location(message: String) -> Self {
        Self {
            message,
            location: None,
            related: None,
        }
    }

    /// Returns the description of the fault, without the location.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Returns the document and the line, counted from 1, of the fault.
    pub fn location(&self) -> Option<(&str, usize)> {
        self.location
            .as_ref()
            .map(|location| (location.document.as_str(), location.line))
    }

    /// Returns the document and the line, counted from 1, of the other definition.
    pub fn related_location(&self) -> Option<(&str, usize)> {
        self.related
            .as_ref()
            .map(|related| (related.location.document.as_str(), related.location.line))
    }
}

impl RelatedLocation {
    pub(super) fn new(location: &SourceLocation, message: &str) -> Self {
        Self {
            message: message.to_owned(),
            location: SourceExcerpt::new(location),
        }
    }
}

impl fmt::Display for FolderFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some((document, line)) = self.location() {
            write!(formatter, "{document}:{line}: ")?;
        }
        formatter.write_str(&self.message)?;
        if let Some((document, line)) = self.related_location() {
            write!(formatter, " (see {document}:{line})")?;
        }
        Ok(())
    }
}

impl std::error::Error for FolderFault {}

impl Diagnostic for FolderFault {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        self.location
            .as_ref()
            .map(|location| &location.source as &dyn SourceCode)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let location = self.location.as_ref()?;
        Some(Box::new(std::iter::once(location.span.clone())))
    }

    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        let related = self.related.as_ref()?;
        Some(Box::new(std::iter::once(related as &dyn Diagnostic)))
    }
}

impl fmt::Display for RelatedLocation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SourceExcerpt { document, line, .. } = &self.location;
        write!(formatter, "{document}:{line}: {}", self.message)
    }
}

impl std::error::Error for RelatedLocation {}

impl Diagnostic for RelatedLocation {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.location.source)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        Some(Box::new(std::iter::once(self.location.span.clone())))
    }
}
