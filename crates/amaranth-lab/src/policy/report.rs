//! Reports the runs as JSON or as a table.

use std::fmt::Write;

use serde::{Deserialize, Serialize};

use crate::policy::outcome::RunResult;

/// All runs of one invocation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PolicyReport {
    /// The results of the runs.
    pub runs: Vec<RunResult>,
}

/// The mean figures of one policy in one scenario over all seeds.
#[derive(Debug, Clone, PartialEq)]
pub struct ReportRow {
    /// The deployment, the preset and the scenario, separated by spaces.
    pub group: String,
    /// The name of the policy.
    pub policy: String,
    /// Number of averaged runs.
    pub runs: usize,
    /// Sum of the waits for adapters to load, in seconds.
    pub stall_total_s: f64,
    /// Share of requests that waited for their adapter to load.
    pub stalled_share: f64,
    /// Median of the wait for the adapter, in seconds.
    pub stall_p50_s: f64,
    /// 99th percentile of the wait for the adapter, in seconds.
    pub stall_p99_s: f64,
    /// 99th percentile of the whole wait before the dispatch, in seconds.
    pub wait_p99_s: f64,
    /// Share of used batch slots.
    pub batch_efficiency: f64,
    /// Number of loads that started.
    pub loads: f64,
    /// Number of refused requests.
    pub refused: f64,
    /// Number of measured requests.
    pub requests: f64,
}

impl PolicyReport {
    /// Returns the mean figures of each policy in each scenario, in the order of the runs.
    pub fn rows(&self) -> Vec<ReportRow> {
        let mut groups: Vec<(String, String, Vec<&RunResult>)> = Vec::new();
        for run in &self.runs {
            let group = format!(
                "{} {} {}",
                run.key.deployment, run.key.preset, run.key.scenario
            );
            let known = groups
                .iter_mut()
                .find(|(name, policy, _)| *name == group && *policy == run.key.policy);
            match known {
                Some((_, _, runs)) => runs.push(run),
                None => groups.push((group, run.key.policy.clone(), vec![run])),
            }
        }
        groups
            .into_iter()
            .map(|(group, policy, runs)| mean_row(group, policy, &runs))
            .collect()
    }

    /// Returns the mean figures as a text table.
    pub fn table(&self) -> String {
        let mut table = String::new();
        let mut current_group = String::new();
        for row in self.rows() {
            if row.group != current_group {
                current_group.clone_from(&row.group);
                let _ = writeln!(table, "\n{current_group} (means of {} seeds)", row.runs);
                let _ = writeln!(
                    table,
                    "{:<18} {:>10} {:>8} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8} {:>8}",
                    "policy",
                    "stall s",
                    "stalled",
                    "p50 s",
                    "p99 s",
                    "wait99",
                    "batch",
                    "loads",
                    "refused",
                    "requests"
                );
            }
            let _ = writeln!(
                table,
                "{:<18} {:>10.0} {:>7.1}% {:>7.2} {:>7.2} {:>7.2} {:>6.1}% {:>7.0} {:>8.1} {:>8.0}",
                row.policy,
                row.stall_total_s,
                100.0 * row.stalled_share,
                row.stall_p50_s,
                row.stall_p99_s,
                row.wait_p99_s,
                100.0 * row.batch_efficiency,
                row.loads,
                row.refused,
                row.requests
            );
        }
        table
    }
}

fn mean_row(group: String, policy: String, runs: &[&RunResult]) -> ReportRow {
    let mean = |figure: fn(&RunResult) -> f64| {
        runs.iter().map(|run| figure(run)).sum::<f64>() / runs.len() as f64
    };
    ReportRow {
        group,
        policy,
        runs: runs.len(),
        stall_total_s: mean(|run| run.stall_total_s),
        stalled_share: mean(|run| run.stalled_share),
        stall_p50_s: mean(|run| run.stall_p50_s),
        stall_p99_s: mean(|run| run.stall_p99_s),
        wait_p99_s: mean(|run| run.wait_p99_s),
        batch_efficiency: mean(|run| run.batch_efficiency),
        loads: mean(|run| run.loads as f64),
        refused: mean(|run| run.refused as f64),
        requests: mean(|run| run.requests as f64),
    }
}
