//! Follower that keeps the entry's configuration up to date with the log.

use std::net::SocketAddr;
use std::sync::Arc;

use amaranth_config::catalogue::Catalogue;
use amaranth_config::snapshot_schedule::SnapshotScheduleOptions;
use amaranth_core::digest::hash64;
use amaranth_core::membership::ProcessIdentity;
use amaranth_follow::{FollowerOptions, PeerSnapshotSource, PreparedFollower};
use amaranth_ports::log::LogPort;
use arc_swap::ArcSwap;

use crate::entry_state::EntryState;
use crate::settings::EntrySettings;

/// The configuration catalogue that is in force.
pub type CurrentCatalogue = Arc<ArcSwap<Catalogue>>;

/// Creates the follower of an entry, which starts from a snapshot of another entry if there is one.
pub fn new(
    identity: &ProcessIdentity,
    settings: &EntrySettings,
    log: Arc<dyn LogPort>,
) -> PreparedFollower {
    let peers = (!settings.entries.is_empty()).then(|| {
        let mut addresses = settings.entries.clone();
        // The order of the peers differs by incarnation, so that the peers share the work.
        addresses.sort_by_key(|address| hash64(identity.incarnation.0, &address_bytes(address)));
        Arc::new(PeerSnapshotSource::new(addresses)) as _
    });
    let options = FollowerOptions {
        peers,
        snapshot_schedule: Some(SnapshotScheduleOptions {
            interval: settings.snapshot_interval,
            ..SnapshotScheduleOptions::default()
        }),
        writer: format!("{} {}", identity.process, identity.incarnation),
        ..FollowerOptions::default()
    };
    PreparedFollower::new(log, options)
}

/// Follows the configuration stream until the future is dropped.
pub async fn run(state: Arc<EntryState>, follower: PreparedFollower) {
    let follower = follower.spawn();
    let rank = snapshot_rank(&state.identity.address, &state.settings.entries);
    follower.set_rank(Some(rank));
    if follower.view().wait_until_caught_up().await {
        state.readiness.mark_configuration_caught_up();
    }
    // The follower stops when it is dropped with this task.
    std::future::pending::<()>().await;
}

/// Returns the rank of the entry at `own` as a writer of snapshots: the number of entries that rank
/// before it.
///
/// All configured entries are ranked, live or not. If an entry does not write its snapshot, the
/// next one writes it a little later.
fn snapshot_rank(own: &SocketAddr, entries: &[SocketAddr]) -> u32 {
    let score = |address: &SocketAddr| hash64(0, &address_bytes(address));
    let before = entries.iter().filter(|entry| score(entry) > score(own));
    u32::try_from(before.count()).unwrap_or(u32::MAX)
}

fn address_bytes(address: &SocketAddr) -> Vec<u8> {
    address.to_string().into_bytes()
}
