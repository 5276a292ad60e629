//! Shared types of amaranthfield: identifiers, units, error kinds and requests.
//!
//! Every other crate depends on this one and it depends on none of them. It does
//! no I/O and reads no clock.

pub mod digest;
pub mod errors;
pub mod ids;
pub mod membership;
pub mod request;
pub mod time;
pub mod trace;
pub mod units;

pub use errors::{Error, ErrorKind, Result};
