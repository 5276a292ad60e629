//! One path from caller to engine, each role on threads of its own name.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use amaranth_agent::settings::{AgentLimits, EndpointKind, EndpointSettings};
use amaranth_agent::{AgentProcess, AgentSettings};
use amaranth_config::catalogue::Catalogue;
use amaranth_core::errors::{Result, internal};
use amaranth_core::request::CompletionApi;
use amaranth_entry::{EntryProcess, EntrySettings};
use amaranth_ports::http_log::HttpLog;
use amaranth_standin::engine::{EngineOptions, EngineStandin};
use amaranth_standin::log_standin::{LogOptions, LogStandin};
use log::LevelFilter;
use tokio::runtime::{Builder, Runtime};

use crate::caller::client::CallerClient;
use crate::caller::completion::CompletionCall;
use crate::checker::evidence::CallResult;
use crate::fleet::configuration::{FIRST_VERSION, PendingChange, documents};
use crate::fleet::member::any_port;
use crate::fleet::shape::{Deployment, DeploymentShape};

/// Threads of each role.
const ROLE_THREADS: usize = 2;

/// Time within which the path must be ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Ended answers that the agent keeps for callers whose entry dies: 15 s of the highest rate.
const HELD_ANSWERS: usize = 16_384;

/// Time between two looks whether the path is ready.
const READY_POLL: Duration = Duration::from_millis(20);

/// How the engine of the path works.
#[derive(Debug, Clone, Copy)]
pub struct PathEngine {
    /// Time of one step, which yields one token to each request.
    pub step_time: Duration,
    /// Requests batched at once.
    pub batch_slots: u16,
}

/// A running path. Its runtimes end with it.
pub struct TestPath {
    /// The shape that the configuration was made from.
    pub shape: DeploymentShape,
    /// The engine, for calls past the entry and the agent.
    pub engine: EngineStandin,
    entry: EntryProcess,
    _agent: AgentProcess,
    _log: LogStandin,
    runtimes: Vec<Runtime>,
}

fn failed(error: impl std::fmt::Display) -> amaranth_core::Error {
    internal(format!("the path can't start: {error}"))
}

fn runtime(name: &str) -> io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(ROLE_THREADS)
        .thread_name(name)
        .enable_all()
        .build()
}

impl TestPath {
    /// Starts the path and returns when the entry can serve.
    ///
    /// # Errors
    ///
    /// Returns an error when something can't be started or is not ready in time.
    pub fn spawn(engine: PathEngine) -> Result<Self> {
        let standins = runtime("standin").map_err(failed)?;
        let agents = runtime("agent-traffic").map_err(failed)?;
        let shape = DeploymentShape {
            batch_slots: engine.batch_slots,
            step_time: engine.step_time,
            ..DeploymentShape::of(Deployment::Tokachi)
        };
        let (log, engine) = standins.block_on(spawn_standins(&shape))?;
        let entry = standins.block_on(spawn_entry(&shape, log.address()))?;
        let settings = agent_settings(&shape, &log, &engine, entry.peer_address())?;
        let agent = agents
            .block_on(AgentProcess::spawn(settings))
            .map_err(failed)?;
        let path = Self {
            shape,
            engine,
            entry,
            _agent: agent,
            _log: log,
            runtimes: vec![standins, agents],
        };
        path.wait_until_ready()?;
        Ok(path)
    }

    /// Returns where the entry serves callers.
    pub const fn entry_address(&self) -> SocketAddr {
        self.entry.http_address()
    }

    /// Returns when a call for the first adapter is answered, which also loads it.
    fn wait_until_ready(&self) -> Result<()> {
        let client = CallerClient::new(READY_LIMIT);
        let call = CompletionCall {
            api: CompletionApi::Completions,
            model: self.shape.adapter_name(0),
            prompt: "ready".to_owned(),
            max_tokens: 1,
            stream: false,
        };
        let ready = async {
            loop {
                let outcome = client.complete(self.entry_address(), &call).await;
                if matches!(outcome.result, CallResult::Answered { .. }) {
                    return;
                }
                tokio::time::sleep(READY_POLL).await;
            }
        };
        self.runtimes[0]
            .block_on(async { tokio::time::timeout(READY_LIMIT, ready).await })
            .map_err(|_| failed("not ready in time"))
    }
}

impl Drop for TestPath {
    fn drop(&mut self) {
        for runtime in self.runtimes.drain(..) {
            runtime.shutdown_background();
        }
    }
}

async fn spawn_standins(shape: &DeploymentShape) -> Result<(LogStandin, EngineStandin)> {
    let log = LogStandin::spawn(LogOptions::default())
        .await
        .map_err(failed)?;
    let options = EngineOptions {
        bases: vec![shape.base.clone()],
        batch_slots: shape.batch_slots,
        step_time: shape.step_time,
        step_time_per_request: Duration::ZERO,
        prefill_time_per_token: Duration::ZERO,
        waiting_limit: u16::MAX,
        load_time: Duration::from_millis(1),
        ..EngineOptions::default()
    };
    let engine = EngineStandin::spawn(options).await.map_err(failed)?;
    let first = PendingChange::build(&Catalogue::default(), &documents(shape, FIRST_VERSION))?;
    first.append(&HttpLog::new(log.address())).await?;
    Ok((log, engine))
}

async fn spawn_entry(shape: &DeploymentShape, log: SocketAddr) -> Result<EntryProcess> {
    let home = shape.data_centre_of(0).clone();
    let settings = EntrySettings::loopback("entry-1".parse()?, home.name, home.region, log);
    EntryProcess::spawn(settings).await
}

fn agent_settings(
    shape: &DeploymentShape,
    log: &LogStandin,
    engine: &EngineStandin,
    entry: SocketAddr,
) -> Result<AgentSettings> {
    let home = shape.data_centre_of(0).clone();
    let endpoint = EndpointSettings {
        id: "engine-1".parse()?,
        address: engine.address(),
        kind: EndpointKind::Engine,
    };
    Ok(AgentSettings {
        process: "agent-1".parse()?,
        data_centre: home.name,
        region: home.region,
        peer_address: any_port(),
        advertised_address: None,
        admin_address: any_port(),
        log_address: log.address(),
        vm_list_address: None,
        entries: vec![entry],
        log_level: LevelFilter::Off,
        collector: None,
        endpoints: vec![endpoint],
        limits: AgentLimits {
            answers: HELD_ANSWERS,
            ..AgentLimits::default()
        },
    })
}
