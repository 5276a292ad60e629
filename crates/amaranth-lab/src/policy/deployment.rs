//! The sizes of the two deployments that the replay runs at.

use std::time::Duration;

use amaranth_core::units::EventRate;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};

/// A deployment of the brief.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    EnumIter,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum DeploymentName {
    /// Tokachi Tin Return Co-operative.
    Tokachi,
    /// Roata Lutului Group.
    Roata,
}

/// What the fakes of one deployment are sized by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DeploymentSize {
    /// Model engines.
    pub engines: usize,
    /// Regions; engines are spread over them in turn.
    pub regions: usize,
    /// Entries.
    pub entries: usize,
    /// Adapters.
    pub adapters: usize,
    /// Adapters that an engine holds at once.
    pub adapter_slots: usize,
    /// Requests that an engine batches at once.
    pub batch_slots: usize,
    /// Loads that the store allows per second.
    pub load_rate: EventRate,
    /// Median of the tokens that a request generates.
    pub median_output_tokens: f64,
}

/// Time of a load while the store is not crowded.
pub const LOAD_TIME: Duration = Duration::from_millis(250);

/// Loads in transit at once before all become slower.
pub const TRANSIT_LIMIT: usize = 8;

/// Time of one decode step of an empty batch.
pub const STEP_BASE: Duration = Duration::from_millis(15);

/// Time that each further request in the batch adds to a decode step.
pub const STEP_PER_REQUEST: Duration = Duration::from_millis(1);

/// Prompt tokens that an engine reads in the time of one decode step.
pub const PROMPT_TOKENS_PER_STEP: f64 = 256.0;

/// One way between an entry and an agent.
pub const HOP_TIME: Duration = Duration::from_millis(2);

/// Time between two load reports of an agent.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Time until a report is known to the entries.
pub const REPORT_LAG: Duration = Duration::from_millis(750);

impl DeploymentName {
    /// Returns the sizes of the deployment.
    pub const fn size(self) -> DeploymentSize {
        match self {
            Self::Tokachi => DeploymentSize {
                engines: 18,
                regions: 3,
                entries: 3,
                adapters: 3_000,
                adapter_slots: 8,
                batch_slots: 16,
                load_rate: EventRate(4.0),
                median_output_tokens: 250.0,
            },
            Self::Roata => DeploymentSize {
                engines: 9,
                regions: 3,
                entries: 3,
                adapters: 3_000,
                adapter_slots: 8,
                batch_slots: 16,
                load_rate: EventRate(2.0),
                median_output_tokens: 500.0,
            },
        }
    }
}

impl DeploymentSize {
    /// Returns the time of one decode step of a batch of `requests`.
    pub fn step_time(&self, requests: usize) -> f64 {
        STEP_BASE.as_secs_f64() + STEP_PER_REQUEST.as_secs_f64() * requests as f64
    }

    /// Returns the adapters that the engines hold at once.
    pub const fn fleet_slots(&self) -> usize {
        self.engines * self.adapter_slots
    }
}
