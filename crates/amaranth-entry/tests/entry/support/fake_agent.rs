//! A fake agent that answers from a script.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_control::answer_buffer::AnswerBuffer;
use amaranth_control::claim_table::{BeginOutcome, ClaimTable};
use amaranth_core::errors::{Result, internal, not_found};
use amaranth_core::ids::{EndpointId, Incarnation, RequestId};
use amaranth_core::membership::{
    AgentAnnouncement, EndpointLoad, EndpointOffer, EndpointReport, ProcessIdentity,
};
use amaranth_core::request::{
    AnswerBatch, AnswerEnd, CompletionRequest, ServiceAnswer, ServiceClaim, ServiceRequest,
};
use amaranth_core::time::Timestamp;
use amaranth_wire::agent::{AgentRpc, AgentStatus, AnswerRead, ClaimStatus};
use amaranth_wire::transport::{self, ServerHandle};
use bytes::Bytes;
use futures::StreamExt;
use smallvec::smallvec;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};

use super::id;

/// Script of the answer to a completion.
#[derive(Debug, Clone)]
pub struct AnswerScript {
    /// The chunks of the answer.
    pub chunks: Vec<String>,
    /// The end that follows the last chunk.
    pub end: AnswerEnd,
    /// Number of chunks that are ready when the answer is opened. Each read makes one more ready.
    pub ready_at_once: usize,
}

impl AnswerScript {
    /// Returns a script whose chunks are all ready at once.
    pub fn all_ready(chunks: &[&str]) -> Self {
        Self {
            chunks: chunks.iter().map(|&chunk| chunk.to_owned()).collect(),
            end: AnswerEnd::Complete,
            ready_at_once: chunks.len(),
        }
    }
}

/// An opened answer and the number of its chunks that are ready.
struct RunningAnswer {
    buffer: AnswerBuffer,
    script: AnswerScript,
    produced: usize,
}

impl RunningAnswer {
    fn produce(&mut self, count: usize) {
        let end = (self.produced + count).min(self.script.chunks.len());
        for chunk in &self.script.chunks[self.produced..end] {
            self.buffer
                .push(Bytes::from(chunk.clone()))
                .expect("a first run has no earlier chunks to differ from");
        }
        self.produced = end;
        if end == self.script.chunks.len() {
            self.buffer.finish(self.script.end.clone());
        }
    }
}

/// State of the agent: its script, its answers and the calls it received.
struct AgentState {
    script: Option<Result<AnswerScript>>,
    answers: HashMap<RequestId, RunningAnswer>,
    opened: Vec<CompletionRequest>,
    cancelled: Vec<RequestId>,
    calls: Vec<ServiceRequest>,
    claims: ClaimTable,
    work_time: Duration,
}

impl AgentState {
    fn new() -> Self {
        Self {
            script: None,
            answers: HashMap::new(),
            opened: Vec::new(),
            cancelled: Vec::new(),
            calls: Vec::new(),
            claims: ClaimTable::new(Duration::from_secs(600)),
            work_time: Duration::ZERO,
        }
    }
}

/// A running fake agent.
#[derive(Clone)]
pub struct FakeAgent {
    state: Arc<Mutex<AgentState>>,
    server: Arc<ServerHandle>,
    name: String,
    incarnation: Incarnation,
}

impl FakeAgent {
    /// Starts an agent with endpoint `engine-of-NAME` and an instance `desk-of-NAME` of `desk`.
    pub async fn spawn(name: &str) -> Self {
        let state = Arc::new(Mutex::new(AgentState::new()));
        let service = FakeService {
            state: Arc::clone(&state),
        };
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = transport::bind(any_port, move |transport| {
            BaseChannel::with_defaults(transport)
                .execute(service.clone().serve())
                .for_each(|response| async {
                    tokio::spawn(response);
                })
        });
        Self {
            state,
            server: Arc::new(server.await.expect("the agent binds")),
            name: name.to_owned(),
            incarnation: Incarnation(1),
        }
    }

    /// Sets the script of later completions, or the error that refuses them.
    pub fn answer_with(&self, script: Result<AnswerScript>) {
        self.state.lock().expect("the lock is not poisoned").script = Some(script);
    }

    /// Sets how long later service calls run.
    pub fn work_for(&self, time: Duration) {
        self.state
            .lock()
            .expect("the lock is not poisoned")
            .work_time = time;
    }

    /// Returns the completion requests that were opened.
    pub fn opened(&self) -> Vec<CompletionRequest> {
        self.state
            .lock()
            .expect("the lock is not poisoned")
            .opened
            .clone()
    }

    /// Returns the ids of the answers that were cancelled.
    pub fn cancelled(&self) -> Vec<RequestId> {
        self.state
            .lock()
            .expect("the lock is not poisoned")
            .cancelled
            .clone()
    }

    /// Returns the service calls that the agent received and ran.
    pub fn calls(&self) -> Vec<ServiceRequest> {
        self.state
            .lock()
            .expect("the lock is not poisoned")
            .calls
            .clone()
    }

    /// Returns the number of calls with idempotency key `key` that ran.
    pub fn executions(&self, key: &str) -> usize {
        let has_key = |call: &ServiceRequest| {
            let claim = call.claim.as_ref();
            claim.is_some_and(|claim| claim.key.as_str() == key)
        };
        self.calls().iter().filter(|call| has_key(call)).count()
    }

