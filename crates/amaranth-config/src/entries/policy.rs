//! The objective of placement.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// What placement weighs most.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Default,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum PolicyPreset {
    /// Shortest waits for adapters.
    #[default]
    LoadStalls,
    /// Fullest batches.
    BatchEfficiency,
}

/// The policy of the deployment.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PolicyEntry {
    /// The preset.
    pub preset: PolicyPreset,
}
