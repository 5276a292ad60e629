//! The tokens of teams' quotas that an entry has leased, and what it asks of whom.
//!
//! A call is charged before it is sent. If the tokens in hand don't suffice, the entry asks the granter
//! of one shard for the rest, then that of another. What it has learned of shards that are used up lets
//! it refuse calls without a message. Only calls lead to messages; an entry without calls of a team
//! asks nothing.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use amaranth_core::digest::hash64;
use amaranth_core::ids::TeamName;
use amaranth_core::time::Timestamp;
use smallvec::SmallVec;

use crate::engine_selector::Locality;
use crate::holder_ranking::StateHolder;
use crate::quota_agents::QuotaAgents;
use crate::quota_grantor::{LeaseEnd, ReturnedTokens, ShardAsk, ShardGrant};
use crate::quota_shards::{NEED_LENGTH, QuotaTolerance, ShardLimit, shard_seed};
use crate::refusal::{Refusal, RefusalCause};
use crate::teams::{QuotaCost, TeamQuota};

/// Time within which a granter answers: a cross-region round trip, and 100 ms at each end for which a
/// CPU quota may pause the process.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a granter that did not answer is not asked, and after which a caller may try again
/// when granters don't answer.
pub const SILENCE_TIME: Duration = Duration::from_secs(1);

/// Shortest and longest retry delay of refused callers.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(120);

/// Numerator and denominator of the part of a team's shards that have to be known as used up before its
/// calls are refused as over the quota. A team that uses 0.56 of its limit needs no more than these.
const KNOWN_SHARDS: (usize, usize) = (3, 5);

/// Length of the interval by which the use of tokens is counted.
const USE_INTERVAL: Duration = Duration::from_secs(1);

/// Part of a shard's capacity beyond which the tokens of a call are taken from several shards.
const PART_OF_CAPACITY: f64 = 2.0;

/// Difference of levels, as a part of the capacity, from which a farther shard is preferred.
const LEVEL_STEP: f64 = 0.25;

/// Rounds of questions for one call after which it is refused. An entry that knows little of a team
/// meets several shards that others have used up, although the rest suffices.
const MAX_ROUNDS: u32 = 8;

/// Rounds of questions for one call after a call of the team was refused a short time ago.
const ROUNDS_OVER_QUOTA: u32 = 2;

/// Time after a refusal for which a team counts as over its quota.
const OVER_QUOTA_TIME: Duration = Duration::from_secs(1);

/// Time for which a granter counts as responsible if the entry knows of no earlier one.
const LONG_ASSIGNED: Duration = Duration::from_secs(3_600);

/// Time after which no more questions are asked for a call.
const MAX_ATTEMPT_TIME: Duration = Duration::from_millis(700);

/// Smallest number of calls in an interval from which the next interval is expected to have as many.
const MIN_CALLS_FOR_EXTRA: u32 = 3;

/// Leased tokens with the time until which they may be spent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeasedTokens {
    /// The number of tokens.
    pub tokens: u64,
    /// The end of the lease.
    pub ends_at: Timestamp,
    /// The agent that granted the tokens.
    pub agent: SocketAddr,
    /// The shard of the team.
    pub shard: u16,
    /// The end of the lease on the agent's clock.
    pub lease_end: LeaseEnd,
}

/// The tokens that were charged for one call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaCharge {
    /// The team.
    pub team: TeamName,
    spent: SmallVec<[LeasedTokens; 2]>,
}

impl QuotaCharge {
    /// Returns the number of charged tokens.
    pub fn tokens(&self) -> u64 {
        self.spent.iter().map(|lease| lease.tokens).sum()
    }
}

/// The number of a question for the tokens of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QuotaTicket(u64);

/// A question of an attempt that is not answered yet.
#[derive(Debug, Clone, Copy)]
struct OpenQuestion {
    ticket: QuotaTicket,
    shard: u16,
    tokens: u64,
}

