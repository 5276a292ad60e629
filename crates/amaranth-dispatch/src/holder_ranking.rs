//! The agents that hold in memory what entries share and the store need not keep.
//!
//! All entries rank the agents alike by the seed of what is shared, the best of each data centre
//! first, so that copies are in different data centres and are found although an agent joined or was
//! lost in between. Only some agents of a large fleet are holders, so that an entry connects to few.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};

use amaranth_core::digest::hash64;
use smallvec::SmallVec;

/// Number of agents that are told.
pub const HOLDER_COPIES: usize = 2;

/// Number of agents that are asked, more than copies, since agents may have joined in between.
pub const MAX_LOOKUPS: usize = 4;

/// Largest number of holders in a fleet.
const MAX_HOLDERS: usize = 64;

/// An agent that may hold what entries share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateHolder {
    /// The address of the agent, which stays the same when its engine restarts.
    pub agent: SocketAddr,
    /// The data centre of the agent.
    pub data_centre: String,
}

fn hash_address(seed: u64, address: SocketAddr) -> u64 {
    let seed = hash64(seed, &address.port().to_be_bytes());
    match address.ip() {
        IpAddr::V4(ip) => hash64(seed, &ip.octets()),
        IpAddr::V6(ip) => hash64(seed, &ip.octets()),
    }
}

/// Returns the agents that hold what entries share, of all agents of a fleet with their data centres.
pub fn select_holders<'a>(
    agents: impl IntoIterator<Item = (SocketAddr, &'a str)>,
) -> Vec<StateHolder> {
    let agents = agents.into_iter();
    let mut hashed: Vec<(u64, SocketAddr, &str)> = agents
        .map(|(agent, centre)| (hash_address(0, agent), agent, centre))
        .collect();
    hashed.sort_unstable();
    hashed.dedup_by_key(|(_, agent, _)| *agent);
    hashed.truncate(MAX_HOLDERS);
    let holders = hashed.into_iter().map(|(_, agent, centre)| StateHolder {
        agent,
        data_centre: centre.to_owned(),
    });
    holders.collect()
}

/// Returns the agents that hold the state of this seed, in the order in which they are told and asked:
/// the best of each data centre, then all others.
pub fn rank_holders(seed: u64, holders: &[StateHolder]) -> SmallVec<[SocketAddr; MAX_LOOKUPS]> {
    let mut ranked: Vec<&StateHolder> = holders.iter().collect();
    ranked.sort_by_cached_key(|holder| hash_address(seed, holder.agent));
    let mut centres = BTreeSet::new();
    let (best, rest): (Vec<_>, Vec<_>) = ranked
        .into_iter()
        .partition(|holder| centres.insert(holder.data_centre.as_str()));
    let order = best.into_iter().chain(rest);
    order.take(MAX_LOOKUPS).map(|holder| holder.agent).collect()
}
