//! The split of a team's quota into shards, of which one agent each grants tokens.
//!
//! Within any window the shard of one granter, and of any number of granters that follow each other,
//! allows at most `room + rate x window + debt`. So all shards together exceed the quota by their
//! debts only. One shard may have two granters for any time, when entries disagree about its agent.
//! The number of shards and the debt are chosen so that both fit into the tolerance:
//!
//! `shards x debt + (burst + rate x window) / shards + debt <= over x (burst + rate x window) + slack`

use std::time::Duration;

use amaranth_core::digest::hash64;
use amaranth_core::ids::TeamName;
use serde::{Deserialize, Serialize};

use crate::teams::{QuotaCost, QuotaUnit, TeamQuota};

/// Part of the tolerance that a second granter of one shard may use. The rest is for debts.
const SECOND_GRANTER_FRACTION: f64 = 0.5;

/// Smallest number of shards where there is a tolerance. With one granter of three lost, a team that
/// uses 0.56 of its limit is still served.
const MIN_SHARDS: f64 = 3.0;

/// Largest number of shards, the largest number of agents that hold what entries share.
const MAX_SHARDS: f64 = 64.0;

/// Time for which a shard may be in debt, in seconds, and the debt in tokens that it may have in any
/// case. More would serve larger calls, but keep a team without tokens for long, also after its granter
/// restarts.
const DEBT_TIME_S: f64 = 4.0;
const MIN_USEFUL_DEBT: f64 = 2_000.0;

/// Longest time after an entry's question until it spends what it needed at once.
pub const NEED_LENGTH: Duration = Duration::from_millis(400);

/// Largest part of a shard's capacity that entries may lease beyond what they need at once.
const EXTRA_FRACTION: f64 = 0.6;

/// Burst that is assumed where the configuration names none, in seconds of the rate.
const DEFAULT_BURST_S: f64 = 1.0;

/// Part of what the shards can hold that one call is charged at most. Waiting for all shards to be
/// full at the same time would refuse the call for ever.
const MAX_COST_FRACTION: f64 = 0.75;

/// Part of its largest debt from which a shard grants nothing. The other part is for calls that are
/// larger than what a shard holds.
const GRACE_FRACTION: f64 = 0.5;

/// By how much the sum of what is sent may exceed a quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaTolerance {
    /// The length of the windows in which the sum is taken.
    pub window: Duration,
    /// The excess as a fraction of the quota.
    pub over: f64,
    /// The excess in the unit of the quota.
    pub slack: f64,
}

impl Default for QuotaTolerance {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(8),
            over: 0.0,
            slack: 0.0,
        }
    }
}

impl QuotaTolerance {
    /// Returns the largest sum of costs in a window.
    pub fn allowed(&self, quota: &TeamQuota) -> f64 {
        (quota.rate_per_s * self.window.as_secs_f64() + burst(quota)) * (1.0 + self.over)
            + self.slack
    }
}

/// The limit of each shard of a team.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ShardLimit {
    /// The number of shards of the team.
    pub shards: u16,
    /// The tokens that a shard gets per second.
    pub rate: f64,
    /// The largest number of tokens of a shard.
    pub capacity: f64,
    /// The largest debt of a shard.
    pub debt: f64,
    /// The debt with which the shard of a granter that has just started begins.
    pub start_debt: f64,
}

impl ShardLimit {
    /// Returns the limit of each shard of a quota, or nothing if the quota has no limit.
    pub fn of(quota: &TeamQuota, tolerance: &QuotaTolerance) -> Option<Self> {
        let rate = quota.rate_per_s;
        if !(rate.is_finite() && rate > 0.0) {
            return None;
        }
        let burst = burst(quota);
        let sum = rate * tolerance.window.as_secs_f64() + burst;
        let excess = (tolerance.over * sum + tolerance.slack - held_excess(rate, burst)).max(0.0);
        let shards = shard_count(sum, excess);
        let left = (excess - sum / shards).max(0.0);
        let debt = (left / (shards + 1.0)).min(useful_debt(quota.unit, rate / shards));
        let spare = left - (shards + 1.0) * debt;
        Some(Self {
            shards: shards as u16,
            rate: rate / shards,
            capacity: burst / shards,
            debt,
            // Two restarts of every granter within a window may each forgive what is not begun with.
            start_debt: (debt - spare / (2.0 * shards)).max(0.0),
        })
    }

