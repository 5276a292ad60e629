//! Policy presets, which trade load stalls against batch efficiency.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::router::{ColdPolicy, CopyPolicy, RouterOptions};

/// The goal that placement favours.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Default,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    EnumIter,
    IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum PolicyPreset {
    /// Requests wait as little as possible for their adapters.
    #[default]
    LoadStalls,
    /// Batches are filled on one engine before another engine is used.
    BatchEfficiency,
}

impl PolicyPreset {
    /// Returns the router options of the preset.
    pub fn router_options(self) -> RouterOptions {
        match self {
            Self::LoadStalls => RouterOptions::default(),
            Self::BatchEfficiency => RouterOptions {
                copy_policy: CopyPolicy::MostLoaded,
                cold_policy: ColdPolicy::MostLoaded,
                cost_tolerance: 2,
                cold_candidates: 4,
                ..RouterOptions::default()
            },
        }
    }
}
