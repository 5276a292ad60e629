//! A simulated log, one engine and processes with lease managers, in virtual time.

use std::net::SocketAddr;
use std::time::Duration;

use amaranth_control::lease::manager::{LeaseCommand, LeaseEvent, LeaseManager, LeaseOptions};
use amaranth_control::lease::record::{LeaseHolder, LeaseRecord};
use amaranth_control::lease::state::OrderPermit;
use amaranth_core::ids::{EndpointId, FencingToken, Incarnation, LogOffset};
use amaranth_core::time::Timestamp;

/// Time within which an order reaches the engine or never does.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The term of every lease.
pub const TERM: Duration = Duration::from_millis(10_000);

/// Largest drift between two clocks within a term: clock rates differ by 1% at most.
pub const SKEW: Duration = Duration::from_millis(300);

const CLOCK_RATES: [f64; 3] = [0.995, 1.0, 1.005];

/// The behaviour of all processes of a simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// Processes follow the lease manager.
    Correct,
    /// Processes send a prepared order however late it is.
    SendsLate,
    /// Processes acquire a lease as soon as its term is over, without regard to clock skew and
    /// orders in transit.
    AcquiresEarly,
}

/// One step of a simulation. Processes are named by their index.
#[derive(Debug, Clone)]
pub enum Step {
    /// A process handles a tick of its clock.
    Tick(usize),
    /// A process reads the log.
    Read(usize),
    /// A process obtains the permit for an order.
    PrepareOrder(usize),
    /// A process sends its prepared order, which arrives after these milliseconds.
    SendOrder(usize, u64),
    /// A process is paused, and takes no step until it resumes.
    Pause(usize),
    /// A paused process resumes in the state that it had.
    Resume(usize),
    /// A process restarts, at its former address if the flag is set, else at another one.
    Restart(usize, bool),
    /// A process drains and releases its leases.
    Drain(usize),
    /// The log becomes reachable or unreachable.
    Log(bool),
}

/// One step with the time before it and the delay of the records that it appends.
#[derive(Debug, Clone)]
pub struct TimedStep {
    /// Milliseconds that pass before the step.
    pub wait: u64,
    /// The step.
    pub step: Step,
    /// Milliseconds until an appended record is in the log, or `None` if the record is lost.
    pub append_delay: Option<u64>,
}

struct Process {
    manager: LeaseManager,
    clock_rate: f64,
    permit: Option<OrderPermit>,
    paused: bool,
    draining: bool,
}

enum Delivery {
    Append(LeaseRecord),
    Order(FencingToken),
}

/// A simulation in which three processes compete for one endpoint.
pub struct Simulation {
    behaviour: Behaviour,
    now: u64,
    processes: Vec<Process>,
    log: Vec<LeaseRecord>,
    log_reachable: bool,
    in_transit: Vec<(u64, Delivery)>,
    /// The tokens of the orders, in the order in which they reached the engine.
    pub order_tokens: Vec<FencingToken>,
    incarnations: u64,
}

/// Returns the endpoint that all processes compete for.
pub fn endpoint() -> EndpointId {
    "engine-1".parse().unwrap()
}

impl Simulation {
    /// Creates a simulation in which no process holds the lease.
    pub fn new(behaviour: Behaviour) -> Self {
        let mut simulation = Self {
            behaviour,
            now: 0,
            processes: Vec::new(),
            log: Vec::new(),
            log_reachable: true,
            in_transit: Vec::new(),
            order_tokens: Vec::new(),
            incarnations: 0,
        };
        for (index, clock_rate) in CLOCK_RATES.into_iter().enumerate() {
            let manager = simulation.start_manager(index, 0, 1);
            simulation.processes.push(Process {
                manager,
                clock_rate,
                permit: None,
                paused: false,
                draining: false,
            });
        }
        simulation
    }

    fn start_manager(&mut self, index: usize, local_millis: u64, port: u16) -> LeaseManager {
        self.incarnations += 1;
        let early = self.behaviour == Behaviour::AcquiresEarly;
        let options = LeaseOptions {
            term: TERM,
            renew_interval: Duration::from_millis(3_000),
            append_timeout: Duration::from_millis(1_500),
            skew: if early { Duration::ZERO } else { SKEW },
            order_timeout: if early { Duration::ZERO } else { ORDER_TIMEOUT },
        };
        let holder = LeaseHolder {
            process: format!("agent-{index}").parse().unwrap(),
            incarnation: Incarnation(self.incarnations),
            address: SocketAddr::from(([10, 0, 0, index as u8], port)),
        };
        LeaseManager::new(
            Timestamp::from_millis(local_millis),
            options,
            holder,
            [endpoint()],
        )
    }

