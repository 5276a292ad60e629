//! An agent on fakes, and requests to it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranth_agent::control_thread::ControlThread;
use amaranth_agent::server::AgentServer;
use amaranth_agent::settings::{AgentLimits, EndpointKind, EndpointSettings};
use amaranth_agent::{AgentParts, AgentPorts, AgentProcess, AgentSettings};
use amaranth_core::Result;
use amaranth_core::ids::{ConfigRevision, RequestId, Sequence};
use amaranth_core::request::{
    AnswerChunk, AnswerEnd, CompletionApi, CompletionRequest, ModelTarget, RequestPriority,
    ServiceClaim, ServiceRequest,
};
use amaranth_core::trace::TraceContext;
use amaranth_core::units::TokenCount;
use amaranth_ports::engine::EnginePort;
use amaranth_ports::service::ServicePort;
use amaranth_telemetry::metrics;
use amaranth_wire::agent::{AgentRpc, AnswerRead};
use bytes::Bytes;
use tarpc::context;

use super::engine::{EngineOptions, FakeEngine, FakeEnginePort};
use super::log::FakeLog;
use super::service::FakeService;

const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Maximum time that one read waits for a chunk.
pub const WAIT: Duration = Duration::from_secs(1);

/// The trace context of every request.
pub const TRACE: TraceContext = TraceContext {
    trace_id: 1,
    span_id: 1,
    sampled: false,
};

/// An agent on a fake engine, a fake service and a fake log.
pub struct AgentFixture {
    /// The running agent.
    pub process: AgentProcess,
    /// The agent's RPC server, called without a connection.
    pub server: AgentServer,
    /// The engine "engine-1".
    pub engine: Arc<FakeEngine>,
    /// The service "desk-1".
    pub service: Arc<FakeService>,
    /// The agent's client of the log.
    pub log: Arc<FakeLog>,
}

/// Returns the settings of an agent called `name`.
pub fn settings(name: &str, limits: AgentLimits) -> AgentSettings {
    AgentSettings {
        process: name.parse().unwrap(),
        data_centre: "obihiro-a".parse().unwrap(),
        region: "doto".parse().unwrap(),
        peer_address: LOOPBACK,
        advertised_address: None,
        admin_address: LOOPBACK,
        log_address: LOOPBACK,
        vm_list_address: None,
        entries: Vec::new(),
        log_level: log::LevelFilter::Info,
        collector: None,
        endpoints: vec![
            EndpointSettings {
                id: "engine-1".parse().unwrap(),
                address: LOOPBACK,
                kind: EndpointKind::Engine,
            },
            EndpointSettings {
                id: "desk-1".parse().unwrap(),
                address: LOOPBACK,
                kind: EndpointKind::Service {
                    service: "member-desk".parse().unwrap(),
                },
            },
        ],
        limits,
    }
}

impl AgentFixture {
    /// Spawns an agent on new fakes and waits until its engine is ready.
    pub async fn spawn(options: EngineOptions, limits: AgentLimits) -> Self {
        let engine = Arc::new(FakeEngine::new(options));
        let log = Arc::new(FakeLog::default());
        let fixture = Self::spawn_on(engine, log, settings("agent-1", limits)).await;
        fixture.wait_ready().await;
        fixture
    }

    /// Spawns an agent on an engine and a log that other agents may share.
    pub async fn spawn_on(
        engine: Arc<FakeEngine>,
        log: Arc<FakeLog>,
        settings: AgentSettings,
    ) -> Self {
        let service = Arc::new(FakeService::default());
        let engine_port: Arc<dyn EnginePort> = Arc::new(FakeEnginePort(engine.clone()));
        let service_port: Arc<dyn ServicePort> = service.clone();
        let parts = AgentParts {
            ports: AgentPorts {
                log: log.clone(),
                vm_list: None,
                engines: HashMap::from([("engine-1".parse().unwrap(), engine_port)]),
                services: HashMap::from([("desk-1".parse().unwrap(), service_port)]),
            },
            metrics: metrics::detached(),
            control: ControlThread::current(),
        };
        let process = AgentProcess::spawn_with(settings, parts).await.unwrap();
        Self {
            server: process.server(),
            process,
            engine,
            service,
            log,
        }
    }

    /// Returns whether the agent reports its engine as ready.
    pub async fn is_ready(&self) -> bool {
        let status = self.server.clone().status(context::current()).await;
        status
            .endpoints
            .iter()
            .any(|report| report.endpoint.as_str() == "engine-1" && report.ready)
    }

    /// Waits until the agent reports its engine as ready.
    pub async fn wait_ready(&self) {
        while !self.is_ready().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Runs a request and returns its complete answer.
    pub async fn complete(
        &self,
        request: CompletionRequest,
    ) -> Result<(Vec<AnswerChunk>, AnswerEnd)> {
        complete(&self.server, request).await
    }
}

/// Runs a request at `server` and returns its complete answer.
pub async fn complete(
    server: &AgentServer,
    request: CompletionRequest,
) -> Result<(Vec<AnswerChunk>, AnswerEnd)> {
    let id = request.id;
    let opened = server
        .clone()
        .open_answer(context::current(), request, WAIT);
    let mut batch = opened.await?;
    let mut chunks = Vec::new();
    loop {
        chunks.append(&mut batch.chunks);
        if let Some(end) = batch.end {
            return Ok((chunks, end));
        }
        let read = AnswerRead {
            id,
            from: Sequence(chunks.len() as u64),
            wait: WAIT,
        };
        batch = server.clone().read_answer(context::current(), read).await?;
    }
}

/// Returns request number `number`, for `adapter`.
pub fn request(number: u128, adapter: &str) -> CompletionRequest {
    CompletionRequest {
        id: RequestId(number),
        endpoint: "engine-1".parse().unwrap(),
        target: ModelTarget::Adapter {
            base: "tin-llm".parse().unwrap(),
            adapter: adapter.parse().unwrap(),
        },
        revision: ConfigRevision(1),
        api: CompletionApi::Completions,
        body: Bytes::from_static(br#"{"model":"manifest","prompt":"read"}"#),
        caller: "tokachi".parse().unwrap(),
        priority: RequestPriority::Normal,
        time_left: Duration::from_secs(30),
        prompt_tokens: TokenCount(8),
        max_tokens: TokenCount(5),
        trace: TRACE,
    }
}

/// Returns a booking call to the service, with `claim` if there is one.
pub fn booking(claim: Option<ServiceClaim>) -> ServiceRequest {
    ServiceRequest {
        id: RequestId(7),
        service: "member-desk".parse().unwrap(),
        endpoint: "desk-1".parse().unwrap(),
        method: "POST".to_owned(),
        path: "/bookings".to_owned(),
        content_type: Some("application/json".to_owned()),
        body: Bytes::from_static(b"{}"),
        claim,
        time_left: Duration::from_secs(5),
        trace: TRACE,
    }
}
