//! Start options of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use amaranth_dispatch::engine_selector::Locality;
use amaranth_dispatch::memory_budget::MemoryLimits;
use amaranth_dispatch::quota_shards::QuotaTolerance;
use amaranth_dispatch::retry_quota::RetryLimits;

/// Start options of an entry.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    /// The name of the process.
    pub name: String,
    /// The data centre of the entry and the regions of all data centres.
    pub locality: Locality,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for the load balancer's readiness checks.
    pub readiness: SocketAddr,
    /// The port at which every agent listens, on the VM of its engine.
    pub agent_port: u16,
    /// The retry budget of all entries together.
    pub retries: RetryLimits,
    /// By how much teams may exceed their quotas.
    pub quota_tolerance: QuotaTolerance,
    /// The maximum delay until a published configuration is in force.
    pub config_bound: Duration,
    /// The maximum delay until a draining endpoint gets no new calls.
    pub drain_bound: Duration,
    /// The limits on the memory that calls hold.
    pub memory: MemoryLimits,
    /// The time that the process may take to stop.
    pub stop_grace: Duration,
}
