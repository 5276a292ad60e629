//! Groups of endpoints.

use amaranth_core::ids::EndpointGroupName;
use serde::{Deserialize, Serialize};

use crate::entries::NamePattern;

/// What holds for all endpoints whose names fit a pattern.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointGroupEntry {
    /// The name.
    pub name: EndpointGroupName,
    /// The endpoints.
    pub endpoints: NamePattern,
    /// Whether the endpoints refuse orders with an old fencing number.
    pub checks_orders: bool,
}
