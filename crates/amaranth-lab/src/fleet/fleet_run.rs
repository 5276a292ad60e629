//! A run of a fleet under load: changes, drains, kills and restarts, and the collected evidence.

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
    CallTarget, RunContext, RunRecords, VersionChange, WorkloadOptions, run_workload,
};

/// Time between two samples of the fleet's counters.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which callers use a restarted entry even if it is not ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time within which a process must start again on its former addresses.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The kill of an entry process, without a drain.
#[derive(Debug, Clone, PartialEq, Eq)]
struct EntryKill {
    entry: ProcessId,
    /// The time of the kill since the start of the run.
    at: Duration,
}

/// A running experiment: a fleet with the load on it and the evidence collected so far.
pub struct FleetRun {
    /// The fleet under load.
    pub fleet: DemoFleet,
    context: Arc<RunContext>,
    sampler: EvidenceSampler,
    evidence: RunEvidence,
    kills: Vec<EntryKill>,
    /// The number of requests of each engine that its restarts aborted.
    aborted_by_restart: Vec<u64>,
    workload: JoinHandle<RunRecords>,
}

/// The results of a finished run.
pub struct FinishedRun {
    /// The fleet, which is still running.
    pub fleet: DemoFleet,
    /// The evidence for the checker.
    pub evidence: RunEvidence,
    /// The records of the callers, without the calls, which are in `evidence`.
    pub records: RunRecords,
    /// The duration of the run.
    pub elapsed: Duration,
}

impl FleetRun {
    /// Starts the load on `fleet`.
    pub fn spawn(fleet: DemoFleet, options: WorkloadOptions) -> Self {
        let context = Arc::new(RunContext::new(fleet.shape.clone(), call_targets(&fleet)));
        let workload = tokio::spawn(run_workload(Arc::clone(&context), options));
        let aborted_by_restart = vec![0; fleet.engines.len()];
        Self {
            sampler: EvidenceSampler::new(&fleet, context.started_at),
            fleet,
            context,
            evidence: RunEvidence::default(),
            kills: Vec::new(),
            aborted_by_restart,
            workload,
        }
    }

    /// Returns the time since the start of the run.
    pub fn elapsed(&self) -> Duration {
        self.sampler.elapsed()
    }

