//! The two deployments that are replayed, and their sizes.

use std::time::Duration;

use amaranth_core::units::EventRate;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};

/// A deployment of one of the operators.
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
    /// The deployment of Tokachi Tin Return Co-operative.
    Tokachi,
    /// The deployment of Roata Lutului Group.
    Roata,
}

/// The sizes of one deployment, which the fakes are built with.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DeploymentSize {
    /// Number of model engines.
    pub engines: usize,
    /// Number of regions; engines are assigned to them in turn.
    pub regions: usize,
    /// Number of entries.
    pub entries: usize,
    /// Number of adapters.
    pub adapters: usize,
    /// Number of adapter slots of an engine.
    pub adapter_slots: usize,
    /// Number of batch slots of an engine.
    pub batch_slots: usize,
    /// Number of loads that the weight store allows per second.
    pub load_rate: EventRate,
    /// Median number of tokens that a request generates.
    pub median_output_tokens: f64,
}

/// Time of a load while no more than [`TRANSIT_LIMIT`] loads are in transit.
pub const LOAD_TIME: Duration = Duration::from_millis(250);

/// Largest number of loads in transit at which loads run at full speed.
pub const TRANSIT_LIMIT: usize = 8;

/// Time of one decode step of an empty batch.
pub const STEP_BASE: Duration = Duration::from_millis(15);

/// Time that each further request in the batch adds to a decode step.
pub const STEP_PER_REQUEST: Duration = Duration::from_millis(1);

/// Prompt tokens that an engine prefills in the time of one decode step.
pub const PROMPT_TOKENS_PER_STEP: f64 = 256.0;

/// One-way network delay between an entry and an agent.
pub const HOP_TIME: Duration = Duration::from_millis(2);

/// Time between two load reports of an agent.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Time from a load report until the entries know it.
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
    /// Returns the time of one decode step of a batch of `requests`, in seconds.
    pub fn step_time(&self, requests: usize) -> f64 {
        STEP_BASE.as_secs_f64() + STEP_PER_REQUEST.as_secs_f64() * requests as f64
    }

    /// Returns the number of adapter slots of all engines.
    pub const fn fleet_slots(&self) -> usize {
        self.engines * self.adapter_slots
    }
}
