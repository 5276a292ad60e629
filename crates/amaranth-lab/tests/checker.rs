//! The checker reports each violation in the evidence of a run, and none in clean evidence.

use std::time::Duration;

use amaranth_core::errors::RunState;
use amaranth_core::ids::{ConfigRevision, IdempotencyKey};
use amaranth_lab::checker::evidence::{
    AcceptedChange, CallRecord, CallRequest, CallResult, EngineRecord, PlannedStop,
    RevisionReading, RunEvidence,
};
use amaranth_lab::checker::promise::Promise;
use amaranth_lab::checker::promise_result::{check_promises, is_clean};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

fn key() -> IdempotencyKey {
    "pickup-17".parse().unwrap()
}

fn call_record(request: CallRequest, result: CallResult) -> CallRecord {
    CallRecord {
        request,
        result,
        started: SECOND,
        ended: 2 * SECOND,
        revision: Some(ConfigRevision(1)),
        entry: "entry-1".parse().unwrap(),
    }
}

fn completion(served_model: &str, text: &str) -> CallRecord {
    let request = CallRequest::Completion {
        served_model: "manifest@2".to_owned(),
        text: "tin one, tin two".to_owned(),
    };
    let result = CallResult::Answered {
        served_model: served_model.to_owned(),
        text: text.to_owned(),
    };
    call_record(request, result)
}

fn booking(result: CallResult) -> CallRecord {
    call_record(CallRequest::Booking { key: key() }, result)
}

fn confirmed() -> CallResult {
    CallResult::Answered {
        served_model: String::new(),
        text: "{\"key\":\"pickup-17\"}".to_owned(),
    }
}

fn refused(run: RunState) -> CallResult {
    CallResult::Refused {
        status: 503,
        code: "log_unavailable".to_owned(),
        run,
    }
}

fn engine_record() -> EngineRecord {
    EngineRecord {
        endpoint: "engine-1".parse().unwrap(),
        unloads: 3,
        unloads_in_flight: 0,
        arrivals: vec![SECOND, 5 * SECOND],
    }
}

fn planned_stop() -> PlannedStop {
    PlannedStop {
        endpoint: "engine-1".parse().unwrap(),
        requested: 4 * SECOND,
        ended: 8 * SECOND,
        aborted: 0,
    }
}

fn reading(at: u32, revision: u64) -> RevisionReading {
    RevisionReading {
        process: "entry-1".to_owned(),
        at: at * SECOND,
        revision: ConfigRevision(revision),
    }
}

/// Returns evidence in which every promise is checked and holds.
fn clean_evidence() -> RunEvidence {
    let mut evidence = RunEvidence {
        calls: vec![
            completion("manifest@2", "tin one, tin two"),
            booking(confirmed()),
        ],
        engines: vec![engine_record()],
        stops: vec![planned_stop()],
        changes: vec![AcceptedChange {
            revision: ConfigRevision(1),
            accepted: SECOND,
        }],
        readings: vec![reading(1, 0), reading(17, 1)],
        ..RunEvidence::default()
    };
    evidence.services.executions.insert(key(), 1);
    evidence
}

#[test]
fn clean_evidence_has_no_violations_and_checks_every_promise() {
    let results = check_promises(&clean_evidence());
    assert!(is_clean(&results), "{results:?}");
    assert!(results.iter().all(|result| result.checks > 0));
}

fn wrong_adapter(evidence: &mut RunEvidence) {
    evidence.calls[0] = completion("manifest@1", "tin one, tin two");
}

fn eviction_in_flight(evidence: &mut RunEvidence) {
    evidence.engines[0].unloads_in_flight = 1;
}

fn truncated_answer(evidence: &mut RunEvidence) {
    evidence.calls[0] = completion("manifest@2", "tin one");
}

fn broken_answer(evidence: &mut RunEvidence) {
    evidence.calls[0].result = CallResult::Broken {
        reason: "stream ended".to_owned(),
        entry_killed: false,
    };
}

fn false_refusal(evidence: &mut RunEvidence) {
    evidence.calls[1] = booking(refused(RunState::NotRun));
}

fn false_confirmation(evidence: &mut RunEvidence) {
    evidence.services.executions.clear();
}

fn double_execution(evidence: &mut RunEvidence) {
    evidence.calls.push(booking(confirmed()));
    evidence.services.executions.insert(key(), 2);
}

fn arrival_while_draining(evidence: &mut RunEvidence) {
    evidence.engines[0].arrivals.push(7 * SECOND);
}

fn request_aborted_by_stop(evidence: &mut RunEvidence) {
    evidence.stops[0].aborted = 1;
}

fn late_configuration(evidence: &mut RunEvidence) {
    evidence.readings[1] = reading(17, 0);
}

fn reverted_configuration(evidence: &mut RunEvidence) {
    evidence.readings.push(reading(18, 2));
    evidence.readings.push(reading(19, 1));
}

#[rstest]
#[case(wrong_adapter, Promise::ExactAdapter)]
#[case(eviction_in_flight, Promise::NoEvictionInFlight)]
#[case(truncated_answer, Promise::WholeAnswer)]
#[case(broken_answer, Promise::WholeAnswer)]
#[case(false_refusal, Promise::TrueRefusal)]
#[case(false_confirmation, Promise::TrueRefusal)]
#[case(double_execution, Promise::AtMostOnce)]
#[case(arrival_while_draining, Promise::NoWorkWhenDraining)]
#[case(request_aborted_by_stop, Promise::GracefulStop)]
#[case(late_configuration, Promise::ConfigurationHolds)]
#[case(reverted_configuration, Promise::ConfigurationHolds)]
fn each_violation_is_reported(#[case] violate: fn(&mut RunEvidence), #[case] promise: Promise) {
    let mut evidence = clean_evidence();
    violate(&mut evidence);
    let broken: Vec<Promise> = check_promises(&evidence)
        .into_iter()
        .filter(|result| result.violations > 0)
        .map(|result| result.promise)
        .collect();
    assert_eq!(broken, [promise]);
}

#[test]
fn an_execution_after_an_unknown_outcome_is_no_violation() {
    let mut evidence = clean_evidence();
    evidence.calls[1] = booking(refused(RunState::Unknown));
    assert!(is_clean(&check_promises(&evidence)));
}

#[test]
fn an_answer_broken_by_the_kill_of_its_entry_is_no_violation() {
    let mut evidence = clean_evidence();
    evidence.calls[0].result = CallResult::Broken {
        reason: "connection reset".to_owned(),
        entry_killed: true,
    };
    assert!(is_clean(&check_promises(&evidence)));
}
