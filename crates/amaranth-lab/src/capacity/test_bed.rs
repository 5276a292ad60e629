//! Test bed with one entry, one agent and one engine, each role on threads of its own name.

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

/// Number of worker threads of each runtime.
const WORKER_THREADS: usize = 2;

/// Time within which the test bed must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of running or unread answers in the agent. The agent keeps ended answers for
/// callers whose entry fails; this is enough for 15 s at the highest rate.
const MAX_ANSWERS: usize = 16_384;

/// Interval between two checks of whether the test bed is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Options of the engine of a [`TestBed`].
#[derive(Debug, Clone, Copy)]
pub struct TestBedOptions {
    /// Duration of one engine step, which generates one token for each request in the batch.
    pub step_time: Duration,
    /// Maximum number of requests in the engine's batch.
    pub batch_slots: u16,
}

/// A running entry, agent, engine stand-in and log stand-in on loopback. Dropping the test bed
/// shuts down their runtimes.
pub struct TestBed {
    /// Deployment shape that the configuration was generated from.
    pub shape: DeploymentShape,
    /// Engine stand-in, also for calls that bypass the entry and the agent.
    pub engine: EngineStandin,
    entry: EntryProcess,
    _agent: AgentProcess,
    _log: LogStandin,
    runtimes: Vec<Runtime>,
}

fn start_error(error: impl std::fmt::Display) -> amaranth_core::Error {
    internal(format!("the test bed failed to start: {error}"))
}

fn build_runtime(name: &str) -> io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .thread_name(name)
        .enable_all()
        .build()
}

impl TestBed {
    /// Starts all parts and returns once a call through the entry is answered.
    ///
    /// # Errors
    ///
    /// Returns an error if a part can't be started or the entry does not answer in time.
    pub fn spawn(options: TestBedOptions) -> Result<Self> {
        let standin_runtime = build_runtime("standin").map_err(start_error)?;
        let agent_runtime = build_runtime("agent-traffic").map_err(start_error)?;
        let shape = DeploymentShape {
            batch_slots: options.batch_slots,
            step_time: options.step_time,
            ..DeploymentShape::of(Deployment::Tokachi)
        };
        let (log, engine) = standin_runtime.block_on(spawn_standins(&shape))?;
        let entry = standin_runtime.block_on(spawn_entry(&shape, log.address()))?;
        let settings = agent_settings(&shape, &log, &engine, entry.peer_address())?;
        let agent = agent_runtime
            .block_on(AgentProcess::spawn(settings))
            .map_err(start_error)?;
        let test_bed = Self {
            shape,
            engine,
            entry,
            _agent: agent,
            _log: log,
            runtimes: vec![standin_runtime, agent_runtime],
        };
        test_bed.wait_until_ready()?;
        Ok(test_bed)
    }

    /// Returns the address at which the entry serves callers.
    pub const fn entry_address(&self) -> SocketAddr {
        self.entry.http_address()
    }

    /// Waits until a call for the first adapter is answered, which also loads that adapter.
    fn wait_until_ready(&self) -> Result<()> {
        let client = CallerClient::new(READY_TIMEOUT);
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
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        };
        self.runtimes[0]
            .block_on(async { tokio::time::timeout(READY_TIMEOUT, ready).await })
            .map_err(|_| start_error("not ready in time"))
    }
}

impl Drop for TestBed {
    fn drop(&mut self) {
        for runtime in self.runtimes.drain(..) {
            runtime.shutdown_background();
        }
    }
}

async fn spawn_standins(shape: &DeploymentShape) -> Result<(LogStandin, EngineStandin)> {
    let log = LogStandin::spawn(LogOptions::default())
        .await
        .map_err(start_error)?;
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
    let engine = EngineStandin::spawn(options).await.map_err(start_error)?;
    let change = PendingChange::build(&Catalogue::default(), &documents(shape, FIRST_VERSION))?;
    change.append(&HttpLog::new(log.address())).await?;
    Ok((log, engine))
}

async fn spawn_entry(shape: &DeploymentShape, log: SocketAddr) -> Result<EntryProcess> {
    let data_centre = shape.data_centre_of(0).clone();
    let settings = EntrySettings::loopback(
        "entry-1".parse()?,
        data_centre.name,
        data_centre.region,
        log,
    );
    EntryProcess::spawn(settings).await
}

fn agent_settings(
    shape: &DeploymentShape,
    log: &LogStandin,
    engine: &EngineStandin,
    entry: SocketAddr,
) -> Result<AgentSettings> {
    let data_centre = shape.data_centre_of(0).clone();
    let endpoint = EndpointSettings {
        id: "engine-1".parse()?,
        address: engine.address(),
        kind: EndpointKind::Engine,
    };
    Ok(AgentSettings {
        process: "agent-1".parse()?,
        data_centre: data_centre.name,
        region: data_centre.region,
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
            answers: MAX_ANSWERS,
            ..AgentLimits::default()
        },
    })
}