/// The attempt to charge one call.
#[derive(Debug, Clone)]
pub struct QuotaAttempt {
    team: TeamName,
    cost: u64,
    begun_at: Timestamp,
    gathered: SmallVec<[LeasedTokens; 2]>,
    open: SmallVec<[OpenQuestion; 2]>,
    /// The shards that gave less than they were asked for.
    denied: SmallVec<[u16; 4]>,
    rounds: u32,
    questions: u32,
}

impl QuotaAttempt {
    /// Returns the team.
    pub const fn team(&self) -> &TeamName {
        &self.team
    }

    /// Returns the number of tokens that the call is charged.
    pub const fn cost(&self) -> u64 {
        self.cost
    }

    /// Returns the number of questions that were asked.
    pub const fn questions(&self) -> u32 {
        self.questions
    }

    /// Adds the tokens that a granter gave for this call. Returns whether all questions are answered, so
    /// that the attempt goes on.
    pub fn receive(&mut self, delivery: &QuotaDelivery) -> bool {
        let ticket = delivery.ticket;
        let question = self.open.iter().position(|open| open.ticket == ticket);
        if let Some(question) = question {
            let question = self.open.swap_remove(question);
            let tokens = delivery.lease.map_or(0, |lease| lease.tokens);
            if tokens < question.tokens {
                self.denied.push(question.shard);
            }
            self.gathered.extend(delivery.lease);
        }
        self.open.is_empty()
    }

    /// Returns the tokens that were gathered and are not spent.
    pub fn into_gathered(self) -> impl Iterator<Item = LeasedTokens> {
        self.gathered.into_iter()
    }

    /// Returns whether the answers took too long, so that they tell nothing of the quota.
    fn is_late(&self, now: Timestamp) -> bool {
        now.since(self.begun_at) >= MAX_ATTEMPT_TIME
    }

    fn missing(&self) -> u64 {
        let gathered: u64 = self.gathered.iter().map(|lease| lease.tokens).sum();
        self.cost.saturating_sub(gathered)
    }

    fn take_from(&mut self, pool: &mut Vec<LeasedTokens>) {
        while self.missing() > 0
            && let Some(lease) = pool.last_mut()
        {
            let taken = lease.tokens.min(self.missing());
            lease.tokens -= taken;
            self.gathered.push(LeasedTokens {
                tokens: taken,
                ..*lease
            });
            if lease.tokens == 0 {
                pool.pop();
            }
        }
    }
}

/// The next step of an attempt to charge a call.
#[derive(Debug, Clone, PartialEq)]
pub enum QuotaStep {
    /// The call is charged and may be sent.
    Charged(QuotaCharge),
    /// Agents are asked; the attempt goes on when these questions are answered.
    Ask(SmallVec<[QuotaTicket; 2]>),
    /// The call is refused.
    Refused(QuotaRefusal),
}

/// Why a call is refused, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaRefusal {
    /// The answer to the caller.
    pub refusal: Refusal,
    /// The state of the team's shards.
    pub shards: ShardSummary,
}

/// What an entry knows of the shards of a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardSummary {
    /// The number of shards.
    pub shards: usize,
    /// The number of shards that can't grant what the call needs.
    pub used_up: usize,
    /// The number of shards whose granter doesn't answer or isn't known.
    pub silent: usize,
    /// The number of shards whose granter has just started.
    pub starting: usize,
}

/// How near an agent is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    SameDataCentre,
    SameRegion,
    Far,
}

/// What is known of one shard.
#[derive(Debug, Clone)]
struct ShardView {
    granter: Option<(SocketAddr, Distance)>,
    /// The time at which the shard moved to this granter, if another one is known to have had it.
    moved_at: Option<Timestamp>,
    /// The level and when it was stated, if the granter has answered. Other entries can only have lowered
    /// it since.
    level: Option<(Timestamp, f64)>,
    /// The level at the end of the leases of which the granter knows, which keep it from refilling.
    level_then: Option<(Timestamp, f64)>,
    /// The time from which the shard grants tokens, as its granter stated it.
    ready_at: Timestamp,
    /// The time until which the granter wants not to be asked.
    wait_until: Timestamp,
    is_starting: bool,
}

