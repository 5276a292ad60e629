//! `amaranth-lab policy`: compares the placement policy with baselines and a clairvoyant bound.
//!
//! The decisions are replayed over small fakes in virtual time, in one process and without sockets,
//! with the same arrivals for every policy. The fakes do not simulate a whole cluster.

pub mod arguments;
pub mod baseline_engine;
pub mod baseline_fleet;
pub mod deployment;
pub mod engine_fake;
pub mod fleet;
pub mod future_arrivals;
pub mod outcome;
pub mod plots;
pub mod replay;
pub mod report;
pub mod scenario;
pub mod store_fake;
pub mod trace;
pub mod workload;

use std::ffi::OsString;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use amaranth_placement::presets::PolicyPreset;
use amaranth_telemetry::usage_exit;
use miette::IntoDiagnostic;
use strum::{Display, EnumIter, EnumString, IntoEnumIterator};

use crate::policy::arguments::{HELP, PolicyArguments};
use crate::policy::baseline_fleet::BaselineFleet;
use crate::policy::deployment::{DeploymentName, DeploymentSize};
use crate::policy::fleet::{AmaranthFleet, FleetNames, ReplayFleet};
use crate::policy::outcome::{RunKey, RunResult};
use crate::policy::replay::FleetReplay;
use crate::policy::report::PolicyReport;
use crate::policy::scenario::ReplayScenario;
use crate::policy::workload::ReplayWorkload;

/// Largest number of runs that are replayed at the same time.
const MAX_WORKERS: usize = 4;

/// The name of a policy that is replayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum PolicyName {
    /// The policy of the product.
    Amaranthfield,
    /// A random engine, with LRU eviction.
    RandomLru,
    /// The least loaded engine, with LRU eviction.
    LeastLoadedLru,
    /// Consistent hashing, with LRU eviction.
    ConsistentLru,
    /// The clairvoyant bound, which knows future arrivals.
    Clairvoyant,
}

/// A planned run: one policy on one workload.
#[derive(Debug, Clone)]
struct PolicyRun {
    deployment: DeploymentName,
    preset: PolicyPreset,
    scenario: ReplayScenario,
    seed: u64,
    policy: PolicyName,
}

/// Replays all runs that the arguments select.
///
/// # Errors
///
/// Returns an error when the trace can't be read.
pub fn replay_all(arguments: &PolicyArguments) -> miette::Result<PolicyReport> {
    let trace = arguments.trace.as_deref().map(trace::read).transpose()?;
    let runs = planned_runs(arguments);
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<Option<RunResult>>> = Mutex::new(vec![None; runs.len()]);
    std::thread::scope(|scope| {
        for _ in 0..MAX_WORKERS.min(runs.len()) {
            scope.spawn(|| {
                while let Some(run) = runs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let result = replay_one(run, trace.as_ref());
                    let index = runs
                        .iter()
                        .position(|planned| std::ptr::eq(planned, run))
                        .expect("the run is planned");
                    results.lock().expect("no worker panics")[index] = Some(result);
                }
            });
        }
    });
    let results = results.into_inner().expect("no worker panics");
    Ok(PolicyReport {
        runs: results.into_iter().flatten().collect(),
    })
}

fn planned_runs(arguments: &PolicyArguments) -> Vec<PolicyRun> {
    let mut runs = Vec::new();
    for &deployment in &arguments.deployments {
        for scenario in arguments.scenarios() {
            for &seed in &arguments.seeds {
                let is_selected =
                    |policy: &PolicyName| arguments.policy.is_none_or(|only| only == *policy);
                for policy in PolicyName::iter().filter(is_selected) {
                    runs.push(PolicyRun {
                        deployment,
                        preset: arguments.preset_of(deployment),
                        scenario,
                        seed,
                        policy,
                    });
                }
            }
        }
    }
    runs
}

fn replay_one(run: &PolicyRun, trace: Option<&ReplayWorkload>) -> RunResult {
    let size = run.deployment.size();
    let workload = match trace {
        Some(workload) => workload.clone(),
        None => workload::build(&size, &run.scenario, run.seed),
    };
    let names = FleetNames::new(&size, &workload);
    let mut fleet = build_fleet(run, size, &names, &workload);
    let replay = FleetReplay::new(size, run.scenario, &names, &workload, fleet.as_mut());
    let (outcomes, counts) = replay.run();
    let key = RunKey {
        deployment: run.deployment,
        preset: run.preset.to_string(),
        scenario: run.scenario.name.to_owned(),
        seed: run.seed,
        policy: run.policy.to_string(),
    };
    outcome::summarize(key, &workload, &outcomes, &counts)
}

fn build_fleet(
    run: &PolicyRun,
    size: DeploymentSize,
    names: &FleetNames,
    workload: &ReplayWorkload,
) -> Box<dyn ReplayFleet> {
    let names = names.clone();
    match run.policy {
        PolicyName::Amaranthfield => {
            Box::new(AmaranthFleet::new(size, names, workload, run.preset))
        }
        PolicyName::RandomLru => Box::new(BaselineFleet::random(size, names, workload, run.seed)),
        PolicyName::LeastLoadedLru => Box::new(BaselineFleet::least_loaded(size, names, workload)),
        PolicyName::ConsistentLru => Box::new(BaselineFleet::consistent(size, names, workload)),
        PolicyName::Clairvoyant => Box::new(BaselineFleet::clairvoyant(size, names, workload)),
    }
}

/// Runs `amaranth-lab policy` with the arguments after that word and returns the exit code.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let parsed = match PolicyArguments::parse(arguments) {
        Ok(Some(parsed)) => parsed,
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("amaranth-lab policy: {error:#}");
            return usage_exit();
        }
    };
    match replay_and_report(&parsed) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("amaranth-lab policy: {error:?}");
            ExitCode::FAILURE
        }
    }
}

fn replay_and_report(arguments: &PolicyArguments) -> miette::Result<()> {
    let report = replay_all(arguments)?;
    if let Some(folder) = &arguments.plots {
        plots::write(&report, folder)?;
    }
    if arguments.json {
        let text = serde_json::to_string_pretty(&report).into_diagnostic()?;
        println!("{text}");
    } else {
        print!("{}", report.table());
    }
    Ok(())
}
