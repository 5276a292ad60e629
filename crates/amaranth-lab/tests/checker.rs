//! The checker reports each violation that a record holds, and none in a clean one.

use std::time::Duration;

use amaranth_core::errors::RunState;
use amaranth_core::ids::{ConfigRevision, IdempotencyKey};
use amaranth_lab::checker::evidence::{
    AcceptedChange, CallRecord, CallResult, CallWish, EngineBook, PlannedStop, RevisionReading,
    RunEvidence,
};
use amaranth_lab::checker::promise::Promise;
use amaranth_lab::checker::verdict::{is_clean, judge};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

fn key() -> IdempotencyKey {
    "pickup-17".parse().unwrap()
}

fn call(wish: CallWish, result: CallResult) -> CallRecord {
    CallRecord {
        wish,
        result,
        started: SECOND,
        ended: 2 * SECOND,
        revision: Some(ConfigRevision(1)),
        entry: "entry-1".parse().unwrap(),
    }
}

fn completion(served_model: &str, text: &str) -> CallRecord {
    let wish = CallWish::Completion {
        served_model: "manifest@2".to_owned(),
        text: "tin one, tin two".to_owned(),
    };
    let result = CallResult::Answered {
        served_model: served_model.to_owned(),
        text: text.to_owned(),
    };
    call(wish, result)
}

fn booking(result: CallResult) -> CallRecord {
    call(CallWish::Booking { key: key() }, result)
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

fn engine() -> EngineBook {
    EngineBook {
        endpoint: "engine-1".parse().unwrap(),
        unloads: 3,
        unloads_in_flight: 0,
        arrivals: vec![SECOND, 5 * SECOND],
    }
}

fn stop() -> PlannedStop {
    PlannedStop {
        endpoint: "engine-1".parse().unwrap(),
        told: 4 * SECOND,
        ended: 8 * SECOND,
        cut: 0,
    }
}

fn reading(at: u32, revision: u64) -> RevisionReading {
    RevisionReading {
        process: "entry-1".to_owned(),
        at: at * SECOND,
        revision: ConfigRevision(revision),
    }
}

/// A record in which every promise is put to the test and holds.
fn clean() -> RunEvidence {
    let mut evidence = RunEvidence {
        calls: vec![
            completion("manifest@2", "tin one, tin two"),
            booking(confirmed()),
        ],
        engines: vec![engine()],
        stops: vec![stop()],
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
fn passes_a_clean_record_and_tests_every_promise() {
    let verdicts = judge(&clean());
    assert!(is_clean(&verdicts), "{verdicts:?}");
    assert!(verdicts.iter().all(|verdict| verdict.checks > 0));
}

fn wrong_adapter(evidence: &mut RunEvidence) {
    evidence.calls[0] = completion("manifest@1", "tin one, tin two");
}

fn eviction_in_flight(evidence: &mut RunEvidence) {
    evidence.engines[0].unloads_in_flight = 1;
}

fn cut_answer(evidence: &mut RunEvidence) {
    evidence.calls[0] = completion("manifest@2", "tin one");
}

fn silent_break(evidence: &mut RunEvidence) {
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

fn late_arrival(evidence: &mut RunEvidence) {
    evidence.engines[0].arrivals.push(7 * SECOND);
}

fn cut_by_stop(evidence: &mut RunEvidence) {
    evidence.stops[0].cut = 1;
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
#[case(cut_answer, Promise::WholeAnswer)]
#[case(silent_break, Promise::WholeAnswer)]
#[case(false_refusal, Promise::TrueRefusal)]
#[case(false_confirmation, Promise::TrueRefusal)]
#[case(double_execution, Promise::AtMostOnce)]
#[case(late_arrival, Promise::NoWorkWhenLeaving)]
#[case(cut_by_stop, Promise::GracefulStop)]
#[case(late_configuration, Promise::ConfigurationHolds)]
#[case(reverted_configuration, Promise::ConfigurationHolds)]
fn reports_each_violation(#[case] spoil: fn(&mut RunEvidence), #[case] promise: Promise) {
    let mut evidence = clean();
    spoil(&mut evidence);
    let broken: Vec<Promise> = judge(&evidence)
        .into_iter()
        .filter(|verdict| verdict.violations > 0)
        .map(|verdict| verdict.promise)
        .collect();
    assert_eq!(broken, [promise]);
}

#[test]
fn accepts_an_execution_behind_an_unknown_outcome() {
    let mut evidence = clean();
    evidence.calls[1] = booking(refused(RunState::Unknown));
    assert!(is_clean(&judge(&evidence)));
}

#[test]
fn accepts_a_break_when_the_entry_was_killed() {
    let mut evidence = clean();
    evidence.calls[0].result = CallResult::Broken {
        reason: "connection reset".to_owned(),
        entry_killed: true,
    };
    assert!(is_clean(&judge(&evidence)));
}
