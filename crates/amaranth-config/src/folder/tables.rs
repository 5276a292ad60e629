//! The tables of TOML documents. Most fields are optional, since later documents may override
//! single fields.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use amaranth_core::ids::{
    AdapterName, AdapterVersion, EndpointGroupName, ModelName, RuleName, ServiceName,
};
use amaranth_core::request::RequestPriority;
use amaranth_core::units::{ByteSize, EventRate, TokenCount};
use serde::de::value::SeqAccessDeserializer;
use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use toml::Spanned;

use crate::entries::{CallPattern, NamePattern, PolicyPreset, TargetName};

/// The tables of one document.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub(super) struct DocumentTable {
    pub(super) models: BTreeMap<Spanned<ModelName>, ModelTable>,
    pub(super) adapters: BTreeMap<Spanned<AdapterName>, AdapterTable>,
    pub(super) adapter_sets: BTreeMap<Spanned<String>, AdapterSetTable>,
    pub(super) rules: BTreeMap<Spanned<RuleName>, RuleTable>,
    pub(super) services: BTreeMap<Spanned<ServiceName>, ServiceTable>,
    pub(super) endpoints: BTreeMap<Spanned<EndpointGroupName>, EndpointTable>,
    pub(super) limits: Option<Spanned<LimitsTable>>,
    pub(super) policy: Option<Spanned<PolicyTable>>,
}

/// The table `[models.NAME]`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub(super) struct ModelTable {
    #[serde(rename = "override")]
    pub(super) overrides: bool,
}

/// The table `[adapters.NAME]`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub(super) struct AdapterTable {
    #[serde(rename = "override")]
    pub(super) overrides: bool,
    pub(super) base: Option<Spanned<ModelName>>,
    pub(super) versions: Option<Spanned<Vec<AdapterVersion>>>,
    pub(super) current: Option<Spanned<AdapterVersion>>,
}

/// The table `[adapter-sets.NAME]`, which defines many adapters with numbered names.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(super) struct AdapterSetTable {
    pub(super) names: Spanned<String>,
    pub(super) base: Spanned<ModelName>,
    pub(super) versions: Spanned<Vec<AdapterVersion>>,
    pub(super) current: Option<Spanned<AdapterVersion>>,
}

/// The table `[rules.NAME]`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub(super) struct RuleTable {
    #[serde(rename = "override")]
    pub(super) overrides: bool,
    pub(super) model: Option<Spanned<ModelName>>,
    pub(super) callers: Option<Vec<NamePattern>>,
    pub(super) order: Option<Spanned<u32>>,
    #[serde(rename = "use")]
    pub(super) targets: Option<Spanned<TargetsTable>>,
    pub(super) priority: Option<RequestPriority>,
}

/// The targets of a rule: `use = "name"` or `use = [{ target = "name", weight = 1 }, ...]`.
#[derive(Debug, Clone)]
pub(super) struct TargetsTable(pub(super) Vec<TargetTable>);

/// Weight of a target in the short form `use = "name"`.
const SOLE_WEIGHT: u16 = 1;

impl<'de> Deserialize<'de> for TargetsTable {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(TargetsVisitor)
    }
}

struct TargetsVisitor;

impl<'de> Visitor<'de> for TargetsVisitor {
    type Value = TargetsTable;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a target or a list of { target, weight }")
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<TargetsTable, E> {
        let target = text.parse().map_err(E::custom)?;
        let weight = SOLE_WEIGHT;
        Ok(TargetsTable(vec![TargetTable { target, weight }]))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, list: A) -> Result<TargetsTable, A::Error> {
        Vec::deserialize(SeqAccessDeserializer::new(list)).map(TargetsTable)
    }
}

/// One target of a rule with its weight.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(super) struct TargetTable {
    pub(super) target: TargetName,
    pub(super) weight: u16,
}

/// The table `[services.NAME]`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub(super) struct ServiceTable {
    #[serde(rename = "override")]
    pub(super) overrides: bool,
    pub(super) path: Option<Spanned<Arc<str>>>,
    pub(super) repeatable: Option<Vec<CallPattern>>,
    pub(super) once: Option<Vec<CallPattern>>,
}

/// The table `[endpoints.NAME]`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub(super) struct EndpointTable {
    #[serde(rename = "override")]
    pub(super) overrides: bool,
    pub(super) endpoints: Option<NamePattern>,
    pub(super) checks_orders: Option<bool>,
}

/// The table `[limits]`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub(super) struct LimitsTable {
    pub(super) max_body: Option<ByteSize>,
    pub(super) max_tokens: Option<TokenCount>,
    pub(super) default_deadline: Option<LimitTime>,
    pub(super) max_deadline: Option<LimitTime>,
    pub(super) queue_length: Option<u32>,
    pub(super) key_window: Option<LimitTime>,
    pub(super) store_loads: Option<EventRate>,
    pub(super) loads_in_transit: Option<u16>,
}

/// The table `[policy]`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub(super) struct PolicyTable {
    pub(super) preset: Option<PolicyPreset>,
}

/// Nanoseconds in a millisecond, the unit of times in records.
const NANOS_PER_MILLI: u32 = 1_000_000;

/// A time limit in a form such as `90s`, `5m` or `1h 30m`.
#[derive(Debug, Clone, Copy)]
pub(super) struct LimitTime(pub(super) Duration);

impl<'de> Deserialize<'de> for LimitTime {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let invalid = |reason: &dyn fmt::Display| {
            serde::de::Error::custom(format!("time {text:?}: {reason}"))
        };
        let time = humantime::parse_duration(&text).map_err(|error| invalid(&error))?;
        if time.subsec_nanos() % NANOS_PER_MILLI > 0 {
            return Err(invalid(&"must be whole milliseconds"));
        }
        Ok(Self(time))
    }
}
