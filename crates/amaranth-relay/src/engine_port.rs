//! What an agent needs of its engine and of the platform.

use std::future::Future;

use amaranth_dispatch::adapter_manager::{GuardedOrder, OrderAnswer};
use amaranth_dispatch::engine_view::EngineContents;

/// A problem of a port, in words for the log.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct PortError(pub String);

/// The number that tells an engine which of two orders comes from the newer start of its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FencingToken(pub u64);

/// The engine beside an agent.
pub trait EnginePort: Send + Sync + 'static {
    /// Reads the engine's own report.
    fn report(&self) -> impl Future<Output = Result<EngineContents, PortError>> + Send;

    /// Gives an order.
    fn order(
        &self,
        order: &GuardedOrder,
        token: FencingToken,
    ) -> impl Future<Output = OrderAnswer> + Send;
}

/// Where fencing tokens come from.
pub trait TokenSource: Send + Sync + 'static {
    /// Returns a token that is larger than all that were returned before, to any process.
    fn next_token(&self) -> impl Future<Output = Result<FencingToken, PortError>> + Send;
}