impl ShardView {
    fn new(granter: Option<(SocketAddr, Distance)>) -> Self {
        Self {
            granter,
            moved_at: None,
            level: None,
            level_then: None,
            ready_at: Timestamp::ZERO,
            wait_until: Timestamp::ZERO,
            is_starting: false,
        }
    }

    /// Returns the level that the shard will have at `at` if no entry leases or returns tokens.
    fn level_at(&self, at: Timestamp, limit: &ShardLimit) -> f64 {
        let refilled = |(stated_at, level): (Timestamp, f64)| {
            level + at.since(stated_at).as_secs_f64() * limit.rate
        };
        let levels = [self.level, self.level_then].into_iter().flatten();
        levels.map(refilled).fold(limit.capacity, f64::min)
    }

    /// Returns the tokens that the shard may grant at `at`.
    fn grantable_at(&self, at: Timestamp, limit: &ShardLimit, tokens: u64) -> u64 {
        if at < self.wait_until {
            return 0;
        }
        limit.grantable(self.level_at(at, limit), tokens)
    }
}

/// Calls of a team and their tokens.
#[derive(Debug, Clone, Copy, Default)]
struct TokenUse {
    calls: u32,
    tokens: u64,
}

/// The use of a team's tokens in the last full interval and in the one that goes on.
#[derive(Debug, Clone, Copy, Default)]
struct RecentUse {
    interval: u64,
    current: TokenUse,
    previous: TokenUse,
}

impl RecentUse {
    fn roll(&mut self, now: Timestamp) {
        let interval = now.as_micros() / USE_INTERVAL.as_micros() as u64;
        if interval == self.interval {
            return;
        }
        let is_next = interval == self.interval + 1;
        self.previous = if is_next {
            self.current
        } else {
            TokenUse::default()
        };
        self.current = TokenUse::default();
        self.interval = interval;
    }

    fn record(&mut self, now: Timestamp, tokens: u64) {
        self.roll(now);
        self.current.calls += 1;
        self.current.tokens += tokens;
    }

    /// Returns the tokens that the next second will probably use, or none where calls are too rare to
    /// tell. What is leased beyond the need and not spent is lost to the team.
    fn expected(&mut self, now: Timestamp) -> u64 {
        self.roll(now);
        let intervals = [self.previous, self.current].into_iter();
        let steady = intervals.filter(|interval| interval.calls >= MIN_CALLS_FOR_EXTRA);
        steady.map(|interval| interval.tokens).max().unwrap_or(0)
    }
}

/// The leases of one team.
#[derive(Debug)]
struct TeamLeases {
    version: u64,
    limit: ShardLimit,
    shards: Vec<ShardView>,
    /// The revision of the agents by which the shards have their granters.
    revision: u64,
    /// Tokens in hand; those that end first are last.
    pool: Vec<LeasedTokens>,
    recent: RecentUse,
    refused_at: Option<Timestamp>,
}

impl TeamLeases {
    fn max_rounds(&self, now: Timestamp) -> u32 {
        let is_over_quota = self
            .refused_at
            .is_some_and(|at| now.since(at) < OVER_QUOTA_TIME);
        if is_over_quota {
            ROUNDS_OVER_QUOTA
        } else {
            MAX_ROUNDS
        }
    }

    fn expire(&mut self, now: Timestamp) {
        self.pool.retain(|lease| now < lease.ends_at);
    }

    fn put(&mut self, now: Timestamp, leases: impl IntoIterator<Item = LeasedTokens>) {
        let leases = leases.into_iter();
        self.pool
            .extend(leases.filter(|lease| lease.tokens > 0 && now < lease.ends_at));
        self.pool
            .sort_unstable_by_key(|lease| std::cmp::Reverse(lease.ends_at));
    }
}

/// A call that waits for tokens of one shard.
#[derive(Debug, Clone, Copy)]
struct PendingNeed {
    ticket: QuotaTicket,
    tokens: u64,
}

