//! The calls of one service that wait for a place at an endpoint: who waits, who is next, who is
//! refused.
//!
//! Calls are served by rank. Within a rank, teams share by deficit round robin over the work of
//! their calls; within a team, calls that can still be on time go before those that can only be
//! late, and older ones first. The wait of a call is predicted from the work ahead of it and the
//! rate at which work leaves the queue.

mod promised_returns;
mod rank_queue;
mod request;
mod wait_policy;
mod work_rate;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use amaranth_core::time::Timestamp;

use promised_returns::PromisedReturns;
use rank_queue::{CallOrder, RankQueue, TeamLine, WaitingCall};
pub use request::{
    AdmissionCause, AdmissionRefusal, AdmissionRequest, CallNeed, CallWork, WaitForecast,
};
use work_rate::DepartureRate;

/// Largest number of waiting calls of a service. Each holds its body.
pub const MAX_WAITING: usize = 512;

/// Calls that may try between two changes. Each try searches all engines of the service.
const MAX_TRIES: usize = 8;

/// Different needs at the head of the queue that try again at every change.
const HEAD_NEEDS: usize = 4;

/// Shortest time after which calls behind the head of the queue try again.
const SWEEP_TIME: Duration = Duration::from_millis(40);

/// Longest time for which a call is held before it is decided whether it waits. Holding a call for
/// an eighth of its objective costs nothing, and objectives are a second or more.
const MAX_UNDECIDED: Duration = Duration::from_millis(40);

/// Part of the departures that remains for a rank, however many more urgent calls arrive.
const MIN_RANK_SHARE: f64 = 0.02;

/// Wait that stands for one without an end.
const ENDLESS_WAIT: Duration = Duration::from_secs(600);

/// Weight of the newest call in the typical time to a first event.
const TYPICAL_WEIGHT: f64 = 0.05;

/// Part of the time that a caller has left for which it waits before it returns.
const RETURN_FRACTION: u32 = 3;

/// Part of a team's rate that is promised to returning callers under lasting overload. The rest is for
/// new ones, who are served sooner.
const RETURN_SHARE: f64 = 0.4;

/// Part that is promised during a burst, whose callers return when it is over.
const BURST_RETURN_SHARE: f64 = 0.9;

/// Time for which calls have to wait until overload counts as lasting.
const BURST_TIME: Duration = Duration::from_secs(2);

/// Shortest delay after which a refused caller returns.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Longest delay that is stated. Nothing is known about the load after it.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Part of the delay over which refused callers to whom no room is promised are spread.
const RETRY_SPREAD: f64 = 0.3;

/// Time without a waiting call after which overload is over.
const CALM_TIME: Duration = Duration::from_secs(1);

/// Steps in which the wait of a call and the returns until its turn are predicted from each other.
const RETURN_STEPS: u32 = 3;

/// Time after the first call of an entry until which its rate of departures is taken to rise. Engines
/// that start again hold their models within about two seconds, and the mean follows.
const STARTUP_TIME: Duration = Duration::from_secs(4);

/// Fractional part of the golden ratio. Its multiples spread callers evenly over an interval, however
/// many there are.
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_894_9;

/// Identifies a waiting call. Later calls have larger tickets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallTicket(u64);

/// The calls of one service that wait for a place at an endpoint.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    ranks: BTreeMap<u8, RankQueue>,
    waiting: HashMap<CallTicket, u8>,
    displaced: HashMap<CallTicket, AdmissionRefusal>,
    departures: DepartureRate,
    promises: PromisedReturns,
    typical_first_event: Option<Duration>,
    shortest_objective: Option<Duration>,
    started_at: Option<Timestamp>,
    busy_since: Timestamp,
    busy_at: Timestamp,
    last_ticket: u64,
    refusals: u64,
    turn: Option<CallTicket>,
    round: u64,
    round_at: Timestamp,
    sweep_at: Timestamp,
    tries: usize,
    blocked: HashMap<CallNeed, (u64, Timestamp)>,
}

