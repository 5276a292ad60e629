//! The snapshot with which a process starts, from one of its peers.

use std::net::SocketAddr;
use std::time::Duration;

use amaranth_config::envelope::ConfigRecord;
use amaranth_config::snapshot::{SnapshotAssembly, SnapshotRecord, SnapshotState};
use amaranth_core::Result;
use amaranth_core::errors::internal;
use amaranth_core::ids::ConfigRevision;
use amaranth_wire::entry::{EntryRpcClient, SnapshotPart, connect};
use async_trait::async_trait;
use tarpc::context::Context;
use tokio::task::JoinSet;

/// Time that a peer has to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Entries that are asked at once.
const MAX_ASKED: usize = 4;

/// Something that snapshots can be fetched from.
#[async_trait]
pub trait SnapshotSource: Send + Sync {
    /// Returns the newest state that can be had, if any.
    async fn fetch(&self) -> Option<SnapshotState>;
}

/// Fetches snapshots from entries.
#[derive(Debug, Clone)]
pub struct PeerSnapshots {
    addresses: Vec<SocketAddr>,
}

impl PeerSnapshots {
    /// Opens a source that asks the first few of the entries at `addresses`.
    ///
    /// Each process should put them in an order of its own, so that they share the work.
    pub const fn open(addresses: Vec<SocketAddr>) -> Self {
        Self { addresses }
    }
}

#[async_trait]
impl SnapshotSource for PeerSnapshots {
    /// Asks several entries at once, and fetches from the one whose state goes furthest.
    async fn fetch(&self) -> Option<SnapshotState> {
        let mut opening: JoinSet<_> = self
            .addresses
            .iter()
            .take(MAX_ASKED)
            .map(|address| open_offer(*address))
            .collect();
        let mut offers = Vec::new();
        while let Some(Ok(opened)) = opening.join_next().await {
            match opened {
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

/// A peer that has sent the first part.
struct PeerOffer {
    address: SocketAddr,
    client: EntryRpcClient,
    revision: ConfigRevision,
    first: SnapshotRecord,
}

async fn open_offer(address: SocketAddr) -> Result<PeerOffer> {
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
        let refused = |fault: amaranth_config::envelope::RecordError| internal(fault.to_string());
        let mut assembly = SnapshotAssembly::new(&self.first).map_err(refused)?;
        assembly.add(&self.first).map_err(refused)?;
        for index in 1..self.first.count {
            let part = fetch_part(&self.client, Some(self.revision), index).await?;
            assembly.add(&decode_part(&part)?).map_err(refused)?;
        }
        assembly.finish().map_err(refused)
    }
}

async fn fetch_part(
    client: &EntryRpcClient,
    revision: Option<ConfigRevision>,
    index: u32,
) -> Result<SnapshotPart> {
    client
        .snapshot_part(Context::current(), revision, index)
        .await
        .map_err(|error| internal(error.to_string()))?
}

fn decode_part(part: &SnapshotPart) -> Result<SnapshotRecord> {
    match ConfigRecord::decode(&part.data) {
        Ok(ConfigRecord::Snapshot(record)) => Ok(record),
        Ok(ConfigRecord::Change(_)) => Err(internal("the peer sent a change for a snapshot")),
        Err(fault) => Err(internal(fault.to_string())),
    }
}
