//! The merge of documents into entries.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;

use amaranth_core::ids::{AdapterName, EndpointGroupName, ModelName, RuleName, ServiceName};
use toml::Spanned;

use super::adapter_set::expand_names;
use super::error::{FolderError, FolderFault, OtherPlace};
use super::layer::{EntryTable, TableFields};
use super::place::{SourcePlace, SourcePlaces};
use super::tables::{
    AdapterSetTable, AdapterTable, DocumentTable, EndpointTable, LimitsTable, ModelTable,
    PolicyTable, RuleTable, ServiceTable,
};
use super::{MAX_DOCUMENT_BYTES, MAX_DOCUMENTS, MAX_FOLDER_BYTES, SourceDocument};
use crate::catalogue::{EntryField, MAX_ADAPTERS};
use crate::entries::{ConfigEntry, ConfigKey};

/// The entries of all documents with their places, not checked yet.
#[derive(Debug, Default)]
pub(super) struct MergedDocuments {
    pub(super) entries: BTreeMap<ConfigKey, ConfigEntry>,
    pub(super) places: SourcePlaces,
}

/// Merges the documents in the order of their names.
pub(super) fn merge_documents(
    documents: &[SourceDocument],
) -> Result<MergedDocuments, FolderError> {
    check_sizes(documents)?;
    let mut ordered: Vec<_> = documents.iter().cloned().map(Arc::new).collect();
    ordered.sort_by(|left, right| left.name.cmp(&right.name));
    let mut merge = FolderMerge::default();
    for document in ordered {
        merge.add_document(document)?;
    }
    merge.finish()
}

fn check_sizes(documents: &[SourceDocument]) -> Result<(), FolderError> {
    if documents.len() > MAX_DOCUMENTS {
        let message = format!("the folder has more than {MAX_DOCUMENTS} documents");
        return Err(FolderFault::without_place(message).into());
    }
    let large = documents
        .iter()
        .find(|document| document.text.len() > MAX_DOCUMENT_BYTES);
    if let Some(document) = large {
        let name = &document.name;
        let message = format!("{name} has more than {MAX_DOCUMENT_BYTES} bytes");
        return Err(FolderFault::without_place(message).into());
    }
    let total: usize = documents.iter().map(|document| document.text.len()).sum();
    if total > MAX_FOLDER_BYTES {
        let message = format!("the folder has more than {MAX_FOLDER_BYTES} bytes");
        return Err(FolderFault::without_place(message).into());
    }
    Ok(())
}

/// The layers so far.
#[derive(Debug, Default)]
struct FolderMerge {
    models: BTreeMap<ModelName, ModelTable>,
    adapters: BTreeMap<AdapterName, AdapterTable>,
    rules: BTreeMap<RuleName, RuleTable>,
    services: BTreeMap<ServiceName, ServiceTable>,
    endpoints: BTreeMap<EndpointGroupName, EndpointTable>,
    limits: Option<LimitsTable>,
    policy: Option<PolicyTable>,
    report: MergeReport,
}

/// Places and faults.
#[derive(Debug, Default)]
struct MergeReport {
    places: SourcePlaces,
    faults: Vec<FolderFault>,
}

impl FolderMerge {
    fn add_document(&mut self, document: Arc<SourceDocument>) -> Result<(), FolderError> {
        let parsed: DocumentTable = toml::from_str(&document.text).map_err(|error| {
            let span = error.span().unwrap_or_default();
            let document = Arc::clone(&document);
            let place = SourcePlace { document, span };
            FolderFault::at(&place, error.message().to_owned(), None)
        })?;
        let report = &mut self.report;
        // Sets come first, so that the same document may override some of their adapters.
        for (_, set) in parsed.adapter_sets {
            lay_set(&mut self.adapters, set, report, &document);
            if self.adapters.len() > MAX_ADAPTERS {
                let message = format!("the folder has more than {MAX_ADAPTERS} adapters");
                return Err(FolderFault::without_place(message).into());
            }
        }
        lay_all(&mut self.models, parsed.models, report, &document);
        lay_all(&mut self.adapters, parsed.adapters, report, &document);
        lay_all(&mut self.rules, parsed.rules, report, &document);
        lay_all(&mut self.services, parsed.services, report, &document);
        lay_all(&mut self.endpoints, parsed.endpoints, report, &document);
        if let Some(limits) = parsed.limits {
            report.note_section(&ConfigKey::Limits, limits.span(), &document);
            let layers = self.limits.get_or_insert_default();
            layers.lay_over(limits.into_inner());
        }
        if let Some(policy) = parsed.policy {
            report.note_section(&ConfigKey::Policy, policy.span(), &document);
            let layers = self.policy.get_or_insert_default();
            layers.lay_over(policy.into_inner());
        }
        Ok(())
    }

