//! Decides when a process acquires, renews and releases the leases on its endpoints.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use amaranth_core::ids::{EndpointId, FencingToken, LogOffset};
use amaranth_core::time::Timestamp;
use smallvec::SmallVec;

use crate::lease::ledger::{LeaseChange, LeaseLedger, LeaseStatus};
use crate::lease::record::{HeldLease, LeaseHolder, LeaseOperation, LeaseRecord};
use crate::lease::state::{Acquiring, Held, Lease, NotHeld, OrderPermit};

/// Number of records of this incarnation whose sending times are kept.
const MAX_SENT_ATTEMPTS: usize = 64;

/// Times and timeouts of a [`LeaseManager`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseOptions {
    /// Time for which a lease lasts unless it is renewed.
    pub term: Duration,
    /// Time between two renewals.
    pub renew_interval: Duration,
    /// Time after which a record that was not read back is sent again.
    pub append_timeout: Duration,
    /// Largest drift between two clocks within one term.
    pub skew: Duration,
    /// Time within which an order reaches its engine or never does.
    pub order_timeout: Duration,
}

/// An event that the manager handles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Records were read from the stream.
    Read {
        /// The records in the order of their offsets.
        records: Vec<(LogOffset, LeaseRecord)>,
        /// The oldest offset that the log retains.
        first_kept: LogOffset,
    },
    /// The engine reported whether it refuses orders with an old fencing token.
    FencingSupport {
        /// The engine.
        endpoint: EndpointId,
        /// Whether the engine checks fencing tokens.
        checks_fencing: bool,
    },
    /// The engine refused an order because it knows a newer fencing token, or shows that another
    /// process sends it orders.
    Fenced(EndpointId),
    /// The process is draining: no order is in transit and none will be sent.
    Draining,
    /// Time passed.
    Tick,
}

/// A command from the manager to its process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseCommand {
    /// Appends a record to the stream of leases. The reply to the append is not needed: the record
    /// counts when it is read back.
    Append(LeaseRecord),
    /// The lease on the endpoint is held from now on.
    Acquired {
        /// The endpoint.
        endpoint: EndpointId,
        /// The fencing token of the lease.
        token: FencingToken,
        /// Whether another process held the lease and let it expire. That process may still serve
        /// requests that it dispatched, and their adapters must not be evicted.
        expired: bool,
    },
    /// The lease on the endpoint is no longer held.
    Lost(EndpointId),
}

/// The commands that one event causes.
pub type LeaseCommands = SmallVec<[LeaseCommand; 4]>;

/// One endpoint's lease in any state.
#[derive(Debug, Clone)]
enum AnyLease {
    NotHeld(Lease<NotHeld>),
    Acquiring(Lease<Acquiring>),
    Held(Lease<Held>),
}

/// The last acquisition, renewal or release of a lease that this process read.
#[derive(Debug, Clone, Copy)]
struct LeaseObservation {
    /// Time at which the record was read.
    at: Timestamp,
    /// The term that the record states.
    term: Duration,
}

/// Manages the leases on the endpoints of one process.
#[derive(Debug, Clone)]
pub struct LeaseManager {
    options: LeaseOptions,
    holder: LeaseHolder,
    /// Time at which the manager was created, or last found that the log had dropped unread
    /// records.
    started_at: Timestamp,
    ledger: LeaseLedger,
    has_read: bool,
    leases: BTreeMap<EndpointId, AnyLease>,
    observations: HashMap<EndpointId, LeaseObservation>,
    /// Whether each engine checks fencing tokens.
    fencing_support: HashMap<EndpointId, bool>,
    /// Time before which the lease on an endpoint is not requested again.
    blocked_until: HashMap<EndpointId, Timestamp>,
    /// Endpoints whose last holder was another process that did not release them.
    unreleased: HashSet<EndpointId>,
    /// Number and sending time of the newest records of this incarnation.
    sent_attempts: VecDeque<(u64, Timestamp)>,
    next_attempt: u64,
    last_acquire: Option<Timestamp>,
    last_renewal: Option<Timestamp>,
    draining: bool,
}

