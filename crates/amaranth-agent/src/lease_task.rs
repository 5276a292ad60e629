//! Carries out what the lease keeper decides: reads the log, appends records, publishes permits.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranth_control::lease::manager::{LeaseCommand, LeaseEvent, LeaseManager, LeaseOptions};
use amaranth_control::lease::record::{LeaseHolder, LeaseRecord};
use amaranth_control::lease::state::OrderPermit;
use amaranth_core::ids::EndpointId;
use amaranth_core::time::Timestamp;
use amaranth_ports::log::{LogPage, LogPort, LogStream};
use arc_swap::ArcSwap;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use crate::clock::AgentClock;
use crate::settings::AgentLimits;
use crate::task_group::TaskGroup;
use amaranth_telemetry::decision_log::DecisionLog;

/// Records that one read asks for.
const PAGE_RECORDS: usize = 512;

/// Time that one read waits for a record.
const READ_WAIT: Duration = Duration::from_secs(5);

/// Time between two reads while the log can't be reached.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(500);

/// Time after which a record that was not read back is appended anew.
const APPEND_TIMEOUT: Duration = Duration::from_secs(3);

/// Events that wait for the keeper before their senders are held back.
const EVENT_QUEUE: usize = 256;

/// The leave to order each endpoint, as the keeper decided last.
#[derive(Debug, Default)]
pub struct LeaseBoard {
    permits: ArcSwap<HashMap<EndpointId, OrderPermit>>,
    in_term: ArcSwap<HashSet<EndpointId>>,
    lapsed: Mutex<HashSet<EndpointId>>,
    changes: watch::Sender<u64>,
}

impl LeaseBoard {
    /// Returns leave to send one order to `endpoint`, if its lease is held.
    pub fn permit(&self, endpoint: &EndpointId) -> Option<OrderPermit> {
        self.permits.load().get(endpoint).cloned()
    }

    /// Returns whether the lease on `endpoint` is held.
    pub fn holds(&self, endpoint: &EndpointId) -> bool {
        self.permits.load().contains_key(endpoint)
    }

    /// Returns whether the lease on `endpoint` is held and its term has not ended.
    pub fn in_term(&self, endpoint: &EndpointId) -> bool {
        self.in_term.load().contains(endpoint)
    }

    /// Returns, once, whether the lease on `endpoint` was gained from a process that let it lapse.
    pub fn take_lapsed(&self, endpoint: &EndpointId) -> bool {
        self.lock_lapsed().remove(endpoint)
    }

    fn note_lapsed(&self, endpoint: &EndpointId) {
        self.lock_lapsed().insert(endpoint.clone());
    }

    fn lock_lapsed(&self) -> MutexGuard<'_, HashSet<EndpointId>> {
        self.lapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what changes whenever a lease was gained or lost.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}

/// What the keeper is told.
#[derive(Debug)]
enum KeeperMessage {
    /// Something happened.
    Event(LeaseEvent),
    /// The agent gives its leases up, and wants to know when that was appended or failed.
    Leave(oneshot::Sender<()>),
}

/// The way to the running keeper.
#[derive(Debug, Clone)]
pub struct LeaseHandle {
    events: mpsc::Sender<KeeperMessage>,
    board: Arc<LeaseBoard>,
}

impl LeaseHandle {
    /// Returns the permits.
    pub const fn board(&self) -> &Arc<LeaseBoard> {
        &self.board
    }

    /// Tells the keeper that the engine refused a token, or what kind of engine it is.
    pub async fn send(&self, event: LeaseEvent) {
        // A closed queue means that the agent is ending, and then nobody waits for the event.
        let _ = self.events.send(KeeperMessage::Event(event)).await;
    }

    /// Gives the leases up. No order may be in transit, and none may be sent from here on.
    ///
    /// Returns when the log has the release, or without it when the log can't be reached: then
    /// the leases lapse.
    pub async fn leave(&self) {
        let (sender, appended) = oneshot::channel();
        if self.events.send(KeeperMessage::Leave(sender)).await.is_ok() {
            // The sender is dropped when there is nothing to release.
            let _ = timeout(APPEND_TIMEOUT, appended).await;
        }
    }
}

/// What the keeper's task works with.
pub struct LeaseTask {
    /// The log.
    pub log: Arc<dyn LogPort>,
    /// The clock of the permits.
    pub clock: AgentClock,
    /// Where decisions are kept.
    pub decisions: Arc<DecisionLog>,
    /// The tasks that read and append.
    pub tasks: TaskGroup,
}

impl LeaseTask {
    /// Spawns the keeper of `holder`'s leases on `endpoints`.
    pub fn spawn(
        self,
        control: &TaskGroup,
        holder: LeaseHolder,
        endpoints: impl Iterator<Item = EndpointId>,
        limits: &AgentLimits,
    ) -> LeaseHandle {
        let (sender, events) = mpsc::channel(EVENT_QUEUE);
        let board = Arc::new(LeaseBoard::default());
        let options = LeaseOptions {
            term: limits.lease_term,
            renew_interval: limits.lease_renewal,
            append_timeout: APPEND_TIMEOUT,
            skew: limits.clock_skew,
            order_timeout: limits.order_timeout,
        };
        let endpoints: Vec<_> = endpoints.collect();
        let now = self.clock.now();
        let running = RunningKeeper {
            manager: LeaseManager::new(now, options, holder, endpoints.iter().cloned()),
            task: self,
            endpoints,
            board: board.clone(),
        };
        control.spawn(running.run(events));
        LeaseHandle {
            events: sender,
            board,
        }
    }
}

