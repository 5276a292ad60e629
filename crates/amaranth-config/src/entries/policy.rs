//! The objective of adapter placement.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// The objective that placement favours.
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
    /// Shortest waits for adapter loads.
    #[default]
    LoadStalls,
    /// Fullest batches on the engines.
    BatchEfficiency,
}

/// The placement policy of the deployment.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PolicyEntry {
    /// The objective of placement.
    pub preset: PolicyPreset,
}
