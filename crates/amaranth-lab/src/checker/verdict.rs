//! The verdict on each promise.

use std::collections::BTreeMap;
use std::time::Duration;

use amaranth_core::errors::RunState;
use amaranth_core::ids::{ConfigRevision, IdempotencyKey};
use serde::Serialize;
use strum::IntoEnumIterator;

use crate::checker::evidence::{
    CallRecord, CallResult, CallWish, EngineBook, PlannedStop, RunEvidence, ServiceBook,
};
use crate::checker::promise::Promise;

/// Time in which a leaving endpoint must be free of new work. Source: the brief's "a few seconds",
/// held to two by the design.
pub const LEAVING_GRACE: Duration = Duration::from_secs(2);

/// Time in which an accepted change must be in force everywhere. Source: letter 1.
pub const IN_FORCE_LIMIT: Duration = Duration::from_secs(15);

/// Most violations that are described; the rest are counted.
const MAX_DESCRIPTIONS: usize = 10;

/// The verdict on one promise.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PromiseVerdict {
    /// The promise.
    pub promise: Promise,
    /// How often it was put to the test.
    pub checks: u64,
    /// How often it broke.
    pub violations: u64,
    /// Descriptions of the first violations.
    pub examples: Vec<String>,
}

impl PromiseVerdict {
    fn open(promise: Promise) -> Self {
        Self {
            promise,
            checks: 0,
            violations: 0,
            examples: Vec::new(),
        }
    }

    fn check(&mut self, held: bool, describe: impl FnOnce() -> String) {
        self.checks += 1;
        if held {
            return;
        }
        self.violations += 1;
        if self.examples.len() < MAX_DESCRIPTIONS {
            self.examples.push(describe());
        }
    }
}

/// Returns the verdict on every promise, in the order of the list.
pub fn judge(evidence: &RunEvidence) -> Vec<PromiseVerdict> {
    Promise::iter()
        .map(|promise| {
            let mut verdict = PromiseVerdict::open(promise);
            judge_promise(evidence, &mut verdict);
            verdict
        })
        .collect()
}

/// Returns whether no promise broke.
pub fn is_clean(verdicts: &[PromiseVerdict]) -> bool {
    verdicts.iter().all(|verdict| verdict.violations == 0)
}

fn judge_promise(evidence: &RunEvidence, verdict: &mut PromiseVerdict) {
    match verdict.promise {
        Promise::ExactAdapter => judge_adapters(&evidence.calls, verdict),
        Promise::NoEvictionInFlight => judge_evictions(&evidence.engines, verdict),
        Promise::WholeAnswer => judge_wholeness(&evidence.calls, verdict),
        Promise::TrueRefusal => judge_refusals(&evidence.calls, &evidence.services, verdict),
        Promise::AtMostOnce => judge_executions(&evidence.services, verdict),
        Promise::NoWorkWhenLeaving => judge_leaving(&evidence.stops, &evidence.engines, verdict),
        Promise::GracefulStop => judge_stops(&evidence.stops, verdict),
        Promise::ConfigurationHolds => judge_configuration(evidence, verdict),
    }
}

fn judge_adapters(calls: &[CallRecord], verdict: &mut PromiseVerdict) {
    for call in calls {
        let CallWish::Completion { served_model, .. } = &call.wish else {
            continue;
        };
        if let CallResult::Answered {
            served_model: served,
            ..
        } = &call.result
        {
            verdict.check(served == served_model, || {
                format!("{served_model} was answered by {served}")
            });
        }
    }
}

fn judge_evictions(engines: &[EngineBook], verdict: &mut PromiseVerdict) {
    for engine in engines {
        verdict.checks += engine.unloads;
        verdict.violations += engine.unloads_in_flight;
        if engine.unloads_in_flight > 0 {
            verdict.examples.push(format!(
                "{} unloaded {} adapters in flight",
                engine.endpoint, engine.unloads_in_flight
            ));
        }
    }
}

