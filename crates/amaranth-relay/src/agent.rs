//! The agent of an engine: the only process that sends orders to the engine.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranth_core::ids::{EndpointId, SoftwareVersion};
use amaranth_core::time::{Timestamp, WallTime};
use amaranth_dispatch::adapter_manager::{
    AdapterManager, GuardedOrder, LoadRequestId, OrderAnswer,
};
use amaranth_dispatch::call_limiter::{CallLimiter, CallPermit, CallRate};
use amaranth_dispatch::engine_view::{
    EngineContents, EngineView, LoadOutcome, LoadRequest, UsageReport,
};
use amaranth_dispatch::findings_hub::{FindingsCursor, FindingsHub, HubFindings, HubUpdate};
use amaranth_dispatch::prefill_turns::{TurnGrant, TurnId, TurnRequest};
use amaranth_dispatch::quota_grantor::{QuotaGrantor, ShardAsk, ShardGrant};
use amaranth_dispatch::stream_origins::{StreamKey, StreamOrigin, StreamOrigins};
use amaranth_wire::engine_agent::{EngineAgentRpc, SharedUpdates, TableCursors, TableUpdates};
use amaranth_wire::transport::{self, ServerHandle};
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, timeout};

use crate::store_reader::StoreReader;
use crate::suspend_clock::SuspendClock;

/// State of an agent that its tasks share.
#[derive(Debug)]
pub struct AgentCore {
    clock: SuspendClock,
    manager: Mutex<AdapterManager>,
    limiter: Mutex<CallLimiter>,
    quotas: Mutex<QuotaGrantor>,
    origins: Mutex<StreamOrigins>,
    findings: Mutex<FindingsHub>,
    findings_changed: Notify,
    waiters: Mutex<HashMap<LoadRequestId, oneshot::Sender<LoadOutcome>>>,
    turn_waiters: Mutex<HashMap<TurnId, oneshot::Sender<TurnGrant>>>,
    changed: Notify,
    requested: Notify,
    is_stopping: AtomicBool,
}

impl Default for AgentCore {
    fn default() -> Self {
        let clock = SuspendClock::start();
        Self {
            clock,
            manager: Mutex::default(),
            limiter: Mutex::default(),
            quotas: Mutex::new(QuotaGrantor::new(clock.now())),
            origins: Mutex::default(),
            findings: Mutex::new(FindingsHub::new(WallTime::now().as_millis())),
            findings_changed: Notify::new(),
            waiters: Mutex::default(),
            turn_waiters: Mutex::default(),
            changed: Notify::new(),
            requested: Notify::new(),
            is_stopping: AtomicBool::new(false),
        }
    }
}

impl AgentCore {
    fn now(&self) -> Timestamp {
        self.clock.now()
    }

    fn manager(&self) -> MutexGuard<'_, AdapterManager> {
        self.manager.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a report of the engine and answers the load requests that it completes.
    pub fn observe(&self, contents: EngineContents) {
        let now = self.now();
        let mut manager = self.manager();
        let before = manager.revision();
        manager.observe(now, contents);
        let changed = manager.revision() != before;
        drop(manager);
        self.settle();
        // Turns whose entry has failed end by themselves.
        self.grant_turns();
        if changed {
            self.changed.notify_waiters();
        }
    }

    /// Discards the engine's contents, because the engine can't be reached.
    pub fn mark_unreachable(&self) {
        self.manager().mark_unreachable();
        self.settle();
        self.changed.notify_waiters();
    }

    /// Returns whether a new report has to be read before the next order.
    pub fn needs_report(&self) -> bool {
        self.manager().is_stale()
    }

    /// Returns whether loads are in progress or queued.
    pub fn is_loading(&self) -> bool {
        let manager = self.manager();
        manager.has_loading() || manager.has_waiting()
    }

    /// Returns the next order to the engine, if one is due.
    pub fn next_order(&self) -> Option<GuardedOrder> {
        if self.is_stopping() {
            return None;
        }
        let now = self.now();
        self.manager().next_order(now)
    }

    /// Records the engine's answer to an order.
    pub fn record_answer(&self, answer: OrderAnswer) {
        let now = self.now();
        self.manager().record_answer(now, answer);
    }

    /// Returns when the order loop has to wake up: at the next report or at the end of a backoff.
    pub fn next_wake(&self, report_due: Instant) -> Instant {
        let now = self.now();
        match self.manager().backoff_until(now) {
            Some(until) => report_due.min(Instant::now() + until.since(now)),
            None => report_due,
        }
    }