impl AdmissionQueue {
    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Records that a call arrived. A call is recorded once, also if it is sent several times.
    pub fn record_arrival(&mut self, now: Timestamp, request: &AdmissionRequest) {
        self.advance(now);
        self.started_at.get_or_insert(now);
        let shortest = self.shortest_objective.unwrap_or(request.objective);
        self.shortest_objective = Some(shortest.min(request.objective));
        let rank = self.ranks.entry(request.rank).or_default();
        rank.record_arrival(now, request);
        let first_event = request.first_event;
        let typical = self.typical_first_event.map_or(first_event, |typical| {
            typical.mul_f64(1.0 - TYPICAL_WEIGHT) + first_event.mul_f64(TYPICAL_WEIGHT)
        });
        self.typical_first_event = Some(typical);
    }

    /// Returns the shortest objective of the calls that arrived, if there were any.
    pub const fn shortest_objective(&self) -> Option<Duration> {
        self.shortest_objective
    }

    /// Returns whether an arriving call may look for a place before it joins the queue: calls that
    /// are at least as urgent have looked for one since the last change, and need another one.
    pub fn may_try_at_once(&self, request: &AdmissionRequest) -> bool {
        let has_turn = |ticket| {
            let rank = self.waiting.get(&ticket);
            rank.is_some_and(|rank| *rank <= request.rank)
        };
        !self.turn.is_some_and(has_turn)
            && self.ahead(request.rank).all(|call| {
                call.request.need != request.need && self.was_blocked(call.request.need)
            })
    }

    /// Records that a call was sent without waiting in the queue.
    pub fn record_sent_at_once(&mut self, now: Timestamp, request: &AdmissionRequest) {
        self.advance(now);
        // Departures count only while calls wait; before, their rate is that of the arrivals.
        if !self.is_empty() {
            self.departures.record(now, request.work);
        }
        self.promises.redeem(now, request);
        self.charge(now, request);
    }

    /// Adds a call to the queue, or refuses it at once if it can be neither on time nor late.
    ///
    /// `has_tried` says that the call has looked for a place and found none. A call that has not, and
    /// might find one, is decided at its first try or review.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a call that would not be served in time, or for which the queue has no
    /// room.
    pub fn join(
        &mut self,
        now: Timestamp,
        request: AdmissionRequest,
        has_tried: bool,
    ) -> Result<CallTicket, AdmissionRefusal> {
        self.advance(now);
        if has_tried {
            self.blocked.insert(request.need, (self.round, now));
        }
        let first_arrived = self.promises.redeem(now, &request);
        let is_decided = has_tried
            || self
                .ahead(request.rank)
                .any(|call| call.request.need == request.need);
        self.last_ticket += 1;
        let mut call = WaitingCall {
            ticket: CallTicket(self.last_ticket),
            first_arrived,
            is_provisional: !is_decided,
            has_tried,
            due_at: None,
            request,
        };
        let forecast = self.forecast(now, &call);
        call.due_at = forecast.wait.map(|wait| now + wait);
        if is_decided && !self.admits(now, &call, &forecast) {
            return Err(self.refusal(now, &call, forecast, AdmissionCause::AtArrival));
        }
        if self.len() >= MAX_WAITING && !self.make_room(now, &call) {
            return Err(self.refusal(now, &call, forecast, AdmissionCause::QueueFull));
        }
        let ticket = call.ticket;
        self.waiting.insert(ticket, call.request.rank);
        let rank = self.ranks.entry(call.request.rank).or_default();
        rank.insert(now, call);
        Ok(ticket)
    }

    /// Returns the wait that was first predicted for a call, if the rate of departures was known.
    pub fn predicted_wait(&mut self, now: Timestamp, ticket: CallTicket) -> Option<Duration> {
        let due = self.call_mut(ticket)?.due_at?;
        Some(due.since(now))
    }