impl LeaseManager {
    /// Creates the manager of a process that holds no lease yet.
    pub fn new(
        now: Timestamp,
        options: LeaseOptions,
        holder: LeaseHolder,
        endpoints: impl IntoIterator<Item = EndpointId>,
    ) -> Self {
        let not_held = |endpoint: EndpointId| {
            let lease = AnyLease::NotHeld(Lease::new(endpoint.clone()));
            (endpoint, lease)
        };
        Self {
            options,
            holder,
            started_at: now,
            ledger: LeaseLedger::new(),
            has_read: false,
            leases: endpoints.into_iter().map(not_held).collect(),
            observations: HashMap::new(),
            fencing_support: HashMap::new(),
            blocked_until: HashMap::new(),
            unreleased: HashSet::new(),
            sent_attempts: VecDeque::new(),
            next_attempt: 0,
            last_acquire: None,
            last_renewal: None,
            draining: false,
        }
    }

    /// Returns the offset from which the stream is to be read next.
    pub const fn next_offset(&self) -> LogOffset {
        self.ledger.next_offset()
    }

    /// Returns a permit to send one order to `endpoint`, if its lease is held.
    pub fn permit(&self, endpoint: &EndpointId) -> Option<OrderPermit> {
        match self.leases.get(endpoint) {
            Some(AnyLease::Held(lease)) => {
                Some(lease.permit(self.checks_fencing(endpoint), self.options.order_timeout))
            }
            _ => None,
        }
    }

    /// Returns whether the lease on `endpoint` is held and its term has not ended.
    pub fn is_in_term(&self, now: Timestamp, endpoint: &EndpointId) -> bool {
        matches!(self.leases.get(endpoint), Some(AnyLease::Held(lease)) if now < lease.expires_at())
    }

    /// Handles one event and returns the commands that it causes.
    pub fn handle(&mut self, now: Timestamp, event: LeaseEvent) -> LeaseCommands {
        let mut commands = LeaseCommands::new();
        match event {
            LeaseEvent::Read {
                records,
                first_kept,
            } => self.read(now, first_kept, &records, &mut commands),
            LeaseEvent::FencingSupport {
                endpoint,
                checks_fencing,
            } => {
                self.fencing_support.insert(endpoint, checks_fencing);
            }
            LeaseEvent::Fenced(endpoint) => self.handle_fenced(now, &endpoint, &mut commands),
            LeaseEvent::Draining => self.release(now, &mut commands),
            LeaseEvent::Tick => {}
        }
        if self.has_read && !self.draining {
            self.renew(now, &mut commands);
            self.acquire(now, &mut commands);
        }
        commands
    }

    fn read(
        &mut self,
        now: Timestamp,
        first_kept: LogOffset,
        records: &[(LogOffset, LeaseRecord)],
        commands: &mut LeaseCommands,
    ) {
        self.has_read = true;
        // The log's retention dropped unread records, and another process may have acquired a
        // lease by one of them.
        if self.ledger.skip_to(first_kept) {
            self.observations.clear();
            self.started_at = now;
            let endpoints: Vec<_> = self.leases.keys().cloned().collect();
            for endpoint in endpoints {
                self.lose(&endpoint, commands);
            }
        }
        for (offset, record) in records {
            for change in self.ledger.apply(*offset, record) {
                self.apply_change(now, record, change, commands);
            }
        }
    }

    fn apply_change(
        &mut self,
        now: Timestamp,
        record: &LeaseRecord,
        change: LeaseChange,
        commands: &mut LeaseCommands,
    ) {
        let own = record.holder.incarnation == self.holder.incarnation;
        let observation = LeaseObservation {
            at: now,
            term: record.term,
        };
        let foreign = record.holder.process != self.holder.process;
        match change {
            LeaseChange::Acquired(endpoint) => {
                self.observations.insert(endpoint.clone(), observation);
                if foreign {
                    self.unreleased.insert(endpoint.clone());
                }
                if own {
                    self.confirm(&endpoint, record, commands);
                } else {
                    self.lose(&endpoint, commands);
                }
            }
            LeaseChange::Renewed(endpoint) => {
                self.observations.insert(endpoint.clone(), observation);
                if foreign {
                    self.unreleased.insert(endpoint.clone());
                }
                if own {
                    self.extend_term(&endpoint, record);
                } else {
                    self.lose(&endpoint, commands);
                }
            }
            LeaseChange::Released(endpoint) => {
                self.unreleased.remove(&endpoint);
                self.observations.insert(endpoint, observation);
            }
            LeaseChange::Rejected(endpoint) if own => {
                self.handle_rejected(&endpoint, record, commands);
            }
            LeaseChange::Rejected(_) => {}
        }
    }