    /// Returns the announcement with this sequence number.
    pub fn announcement(&self, sequence: u64) -> AgentAnnouncement {
        let report = |endpoint: String, offer| EndpointReport {
            endpoint: id(&endpoint),
            offer,
            ready: true,
            load: EndpointLoad::default(),
            resident: Vec::new(),
            loading: Vec::new(),
        };
        let engine = EndpointOffer::Engine {
            bases: smallvec![id("tin")],
            adapter_slots: 8,
            batch_slots: 16,
        };
        AgentAnnouncement {
            identity: ProcessIdentity {
                process: id(&self.name),
                incarnation: self.incarnation,
                address: self.server.address(),
                data_centre: id("obihiro-a"),
                region: id("doto"),
            },
            sequence,
            draining: false,
            revision: Default::default(),
            endpoints: vec![
                report(format!("engine-of-{}", self.name), engine),
                report(
                    format!("desk-of-{}", self.name),
                    EndpointOffer::Service(id("desk")),
                ),
            ],
        }
    }

    /// Returns the address of the agent's tarpc service.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Announces the agent to the entry at `address` and waits until the entry lists it.
    pub async fn announce(&self, address: SocketAddr, sequence: u64) {
        self.announce_at(self.address(), address, sequence).await;
    }

    /// Announces the agent to the entry at `address` as reachable at `advertised`.
    pub async fn announce_at(&self, advertised: SocketAddr, address: SocketAddr, sequence: u64) {
        let connecting = amaranth_wire::entry::connect(address, Duration::from_secs(5));
        let client = connecting.await.expect("the entry is reachable");
        let mut announcement = self.announcement(sequence);
        announcement.identity.address = advertised;
        client
            .announce(tarpc::context::current(), announcement.clone())
            .await
            .expect("the entry replies")
            .expect("the entry accepts the announcement");
        loop {
            let status = client.status(tarpc::context::current()).await;
            if status
                .expect("the entry replies")
                .agents
                .contains(&announcement)
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Returns the answer of every service call.
fn booked() -> ServiceAnswer {
    ServiceAnswer {
        status: 200,
        content_type: Some("application/json".to_owned()),
        body: Bytes::from_static(b"{\"booked\":true}"),
    }
}

/// The agent's tarpc service.
#[derive(Clone)]
struct FakeService {
    state: Arc<Mutex<AgentState>>,
}

impl FakeService {
    /// Makes `make_ready` more chunks ready. Replies at once if a chunk or the end can be read, and
    /// otherwise after `wait` with an empty batch as a heartbeat.
    async fn read(&self, read: AnswerRead, make_ready: usize) -> Result<AnswerBatch> {
        let batch = {
            let mut state = self.state.lock().expect("the lock is not poisoned");
            let running = state
                .answers
                .get_mut(&read.id)
                .ok_or_else(|| not_found("no such answer"))?;
            running.produce(make_ready);
            running.buffer.read(read.from)?
        };
        if let Some(batch) = batch {
            return Ok(batch);
        }
        tokio::time::sleep(read.wait).await;
        Ok(AnswerBatch {
            id: read.id,
            chunks: Vec::new(),
            end: None,
        })
    }
}

impl AgentRpc for FakeService {
    async fn open_answer(
        self,
        _context: Context,
        request: CompletionRequest,
        wait: Duration,
    ) -> Result<AnswerBatch> {
        let id = request.id;
        let ready = {
            let mut state = self.state.lock().expect("the lock is not poisoned");
            let script = state.script.clone().expect("the agent has a script")?;
            state.opened.push(request);
            let ready = script.ready_at_once;
            state.answers.entry(id).or_insert(RunningAnswer {
                buffer: AnswerBuffer::new(id, 1 << 20),
                script,
                produced: 0,
            });
            ready
        };
        let read = AnswerRead {
            id,
            from: Default::default(),
            wait,
        };
        self.read(read, ready).await
    }

    async fn read_answer(self, _context: Context, read: AnswerRead) -> Result<AnswerBatch> {
        self.read(read, 1).await
    }

    async fn cancel_answer(
        self,
        _context: Context,
        id: RequestId,
        _endpoint: EndpointId,
    ) -> Result<()> {
        self.state
            .lock()
            .expect("the lock is not poisoned")
            .cancelled
            .push(id);
        Ok(())
    }

    async fn call_service(
        self,
        _context: Context,
        request: ServiceRequest,
    ) -> Result<ServiceAnswer> {
        let claim = request.claim.as_ref().map(|claim| claim.id);
        let now = Timestamp::ZERO;
        let work_time = {
            let mut state = self.state.lock().expect("the lock is not poisoned");
            match claim.map(|claim| state.claims.begin(now, claim)) {
                None | Some(BeginOutcome::Run) => {}
                Some(BeginOutcome::Ended(result)) => return result,
                Some(BeginOutcome::Attach) => return Err(internal("the call was received twice")),
            }
            state.calls.push(request);
            state.work_time
        };
        // The call keeps running if its connection closes.
        let state = Arc::clone(&self.state);
        let working = tokio::spawn(async move {
            tokio::time::sleep(work_time).await;
            let answer = booked();
            if let Some(claim) = claim {
                let mut state = state.lock().expect("the lock is not poisoned");
                state.claims.end(now, claim, Ok(answer.clone()));
            }
            answer
        });
        working.await.map_err(|error| internal(error.to_string()))
    }

    async fn settle_claim(self, _context: Context, claim: ServiceClaim) -> Result<ClaimStatus> {
        let mut state = self.state.lock().expect("the lock is not poisoned");
        Ok(state.claims.settle(Timestamp::ZERO, claim.id))
    }

    async fn status(self, _context: Context) -> AgentStatus {
        unreachable!("entries do not request an agent's status")
    }

    async fn drain(self, _context: Context) -> Result<()> {
        Ok(())
    }
}