    /// Samples the fleet until `end`, a time since the start of the run.
    pub async fn sample_until(&mut self, end: Duration) {
        while self.elapsed() < end {
            self.sampler.sample(&self.fleet);
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    }

    /// Makes `version` of the changed adapter current.
    ///
    /// # Errors
    ///
    /// Returns an error if the change can't be built, or if the log refuses it or is unreachable.
    pub async fn change_configuration(&mut self, version: u64) -> Result<()> {
        let documents = documents(&self.fleet.shape, version);
        let change = PendingChange::build(&self.fleet.catalogue, &documents)?;
        let revision = change.revision();
        // An entry may route by the change before the append is acknowledged here.
        let mut versions = self.context.versions.load().as_ref().clone();
        versions.record(VersionChange {
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

    /// Drains the agent of engine `index` and records how many requests the drain aborted.
    pub async fn drain_agent(&mut self, index: usize) {
        let Some(agent) = self.fleet.agents[index].take_process() else {
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
            aborted: unfinished_requests(&engine.engine) - self.aborted_by_restart[index],
        });
    }

    /// Restarts engine `index` without adapters, which aborts its running requests.
    pub fn restart_engine(&mut self, index: usize) {
        let engine = &self.fleet.engines[index].engine;
        engine.restart();
        self.aborted_by_restart[index] = unfinished_requests(engine);
    }

    /// Kills an agent without a drain.
    pub fn kill_agent(&mut self, index: usize) {
        if let Some(agent) = self.fleet.agents[index].take_process() {
            agent.kill();
        }
    }

    /// Restarts an agent on its former addresses, unless it is running.
    ///
    /// # Errors
    ///
    /// Returns an error if the agent can't be started in time.
    pub async fn restart_agent(&mut self, index: usize) -> Result<()> {
        let member = &mut self.fleet.agents[index];
        if member.process().is_some() {
            return Ok(());
        }
        let agent = start_with_retries(|| AgentProcess::spawn(member.settings().clone())).await?;
        member.set_process(agent);
        Ok(())
    }

    /// Kills an entry without a drain. Callers use only the other entries from then on.
    pub fn kill_entry(&mut self, index: usize) {
        let member = &mut self.fleet.entries[index];
        let Some(entry) = member.take_process() else {
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

    /// Drains and stops an entry. Callers use only the other entries from the start of the drain.
    pub async fn drain_entry(&mut self, index: usize) {
        let Some(entry) = self.fleet.entries[index].take_process() else {
            return;
        };
        self.context
            .targets
            .store(Arc::new(call_targets(&self.fleet)));
        entry.drain().await;
    }

    /// Restarts an entry on its former addresses, unless it is running.
    ///
    /// Callers use the entry again when it is ready, or after a timeout.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry can't be started in time.
    pub async fn restart_entry(&mut self, index: usize) -> Result<()> {
        let member = &mut self.fleet.entries[index];
        if member.process().is_some() {
            return Ok(());
        }
        let entry = start_with_retries(|| EntryProcess::spawn(member.settings().clone())).await?;
        // A load balancer sends callers only to entries that report ready.
        let ready = async {
            while !entry.is_ready() {
                tokio::time::sleep(SAMPLE_INTERVAL).await;
            }
        };
        if tokio::time::timeout(READY_TIMEOUT, ready).await.is_err() {
            log::warn!(
                "event=entry_not_ready process={}",
                member.settings().process
            );
        }
        member.set_process(entry);
        self.context
            .targets
            .store(Arc::new(call_targets(&self.fleet)));
        Ok(())
    }

    /// Stops the load, waits for the last call and returns the results.
    pub async fn finish(mut self) -> FinishedRun {
        self.context.stopped.store(true, Ordering::Relaxed);
        while !self.workload.is_finished() {
            self.sampler.sample(&self.fleet);
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
        self.sampler.sample(&self.fleet);
        let elapsed = self.sampler.elapsed();
        let mut records = self.workload.await.unwrap_or_default();
        let (engines, readings) = self.sampler.into_evidence();
        self.evidence.engines = engines;
        self.evidence.readings = readings;
        self.evidence.services = service_record(&self.fleet);
        self.evidence.calls = std::mem::take(&mut records.calls);
        mark_entry_kills(&mut self.evidence.calls, &self.kills);
        FinishedRun {
            fleet: self.fleet,
            evidence: self.evidence,
            records,
            elapsed,
        }
    }
}

/// Returns the number of requests that an engine accepted and neither completed nor cancelled.
fn unfinished_requests(engine: &EngineStandin) -> u64 {
    let counters = engine.counters();
    counters.accepted - counters.completed - counters.cancelled
}

/// Starts a process on its former addresses, with retries until a timeout.
///
/// An outgoing connection of this process may occupy one of the ports for a while.
async fn start_with_retries<Process, Error, Starting>(
    start: impl Fn() -> Starting,
) -> Result<Process>
where
    Error: std::fmt::Display,
    Starting: Future<Output = std::result::Result<Process, Error>>,
{
    let started_at = Instant::now();
    loop {
        match start().await {
            Ok(process) => return Ok(process),
            Err(_) if started_at.elapsed() < START_TIMEOUT => {
                tokio::time::sleep(SAMPLE_INTERVAL).await;
            }
            Err(error) => return Err(internal(format!("can't restart a process: {error}"))),
        }
    }
}

/// Marks the broken calls whose entry was killed while they ran.
///
/// A killed entry can't send an error, so these breaks are not violations.
fn mark_entry_kills(calls: &mut [CallRecord], kills: &[EntryKill]) {
    for call in calls {
        let killed = kills
            .iter()
            .any(|kill| kill.entry == call.entry && (call.started..=call.ended).contains(&kill.at));
        if let CallResult::Broken { entry_killed, .. } = &mut call.result {
            *entry_killed = killed;
        }
    }
}

/// Returns the running entries of a fleet, as a load balancer would return them to callers.
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

/// Returns the number of executions of each idempotency key over all instances of the service.
fn service_record(fleet: &DemoFleet) -> ServiceRecord {
    let mut record = ServiceRecord::default();
    for service in &fleet.services {
        for (key, count) in service.counters().by_key {
            let key: IdempotencyKey = key
                .parse()
                .expect("callers of the lab send valid idempotency keys");
            *record.executions.entry(key).or_default() += u64::from(count);
        }
    }
    record
}
