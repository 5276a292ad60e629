//! The shapes of the two deployments: their data centres, engines, services and adapters.

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

/// The name and region of a data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DataCentreShape {
    /// The name of the data centre.
    pub name: DataCentreName,
    /// The region of the data centre.
    pub region: RegionName,
}

/// The size and names of a deployment, from which a fleet is started.
#[derive(Debug, Clone, PartialEq)]
pub struct DeploymentShape {
    /// The deployment that has this shape.
    pub deployment: Deployment,
    /// The name of the base model.
    pub base: ModelName,
    /// The data centres, one per region.
    pub data_centres: Vec<DataCentreShape>,
    /// The number of engines, which are spread evenly over the data centres.
    pub engines: usize,
    /// The name of the plain service.
    pub service: ServiceName,
    /// The number of instances of the service, which are spread evenly over the data centres.
    pub service_instances: usize,
    /// The number of adapters in the configuration.
    pub adapters: u32,
    /// The rate at which the weight store starts loads.
    pub store_rate: EventRate,
    /// The number of adapters that can be resident on an engine at once.
    pub adapter_slots: u16,
    /// The number of requests that an engine can run in one batch.
    pub batch_slots: u16,
    /// The time of one step of an engine's batch.
    pub step_time: Duration,
    /// The name of the placement policy preset.
    pub preset: &'static str,
}

/// Number of adapters that each deployment configures.
const ADAPTERS: u32 = 3_000;

/// Time of one step of an engine's batch.
const STEP_TIME: Duration = Duration::from_millis(10);

/// Parses a name literal of this module.
fn parse_name<Name: std::str::FromStr<Err = amaranth_core::Error>>(text: &str) -> Name {
    text.parse()
        .expect("name literals of this module are valid")
}

fn data_centre(data_centre: &str, region: &str) -> DataCentreShape {
    DataCentreShape {
        name: parse_name(data_centre),
        region: parse_name(region),
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
            base: parse_name("tin-llm"),
            data_centres: vec![
                data_centre("obihiro-a", "doto"),
                data_centre("asahikawa-a", "dohoku"),
                data_centre("sapporo-a", "doo"),
            ],
            engines: 18,
            service: parse_name("member-desk"),
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
            base: parse_name("atelier-ai"),
            data_centres: vec![
                data_centre("buc-a", "muntenia"),
                data_centre("cluj-a", "transilvania"),
                data_centre("iasi-a", "moldova"),
            ],
            engines: 9,
            service: parse_name("rezervari"),
            service_instances: 3,
            adapters: ADAPTERS,
            store_rate: EventRate(2.0),
            adapter_slots: 8,
            batch_slots: 16,
            step_time: STEP_TIME,
            preset: "batch-efficiency",
        }
    }

    /// Returns the data centre of the engine, service instance or entry with this index.
    pub fn data_centre_of(&self, index: usize) -> &DataCentreShape {
        &self.data_centres[index % self.data_centres.len()]
    }

    /// Returns the name of adapter `index`, counted from 0.
    pub fn adapter_name(&self, index: u32) -> String {
        format!("{}-{:04}", self.deployment, index + 1)
    }
}
