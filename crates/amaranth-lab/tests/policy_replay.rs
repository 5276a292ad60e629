//! Tests the replay of placement decisions: its repeatability, its fault scenarios, the members of
//! its JSON output and its trace format.

use amaranth_lab::policy::arguments::PolicyArguments;
use amaranth_lab::policy::report::PolicyReport;
use amaranth_lab::policy::{replay_all, trace};
use rstest::rstest;

const TRACE: &str = "\
at_ms,adapter,prompt_tokens,output_tokens,deadline_ms
0,a,100,50,20000
2000,b@2,100,50,20000
4000,a,100,50,20000
";

fn replay(arguments: &[&str]) -> PolicyReport {
    let arguments = PolicyArguments::parse(arguments.iter().map(Into::into))
        .expect("the arguments are well formed")
        .expect("the arguments request no help");
    replay_all(&arguments).expect("the replay runs")
}

#[test]
fn same_seed_gives_same_figures() {
    let arguments = [
        "--deployment",
        "roata",
        "--seed",
        "7",
        "--scenario",
        "slow-drift-1.0",
    ];
    assert_eq!(replay(&arguments), replay(&arguments));
}

#[rstest]
#[case("engine-restart")]
#[case("region-cut")]
#[case("store-out")]
fn policies_issue_only_valid_commands_under_faults(#[case] scenario: &str) {
    let report = replay(&[
        "--deployment",
        "roata",
        "--seed",
        "3",
        "--scenario",
        scenario,
    ]);
    for run in &report.runs {
        assert_eq!(run.completed + run.refused, run.requests, "{:?}", run.key);
        assert!(run.batch_efficiency > 0.0 && run.batch_efficiency <= 1.0);
    }
}

#[test]
fn json_has_the_documented_members() {
    let report = replay(&[
        "--deployment",
        "tokachi",
        "--seed",
        "1",
        "--scenario",
        "steady-1.0",
    ]);
    let value = serde_json::to_value(&report).expect("the report serializes to JSON");
    let members: Vec<&String> = value["runs"][0]
        .as_object()
        .expect("the run is a JSON object")
        .keys()
        .collect();
    insta::assert_json_snapshot!(members);
    let policies: Vec<&str> = report
        .runs
        .iter()
        .map(|run| run.key.policy.as_str())
        .collect();
    insta::assert_json_snapshot!(policies);
}

#[test]
fn trace_rows_become_requests() {
    let workload = trace::parse(TRACE).expect("the trace is well formed");
    let adapters: Vec<String> = workload.adapters.iter().map(ToString::to_string).collect();
    assert_eq!(adapters, ["a@1", "b@2"]);
    let order: Vec<usize> = workload
        .requests
        .iter()
        .map(|request| request.adapter)
        .collect();
    assert_eq!(order, [0, 1, 0]);
}

#[rstest]
#[case("at_ms,adapter\n", "line 1")]
#[case(
    "at_ms,adapter,prompt_tokens,output_tokens,deadline_ms\n1,a,1,1\n",
    "line 2"
)]
#[case(
    "at_ms,adapter,prompt_tokens,output_tokens,deadline_ms\nx,a,1,1,1\n",
    "at_ms"
)]
fn malformed_traces_are_refused_with_their_location(#[case] text: &str, #[case] location: &str) {
    let error = trace::parse(text).expect_err("the trace is malformed");
    assert!(format!("{error:?}").contains(location), "{error:?}");
}
