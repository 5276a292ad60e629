//! The shards of teams' quotas at the agent that grants their tokens.
//!
//! The state is lost with the process. A granter that starts assumes that its predecessor has just
//! granted all that it could, so that restarts never add to what a team may spend. Tokens that are
//! leased and may still be spent count as if they were in the bucket: what entries spend in a window is
//! bounded although leases outlive their grants.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use amaranth_core::ids::TeamName;
use amaranth_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::quota_shards::{NEED_LENGTH, ShardLimit};
use crate::token_bucket::TokenBucket;

/// Longest length of a lease.
pub const MAX_LENGTH: Duration = Duration::from_secs(2);

/// Steps to which the ends of leases are rounded up, which bounds the memory for them.
const END_STEP_MICROS: u64 = 50_000;

/// Shortest and longest time after which a denied entry asks again.
const MIN_WAIT: Duration = Duration::from_millis(20);
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Part of its capacity up to which a shard may refill while all askers wait for their turn.
const LATEST_FILL: f64 = 0.5;

/// Time without a question after which a shard that is full is forgotten.
const IDLE_TIME: Duration = Duration::from_secs(60);

/// Time between two searches for shards to forget.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);

/// The end of a lease on the clock of its granter, rounded up. Entries name it when they give tokens
/// back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct LeaseEnd(u64);

impl LeaseEnd {
    fn new(at: Timestamp) -> Self {
        Self(at.as_micros().div_ceil(END_STEP_MICROS) * END_STEP_MICROS)
    }

    const fn at(self) -> Timestamp {
        Timestamp::from_micros(self.0)
    }
}

/// Tokens that an entry leased and gives back, since it has not spent them and never will.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReturnedTokens {
    /// The number of tokens.
    pub tokens: u64,
    /// The end of their lease.
    pub lease_end: LeaseEnd,
}

/// An entry's question for tokens of one shard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShardAsk {
    /// The team.
    pub team: TeamName,
    /// The number of the shard.
    pub shard: u16,
    /// The version of the entry's configuration.
    pub version: u64,
    /// The limit by that configuration.
    pub limit: ShardLimit,
    /// The tokens that each call needs at once. Without any, the granter only learns the limit.
    pub needs: Vec<u64>,
    /// The tokens that the entry will probably use per second, which it may lease beyond its needs if
    /// the shard is well filled.
    pub use_per_s: u64,
    /// The time for which the entry has taken the agent for the granter of the shard. It is long if the
    /// entry knows of no earlier one.
    pub assigned_for: Duration,
    /// The tokens of earlier leases of the shard that the entry gives back.
    pub returned: Vec<ReturnedTokens>,
}

/// The tokens that a shard grants.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShardGrant {
    /// The tokens for each call, in the order of the question.
    pub needs: Vec<u64>,
    /// The end of the lease of these tokens.
    pub needs_end: LeaseEnd,
    /// The tokens beyond the needs of the calls.
    pub extra: u64,
    /// The end of the lease of these.
    pub extra_end: LeaseEnd,
    /// The time after the question until which `extra` may be spent.
    pub extra_length: Duration,
    /// The level of the shard.
    pub level: f64,
    /// The time after which the shard grants tokens, if it grants nothing more before.
    pub ready_in: Duration,
    /// The time until all present leases have ended.
    pub leased_for: Duration,
    /// The level of the shard at that time, if it grants nothing more. Leases keep it from refilling.
    pub level_then: f64,
    /// The time after which to ask again for what was denied; zero if nothing was.
    pub wait: Duration,
    /// Whether the granter has not run for long enough to know that the shard is used up.
    pub is_new: bool,
}

/// One shard of a team.
#[derive(Debug)]
struct Shard {
    limit: ShardLimit,
    tokens: TokenBucket,
    /// The sum of the leases that may still be spent.
    leased: f64,
    /// The leases by the time at which they end.
    ends: BTreeMap<LeaseEnd, f64>,
    asked_at: Timestamp,
}

impl Shard {
    /// Creates a shard for which the granter is responsible for this time without having been asked.
    /// Before that, another granter may have granted all that it could.
    fn new(now: Timestamp, responsible_for: Duration, limit: ShardLimit) -> Self {
        let refilled = limit.rate * responsible_for.as_secs_f64() - limit.start_debt;
        let level = refilled.min(limit.capacity);
        let tokens = TokenBucket::new(now, limit.rate, limit.capacity, level);
        Self {
            limit,
            tokens,
            leased: 0.0,
            ends: BTreeMap::new(),
            asked_at: now,
        }
    }

