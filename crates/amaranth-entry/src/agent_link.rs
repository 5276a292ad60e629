//! A persistent connection to an agent.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use amaranth_core::errors::Error;
use amaranth_wire::agent::{self, AgentRpcClient};
use amaranth_wire::answers::answer_of;
use tarpc::client::RpcError;
use tarpc::context::Context;

/// Error of a call to an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinkError {
    /// The agent can't be reached, so the call was not sent.
    NotSent(String),
    /// The connection closed or went silent after the call was sent.
    Lost(String),
    /// The agent replied with an error.
    Refused(Error),
}

/// A connection and the number that distinguishes it from its successors.
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

/// The connection in use and the number of connections made so far.
#[derive(Default)]
struct LinkState {
    current: Option<LinkedClient>,
    connected: u64,
}

/// A link to one agent, which keeps a connection and replaces it after a failure.
pub struct AgentLink {
    address: SocketAddr,
    connect_timeout: Duration,
    state: Mutex<LinkState>,
    connecting: tokio::sync::Mutex<()>,
}

impl AgentLink {
    /// Creates a link, which connects when it is first used.
    pub fn new(address: SocketAddr, connect_timeout: Duration) -> Self {
        Self {
            address,
            connect_timeout,
            state: Mutex::new(LinkState::default()),
            connecting: tokio::sync::Mutex::new(()),
        }
    }

    /// Returns the agent's address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the current connection, or a new one.
    ///
    /// # Errors
    ///
    /// `NotSent` if the agent can't be reached.
    pub async fn client(&self) -> Result<LinkedClient, LinkError> {
        if let Some(linked) = self.current() {
            return Ok(linked);
        }
        // Only one of the callers that lost the same connection replaces it; the others wait.
        let _guard = self.connecting.lock().await;
        if let Some(linked) = self.current() {
            return Ok(linked);
        }
        let client = agent::connect(self.address, self.connect_timeout)
            .await
            .map_err(|error| LinkError::NotSent(format!("agent at {}: {error}", self.address)))?;
        Ok(self.store(client))
    }

    /// Abandons a connection, unless it was replaced already.
    pub fn abandon(&self, linked: &LinkedClient) {
        let mut state = self.lock();
        let is_current = matches!(&state.current, Some(current) if current.number == linked.number);
        if is_current {
            state.current = None;
            log::warn!("event=connection_abandoned agent={}", self.address);
        }
    }

    /// Makes one call that must be answered within `timeout`, and abandons the connection if it is
    /// not.
    ///
    /// # Errors
    ///
    /// `NotSent` if the agent can't be reached, `Lost` if the connection failed or the timeout
    /// passed, and `Refused` with the error that the agent replied.
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
        match answer_of(call(linked.client.clone(), context)).await {
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

    fn store(&self, client: AgentRpcClient) -> LinkedClient {
        let mut state = self.lock();
        state.connected += 1;
        let linked = LinkedClient {
            client,
            number: state.connected,
        };
        state.current = Some(linked.clone());
        linked
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, LinkState> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
