//! The software versions at which streams began, so that each stream goes on at no other.
//!
//! Engines of several versions may serve side by side, and what two versions write does not fit
//! together. The caller of a broken stream may take it up at any entry, also after the entry that
//! began it has ended. Each entry therefore tells two agents of every stream that it begins, and an
//! entry that does not know the origin of a stream asks for it. All entries rank the agents alike by
//! the key of the stream, the best of each data centre first, so that copies are in different data
//! centres and are found although an agent joined or was lost in between. Only some agents hold
//! origins in a large fleet, so that an entry connects to few of them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use amaranth_core::digest::hash64;
use amaranth_core::ids::{ServiceName, SoftwareVersion};
use amaranth_core::time::Timestamp;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::call::CallId;

/// Number of agents that are told of a stream.
pub const ORIGIN_COPIES: usize = 2;

/// Number of agents that are asked for the origin of a stream, more than copies, since agents may have
/// joined in between.
pub const ORIGIN_LOOKUPS: usize = 4;

/// Time for which the origin of a stream is kept, longer than callers wait for an answer.
pub const ORIGIN_TIME: Duration = Duration::from_secs(120);

/// Largest number of agents that hold origins.
const MAX_HOLDERS: usize = 64;

/// Largest number of origins that are kept for [`ORIGIN_TIME`]; with more, the oldest are forgotten
/// earlier.
const MAX_ORIGINS: usize = 32_768;

/// The key of a stream: a digest of the id of the call that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamKey(u64);

impl From<&CallId> for StreamKey {
    fn from(call: &CallId) -> Self {
        Self(hash64(0, call.as_str().as_bytes()))
    }
}

/// The software version at which a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamKey,
    /// The version.
    pub software: SoftwareVersion,
}

/// The origins of recent streams, in two generations of which the older one is dropped as a whole.
#[derive(Debug, Clone, Default)]
pub struct StreamOrigins {
    current: HashMap<StreamKey, SoftwareVersion>,
    previous: HashMap<StreamKey, SoftwareVersion>,
    current_since: Timestamp,
}

impl StreamOrigins {
    /// Records the origin of a stream at `now`. The first one that is known of a stream stays.
    pub fn record(&mut self, now: Timestamp, origin: StreamOrigin) {
        self.forget_old(now);
        if !self.previous.contains_key(&origin.stream) {
            self.current.entry(origin.stream).or_insert(origin.software);
        }
    }

    /// Returns the version at which a stream began, if it is known at `now`.
    pub fn find(&mut self, now: Timestamp, stream: StreamKey) -> Option<SoftwareVersion> {
        self.forget_old(now);
        let known = self.current.get(&stream);
        known.or_else(|| self.previous.get(&stream)).cloned()
    }

    fn forget_old(&mut self, now: Timestamp) {
        let age = now.since(self.current_since);
        if age < ORIGIN_TIME && self.current.len() < MAX_ORIGINS {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        if age >= ORIGIN_TIME * 2 {
            self.previous.clear();
        }
        self.current_since = now;
    }
}

/// An agent that may hold origins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OriginHolder {
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

/// Returns the agents that hold origins, which are the same whatever the stream, of all agents of a
/// fleet with their data centres.
pub fn select_holders<'a>(
    agents: impl IntoIterator<Item = (SocketAddr, &'a str)>,
) -> Vec<OriginHolder> {
    let agents = agents.into_iter();
    let mut hashed: Vec<(u64, SocketAddr, &str)> = agents
        .map(|(agent, centre)| (hash_address(0, agent), agent, centre))
        .collect();
    hashed.sort_unstable();
    hashed.dedup_by_key(|(_, agent, _)| *agent);
    hashed.truncate(MAX_HOLDERS);
    let holders = hashed.into_iter().map(|(_, agent, centre)| OriginHolder {
        agent,
        data_centre: centre.to_owned(),
    });
    holders.collect()
}

/// Returns the agents that hold the origin of a stream, in the order in which they are told and asked:
/// the best of each data centre, then all others.
pub fn rank_holders(
    stream: StreamKey,
    holders: &[OriginHolder],
) -> SmallVec<[SocketAddr; ORIGIN_LOOKUPS]> {
    let mut ranked: Vec<&OriginHolder> = holders.iter().collect();
    ranked.sort_by_cached_key(|holder| hash_address(stream.0, holder.agent));
    let mut centres = BTreeSet::new();
    let (best, rest): (Vec<_>, Vec<_>) = ranked
        .into_iter()
        .partition(|holder| centres.insert(holder.data_centre.as_str()));
    let order = best.into_iter().chain(rest);
    order
        .take(ORIGIN_LOOKUPS)
        .map(|holder| holder.agent)
        .collect()
}

/// The software versions of each service that are listed, or were so within [`ORIGIN_TIME`].
#[derive(Debug, Clone, Default)]
pub struct SoftwareHistory {
    seen: BTreeMap<ServiceName, BTreeMap<SoftwareVersion, Timestamp>>,
}

impl SoftwareHistory {
    /// Records the versions that are listed at `now`, and forgets old ones.
    pub fn record<'a>(
        &mut self,
        now: Timestamp,
        listed: impl IntoIterator<Item = (&'a ServiceName, &'a SoftwareVersion)>,
    ) {
        for (service, software) in listed {
            if let Some(versions) = self.seen.get_mut(service)
                && let Some(seen_at) = versions.get_mut(software)
            {
                *seen_at = now;
                continue;
            }
            let versions = self.seen.entry(service.clone()).or_default();
            versions.insert(software.clone(), now);
        }
        self.seen.retain(|_, versions| {
            versions.retain(|_, seen_at| now.since(*seen_at) < ORIGIN_TIME);
            !versions.is_empty()
        });
    }

    /// Returns the version of all endpoints of a service, if there was no other one.
    pub fn only_version(&self, service: &ServiceName) -> Option<&SoftwareVersion> {
        let versions = self.seen.get(service)?;
        let (software, _) = versions.first_key_value()?;
        (versions.len() == 1).then_some(software)
    }
}
