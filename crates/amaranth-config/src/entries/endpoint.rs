//! Groups of endpoints.

use amaranth_core::ids::EndpointGroupName;
use serde::{Deserialize, Serialize};

use crate::entries::NamePattern;

/// Properties of all endpoints whose names match a pattern.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointGroupEntry {
    /// The name of the group.
    pub name: EndpointGroupName,
    /// The pattern that the names of the group's endpoints match.
    pub endpoints: NamePattern,
    /// Whether the endpoints refuse load and unload orders with an outdated fencing token.
    pub checks_orders: bool,
}
