//! An entry's connections to the agents of engines.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use amaranth_dispatch::endpoint_table::AgentFailure;
use amaranth_dispatch::engine_view::{EngineView, LoadOutcome, LoadRequest, UsageReport};
use amaranth_wire::shelf::{self, ShelfRpcClient};
use tarpc::client::RpcError;
use tarpc::context::Context;

/// Time that a connection to an agent may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for an answer beyond the one that the agent may wait.
const ANSWER_SLACK: Duration = Duration::from_millis(600);

/// Why an agent gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("agent {address} gave no answer ({loss}): {reason}")]
pub struct AgentSilent {
    /// The agent.
    pub address: SocketAddr,
    /// What it says of the agent's VM.
    pub loss: AgentFailure,
    /// Why.
    pub reason: String,
}

/// The connections to agents, opened when first needed and dropped after a failure.
#[derive(Debug, Default)]
pub struct AgentLinks {
    clients: Mutex<HashMap<SocketAddr, ShelfRpcClient>>,
}

impl AgentLinks {
    /// Tells an agent of this entry's use and returns what it knows of its engine.
    ///
    /// # Errors
    ///
    /// Returns an error if the agent can't be reached in time.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        usage: UsageReport,
        seen: u64,
        wait: Duration,
    ) -> Result<EngineView, AgentSilent> {
        let client = self.client(address).await?;
        let answer = client.exchange(context(wait), usage, seen, wait).await;
        answer.map_err(|error| self.lose(address, &error))
    }

    /// Asks an agent that its engine hold something, and waits for it.
    ///
    /// # Errors
    ///
    /// Returns an error if the agent can't be reached in time.
    pub async fn prepare(
        &self,
        address: SocketAddr,
        usage: UsageReport,
        wish: LoadRequest,
    ) -> Result<LoadOutcome, AgentSilent> {
        let client = self.client(address).await?;
        let context = context(wish.max_wait);
        let answer = client.prepare(context, usage, wish).await;
        answer.map_err(|error| self.lose(address, &error))
    }

    async fn client(&self, address: SocketAddr) -> Result<ShelfRpcClient, AgentSilent> {
        let known = self.lock().get(&address).cloned();
        if let Some(client) = known {
            return Ok(client);
        }
        let client = shelf::connect(address, CONNECT_TIMEOUT)
            .await
            .map_err(|error| AgentSilent {
                address,
                loss: match error.kind() {
                    io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => {
                        AgentFailure::ProcessEnded
                    }
                    _ => AgentFailure::VmSilent,
                },
                reason: error.to_string(),
            })?;
        self.lock().insert(address, client.clone());
        Ok(client)
    }

    fn lose(&self, address: SocketAddr, error: &RpcError) -> AgentSilent {
        self.lock().remove(&address);
        AgentSilent {
            address,
            loss: match error {
                RpcError::DeadlineExceeded => AgentFailure::VmSilent,
                _ => AgentFailure::ProcessEnded,
            },
            reason: error.to_string(),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, ShelfRpcClient>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn context(wait: Duration) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + wait + ANSWER_SLACK;
    context
}
