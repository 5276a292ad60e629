//! Generates configuration folders, histories and changes of a given size.

use amaranth_config::catalogue::{Catalogue, ConfigEdit};
use amaranth_config::change::{ChangeOrigin, ConfigChange};
use amaranth_config::entries::{AdapterEntry, ConfigEntry, ConfigKey};
use amaranth_config::folder::{ConfigSet, SourceDocument, merge};
use amaranth_config::history::{ConfigHistory, RecordOutcome};
use amaranth_core::ids::{AdapterName, AdapterVersion};
use bytes::Bytes;

/// Number of adapters in one document.
const DOCUMENT_ADAPTERS: usize = 5_000;

/// Largest number of entries in one change.
const MAX_CHANGE_ENTRIES: usize = 50_000;

/// Returns the documents of a folder in which every adapter has its own entry.
pub(super) fn folder_documents(adapters: usize) -> Vec<SourceDocument> {
    let mut documents = vec![SourceDocument::new(
        "00-models.toml",
        "[models.base-model]\n",
    )];
    for first in (0..adapters).step_by(DOCUMENT_ADAPTERS) {
        let last = adapters.min(first + DOCUMENT_ADAPTERS);
        let text: String = (first..last)
            .map(|number| {
                let name = adapter_name(number);
                format!("[adapters.{name}]\nbase = \"base-model\"\nversions = [1, 2]\n")
            })
            .collect();
        documents.push(SourceDocument::new(format!("10-{first:06}.toml"), text));
    }
    documents
}

/// Returns the configuration of a folder with `adapters` adapters.
pub(super) fn config_set(adapters: usize) -> ConfigSet {
    merge(&folder_documents(adapters)).expect("the folder is valid")
}

/// Returns a history with `adapters` adapters, split into several changes because the size of a log
/// record is limited.
pub(super) fn history_of(adapters: usize) -> ConfigHistory {
    let set = config_set(adapters);
    let edits: Vec<_> = set.entries().cloned().map(ConfigEdit::Put).collect();
    let mut history = ConfigHistory::new();
    for edits in edits.chunks(MAX_CHANGE_ENTRIES) {
        let change = ConfigChange {
            origin: origin(0),
            base: history.revision(),
            edits: edits.to_vec(),
        };
        let record = change.into_record().expect("the record fits the log");
        let outcome = history.apply_record(history.next_offset(), &record);
        assert!(matches!(outcome, RecordOutcome::Accepted(_)), "{outcome:?}");
    }
    history
}

/// Returns the record of a change from an empty catalogue to `set`.
pub(super) fn full_record(set: &ConfigSet) -> Bytes {
    ConfigChange::between(&Catalogue::default(), set, origin(0))
        .into_record()
        .expect("the record fits the log")
}

/// Returns the record of a change that adds a version to one adapter and makes it current.
pub(super) fn version_change(catalogue: &Catalogue, adapter: usize, number: u64) -> Bytes {
    let name = adapter_name(adapter);
    let name: AdapterName = name.parse().expect("the name is valid");
    let key = ConfigKey::Adapter(name);
    let Some(ConfigEntry::Adapter(entry)) = catalogue.entry(&key) else {
        panic!("{key} is in the catalogue");
    };
    let next = AdapterVersion(entry.current.0 + 1);
    let changed = AdapterEntry {
        versions: [entry.current, next].into_iter().collect(),
        current: next,
        ..entry
    };
    let change = ConfigChange {
        origin: origin(number),
        base: catalogue.revision(),
        edits: vec![ConfigEdit::Put(ConfigEntry::Adapter(changed))],
    };
    change.into_record().expect("the record is small")
}

fn adapter_name(number: usize) -> String {
    format!("depot-{number:06}-manifest")
}

fn origin(number: u64) -> ChangeOrigin {
    ChangeOrigin {
        author: "operator".parse().expect("the name is valid"),
        stated_at_ms: number,
    }
}
