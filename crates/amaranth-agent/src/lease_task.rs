//! The task that runs the lease manager: reads and appends lease records, and publishes which
//! leases are held.

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

/// Maximum number of records in one read.
const PAGE_RECORDS: usize = 512;

/// Maximum time that one read waits for a record.
const READ_WAIT: Duration = Duration::from_secs(5);

/// Delay before a failed read of the log is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time between two ticks of the lease manager, which renew leases and time out appends.
const TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a record that was not read back is appended again.
const APPEND_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of queued messages to the lease task before their senders wait.
const MESSAGE_QUEUE: usize = 256;

/// The leases that the agent holds, as the lease task published them last.
#[derive(Debug, Default)]
pub struct PublishedLeases {
    permits: ArcSwap<HashMap<EndpointId, OrderPermit>>,
    in_term: ArcSwap<HashSet<EndpointId>>,
    expired: Mutex<HashSet<EndpointId>>,
    changes: watch::Sender<u64>,
}

impl PublishedLeases {
    /// Returns the permit for orders to `endpoint`, if its lease is held.
    pub fn permit(&self, endpoint: &EndpointId) -> Option<OrderPermit> {
        self.permits.load().get(endpoint).cloned()
    }

    /// Returns whether the lease on `endpoint` is held.
    pub fn is_held(&self, endpoint: &EndpointId) -> bool {
        self.permits.load().contains_key(endpoint)
    }

    /// Returns whether the lease on `endpoint` is held and its term has not ended.
    pub fn is_in_term(&self, endpoint: &EndpointId) -> bool {
        self.in_term.load().contains(endpoint)
    }

    /// Returns whether the lease on `endpoint` was acquired after another process let it expire,
    /// and clears this mark.
    pub fn take_expired(&self, endpoint: &EndpointId) -> bool {
        self.lock_expired().remove(endpoint)
    }

    fn record_expired(&self, endpoint: &EndpointId) {
        self.lock_expired().insert(endpoint.clone());
    }

    fn lock_expired(&self) -> MutexGuard<'_, HashSet<EndpointId>> {
        self.expired.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a receiver that is notified whenever a lease was acquired or lost.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}

/// A message to the lease task.
#[derive(Debug)]
enum LeaseMessage {
    /// An event for the lease manager.
    Event(LeaseEvent),
    /// The agent releases its leases. The sender is dropped when the release was appended, has
    /// failed, or is not needed.
    Release(oneshot::Sender<()>),
}

/// A handle of the running lease task.
#[derive(Debug, Clone)]
pub struct LeaseHandle {
    messages: mpsc::Sender<LeaseMessage>,
    published: Arc<PublishedLeases>,
}

impl LeaseHandle {
    /// Returns the leases as they were published last.
    pub const fn published(&self) -> &Arc<PublishedLeases> {
        &self.published
    }

    /// Sends an event to the lease manager: that an engine refused a token, or whether it checks
    /// fencing tokens.
    pub async fn send(&self, event: LeaseEvent) {
        // A closed channel means that the agent is ending, and then the event is not needed.
        let _ = self.messages.send(LeaseMessage::Event(event)).await;
    }

    /// Releases the leases. No order may be in flight, and none may be sent from here on.
    ///
    /// Returns when the release was appended, has failed or has timed out. Without the release the
    /// leases expire.
    pub async fn release(&self) {
        let (sender, appended) = oneshot::channel();
        if self
            .messages
            .send(LeaseMessage::Release(sender))
            .await
            .is_ok()
        {
            // The sender is dropped when there is nothing to release.
            let _ = timeout(APPEND_TIMEOUT, appended).await;
        }
    }
}

/// The dependencies of the lease task.
pub struct LeaseContext {
    /// The client of the log.
    pub log: Arc<dyn LogPort>,
    /// The clock of the order permits.
    pub clock: AgentClock,
    /// The log of recent decisions.
    pub decisions: Arc<DecisionLog>,
    /// The group of the tasks that read and append.
    pub tasks: TaskGroup,
}

