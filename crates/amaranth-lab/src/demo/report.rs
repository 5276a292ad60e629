//! Report of one deployment's run in the demo, printed as a table.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use crate::checker::evidence::{CallRequest, CallResult};
use crate::checker::promise_result::{PromiseResult, check_promises, is_clean};
use crate::fleet::demo_fleet::DemoFleet;
use crate::fleet::fleet_run::FinishedRun;
use crate::fleet::shape::Deployment;

/// Numbers of calls of one kind by outcome.
#[derive(Debug, Clone, Copy, Default)]
struct OutcomeCounts {
    sent: u64,
    answered: u64,
    refused: u64,
    broken: u64,
}

impl OutcomeCounts {
    fn record(&mut self, result: &CallResult) {
        self.sent += 1;
        match result {
            CallResult::Answered { .. } => self.answered += 1,
            CallResult::Refused { .. } => self.refused += 1,
            CallResult::Broken { .. } => self.broken += 1,
        }
    }
}

/// Totals of the counters of a fleet's engines.
#[derive(Debug, Clone, Copy, Default)]
struct EngineTotals {
    tokens: u64,
    loads: u64,
    unloads: u64,
    steps: u64,
    step_requests: u64,
}

/// Results of one deployment's run in the demo.
#[derive(Debug)]
pub struct DemoReport {
    deployment: Deployment,
    elapsed: Duration,
    completions: OutcomeCounts,
    bookings: OutcomeCounts,
    /// Number of refusals by error code.
    refusals: BTreeMap<String, u64>,
    engines: EngineTotals,
    batch_slots: u16,
    /// Median, 95th and 99th percentile of the time to the first token.
    first_token_times: [Duration; 3],
    results: Vec<PromiseResult>,
}

impl DemoReport {
    /// Creates the report of a finished run, whose fleet is still running.
    pub fn collect(finished: &FinishedRun) -> Self {
        let fleet = &finished.fleet;
        let first_token_times = &finished.records.first_token;
        let mut report = Self {
            deployment: fleet.shape.deployment,
            elapsed: finished.elapsed,
            completions: OutcomeCounts::default(),
            bookings: OutcomeCounts::default(),
            refusals: BTreeMap::new(),
            engines: engine_totals(fleet),
            batch_slots: fleet.shape.batch_slots,
            first_token_times: [0.5, 0.95, 0.99].map(|share| first_token_times.quantile(share)),
            results: check_promises(&finished.evidence),
        };
        for call in &finished.evidence.calls {
            match call.request {
                CallRequest::Completion { .. } => report.completions.record(&call.result),
                CallRequest::Booking { .. } => report.bookings.record(&call.result),
            }
            if let CallResult::Refused { code, .. } = &call.result {
                *report.refusals.entry(code.clone()).or_default() += 1;
            }
        }
        report
    }

    /// Returns whether every promise held and at least one completion and one booking were
    /// answered.
    pub fn is_clean(&self) -> bool {
        is_clean(&self.results) && self.completions.answered > 0 && self.bookings.answered > 0
    }

    /// Returns the used share of the engines' batch slots over all steps, from 0 to 1.
    fn batch_fill(&self) -> f64 {
        let available_slots = self.engines.steps * u64::from(self.batch_slots);
        if available_slots == 0 {
            return 0.0;
        }
        self.engines.step_requests as f64 / available_slots as f64
    }
}

/// Sums the counters of all engines of a fleet.
fn engine_totals(fleet: &DemoFleet) -> EngineTotals {
    let mut totals = EngineTotals::default();
    for named in &fleet.engines {
        let counters = named.engine.counters();
        totals.tokens += counters.tokens;
        totals.loads += counters.loads;
        totals.unloads += counters.unloads;
        totals.steps += counters.steps;
        totals.step_requests += counters.step_requests;
    }
    totals
}

impl fmt::Display for DemoReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{} ({:.1} s)",
            self.deployment,
            self.elapsed.as_secs_f64()
        )?;
        for (name, counts) in [
            ("completions", self.completions),
            ("bookings", self.bookings),
        ] {
            writeln!(
                formatter,
                "  {name:<22} {:>6} sent {:>6} answered {:>5} refused {:>5} broken",
                counts.sent, counts.answered, counts.refused, counts.broken
            )?;
        }
        for (code, count) in &self.refusals {
            writeln!(formatter, "    refused: {code:<28} {count:>6}")?;
        }
        let [p50, p95, p99] = self.first_token_times.map(|time| time.as_millis());
        writeln!(
            formatter,
            "  {:<22} p50 {p50} ms, p95 {p95} ms, p99 {p99} ms",
            "first token"
        )?;
        writeln!(
            formatter,
            "  {:<22} {} tokens, batch fill {:.2}, {} loads, {} evictions",
            "engines",
            self.engines.tokens,
            self.batch_fill(),
            self.engines.loads,
            self.engines.unloads
        )?;
        for result in &self.results {
            let promise = result.promise.to_string();
            writeln!(
                formatter,
                "  {promise:<22} {:>6} checks {:>4} violations",
                result.checks, result.violations
            )?;
            for example in &result.examples {
                writeln!(formatter, "    broke: {example}")?;
            }
        }
        Ok(())
    }
}
