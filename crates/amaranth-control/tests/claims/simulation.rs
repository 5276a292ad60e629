//! Simulation of entries, agents, a service and a log whose messages arrive in any order.

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

/// Time from a call to its deadline.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which an agent retains outcomes, short enough that outcomes are evicted within a run.
const OUTCOME_RETENTION: Duration = Duration::from_secs(4);

/// Number of messages that arrive in each round after the faults have ended.
const MESSAGES_PER_ROUND: usize = 40;

/// One step of a schedule. Numbers select among the items that exist at that moment.
#[derive(Debug, Clone)]
pub enum Step {
    /// A caller calls an entry.
    Call { entry: usize, key: u8, body: u8 },
    /// A message arrives.
    Deliver(usize),
    /// A message is lost, and its sender is notified.
    Lose(usize),
    /// A message is reported to its sender as lost, but arrives later.
    Delay(usize),
    /// The service ends a call; its answer may be lost.
    Finish { call: usize, lost: bool },
    /// An entry crashes and restarts; the messages that it sent stay in transit.
    CrashEntry(usize),
    /// An agent crashes and restarts with another incarnation.
    CrashAgent(usize),
    /// The log becomes unavailable or available again.
    SetLogOutage(bool),
    /// A caller cancels its call.
    CancelCall(usize),
    /// Time passes, in milliseconds.
    Advance(u16),
}

/// Message in transit.
#[derive(Debug, Clone)]
struct Message {
    /// Entry and entry incarnation that sent the message, or that receives it if it is a reply.
    from: (usize, u32),
    /// Whether the message was reported to its sender as lost.
    reported_lost: bool,
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

struct SimulatedEntry<C> {
    coordinator: C,
    incarnation: u32,
}

struct SimulatedAgent {
    claims: ClaimTable,
    incarnation: Incarnation,
}

/// Call that the service is running.
struct RunningCall {
    agent: usize,
    incarnation: Incarnation,
    claim: ClaimId,
    key: IdempotencyKey,
    waiters: Vec<((usize, u32), RequestId)>,
}

/// Call of one caller with its outcome.
#[derive(Debug, Clone)]
pub struct CallerRecord {
    pub key: IdempotencyKey,
    pub entry: usize,
    pub entry_incarnation: u32,
    pub cancelled: bool,
    pub outcome: Option<Result<ServiceAnswer>>,
}

/// Entries, agents, a service and a log, with the messages in transit between them.
pub struct Simulation<C> {
    now: Timestamp,
    log: Vec<ClaimBatch>,
    log_unavailable: bool,
    entries: Vec<SimulatedEntry<C>>,
    agents: Vec<SimulatedAgent>,
    messages: Vec<Message>,
    running: Vec<RunningCall>,
    next_request: u128,
    pub callers: HashMap<RequestId, CallerRecord>,
    pub executions: HashMap<IdempotencyKey, u32>,
    pub executed_requests: Vec<RequestId>,
}

impl<C: Coordinator> Simulation<C> {
    pub fn new() -> Self {
        let entries = (0..ENTRIES).map(|_| SimulatedEntry {
            coordinator: C::new(),
            incarnation: 0,
        });
        let agents = (0..AGENTS).map(|agent| SimulatedAgent {
            claims: ClaimTable::new(OUTCOME_RETENTION),
            incarnation: Incarnation(agent as u64 * 1_000),
        });
        Self {
            now: Timestamp::ZERO,
            log: Vec::new(),
            log_unavailable: false,
            entries: entries.collect(),
            agents: agents.collect(),
            messages: Vec::new(),
            running: Vec::new(),
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
            self.apply(step);
        }
    }

    /// Ends all faults, and lets all messages in transit arrive and all running calls end.
    pub fn drain(&mut self) {
        self.log_unavailable = false;
        for _ in 0..200 {
            for _ in 0..MESSAGES_PER_ROUND {
                self.deliver(0);
            }
            while !self.running.is_empty() {
                self.finish(0, false);
            }
            for entry in 0..ENTRIES {
                self.start_read(entry);
            }
            self.advance(Duration::from_millis(100));
        }
    }

