//! What happens to one deployment in the demo: load, a configuration change and a planned stop.

use std::sync::Arc;
use std::time::Duration;

use amaranth_agent::process::AgentProcess;
use amaranth_core::errors::Result;
use amaranth_core::ids::IdempotencyKey;
use indicatif::{ProgressBar, ProgressStyle};

use crate::checker::evidence::{AcceptedChange, PlannedStop, RunEvidence, ServiceBook};
use crate::checker::verdict::judge;
use crate::demo::arguments::DemoArguments;
use crate::demo::report::DemoReport;
use crate::fleet::configuration::{PendingChange, documents};
use crate::fleet::demo_fleet::DemoFleet;
use crate::fleet::shape::DeploymentShape;
use crate::workload::evidence_sampler::EvidenceSampler;
use crate::workload::runner::{
    CallTarget, RunContext, RunRecords, WorkloadOptions, run as run_workload,
};

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Calls per second and engine.
const RATE_PER_ENGINE: f64 = 4.0;

/// Adapters that callers ask for. A fresh fleet is cold, and the store loads a few each second.
const CALLED_ADAPTERS: u32 = 60;

/// The exponent of the popularity law.
const POPULARITY_EXPONENT: f64 = 1.0;

/// The version that the configuration change makes current.
const SECOND_VERSION: u64 = 2;

/// Runs the scenario of one deployment.
///
/// # Errors
///
/// Returns an error when the fleet can't be started or changed.
pub async fn run_scenario(shape: DeploymentShape, arguments: &DemoArguments) -> Result<DemoReport> {
    let progress = progress_bar(&shape, arguments);
    progress.set_message("starting the fleet");
    let mut fleet = DemoFleet::spawn(shape.clone()).await?;
    let targets = call_targets(&fleet);
    let context = Arc::new(RunContext::open(shape, targets));
    let options = WorkloadOptions {
        seed: arguments.seed,
        rate: RATE_PER_ENGINE * fleet.engines.len() as f64,
        duration: arguments.duration,
        exponent: POPULARITY_EXPONENT,
        adapters: CALLED_ADAPTERS,
    };
    progress.set_message("serving");
    let workload = tokio::spawn(run_workload(Arc::clone(&context), options));
    let mut scenario = RunningScenario {
        sampler: EvidenceSampler::open(&fleet, context.begun),
        evidence: RunEvidence::default(),
        context,
        progress,
    };
    scenario.drive(&mut fleet, arguments.duration).await?;
    let records = scenario.finish_workload(&fleet, workload).await;
    scenario.progress.finish_and_clear();
    let report = scenario.into_report(&fleet, records);
    fleet.stop().await;
    Ok(report)
}

/// Returns the entries of a fleet as the balancer would give them to callers.
pub fn call_targets(fleet: &DemoFleet) -> Vec<CallTarget> {
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
pub fn service_book(fleet: &DemoFleet) -> ServiceBook {
    let mut book = ServiceBook::default();
    for service in &fleet.services {
        for (key, count) in service.counters().by_key {
            let key: IdempotencyKey = key.parse().expect("the lab's keys are valid");
            *book.executions.entry(key).or_default() += u64::from(count);
        }
    }
    book
}

fn progress_bar(shape: &DeploymentShape, arguments: &DemoArguments) -> ProgressBar {
    let style = ProgressStyle::with_template("{prefix} [{bar:30}] {msg}")
        .unwrap_or_else(|_| ProgressStyle::default_bar());
    let length = u64::try_from(arguments.duration.as_millis()).unwrap_or(u64::MAX);
    ProgressBar::new(length)
        .with_style(style)
        .with_prefix(shape.deployment.to_string())
}

/// A scenario that goes on.
struct RunningScenario {
    sampler: EvidenceSampler,
    evidence: RunEvidence,
    context: Arc<RunContext>,
    progress: ProgressBar,
}

impl RunningScenario {
    /// Changes the configuration after a third of the time and stops an agent after half of it.
    async fn drive(&mut self, fleet: &mut DemoFleet, duration: Duration) -> Result<()> {
        self.sample_until(fleet, duration / 3).await;
        self.progress.set_message("changing the configuration");
        self.change_configuration(fleet).await?;
        self.sample_until(fleet, duration / 2).await;
        self.progress.set_message("draining one agent");
        self.stop_first_agent(fleet).await?;
        self.progress.set_message("serving");
        self.sample_until(fleet, duration).await;
        Ok(())
    }

    async fn sample_until(&mut self, fleet: &DemoFleet, end: Duration) {
        while self.sampler.elapsed() < end {
            self.sampler.sample(fleet);
            let elapsed = self.sampler.elapsed().as_millis();
            self.progress
                .set_position(u64::try_from(elapsed).unwrap_or(u64::MAX));
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    }

    async fn change_configuration(&mut self, fleet: &mut DemoFleet) -> Result<()> {
        let documents = documents(&fleet.shape, SECOND_VERSION);
        let change = PendingChange::build(&fleet.catalogue, &documents)?;
        let revision = change.revision();
        let mut versions = self.context.versions.load().as_ref().clone();
        versions.note(revision, SECOND_VERSION);
        self.context.versions.store(Arc::new(versions));
        fleet.catalogue = change.append(fleet.log().as_ref()).await?;
        self.evidence.changes.push(AcceptedChange {
            revision,
            accepted: self.sampler.elapsed(),
        });
        Ok(())
    }

    /// Drains the first engine's agent, then starts it again.
    async fn stop_first_agent(&mut self, fleet: &mut DemoFleet) -> Result<()> {
        let Some(agent) = fleet.agents[0].take() else {
            return Ok(());
        };
        let told = self.sampler.elapsed();
        let draining = tokio::spawn(agent.drain());
        while !draining.is_finished() {
            self.sampler.sample(fleet);
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
        let engine = &fleet.engines[0];
        let counters = engine.engine.counters();
        self.evidence.stops.push(PlannedStop {
            endpoint: engine.id.clone(),
            told,
            cut: counters.accepted - counters.completed - counters.cancelled,
        });
        Ok(())
    }

    async fn finish_workload(
        &mut self,
        fleet: &DemoFleet,
        workload: tokio::task::JoinHandle<RunRecords>,
    ) -> RunRecords {
        self.progress.set_message("finishing");
        while !workload.is_finished() {
            self.sampler.sample(fleet);
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
        workload.await.unwrap_or_default()
    }

    fn into_report(mut self, fleet: &DemoFleet, records: RunRecords) -> DemoReport {
        self.sampler.sample(fleet);
        let elapsed = self.sampler.elapsed();
        let (engines, readings) = self.sampler.close();
        self.evidence.engines = engines;
        self.evidence.readings = readings;
        self.evidence.services = service_book(fleet);
        self.evidence.calls = records.calls;
        DemoReport::collect(
            fleet,
            &self.evidence,
            judge(&self.evidence),
            &records.first_token,
            elapsed,
        )
    }
}

/// Starts an agent again on its former addresses.
///
/// # Errors
///
/// Returns an error when an address can't be bound.
pub async fn restart_agent(fleet: &mut DemoFleet, index: usize) -> Result<()> {
    let settings = fleet.agents[index].settings().clone();
    let agent = AgentProcess::spawn(settings)
        .await
        .map_err(|error| amaranth_core::errors::internal(error.to_string()))?;
    fleet.agents[index].put(agent);
    Ok(())
}
