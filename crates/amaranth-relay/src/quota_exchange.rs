//! The charge of calls to the quotas of their teams, with tokens that agents lease to this entry.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use amaranth_dispatch::quota_grantor::ShardGrant;
use amaranth_dispatch::quota_lease::{
    ANSWER_TIMEOUT, LeaseExchange, QuotaAttempt, QuotaCharge, QuotaDelivery, QuotaLeases,
    QuotaRefusal, QuotaStep, QuotaTicket,
};
use amaranth_dispatch::quota_shards::call_cost;
use amaranth_dispatch::refusal::Refusal;
use amaranth_dispatch::routes::RouteTable;
use tokio::sync::mpsc::{self, UnboundedSender};
use tokio::time::timeout;

use crate::entry::EntryCore;
use crate::routed_call::RoutedCall;

#[derive(Debug, Default)]
struct ExchangeState {
    leases: QuotaLeases,
    waiting: HashMap<QuotaTicket, UnboundedSender<QuotaDelivery>>,
}

/// The leases of this entry, and the calls that wait for answers of agents.
#[derive(Debug, Default)]
pub struct QuotaExchange {
    state: Mutex<ExchangeState>,
}

impl QuotaExchange {
    fn lock(&self) -> MutexGuard<'_, ExchangeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The charge of a call. It is refunded when the value is dropped, unless the call may have run.
#[derive(Debug)]
pub struct ChargedCall {
    core: Arc<EntryCore>,
    charge: Option<QuotaCharge>,
    may_have_run: bool,
}

impl ChargedCall {
    /// Sets whether the call may have run: it is being sent, or an endpoint did not state that it did not
    /// run it.
    pub const fn set_may_have_run(&mut self, may_have_run: bool) {
        self.may_have_run = may_have_run;
    }
}

impl Drop for ChargedCall {
    fn drop(&mut self) {
        let charge = self.charge.take();
        if let Some(charge) = charge.filter(|_| !self.may_have_run) {
            let now = self.core.now();
            self.core.quotas.lock().leases.refund(now, charge);
        }
    }
}

/// Charges a call to the quota of its team. Returns nothing if the call has no team or the team no
/// limit; no message is sent and no state is kept then.
///
/// # Errors
///
/// Returns a refusal if the quota does not suffice, or if too few agents answer.
pub async fn charge(
    core: &Arc<EntryCore>,
    call: &RoutedCall,
) -> Result<Option<ChargedCall>, Refusal> {
    let Some(mut attempt) = begin(core, call) else {
        return Ok(None);
    };
    let (sender, mut answers) = mpsc::unbounded_channel();
    loop {
        match advance(core, &mut attempt, &sender) {
            QuotaStep::Charged(charge) => {
                count_charge(&charge);
                return Ok(Some(ChargedCall {
                    core: Arc::clone(core),
                    charge: Some(charge),
                    may_have_run: false,
                }));
            }
            QuotaStep::Refused(refused) => {
                record_refusal(call, &attempt, &refused);
                return Err(refused.refusal);
            }
            QuotaStep::Ask(_) => {
                send_due(core);
                while let Some(delivery) = answers.recv().await {
                    if attempt.receive(&delivery) {
                        break;
                    }
                }
            }
        }
    }
}

fn begin(core: &EntryCore, call: &RoutedCall) -> Option<QuotaAttempt> {
    let team = call.team.as_ref()?;
    let table = core.table()?;
    let quota = table.team(team)?.quota;
    if quota.rate_per_s <= 0.0 {
        return None;
    }
    refresh_agents(core);
    let tolerance = core.options.quota_tolerance;
    let leases = &mut core.quotas.lock().leases;
    leases.set_quota(team, table.version(), Some(&quota), &tolerance);
    leases.begin(core.now(), team, call_cost(&quota, call.head.stated_tokens))
}

fn advance(
    core: &EntryCore,
    attempt: &mut QuotaAttempt,
    sender: &UnboundedSender<QuotaDelivery>,
) -> QuotaStep {
    let now = core.now();
    let mut state = core.quotas.lock();
    let step = state.leases.advance(now, &core.options.locality, attempt);
    if let QuotaStep::Ask(tickets) = &step {
        let waiting = tickets.iter().map(|ticket| (*ticket, sender.clone()));
        state.waiting.extend(waiting);
    }
    step
}

/// Sends the messages that agents are due.
fn send_due(core: &Arc<EntryCore>) {
    let now = core.now();
    let mut state = core.quotas.lock();
    for agent in state.leases.due_agents() {
        if let Some(exchange) = state.leases.begin_exchange(now, agent) {
            tokio::spawn(run_exchange(Arc::clone(core), exchange));
        }
    }
}

async fn run_exchange(core: Arc<EntryCore>, exchange: LeaseExchange) {
    let (agent, asks) = (exchange.agent, exchange.asks.clone());
    let asking_core = Arc::clone(&core);
    // Continues after the timeout, so that a connection without answers is closed.
    let asking = tokio::spawn(async move { asking_core.agents.lease_quota(agent, asks).await });
    let reason = match timeout(ANSWER_TIMEOUT, asking).await {
        Ok(Ok(Ok(grants))) => {
            metrics::counter!("amaranth_quota_exchanges_total", "outcome" => "answered")
                .increment(1);
            deliver(&core, exchange, Some(grants));
            send_due(&core);
            return;
        }
        Ok(Ok(Err(error))) => error.to_string(),
        Ok(Err(error)) => error.to_string(),
        Err(_) => format!("no answer within {} ms", ANSWER_TIMEOUT.as_millis()),
    };
    metrics::counter!("amaranth_quota_exchanges_total", "outcome" => "silent").increment(1);
    log::warn!("event=quota_granter_silent agent={agent} reason={reason}");
    deliver(&core, exchange, None);
    send_due(&core);
}

/// Passes on the answer of an agent. Tokens of calls that have ended meanwhile are kept for others.
fn deliver(core: &EntryCore, exchange: LeaseExchange, answer: Option<Vec<ShardGrant>>) {
    let now = core.now();
    let mut state = core.quotas.lock();
    for delivery in state.leases.finish_exchange(now, exchange, answer) {
        let sender = state.waiting.remove(&delivery.ticket);
        let unsent = match sender {
            Some(sender) => sender.send(delivery).err().map(|error| error.0),
            None => Some(delivery),
        };
        if let Some(QuotaDelivery {
            team,
            lease: Some(lease),
            ..
        }) = unsent
        {
            state.leases.put_back(now, &team, lease);
        }
    }
}

/// Reads the agents that grant quotas from the registry, if that is due, and applies new quotas to the
/// teams that have leases.
pub fn refresh(core: &Arc<EntryCore>) {
    if core.quotas.lock().leases.teams().next().is_none() {
        return;
    }
    refresh_agents(core);
    let Some(table) = core.table() else {
        return;
    };
    apply_quotas(core, &table);
    send_due(core);
}

fn refresh_agents(core: &EntryCore) {
    let now = core.now();
    if !core.quotas.lock().leases.needs_agents(now) {
        return;
    }
    let holders = core.holders();
    core.quotas.lock().leases.refresh_agents(now, &holders);
}

fn apply_quotas(core: &EntryCore, table: &RouteTable) {
    let tolerance = core.options.quota_tolerance;
    let leases = &mut core.quotas.lock().leases;
    let version = table.version();
    let outdated = leases.teams().filter(|(_, known)| *known < version);
    let outdated: Vec<_> = outdated.map(|(team, _)| team.clone()).collect();
    for team in outdated {
        let quota = table.team(&team).map(|rule| &rule.quota);
        leases.set_quota(&team, version, quota, &tolerance);
    }
}

fn count_charge(charge: &QuotaCharge) {
    let team = charge.team.as_str().to_owned();
    metrics::counter!("amaranth_quota_charged_total", "team" => team).increment(charge.tokens());
}

/// Logs why a call is refused, and counts it by team.
fn record_refusal(call: &RoutedCall, attempt: &QuotaAttempt, refused: &QuotaRefusal) {
    let team = attempt.team();
    let cause: &'static str = refused.refusal.cause.into();
    metrics::counter!(
        "amaranth_quota_refusals_total",
        "team" => team.as_str().to_owned(),
        "cause" => cause
    )
    .increment(1);
    let shards = refused.shards;
    log::info!(
        "event=quota_refused id={} team={team} cause={cause} cost={} shards={} used_up={} silent={} starting={} asked={} retry_ms={} config={}",
        call.head.id,
        attempt.cost(),
        shards.shards,
        shards.used_up,
        shards.silent,
        shards.starting,
        attempt.questions(),
        refused.refusal.retry_after.unwrap_or_default().as_millis(),
        call.config_version,
    );
}