    fn refill(&mut self, now: Timestamp) {
        while let Some((&end, &leased)) = self.ends.first_key_value()
            && end.at() <= now
        {
            self.refill_to(end.at());
            self.ends.pop_first();
            self.leased = (self.leased - leased).max(0.0);
        }
        if self.ends.is_empty() {
            self.leased = 0.0;
        }
        self.refill_to(now);
    }

    /// Returns the time until the shard grants tokens.
    fn ready_in(&self, now: Timestamp) -> Duration {
        let target = self.limit.granting_level();
        let mut tokens = self.tokens;
        let mut leased = self.leased;
        let mut from = now;
        let time_for = |missing: f64| {
            Duration::try_from_secs_f64(missing.max(0.0) / self.limit.rate).unwrap_or(MAX_WAIT)
        };
        for (end, ending) in &self.ends {
            let limit = (self.limit.room() - leased).min(self.limit.capacity);
            let reached = from + time_for(target - tokens.level());
            if target <= limit && reached <= end.at() {
                return reached.since(now);
            }
            from = end.at();
            tokens.refill_below(from, limit);
            leased -= ending;
        }
        (from + time_for(target - tokens.level())).since(now)
    }

    /// Returns the time until all present leases have ended, and the level at that time.
    fn forecast(&self, now: Timestamp) -> (Duration, f64) {
        let mut tokens = self.tokens;
        let mut leased = self.leased;
        let mut last = now;
        for (end, ending) in &self.ends {
            last = end.at();
            let room = self.limit.room() - leased;
            tokens.refill_below(last, room.min(self.limit.capacity));
            leased -= ending;
        }
        (last.since(now), tokens.level())
    }

    fn refill_to(&mut self, at: Timestamp) {
        let room = self.limit.room() - self.leased;
        self.tokens.refill_below(at, room.min(self.limit.capacity));
    }

    fn set_limit(&mut self, now: Timestamp, limit: ShardLimit) {
        if limit != self.limit {
            self.limit = limit;
            self.tokens.set_rate(limit.rate, limit.capacity);
            self.refill_to(now);
        }
    }

    fn lease(&mut self, now: Timestamp, tokens: u64, length: Duration) {
        if tokens == 0 {
            return;
        }
        self.tokens.take(tokens as f64);
        self.leased += tokens as f64;
        *self.ends.entry(LeaseEnd::new(now + length)).or_default() += tokens as f64;
    }

    fn grant(&mut self, now: Timestamp, ask: &ShardAsk) -> ShardGrant {
        self.asked_at = now;
        let mut wait = Duration::ZERO;
        let needs = ask.needs.iter().map(|tokens| {
            let granted = self.limit.grantable(self.tokens.level(), *tokens);
            if granted > 0 {
                self.lease(now, granted, NEED_LENGTH);
            } else if *tokens > 0 {
                wait = wait.max(self.deny(*tokens));
            }
            granted
        });
        let needs: Vec<u64> = needs.collect();
        let (extra, extra_length) = if wait.is_zero() {
            self.grant_extra(now, ask.use_per_s)
        } else {
            (0, Duration::ZERO)
        };
        let ready_in = self.ready_in(now);
        let (leased_for, level_then) = self.forecast(now);
        ShardGrant {
            needs,
            needs_end: LeaseEnd::new(now + NEED_LENGTH),
            extra,
            extra_end: LeaseEnd::new(now + extra_length),
            extra_length,
            level: self.tokens.level(),
            ready_in,
            leased_for,
            level_then,
            wait,
            is_new: false,
        }
    }

    /// Denies tokens and returns the time after which to ask again. Askers come back in turn, but not after
    /// the shard is full, since then its tokens would be lost.
    fn deny(&mut self, tokens: u64) -> Duration {
        let level = self.tokens.level();
        let missing = (self.limit.granting_level() - level).max(0.0);
        let in_turn = self.tokens.deny(missing, tokens as f64);
        let to_fill = (self.limit.capacity * LATEST_FILL - level) / self.limit.rate;
        let to_fill = Duration::try_from_secs_f64(to_fill).unwrap_or(MIN_WAIT);
        let soonest = Duration::try_from_secs_f64(missing / self.limit.rate).unwrap_or(MAX_WAIT);
        in_turn.min(to_fill).max(soonest).clamp(MIN_WAIT, MAX_WAIT)
    }