    /// Begins a round of tries: places may have become free, so the calls at the head of the queue
    /// look for one again.
    pub fn begin_round(&mut self, now: Timestamp) {
        self.round += 1;
        self.round_at = now;
        self.tries = 0;
    }

    /// Returns the time since the last round began.
    pub fn round_age(&self, now: Timestamp) -> Duration {
        now.since(self.round_at)
    }

    /// Returns the call that is to look for a place now, unless another one does already. Its turn
    /// lasts until it is sent, has found no place or leaves.
    pub fn next_turn(&mut self, now: Timestamp) -> Option<CallTicket> {
        if self.turn.is_some() || self.tries >= MAX_TRIES {
            return None;
        }
        self.advance(now);
        let (round, sweep_at, blocked) = (self.round, self.sweep_at, &self.blocked);
        let tried = blocked.values().filter(|(at, _)| *at == round).count();
        // The first few needs try in each round. The others take turns, so that all have tried before
        // one tries again.
        let is_blocked = |need| {
            blocked.get(&need).is_some_and(|(at_round, at)| {
                *at_round == round || (tried >= HEAD_NEEDS && *at >= sweep_at)
            })
        };
        let typical = self.typical_first_event.unwrap_or_default();
        let mut ranks = self.ranks.values_mut();
        let next = ranks.find_map(|rank| rank.next(now, typical, is_blocked));
        if next.is_none() && now.since(self.sweep_at) >= SWEEP_TIME {
            self.sweep_at = now;
            self.blocked.retain(|_, (at_round, _)| *at_round == round);
        }
        self.tries += usize::from(next.is_some());
        self.turn = next;
        self.turn
    }

    /// Returns whether it is a call's turn.
    pub fn has_turn(&self, ticket: CallTicket) -> bool {
        self.turn == Some(ticket)
    }

    /// Records that a call found no place in its turn.
    pub fn record_blocked(&mut self, now: Timestamp, ticket: CallTicket) {
        self.end_turn(ticket);
        let Some(call) = self.call_mut(ticket) else {
            return;
        };
        call.has_tried = true;
        let need = call.request.need;
        self.blocked.insert(need, (self.round, now));
    }

    /// Records that a waiting call is sent, and removes it.
    pub fn record_sent(&mut self, now: Timestamp, ticket: CallTicket) {
        self.advance(now);
        if let Some(call) = self.remove(ticket) {
            self.departures.record(now, call.request.work);
            self.charge(now, &call.request);
        }
    }

    /// Removes a call whose caller left.
    pub fn withdraw(&mut self, now: Timestamp, ticket: CallTicket) {
        self.advance(now);
        self.displaced.remove(&ticket);
        self.remove(ticket);
    }

    /// Decides whether a call goes on waiting. A call that does not is removed.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a call that has waited for as long as it was useful.
    pub fn review(
        &mut self,
        now: Timestamp,
        ticket: CallTicket,
    ) -> Result<WaitForecast, AdmissionRefusal> {
        self.advance(now);
        if let Some(refusal) = self.displaced.remove(&ticket) {
            return Err(refusal);
        }
        let Some(call) = self.call_mut(ticket).cloned() else {
            return Err(AdmissionRefusal {
                cause: AdmissionCause::Displaced,
                forecast: WaitForecast::default(),
                retry_after: MIN_RETRY_AFTER,
            });
        };
        let forecast = self.forecast(now, &call);
        if let (None, Some(wait)) = (call.due_at, forecast.wait)
            && let Some(call) = self.call_mut(ticket)
        {
            call.due_at = Some(now + wait);
        }
        let is_over = wait_policy::late_left(now, &call.request).is_zero();
        let is_undecided = call.is_provisional
            && !call.has_tried
            && now.since(call.request.arrived) < MAX_UNDECIDED;
        let cause = if is_over {
            AdmissionCause::Expired
        } else if is_undecided {
            return Ok(forecast);
        } else if call.is_provisional {
            if self.admits(now, &call, &forecast) {
                if let Some(call) = self.call_mut(ticket) {
                    call.is_provisional = false;
                }
                return Ok(forecast);
            }
            AdmissionCause::AtArrival
        } else if self.continues(now, &call, &forecast) {
            return Ok(forecast);
        } else {
            AdmissionCause::GaveUp
        };
        self.remove(ticket);
        Err(self.refusal(now, &call, forecast, cause))
    }

