//! Snapshots that a starting process fetches from its peers.

use std::net::SocketAddr;
use std::time::Duration;

use amaranth_config::envelope::ConfigRecord;
use amaranth_config::snapshot::{SnapshotAssembly, SnapshotRecord, SnapshotState};
use amaranth_core::Result;
use amaranth_core::errors::internal;
use amaranth_core::ids::ConfigRevision;
use amaranth_wire::answers::answer_of;
use amaranth_wire::entry::{EntryRpcClient, SnapshotPart, connect};
use async_trait::async_trait;
use tarpc::context::Context;
use tokio::task::JoinSet;

/// Timeout of connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of entries that are queried for a snapshot.
const MAX_PEERS: usize = 4;

/// A source of snapshots of the configuration.
#[async_trait]
pub trait SnapshotSource: Send + Sync {
    /// Returns the newest available state, if any.
    async fn fetch(&self) -> Option<SnapshotState>;
}

/// A source that fetches snapshots from entries.
#[derive(Debug, Clone)]
pub struct PeerSnapshotSource {
    addresses: Vec<SocketAddr>,
}

impl PeerSnapshotSource {
    /// Creates a source that queries the first few of the entries at `addresses`.
    ///
    /// Each process should order the addresses differently, so that the entries share the load.
    pub const fn new(addresses: Vec<SocketAddr>) -> Self {
        Self { addresses }
    }
}

#[async_trait]
impl SnapshotSource for PeerSnapshotSource {
    /// Queries several entries at the same time, and fetches the snapshot that covers the most
    /// records.
    async fn fetch(&self) -> Option<SnapshotState> {
        let mut connecting: JoinSet<_> = self
            .addresses
            .iter()
            .take(MAX_PEERS)
            .map(|address| request_offer(*address))
            .collect();
        let mut offers = Vec::new();
        while let Some(Ok(result)) = connecting.join_next().await {
            match result {
                Ok(offer) => offers.push(offer),
                Err(error) => log::info!("event=peer_snapshot_unavailable error={error:?}"),
            }
        }
        offers.sort_by_key(|offer| std::cmp::Reverse(offer.first.covers));
        for offer in offers {
            let address = offer.address;
            match offer.fetch_rest().await {
                Ok(state) => return Some(state),
                Err(error) => {
                    log::warn!("event=peer_snapshot_failed address={address} error={error:?}");
                }
            }
        }
        None
    }
}

/// A connected peer that has sent the first part of its snapshot.
struct PeerOffer {
    address: SocketAddr,
    client: EntryRpcClient,
    revision: ConfigRevision,
    first: SnapshotRecord,
}

async fn request_offer(address: SocketAddr) -> Result<PeerOffer> {
    let client = connect(address, CONNECT_TIMEOUT)
        .await
        .map_err(|error| internal(format!("{address}: {error}")))?;
    let part = fetch_part(&client, None, 0).await?;
    Ok(PeerOffer {
        address,
        client,
        revision: part.revision,
        first: decode_part(&part)?,
    })
}

impl PeerOffer {
    async fn fetch_rest(self) -> Result<SnapshotState> {
        let invalid = |error: amaranth_config::envelope::RecordError| internal(error.to_string());
        let mut assembly = SnapshotAssembly::new(&self.first).map_err(invalid)?;
        assembly.add(&self.first).map_err(invalid)?;
        for index in 1..self.first.count {
            let part = fetch_part(&self.client, Some(self.revision), index).await?;
            assembly.add(&decode_part(&part)?).map_err(invalid)?;
        }
        assembly.finish().map_err(invalid)
    }
}

async fn fetch_part(
    client: &EntryRpcClient,
    revision: Option<ConfigRevision>,
    index: u32,
) -> Result<SnapshotPart> {
    answer_of(client.snapshot_part(Context::current(), revision, index))
        .await
        .map_err(|error| internal(error.to_string()))?
}

fn decode_part(part: &SnapshotPart) -> Result<SnapshotRecord> {
    match ConfigRecord::decode(&part.data) {
        Ok(ConfigRecord::Snapshot(record)) => Ok(record),
        Ok(ConfigRecord::Change(_)) => {
            Err(internal("the peer sent a change instead of a snapshot"))
        }
        Err(error) => Err(internal(error.to_string())),
    }
}