    /// Returns what a call of this cost is charged.
    pub fn charged(&self, cost: QuotaCost) -> QuotaCost {
        let most = (self.capacity + self.debt) * f64::from(self.shards) * MAX_COST_FRACTION;
        QuotaCost(cost.0.min((most as u64).max(1)))
    }

    /// Returns the level above which a shard grants more than what is needed at once. What is leased to
    /// entries that don't use it is replaced by the debt, so that others still get the whole burst.
    pub fn extra_level(&self) -> f64 {
        self.capacity - self.debt.min(self.capacity * EXTRA_FRACTION)
    }

    /// Returns the largest sum of a shard's level and of what is leased and may still be spent. It is the
    /// capacity, unless the leases of a shard that is in full use need more.
    pub fn room(&self) -> f64 {
        let extra = self.capacity - self.extra_level();
        let leased = self.rate * NEED_LENGTH.as_secs_f64() + extra;
        self.capacity.max(leased)
    }

    /// Returns the level down to which a shard grants the tokens of any call. It is below zero, so that a
    /// team gets its whole burst also while its shards are not filled alike.
    pub fn lowest_level(&self) -> f64 {
        -self.debt * GRACE_FRACTION
    }

    /// Returns the level from which a shard grants a token.
    pub fn granting_level(&self) -> f64 {
        self.lowest_level().max(1.0 - self.debt)
    }

    /// Returns the number of tokens that a shard of this level grants to a call that needs `tokens`: all,
    /// or as many as its largest debt allows.
    pub fn grantable(&self, level: f64, tokens: u64) -> u64 {
        if level <= self.lowest_level() {
            return 0;
        }
        tokens.min((level + self.debt) as u64)
    }
}

/// Returns the seed by which entries rank the agents for a shard.
pub fn shard_seed(team: &TeamName, shard: u16) -> u64 {
    hash64(u64::from(shard) + 1, team.as_str().as_bytes())
}

/// Returns the cost of a call that states this number of tokens, if it states one.
pub fn call_cost(quota: &TeamQuota, stated_tokens: Option<u64>) -> QuotaCost {
    match quota.unit {
        QuotaUnit::Calls => QuotaCost(1),
        QuotaUnit::Tokens => QuotaCost(stated_tokens.unwrap_or(u64::from(quota.plain_tokens))),
    }
}

fn burst(quota: &TeamQuota) -> f64 {
    if quota.burst.is_finite() && quota.burst > 0.0 {
        quota.burst
    } else {
        quota.rate_per_s * DEFAULT_BURST_S
    }
}

/// Returns the excess of all shards' room over their capacity: tokens that are granted before a window
/// and spent in it, although the shards are full at its beginning.
fn held_excess(rate: f64, burst: f64) -> f64 {
    let leased = rate * NEED_LENGTH.as_secs_f64() + burst * EXTRA_FRACTION;
    (leased - burst).max(0.0) * (1.0 + 1.0 / MIN_SHARDS)
}

fn shard_count(sum: f64, excess: f64) -> f64 {
    if excess <= 0.0 {
        // Without a tolerance nothing makes several granters safe.
        return 1.0;
    }
    let shards = (sum / (excess * SECOND_GRANTER_FRACTION)).ceil();
    shards.clamp(MIN_SHARDS, MAX_SHARDS)
}

/// Returns the debt beyond which a shard has little use for more, since it would be in debt for long.
fn useful_debt(unit: QuotaUnit, shard_rate: f64) -> f64 {
    match unit {
        QuotaUnit::Calls => 1.0,
        QuotaUnit::Tokens => (shard_rate * DEBT_TIME_S).max(MIN_USEFUL_DEBT),
    }
}
