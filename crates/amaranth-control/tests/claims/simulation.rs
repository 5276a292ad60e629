//! Entries, agents, a service and a log that exchange messages in any order.

use std::collections::HashMap;
use std::time::Duration;

use amaranth_control::claim_event::{
    AppendOutcome, ClaimCall, ClaimCommand, ClaimEvent, ClaimPage, ClaimTarget, DispatchOutcome,
    SettleOutcome,
};
use amaranth_control::claim_record::{ClaimBatch, ClaimProposal};
use amaranth_control::claim_table::{BeginOutcome, ClaimStatus, ClaimTable};
use amaranth_core::errors::{Error, ErrorKind, Result, RunState};
use amaranth_core::ids::{ClaimId, IdempotencyKey, Incarnation, LogOffset, RequestId};
use amaranth_core::request::ServiceAnswer;
use amaranth_core::time::Timestamp;
use bytes::Bytes;

use crate::naive_coordinator::Coordinator;

pub const ENTRIES: usize = 2;
pub const AGENTS: usize = 2;

/// How long the callers wait.
const PATIENCE: Duration = Duration::from_secs(10);

/// How long an agent remembers outcomes. It is short, so that agents forget within a run.
const AGENT_MEMORY: Duration = Duration::from_secs(4);

/// Messages that arrive between two moments once the faults have ended.
const MESSAGES_A_ROUND: usize = 40;

/// One step of a schedule. Numbers choose among what is there at that moment.
#[derive(Debug, Clone)]
pub enum Step {
    /// A caller calls an entry.
    Call { entry: usize, key: u8, body: u8 },
    /// A message arrives.
    Deliver(usize),
    /// A message is lost, and its sender notices.
    Lose(usize),
    /// A message is believed lost by its sender and arrives later.
    Delay(usize),
    /// A service ends a call; its answer may be lost.
    Finish { call: usize, lost: bool },
    /// An entry dies and starts anew; what it sent is still under way.
    CrashEntry(usize),
    /// An agent dies and starts anew with another incarnation.
    CrashAgent(usize),
    /// The log goes out or comes back.
    Outage(bool),
    /// A caller leaves.
    Leave(usize),
    /// Time passes.
    Advance(u16),
}

/// A message under way. `told` says whether its sender believes it lost.
#[derive(Debug, Clone)]
struct Message {
    from: (usize, u32),
    told: bool,
    content: Content,
}

#[derive(Debug, Clone)]
enum Content {
    Append(ClaimBatch),
    Read(Timestamp),
    Dispatch(RequestId, ClaimId, ClaimProposal),
    Settle(ClaimId, ClaimProposal),
    Reply(ClaimEvent),
}

struct WorldEntry<Desk> {
    desk: Desk,
    life: u32,
}

struct WorldAgent {
    book: ClaimTable,
    incarnation: Incarnation,
}

/// A call that a service works on.
struct ServiceWork {
    agent: usize,
    incarnation: Incarnation,
    claim: ClaimId,
    key: IdempotencyKey,
    readers: Vec<((usize, u32), RequestId)>,
}

/// What a caller was told.
#[derive(Debug, Clone)]
pub struct CallerRecord {
    pub key: IdempotencyKey,
    pub entry: usize,
    pub life: u32,
    pub left: bool,
    pub outcome: Option<Result<ServiceAnswer>>,
}

/// The whole.
pub struct World<Desk> {
    now: Timestamp,
    log: Vec<ClaimBatch>,
    out: bool,
    entries: Vec<WorldEntry<Desk>>,
    agents: Vec<WorldAgent>,
    messages: Vec<Message>,
    works: Vec<ServiceWork>,
    next_request: u128,
    pub callers: HashMap<RequestId, CallerRecord>,
    pub executions: HashMap<IdempotencyKey, u32>,
    pub executed_requests: Vec<RequestId>,
}

impl<Desk: Coordinator> World<Desk> {
    pub fn open() -> Self {
        let entries = (0..ENTRIES).map(|_| WorldEntry {
            desk: Desk::open(),
            life: 0,
        });
        let agents = (0..AGENTS).map(|agent| WorldAgent {
            book: ClaimTable::new(AGENT_MEMORY),
            incarnation: Incarnation(agent as u64 * 1_000),
        });
        Self {
            now: Timestamp::ZERO,
            log: Vec::new(),
            out: false,
            entries: entries.collect(),
            agents: agents.collect(),
            messages: Vec::new(),
            works: Vec::new(),
            next_request: 1,
            callers: HashMap::new(),
            executions: HashMap::new(),
            executed_requests: Vec::new(),
        }
    }