    fn admits(&self, now: Timestamp, call: &WaitingCall, forecast: &WaitForecast) -> bool {
        let request = &call.request;
        call.first_arrived.is_some()
            || request.was_sent
            || wait_policy::is_admitted(now, request, forecast, self.typical())
            || self.would_be_overtaken(now, request, forecast)
    }

    fn continues(&self, now: Timestamp, call: &WaitingCall, forecast: &WaitForecast) -> bool {
        let request = &call.request;
        let mut forecast = *forecast;
        if let (Some(wait), Some(due)) = (&mut forecast.wait, call.due_at) {
            // A call whose predicted wait is over has an obstacle of its own, which the work ahead of
            // it does not show. It is expected to last as long again.
            *wait = (*wait).max(now.since(due));
            forecast.late_wait = forecast.late_wait.max(forecast.wait);
        }
        request.was_sent
            || wait_policy::continues(now, request, &forecast, self.typical())
            || self.would_be_overtaken(now, request, &forecast)
    }

    /// Returns whether less urgent calls wait, and this one would be of use at its turn. If it were
    /// refused, they would be served in its place.
    fn would_be_overtaken(
        &self,
        now: Timestamp,
        request: &AdmissionRequest,
        forecast: &WaitForecast,
    ) -> bool {
        let is_useful = forecast
            .wait
            .is_some_and(|wait| wait <= wait_policy::late_left(now, request));
        let mut less_urgent = self.waiting.values().filter(|rank| **rank > request.rank);
        is_useful && less_urgent.next().is_some()
    }

    fn typical(&self) -> Duration {
        self.typical_first_event.unwrap_or_default()
    }

    fn advance(&mut self, now: Timestamp) {
        if !self.is_empty() {
            self.busy_at = now;
            return;
        }
        self.departures.record_idle(now);
        self.blocked.clear();
        if now.since(self.busy_at) >= CALM_TIME {
            self.busy_since = now;
        }
    }

    fn charge(&mut self, now: Timestamp, request: &AdmissionRequest) {
        let rank = self.ranks.entry(request.rank).or_default();
        rank.record_sent(now, request.team.as_ref(), request.work);
    }

    fn end_turn(&mut self, ticket: CallTicket) {
        if self.turn == Some(ticket) {
            self.turn = None;
        }
    }

    fn remove(&mut self, ticket: CallTicket) -> Option<WaitingCall> {
        self.end_turn(ticket);
        let rank = self.waiting.remove(&ticket)?;
        self.ranks.get_mut(&rank)?.remove(ticket)
    }

    fn call_mut(&mut self, ticket: CallTicket) -> Option<&mut WaitingCall> {
        let rank = self.waiting.get(&ticket)?;
        self.ranks.get_mut(rank)?.call_mut(ticket)
    }

    /// Iterates over the waiting calls that are at least as urgent as `rank`.
    fn ahead(&self, rank: u8) -> impl Iterator<Item = &WaitingCall> {
        self.ranks
            .range(..=rank)
            .flat_map(|(_, queue)| queue.calls())
    }

    fn was_blocked(&self, need: CallNeed) -> bool {
        self.blocked
            .get(&need)
            .is_some_and(|(round, at)| *round == self.round || *at >= self.sweep_at)
    }

