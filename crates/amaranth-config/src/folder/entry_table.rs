//! Overriding of the fields of earlier tables by later ones, and conversion into entries.

use std::ops::Range;

use amaranth_core::ids::{AdapterName, EndpointGroupName, ModelName, RuleName, ServiceName};
use smallvec::SmallVec;
use toml::Spanned;

use super::tables::{
    AdapterTable, EndpointTable, LimitTime, LimitsTable, ModelTable, PolicyTable, RuleTable,
    ServiceTable,
};
use crate::catalogue::EntryField;
use crate::entries::{
    AdapterEntry, ConfigEntry, ConfigKey, EndpointGroupEntry, LimitsEntry, ModelEntry, PolicyEntry,
    RuleEntry, RuleTarget, ServiceEntry,
};

/// The fields that a table sets, with their byte ranges in the document.
pub(super) type TableFields = SmallVec<[(EntryField, Range<usize>); 4]>;

/// The name of a required field that no table sets.
pub(super) type MissingField = &'static str;

/// A table that defines or overrides one named entry.
pub(super) trait EntryTable: Sized {
    /// The type of the entry's name.
    type Name;

    /// Returns the key of the entry.
    fn key(name: &Self::Name) -> ConfigKey;

    /// Returns whether the table sets `override = true`.
    fn overrides(&self) -> bool;

    /// Returns the fields to whose locations error messages refer.
    fn fields(&self) -> TableFields;

    /// Replaces the fields that `later` sets.
    fn override_with(&mut self, later: Self);

    /// Converts the table into an entry.
    fn into_entry(self, name: Self::Name) -> Result<ConfigEntry, MissingField>;
}

/// Replaces `earlier` when `later` is set.
fn replace<T>(earlier: &mut Option<T>, later: Option<T>) {
    if later.is_some() {
        *earlier = later;
    }
}

fn push_field<T>(fields: &mut TableFields, field: EntryField, value: &Option<Spanned<T>>) {
    if let Some(value) = value {
        fields.push((field, value.span()));
    }
}

fn required<T>(value: Option<Spanned<T>>, name: MissingField) -> Result<T, MissingField> {
    value.map(Spanned::into_inner).ok_or(name)
}

impl EntryTable for ModelTable {
    type Name = ModelName;

    fn key(name: &ModelName) -> ConfigKey {
        ConfigKey::Model(name.clone())
    }

    fn overrides(&self) -> bool {
        self.overrides
    }

    fn fields(&self) -> TableFields {
        TableFields::new()
    }

    fn override_with(&mut self, _later: Self) {}

    fn into_entry(self, name: ModelName) -> Result<ConfigEntry, MissingField> {
        Ok(ConfigEntry::Model(ModelEntry { name }))
    }
}

impl EntryTable for AdapterTable {
    type Name = AdapterName;

    fn key(name: &AdapterName) -> ConfigKey {
        ConfigKey::Adapter(name.clone())
    }

    fn overrides(&self) -> bool {
        self.overrides
    }

    fn fields(&self) -> TableFields {
        let mut fields = TableFields::new();
        push_field(&mut fields, EntryField::Base, &self.base);
        push_field(&mut fields, EntryField::Versions, &self.versions);
        push_field(&mut fields, EntryField::Current, &self.current);
        fields
    }

    fn override_with(&mut self, later: Self) {
        replace(&mut self.base, later.base);
        replace(&mut self.versions, later.versions);
        replace(&mut self.current, later.current);
    }

    fn into_entry(self, name: AdapterName) -> Result<ConfigEntry, MissingField> {
        let versions = required(self.versions, "versions")?;
        // Unless `current` is set, the last version is the current one.
        let current = self.current.map(Spanned::into_inner);
        let current = current.or(versions.last().copied()).unwrap_or_default();
        Ok(ConfigEntry::Adapter(AdapterEntry {
            name,
            base: required(self.base, "base")?,
            versions: versions.into(),
            current,
        }))
    }
}

impl EntryTable for RuleTable {
    type Name = RuleName;

    fn key(name: &RuleName) -> ConfigKey {
        ConfigKey::Rule(name.clone())
    }

    fn overrides(&self) -> bool {
        self.overrides
    }

    fn fields(&self) -> TableFields {
        let mut fields = TableFields::new();
        push_field(&mut fields, EntryField::Model, &self.model);
        push_field(&mut fields, EntryField::Order, &self.order);
        push_field(&mut fields, EntryField::Use, &self.targets);
        fields
    }