    pub fn run(&mut self, steps: &[Step]) {
        for entry in 0..ENTRIES {
            self.start_read(entry);
        }
        for step in steps {
            self.step(step);
        }
    }

    /// Ends all faults and lets everything that is under way arrive.
    pub fn settle_down(&mut self) {
        self.out = false;
        for _ in 0..200 {
            for _ in 0..MESSAGES_A_ROUND {
                self.deliver(0);
            }
            while !self.works.is_empty() {
                self.finish(0, false);
            }
            for entry in 0..ENTRIES {
                self.start_read(entry);
            }
            self.advance(Duration::from_millis(100));
        }
    }

    /// Returns the present life of an entry.
    pub fn life_of(&self, entry: usize) -> u32 {
        self.entries[entry].life
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Call { entry, key, body } => self.call(entry % ENTRIES, *key, *body),
            Step::Deliver(choice) => self.deliver(*choice),
            Step::Lose(choice) => self.lose(*choice, false),
            Step::Delay(choice) => self.lose(*choice, true),
            Step::Finish { call, lost } => self.finish(*call, *lost),
            Step::CrashEntry(entry) => self.crash_entry(entry % ENTRIES),
            Step::CrashAgent(agent) => self.crash_agent(agent % AGENTS),
            Step::Outage(out) => self.out = *out,
            Step::Leave(choice) => self.leave(*choice),
            Step::Advance(millis) => self.advance(Duration::from_millis(u64::from(*millis))),
        }
    }

    fn call(&mut self, entry: usize, key: u8, body: u8) {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let key: IdempotencyKey = format!("key-{key}")
            .parse()
            .expect("the key is well formed");
        let record = CallerRecord {
            key: key.clone(),
            entry,
            life: self.entries[entry].life,
            left: false,
            outcome: None,
        };
        self.callers.insert(request, record);
        let call = ClaimCall {
            request,
            key,
            body_digest: u128::from(body),
            deadline: self.now + PATIENCE,
        };
        self.tell(entry, ClaimEvent::Arrived(call));
    }

    fn tell(&mut self, entry: usize, event: ClaimEvent) {
        let commands = self.entries[entry].desk.handle(self.now, event);
        for command in commands {
            self.carry_out(entry, command);
        }
    }

    fn carry_out(&mut self, entry: usize, command: ClaimCommand) {
        let content = match command {
            ClaimCommand::SelectTarget(request) => {
                let place = self.place(request);
                return self.tell(entry, ClaimEvent::TargetSelected(request, Ok(place)));
            }
            ClaimCommand::Answer(request, outcome) => {
                let record = self.callers.get_mut(&request).expect("the call came");
                assert!(
                    record.outcome.is_none(),
                    "request {request} is answered twice"
                );
                record.outcome = Some(outcome);
                return;
            }
            ClaimCommand::CatchUp => Content::Read(self.now),
            ClaimCommand::Append(batch) => Content::Append(batch),
            ClaimCommand::Dispatch(request, claim, proposal) => {
                Content::Dispatch(request, claim, proposal)
            }
            ClaimCommand::Settle(claim, proposal) => Content::Settle(claim, proposal),
        };
        self.send(entry, content);
    }

    fn send(&mut self, entry: usize, content: Content) {
        self.messages.push(Message {
            from: (entry, self.entries[entry].life),
            told: false,
            content,
        });
    }

    fn start_read(&mut self, entry: usize) {
        self.send(entry, Content::Read(self.now));
    }

    /// Spreads requests over the agents, as entries do that never talk.
    fn place(&self, request: RequestId) -> ClaimTarget {
        let agent = usize::try_from(request.0 % AGENTS as u128).expect("the number is small");
        ClaimTarget {
            agent: format!("agent-{agent}").parse().expect("a name"),
            incarnation: self.agents[agent].incarnation,
            endpoint: format!("desk-{agent}").parse().expect("a name"),
        }
    }

    fn deliver(&mut self, choice: usize) {
        if self.messages.is_empty() {
            return;
        }
        let message = self.messages.remove(choice % self.messages.len());
        match message.content.clone() {
            Content::Append(batch) => self.append(&message, batch),
            Content::Read(started) => self.read(&message, started),
            Content::Dispatch(request, claim, proposal) => {
                self.dispatch(&message, request, claim, &proposal);
            }
            Content::Settle(claim, proposal) => self.ask(&message, claim, &proposal),
            Content::Reply(event) => self.receive(message.from, event),
        }
    }

    fn reply(&mut self, to: &Message, event: ClaimEvent) {
        if !to.told {
            self.messages.push(Message {
                from: to.from,
                told: false,
                content: Content::Reply(event),
            });
        }
    }

    /// Tells an entry, if it is still in the life in which it asked.
    fn receive(&mut self, (entry, life): (usize, u32), event: ClaimEvent) {
        if self.entries[entry].life != life {
            return;
        }
        let is_read = matches!(event, ClaimEvent::Read(_) | ClaimEvent::ReadFailed);
        self.tell(entry, event);
        if is_read && !self.reads_under_way(entry) {
            self.start_read(entry);
        }
    }

    fn reads_under_way(&self, entry: usize) -> bool {
        let from = (entry, self.entries[entry].life);
        self.messages.iter().any(|message| {
            message.from == from
                && matches!(
                    message.content,
                    Content::Read(_) | Content::Reply(ClaimEvent::Read(_))
                )
        })
    }

    fn append(&mut self, message: &Message, batch: ClaimBatch) {
        if self.out {
            return self.reply(message, ClaimEvent::AppendEnded(AppendOutcome::Failed));
        }
        self.log.push(batch);
        let offset = LogOffset(self.log.len() as u64 - 1);
        let outcome = AppendOutcome::Appended(offset);
        self.reply(message, ClaimEvent::AppendEnded(outcome));
    }

    fn read(&mut self, message: &Message, started: Timestamp) {
        if self.out {
            return self.reply(message, ClaimEvent::ReadFailed);
        }
        let entry = message.from.0;
        let from = self.entries[entry].desk.next_offset().0;
        let batches = self.log.iter().enumerate().skip(from as usize);
        let page = ClaimPage {
            started,
            batches: batches
                .map(|(offset, batch)| (LogOffset(offset as u64), batch.clone()))
                .collect(),
            first_kept: LogOffset(0),
            end: LogOffset(self.log.len() as u64),
        };
        self.reply(message, ClaimEvent::Read(page));
    }

    fn agent_of(&self, proposal: &ClaimProposal) -> usize {
        (0..AGENTS)
            .find(|agent| format!("agent-{agent}") == proposal.agent.as_str())
            .expect("the agent exists")
    }

    fn dispatch(
        &mut self,
        message: &Message,
        request: RequestId,
        claim: ClaimId,
        proposal: &ClaimProposal,
    ) {
        let agent = self.agent_of(proposal);
        if self.agents[agent].incarnation != proposal.agent_incarnation {
            let error = Error::new(ErrorKind::Fenced, "another life");
            let outcome = DispatchOutcome::NotRun(error);
            return self.reply(message, ClaimEvent::DispatchEnded(request, outcome));
        }
        match self.agents[agent].book.begin(self.now, claim) {
            BeginOutcome::Run => {
                // The service acts at once; only its answer takes time.
                *self.executions.entry(proposal.key.clone()).or_default() += 1;
                self.executed_requests.push(request);
                self.works.push(ServiceWork {
                    agent,
                    incarnation: proposal.agent_incarnation,
                    claim,
                    key: proposal.key.clone(),
                    readers: vec![(message.from, request)],
                });
            }
            BeginOutcome::Attach => {
                let work = self.works.iter_mut().find(|work| work.claim == claim);
                if let Some(work) = work {
                    work.readers.push((message.from, request));
                }
            }
            BeginOutcome::Ended(result) => {
                let outcome = dispatch_outcome(result);
                self.reply(message, ClaimEvent::DispatchEnded(request, outcome));
            }
        }
    }

    fn ask(&mut self, message: &Message, claim: ClaimId, proposal: &ClaimProposal) {
        let agent = self.agent_of(proposal);
        let outcome = if self.agents[agent].incarnation == proposal.agent_incarnation {
            match self.agents[agent].book.settle(self.now, claim) {
                ClaimStatus::Sealed => SettleOutcome::Sealed,
                ClaimStatus::Running => SettleOutcome::Running,
                ClaimStatus::Done(answer) => SettleOutcome::Done(answer),
                ClaimStatus::Unknown => SettleOutcome::Unknown,
            }
        } else {
            SettleOutcome::Unknown
        };
        self.reply(message, ClaimEvent::Settled(claim, outcome));
    }

    fn finish(&mut self, choice: usize, lost: bool) {
        if self.works.is_empty() {
            return;
        }
        let work = self.works.remove(choice % self.works.len());
        if self.agents[work.agent].incarnation != work.incarnation {
            return;
        }
        let result = if lost {
            Err(Error::new(ErrorKind::OutcomeUnknown, "the answer was lost"))
        } else {
            Ok(ServiceAnswer {
                status: 200,
                content_type: None,
                body: Bytes::from(format!("{} by {}", work.key, work.claim)),
            })
        };
        let book = &mut self.agents[work.agent].book;
        book.end(self.now, work.claim, result.clone());
        for (from, request) in work.readers {
            let outcome = dispatch_outcome(result.clone());
            self.messages.push(Message {
                from,
                told: false,
                content: Content::Reply(ClaimEvent::DispatchEnded(request, outcome)),
            });
        }
    }

    /// Has a sender believe that its message or the reply to it is lost. A message that was
    /// delayed still arrives; one that was lost does not.
    fn lose(&mut self, choice: usize, delayed: bool) {
        if self.messages.is_empty() {
            return;
        }
        let choice = choice % self.messages.len();
        let message = self.messages[choice].clone();
        if message.told {
            return;
        }
        let event = match &message.content {
            Content::Append(_) | Content::Reply(ClaimEvent::AppendEnded(_)) => {
                ClaimEvent::AppendEnded(AppendOutcome::Uncertain)
            }
            Content::Read(_) | Content::Reply(ClaimEvent::Read(_) | ClaimEvent::ReadFailed) => {
                ClaimEvent::ReadFailed
            }
            Content::Dispatch(request, ..)
            | Content::Reply(ClaimEvent::DispatchEnded(request, _)) => {
                ClaimEvent::DispatchEnded(*request, DispatchOutcome::Lost)
            }
            Content::Settle(claim, _) | Content::Reply(ClaimEvent::Settled(claim, _)) => {
                ClaimEvent::Settled(*claim, SettleOutcome::Unreachable)
            }
            Content::Reply(_) => return,
        };
        let is_reply = matches!(message.content, Content::Reply(_));
        if delayed && !is_reply {
            self.messages[choice].told = true;
        } else {
            self.messages.remove(choice);
        }
        self.receive(message.from, event);
    }

    fn crash_entry(&mut self, entry: usize) {
        self.entries[entry].desk = Desk::open();
        self.entries[entry].life += 1;
        self.start_read(entry);
    }

    fn crash_agent(&mut self, agent: usize) {
        let agent = &mut self.agents[agent];
        agent.incarnation = agent.incarnation.next();
        agent.book = ClaimTable::new(AGENT_MEMORY);
    }

    fn leave(&mut self, choice: usize) {
        let mut sorted: Vec<_> = self
            .callers
            .iter()
            .filter(|(_, record)| record.outcome.is_none() && !record.left)
            .filter(|(_, record)| self.entries[record.entry].life == record.life)
            .map(|(request, record)| (*request, record.entry))
            .collect();
        if sorted.is_empty() {
            return;
        }
        sorted.sort();
        let (request, entry) = sorted[choice % sorted.len()];
        if let Some(record) = self.callers.get_mut(&request) {
            record.left = true;
        }
        self.tell(entry, ClaimEvent::Cancelled(request));
    }

    fn advance(&mut self, time: Duration) {
        self.now = self.now + time;
        for entry in 0..ENTRIES {
            self.tell(entry, ClaimEvent::Tick);
        }
    }
}

fn dispatch_outcome(result: Result<ServiceAnswer>) -> DispatchOutcome {
    match result {
        Ok(answer) => DispatchOutcome::Answered(answer),
        Err(error) if error.kind.answer().run == RunState::NotRun => DispatchOutcome::NotRun(error),
        Err(_) => DispatchOutcome::Lost,
    }
}
