//! The two named weightings of load stalls against batch efficiency.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::router::{ColdChoice, CopyChoice, RouterOptions};

/// What placement weighs more.
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
    /// Requests wait for their adapters as little as possible.
    #[default]
    LoadStalls,
    /// Engines fill their batches before others are used.
    BatchEfficiency,
}

impl PolicyPreset {
    /// Returns the router's options.
    pub fn router_options(self) -> RouterOptions {
        match self {
            Self::LoadStalls => RouterOptions::default(),
            Self::BatchEfficiency => RouterOptions {
                copy_choice: CopyChoice::Fullest,
                cold_choice: ColdChoice::Fullest,
                cost_tolerance: 2,
                cold_choices: 4,
                ..RouterOptions::default()
            },
        }
    }
}
