//! The RPC service of an agent that loads adapters on one engine.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use amaranth_core::ids::{EndpointId, SoftwareVersion};
use amaranth_dispatch::call_limiter::{CallPermit, CallRate};
use amaranth_dispatch::engine_view::{EngineView, LoadOutcome, LoadRequest, UsageReport};
use amaranth_dispatch::findings_hub::{FindingsCursor, HubFindings, HubUpdate};
use amaranth_dispatch::prefill_turns::{TurnGrant, TurnId, TurnRequest};
use amaranth_dispatch::quota_grantor::{ShardAsk, ShardGrant};
use amaranth_dispatch::store_table::{SharedUpdate, TableCursor, TableUpdate};
use amaranth_dispatch::stream_origins::{StreamKey, StreamOrigin};
use serde::{Deserialize, Serialize};

use crate::transport;

/// What an entry has of the store's tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TableCursors {
    /// The operator's configuration.
    pub config: TableCursor,
    /// The registry of endpoints.
    pub registry: TableCursor,
}

/// What an entry lacks of the store's tables. A table that the reader has not read is missing.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TableUpdates {
    /// The operator's configuration.
    pub config: Option<TableUpdate>,
    /// The registry of endpoints.
    pub registry: Option<TableUpdate>,
}

/// What an entry lacks of the store's tables, without records that hold secrets. A table that the
/// reader has not read is missing.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SharedUpdates {
    /// The operator's configuration.
    pub config: Option<SharedUpdate>,
    /// The registry of endpoints, of which nothing is withheld.
    pub registry: Option<TableUpdate>,
}

/// The calls that an agent of an engine answers.
#[tarpc::service]
pub trait EngineAgentRpc {
    /// Records an entry's usage of the engine and returns the agent's view of the engine, as soon
    /// as the view's revision differs from `seen` or `wait` is over.
    async fn exchange(usage: UsageReport, seen: u64, wait: Duration) -> EngineView;

    /// Requests a load and returns its outcome, at the latest after the maximum wait of the
    /// request.
    async fn prepare(usage: UsageReport, request: LoadRequest) -> LoadOutcome;

    /// Asks for the permit to send one call to an endpoint that stated a limit on calls.
    async fn permit(endpoint: EndpointId, rate: CallRate) -> CallPermit;

    /// Returns what an entry lacks of the store's tables, as soon as there is something or `wait` is
    /// over. A table with secrets is missing: entries of earlier versions, which ask this, would take
    /// the rest of the table for the whole.
    async fn read_tables(cursors: TableCursors, wait: Duration) -> TableUpdates;

    /// Records the software versions at which streams began.
    async fn record_origins(origins: Vec<StreamOrigin>);

    /// Returns the software version at which a stream began, if the agent knows it.
    async fn find_origin(stream: StreamKey) -> Option<SoftwareVersion>;

    /// Records an entry's findings about crashes, if it sends them, and returns those that it lacks, as
    /// soon as there are some or `wait` is over.
    async fn exchange_findings(
        own: Option<HubFindings>,
        cursor: FindingsCursor,
        wait: Duration,
    ) -> HubUpdate;

    /// Asks for tokens of shards of teams' quotas. The answers are in the order of the questions.
    async fn lease_quota(asks: Vec<ShardAsk>) -> Vec<ShardGrant>;

    /// Returns what an entry lacks of the store's tables without records that hold secrets, as soon as
    /// there is something or `wait` is over.
    async fn read_shared_tables(cursors: TableCursors, wait: Duration) -> SharedUpdates;

    /// Waits for the turn of a prompt at the engine, at most for the maximum wait of the request.
    async fn take_turn(request: TurnRequest) -> TurnGrant;

    /// Ends the turn of a prompt, whose first token has arrived or whose call has ended.
    async fn end_turn(turn: TurnId);
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