/// What an agent will be asked about one shard, and the tokens that it will be given back.
#[derive(Debug, Default)]
struct PendingShard {
    needs: Vec<PendingNeed>,
    returned: Vec<ReturnedTokens>,
}

/// What is known of one agent, and what it will be asked next.
#[derive(Debug, Default)]
struct GranterLink {
    is_asked: bool,
    is_silent: bool,
    closed_until: Timestamp,
    pending: BTreeMap<(TeamName, u16), PendingShard>,
}

impl GranterLink {
    fn is_closed(&self, now: Timestamp) -> bool {
        self.is_silent && now < self.closed_until
    }
}

/// The questions of one message to an agent.
#[derive(Debug, Clone)]
pub struct LeaseExchange {
    /// The agent.
    pub agent: SocketAddr,
    /// The time of the message.
    pub asked_at: Timestamp,
    /// The questions.
    pub asks: Vec<ShardAsk>,
    tickets: Vec<Vec<QuotaTicket>>,
    /// Questions of teams whose limit has ended meanwhile.
    void: Vec<(TeamName, QuotaTicket)>,
}

/// Tokens for a call that waits, or nothing if they were denied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaDelivery {
    /// The question that is answered.
    pub ticket: QuotaTicket,
    /// The team.
    pub team: TeamName,
    /// The tokens.
    pub lease: Option<LeasedTokens>,
}

/// The leases of an entry.
#[derive(Debug, Default)]
pub struct QuotaLeases {
    agents: QuotaAgents,
    teams: HashMap<TeamName, TeamLeases>,
    links: HashMap<SocketAddr, GranterLink>,
    next_ticket: u64,
}

impl QuotaLeases {
    /// Returns whether the agents have to be refreshed.
    pub fn needs_agents(&self, now: Timestamp) -> bool {
        self.agents.needs_refresh(now)
    }

    /// Records the agents that the registry lists now.
    pub fn refresh_agents(&mut self, now: Timestamp, listed: &[StateHolder]) {
        self.agents.refresh(now, listed);
        self.links
            .retain(|_, link| link.is_asked || !link.pending.is_empty() || link.is_closed(now));
    }

    /// Returns the teams of which the entry has state, and the version of their limit.
    pub fn teams(&self) -> impl Iterator<Item = (&TeamName, u64)> {
        self.teams.iter().map(|(team, state)| (team, state.version))
    }

    /// Applies the quota of a team by a newer configuration. Granters are told of it when the limit
    /// changes, also those that no call would ask.
    pub fn set_quota(
        &mut self,
        team: &TeamName,
        version: u64,
        quota: Option<&TeamQuota>,
        tolerance: &QuotaTolerance,
    ) {
        let limit = quota.and_then(|quota| ShardLimit::of(quota, tolerance));
        let Some(limit) = limit else {
            self.teams.remove(team);
            return;
        };
        let Some(state) = self.teams.get_mut(team) else {
            let state = TeamLeases {
                version,
                limit,
                shards: Vec::new(),
                revision: 0,
                pool: Vec::new(),
                recent: RecentUse::default(),
                refused_at: None,
            };
            self.teams.insert(team.clone(), state);
            return;
        };
        if version <= state.version {
            return;
        }
        state.version = version;
        if limit == state.limit {
            return;
        }
        for (shard, view) in state.shards.iter().enumerate() {
            if let Some((agent, _)) = view.granter {
                let link = self.links.entry(agent).or_default();
                let key = (team.clone(), shard as u16);
                link.pending.entry(key).or_default();
            }
        }
        state.limit = limit;
        state.shards.clear();
    }

    /// Begins to charge a call of this cost, or returns nothing if the team has no limit.
    pub fn begin(&self, now: Timestamp, team: &TeamName, cost: QuotaCost) -> Option<QuotaAttempt> {
        let state = self.teams.get(team)?;
        Some(QuotaAttempt {
            team: team.clone(),
            cost: state.limit.charged(cost).0,
            begun_at: now,
            gathered: SmallVec::new(),
            open: SmallVec::new(),
            denied: SmallVec::new(),
            rounds: 0,
            questions: 0,
        })
    }