    /// Grants tokens beyond the needs of calls: the better filled the shard, the more. The lease lasts
    /// twice as long as the entry takes to use them, since it keeps the shard from refilling.
    fn grant_extra(&mut self, now: Timestamp, use_per_s: u64) -> (u64, Duration) {
        let surplus = self.tokens.level() - self.limit.extra_level();
        if surplus < 1.0 || use_per_s == 0 {
            return (0, Duration::ZERO);
        }
        let granted = use_per_s.min(surplus as u64);
        let used_in = Duration::from_secs_f64(granted as f64 / use_per_s as f64);
        let length = (used_in * 2).clamp(NEED_LENGTH, MAX_LENGTH);
        self.lease(now, granted, length);
        (granted, length)
    }

    /// Takes back tokens. They fill the shard no further than time would have done.
    fn take_back(&mut self, now: Timestamp, returned: &[ReturnedTokens]) {
        for ReturnedTokens { tokens, lease_end } in returned {
            let tokens = *tokens as f64;
            self.tokens.take(-tokens);
            if let Some(leased) = self.ends.get_mut(lease_end) {
                let ended = leased.min(tokens);
                *leased -= ended;
                self.leased -= ended;
            }
        }
        self.refill_to(now);
    }

    fn is_forgotten(&self, now: Timestamp) -> bool {
        now.since(self.asked_at) > IDLE_TIME && self.tokens.level() >= self.limit.capacity
    }
}

/// The limit of a team by the newest configuration that an entry named.
#[derive(Debug, Clone, Copy)]
struct NamedLimit {
    version: u64,
    limit: ShardLimit,
    named_at: Timestamp,
}

/// Grants the tokens of shards.
#[derive(Debug, Default)]
pub struct QuotaGrantor {
    started: Timestamp,
    limits: HashMap<TeamName, NamedLimit>,
    shards: HashMap<(TeamName, u16), Shard>,
    forgot_at: Timestamp,
}

impl QuotaGrantor {
    /// Creates a granter that starts now.
    pub fn new(now: Timestamp) -> Self {
        Self {
            started: now,
            ..Self::default()
        }
    }

    /// Returns the number of shards that were asked for.
    pub fn len(&self) -> usize {
        self.shards.len()
    }

    /// Returns whether no shard was asked for.
    pub fn is_empty(&self) -> bool {
        self.shards.is_empty()
    }

    /// Answers an entry that asks for tokens of a shard. The limit of the highest configuration version
    /// that any entry named counts.
    pub fn grant(&mut self, now: Timestamp, ask: &ShardAsk) -> ShardGrant {
        self.forget_idle(now);
        let limit = self.newest_limit(now, ask);
        let is_new = self.is_new(now, &limit);
        if ask.shard >= limit.shards {
            // The shard is one of an earlier configuration.
            return ShardGrant {
                needs: vec![0; ask.needs.len()],
                needs_end: LeaseEnd::default(),
                extra: 0,
                extra_end: LeaseEnd::default(),
                extra_length: Duration::ZERO,
                level: 0.0,
                ready_in: MAX_WAIT,
                leased_for: Duration::ZERO,
                level_then: 0.0,
                wait: MAX_WAIT,
                is_new,
            };
        }
        let responsible_for = ask.assigned_for.min(now.since(self.started));
        let shard = self
            .shards
            .entry((ask.team.clone(), ask.shard))
            .or_insert_with(|| Shard::new(now, responsible_for, limit));
        shard.refill(now);
        shard.set_limit(now, limit);
        shard.take_back(now, &ask.returned);
        let grant = shard.grant(now, ask);
        ShardGrant { is_new, ..grant }
    }

    fn newest_limit(&mut self, now: Timestamp, ask: &ShardAsk) -> ShardLimit {
        let named = self.limits.entry(ask.team.clone()).or_insert(NamedLimit {
            version: ask.version,
            limit: ask.limit,
            named_at: now,
        });
        named.named_at = now;
        if ask.version > named.version {
            named.version = ask.version;
            named.limit = ask.limit;
        }
        named.limit
    }

    /// Returns whether a shard that this granter finds used up may be so only because the granter has
    /// started a short time ago.
    fn is_new(&self, now: Timestamp, limit: &ShardLimit) -> bool {
        let to_fill = (limit.start_debt + limit.capacity) / limit.rate;
        now.since(self.started).as_secs_f64() < to_fill
    }

    /// Forgets shards that are full. A shard that is asked for again is full as well, unless the process
    /// has just started.
    fn forget_idle(&mut self, now: Timestamp) {
        if now.since(self.forgot_at) < FORGET_INTERVAL {
            return;
        }
        self.forgot_at = now;
        self.shards.retain(|_, shard| {
            shard.refill(now);
            !shard.is_forgotten(now)
        });
        let shards = &self.shards;
        self.limits.retain(|team, named| {
            now.since(named.named_at) <= IDLE_TIME || shards.keys().any(|(known, _)| known == team)
        });
    }
}