    /// Returns the current time on the clock of a process.
    fn local_time(&self, index: usize) -> Timestamp {
        let clock_rate = self.processes[index].clock_rate;
        Timestamp::from_micros((self.now as f64 * 1_000.0 * clock_rate) as u64)
    }

    /// Advances the time and delivers everything that is due within `millis`.
    fn advance(&mut self, millis: u64) {
        let end = self.now + millis;
        self.in_transit.sort_by_key(|(due, _)| *due);
        while self.in_transit.first().is_some_and(|(due, _)| *due <= end) {
            let (due, delivery) = self.in_transit.remove(0);
            self.now = due;
            match delivery {
                Delivery::Append(record) => self.log.push(record),
                Delivery::Order(token) => self.order_tokens.push(token),
            }
        }
        self.now = end;
    }

    /// Runs one step.
    pub fn run(&mut self, timed: &TimedStep) {
        self.advance(timed.wait);
        let event = match &timed.step {
            Step::Log(reachable) => {
                self.log_reachable = *reachable;
                return;
            }
            Step::Resume(index) => {
                self.processes[*index].paused = false;
                return;
            }
            Step::Restart(index, same_address) => {
                let port = if *same_address {
                    1
                } else {
                    self.incarnations as u16
                };
                let local_millis = self.local_time(*index).as_micros() / 1_000;
                let manager = self.start_manager(*index, local_millis, port);
                let process = &mut self.processes[*index];
                process.manager = manager;
                process.permit = None;
                process.paused = false;
                process.draining = false;
                return;
            }
            Step::Pause(index) => {
                self.processes[*index].paused = true;
                return;
            }
            Step::PrepareOrder(index) => {
                let process = &mut self.processes[*index];
                if !process.paused {
                    process.permit = process.manager.permit(&endpoint());
                }
                return;
            }
            Step::SendOrder(index, delay) => return self.send_order(*index, *delay),
            Step::Drain(index) => (*index, LeaseEvent::Draining),
            Step::Tick(index) => (*index, LeaseEvent::Tick),
            Step::Read(index) => {
                if !self.log_reachable {
                    return;
                }
                (*index, self.read_event(*index))
            }
        };
        self.handle(event.0, event.1, timed.append_delay);
    }

    fn read_event(&self, index: usize) -> LeaseEvent {
        let from = self.processes[index].manager.next_offset().0;
        let numbered = self.log.iter().cloned().enumerate();
        LeaseEvent::Read {
            records: numbered
                .map(|(offset, record)| (LogOffset(offset as u64), record))
                .filter(|(offset, _)| offset.0 >= from)
                .collect(),
            first_kept: LogOffset(0),
        }
    }

    fn handle(&mut self, index: usize, event: LeaseEvent, append_delay: Option<u64>) {
        let now = self.local_time(index);
        let process = &mut self.processes[index];
        if process.paused {
            return;
        }
        if event == LeaseEvent::Draining {
            // A draining process has no order prepared or in transit.
            process.permit = None;
            process.draining = true;
            if !self.in_transit.is_empty() {
                return;
            }
        }
        for command in process.manager.handle(now, event) {
            match command {
                LeaseCommand::Append(record) => {
                    if let Some(delay) = append_delay.filter(|_| self.log_reachable) {
                        let due = self.now + delay;
                        self.in_transit.push((due, Delivery::Append(record)));
                    }
                }
                LeaseCommand::Acquired { .. } | LeaseCommand::Lost(_) => {}
            }
        }
    }

    fn send_order(&mut self, index: usize, delay: u64) {
        let now = self.local_time(index);
        let process = &mut self.processes[index];
        if process.paused || process.draining {
            return;
        }
        let Some(permit) = process.permit.take() else {
            return;
        };
        let token = if self.behaviour == Behaviour::SendsLate {
            permit.token_at(Timestamp::ZERO)
        } else {
            permit.token_at(now)
        };
        if let Some(token) = token {
            let delay = delay.min(ORDER_TIMEOUT.as_millis() as u64);
            self.in_transit
                .push((self.now + delay, Delivery::Order(token)));
        }
    }

    /// Delivers everything that is in transit.
    pub fn deliver_all(&mut self) {
        self.advance(600_000);
    }

    /// Returns the processes that hold the lease now by their own clocks.
    pub fn holders(&self) -> Vec<usize> {
        let is_holder = |index: &usize| {
            let manager = &self.processes[*index].manager;
            manager.is_in_term(self.local_time(*index), &endpoint())
        };
        (0..self.processes.len()).filter(is_holder).collect()
    }

    /// Returns whether an order of a former holder arrived after one of its successor.
    pub fn has_stale_order(&self) -> bool {
        !self.order_tokens.is_sorted()
    }
}
