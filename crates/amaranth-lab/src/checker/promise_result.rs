//! Checks of the promises, and the result of each.

use std::collections::BTreeMap;
use std::time::Duration;

use amaranth_core::errors::RunState;
use amaranth_core::ids::{ConfigRevision, IdempotencyKey};
use serde::Serialize;
use strum::IntoEnumIterator;

use crate::checker::evidence::{
    CallRecord, CallRequest, CallResult, EngineRecord, PlannedStop, RunEvidence, ServiceRecord,
};
use crate::checker::promise::Promise;

/// Longest time for which a draining endpoint may still receive new work. Callers are promised "a
/// few seconds"; the checker allows two.
pub const DRAIN_GRACE: Duration = Duration::from_secs(2);

/// Longest time that an accepted change may take to be in force at every process, as required by
/// the operators.
pub const PROPAGATION_LIMIT: Duration = Duration::from_secs(15);

/// Largest number of violations of one promise that are described; the rest are only counted.
const MAX_EXAMPLES: usize = 10;

/// The result of checking one promise.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PromiseResult {
    /// The promise that was checked.
    pub promise: Promise,
    /// Number of checks of the promise.
    pub checks: u64,
    /// Number of checks that found a violation of the promise.
    pub violations: u64,
    /// Descriptions of the first violations.
    pub examples: Vec<String>,
}

impl PromiseResult {
    fn new(promise: Promise) -> Self {
        Self {
            promise,
            checks: 0,
            violations: 0,
            examples: Vec::new(),
        }
    }

    fn check(&mut self, holds: bool, describe: impl FnOnce() -> String) {
        self.checks += 1;
        if holds {
            return;
        }
        self.violations += 1;
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(describe());
        }
    }
}

/// Checks every promise and returns the results in the order of [`Promise`].
pub fn check_promises(evidence: &RunEvidence) -> Vec<PromiseResult> {
    Promise::iter()
        .map(|promise| {
            let mut result = PromiseResult::new(promise);
            check_promise(evidence, &mut result);
            result
        })
        .collect()
}

/// Returns whether no check found a violation.
pub fn is_clean(results: &[PromiseResult]) -> bool {
    results.iter().all(|result| result.violations == 0)
}

fn check_promise(evidence: &RunEvidence, result: &mut PromiseResult) {
    match result.promise {
        Promise::ExactAdapter => check_adapters(&evidence.calls, result),
        Promise::NoEvictionInFlight => check_evictions(&evidence.engines, result),
        Promise::WholeAnswer => check_answers(&evidence.calls, result),
        Promise::TrueRefusal => check_refusals(&evidence.calls, &evidence.services, result),
        Promise::AtMostOnce => check_executions(&evidence.services, result),
        Promise::NoWorkWhenDraining => check_draining(&evidence.stops, &evidence.engines, result),
        Promise::GracefulStop => check_stops(&evidence.stops, result),
        Promise::ConfigurationHolds => check_configuration(evidence, result),
    }
}

fn check_adapters(calls: &[CallRecord], result: &mut PromiseResult) {
    for call in calls {
        let CallRequest::Completion { served_model, .. } = &call.request else {
            continue;
        };
        if let CallResult::Answered {
            served_model: served,
            ..
        } = &call.result
        {
            result.check(served == served_model, || {
                format!("a completion for {served_model} was served by {served}")
            });
        }
    }
}

fn check_evictions(engines: &[EngineRecord], result: &mut PromiseResult) {
    for engine in engines {
        result.checks += engine.unloads;
        result.violations += engine.unloads_in_flight;
        if engine.unloads_in_flight > 0 {
            result.examples.push(format!(
                "{} unloaded {} adapters with requests in flight",
                engine.endpoint, engine.unloads_in_flight
            ));
        }
    }
}

