//! Merging of documents into entries.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;

use amaranth_core::ids::{AdapterName, EndpointGroupName, ModelName, RuleName, ServiceName};
use toml::Spanned;

use super::adapter_set::expand_names;
use super::entry_table::{EntryTable, TableFields};
use super::error::{FolderError, FolderFault, RelatedLocation};
use super::location::{SourceLocation, SourceLocations};
use super::tables::{
    AdapterSetTable, AdapterTable, DocumentTable, EndpointTable, LimitsTable, ModelTable,
    PolicyTable, RuleTable, ServiceTable,
};
use super::{MAX_DOCUMENT_BYTES, MAX_DOCUMENTS, MAX_FOLDER_BYTES, SourceDocument};
use crate::catalogue::{EntryField, MAX_ADAPTERS};
use crate::entries::{ConfigEntry, ConfigKey};

/// The entries of all documents with their locations, before validation.
#[derive(Debug, Default)]
pub(super) struct MergedDocuments {
    pub(super) entries: BTreeMap<ConfigKey, ConfigEntry>,
    pub(super) locations: SourceLocations,
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
        return Err(FolderFault::without_location(message).into());
    }
    let large = documents
        .iter()
        .find(|document| document.text.len() > MAX_DOCUMENT_BYTES);
    if let Some(document) = large {
        let name = &document.name;
        let message = format!("{name} has more than {MAX_DOCUMENT_BYTES} bytes");
        return Err(FolderFault::without_location(message).into());
    }
    let total: usize = documents.iter().map(|document| document.text.len()).sum();
    if total > MAX_FOLDER_BYTES {
        let message = format!("the folder has more than {MAX_FOLDER_BYTES} bytes");
        return Err(FolderFault::without_location(message).into());
    }
    Ok(())
}

/// The tables of the documents that were merged so far.
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

/// The locations and faults found during a merge.
#[derive(Debug, Default)]
struct MergeReport {
    locations: SourceLocations,
    faults: Vec<FolderFault>,
}

impl FolderMerge {
    fn add_document(&mut self, document: Arc<SourceDocument>) -> Result<(), FolderError> {
        let parsed: DocumentTable = toml::from_str(&document.text).map_err(|error| {
            let span = error.span().unwrap_or_default();
            let document = Arc::clone(&document);
            let location = SourceLocation { document, span };
            FolderFault::at(&location, error.message().to_owned(), None)
        })?;
        let report = &mut self.report;
        // Sets are merged first, so that the same document may override some of their adapters.
        for (_, set) in parsed.adapter_sets {
            merge_adapter_set(&mut self.adapters, set, report, &document);
            if self.adapters.len() > MAX_ADAPTERS {
                let message = format!("the folder has more than {MAX_ADAPTERS} adapters");
                return Err(FolderFault::without_location(message).into());
            }
        }
        merge_tables(&mut self.models, parsed.models, report, &document);
        merge_tables(&mut self.adapters, parsed.adapters, report, &document);
        merge_tables(&mut self.rules, parsed.rules, report, &document);
        merge_tables(&mut self.services, parsed.services, report, &document);
        merge_tables(&mut self.endpoints, parsed.endpoints, report, &document);
        if let Some(limits) = parsed.limits {
            report.record_section(&ConfigKey::Limits, limits.span(), &document);
            let merged = self.limits.get_or_insert_default();
            merged.override_with(limits.into_inner());
        }
        if let Some(policy) = parsed.policy {
            report.record_section(&ConfigKey::Policy, policy.span(), &document);
            let merged = self.policy.get_or_insert_default();
            merged.override_with(policy.into_inner());
        }
        Ok(())
    }

    fn finish(mut self) -> Result<MergedDocuments, FolderError> {
        let mut entries = BTreeMap::new();
        let report = &mut self.report;
        convert_tables(&mut entries, self.models, report);
        convert_tables(&mut entries, self.adapters, report);
        convert_tables(&mut entries, self.rules, report);
        convert_tables(&mut entries, self.services, report);
        convert_tables(&mut entries, self.endpoints, report);
        if let Some(limits) = self.limits {
            entries.insert(ConfigKey::Limits, ConfigEntry::Limits(limits.into_entry()));
        }
        if let Some(policy) = self.policy {
            entries.insert(ConfigKey::Policy, ConfigEntry::Policy(policy.into_entry()));
        }
        let MergeReport { locations, faults } = self.report;
        if faults.is_empty() {
            return Ok(MergedDocuments { entries, locations });
        }
        Err(FolderError::collect(faults.len(), faults.into_iter()))
    }
}

