//! The waiting calls of one rank: which team is next, and which call within the team.
//!
//! Teams share the rank by deficit round robin over the work of their calls. A team may send while
//! its credit is positive, and goes into debt by the rest of the call, so that a large prompt does not
//! wait for credit at the head of its team. When no team has credit, all get a quantum.

use std::time::Duration;

use amaranth_core::ids::TeamName;
use amaranth_core::time::Timestamp;

use super::CallTicket;
use super::request::{AdmissionRequest, CallNeed, CallWork};
use super::wait_policy;
use super::work_rate::ArrivalRate;

/// Work that a team of weight one may send in a round: about a call with a usual prompt.
const QUANTUM: i64 = 1_000;

/// Largest credit that a team saves while it asks for less than its share. A team of a few calls a second
/// sends some of them together, and would else wait behind a flood for each.
const MAX_SAVED: i64 = 6 * QUANTUM;

/// Half-life of the counts of a team's calls that arrived and that were sent.
const COUNT_HALF_LIFE_S: f64 = 10.0;

/// Calls of a team from which its served share is compared with the mean.
const MIN_COUNTED: f64 = 4.0;

/// Fraction of the mean served share below which a team goes first in its rank. The requirement is a
/// quarter; the rest is room for the delay until the team's calls are sent.
const MIN_SHARE_OF_MEAN: f64 = 0.3;

/// Time within which the waiting calls of another team are taken to be served, in seconds: about an
/// objective.
const BACKLOG_TIME_S: f64 = 1.0;

/// Largest number of teams that are kept without waiting calls, for their counts.
const MAX_IDLE_TEAMS: usize = 256;

/// A call in the queue.
#[derive(Debug, Clone)]
pub(super) struct WaitingCall {
    pub(super) ticket: CallTicket,
    pub(super) request: AdmissionRequest,
    /// The arrival of the caller's first attempt, if that was refused and the caller has returned when
    /// it was told to.
    pub(super) first_arrived: Option<Timestamp>,
    /// Whether the decision to hold the call waits for its first try.
    pub(super) is_provisional: bool,
    /// Whether the call has looked for a place.
    pub(super) has_tried: bool,
    /// The time at which the call was first predicted to be sent.
    pub(super) due_at: Option<Timestamp>,
}

/// The order of calls within a team, first by kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum CallOrder {
    /// The call was sent before.
    Sent(Timestamp, CallTicket),
    /// The call can still be on time.
    OnTime(Timestamp, CallTicket),
    /// The call can only be late.
    Late(Timestamp, CallTicket),
}

impl WaitingCall {
    /// Returns the position of the call within its team. A caller that returns as told has the place
    /// of its first attempt, before all calls that came after it.
    pub(super) fn order(&self, now: Timestamp, typical: Duration) -> CallOrder {
        let arrived = self.first_arrived.unwrap_or(self.request.arrived);
        if self.request.was_sent {
            CallOrder::Sent(arrived, self.ticket)
        } else if wait_policy::on_time_left(now, &self.request, typical).is_zero() {
            CallOrder::Late(arrived, self.ticket)
        } else {
            CallOrder::OnTime(arrived, self.ticket)
        }
    }
}

/// The waiting calls of a team in one rank, and its recent share.
#[derive(Debug, Default)]
pub(super) struct TeamLine {
    pub(super) team: Option<TeamName>,
    pub(super) calls: Vec<WaitingCall>,
    pub(super) arrivals: ArrivalRate,
    credit: i64,
    credit_round: u64,
    arrived: f64,
    sent: f64,
    counted_at: Timestamp,
}

impl TeamLine {
    /// Returns the work of the waiting calls.
    pub(super) fn work(&self) -> u64 {
        let calls = self.calls.iter();
        calls.map(|call| call.request.work.tokens()).sum()
    }

    /// Returns the work that the team may send before others that have sent their share.
    pub(super) fn saved(&self) -> u64 {
        u64::try_from(self.credit).unwrap_or_default()
    }

    fn counts(&self, now: Timestamp) -> (f64, f64) {
        let elapsed_s = now.since(self.counted_at).as_secs_f64();
        let keep = (-elapsed_s / COUNT_HALF_LIFE_S).exp2();
        (self.arrived * keep, self.sent * keep)
    }