    /// Returns the end of the term that began when `record` was sent, or `None` if its sending
    /// time is no longer kept.
    fn term_end(&self, record: &LeaseRecord) -> Option<Timestamp> {
        let (_, sent_at) = self
            .sent_attempts
            .iter()
            .find(|(attempt, _)| *attempt == record.attempt)?;
        Some(*sent_at + record.term.saturating_sub(self.options.skew))
    }

    /// Marks the lease as held, which `record` of this incarnation acquired.
    fn confirm(
        &mut self,
        endpoint: &EndpointId,
        record: &LeaseRecord,
        commands: &mut LeaseCommands,
    ) {
        let Some(expires_at) = self.term_end(record) else {
            return;
        };
        let Some(token) = self.ledger.row(endpoint).map(|row| row.token) else {
            return;
        };
        let Some(lease) = self.leases.get_mut(endpoint) else {
            return;
        };
        let acquiring = match lease.clone() {
            AnyLease::NotHeld(not_held) => not_held.acquire(record.attempt),
            AnyLease::Acquiring(acquiring) => acquiring,
            AnyLease::Held(held) => held.lose().acquire(record.attempt),
        };
        *lease = AnyLease::Held(acquiring.confirm(token, expires_at));
        commands.push(LeaseCommand::Acquired {
            endpoint: endpoint.clone(),
            token,
            expired: self.unreleased.remove(endpoint),
        });
    }

    fn extend_term(&mut self, endpoint: &EndpointId, record: &LeaseRecord) {
        let expires_at = self.term_end(record);
        if let (Some(AnyLease::Held(lease)), Some(expires_at)) =
            (self.leases.get_mut(endpoint), expires_at)
        {
            lease.renew(expires_at);
        }
    }

    /// Handles a rejected record of this incarnation: another record overtook an acquisition, or a
    /// renewal was too late.
    fn handle_rejected(
        &mut self,
        endpoint: &EndpointId,
        record: &LeaseRecord,
        commands: &mut LeaseCommands,
    ) {
        let is_renewal = matches!(record.operation, LeaseOperation::Renew { .. });
        let Some(lease) = self.leases.get_mut(endpoint) else {
            return;
        };
        match lease.clone() {
            AnyLease::Acquiring(acquiring) if acquiring.attempt() == record.attempt => {
                *lease = AnyLease::NotHeld(acquiring.fail());
            }
            AnyLease::Held(_) if is_renewal => self.lose(endpoint, commands),
            _ => {}
        }
    }

    fn lose(&mut self, endpoint: &EndpointId, commands: &mut LeaseCommands) {
        let Some(lease) = self.leases.get_mut(endpoint) else {
            return;
        };
        *lease = match lease.clone() {
            AnyLease::Held(held) => {
                commands.push(LeaseCommand::Lost(endpoint.clone()));
                AnyLease::NotHeld(held.lose())
            }
            AnyLease::Acquiring(acquiring) => AnyLease::NotHeld(acquiring.fail()),
            AnyLease::NotHeld(not_held) => AnyLease::NotHeld(not_held),
        };
    }

    /// Handles an engine that knows a newer fencing token, whose record this process has not read
    /// yet.
    fn handle_fenced(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        commands: &mut LeaseCommands,
    ) {
        self.lose(endpoint, commands);
        let blocked_until = now + self.options.append_timeout;
        self.blocked_until.insert(endpoint.clone(), blocked_until);
    }

    fn release(&mut self, now: Timestamp, commands: &mut LeaseCommands) {
        if self.draining {
            return;
        }
        self.draining = true;
        let leases = self.held_leases();
        if !leases.is_empty() {
            let operation = LeaseOperation::Release { leases };
            self.append(now, operation, commands);
        }
        let endpoints: Vec<_> = self.leases.keys().cloned().collect();
        for endpoint in endpoints {
            self.lose(&endpoint, commands);
        }
    }

    fn renew(&mut self, now: Timestamp, commands: &mut LeaseCommands) {
        let is_due = |sent_at: Timestamp| now.since(sent_at) >= self.options.renew_interval;
        if !self.last_renewal.is_none_or(is_due) {
            return;
        }
        let leases = self.held_leases();
        if leases.is_empty() {
            return;
        }
        self.last_renewal = Some(now);
        self.append(now, LeaseOperation::Renew { leases }, commands);
    }