    /// Removes a less urgent call, or one of a team that has more calls waiting, from the full queue.
    /// Returns whether there is room for the call now.
    fn make_room(&mut self, now: Timestamp, call: &WaitingCall) -> bool {
        let request = &call.request;
        let least_urgent = self.ranks.iter().rev();
        let mut least_urgent = least_urgent.filter(|(_, queue)| queue.calls().next().is_some());
        let Some((rank, queue)) = least_urgent.next() else {
            return true;
        };
        let Some(longest) = queue.longest_line() else {
            return true;
        };
        let own = queue.line(request.team.as_ref());
        let own_calls = own.map_or(0, |line| line.calls.len());
        let is_own_team = *rank == request.rank && longest.calls.len() <= own_calls + 1;
        if *rank < request.rank || is_own_team {
            return false;
        }
        let typical = self.typical();
        let last = longest
            .calls
            .iter()
            .max_by_key(|call| call.order(now, typical));
        let Some(last) = last.cloned() else {
            return false;
        };
        let forecast = self.forecast(now, &last);
        self.remove(last.ticket);
        let refusal = self.refusal(now, &last, forecast, AdmissionCause::Displaced);
        self.displaced.insert(last.ticket, refusal);
        true
    }

    /// Predicts the wait of a call, which may be in the queue or not.
    fn forecast(&self, now: Timestamp, call: &WaitingCall) -> WaitForecast {
        let request = &call.request;
        let ahead = self.work_ahead(now, call);
        let mut forecast = WaitForecast {
            position: ahead.position,
            work_ahead: ahead.urgent + ahead.own + ahead.others,
            ..WaitForecast::default()
        };
        let Some(departures) = self.departures.known() else {
            return forecast;
        };
        let departures = departures * (1.0 + self.startup_rise(now));
        let urgent = self.ranks.range(..request.rank);
        let urgent: f64 = urgent.map(|(_, queue)| queue.arrivals.at(now)).sum();
        let rate = (departures - urgent).max(departures * MIN_RANK_SHARE);
        let (team_rate, late_rate) = self.ranks.get(&request.rank).map_or((rate, rate), |queue| {
            queue.team_rate(now, request.team.as_ref(), rate)
        });
        let urgent_s = ahead.urgent as f64 / rate;
        let saved = ahead.saved.min(ahead.own);
        let own_s = saved as f64 / rate + (ahead.own - saved) as f64 / team_rate;
        let wait = seconds(urgent_s + own_s);
        let is_new = !self.waiting.contains_key(&call.ticket) && call.first_arrived.is_none();
        let returns = |wait| {
            if is_new {
                self.promises.expected_work(request, now + wait)
            } else {
                0.0
            }
        };
        // More callers return until the turn of the call, which they delay.
        let with_returns = (0..RETURN_STEPS).fold(wait, |longer, _| {
            wait + seconds(returns(longer) / team_rate)
        });
        let expected = with_returns.max(self.departures.stall(now));
        let late_wait = if late_rate > 0.0 {
            seconds(urgent_s + ahead.own_late as f64 / late_rate)
        } else {
            ENDLESS_WAIT
        };
        forecast.rate = Some(team_rate);
        forecast.wait = Some(expected);
        forecast.returns = with_returns - wait;
        forecast.late_wait = Some(late_wait.max(expected));
        forecast
    }

    fn work_ahead(&self, now: Timestamp, call: &WaitingCall) -> WorkAhead {
        let request = &call.request;
        let mut ahead = WorkAhead::default();
        for (_, queue) in self.ranks.range(..request.rank) {
            for call in queue.calls() {
                ahead.position += 1;
                ahead.urgent += call.request.work.tokens();
            }
        }
        let Some(queue) = self.ranks.get(&request.rank) else {
            return ahead;
        };
        let typical = self.typical();
        let order = call.order(now, typical);
        let own = queue.line(request.team.as_ref());
        ahead.saved = own.map_or(0, TeamLine::saved);
        for other in own.iter().flat_map(|line| &line.calls) {
            let work = other.request.work.tokens();
            let other_order = other.order(now, typical);
            let is_late = matches!(other_order, CallOrder::Late(..));
            if other_order < order {
                ahead.position += 1;
                ahead.own += work;
            }
            if other.ticket != call.ticket && (other_order < order || !is_late) {
                ahead.own_late += work;
            }
        }
        // While the own team's calls are sent, each other team sends as much work at most.
        let share = ahead.own + request.work.tokens();
        for line in queue.lines.iter().filter(|line| line.team != request.team) {
            let work = line.work();
            if work > 0 {
                let part = work.min(share) as f64 / work as f64;
                ahead.position += (line.calls.len() as f64 * part).round() as usize;
                ahead.others += work.min(share);
            }
        }
        ahead
    }

