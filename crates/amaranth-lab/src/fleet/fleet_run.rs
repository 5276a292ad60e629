//! A fleet under load, with the events that a run can cause and the evidence that it leaves.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use amaranth_agent::process::AgentProcess;
use amaranth_core::errors::{Result, internal};
use amaranth_core::ids::{IdempotencyKey, ProcessId};
use amaranth_entry::process::EntryProcess;
use amaranth_standin::engine::EngineStandin;
use tokio::task::JoinHandle;

use crate::checker::evidence::{
    AcceptedChange, CallRecord, CallResult, PlannedStop, RunEvidence, ServiceRecord,
};
use crate::fleet::configuration::{CHANGED_ADAPTER, PendingChange, documents};
use crate::fleet::demo_fleet::DemoFleet;
use crate::workload::evidence_sampler::EvidenceSampler;
use crate::workload::runner::{
    CallTarget, RunContext, RunRecords, VersionChange, WorkloadOptions, run as run_workload,
};

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which an entry that is not ready is given to callers all the same.
const READY_LIMIT: Duration = Duration::from_secs(10);

/// Time for which a process is tried to be started on its former addresses.
const START_LIMIT: Duration = Duration::from_secs(20);

/// An entry that was ended without warning.
#[derive(Debug, Clone, PartialEq, Eq)]
struct EntryKill {
    entry: ProcessId,
    at: Duration,
}

/// A fleet under load.
pub struct FleetRun {
    /// The fleet.
    pub fleet: DemoFleet,
    context: Arc<RunContext>,
    sampler: EvidenceSampler,
    evidence: RunEvidence,
    kills: Vec<EntryKill>,
    /// Requests of each engine that its restarts ended.
    lost_by_restart: Vec<u64>,
    workload: JoinHandle<RunRecords>,
}

/// What a run leaves behind.
pub struct FinishedRun {
    /// The fleet, still up.
    pub fleet: DemoFleet,
    /// The evidence for the checker.
    pub evidence: RunEvidence,
    /// What callers recorded besides their calls.
    pub records: RunRecords,
    /// How long the run took.
    pub elapsed: Duration,
}

impl FleetRun {
    /// Starts the load on a fleet.
    pub fn spawn(fleet: DemoFleet, options: WorkloadOptions) -> Self {
        let context = Arc::new(RunContext::open(fleet.shape.clone(), call_targets(&fleet)));
        let workload = tokio::spawn(run_workload(Arc::clone(&context), options));
        let lost_by_restart = vec![0; fleet.engines.len()];
        Self {
            sampler: EvidenceSampler::open(&fleet, context.begun),
            fleet,
            context,
            evidence: RunEvidence::default(),
            kills: Vec::new(),
            lost_by_restart,
            workload,
        }
    }

    /// Returns the time since the beginning.
    pub fn elapsed(&self) -> Duration {
        self.sampler.elapsed()
    }

