//! A log, engines and processes that keep leases, in virtual time.

use std::net::SocketAddr;
use std::time::Duration;

use amaranth_control::lease::keeper::{LeaseCommand, LeaseEvent, LeaseKeeper, LeaseOptions};
use amaranth_control::lease::record::{LeaseHolder, LeaseRecord};
use amaranth_control::lease::stage::OrderPermit;
use amaranth_core::ids::{EndpointId, FencingToken, Incarnation, LogOffset};
use amaranth_core::time::Timestamp;

/// Time within which an order lands or never does.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The term of every lease.
pub const TERM: Duration = Duration::from_millis(10_000);

/// Most that two clocks drift apart within a term: clock rates differ by 1% at most.
pub const SKEW: Duration = Duration::from_millis(300);

const CLOCK_RATES: [f64; 3] = [0.995, 1.0, 1.005];

/// How the processes of a world behave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Conduct {
    /// As the keeper rules.
    Sound,
    /// An order is sent whenever it was written, however late.
    SendsLate,
    /// A lease is taken as soon as its term is over, without regard to skew and orders in transit.
    TakesEarly,
}

/// What happens next in a world.
#[derive(Debug, Clone)]
pub enum Step {
    /// A process looks at its clock.
    Tick(usize),
    /// A process reads the log.
    Read(usize),
    /// A process plans an order.
    WriteOrder(usize),
    /// A process sends the order it holds, which lands after these milliseconds.
    SendOrder(usize, u64),
    /// A process stops, and takes no step until it is woken.
    Pause(usize),
    /// A paused process goes on where it stopped.
    Wake(usize),
    /// A process starts anew, at its former address or at another one.
    Restart(usize, bool),
    /// A process gives its leases up.
    Leave(usize),
    /// The log can or can't be reached.
    Log(bool),
}

/// One step with the time before it and the fate of the records it appends.
#[derive(Debug, Clone)]
pub struct TimedStep {
    /// Milliseconds that pass first.
    pub pause: u64,
    /// What happens.
    pub step: Step,
    /// Milliseconds until an appended record stands in the log; nothing if it is lost.
    pub append_delay: Option<u64>,
}

struct Member {
    keeper: LeaseKeeper,
    rate: f64,
    order: Option<OrderPermit>,
    paused: bool,
    left: bool,
}

enum Landing {
    Append(LeaseRecord),
    Order(FencingToken),
}

/// A world in which three processes want one endpoint.
pub struct World {
    conduct: Conduct,
    now: u64,
    members: Vec<Member>,
    log: Vec<LeaseRecord>,
    log_up: bool,
    in_transit: Vec<(u64, Landing)>,
    /// The tokens of the orders in the sequence in which they reached the engine.
    pub landed: Vec<FencingToken>,
    lives: u64,
}

/// Returns the endpoint that everyone wants.
pub fn endpoint() -> EndpointId {
    "engine-1".parse().unwrap()
}

impl World {
    /// Creates a world in which nobody holds the lease.
    pub fn new(conduct: Conduct) -> Self {
        let mut world = Self {
            conduct,
            now: 0,
            members: Vec::new(),
            log: Vec::new(),
            log_up: true,
            in_transit: Vec::new(),
            landed: Vec::new(),
            lives: 0,
        };
        for (index, rate) in CLOCK_RATES.into_iter().enumerate() {
            let keeper = world.start(index, 0, 1);
            world.members.push(Member {
                keeper,
                rate,
                order: None,
                paused: false,
                left: false,
            });
        }
        world
    }

    fn start(&mut self, index: usize, local: u64, port: u16) -> LeaseKeeper {
        self.lives += 1;
        let early = self.conduct == Conduct::TakesEarly;
        let options = LeaseOptions {
            term: TERM,
            renew_interval: Duration::from_millis(3_000),
            append_timeout: Duration::from_millis(1_500),
            skew: if early { Duration::ZERO } else { SKEW },
            order_timeout: if early { Duration::ZERO } else { ORDER_TIMEOUT },
        };
        let holder = LeaseHolder {
            process: format!("agent-{index}").parse().unwrap(),
            incarnation: Incarnation(self.lives),
            address: SocketAddr::from(([10, 0, 0, index as u8], port)),
        };
        LeaseKeeper::open(Timestamp::from_millis(local), options, holder, [endpoint()])
    }

