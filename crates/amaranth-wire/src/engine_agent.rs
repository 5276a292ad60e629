//! The RPC service of an agent that loads adapters on one engine.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use amaranth_dispatch::engine_view::{EngineView, LoadOutcome, LoadRequest, UsageReport};

use crate::transport;

/// The calls that an agent of an engine answers.
#[tarpc::service]
pub trait EngineAgentRpc {
    /// Records an entry's usage of the engine and returns the agent's view of the engine, as soon
    /// as the view's revision differs from `seen` or `wait` is over.
    async fn exchange(usage: UsageReport, seen: u64, wait: Duration) -> EngineView;

    /// Requests a load and returns its outcome, at the latest after the maximum wait of the
    /// request.
    async fn prepare(usage: UsageReport, request: LoadRequest) -> LoadOutcome;
}

/// Connects to an agent within `timeout` and spawns its client.
///
/// # Errors
///
/// Returns an error when the agent can't be reached in time.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<EngineAgentRpcClient> {
    let transport = transport::connect(address, timeout).await?;
    Ok(EngineAgentRpcClient::new(tarpc::client::Config::default(), transport).spawn())
}