    /// Takes the next step of an attempt.
    pub fn advance(
        &mut self,
        now: Timestamp,
        locality: &Locality,
        attempt: &mut QuotaAttempt,
    ) -> QuotaStep {
        let Some(team) = self.teams.get_mut(&attempt.team) else {
            // The limit has ended while the call waited.
            return QuotaStep::Charged(QuotaCharge {
                team: attempt.team.clone(),
                spent: std::mem::take(&mut attempt.gathered),
            });
        };
        assign_granters(now, &attempt.team, team, &self.agents, locality);
        team.expire(now);
        attempt.gathered.retain(|lease| now < lease.ends_at);
        attempt.take_from(&mut team.pool);
        if attempt.missing() == 0 {
            team.recent.record(now, attempt.cost);
            return QuotaStep::Charged(QuotaCharge {
                team: attempt.team.clone(),
                spent: std::mem::take(&mut attempt.gathered),
            });
        }
        let parts = select_parts(now, team, &self.links, attempt);
        if parts.is_empty() {
            let refusal = refuse(now, team, &self.links, attempt);
            if refusal.refusal.cause == RefusalCause::QuotaExceeded {
                team.refused_at = Some(now);
            }
            for lease in std::mem::take(&mut attempt.gathered) {
                give_back(now, team, &mut self.links, &attempt.team, lease);
            }
            return QuotaStep::Refused(refusal);
        }
        attempt.rounds += 1;
        let tickets = parts.into_iter().map(|part| self.ask(attempt, part));
        QuotaStep::Ask(tickets.collect())
    }

    /// Adds a question to the next message to an agent.
    fn ask(&mut self, attempt: &mut QuotaAttempt, part: LeasePart) -> QuotaTicket {
        self.next_ticket += 1;
        let ticket = QuotaTicket(self.next_ticket);
        let LeasePart {
            shard,
            agent,
            tokens,
        } = part;
        let link = self.links.entry(agent).or_default();
        let pending = link.pending.entry((attempt.team.clone(), shard));
        let needs = &mut pending.or_default().needs;
        needs.push(PendingNeed { ticket, tokens });
        attempt.open.push(OpenQuestion {
            ticket,
            shard,
            tokens,
        });
        attempt.questions += 1;
        ticket
    }

    /// Returns the agents that have to be told of something and are not being asked.
    pub fn due_agents(&self) -> Vec<SocketAddr> {
        let due = self.links.iter();
        due.filter(|(_, link)| !link.is_asked && !link.pending.is_empty())
            .map(|(agent, _)| *agent)
            .collect()
    }

    /// Returns the next message to an agent, unless one is under way or nothing is to be asked. All
    /// questions that have come up since the last message are in it.
    pub fn begin_exchange(&mut self, now: Timestamp, agent: SocketAddr) -> Option<LeaseExchange> {
        let link = self.links.get_mut(&agent)?;
        if link.is_asked || link.pending.is_empty() {
            return None;
        }
        link.is_asked = true;
        let mut exchange = LeaseExchange {
            agent,
            asked_at: now,
            asks: Vec::new(),
            tickets: Vec::new(),
            void: Vec::new(),
        };
        for ((team, shard), pending) in std::mem::take(&mut link.pending) {
            let PendingShard { needs, returned } = pending;
            let Some(state) = self.teams.get_mut(&team) else {
                let void = needs.iter().map(|need| (team.clone(), need.ticket));
                exchange.void.extend(void);
                continue;
            };
            exchange.asks.push(ShardAsk {
                team,
                shard,
                version: state.version,
                limit: state.limit,
                needs: needs.iter().map(|need| need.tokens).collect(),
                use_per_s: if needs.is_empty() {
                    0
                } else {
                    state.recent.expected(now)
                },
                assigned_for: state
                    .shards
                    .get(usize::from(shard))
                    .and_then(|view| view.moved_at)
                    .map_or(LONG_ASSIGNED, |moved_at| now.since(moved_at)),
                returned,
            });
            let tickets = needs.iter().map(|need| need.ticket);
            exchange.tickets.push(tickets.collect());
        }
        Some(exchange)
    }

