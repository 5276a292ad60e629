//! Decides when a process takes, renews and releases the leases on its endpoints.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::time::Duration;

use amaranth_core::ids::{EndpointId, FencingToken, LogOffset};
use amaranth_core::time::Timestamp;
use smallvec::SmallVec;

use crate::lease::ledger::{LeaseChange, LeaseLedger, LeaseStanding};
use crate::lease::record::{HeldLease, LeaseHolder, LeaseRecord, LeaseStatement};
use crate::lease::stage::{Claiming, Held, Lease, OrderPermit, Waiting};

/// Records of this life whose sending times are remembered.
const REMEMBERED_ATTEMPTS: usize = 64;

/// Times of the leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseOptions {
    /// How long a lease lasts unless it is renewed.
    pub term: Duration,
    /// Time between two renewals.
    pub renew_interval: Duration,
    /// Time after which a record that was not read back is sent anew.
    pub append_timeout: Duration,
    /// Most that two clocks drift apart within one term.
    pub skew: Duration,
    /// Time within which an order lands at its engine or never does.
    pub order_timeout: Duration,
}

/// What the keeper is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Records were read from the stream. The log keeps none before `first_kept`.
    Read {
        /// The records in the order of their offsets.
        records: Vec<(LogOffset, LeaseRecord)>,
        /// The oldest offset that the log keeps.
        first_kept: LogOffset,
    },
    /// The engine told whether it refuses orders with an old fencing number.
    EngineKind {
        /// The engine.
        endpoint: EndpointId,
        /// Whether it checks.
        checks_fencing: bool,
    },
    /// The engine refused an order because it knows a newer number, or shows that another process
    /// gives it orders.
    Fenced(EndpointId),
    /// No order is in transit and none will be sent: the process is leaving.
    Leaving,
    /// Time passed.
    Tick,
}

/// What the process is to do or to know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseCommand {
    /// Append this record. Its answer is of no use: the record counts when it is read back.
    Append(LeaseRecord),
    /// The lease on the endpoint is held from here on.
    Gained {
        /// The endpoint.
        endpoint: EndpointId,
        /// The token.
        token: FencingToken,
        /// Whether another process held it and let it lapse. It may still serve requests that it
        /// dispatched, on adapters that must not be evicted under them.
        lapsed: bool,
    },
    /// The lease on the endpoint is no longer held.
    Lost(EndpointId),
}

/// The commands that one event causes.
pub type LeaseCommands = SmallVec<[LeaseCommand; 4]>;

/// One endpoint's lease in any stage.
#[derive(Debug, Clone)]
enum AnyLease {
    Waiting(Lease<Waiting>),
    Claiming(Lease<Claiming>),
    Held(Lease<Held>),
}

/// When this process last saw a lease being taken, renewed or released.
#[derive(Debug, Clone, Copy)]
struct LeaseSight {
    at: Timestamp,
    term: Duration,
}

/// Keeps the leases on the endpoints of one process.
#[derive(Debug, Clone)]
pub struct LeaseKeeper {
    options: LeaseOptions,
    holder: LeaseHolder,
    opened: Timestamp,
    ledger: LeaseLedger,
    has_read: bool,
    leases: BTreeMap<EndpointId, AnyLease>,
    sights: HashMap<EndpointId, LeaseSight>,
    checking: HashMap<EndpointId, bool>,
    not_before: HashMap<EndpointId, Timestamp>,
    /// Endpoints whose last holder was another process that did not release them.
    lapsed: HashSet<EndpointId>,
    sent: VecDeque<(u64, Timestamp)>,
    next_attempt: u64,
    last_take: Option<Timestamp>,
    last_renewal: Option<Timestamp>,
    leaving: bool,
}

impl LeaseKeeper {
    /// Opens the keeper of a process that holds nothing yet.
    pub fn open(
        now: Timestamp,
        options: LeaseOptions,
        holder: LeaseHolder,
        endpoints: impl IntoIterator<Item = EndpointId>,
    ) -> Self {
        let waiting = |endpoint: EndpointId| {
            let lease = AnyLease::Waiting(Lease::open(endpoint.clone()));
            (endpoint, lease)
        };
        Self {
            options,
            holder,
            opened: now,
            ledger: LeaseLedger::open(),
            has_read: false,
            leases: endpoints.into_iter().map(waiting).collect(),
            sights: HashMap::new(),
            checking: HashMap::new(),
            not_before: HashMap::new(),
            lapsed: HashSet::new(),
            sent: VecDeque::new(),
            next_attempt: 0,
            last_take: None,
            last_renewal: None,
            leaving: false,
        }
    }

    /// Returns the offset from which the stream is to be read next.
    pub const fn next_offset(&self) -> LogOffset {
        self.ledger.next_offset()
    }

    /// Returns leave to send one order to `endpoint`, if its lease is held.
    pub fn permit(&self, endpoint: &EndpointId) -> Option<OrderPermit> {
        match self.leases.get(endpoint) {
            Some(AnyLease::Held(lease)) => {
                Some(lease.permit(self.checks(endpoint), self.options.order_timeout))
            }
            _ => None,
        }
    }

