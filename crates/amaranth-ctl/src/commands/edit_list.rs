//! The edits of a change as reports list them.

use std::fmt;

use amaranth_config::catalogue::{Catalogue, ConfigEdit};
use amaranth_config::entries::ConfigEntry;
use serde::Serialize;
use serde_json::{Map, Value};
use strum::Display;

/// The action of an edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Display)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub(super) enum EditAction {
    Add,
    Change,
    Remove,
}

/// One field that an edit changes, with its values before and after.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(super) struct ChangedField {
    field: String,
    before: Value,
    after: Value,
}

/// One edit as reports list it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(super) struct ListedEdit {
    action: EditAction,
    key: String,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    fields: Vec<ChangedField>,
}

impl ListedEdit {
    fn of(edit: &ConfigEdit, catalogue: &Catalogue) -> Self {
        let key = edit.key();
        let before = catalogue.entry(&key);
        let (action, fields) = match (&before, edit) {
            (_, ConfigEdit::Remove(_)) => (EditAction::Remove, Vec::new()),
            (None, ConfigEdit::Put(_)) => (EditAction::Add, Vec::new()),
            (Some(before), ConfigEdit::Put(after)) => {
                (EditAction::Change, changed_fields(before, after))
            }
        };
        Self {
            action,
            key: key.to_string(),
            fields,
        }
    }
}

impl fmt::Display for ListedEdit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.action {
            EditAction::Add => '+',
            EditAction::Change => '~',
            EditAction::Remove => '-',
        };
        write!(formatter, "{sign} {}", self.key)?;
        for ChangedField {
            field,
            before,
            after,
        } in &self.fields
        {
            write!(formatter, " {field}: {before} -> {after}")?;
        }
        Ok(())
    }
}

/// Lists `edits`, with changed fields compared to the catalogue that the edits are based on.
pub(super) fn list_edits(edits: &[ConfigEdit], catalogue: &Catalogue) -> Vec<ListedEdit> {
    edits
        .iter()
        .map(|edit| ListedEdit::of(edit, catalogue))
        .collect()
}

fn changed_fields(before: &ConfigEntry, after: &ConfigEntry) -> Vec<ChangedField> {
    let earlier = fields_of(before);
    fields_of(after)
        .into_iter()
        .filter(|(field, value)| earlier.get(field) != Some(value))
        .map(|(field, after)| ChangedField {
            before: earlier.get(&field).cloned().unwrap_or_default(),
            after,
            field,
        })
        .collect()
}

/// Returns the fields of an entry, without the name of its variant.
fn fields_of(entry: &ConfigEntry) -> Map<String, Value> {
    let Ok(Value::Object(variant)) = serde_json::to_value(entry) else {
        return Map::new();
    };
    match variant.into_iter().next() {
        Some((_, Value::Object(fields))) => fields,
        _ => Map::new(),
    }
}