    /// Records the answer of an agent, or that there was none in time. Returns what each call that waited
    /// for it gets.
    pub fn finish_exchange(
        &mut self,
        now: Timestamp,
        exchange: LeaseExchange,
        answer: Option<Vec<ShardGrant>>,
    ) -> Vec<QuotaDelivery> {
        let link = self.links.entry(exchange.agent).or_default();
        link.is_asked = false;
        link.is_silent = answer.is_none();
        if link.is_silent {
            link.closed_until = now + SILENCE_TIME;
        }
        let void = exchange.void.into_iter();
        let void = void.map(|(team, ticket)| QuotaDelivery {
            ticket,
            team,
            lease: None,
        });
        let mut deliveries: Vec<QuotaDelivery> = void.collect();
        let mut grants = answer.unwrap_or_default().into_iter();
        for (ask, tickets) in exchange.asks.into_iter().zip(exchange.tickets) {
            let grant = grants.next();
            let needs = grant.as_ref().map_or(&[][..], |grant| &grant.needs);
            let lease_end = grant.as_ref().map(|grant| grant.needs_end);
            for (index, ticket) in tickets.iter().enumerate() {
                let tokens = needs.get(index).copied().unwrap_or(0);
                let lease = LeasedTokens {
                    tokens,
                    ends_at: exchange.asked_at + NEED_LENGTH,
                    agent: exchange.agent,
                    shard: ask.shard,
                    lease_end: lease_end.unwrap_or_default(),
                };
                deliveries.push(QuotaDelivery {
                    ticket: *ticket,
                    team: ask.team.clone(),
                    lease: (tokens > 0).then_some(lease),
                });
            }
            let Some(state) = self.teams.get_mut(&ask.team) else {
                continue;
            };
            let Some(grant) = grant else {
                continue;
            };
            let extra = LeasedTokens {
                tokens: grant.extra,
                ends_at: exchange.asked_at + grant.extra_length,
                agent: exchange.agent,
                shard: ask.shard,
                lease_end: grant.extra_end,
            };
            state.put(now, [extra]);
            let view = state.shards.get_mut(usize::from(ask.shard));
            if let Some(view) = view.filter(|view| {
                let granter = view.granter.map(|(agent, _)| agent);
                granter == Some(exchange.agent)
            }) {
                view.level = Some((now, grant.level));
                view.ready_at = now + grant.ready_in;
                view.level_then = Some((now + grant.leased_for, grant.level_then));
                view.is_starting = grant.is_new;
                if !grant.wait.is_zero() && grant.level <= state.limit.lowest_level() {
                    view.wait_until = now + grant.wait;
                }
            }
        }
        deliveries
    }

    /// Takes back tokens that were not spent.
    pub fn put_back(&mut self, now: Timestamp, team: &TeamName, lease: LeasedTokens) {
        if let Some(state) = self.teams.get_mut(team) {
            state.put(now, [lease]);
        }
    }

    /// Takes back the charge of a call that was not sent. Tokens whose lease is over go back to their
    /// granter with the next message.
    pub fn refund(&mut self, now: Timestamp, charge: QuotaCharge) {
        let Some(state) = self.teams.get_mut(&charge.team) else {
            return;
        };
        for lease in charge.spent {
            if now < lease.ends_at {
                state.put(now, [lease]);
            } else {
                give_back(now, state, &mut self.links, &charge.team, lease);
            }
        }
    }
}

/// Assigns the granters of a team's shards, if agents have changed.
fn assign_granters(
    now: Timestamp,
    name: &TeamName,
    team: &mut TeamLeases,
    agents: &QuotaAgents,
    locality: &Locality,
) {
    let shards = usize::from(team.limit.shards);
    if team.shards.len() == shards && team.revision == agents.revision() {
        return;
    }
    team.revision = agents.revision();
    team.shards.truncate(shards);
    for shard in 0..team.limit.shards {
        let granter = agents.granter(shard_seed(name, shard));
        let granter = granter.map(|holder| (holder.agent, distance(locality, &holder.data_centre)));
        match team.shards.get_mut(usize::from(shard)) {
            Some(view) if view.granter == granter => {}
            Some(view) => {
                let moved_at = view.granter.map(|_| now);
                *view = ShardView {
                    moved_at,
                    ..ShardView::new(granter)
                };
            }
            None => team.shards.push(ShardView::new(granter)),
        }
    }
}