    /// Returns the current incarnation of an entry.
    pub fn incarnation_of(&self, entry: usize) -> u32 {
        self.entries[entry].incarnation
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Call { entry, key, body } => self.call(entry % ENTRIES, *key, *body),
            Step::Deliver(choice) => self.deliver(*choice),
            Step::Lose(choice) => self.lose(*choice, false),
            Step::Delay(choice) => self.lose(*choice, true),
            Step::Finish { call, lost } => self.finish(*call, *lost),
            Step::CrashEntry(entry) => self.crash_entry(entry % ENTRIES),
            Step::CrashAgent(agent) => self.crash_agent(agent % AGENTS),
            Step::SetLogOutage(outage) => self.log_unavailable = *outage,
            Step::CancelCall(choice) => self.cancel_call(*choice),
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
            entry_incarnation: self.entries[entry].incarnation,
            cancelled: false,
            outcome: None,
        };
        self.callers.insert(request, record);
        let call = ClaimCall {
            request,
            key,
            body_digest: u128::from(body),
            deadline: self.now + CALL_TIMEOUT,
        };
        self.handle(entry, ClaimEvent::Arrived(call));
    }

    fn handle(&mut self, entry: usize, event: ClaimEvent) {
        let commands = self.entries[entry].coordinator.handle(self.now, event);
        for command in commands {
            self.execute(entry, command);
        }
    }

    fn execute(&mut self, entry: usize, command: ClaimCommand) {
        let content = match command {
            ClaimCommand::SelectTarget(request) => {
                let target = self.select_target(request);
                return self.handle(entry, ClaimEvent::TargetSelected(request, Ok(target)));
            }
            ClaimCommand::Answer(request, outcome) => {
                let record = self
                    .callers
                    .get_mut(&request)
                    .expect("only calls that arrived are answered");
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
            from: (entry, self.entries[entry].incarnation),
            reported_lost: false,
            content,
        });
    }

    fn start_read(&mut self, entry: usize) {
        self.send(entry, Content::Read(self.now));
    }

    /// Selects an agent by the request id, as entries that do not coordinate their choice do.
    fn select_target(&self, request: RequestId) -> ClaimTarget {
        let agent = usize::try_from(request.0 % AGENTS as u128).expect("the number is small");
        ClaimTarget {
            agent: format!("agent-{agent}")
                .parse()
                .expect("the name is well formed"),
            incarnation: self.agents[agent].incarnation,
            endpoint: format!("endpoint-{agent}")
                .parse()
                .expect("the name is well formed"),
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
            Content::Settle(claim, proposal) => self.settle(&message, claim, &proposal),
            Content::Reply(event) => self.receive(message.from, event),
        }
    }

    fn reply(&mut self, to: &Message, event: ClaimEvent) {
        if !to.reported_lost {
            self.messages.push(Message {
                from: to.from,
                reported_lost: false,
                content: Content::Reply(event),
            });
        }
    }

    /// Passes an event to an entry, unless the entry has restarted since it sent the request.
    fn receive(&mut self, (entry, incarnation): (usize, u32), event: ClaimEvent) {
        if self.entries[entry].incarnation != incarnation {
            return;
        }
        let is_read = matches!(event, ClaimEvent::Read(_) | ClaimEvent::ReadFailed);
        self.handle(entry, event);
        if is_read && !self.has_read_in_transit(entry) {
            self.start_read(entry);
        }
    }

    fn has_read_in_transit(&self, entry: usize) -> bool {
        let from = (entry, self.entries[entry].incarnation);
        self.messages.iter().any(|message| {
            message.from == from
                && matches!(
                    message.content,
                    Content::Read(_) | Content::Reply(ClaimEvent::Read(_))
                )
        })
    }

    fn append(&mut self, message: &Message, batch: ClaimBatch) {
        if self.log_unavailable {
            return self.reply(message, ClaimEvent::AppendEnded(AppendOutcome::Failed));
        }
        self.log.push(batch);
        let offset = LogOffset(self.log.len() as u64 - 1);
        let outcome = AppendOutcome::Appended(offset);
        self.reply(message, ClaimEvent::AppendEnded(outcome));
    }

