//! The shapes of the two deployments, at the sizes that the brief states.

use std::time::Duration;

use amaranth_core::ids::{DataCentreName, ModelName, RegionName, ServiceName};
use amaranth_core::units::EventRate;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// One of the two deployments.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Deployment {
    /// Tokachi Tin Return Co-operative.
    Tokachi,
    /// Roata Lutului Group.
    Roata,
}

/// A data centre and its region.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DataCentreShape {
    /// The data centre.
    pub name: DataCentreName,
    /// Its region.
    pub region: RegionName,
}

/// The shape of a deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct DeploymentShape {
    /// Which one.
    pub deployment: Deployment,
    /// The base model.
    pub base: ModelName,
    /// The data centres, one in each region.
    pub data_centres: Vec<DataCentreShape>,
    /// Engines, spread evenly over the data centres.
    pub engines: usize,
    /// The plain service.
    pub service: ServiceName,
    /// Its instances, spread evenly over the data centres.
    pub service_instances: usize,
    /// Adapters in the configuration.
    pub adapters: u32,
    /// Loads that the weight store starts per second.
    pub store_rate: EventRate,
    /// Adapters that an engine holds at once.
    pub adapter_slots: u16,
    /// Requests that an engine batches at once.
    pub batch_slots: u16,
    /// Time of one step of a batch.
    pub step_time: Duration,
    /// The name of the policy preset.
    pub preset: &'static str,
}

/// Adapters that each deployment configures. Source: the brief's "about 3,000".
const ADAPTERS: u32 = 3_000;

/// Time of one step of an engine's batch.
const STEP_TIME: Duration = Duration::from_millis(10);

/// Parses a name that is written in this module.
fn name<Name: std::str::FromStr<Err = amaranth_core::Error>>(text: &str) -> Name {
    text.parse().expect("names in this module are valid")
}

fn data_centre(data_centre: &str, region: &str) -> DataCentreShape {
    DataCentreShape {
        name: name(data_centre),
        region: name(region),
    }
}

impl DeploymentShape {
    /// Returns the shape of `deployment`.
    pub fn of(deployment: Deployment) -> Self {
        match deployment {
            Deployment::Tokachi => Self::tokachi(),
            Deployment::Roata => Self::roata(),
        }
    }

    fn tokachi() -> Self {
        Self {
            deployment: Deployment::Tokachi,
            base: name("tin-llm"),
            data_centres: vec![
                data_centre("obihiro-a", "doto"),
                data_centre("asahikawa-a", "dohoku"),
                data_centre("sapporo-a", "doo"),
            ],
            engines: 18,
            service: name("member-desk"),
            service_instances: 3,
            adapters: ADAPTERS,
            store_rate: EventRate(4.0),
            adapter_slots: 8,
            batch_slots: 16,
            step_time: STEP_TIME,
            preset: "load-stalls",
        }
    }

    fn roata() -> Self {
        Self {
            deployment: Deployment::Roata,
            base: name("atelier-ai"),
            data_centres: vec![
                data_centre("buc-a", "muntenia"),
                data_centre("cluj-a", "transilvania"),
                data_centre("iasi-a", "moldova"),
            ],
            engines: 9,
            service: name("rezervari"),
            service_instances: 3,
            adapters: ADAPTERS,
            store_rate: EventRate(2.0),
            adapter_slots: 8,
            batch_slots: 16,
            step_time: STEP_TIME,
            preset: "batch-efficiency",
        }
    }

    /// Returns the data centre of the member with this index.
    pub fn data_centre_of(&self, index: usize) -> &DataCentreShape {
        &self.data_centres[index % self.data_centres.len()]
    }

    /// Returns the name of adapter `index`, counted from 0.
    pub fn adapter_name(&self, index: u32) -> String {
        format!("{}-{:04}", self.deployment, index + 1)
    }
}
