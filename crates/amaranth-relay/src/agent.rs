//! An agent: the one process that gives its engine orders.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranth_core::time::Timestamp;
use amaranth_dispatch::adapter_manager::{
    AdapterManager, GuardedOrder, LoadRequestId, OrderAnswer,
};
use amaranth_dispatch::engine_view::{
    EngineContents, EngineView, LoadOutcome, LoadRequest, UsageReport,
};
use amaranth_wire::shelf::ShelfRpc;
use amaranth_wire::transport::{self, ServerHandle};
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, timeout};

use crate::suspend_clock::SuspendClock;

/// What the tasks of an agent share.
#[derive(Debug)]
pub struct AgentCore {
    clock: SuspendClock,
    shelf: Mutex<AdapterManager>,
    waiters: Mutex<HashMap<LoadRequestId, oneshot::Sender<LoadOutcome>>>,
    changed: Notify,
    asked: Notify,
}

impl Default for AgentCore {
    fn default() -> Self {
        Self {
            clock: SuspendClock::start(),
            shelf: Mutex::default(),
            waiters: Mutex::default(),
            changed: Notify::new(),
            asked: Notify::new(),
        }
    }
}

impl AgentCore {
    fn now(&self) -> Timestamp {
        self.clock.now()
    }

    fn shelf(&self) -> MutexGuard<'_, AdapterManager> {
        self.shelf.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the engine's report and answers the wishes that it settles.
    pub fn observe(&self, contents: EngineContents) {
        let now = self.now();
        let mut shelf = self.shelf();
        let before = shelf.revision();
        shelf.observe(now, contents);
        let changed = shelf.revision() != before;
        drop(shelf);
        self.settle();
        if changed {
            self.changed.notify_waiters();
        }
    }

    /// Forgets the engine's contents: it can't be reached.
    pub fn lose_engine(&self) {
        self.shelf().mark_unreachable();
        self.settle();
        self.changed.notify_waiters();
    }

    /// Returns whether a report has to be read before the next order.
    pub fn needs_report(&self) -> bool {
        self.shelf().is_stale()
    }

    /// Returns whether loads are on their way or wait.
    pub fn is_loading(&self) -> bool {
        let shelf = self.shelf();
        shelf.has_loading() || shelf.has_waiting()
    }

    /// Returns the next order, if one is due.
    pub fn next_order(&self) -> Option<GuardedOrder> {
        let now = self.now();
        self.shelf().next_order(now)
    }

    /// Takes the engine's answer to an order.
    pub fn order_ended(&self, answer: OrderAnswer) {
        let now = self.now();
        self.shelf().record_answer(now, answer);
    }

    /// Returns when the agent has something to do at the latest.
    pub fn next_wake(&self, report_due: Instant) -> Instant {
        let now = self.now();
        match self.shelf().backoff_until(now) {
            Some(until) => report_due.min(Instant::now() + until.since(now)),
            None => report_due,
        }
    }

    /// Waits until an entry asks for something.
    pub async fn asked(&self) {
        self.asked.notified().await;
    }

    fn settle(&self) {
        let now = self.now();
        let settled = self.shelf().settle(now);
        if settled.is_empty() {
            return;
        }
        let mut waiters = self.waiters.lock().unwrap_or_else(PoisonError::into_inner);
        for (id, outcome) in settled {
            if let Some(waiter) = waiters.remove(&id) {
                // An entry that stopped waiting needs no answer.
                let _ = waiter.send(outcome);
            }
        }
    }

    async fn exchange(&self, usage: UsageReport, seen: u64, wait: Duration) -> EngineView {
        let now = self.now();
        let changed = self.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        let revision = {
            let mut shelf = self.shelf();
            take_usage(&mut shelf, now, usage);
            shelf.revision()
        };
        self.asked.notify_one();
        if revision == seen {
            // Without a change the entry still gets the newest load.
            let _ = timeout(wait, changed).await;
        }
        let now = self.now();
        self.shelf().view(now)
    }

    async fn prepare(&self, usage: UsageReport, wish: LoadRequest) -> LoadOutcome {
        let (waiter, outcome) = oneshot::channel();
        let patience = wish.max_wait;
        let id = {
            let now = self.now();
            let mut shelf = self.shelf();
            take_usage(&mut shelf, now, usage);
            if shelf.is_held(&wish) && !shelf.is_stale() {
                return LoadOutcome::Held;
            }
            let id = shelf.enqueue(now, wish);
            self.waiters
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .insert(id, waiter);
            id
        };
        self.asked.notify_one();
        let outcome = timeout(patience, outcome).await;
        self.shelf().cancel(id);
        self.waiters
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&id);
        match outcome {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) => LoadOutcome::Unavailable,
            Err(_) => LoadOutcome::TimedOut,
        }
    }
}

/// Takes an entry's use of the engine, and logs when it names another start of the engine.
fn take_usage(shelf: &mut AdapterManager, now: Timestamp, usage: UsageReport) {
    let known = shelf.endpoint().cloned();
    let entry = usage.entry.clone();
    shelf.record_usage(now, usage);
    if let Some(endpoint) = shelf.endpoint()
        && known.as_ref() != Some(endpoint)
    {
        log::info!("event=engine_named endpoint={endpoint} by={entry}");
    }
}

/// The agent's side of the calls of entries.
#[derive(Debug, Clone)]
struct ShelfServer {
    core: Arc<AgentCore>,
}

impl ShelfRpc for ShelfServer {
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
        wish: LoadRequest,
    ) -> LoadOutcome {
        self.core.prepare(usage, wish).await
    }
}

/// Listens for entries.
///
/// # Errors
///
/// Returns an error when the address can't be bound.
pub async fn bind(core: Arc<AgentCore>, address: SocketAddr) -> io::Result<ServerHandle> {
    transport::bind(address, move |transport| {
        let server = ShelfServer {
            core: Arc::clone(&core),
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