fn distance(locality: &Locality, data_centre: &str) -> Distance {
    if data_centre == locality.data_centre {
        Distance::SameDataCentre
    } else if locality.is_same_region(data_centre) {
        Distance::SameRegion
    } else {
        Distance::Far
    }
}

/// A shard that may be asked for tokens of a call.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    shard: u16,
    agent: SocketAddr,
    distance: Distance,
    is_silent: bool,
    level: f64,
    grantable: u64,
    /// An order of shards that differs from call to call.
    order: u64,
}

/// The tokens that one shard is asked for.
#[derive(Debug, Clone, Copy)]
struct LeasePart {
    shard: u16,
    agent: SocketAddr,
    tokens: u64,
}

/// Selects the shards to ask for what a call lacks, and how much each. Selects none if all together
/// can't grant it, so that no tokens are leased in vain.
///
/// Well filled shards come first, of these the nearest. A large call is split: a shard that gave it
/// alone would be in debt while the others are full, and what they can't hold would be lost to the team.
fn select_parts(
    now: Timestamp,
    team: &TeamLeases,
    links: &HashMap<SocketAddr, GranterLink>,
    attempt: &QuotaAttempt,
) -> SmallVec<[LeasePart; 2]> {
    let missing = attempt.missing();
    let mut candidates = candidates(now, team, links, attempt);
    let sum: u64 = candidates.iter().map(|candidate| candidate.grantable).sum();
    let is_over =
        attempt.rounds >= team.max_rounds(now) || now.since(attempt.begun_at) >= MAX_ATTEMPT_TIME;
    if sum < missing || is_over {
        return SmallVec::new();
    }
    let step = team.limit.capacity * LEVEL_STEP;
    candidates.sort_by(|one, other| {
        let rank = |candidate: &Candidate| {
            let steps = (candidate.level / step).floor() as i64;
            // Near shards are used by the same entries. If one denied, another place is a better bet.
            let distance = attempt.denied.is_empty().then_some(candidate.distance);
            (candidate.is_silent, std::cmp::Reverse(steps), distance)
        };
        let by_rank = rank(one).cmp(&rank(other));
        by_rank
            .then(other.level.total_cmp(&one.level))
            .then(one.order.cmp(&other.order))
    });
    let parts = missing as f64 / (team.limit.capacity * PART_OF_CAPACITY);
    candidates.truncate((parts.ceil() as usize).max(1));
    split(missing, &candidates, &team.limit)
}

fn candidates(
    now: Timestamp,
    team: &TeamLeases,
    links: &HashMap<SocketAddr, GranterLink>,
    attempt: &QuotaAttempt,
) -> SmallVec<[Candidate; 8]> {
    let missing = attempt.missing();
    let shards = team.shards.iter().zip(0_u16..);
    let candidates = shards.filter_map(|(view, shard)| {
        let (agent, distance) = view.granter?;
        let link = links.get(&agent);
        if attempt.denied.contains(&shard) || link.is_some_and(|link| link.is_closed(now)) {
            return None;
        }
        Some(Candidate {
            shard,
            agent,
            distance,
            is_silent: link.is_some_and(|link| link.is_silent),
            level: view.level_at(now, &team.limit),
            grantable: view.grantable_at(now, &team.limit, missing),
            order: hash64(now.as_micros(), &shard.to_be_bytes()),
        })
    });
    candidates
        .filter(|candidate| candidate.grantable > 0)
        .collect()
}

