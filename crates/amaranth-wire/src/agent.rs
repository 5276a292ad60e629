//! The RPC service of an agent.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

pub use amaranth_control::claim_table::ClaimStatus;
use amaranth_core::Result;
use amaranth_core::ids::{ConfigRevision, EndpointId, RequestId, Sequence};
use amaranth_core::membership::{EndpointReport, ProcessIdentity};
use amaranth_core::request::{
    AnswerBatch, CompletionRequest, ServiceAnswer, ServiceClaim, ServiceRequest,
};
use serde::{Deserialize, Serialize};

use crate::transport;

/// A request for chunks of an answer, which acknowledges the chunks before `from`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerRead {
    /// The request.
    pub id: RequestId,
    /// The first sequence that the reader lacks.
    pub from: Sequence,
    /// The maximum time to wait for a chunk before the agent replies with an empty batch.
    pub wait: Duration,
}

/// The state of an agent, for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// The process.
    pub identity: ProcessIdentity,
    /// The configuration revision in force.
    pub revision: ConfigRevision,
    /// Whether the agent is draining and accepts no new work.
    pub draining: bool,
    /// The endpoints of the agent.
    pub endpoints: Vec<EndpointReport>,
    /// Recent decisions, newest last, one line of key=value pairs each.
    pub decisions: Vec<String>,
}

/// The calls that an agent answers.
#[tarpc::service]
pub trait AgentRpc {
    /// Accepts a completion and returns its first chunks as soon as there are any.
    ///
    /// Repeating the call with the same request id attaches to the running answer.
    async fn open_answer(request: CompletionRequest, wait: Duration) -> Result<AnswerBatch>;

    /// Returns chunks of an answer, and acknowledges earlier ones.
    async fn read_answer(read: AnswerRead) -> Result<AnswerBatch>;

    /// Cancels an answer from `endpoint` that no reader waits for.
    ///
    /// An answer of the same request from another endpoint continues, because its reader has
    /// switched to that endpoint.
    async fn cancel_answer(id: RequestId, endpoint: EndpointId) -> Result<()>;

    /// Calls a plain service. A call with a claim runs at most once.
    ///
    /// Fails with `Fenced`, and so without running it, if the claim was sealed or names another
    /// incarnation of this agent.
    async fn call_service(request: ServiceRequest) -> Result<ServiceAnswer>;

    /// Returns the status of a claim, and seals the claim if it never arrived.
    ///
    /// Fails with `Fenced` if the claim names another incarnation of this agent.
    async fn settle_claim(claim: ServiceClaim) -> Result<ClaimStatus>;

    /// Returns the agent's state.
    async fn status() -> AgentStatus;

    /// Stops admission permanently. The agent ends when nothing is in flight.
    async fn drain() -> Result<()>;
}

/// Connects to an agent within `timeout` and spawns its client.
///
/// # Errors
///
/// Returns an error when the agent can't be reached in time.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<AgentRpcClient> {
    let transport = transport::connect(address, timeout).await?;
    Ok(AgentRpcClient::new(tarpc::client::Config::default(), transport).spawn())
}