impl LeaseContext {
    /// Spawns the lease task for `holder`'s leases on `endpoints`.
    pub fn spawn(
        self,
        control: &TaskGroup,
        holder: LeaseHolder,
        endpoints: impl Iterator<Item = EndpointId>,
        limits: &AgentLimits,
    ) -> LeaseHandle {
        let (sender, messages) = mpsc::channel(MESSAGE_QUEUE);
        let published = Arc::new(PublishedLeases::default());
        let options = LeaseOptions {
            term: limits.lease_term,
            renew_interval: limits.lease_renewal,
            append_timeout: APPEND_TIMEOUT,
            skew: limits.clock_skew,
            order_timeout: limits.order_timeout,
        };
        let endpoints: Vec<_> = endpoints.collect();
        let now = self.clock.now();
        let task = LeaseTask {
            manager: LeaseManager::new(now, options, holder, endpoints.iter().cloned()),
            context: self,
            endpoints,
            published: published.clone(),
        };
        control.spawn(task.run(messages));
        LeaseHandle {
            messages: sender,
            published,
        }
    }
}

/// The lease manager and the leases that it publishes.
struct LeaseTask {
    manager: LeaseManager,
    context: LeaseContext,
    endpoints: Vec<EndpointId>,
    published: Arc<PublishedLeases>,
}

impl LeaseTask {
    async fn run(mut self, mut messages: mpsc::Receiver<LeaseMessage>) {
        let (sender, mut pages) = mpsc::channel(1);
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        // The first read does not wait, since the next record may be appended much later.
        self.read_next(sender.clone(), Duration::ZERO);
        loop {
            tokio::select! {
                Some(message) = messages.recv() => match message {
                    LeaseMessage::Event(event) => self.handle(event, None),
                    LeaseMessage::Release(done) => self.handle(LeaseEvent::Draining, Some(done)),
                },
                Some(page) = pages.recv() => {
                    self.handle_page(page);
                    self.read_next(sender.clone(), READ_WAIT);
                }
                _ = ticks.tick() => self.handle(LeaseEvent::Tick, None),
            }
        }
    }

    /// Reads the stream from the next offset on, waiting up to `wait` for a record, and sends the
    /// page to `pages`.
    fn read_next(&self, pages: mpsc::Sender<LogPage>, wait: Duration) {
        let log = self.context.log.clone();
        let from = self.manager.next_offset();
        self.context.tasks.spawn(async move {
            let page = loop {
                match log.read(LogStream::Leases, from, PAGE_RECORDS, wait).await {
                    Ok(page) => break page,
                    Err(error) => {
                        metrics::counter!("amaranth_agent_lease_reads_failed_total").increment(1);
                        log::debug!("event=lease_read_failed error={:?}", error.to_string());
                        sleep(READ_RETRY_DELAY).await;
                    }
                }
            };
            // The lease task, which receives the page, ends only with the agent.
            let _ = pages.send(page).await;
        });
    }

    fn handle_page(&mut self, page: LogPage) {
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
        let now = self.context.clock.now();
        let commands = self.manager.handle(now, event);
        let leases_changed = commands
            .iter()
            .any(|command| !matches!(command, LeaseCommand::Append(_)));
        for command in commands {
            self.execute(command, &mut done);
        }
        self.publish(now);
        if leases_changed {
            self.published.changes.send_modify(|count| *count += 1);
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
                    self.published.record_expired(&endpoint);
                }
                self.context.decisions.record(format!(
                    "event=lease_gained endpoint={endpoint} token={token} lapsed={expired}"
                ));
            }
            LeaseCommand::Lost(endpoint) => self
                .context
                .decisions
                .record(format!("event=lease_lost endpoint={endpoint}")),
        }
    }

    fn append(&self, record: &LeaseRecord, done: Option<oneshot::Sender<()>>) {
        let log = self.context.log.clone();
        let data = record.encode();
        self.context.tasks.spawn(async move {
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
        let is_in_term = |endpoint: &&EndpointId| self.manager.is_in_term(now, endpoint);
        let terms: HashSet<_> = self.endpoints.iter().filter(is_in_term).cloned().collect();
        if **self.published.in_term.load() != terms {
            for endpoint in &self.endpoints {
                let held = f64::from(u8::from(terms.contains(endpoint)));
                metrics::gauge!("amaranth_agent_lease_held", "endpoint" => endpoint.to_string())
                    .set(held);
            }
            self.published.in_term.store(Arc::new(terms));
        }
        if **self.published.permits.load() != permits {
            self.published.permits.store(Arc::new(permits));
        }
    }
}