/// Splits tokens over shards, so that each is left with the same part of its level, or with the same
/// debt if their levels don't suffice.
fn split(tokens: u64, shards: &[Candidate], limit: &ShardLimit) -> SmallVec<[LeasePart; 2]> {
    let free = |shard: &Candidate| (shard.level - limit.lowest_level()).max(1.0);
    let levels: f64 = shards.iter().map(free).sum();
    let lacking = (tokens as f64 - levels).max(0.0) / shards.len() as f64;
    let taken = (tokens as f64 / levels).min(1.0);
    let mut left = tokens;
    let mut parts = SmallVec::new();
    for shard in shards {
        let part = (free(shard) * taken + lacking).ceil() as u64;
        let part = part.clamp(1, shard.grantable).min(left);
        left -= part;
        if part > 0 {
            parts.push(LeasePart {
                shard: shard.shard,
                agent: shard.agent,
                tokens: part,
            });
        }
    }
    parts
}

/// Returns tokens that a refused call had gathered to their granter, or keeps them for other calls if
/// the shard has moved.
fn give_back(
    now: Timestamp,
    team: &mut TeamLeases,
    links: &mut HashMap<SocketAddr, GranterLink>,
    name: &TeamName,
    lease: LeasedTokens,
) {
    let view = team.shards.get_mut(usize::from(lease.shard));
    let view = view.filter(|view| view.granter.map(|(agent, _)| agent) == Some(lease.agent));
    let Some(view) = view else {
        team.put(now, [lease]);
        return;
    };
    for (_, level) in view.level.iter_mut().chain(&mut view.level_then) {
        *level += lease.tokens as f64;
    }
    let link = links.entry(lease.agent).or_default();
    let pending = link.pending.entry((name.clone(), lease.shard));
    pending.or_default().returned.push(ReturnedTokens {
        tokens: lease.tokens,
        lease_end: lease.lease_end,
    });
}

/// Returns the refusal of a call.
fn refuse(
    now: Timestamp,
    team: &TeamLeases,
    links: &HashMap<SocketAddr, GranterLink>,
    attempt: &QuotaAttempt,
) -> QuotaRefusal {
    let is_silent = |view: &ShardView| match view.granter {
        Some((agent, _)) => links.get(&agent).is_some_and(|link| link.is_silent),
        None => true,
    };
    let silent = team.shards.iter().filter(|view| is_silent(view)).count();
    let answering = team.shards.iter().filter(|view| !is_silent(view));
    let answering: SmallVec<[&ShardView; 8]> = answering.collect();
    let starting = answering.iter().filter(|view| view.is_starting).count();
    let used_up = answering.len() - starting;
    let summary = ShardSummary {
        shards: team.shards.len(),
        used_up,
        silent,
        starting,
    };
    let (part, whole) = KNOWN_SHARDS;
    let is_known = used_up > 0 && used_up * whole >= team.shards.len() * part;
    let refusal = if is_known && !attempt.is_late(now) {
        let wait = time_to_grant(now, &team.limit, &answering, attempt.cost);
        Refusal::with_retry_after(RefusalCause::QuotaExceeded, wait)
    } else {
        Refusal::with_retry_after(RefusalCause::QuotaUnavailable, SILENCE_TIME)
    };
    QuotaRefusal {
        refusal,
        shards: summary,
    }
}

/// Returns the soonest time after which these shards may grant a call of this cost.
fn time_to_grant(now: Timestamp, limit: &ShardLimit, shards: &[&ShardView], cost: u64) -> Duration {
    let is_enough = |wait: Duration| {
        let at = now + wait;
        let ready = shards.iter().filter(|view| view.ready_at <= at);
        let grantable = ready.map(|view| view.grantable_at(at, limit, cost));
        grantable.sum::<u64>() >= cost
    };
    let mut enough = MIN_RETRY_AFTER;
    while !is_enough(enough) && enough < MAX_RETRY_AFTER {
        enough *= 2;
    }
    let mut too_short = enough / 2;
    for _ in 0..8 {
        let middle = (too_short + enough) / 2;
        if is_enough(middle) {
            enough = middle;
        } else {
            too_short = middle;
        }
    }
    enough.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