    /// Samples the fleet until `end`, counted from the beginning.
    pub async fn serve_until(&mut self, end: Duration) {
        while self.elapsed() < end {
            self.sampler.sample(&self.fleet);
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    }

    /// Makes `version` of the changed adapter current.
    ///
    /// # Errors
    ///
    /// Returns an error when the log stays out of reach.
    pub async fn change_configuration(&mut self, version: u64) -> Result<()> {
        let documents = documents(&self.fleet.shape, version);
        let change = PendingChange::build(&self.fleet.catalogue, &documents)?;
        let revision = change.revision();
        // An entry may route by the change before its appender hears of it.
        let mut versions = self.context.versions.load().as_ref().clone();
        versions.note(VersionChange {
            adapter: self.fleet.shape.adapter_name(CHANGED_ADAPTER),
            revision,
            version,
        });
        self.context.versions.store(Arc::new(versions));
        self.fleet.catalogue = change.append(self.fleet.log().as_ref()).await?;
        self.evidence.changes.push(AcceptedChange {
            revision,
            accepted: self.elapsed(),
        });
        Ok(())
    }

    /// Stops the agent of engine `index` gracefully and notes what that cut.
    pub async fn drain_agent(&mut self, index: usize) {
        let Some(agent) = self.fleet.agents[index].take() else {
            return;
        };
        let requested = self.elapsed();
        let draining = tokio::spawn(agent.drain());
        while !draining.is_finished() {
            self.sampler.sample(&self.fleet);
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
        let engine = &self.fleet.engines[index];
        self.evidence.stops.push(PlannedStop {
            endpoint: engine.id.clone(),
            requested,
            ended: self.elapsed(),
            aborted: unended(&engine.engine) - self.lost_by_restart[index],
        });
    }

    /// Restarts engine `index` empty, which ends what it runs.
    pub fn restart_engine(&mut self, index: usize) {
        let engine = &self.fleet.engines[index].engine;
        engine.restart();
        self.lost_by_restart[index] = unended(engine);
    }

    /// Ends an agent without warning.
    pub fn kill_agent(&mut self, index: usize) {
        if let Some(agent) = self.fleet.agents[index].take() {
            agent.kill();
        }
    }

    /// Starts an agent again on its former addresses, unless it runs.
    ///
    /// # Errors
    ///
    /// Returns an error when an address can't be bound.
    pub async fn restart_agent(&mut self, index: usize) -> Result<()> {
        let member = &mut self.fleet.agents[index];
        if member.process().is_some() {
            return Ok(());
        }
        let agent = retry_start(|| AgentProcess::spawn(member.settings().clone())).await?;
        member.put(agent);
        Ok(())
    }

    /// Ends an entry without warning. Callers are sent to the others from here on.
    pub fn kill_entry(&mut self, index: usize) {
        let member = &mut self.fleet.entries[index];
        let Some(entry) = member.take() else {
            return;
        };
        self.kills.push(EntryKill {
            entry: member.settings().process.clone(),
            at: self.sampler.elapsed(),
        });
        self.context
            .targets
            .store(Arc::new(call_targets(&self.fleet)));
        entry.kill();
    }

    /// Stops an entry gracefully. Callers are sent to the others from here on.
    pub async fn drain_entry(&mut self, index: usize) {
        let Some(entry) = self.fleet.entries[index].take() else {
            return;
        };
        self.context
            .targets
            .store(Arc::new(call_targets(&self.fleet)));
        entry.drain().await;
    }

    /// Starts an entry again on its former addresses, unless it runs.
    ///
    /// # Errors
    ///
    /// Returns an error when an address can't be bound.
    pub async fn restart_entry(&mut self, index: usize) -> Result<()> {
        let member = &mut self.fleet.entries[index];
        if member.process().is_some() {
            return Ok(());
        }
        let entry = retry_start(|| EntryProcess::spawn(member.settings().clone())).await?;
        // The balancer gives callers an entry only when it says that it is ready.
        let ready = async {
            while !entry.is_ready() {
                tokio::time::sleep(SAMPLE_INTERVAL).await;
            }
        };
        if tokio::time::timeout(READY_LIMIT, ready).await.is_err() {
            log::warn!(
                "event=entry_not_ready process={}",
                member.settings().process
            );
        }
        member.put(entry);
        self.context
            .targets
            .store(Arc::new(call_targets(&self.fleet)));
        Ok(())
    }

    /// Stops the load, waits for the last call and returns the evidence.
    pub async fn finish(mut self) -> FinishedRun {
        self.context.stopped.store(true, Ordering::Relaxed);
        while !self.workload.is_finished() {
            self.sampler.sample(&self.fleet);
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
        self.sampler.sample(&self.fleet);
        let elapsed = self.sampler.elapsed();
        let mut records = self.workload.await.unwrap_or_default();
        let (engines, readings) = self.sampler.close();
        self.evidence.engines = engines;
        self.evidence.readings = readings;
        self.evidence.services = service_record(&self.fleet);
        self.evidence.calls = std::mem::take(&mut records.calls);
        excuse_killed(&mut self.evidence.calls, &self.kills);
        FinishedRun {
            fleet: self.fleet,
            evidence: self.evidence,
            records,
            elapsed,
        }
    }
}

/// Returns the requests that an engine took and neither completed nor cancelled.
fn unended(engine: &EngineStandin) -> u64 {
    let counters = engine.counters();
    counters.accepted - counters.completed - counters.cancelled
}

/// Starts a process on its former addresses, trying again while one of its ports is taken: an
/// outgoing connection of this process may hold it for a while.
async fn retry_start<Process, Fault, Starting>(start: impl Fn() -> Starting) -> Result<Process>
where
    Fault: std::fmt::Display,
    Starting: Future<Output = std::result::Result<Process, Fault>>,
{
    let begun = Instant::now();
    loop {
        match start().await {
            Ok(process) => return Ok(process),
            Err(_) if begun.elapsed() < START_LIMIT => tokio::time::sleep(SAMPLE_INTERVAL).await,
            Err(error) => return Err(internal(format!("a process can't start again: {error}"))),
        }
    }
}

/// Marks the calls that broke because their entry was killed meanwhile.
fn excuse_killed(calls: &mut [CallRecord], kills: &[EntryKill]) {
    for call in calls {
        let killed = kills
            .iter()
            .any(|kill| kill.entry == call.entry && (call.started..=call.ended).contains(&kill.at));
        if let CallResult::Broken { entry_killed, .. } = &mut call.result {
            *entry_killed = killed;
        }
    }
}

/// Returns the entries of a fleet as the balancer would give them to callers.
fn call_targets(fleet: &DemoFleet) -> Vec<CallTarget> {
    fleet
        .entries
        .iter()
        .filter_map(|member| {
            Some(CallTarget {
                entry: member.settings().process.clone(),
                address: member.process()?.http_address(),
            })
        })
        .collect()
}

/// Returns the executions for each key over all instances of the service.
fn service_record(fleet: &DemoFleet) -> ServiceRecord {
    let mut record = ServiceRecord::default();
    for service in &fleet.services {
        for (key, count) in service.counters().by_key {
            let key: IdempotencyKey = key.parse().expect("the lab's keys are valid");
            *record.executions.entry(key).or_default() += u64::from(count);
        }
    }
    record
}