    /// Returns the refusal of a call, with the time after which there is room for it.
    fn refusal(
        &mut self,
        now: Timestamp,
        call: &WaitingCall,
        forecast: WaitForecast,
        cause: AdmissionCause,
    ) -> AdmissionRefusal {
        let request = &call.request;
        let usable = request.deadline.since(now) / RETURN_FRACTION;
        let room_after = self.room_after(request, &forecast, self.return_share(now));
        let retry_after = match room_after {
            Some(room_after) if room_after <= usable => {
                self.promises.promise(now, now + room_after, request);
                room_after
            }
            Some(_) => {
                // No room is promised, and the caller waits for longer than it can use.
                let room_after = self.room_after(request, &forecast, 1.0);
                self.spread(room_after.unwrap_or_default().max(usable), RETRY_SPREAD)
            }
            None => self.spread(request.objective / 2, 2.0),
        };
        AdmissionRefusal {
            cause,
            forecast,
            retry_after,
        }
    }

    /// Returns a delay from the given one up to a part more, different for each refused caller.
    fn spread(&mut self, delay: Duration, part: f64) -> Duration {
        self.refusals += 1;
        let position = (self.refusals as f64 * GOLDEN_FRACTION).fract();
        delay
            .mul_f64(1.0 + part * position)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns the time after which there is room for a caller that returns, and goes first then: the
    /// calls that wait now have left, and so have the callers that were told before, if returns get
    /// `share` of the rate. Returns nothing while no rate is known.
    fn room_after(
        &self,
        request: &AdmissionRequest,
        forecast: &WaitForecast,
        share: f64,
    ) -> Option<Duration> {
        let (rate, wait) = (forecast.rate?, forecast.wait?);
        let work = self.promises.promised_work(request) + request.work.tokens();
        let after_returns = seconds(work as f64 / (rate * share));
        let room_after = wait.saturating_sub(forecast.returns) + after_returns;
        Some(room_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }

    /// Returns the part of a team's present rate that is promised to returning callers.
    fn return_share(&self, now: Timestamp) -> f64 {
        let rise = 1.0 + self.startup_rise(now);
        let is_burst = now.since(self.busy_since) < BURST_TIME;
        let share = if is_burst {
            BURST_RETURN_SHARE
        } else {
            RETURN_SHARE
        };
        rise * share
    }

    /// Returns by which part the rate of departures rises beyond what a new entry has observed. After
    /// a loss of all processes places come back one after the other: a rate that rises steadily is
    /// twice its mean so far, and about doubles within the next second, when callers return.
    fn startup_rise(&self, now: Timestamp) -> f64 {
        let age = self.started_at.map_or(Duration::ZERO, |at| now.since(at));
        (1.0 - age.as_secs_f64() / STARTUP_TIME.as_secs_f64()).max(0.0)
    }
}

/// The waiting calls that are served before a call, and their work.
#[derive(Debug, Default)]
struct WorkAhead {
    position: usize,
    urgent: u64,
    own: u64,
    own_late: u64,
    others: u64,
    saved: u64,
}

/// Returns a duration that is at most [`ENDLESS_WAIT`].
fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).map_or(ENDLESS_WAIT, |wait| wait.min(ENDLESS_WAIT))
}