    /// Returns whether the lease on `endpoint` is held and its term has not ended.
    pub fn in_term(&self, now: Timestamp, endpoint: &EndpointId) -> bool {
        matches!(self.leases.get(endpoint), Some(AnyLease::Held(lease)) if now < lease.until())
    }

    /// Takes one event and returns what to do about it.
    pub fn handle(&mut self, now: Timestamp, event: LeaseEvent) -> LeaseCommands {
        let mut commands = LeaseCommands::new();
        match event {
            LeaseEvent::Read {
                records,
                first_kept,
            } => self.read(now, first_kept, &records, &mut commands),
            LeaseEvent::EngineKind {
                endpoint,
                checks_fencing,
            } => {
                self.checking.insert(endpoint, checks_fencing);
            }
            LeaseEvent::Fenced(endpoint) => self.fenced(now, &endpoint, &mut commands),
            LeaseEvent::Leaving => self.release(now, &mut commands),
            LeaseEvent::Tick => {}
        }
        if self.has_read && !self.leaving {
            self.renew(now, &mut commands);
            self.take(now, &mut commands);
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
        // Records were lost to the log's retention, among them perhaps another's take.
        if self.ledger.skip_to(first_kept) {
            self.sights.clear();
            self.opened = now;
            let endpoints: Vec<_> = self.leases.keys().cloned().collect();
            for endpoint in endpoints {
                self.lose(&endpoint, commands);
            }
        }
        for (offset, record) in records {
            for change in self.ledger.apply(*offset, record) {
                self.note(now, record, change, commands);
            }
        }
    }

    fn note(
        &mut self,
        now: Timestamp,
        record: &LeaseRecord,
        change: LeaseChange,
        commands: &mut LeaseCommands,
    ) {
        let own = record.holder.incarnation == self.holder.incarnation;
        let sight = LeaseSight {
            at: now,
            term: record.term,
        };
        let foreign = record.holder.process != self.holder.process;
        match change {
            LeaseChange::Taken(endpoint) => {
                self.sights.insert(endpoint.clone(), sight);
                if foreign {
                    self.lapsed.insert(endpoint.clone());
                }
                if own {
                    self.win(&endpoint, record, commands);
                } else {
                    self.lose(&endpoint, commands);
                }
            }
            LeaseChange::Renewed(endpoint) => {
                self.sights.insert(endpoint.clone(), sight);
                if foreign {
                    self.lapsed.insert(endpoint.clone());
                }
                if own {
                    self.extend(&endpoint, record);
                } else {
                    self.lose(&endpoint, commands);
                }
            }
            LeaseChange::Released(endpoint) => {
                self.lapsed.remove(&endpoint);
                self.sights.insert(endpoint, sight);
            }
            LeaseChange::Void(endpoint) if own => self.void(&endpoint, record, commands),
            LeaseChange::Void(_) => {}
        }
    }

    /// Returns the end of the term that the record `attempt` began when it was sent.
    fn term_end(&self, record: &LeaseRecord) -> Option<Timestamp> {
        let (_, sent) = self
            .sent
            .iter()
            .find(|(attempt, _)| *attempt == record.attempt)?;
        Some(*sent + record.term.saturating_sub(self.options.skew))
    }

    fn win(&mut self, endpoint: &EndpointId, record: &LeaseRecord, commands: &mut LeaseCommands) {
        let Some(until) = self.term_end(record) else {
            return;
        };
        let Some(token) = self.ledger.row(endpoint).map(|row| row.token) else {
            return;
        };
        let Some(lease) = self.leases.get_mut(endpoint) else {
            return;
        };
        let claiming = match lease.clone() {
            AnyLease::Waiting(waiting) => waiting.claim(record.attempt),
            AnyLease::Claiming(claiming) => claiming,
            AnyLease::Held(held) => held.lose().claim(record.attempt),
        };
        *lease = AnyLease::Held(claiming.win(token, until));
        commands.push(LeaseCommand::Gained {
            endpoint: endpoint.clone(),
            token,
            lapsed: self.lapsed.remove(endpoint),
        });
    }

    fn extend(&mut self, endpoint: &EndpointId, record: &LeaseRecord) {
        let until = self.term_end(record);
        if let (Some(AnyLease::Held(lease)), Some(until)) = (self.leases.get_mut(endpoint), until) {
            lease.extend(until);
        }
    }

    /// A record of this life states nothing: a take was overtaken, or a renewal came too late.
    fn void(&mut self, endpoint: &EndpointId, record: &LeaseRecord, commands: &mut LeaseCommands) {
        let renewal = matches!(record.statement, LeaseStatement::Renew { .. });
        let Some(lease) = self.leases.get_mut(endpoint) else {
            return;
        };
        match lease.clone() {
            AnyLease::Claiming(claiming) if claiming.attempt() == record.attempt => {
                *lease = AnyLease::Waiting(claiming.lose());
            }
            AnyLease::Held(_) if renewal => self.lose(endpoint, commands),
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
                AnyLease::Waiting(held.lose())
            }
            AnyLease::Claiming(claiming) => AnyLease::Waiting(claiming.lose()),
            AnyLease::Waiting(waiting) => AnyLease::Waiting(waiting),
        };
    }