    fn override_with(&mut self, later: Self) {
        replace(&mut self.model, later.model);
        replace(&mut self.callers, later.callers);
        replace(&mut self.order, later.order);
        replace(&mut self.targets, later.targets);
        replace(&mut self.priority, later.priority);
    }

    fn into_entry(self, name: RuleName) -> Result<ConfigEntry, MissingField> {
        let targets = required(self.targets, "use")?.0;
        let targets = targets.into_iter().map(|table| RuleTarget {
            name: table.target,
            weight: table.weight,
        });
        Ok(ConfigEntry::Rule(RuleEntry {
            name,
            model: required(self.model, "model")?,
            callers: self.callers.unwrap_or_default(),
            order: self.order.map(Spanned::into_inner).unwrap_or_default(),
            targets: targets.collect(),
            priority: self.priority.unwrap_or_default(),
        }))
    }
}

impl EntryTable for ServiceTable {
    type Name = ServiceName;

    fn key(name: &ServiceName) -> ConfigKey {
        ConfigKey::Service(name.clone())
    }

    fn overrides(&self) -> bool {
        self.overrides
    }

    fn fields(&self) -> TableFields {
        let mut fields = TableFields::new();
        push_field(&mut fields, EntryField::Path, &self.path);
        fields
    }

    fn override_with(&mut self, later: Self) {
        replace(&mut self.path, later.path);
        replace(&mut self.repeatable, later.repeatable);
        replace(&mut self.once, later.once);
    }

    fn into_entry(self, name: ServiceName) -> Result<ConfigEntry, MissingField> {
        Ok(ConfigEntry::Service(ServiceEntry {
            name,
            path: required(self.path, "path")?,
            repeatable: self.repeatable.unwrap_or_default(),
            once: self.once.unwrap_or_default(),
        }))
    }
}

impl EntryTable for EndpointTable {
    type Name = EndpointGroupName;

    fn key(name: &EndpointGroupName) -> ConfigKey {
        ConfigKey::EndpointGroup(name.clone())
    }

    fn overrides(&self) -> bool {
        self.overrides
    }

    fn fields(&self) -> TableFields {
        TableFields::new()
    }

    fn override_with(&mut self, later: Self) {
        replace(&mut self.endpoints, later.endpoints);
        replace(&mut self.checks_orders, later.checks_orders);
    }

    fn into_entry(self, name: EndpointGroupName) -> Result<ConfigEntry, MissingField> {
        Ok(ConfigEntry::EndpointGroup(EndpointGroupEntry {
            name,
            endpoints: self.endpoints.ok_or("endpoints")?,
            checks_orders: self.checks_orders.ok_or("checks-orders")?,
        }))
    }
}

impl LimitsTable {
    /// Replaces the fields that `later` sets.
    pub(super) fn override_with(&mut self, later: Self) {
        replace(&mut self.max_body, later.max_body);
        replace(&mut self.max_tokens, later.max_tokens);
        replace(&mut self.default_deadline, later.default_deadline);
        replace(&mut self.max_deadline, later.max_deadline);
        replace(&mut self.queue_length, later.queue_length);
        replace(&mut self.key_window, later.key_window);
        replace(&mut self.store_loads, later.store_loads);
        replace(&mut self.loads_in_transit, later.loads_in_transit);
    }

    /// Converts the table into an entry, with defaults for the fields that are not set.
    pub(super) fn into_entry(self) -> LimitsEntry {
        let default = LimitsEntry::default();
        let time = |value: Option<LimitTime>, default| value.map_or(default, |time| time.0);
        LimitsEntry {
            max_body: self.max_body.unwrap_or(default.max_body),
            max_tokens: self.max_tokens.unwrap_or(default.max_tokens),
            default_deadline: time(self.default_deadline, default.default_deadline),
            max_deadline: time(self.max_deadline, default.max_deadline),
            queue_length: self.queue_length.unwrap_or(default.queue_length),
            key_window: time(self.key_window, default.key_window),
            store_loads: self.store_loads.unwrap_or(default.store_loads),
            loads_in_transit: self.loads_in_transit.unwrap_or(default.loads_in_transit),
        }
    }
}

impl PolicyTable {
    /// Replaces the fields that `later` sets.
    pub(super) fn override_with(&mut self, later: Self) {
        replace(&mut self.preset, later.preset);
    }

    /// Converts the table into an entry, with defaults for the fields that are not set.
    pub(super) fn into_entry(self) -> PolicyEntry {
        PolicyEntry {
            preset: self.preset.unwrap_or_default(),
        }
    }
}
