//! Interfaces of an agent to its engine and to the source of fencing tokens.

use std::future::Future;

use amaranth_core::ids::FencingToken;
use amaranth_dispatch::adapter_manager::{GuardedOrder, OrderAnswer};
use amaranth_dispatch::engine_view::EngineContents;

/// A failure of the engine or of the token source, as text for the log.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct PortError(pub String);

/// The engine that an agent manages.
pub trait EnginePort: Send + Sync + 'static {
    /// Reads the report of the engine's contents.
    fn report(&self) -> impl Future<Output = Result<EngineContents, PortError>> + Send;

    /// Sends an order to the engine and returns its answer.
    fn order(
        &self,
        order: &GuardedOrder,
        token: FencingToken,
    ) -> impl Future<Output = OrderAnswer> + Send;
}

/// A source of fencing tokens.
pub trait TokenSource: Send + Sync + 'static {
    /// Returns a token that is larger than all tokens returned before to any process.
    fn next_token(&self) -> impl Future<Output = Result<FencingToken, PortError>> + Send;
}