/// Merges all tables of one kind in one document into the earlier ones.
fn merge_tables<N: Ord + Clone, T: EntryTable<Name = N>>(
    merged: &mut BTreeMap<N, T>,
    tables: BTreeMap<Spanned<N>, T>,
    report: &mut MergeReport,
    document: &Arc<SourceDocument>,
) {
    for (name, table) in tables {
        let span = name.span();
        merge_table(merged, name.into_inner(), span, table, report, document);
    }
}

/// Merges one table into the earlier one of the same name, or reports the fault.
fn merge_table<N: Ord + Clone, T: EntryTable<Name = N>>(
    merged: &mut BTreeMap<N, T>,
    name: N,
    span: Range<usize>,
    table: T,
    report: &mut MergeReport,
    document: &Arc<SourceDocument>,
) {
    let key = T::key(&name);
    let location = SourceLocation {
        document: Arc::clone(document),
        span,
    };
    match merged.get_mut(&name) {
        Some(_) if !table.overrides() => report.report_duplicate(&key, &location),
        None if table.overrides() => {
            let message = format!("{key} sets override = true, but no earlier document defines it");
            report
                .faults
                .push(FolderFault::at(&location, message, None));
        }
        Some(earlier) => {
            report.record_fields(&key, &table.fields(), document);
            earlier.override_with(table);
        }
        None => {
            report.record_fields(&key, &table.fields(), document);
            report.locations.record(&key, EntryField::Entry, location);
            merged.insert(name, table);
        }
    }
}

/// Merges every adapter of an adapter set.
fn merge_adapter_set(
    merged: &mut BTreeMap<AdapterName, AdapterTable>,
    set: AdapterSetTable,
    report: &mut MergeReport,
    document: &Arc<SourceDocument>,
) {
    let span = set.names.span();
    let names = match expand_names(set.names.get_ref()) {
        Ok(names) => names,
        Err(error) => {
            let document = Arc::clone(document);
            let location = SourceLocation { document, span };
            report
                .faults
                .push(FolderFault::at(&location, error.message, None));
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
        merge_table(merged, name, span.clone(), table.clone(), report, document);
    }
}

/// Converts the merged tables of one kind into entries.
fn convert_tables<N: Ord + Clone, T: EntryTable<Name = N>>(
    entries: &mut BTreeMap<ConfigKey, ConfigEntry>,
    tables: BTreeMap<N, T>,
    report: &mut MergeReport,
) {
    for (name, table) in tables {
        let key = T::key(&name);
        match table.into_entry(name) {
            Ok(entry) => {
                entries.insert(key, entry);
            }
            Err(missing) => report.report_missing_field(&key, missing),
        }
    }
}

impl MergeReport {
    fn record_fields(
        &mut self,
        key: &ConfigKey,
        fields: &TableFields,
        document: &Arc<SourceDocument>,
    ) {
        for (field, span) in fields {
            let location = SourceLocation {
                document: Arc::clone(document),
                span: span.clone(),
            };
            self.locations.record(key, *field, location);
        }
    }

    fn record_section(
        &mut self,
        key: &ConfigKey,
        span: Range<usize>,
        document: &Arc<SourceDocument>,
    ) {
        let document = Arc::clone(document);
        self.locations
            .record(key, EntryField::Entry, SourceLocation { document, span });
    }

    fn report_duplicate(&mut self, key: &ConfigKey, location: &SourceLocation) {
        let message = format!("{key} is defined twice; set override = true here to override it");
        let other = self
            .locations
            .entry(key)
            .map(|earlier| RelatedLocation::new(earlier, "the first definition is here"));
        self.faults.push(FolderFault::at(location, message, other));
    }

    fn report_missing_field(&mut self, key: &ConfigKey, missing: &'static str) {
        let message = format!("{key} lacks the required field {missing:?}");
        let fault = match self.locations.entry(key) {
            Some(location) => FolderFault::at(location, message, None),
            None => FolderFault::without_location(message),
        };
        self.faults.push(fault);
    }
}
