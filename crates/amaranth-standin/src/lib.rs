//! Small stand-ins of the platform, an engine and a plain service, for tests and demos.
//!
//! Each listens on loopback, counts what it did and can be told to fail: through its handle, or
//! by `POST /control/faults` with the same typed faults as JSON. `GET /control/counters` returns
//! its counters. Time is tokio's, so that tests can pause it.

pub mod control;
pub mod engine;
pub mod faults;
pub mod lagging;
pub mod log_standin;
pub mod path_standin;
pub mod process;
pub mod rate;
pub mod server;
pub mod service_standin;
pub mod settings;
pub mod store_standin;
pub mod vm_list_standin;

pub use engine::{EngineCounters, EngineFaults, EngineOptions, EngineStandin, StreamFaults};
pub use faults::{CommonFaults, OutageKind};
pub use log_standin::{LogCounters, LogFaults, LogOptions, LogStandin};
pub use path_standin::{PathFaults, PathOptions, PathStandin, SwallowKind};
pub use service_standin::{ServiceCounters, ServiceFaults, ServiceOptions, ServiceStandin};
pub use store_standin::{StoreCounters, StoreFaults, StoreOptions, StoreStandin};
pub use vm_list_standin::{VmListCounters, VmListFaults, VmListOptions, VmListStandin};