/// The keeper and what it publishes.
struct RunningKeeper {
    manager: LeaseManager,
    task: LeaseTask,
    endpoints: Vec<EndpointId>,
    board: Arc<LeaseBoard>,
}

impl RunningKeeper {
    async fn run(mut self, mut events: mpsc::Receiver<KeeperMessage>) {
        let (pages, mut read) = mpsc::channel(1);
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        // The first read does not wait for a record that may not come for long.
        self.read_from(pages.clone(), Duration::ZERO);
        loop {
            tokio::select! {
                Some(message) = events.recv() => match message {
                    KeeperMessage::Event(event) => self.handle(event, None),
                    KeeperMessage::Leave(done) => self.handle(LeaseEvent::Draining, Some(done)),
                },
                Some(page) = read.recv() => {
                    self.take_page(page);
                    self.read_from(pages.clone(), READ_WAIT);
                }
                _ = ticks.tick() => self.handle(LeaseEvent::Tick, None),
            }
        }
    }

    /// Reads the stream from the next offset on, waiting up to `wait` for a record.
    fn read_from(&self, pages: mpsc::Sender<LogPage>, wait: Duration) {
        let log = self.task.log.clone();
        let from = self.manager.next_offset();
        self.task.tasks.spawn(async move {
            let page = loop {
                match log.read(LogStream::Leases, from, PAGE_RECORDS, wait).await {
                    Ok(page) => break page,
                    Err(error) => {
                        metrics::counter!("amaranth_agent_lease_reads_failed_total").increment(1);
                        log::debug!("event=lease_read_failed error={:?}", error.to_string());
                        sleep(RETRY_PAUSE).await;
                    }
                }
            };
            // The keeper ends only with the agent.
            let _ = pages.send(page).await;
        });
    }

    fn take_page(&mut self, page: LogPage) {
        let decode =
            |record: amaranth_ports::log::LogRecord| match LeaseRecord::decode(&record.data) {
                Ok(decoded) => Some((record.offset, decoded)),
                Err(error) => {
                    log::warn!(
                        "event=lease_record_skipped offset={} {error}",
                        record.offset
                    );
                    None
                }
            };
        self.handle(
            LeaseEvent::Read {
                records: page.records.into_iter().filter_map(decode).collect(),
                first_kept: page.first_kept,
            },
            None,
        );
    }

    fn handle(&mut self, event: LeaseEvent, mut done: Option<oneshot::Sender<()>>) {
        let now = self.task.clock.now();
        let commands = self.manager.handle(now, event);
        let moved = commands
            .iter()
            .any(|command| !matches!(command, LeaseCommand::Append(_)));
        for command in commands {
            self.execute(command, &mut done);
        }
        self.publish(now);
        if moved {
            self.board.changes.send_modify(|count| *count += 1);
        }
    }

    fn execute(&self, command: LeaseCommand, done: &mut Option<oneshot::Sender<()>>) {
        match command {
            LeaseCommand::Append(record) => self.append(&record, done.take()),
            LeaseCommand::Acquired {
                endpoint,
                token,
                expired,
            } => {
                if expired {
                    self.board.note_lapsed(&endpoint);
                }
                self.task.decisions.record(format!(
                    "event=lease_gained endpoint={endpoint} token={token} lapsed={expired}"
                ));
            }
            LeaseCommand::Lost(endpoint) => self
                .task
                .decisions
                .record(format!("event=lease_lost endpoint={endpoint}")),
        }
    }

    fn append(&self, record: &LeaseRecord, done: Option<oneshot::Sender<()>>) {
        let log = self.task.log.clone();
        let data = record.encode();
        self.task.tasks.spawn(async move {
            if let Err(error) = log.append(LogStream::Leases, data).await {
                metrics::counter!("amaranth_agent_lease_appends_failed_total").increment(1);
                log::warn!("event=lease_append_failed error={:?}", error.to_string());
            }
            drop(done);
        });
    }

    fn publish(&self, now: Timestamp) {
        let permit = |endpoint: &EndpointId| {
            let permit = self.manager.permit(endpoint)?;
            Some((endpoint.clone(), permit))
        };
        let permits: HashMap<_, _> = self.endpoints.iter().filter_map(permit).collect();
        let in_term = |endpoint: &&EndpointId| self.manager.is_in_term(now, endpoint);
        let terms: HashSet<_> = self.endpoints.iter().filter(in_term).cloned().collect();
        if **self.board.in_term.load() != terms {
            for endpoint in &self.endpoints {
                let held = f64::from(u8::from(terms.contains(endpoint)));
                metrics::gauge!("amaranth_agent_lease_held", "endpoint" => endpoint.to_string())
                    .set(held);
            }
            self.board.in_term.store(Arc::new(terms));
        }
        if **self.board.permits.load() != permits {
            self.board.permits.store(Arc::new(permits));
        }
    }
}