    /// Begins to stop: no further order is due, and entries that wait for a load or a turn get an
    /// answer with which they go on without this agent.
    pub fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Release);
        let loads = std::mem::take(&mut *self.waiters());
        for waiter in loads.into_values() {
            // Sending fails if the entry no longer waits.
            let _ = waiter.send(LoadOutcome::Unavailable);
        }
        let turns = std::mem::take(&mut *self.turn_waiters());
        for waiter in turns.into_values() {
            let _ = waiter.send(TurnGrant::default());
        }
        self.changed.notify_waiters();
        self.findings_changed.notify_waiters();
        self.requested.notify_one();
    }

    /// Returns whether the agent is stopping.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    /// Waits until an entry sends usage or a load request.
    pub async fn requested(&self) {
        self.requested.notified().await;
    }

    fn settle(&self) {
        let now = self.now();
        let settled = self.manager().settle(now);
        if settled.is_empty() {
            return;
        }
        let mut waiters = self.waiters();
        for (id, outcome) in settled {
            if let Some(waiter) = waiters.remove(&id) {
                // Sending fails if the entry no longer waits.
                let _ = waiter.send(outcome);
            }
        }
    }

    fn waiters(&self) -> MutexGuard<'_, HashMap<LoadRequestId, oneshot::Sender<LoadOutcome>>> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn turn_waiters(&self) -> MutexGuard<'_, HashMap<TurnId, oneshot::Sender<TurnGrant>>> {
        self.turn_waiters
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn grant_turns(&self) {
        let now = self.now();
        let granted = self.manager().grant_turns(now);
        for grant in granted {
            let waiter = self.turn_waiters().remove(&grant.turn);
            if waiter.is_none_or(|waiter| waiter.send(grant).is_err()) {
                // The entry no longer waits.
                self.manager().end_turn(grant.turn);
            }
        }
    }

    fn end_turn(&self, turn: TurnId) {
        self.manager().end_turn(turn);
        self.grant_turns();
    }

    async fn take_turn(self: &Arc<Self>, request: TurnRequest) -> TurnGrant {
        let (waiter, mut granted) = oneshot::channel();
        let max_wait = request.max_wait;
        let turn = {
            let mut manager = self.manager();
            let mut waiters = self.turn_waiters();
            if self.is_stopping() || manager.endpoint() != Some(&request.endpoint) {
                // If another incarnation of the engine answers, the entry learns of it by itself.
                return TurnGrant::default();
            }
            let turn = manager.enqueue_prompt(&request);
            waiters.insert(turn, waiter);
            turn
        };
        let mut waiting = WaitingTurn {
            core: Arc::clone(self),
            turn,
            is_kept: false,
        };
        self.grant_turns();
        let answer = timeout(max_wait, &mut granted).await;
        waiting.is_kept = true;
        if let Ok(Ok(grant)) = answer {
            return grant;
        }
        let now = self.now();
        let forced = self.manager().force_turn(now, turn);
        // The turn may have begun since the end of the wait.
        forced
            .or_else(|| granted.try_recv().ok())
            .unwrap_or_default()
    }

    fn permit(&self, endpoint: &EndpointId, rate: CallRate) -> CallPermit {
        let now = self.now();
        let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        limiter.acquire(now, endpoint, rate)
    }

    fn lease_quota(&self, asks: &[ShardAsk]) -> Vec<ShardGrant> {
        let now = self.now();
        let mut quotas = self.quotas.lock().unwrap_or_else(PoisonError::into_inner);
        let grants = asks.iter().map(|ask| {
            let grant = quotas.grant(now, ask);
            record_grant(ask, &grant);
            grant
        });
        grants.collect()
    }

    fn origins(&self) -> MutexGuard<'_, StreamOrigins> {
        self.origins.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_origins(&self, origins: Vec<StreamOrigin>) {
        let now = self.now();
        let mut known = self.origins();
        for origin in origins {
            known.record(now, origin);
        }
    }

    fn find_origin(&self, stream: StreamKey) -> Option<SoftwareVersion> {
        let now = self.now();
        self.origins().find(now, stream)
    }

    fn findings(&self) -> MutexGuard<'_, FindingsHub> {
        self.findings.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn exchange_findings(
        &self,
        own: Option<HubFindings>,
        cursor: FindingsCursor,
        wait: Duration,
    ) -> HubUpdate {
        if own.is_some_and(|own| self.findings().record(own)) {
            self.findings_changed.notify_waiters();
        }
        let waiting = async {
            loop {
                let changed = self.findings_changed.notified();
                tokio::pin!(changed);
                changed.as_mut().enable();
                if self.findings().has_news(cursor) {
                    return;
                }
                changed.await;
            }
        };
        // On a timeout the entry learns that there is nothing new.
        let _ = timeout(wait, waiting).await;
        self.findings().update_for(cursor)
    }

    async fn exchange(&self, usage: UsageReport, seen: u64, wait: Duration) -> EngineView {
        let now = self.now();
        let entry = usage.entry.clone();
        let changed = self.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        let revision = {
            let mut manager = self.manager();
            let before = manager.revision();
            record_usage(&mut manager, now, usage);
            if manager.revision() != before {
                self.changed.notify_waiters();
            }
            manager.revision()
        };
        self.requested.notify_one();
        if revision == seen {
            // On a timeout the entry still receives the current load of the engine.
            let _ = timeout(wait, changed).await;
        }
        let now = self.now();
        self.manager().view_for(now, &entry)
    }

    async fn prepare(&self, usage: UsageReport, request: LoadRequest) -> LoadOutcome {
        let (waiter, outcome) = oneshot::channel();
        let max_wait = request.max_wait;
        let id = {
            let now = self.now();
            let mut manager = self.manager();
            record_usage(&mut manager, now, usage);
            if manager.is_held(&request) && !manager.is_stale() {
                return LoadOutcome::Held;
            }
            let id = manager.enqueue(now, request);
            // The stop answers all waiters that are known when it takes this lock.
            let mut waiters = self.waiters();
            if self.is_stopping() {
                manager.cancel(id);
                return LoadOutcome::Unavailable;
            }
            waiters.insert(id, waiter);
            id
        };
        self.requested.notify_one();
        let outcome = timeout(max_wait, outcome).await;
        self.manager().cancel(id);
        self.waiters().remove(&id);
        match outcome {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) => LoadOutcome::Unavailable,
            Err(_) => LoadOutcome::TimedOut,
        }
    }
}

