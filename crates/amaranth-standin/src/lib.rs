//! Stand-ins for the log, VM list, weight store, engines and plain services, for tests and
//! demos.
//!
//! Each stand-in is an HTTP server that listens on loopback by default, counts the calls that it
//! handles and injects faults on request. Faults are set through the handle of the stand-in, or by
//! `POST /control/faults` with the same typed faults as JSON. `GET /control/counters` returns the
//! counters. [`PathStandin`] is the exception: it stands in for a network path and forwards TCP
//! connections.
//!
//! All stand-ins use tokio's clock, so that tests can pause it.

pub mod control;
pub mod engine;
pub mod faults;
pub mod lagging_value;
pub mod log_standin;
pub mod path_standin;
pub mod process;
pub mod rate_limiter;
pub mod server;
pub mod service_standin;
pub mod settings;
pub mod store_standin;
pub mod vm_list_standin;

pub use engine::{EngineCounters, EngineFaults, EngineOptions, EngineStandin, StreamFaults};
pub use faults::{CommonFaults, OutageKind};
pub use log_standin::{LogCounters, LogFaults, LogOptions, LogStandin};
pub use path_standin::{DiscardDirection, PathFaults, PathOptions, PathStandin};
pub use service_standin::{ServiceCounters, ServiceFaults, ServiceOptions, ServiceStandin};
pub use store_standin::{StoreCounters, StoreFaults, StoreOptions, StoreStandin};
pub use vm_list_standin::{VmListCounters, VmListFaults, VmListOptions, VmListStandin};