fn judge_wholeness(calls: &[CallRecord], verdict: &mut PromiseVerdict) {
    for call in calls {
        match (&call.wish, &call.result) {
            (CallWish::Completion { text, .. }, CallResult::Answered { text: got, .. }) => {
                verdict.check(got == text, || format!("{got:?} was answered for {text:?}"));
            }
            (CallWish::Booking { key }, CallResult::Answered { text, .. }) => {
                verdict.check(text.contains(key.as_str()), || {
                    format!("booking {key} was answered {text:?}")
                });
            }
            (_, CallResult::Refused { .. }) => verdict.checks += 1,
            (
                _,
                CallResult::Broken {
                    reason,
                    entry_killed,
                },
            ) => {
                verdict.check(*entry_killed, || {
                    format!("an answer broke without an error: {reason}")
                });
            }
        }
    }
}

/// What the calls under one key were told.
#[derive(Debug, Default)]
struct KeyAnswers {
    answered: bool,
    may_have_run: u64,
}

/// A refusal that says "not run" is true if the service executed the key no more often than the
/// other calls under that key account for.
fn judge_refusals(calls: &[CallRecord], services: &ServiceBook, verdict: &mut PromiseVerdict) {
    let mut keys: BTreeMap<&IdempotencyKey, KeyAnswers> = BTreeMap::new();
    for call in calls {
        let CallWish::Booking { key } = &call.wish else {
            continue;
        };
        let answers = keys.entry(key).or_default();
        answers.answered |= matches!(call.result, CallResult::Answered { .. });
        answers.may_have_run += u64::from(!is_not_run(&call.result));
    }
    for (key, answers) in keys {
        let executions = services.executions.get(key).copied().unwrap_or(0);
        verdict.check(executions <= answers.may_have_run, || {
            format!(
                "booking {key} was executed {executions} times and refused as not run by all but {} calls",
                answers.may_have_run
            )
        });
        if answers.answered {
            verdict.check(executions >= 1, || {
                format!("booking {key} was confirmed and never executed")
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

fn judge_executions(services: &ServiceBook, verdict: &mut PromiseVerdict) {
    for (key, executions) in &services.executions {
        verdict.check(*executions <= 1, || {
            format!("key {key} was executed {executions} times")
        });
    }
}

fn judge_leaving(stops: &[PlannedStop], engines: &[EngineBook], verdict: &mut PromiseVerdict) {
    for stop in stops {
        let Some(engine) = engines
            .iter()
            .find(|engine| engine.endpoint == stop.endpoint)
        else {
            continue;
        };
        // Once the agent has ended, another one may take the endpoint and give it work again.
        let leaving = stop.told + LEAVING_GRACE..stop.ended;
        let late = engine
            .arrivals
            .iter()
            .filter(|arrival| leaving.contains(arrival))
            .count();
        verdict.check(late == 0, || {
            format!("{} got {late} requests after it left", stop.endpoint)
        });
    }
}

fn judge_stops(stops: &[PlannedStop], verdict: &mut PromiseVerdict) {
    for stop in stops {
        verdict.check(stop.cut == 0, || {
            format!("stopping {} cut {} requests", stop.endpoint, stop.cut)
        });
    }
}

fn judge_configuration(evidence: &RunEvidence, verdict: &mut PromiseVerdict) {
    let mut highest: BTreeMap<&str, ConfigRevision> = BTreeMap::new();
    for reading in &evidence.readings {
        let before = highest.entry(&reading.process).or_default();
        verdict.check(reading.revision >= *before, || {
            format!(
                "{} went back from revision {before} to {}",
                reading.process, reading.revision
            )
        });
        *before = reading.revision.max(*before);
        let due = evidence
            .changes
            .iter()
            .filter(|change| change.accepted + IN_FORCE_LIMIT <= reading.at)
            .map(|change| change.revision)
            .max()
            .unwrap_or_default();
        verdict.check(reading.revision >= due, || {
            format!(
                "{} is at revision {} and {due} is due",
                reading.process, reading.revision
            )
        });
    }
}