    fn acquire(&mut self, now: Timestamp, commands: &mut LeaseCommands) {
        let is_pending = |sent_at: Timestamp| {
            now.since(sent_at) < self.options.append_timeout && self.is_acquiring()
        };
        if self.last_acquire.is_some_and(is_pending) {
            return;
        }
        let endpoints: Vec<EndpointId> = self
            .leases
            .iter()
            .filter(|(endpoint, lease)| {
                !matches!(lease, AnyLease::Held(_)) && now >= self.acquirable_at(endpoint)
            })
            .map(|(endpoint, _)| endpoint.clone())
            .collect();
        if endpoints.is_empty() {
            return;
        }
        self.last_acquire = Some(now);
        self.last_renewal = Some(now);
        let attempt = self.next_attempt;
        for endpoint in &endpoints {
            let lease = Lease::new(endpoint.clone()).acquire(attempt);
            self.leases
                .insert(endpoint.clone(), AnyLease::Acquiring(lease));
        }
        let operation = LeaseOperation::Acquire {
            read_to: self.ledger.next_offset(),
            endpoints,
        };
        self.append(now, operation, commands);
    }

    fn is_acquiring(&self) -> bool {
        let is_acquiring = |lease: &AnyLease| matches!(lease, AnyLease::Acquiring(_));
        self.leases.values().any(is_acquiring)
    }

    fn append(&mut self, now: Timestamp, operation: LeaseOperation, commands: &mut LeaseCommands) {
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        if self.sent_attempts.len() == MAX_SENT_ATTEMPTS {
            self.sent_attempts.pop_front();
        }
        self.sent_attempts.push_back((attempt, now));
        commands.push(LeaseCommand::Append(LeaseRecord {
            holder: self.holder.clone(),
            attempt,
            term: self.options.term,
            operation,
        }));
    }

    fn held_leases(&self) -> Vec<HeldLease> {
        let to_held = |(endpoint, lease): (&EndpointId, &AnyLease)| match lease {
            AnyLease::Held(held) => Some(HeldLease {
                endpoint: endpoint.clone(),
                token: held.token(),
            }),
            _ => None,
        };
        self.leases.iter().filter_map(to_held).collect()
    }

    /// Returns whether the engine refuses old fencing tokens, which is assumed to be false until
    /// the engine has reported it.
    fn checks_fencing(&self, endpoint: &EndpointId) -> bool {
        self.fencing_support.get(endpoint).copied().unwrap_or(false)
    }

    /// Returns the time for which an order of another holder may still be in transit.
    fn transit_time(&self, endpoint: &EndpointId) -> Duration {
        if self.checks_fencing(endpoint) {
            Duration::ZERO
        } else {
            self.options.order_timeout
        }
    }

    /// Returns the time from which the lease on `endpoint` may be acquired.
    fn acquirable_at(&self, endpoint: &EndpointId) -> Timestamp {
        let blocked_until = self
            .blocked_until
            .get(endpoint)
            .copied()
            .unwrap_or_default();
        blocked_until.max(self.expires_by_log(endpoint))
    }

    /// Returns the time from which the lease on `endpoint` has expired according to the records
    /// read.
    fn expires_by_log(&self, endpoint: &EndpointId) -> Timestamp {
        let transit_time = self.transit_time(endpoint);
        let Some((row, observation)) = self
            .ledger
            .row(endpoint)
            .zip(self.observations.get(endpoint))
        else {
            // A reader of the whole stream knows that no process ever held the lease. Any other
            // reader has to allow for a holder whose last record it missed.
            return if self.ledger.is_complete() {
                self.started_at
            } else {
                self.started_at + self.options.term + self.options.skew + transit_time
            };
        };
        if row.status == LeaseStatus::Released || row.holder.incarnation == self.holder.incarnation
        {
            return observation.at;
        }
        let same_process = row.holder.process == self.holder.process;
        let same_address = row.holder.address == self.holder.address;
        // An incarnation that listens on the address of the former one has outlived it, so that
        // only orders in transit remain. An engine that checks fencing tokens refuses those.
        if same_process && (same_address || self.checks_fencing(endpoint)) {
            return self.started_at + transit_time;
        }
        observation.at + observation.term + self.options.skew + transit_time
    }
}