/// Counts what a shard granted and denied, by team.
fn record_grant(ask: &ShardAsk, grant: &ShardGrant) {
    let team = || ask.team.as_str().to_owned();
    let granted = grant.needs.iter().sum::<u64>() + grant.extra;
    if granted > 0 {
        metrics::counter!("amaranth_quota_granted_total", "team" => team()).increment(granted);
    }
    if !grant.wait.is_zero() {
        metrics::counter!("amaranth_quota_denials_total", "team" => team()).increment(1);
    }
}

/// The wait for a turn. If it is dropped before its end, because the entry cancelled its request, the
/// turn goes to the next prompt.
struct WaitingTurn {
    core: Arc<AgentCore>,
    turn: TurnId,
    is_kept: bool,
}

impl Drop for WaitingTurn {
    fn drop(&mut self) {
        self.core.turn_waiters().remove(&self.turn);
        if !self.is_kept {
            self.core.end_turn(self.turn);
        }
    }
}

/// Records an entry's usage of the engine, and logs when it names another incarnation of the
/// engine.
fn record_usage(manager: &mut AdapterManager, now: Timestamp, usage: UsageReport) {
    let previous = manager.endpoint().cloned();
    let entry = usage.entry.clone();
    manager.record_usage(now, usage);
    if let Some(endpoint) = manager.endpoint()
        && previous.as_ref() != Some(endpoint)
    {
        log::info!("event=engine_named endpoint={endpoint} by={entry}");
    }
}

/// Serves the calls of entries to an agent.
#[derive(Debug, Clone)]
struct AgentServer {
    core: Arc<AgentCore>,
    reader: Arc<StoreReader>,
}

impl EngineAgentRpc for AgentServer {
    async fn exchange(
        self,
        _context: Context,
        usage: UsageReport,
        seen: u64,
        wait: Duration,
    ) -> EngineView {
        self.core.exchange(usage, seen, wait).await
    }

    async fn prepare(
        self,
        _context: Context,
        usage: UsageReport,
        request: LoadRequest,
    ) -> LoadOutcome {
        self.core.prepare(usage, request).await
    }

    async fn permit(self, _context: Context, endpoint: EndpointId, rate: CallRate) -> CallPermit {
        self.core.permit(&endpoint, rate)
    }

    async fn read_tables(
        self,
        _context: Context,
        cursors: TableCursors,
        wait: Duration,
    ) -> TableUpdates {
        self.reader.updates(cursors, wait).await
    }

    async fn read_shared_tables(
        self,
        _context: Context,
        cursors: TableCursors,
        wait: Duration,
    ) -> SharedUpdates {
        self.reader.shared_updates(cursors, wait).await
    }

    async fn record_origins(self, _context: Context, origins: Vec<StreamOrigin>) {
        self.core.record_origins(origins);
    }

    async fn exchange_findings(
        self,
        _context: Context,
        own: Option<HubFindings>,
        cursor: FindingsCursor,
        wait: Duration,
    ) -> HubUpdate {
        self.core.exchange_findings(own, cursor, wait).await
    }

    async fn lease_quota(self, _context: Context, asks: Vec<ShardAsk>) -> Vec<ShardGrant> {
        self.core.lease_quota(&asks)
    }

    async fn take_turn(self, _context: Context, request: TurnRequest) -> TurnGrant {
        self.core.take_turn(request).await
    }

    async fn end_turn(self, _context: Context, turn: TurnId) {
        self.core.end_turn(turn);
    }

    async fn find_origin(self, _context: Context, stream: StreamKey) -> Option<SoftwareVersion> {
        self.core.find_origin(stream)
    }
}

/// Starts serving entries at `address`.
///
/// # Errors
///
/// Returns an error when the address can't be bound.
pub async fn bind(
    core: Arc<AgentCore>,
    reader: Arc<StoreReader>,
    address: SocketAddr,
) -> io::Result<ServerHandle> {
    transport::bind(address, move |transport| {
        let server = AgentServer {
            core: Arc::clone(&core),
            reader: Arc::clone(&reader),
        };
        async move {
            BaseChannel::with_defaults(transport)
                .execute(server.serve())
                .for_each(|call| async move {
                    tokio::spawn(call);
                })
                .await;
        }
    })
    .await
}