fn check_answers(calls: &[CallRecord], result: &mut PromiseResult) {
    for call in calls {
        match (&call.request, &call.result) {
            (CallRequest::Completion { text, .. }, CallResult::Answered { text: answer, .. }) => {
                result.check(answer == text, || {
                    format!("the answer is {answer:?} instead of {text:?}")
                });
            }
            (CallRequest::Booking { key }, CallResult::Answered { text, .. }) => {
                result.check(text.contains(key.as_str()), || {
                    format!("booking {key} was answered with {text:?}, which lacks its key")
                });
            }
            (_, CallResult::Refused { .. }) => result.checks += 1,
            (
                _,
                CallResult::Broken {
                    reason,
                    entry_killed,
                },
            ) => {
                result.check(*entry_killed, || {
                    format!("an answer broke without an error: {reason}")
                });
            }
        }
    }
}

/// The outcomes of all calls with one idempotency key.
#[derive(Debug, Default)]
struct KeyOutcomes {
    answered: bool,
    /// Number of calls that were not refused as not run.
    possible_executions: u64,
}

/// Checks that refusals that say "not run" are true: the service must have executed a key no more
/// often than the other calls with that key account for. Also checks that a confirmed booking was
/// executed.
fn check_refusals(calls: &[CallRecord], services: &ServiceRecord, result: &mut PromiseResult) {
    let mut keys: BTreeMap<&IdempotencyKey, KeyOutcomes> = BTreeMap::new();
    for call in calls {
        let CallRequest::Booking { key } = &call.request else {
            continue;
        };
        let outcomes = keys.entry(key).or_default();
        outcomes.answered |= matches!(call.result, CallResult::Answered { .. });
        outcomes.possible_executions += u64::from(!is_not_run(&call.result));
    }
    for (key, outcomes) in keys {
        let executions = services.executions.get(key).copied().unwrap_or(0);
        result.check(executions <= outcomes.possible_executions, || {
            format!(
                "booking {key} was executed {executions} times, but all except {} calls were refused as not run",
                outcomes.possible_executions
            )
        });
        if outcomes.answered {
            result.check(executions >= 1, || {
                format!("booking {key} was confirmed but never executed")
            });
        }
    }
}

fn is_not_run(result: &CallResult) -> bool {
    matches!(
        result,
        CallResult::Refused {
            run: RunState::NotRun,
            ..
        }
    )
}

fn check_executions(services: &ServiceRecord, result: &mut PromiseResult) {
    for (key, executions) in &services.executions {
        result.check(*executions <= 1, || {
            format!("key {key} was executed {executions} times")
        });
    }
}

fn check_draining(stops: &[PlannedStop], engines: &[EngineRecord], result: &mut PromiseResult) {
    for stop in stops {
        let Some(engine) = engines
            .iter()
            .find(|engine| engine.endpoint == stop.endpoint)
        else {
            continue;
        };
        // After the agent has ended, another agent may take over the endpoint and send it work.
        let draining = stop.requested + DRAIN_GRACE..stop.ended;
        let late = engine
            .arrivals
            .iter()
            .filter(|arrival| draining.contains(arrival))
            .count();
        result.check(late == 0, || {
            format!(
                "{} received {late} requests while it was draining",
                stop.endpoint
            )
        });
    }
}

fn check_stops(stops: &[PlannedStop], result: &mut PromiseResult) {
    for stop in stops {
        result.check(stop.aborted == 0, || {
            format!(
                "the planned stop of {} aborted {} requests",
                stop.endpoint, stop.aborted
            )
        });
    }
}

fn check_configuration(evidence: &RunEvidence, result: &mut PromiseResult) {
    let mut highest: BTreeMap<&str, ConfigRevision> = BTreeMap::new();
    for reading in &evidence.readings {
        let known = highest.entry(&reading.process).or_default();
        result.check(reading.revision >= *known, || {
            format!(
                "{} reverted from revision {known} to {}",
                reading.process, reading.revision
            )
        });
        *known = reading.revision.max(*known);
        let expected = evidence
            .changes
            .iter()
            .filter(|change| change.accepted + PROPAGATION_LIMIT <= reading.at)
            .map(|change| change.revision)
            .max()
            .unwrap_or_default();
        result.check(reading.revision >= expected, || {
            format!(
                "{} is at revision {}, but {expected} should be in force",
                reading.process, reading.revision
            )
        });
    }
}
