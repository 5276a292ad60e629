//! Ports to everything outside amaranthfield: the log, the VM list, engines and plain services.
//!
//! Each port is a trait with one module that implements it over HTTP, so that a change of the wire
//! format is limited to that module. Tests use fakes of the traits.

pub mod engine;
pub mod errors;
pub mod http_client;
pub mod http_engine;
pub mod http_log;
pub mod http_service;
pub mod http_vm_list;
pub mod log;
pub mod service;
pub mod sse;
pub mod vm_list;

pub use errors::{PortError, PortResult};
