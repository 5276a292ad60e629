//! Teams as the operator configures them: their API keys, rank and quota.

use std::fmt;

use amaranth_core::ids::TeamName;
use strum::Display;

/// The unit in which a quota counts calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum QuotaUnit {
    /// Each call costs one.
    #[default]
    Calls,
    /// A call costs its prompt tokens plus the largest number of tokens that it may generate.
    Tokens,
}

/// The cost of a call, or an amount of such costs, in the unit of a team's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct QuotaCost(pub u64);

impl fmt::Display for QuotaCost {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// The quota of a team, which binds the calls at all entries together.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TeamQuota {
    /// The unit of the rate, the burst and the costs.
    pub unit: QuotaUnit,
    /// The cost per second that the team may spend; 0 if there is no limit.
    pub rate_per_s: f64,
    /// The cost that the team may spend at once after a pause.
    pub burst: f64,
    /// The cost of a call that states no tokens, if the quota counts tokens.
    pub plain_tokens: u32,
}

/// The configuration of one team.
#[derive(Clone, PartialEq)]
pub struct TeamRule {
    /// The name of the team.
    pub name: TeamName,
    /// The API keys of the team's callers.
    pub keys: Vec<String>,
    /// The rank of the team's calls, if it takes the place of their routes' priorities.
    pub priority: Option<u8>,
    /// The quota of the team.
    pub quota: TeamQuota,
}

impl fmt::Debug for TeamRule {
    /// Formats the rule without its keys, which must not get into logs.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("TeamRule")
            .field("name", &self.name)
            .field("keys", &self.keys.len())
            .field("priority", &self.priority)
            .field("quota", &self.quota)
            .finish()
    }
}