    fn count(&mut self, now: Timestamp, arrived: f64, sent: f64) {
        let counts = self.counts(now);
        self.arrived = counts.0 + arrived;
        self.sent = counts.1 + sent;
        self.counted_at = now;
    }
}

/// The waiting calls of one rank by teams.
#[derive(Debug, Default)]
pub(super) struct RankQueue {
    pub(super) lines: Vec<TeamLine>,
    pub(super) arrivals: ArrivalRate,
    cursor: usize,
    round: u64,
}

impl RankQueue {
    /// Returns the line of a team, if it is known.
    pub(super) fn line(&self, team: Option<&TeamName>) -> Option<&TeamLine> {
        self.lines.iter().find(|line| line.team.as_ref() == team)
    }

    fn line_mut(&mut self, now: Timestamp, team: Option<&TeamName>) -> &mut TeamLine {
        let known = self
            .lines
            .iter()
            .position(|line| line.team.as_ref() == team);
        let index = known.unwrap_or_else(|| {
            self.forget_idle_teams(now);
            self.lines.push(TeamLine {
                team: team.cloned(),
                ..TeamLine::default()
            });
            self.lines.len() - 1
        });
        &mut self.lines[index]
    }

    fn forget_idle_teams(&mut self, now: Timestamp) {
        if self.lines.len() < MAX_IDLE_TEAMS {
            return;
        }
        self.lines
            .retain(|line| !line.calls.is_empty() || line.counts(now).0 >= MIN_COUNTED);
        if self.lines.len() >= 2 * MAX_IDLE_TEAMS {
            self.lines.retain(|line| !line.calls.is_empty());
        }
    }

    /// Counts a call that arrived.
    pub(super) fn record_arrival(&mut self, now: Timestamp, request: &AdmissionRequest) {
        self.arrivals.record(now, request.work);
        let line = self.line_mut(now, request.team.as_ref());
        line.arrivals.record(now, request.work);
        line.count(now, 1.0, 0.0);
    }

    /// Counts a call that was sent, and charges its work to its team.
    pub(super) fn record_sent(&mut self, now: Timestamp, team: Option<&TeamName>, work: CallWork) {
        let line = self.line_mut(now, team);
        line.count(now, 0.0, 1.0);
        line.credit -= work.tokens() as i64;
        if self.lines.iter().all(|line| line.calls.is_empty()) {
            // Nobody waits, so nobody is owed anything.
            for line in &mut self.lines {
                line.credit = 0;
            }
        }
    }

    /// Inserts a call.
    pub(super) fn insert(&mut self, now: Timestamp, call: WaitingCall) {
        let round = self.round;
        let line = self.line_mut(now, call.request.team.as_ref());
        if line.calls.is_empty() {
            // While others wait, a team without calls pays its debt and saves some credit.
            let passed = i64::try_from(round - line.credit_round).unwrap_or(i64::MAX);
            let paid = passed.saturating_mul(QUANTUM);
            line.credit = line.credit.saturating_add(paid).min(MAX_SAVED);
        }
        line.calls.push(call);
    }

    /// Removes a call.
    pub(super) fn remove(&mut self, ticket: CallTicket) -> Option<WaitingCall> {
        for line in &mut self.lines {
            let Some(index) = line.calls.iter().position(|call| call.ticket == ticket) else {
                continue;
            };
            let call = line.calls.remove(index);
            if line.calls.is_empty() {
                line.credit_round = self.round;
            }
            return Some(call);
        }
        None
    }

    /// Iterates over the waiting calls.
    pub(super) fn calls(&self) -> impl Iterator<Item = &WaitingCall> {
        self.lines.iter().flat_map(|line| &line.calls)
    }

    /// Returns a waiting call.
    pub(super) fn call_mut(&mut self, ticket: CallTicket) -> Option<&mut WaitingCall> {
        let mut calls = self.lines.iter_mut().flat_map(|line| &mut line.calls);
        calls.find(|call| call.ticket == ticket)
    }

    /// Returns the team with the most waiting calls.
    pub(super) fn longest_line(&self) -> Option<&TeamLine> {
        let waiting = self.lines.iter().filter(|line| !line.calls.is_empty());
        waiting.max_by_key(|line| line.calls.len())
    }