    /// The engine knows a newer number, whose record this process has yet to read.
    fn fenced(&mut self, now: Timestamp, endpoint: &EndpointId, commands: &mut LeaseCommands) {
        self.lose(endpoint, commands);
        let pause = now + self.options.append_timeout;
        self.not_before.insert(endpoint.clone(), pause);
    }

    fn release(&mut self, now: Timestamp, commands: &mut LeaseCommands) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        let leases = self.held();
        if !leases.is_empty() {
            let statement = LeaseStatement::Release { leases };
            self.append(now, statement, commands);
        }
        let endpoints: Vec<_> = self.leases.keys().cloned().collect();
        for endpoint in endpoints {
            self.lose(&endpoint, commands);
        }
    }

    fn renew(&mut self, now: Timestamp, commands: &mut LeaseCommands) {
        let due = |sent: Timestamp| now.since(sent) >= self.options.renew_interval;
        if !self.last_renewal.is_none_or(due) {
            return;
        }
        let leases = self.held();
        if leases.is_empty() {
            return;
        }
        self.last_renewal = Some(now);
        self.append(now, LeaseStatement::Renew { leases }, commands);
    }

    fn take(&mut self, now: Timestamp, commands: &mut LeaseCommands) {
        let pending =
            |sent: Timestamp| now.since(sent) < self.options.append_timeout && self.is_claiming();
        if self.last_take.is_some_and(pending) {
            return;
        }
        let endpoints: Vec<EndpointId> = self
            .leases
            .iter()
            .filter(|(endpoint, lease)| {
                !matches!(lease, AnyLease::Held(_)) && now >= self.lapse(endpoint)
            })
            .map(|(endpoint, _)| endpoint.clone())
            .collect();
        if endpoints.is_empty() {
            return;
        }
        self.last_take = Some(now);
        self.last_renewal = Some(now);
        let attempt = self.next_attempt;
        for endpoint in &endpoints {
            let lease = Lease::open(endpoint.clone()).claim(attempt);
            self.leases
                .insert(endpoint.clone(), AnyLease::Claiming(lease));
        }
        let statement = LeaseStatement::Take {
            read_to: self.ledger.next_offset(),
            endpoints,
        };
        self.append(now, statement, commands);
    }

    fn is_claiming(&self) -> bool {
        let claiming = |lease: &AnyLease| matches!(lease, AnyLease::Claiming(_));
        self.leases.values().any(claiming)
    }

    fn append(&mut self, now: Timestamp, statement: LeaseStatement, commands: &mut LeaseCommands) {
        let attempt = self.next_attempt;
        self.next_attempt += 1;
        if self.sent.len() == REMEMBERED_ATTEMPTS {
            self.sent.pop_front();
        }
        self.sent.push_back((attempt, now));
        commands.push(LeaseCommand::Append(LeaseRecord {
            holder: self.holder.clone(),
            attempt,
            term: self.options.term,
            statement,
        }));
    }

    fn held(&self) -> Vec<HeldLease> {
        let held = |(endpoint, lease): (&EndpointId, &AnyLease)| match lease {
            AnyLease::Held(held) => Some(HeldLease {
                endpoint: endpoint.clone(),
                token: held.token(),
            }),
            _ => None,
        };
        self.leases.iter().filter_map(held).collect()
    }

    /// Returns whether the engine refuses old numbers; one that was never reached counts as not.
    fn checks(&self, endpoint: &EndpointId) -> bool {
        self.checking.get(endpoint).copied().unwrap_or(false)
    }

    /// Returns the time that an order of another holder may still take to land.
    fn landing_time(&self, endpoint: &EndpointId) -> Duration {
        if self.checks(endpoint) {
            Duration::ZERO
        } else {
            self.options.order_timeout
        }
    }

    /// Returns when the lease on `endpoint` may be taken.
    fn lapse(&self, endpoint: &EndpointId) -> Timestamp {
        let pause = self.not_before.get(endpoint).copied().unwrap_or_default();
        pause.max(self.lapse_by_log(endpoint))
    }

    fn lapse_by_log(&self, endpoint: &EndpointId) -> Timestamp {
        let landing = self.landing_time(endpoint);
        let Some((row, sight)) = self.ledger.row(endpoint).zip(self.sights.get(endpoint)) else {
            // A reader of the whole stream knows that nobody ever held the lease. Any other has
            // to allow for a holder whose last record it missed.
            return if self.ledger.is_complete() {
                self.opened
            } else {
                self.opened + self.options.term + self.options.skew + landing
            };
        };
        if row.standing == LeaseStanding::Released
            || row.holder.incarnation == self.holder.incarnation
        {
            return sight.at;
        }
        let former_life = row.holder.process == self.holder.process;
        let same_address = row.holder.address == self.holder.address;
        // A life that listens on the former life's address has outlived it, so that only orders
        // in transit are left. Where engines check numbers, those are refused.
        if former_life && (same_address || self.checks(endpoint)) {
            return self.opened + landing;
        }
        sight.at + sight.term + self.options.skew + landing
    }
}