    fn finish(mut self) -> Result<MergedDocuments, FolderError> {
        let mut entries = BTreeMap::new();
        let report = &mut self.report;
        finish_all(&mut entries, self.models, report);
        finish_all(&mut entries, self.adapters, report);
        finish_all(&mut entries, self.rules, report);
        finish_all(&mut entries, self.services, report);
        finish_all(&mut entries, self.endpoints, report);
        if let Some(limits) = self.limits {
            entries.insert(ConfigKey::Limits, ConfigEntry::Limits(limits.into_entry()));
        }
        if let Some(policy) = self.policy {
            entries.insert(ConfigKey::Policy, ConfigEntry::Policy(policy.into_entry()));
        }
        let MergeReport { places, faults } = self.report;
        if faults.is_empty() {
            return Ok(MergedDocuments { entries, places });
        }
        Err(FolderError::collect(faults.len(), faults.into_iter()))
    }
}

/// Lays every table of one kind in one document over the earlier ones.
fn lay_all<N: Ord + Clone, T: EntryTable<Name = N>>(
    layers: &mut BTreeMap<N, T>,
    tables: BTreeMap<Spanned<N>, T>,
    report: &mut MergeReport,
    document: &Arc<SourceDocument>,
) {
    for (name, table) in tables {
        let span = name.span();
        lay(layers, name.into_inner(), span, table, report, document);
    }
}

/// Lays one table over the earlier one of its name, or reports why it can't be.
fn lay<N: Ord + Clone, T: EntryTable<Name = N>>(
    layers: &mut BTreeMap<N, T>,
    name: N,
    span: Range<usize>,
    table: T,
    report: &mut MergeReport,
    document: &Arc<SourceDocument>,
) {
    let key = T::key(&name);
    let place = SourcePlace {
        document: Arc::clone(document),
        span,
    };
    match layers.get_mut(&name) {
        Some(_) if !table.overrides() => report.defined_twice(&key, &place),
        None if table.overrides() => {
            let message = format!("{key} says override = true, but nothing before defines it");
            report.faults.push(FolderFault::at(&place, message, None));
        }
        Some(earlier) => {
            report.note_fields(&key, &table.fields(), document);
            earlier.lay_over(table);
        }
        None => {
            report.note_fields(&key, &table.fields(), document);
            report.places.note(&key, EntryField::Entry, place);
            layers.insert(name, table);
        }
    }
}

/// Lays every adapter that a set stands for.
fn lay_set(
    layers: &mut BTreeMap<AdapterName, AdapterTable>,
    set: AdapterSetTable,
    report: &mut MergeReport,
    document: &Arc<SourceDocument>,
) {
    let span = set.names.span();
    let names = match expand_names(set.names.get_ref()) {
        Ok(names) => names,
        Err(error) => {
            let document = Arc::clone(document);
            let place = SourcePlace { document, span };
            report
                .faults
                .push(FolderFault::at(&place, error.message, None));
            return;
        }
    };
    let table = AdapterTable {
        overrides: false,
        base: Some(set.base),
        versions: Some(set.versions),
        current: set.current,
    };
    for name in names {
        lay(layers, name, span.clone(), table.clone(), report, document);
    }
}

/// Turns the layers of one kind into entries.
fn finish_all<N: Ord + Clone, T: EntryTable<Name = N>>(
    entries: &mut BTreeMap<ConfigKey, ConfigEntry>,
    layers: BTreeMap<N, T>,
    report: &mut MergeReport,
) {
    for (name, table) in layers {
        let key = T::key(&name);
        match table.into_entry(name) {
            Ok(entry) => {
                entries.insert(key, entry);
            }
            Err(missing) => report.missing_field(&key, missing),
        }
    }
}

impl MergeReport {
    fn note_fields(
        &mut self,
        key: &ConfigKey,
        fields: &TableFields,
        document: &Arc<SourceDocument>,
    ) {
        for (field, span) in fields {
            let place = SourcePlace {
                document: Arc::clone(document),
                span: span.clone(),
            };
            self.places.note(key, *field, place);
        }
    }

    fn note_section(
        &mut self,
        key: &ConfigKey,
        span: Range<usize>,
        document: &Arc<SourceDocument>,
    ) {
        let document = Arc::clone(document);
        self.places
            .note(key, EntryField::Entry, SourcePlace { document, span });
    }

    fn defined_twice(&mut self, key: &ConfigKey, place: &SourcePlace) {
        let message = format!("{key} is defined twice; say override = true here if that is meant");
        let other = self
            .places
            .entry(key)
            .map(|earlier| OtherPlace::new(earlier, "it is defined here first"));
        self.faults.push(FolderFault::at(place, message, other));
    }

    fn missing_field(&mut self, key: &ConfigKey, missing: &'static str) {
        let message = format!("{key} lacks {missing:?}");
        let fault = match self.places.entry(key) {
            Some(place) => FolderFault::at(place, message, None),
            None => FolderFault::without_place(message),
        };
        self.faults.push(fault);
    }
}
