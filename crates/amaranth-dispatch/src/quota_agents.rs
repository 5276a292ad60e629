//! The agents that grant shards of quotas, as one entry knows them.
//!
//! A shard must not move while entries may still use its old granter: each of two granters grants the
//! whole shard. So a granter keeps its shards until it has been gone from the registry for longer than
//! the entries' copies of the registry differ and than engines take to restart. An agent that doesn't
//! answer keeps its shards as well, since other entries may reach it; the other shards go on. A new
//! agent gets shards only once all entries know it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use amaranth_core::time::Timestamp;

use crate::holder_ranking::{StateHolder, rank_holders};

/// Time for which an agent keeps its shards after it is gone from the registry.
pub const GONE_TIME: Duration = Duration::from_secs(30);

/// Time after which a new agent gets shards. It is shorter than the time for which a lost agent keeps
/// its shards, so that replaced agents have successors.
pub const JOIN_TIME: Duration = Duration::from_secs(15);

/// Time between two readings of the registry.
pub const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug, Clone)]
struct KnownAgent {
    data_centre: String,
    joined_at: Option<Timestamp>,
    listed_at: Timestamp,
}

/// The agents that may grant shards.
#[derive(Debug, Clone, Default)]
pub struct QuotaAgents {
    known: BTreeMap<SocketAddr, KnownAgent>,
    eligible: Vec<StateHolder>,
    refreshed_at: Option<Timestamp>,
    revision: u64,
}

impl QuotaAgents {
    /// Returns whether the registry has to be read again.
    pub fn needs_refresh(&self, now: Timestamp) -> bool {
        let age = self.refreshed_at.map(|at| now.since(at));
        age.is_none_or(|age| age >= REFRESH_INTERVAL || self.known.is_empty())
    }

    /// Records the agents that the registry lists now.
    pub fn refresh(&mut self, now: Timestamp, listed: &[StateHolder]) {
        // An entry that has just started can't tell which agents are new.
        let joined_at = (!self.known.is_empty()).then_some(now);
        for holder in listed {
            let known = self
                .known
                .entry(holder.agent)
                .or_insert_with(|| KnownAgent {
                    data_centre: holder.data_centre.clone(),
                    joined_at,
                    listed_at: now,
                });
            known.listed_at = now;
        }
        self.known
            .retain(|_, agent| now.since(agent.listed_at) < GONE_TIME);
        self.refreshed_at = Some(now);
        let is_eligible = |agent: &KnownAgent| {
            let joined = agent.joined_at.map(|at| now.since(at));
            joined.is_none_or(|age| age >= JOIN_TIME)
        };
        let eligible = || self.known.iter().filter(|(_, agent)| is_eligible(agent));
        let known = self.eligible.iter().map(|holder| &holder.agent);
        if eligible().map(|(agent, _)| agent).eq(known) {
            return;
        }
        self.eligible = eligible()
            .map(|(agent, known)| StateHolder {
                agent: *agent,
                data_centre: known.data_centre.clone(),
            })
            .collect();
        if self.eligible.is_empty() {
            self.eligible = listed.to_vec();
        }
        self.revision += 1;
    }

    /// Returns a number that changes whenever shards may have moved.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the agent that grants the shard of this seed, if any agent is known.
    pub fn granter(&self, seed: u64) -> Option<&StateHolder> {
        let first = rank_holders(seed, &self.eligible).into_iter().next()?;
        self.eligible.iter().find(|holder| holder.agent == first)
    }
}
