//! What entries ask of an agent that gives one engine its orders.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use amaranth_dispatch::engine_view::{EngineView, LoadOutcome, LoadRequest, UsageReport};

use crate::transport;

/// The calls that an agent of an engine answers.
#[tarpc::service]
pub trait ShelfRpc {
    /// Takes an entry's use of the engine and returns what the agent knows, as soon as it differs
    /// from revision `seen` or `wait` is over.
    async fn exchange(usage: UsageReport, seen: u64, wait: Duration) -> EngineView;

    /// Returns when the engine holds what is wished for, or when the wish's patience is over.
    async fn prepare(usage: UsageReport, wish: LoadRequest) -> LoadOutcome;
}

/// Connects to an agent within `timeout` and spawns its client.
///
/// # Errors
///
/// Returns an error when the agent can't be reached in time.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<ShelfRpcClient> {
    let transport = transport::connect(address, timeout).await?;
    Ok(ShelfRpcClient::new(tarpc::client::Config::default(), transport).spawn())
}
