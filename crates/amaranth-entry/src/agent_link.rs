//! One kept connection to an agent.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use amaranth_core::errors::Error;
use amaranth_wire::agent::{self, AgentRpcClient};
use tarpc::client::RpcError;
use tarpc::context::Context;

/// Why a call to an agent has no reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinkError {
    /// The agent was not reached, so the call was not sent.
    NotSent(String),
    /// The connection closed or went silent after the call was sent.
    Lost(String),
    /// The agent replied with an error.
    Refused(Error),
}

/// A connection and the number that tells it from its successors.
#[derive(Clone)]
pub struct LinkedClient {
    client: AgentRpcClient,
    number: u64,
}

impl LinkedClient {
    /// Returns the tarpc client.
    pub const fn client(&self) -> &AgentRpcClient {
        &self.client
    }
}

#[derive(Default)]
struct KeptClient {
    current: Option<LinkedClient>,
    connected: u64,
}

/// Keeps one connection to an agent and replaces it when it is lost.
pub struct AgentLink {
    address: SocketAddr,
    connect_timeout: Duration,
    kept: Mutex<KeptClient>,
    connecting: tokio::sync::Mutex<()>,
}

impl AgentLink {
    /// Opens a link that connects when it is first used.
    pub fn open(address: SocketAddr, connect_timeout: Duration) -> Self {
        Self {
            address,
            connect_timeout,
            kept: Mutex::new(KeptClient::default()),
            connecting: tokio::sync::Mutex::new(()),
        }
    }

    /// Returns the agent's address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the kept connection, or a new one.
    ///
    /// # Errors
    ///
    /// `NotSent` if the agent can't be reached.
    pub async fn client(&self) -> Result<LinkedClient, LinkError> {
        if let Some(linked) = self.current() {
            return Ok(linked);
        }
        // Callers that lost the same connection wait for one of them to replace it.
        let _guard = self.connecting.lock().await;
        if let Some(linked) = self.current() {
            return Ok(linked);
        }
        let client = agent::connect(self.address, self.connect_timeout)
            .await
            .map_err(|error| LinkError::NotSent(format!("agent at {}: {error}", self.address)))?;
        Ok(self.keep(client))
    }

    /// Gives a connection up, unless it was replaced already.
    pub fn abandon(&self, linked: &LinkedClient) {
        let mut kept = self.lock();
        let is_current = matches!(&kept.current, Some(current) if current.number == linked.number);
        if is_current {
            kept.current = None;
            log::warn!("event=connection_abandoned agent={}", self.address);
        }
    }

    /// Makes one call that must be answered within `timeout`, and gives the connection up if it
    /// is not.
    ///
    /// # Errors
    ///
    /// As [`LinkError`] tells them apart.
    pub async fn call<Reply, Calling>(
        &self,
        timeout: Duration,
        call: impl FnOnce(AgentRpcClient, Context) -> Calling,
    ) -> Result<Reply, LinkError>
    where
        Calling: Future<Output = Result<Result<Reply, Error>, RpcError>>,
    {
        let linked = self.client().await?;
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + timeout;
        match call(linked.client.clone(), context).await {
            Ok(reply) => reply.map_err(LinkError::Refused),
            Err(error) => {
                self.abandon(&linked);
                Err(LinkError::Lost(format!(
                    "agent at {}: {error}",
                    self.address
                )))
            }
        }
    }

    fn current(&self) -> Option<LinkedClient> {
        self.lock().current.clone()
    }

    fn keep(&self, client: AgentRpcClient) -> LinkedClient {
        let mut kept = self.lock();
        kept.connected += 1;
        let linked = LinkedClient {
            client,
            number: kept.connected,
        };
        kept.current = Some(linked.clone());
        linked
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, KeptClient> {
        self.kept
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