    /// Returns the next call whose need is not blocked.
    pub(super) fn next(
        &mut self,
        now: Timestamp,
        typical: Duration,
        is_blocked: impl Fn(CallNeed) -> bool,
    ) -> Option<CallTicket> {
        let heads: Vec<(usize, CallTicket)> = self
            .lines
            .iter()
            .enumerate()
            .filter_map(|(index, line)| {
                let calls = line.calls.iter();
                let open = calls.filter(|call| !is_blocked(call.request.need));
                let head = open.min_by_key(|call| call.order(now, typical))?;
                Some((index, head.ticket))
            })
            .collect();
        if let Some(ticket) = self.neglected(now, &heads) {
            return Some(ticket);
        }
        self.replenish(&heads);
        let lines = self.lines.len();
        let turns_until = |index: usize| (index + lines - self.cursor % lines) % lines;
        let funded = heads
            .iter()
            .filter(|(index, _)| self.lines[*index].credit > 0);
        let (index, ticket) = *funded.min_by_key(|(index, _)| turns_until(*index))?;
        self.cursor = index;
        Some(ticket)
    }

    /// Grants quanta to the teams until one of them has credit.
    fn replenish(&mut self, heads: &[(usize, CallTicket)]) {
        let most = heads
            .iter()
            .map(|(index, _)| self.lines[*index].credit)
            .max();
        let rounds = most.map_or(0, |most| if most > 0 { 0 } else { 1 - most / QUANTUM });
        if rounds > 0 {
            self.round += rounds.unsigned_abs();
            for (index, _) in heads {
                self.lines[*index].credit += rounds * QUANTUM;
            }
        }
    }

    /// Returns the head of the team that is served least, if it is below its minimum share.
    fn neglected(&self, now: Timestamp, heads: &[(usize, CallTicket)]) -> Option<CallTicket> {
        let limit = self.min_share(now)?;
        let share = |index: usize| {
            let (arrived, sent) = self.lines[index].counts(now);
            (arrived >= MIN_COUNTED).then(|| sent / arrived)
        };
        heads
            .iter()
            .filter_map(|head| Some((share(head.0)?, head)))
            .filter(|(share, _)| *share < limit)
            .min_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, (_, ticket))| *ticket)
    }

    /// Returns the rate of work that a team gets of `rate`, and how much of that is left for late calls.
    ///
    /// Each other team takes what it asks for, up to an equal share; the rest is the team's. A team
    /// below its minimum share goes first, and gets all.
    pub(super) fn team_rate(
        &self,
        now: Timestamp,
        team: Option<&TeamName>,
        rate: f64,
    ) -> (f64, f64) {
        let own = self
            .line(team)
            .map_or(0.0, |line| line.arrivals.peak_at(now));
        if self.is_neglected(now, team) {
            return (rate, rate - own);
        }
        let others = self.lines.iter().filter(|line| line.team.as_ref() != team);
        let mut demands: Vec<f64> = others
            .map(|line| line.arrivals.at(now) + line.work() as f64 / BACKLOG_TIME_S)
            .filter(|demand| *demand > 0.0)
            .collect();
        demands.sort_unstable_by(f64::total_cmp);
        let (mut left, mut sharing) = (rate, demands.len() as f64 + 1.0);
        for demand in demands {
            if demand > left / sharing {
                break;
            }
            left -= demand;
            sharing -= 1.0;
        }
        let share = left / sharing;
        (share, share - own)
    }

    /// Returns whether a team is served less than its minimum share, and therefore goes first.
    pub(super) fn is_neglected(&self, now: Timestamp, team: Option<&TeamName>) -> bool {
        let (Some(limit), Some(line)) = (self.min_share(now), self.line(team)) else {
            return false;
        };
        let (arrived, sent) = line.counts(now);
        arrived >= MIN_COUNTED && sent < limit * arrived
    }

    /// Returns the minimum share of its calls that each team gets served, if there are several.
    fn min_share(&self, now: Timestamp) -> Option<f64> {
        if self.lines.len() < 2 {
            return None;
        }
        let counts = self.lines.iter().map(|line| line.counts(now));
        let (arrived, sent) = counts.fold((0.0, 0.0), |sum, counts| {
            (sum.0 + counts.0, sum.1 + counts.1)
        });
        (arrived > 0.0).then(|| MIN_SHARE_OF_MEAN * sent / arrived)
    }
}
