//! Connections of an entry to the agents of engines.

use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use amaranth_core::ids::{EndpointId, SoftwareVersion};
use amaranth_dispatch::call_limiter::{CallPermit, CallRate};
use amaranth_dispatch::endpoint_table::AgentFailure;
use amaranth_dispatch::engine_view::{EngineView, LoadOutcome, LoadRequest, UsageReport};
use amaranth_dispatch::findings_hub::{FindingsCursor, HubFindings, HubUpdate};
use amaranth_dispatch::prefill_turns::{TurnGrant, TurnId, TurnRequest};
use amaranth_dispatch::quota_grantor::{ShardAsk, ShardGrant};
use amaranth_dispatch::stream_origins::{StreamKey, StreamOrigin};
use amaranth_wire::answers::answer_of;
use amaranth_wire::engine_agent::{self, EngineAgentRpcClient, SharedUpdates, TableCursors};
use tarpc::client::RpcError;
use tarpc::context::Context;

/// Timeout for opening a connection to an agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time allowed for a call beyond the time that the agent itself may wait.
const ANSWER_SLACK: Duration = Duration::from_millis(600);

/// A failed call to an agent.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("agent {address} gave no answer ({failure}): {reason}")]
pub struct AgentError {
    /// The address of the agent.
    pub address: SocketAddr,
    /// Whether the agent's process or its VM failed.
    pub failure: AgentFailure,
    /// The cause, as text for the log.
    pub reason: String,
}

/// A cache of connections to agents, opened on first use and removed after a failure.
#[derive(Debug, Default)]
pub struct AgentLinks {
    clients: Mutex<HashMap<SocketAddr, EngineAgentRpcClient>>,
}

impl AgentLinks {
    /// Reports this entry's usage to an agent and returns the agent's view of its engine.
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
    ) -> Result<EngineView, AgentError> {
        let client = self.client(address).await?;
        self.answer(address, client.exchange(context(wait), usage, seen, wait))
            .await
    }

    /// Requests a load from an agent and waits for its outcome.
    ///
    /// # Errors
    ///
    /// Returns an error if the agent can't be reached in time.
    pub async fn prepare(
        &self,
        address: SocketAddr,
        usage: UsageReport,
        request: LoadRequest,
    ) -> Result<LoadOutcome, AgentError> {
        let client = self.client(address).await?;
        let context = context(request.max_wait);
        self.answer(address, client.prepare(context, usage, request))
            .await
    }

    /// Asks an agent for the permit to send one call to an endpoint with a limit.
    ///
    /// # Errors
    ///
    /// Returns an error if the agent can't be reached in time.
    pub async fn permit(
        &self,
        address: SocketAddr,
        endpoint: EndpointId,
        rate: CallRate,
    ) -> Result<CallPermit, AgentError> {
        let client = self.client(address).await?;
        self.answer(
            address,
            client.permit(context(Duration::ZERO), endpoint, rate),
        )
        .await
    }

    /// Asks an agent for what this entry lacks of the store's tables, without records that hold
    /// secrets.
    ///
    /// # Errors
    ///
    /// Returns an error if the agent can't be reached in time.
    pub async fn read_shared_tables(
        &self,
        address: SocketAddr,
        cursors: TableCursors,
        wait: Duration,
    ) -> Result<SharedUpdates, AgentError> {
        let client = self.client(address).await?;
        self.answer(
            address,
            client.read_shared_tables(context(wait), cursors, wait),
        )
        .await
    }

    /// Tells an agent of the software versions at which streams began.
    ///
    /// # Errors
    ///
    /// Returns an error if the agent can't be reached in time.
    pub async fn record_origins(
        &self,
        address: SocketAddr,
        origins: Vec<StreamOrigin>,
    ) -> Result<(), AgentError> {
        let client = self.client(address).await?;
        self.answer(
            address,
            client.record_origins(context(Duration::ZERO), origins),
        )
        .await
    }

    /// Asks an agent for the software version at which a stream began.
    ///
    /// # Errors
    ///
    /// Returns an error if the agent can't be reached in time.
    pub async fn find_origin(
        &self,
        address: SocketAddr,
        stream: StreamKey,
    ) -> Result<Option<SoftwareVersion>, AgentError> {
        let client = self.client(address).await?;
        self.answer(address, client.find_origin(context(Duration::ZERO), stream))
            .await
    }

    /// Sends an agent this entry's findings, if there are any to send, and returns those that the entry
    /// lacks, as soon as there are some or `wait` is over.
    ///
    /// # Errors
    ///
    /// Returns an error if the agent can't be reached in time.
    pub async fn exchange_findings(
        &self,
        address: SocketAddr,
        own: Option<HubFindings>,
        cursor: FindingsCursor,
        wait: Duration,
    ) -> Result<HubUpdate, AgentError> {
        let client = self.client(address).await?;
        self.answer(
            address,
            client.exchange_findings(context(wait), own, cursor, wait),
        )
        .await
    }

    /// Asks an agent for tokens of shards of teams' quotas.
    ///
    /// # Errors
    ///
    /// Returns an error if the agent can't be reached in time.
    pub async fn lease_quota(
        &self,
        address: SocketAddr,
        asks: Vec<ShardAsk>,
    ) -> Result<Vec<ShardGrant>, AgentError> {
        let client = self.client(address).await?;
        self.answer(address, client.lease_quota(context(Duration::ZERO), asks))
            .await
    }

    /// Asks an agent for the turn of a prompt at its engine and waits for it.
    ///
    /// # Errors
    ///
    /// Returns an error if the agent can't be reached in time.
    pub async fn take_turn(
        &self,
        address: SocketAddr,
        request: TurnRequest,
    ) -> Result<TurnGrant, AgentError> {
        let client = self.client(address).await?;
        self.answer(
            address,
            client.take_turn(context(request.max_wait), request),
        )
        .await
    }

    /// Ends the turn of a prompt.
    ///
    /// # Errors
    ///
    /// Returns an error if the agent can't be reached in time.
    pub async fn end_turn(&self, address: SocketAddr, turn: TurnId) -> Result<(), AgentError> {
        let client = self.client(address).await?;
        self.answer(address, client.end_turn(context(Duration::ZERO), turn))
            .await
    }

    /// Waits for the answer of an agent.
    async fn answer<Answer>(
        &self,
        address: SocketAddr,
        asking: impl Future<Output = Result<Answer, RpcError>>,
    ) -> Result<Answer, AgentError> {
        let answer = answer_of(asking).await;
        answer.map_err(|error| self.record_failure(address, &error))
    }

    async fn client(&self, address: SocketAddr) -> Result<EngineAgentRpcClient, AgentError> {
        let existing = self.lock().get(&address).cloned();
        if let Some(client) = existing {
            return Ok(client);
        }
        let client = engine_agent::connect(address, CONNECT_TIMEOUT)
            .await
            .map_err(|error| AgentError {
                address,
                failure: match error.kind() {
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

    fn record_failure(&self, address: SocketAddr, error: &RpcError) -> AgentError {
        self.lock().remove(&address);
        AgentError {
            address,
            failure: match error {
                RpcError::DeadlineExceeded => AgentFailure::VmSilent,
                _ => AgentFailure::ProcessEnded,
            },
            reason: error.to_string(),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, EngineAgentRpcClient>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn context(wait: Duration) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + wait + ANSWER_SLACK;
    context
}