    fn read(&mut self, message: &Message, started: Timestamp) {
        if self.log_unavailable {
            return self.reply(message, ClaimEvent::ReadFailed);
        }
        let entry = message.from.0;
        let from = self.entries[entry].coordinator.next_offset().0;
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
            let error = Error::new(ErrorKind::Fenced, "another incarnation");
            let outcome = DispatchOutcome::NotRun(error);
            return self.reply(message, ClaimEvent::DispatchEnded(request, outcome));
        }
        match self.agents[agent].claims.begin(self.now, claim) {
            BeginOutcome::Run => {
                // The service executes the call at once; only its answer is delayed.
                *self.executions.entry(proposal.key.clone()).or_default() += 1;
                self.executed_requests.push(request);
                self.running.push(RunningCall {
                    agent,
                    incarnation: proposal.agent_incarnation,
                    claim,
                    key: proposal.key.clone(),
                    waiters: vec![(message.from, request)],
                });
            }
            BeginOutcome::Attach => {
                let running = self.running.iter_mut().find(|call| call.claim == claim);
                if let Some(call) = running {
                    call.waiters.push((message.from, request));
                }
            }
            BeginOutcome::Ended(result) => {
                let outcome = dispatch_outcome(result);
                self.reply(message, ClaimEvent::DispatchEnded(request, outcome));
            }
        }
    }

    fn settle(&mut self, message: &Message, claim: ClaimId, proposal: &ClaimProposal) {
        let agent = self.agent_of(proposal);
        let outcome = if self.agents[agent].incarnation == proposal.agent_incarnation {
            match self.agents[agent].claims.settle(self.now, claim) {
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
        if self.running.is_empty() {
            return;
        }
        let call = self.running.remove(choice % self.running.len());
        if self.agents[call.agent].incarnation != call.incarnation {
            return;
        }
        let result = if lost {
            Err(Error::new(ErrorKind::OutcomeUnknown, "the answer was lost"))
        } else {
            Ok(ServiceAnswer {
                status: 200,
                content_type: None,
                body: Bytes::from(format!("{} by {}", call.key, call.claim)),
            })
        };
        let claims = &mut self.agents[call.agent].claims;
        claims.end(self.now, call.claim, result.clone());
        for (from, request) in call.waiters {
            let outcome = dispatch_outcome(result.clone());
            self.messages.push(Message {
                from,
                reported_lost: false,
                content: Content::Reply(ClaimEvent::DispatchEnded(request, outcome)),
            });
        }
    }

    /// Reports to a sender that its message, or the reply to it, is lost. A message that is only
    /// delayed still arrives; a lost one does not.
    fn lose(&mut self, choice: usize, delayed: bool) {
        if self.messages.is_empty() {
            return;
        }
        let choice = choice % self.messages.len();
        let message = self.messages[choice].clone();
        if message.reported_lost {
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
            self.messages[choice].reported_lost = true;
        } else {
            self.messages.remove(choice);
        }
        self.receive(message.from, event);
    }

    fn crash_entry(&mut self, entry: usize) {
        self.entries[entry].coordinator = C::new();
        self.entries[entry].incarnation += 1;
        self.start_read(entry);
    }

    fn crash_agent(&mut self, agent: usize) {
        let agent = &mut self.agents[agent];
        agent.incarnation = agent.incarnation.next();
        agent.claims = ClaimTable::new(OUTCOME_RETENTION);
    }

    fn cancel_call(&mut self, choice: usize) {
        let mut waiting: Vec<_> = self
            .callers
            .iter()
            .filter(|(_, record)| record.outcome.is_none() && !record.cancelled)
            .filter(|(_, record)| {
                self.entries[record.entry].incarnation == record.entry_incarnation
            })
            .map(|(request, record)| (*request, record.entry))
            .collect();
        if waiting.is_empty() {
            return;
        }
        waiting.sort();
        let (request, entry) = waiting[choice % waiting.len()];
        if let Some(record) = self.callers.get_mut(&request) {
            record.cancelled = true;
        }
        self.handle(entry, ClaimEvent::Cancelled(request));
    }

    fn advance(&mut self, time: Duration) {
        self.now = self.now + time;
        for entry in 0..ENTRIES {
            self.handle(entry, ClaimEvent::Tick);
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