    fn local(&self, index: usize) -> Timestamp {
        let rate = self.members[index].rate;
        Timestamp::from_micros((self.now as f64 * 1_000.0 * rate) as u64)
    }

    /// Lets everything land that is due within `millis`.
    fn advance(&mut self, millis: u64) {
        let end = self.now + millis;
        self.in_transit.sort_by_key(|(due, _)| *due);
        while self.in_transit.first().is_some_and(|(due, _)| *due <= end) {
            let (due, landing) = self.in_transit.remove(0);
            self.now = due;
            match landing {
                Landing::Append(record) => self.log.push(record),
                Landing::Order(token) => self.landed.push(token),
            }
        }
        self.now = end;
    }

    /// Takes one step.
    pub fn run(&mut self, timed: &TimedStep) {
        self.advance(timed.pause);
        let event = match &timed.step {
            Step::Log(up) => {
                self.log_up = *up;
                return;
            }
            Step::Wake(index) => {
                self.members[*index].paused = false;
                return;
            }
            Step::Restart(index, same_address) => {
                let port = if *same_address { 1 } else { self.lives as u16 };
                let local = self.local(*index).as_micros() / 1_000;
                let keeper = self.start(*index, local, port);
                let member = &mut self.members[*index];
                member.keeper = keeper;
                member.order = None;
                member.paused = false;
                member.left = false;
                return;
            }
            Step::Pause(index) => {
                self.members[*index].paused = true;
                return;
            }
            Step::WriteOrder(index) => {
                let member = &mut self.members[*index];
                if !member.paused {
                    member.order = member.keeper.permit(&endpoint());
                }
                return;
            }
            Step::SendOrder(index, delay) => return self.send_order(*index, *delay),
            Step::Leave(index) => (*index, LeaseEvent::Leaving),
            Step::Tick(index) => (*index, LeaseEvent::Tick),
            Step::Read(index) => {
                if !self.log_up {
                    return;
                }
                (*index, self.page(*index))
            }
        };
        self.tell(event.0, event.1, timed.append_delay);
    }

    fn page(&self, index: usize) -> LeaseEvent {
        let from = self.members[index].keeper.next_offset().0;
        let numbered = self.log.iter().cloned().enumerate();
        LeaseEvent::Read {
            records: numbered
                .map(|(offset, record)| (LogOffset(offset as u64), record))
                .filter(|(offset, _)| offset.0 >= from)
                .collect(),
            first_kept: LogOffset(0),
        }
    }

    fn tell(&mut self, index: usize, event: LeaseEvent, append_delay: Option<u64>) {
        let now = self.local(index);
        let member = &mut self.members[index];
        if member.paused {
            return;
        }
        if event == LeaseEvent::Leaving {
            // A process that leaves has no order in hand or in transit.
            member.order = None;
            member.left = true;
            if !self.in_transit.is_empty() {
                return;
            }
        }
        for command in member.keeper.handle(now, event) {
            match command {
                LeaseCommand::Append(record) => {
                    if let Some(delay) = append_delay.filter(|_| self.log_up) {
                        let due = self.now + delay;
                        self.in_transit.push((due, Landing::Append(record)));
                    }
                }
                LeaseCommand::Gained { .. } | LeaseCommand::Lost(_) => {}
            }
        }
    }

    fn send_order(&mut self, index: usize, delay: u64) {
        let now = self.local(index);
        let member = &mut self.members[index];
        if member.paused || member.left {
            return;
        }
        let Some(permit) = member.order.take() else {
            return;
        };
        let token = if self.conduct == Conduct::SendsLate {
            permit.token_at(Timestamp::ZERO)
        } else {
            permit.token_at(now)
        };
        if let Some(token) = token {
            let delay = delay.min(ORDER_TIMEOUT.as_millis() as u64);
            self.in_transit
                .push((self.now + delay, Landing::Order(token)));
        }
    }

    /// Lets everything land.
    pub fn settle(&mut self) {
        self.advance(600_000);
    }

    /// Returns the processes that hold the lease now, by their own clocks.
    pub fn holders(&self) -> Vec<usize> {
        let holds = |index: &usize| {
            let keeper = &self.members[*index].keeper;
            keeper.in_term(self.local(*index), &endpoint())
        };
        (0..self.members.len()).filter(holds).collect()
    }

    /// Returns whether an order of a former holder landed after one of its successor.
    pub fn was_crossed(&self) -> bool {
        !self.landed.is_sorted()
    }
}
