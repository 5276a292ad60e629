//! Tests of the overload measurement's statistics and arguments.

use std::time::Duration;

use amaranth_lab::overload::arguments::OverloadArguments;
use amaranth_lab::overload::report::{
    CapacityMeasurement, LevelStatistics, OutcomeKind, OverloadReport, RequestOutcome,
};

fn outcome(kind: OutcomeKind, elapsed_ms: u64, ended_at_ms: u64) -> RequestOutcome {
    RequestOutcome {
        kind,
        elapsed: Duration::from_millis(elapsed_ms),
        ended_at: Duration::from_millis(ended_at_ms),
    }
}

#[test]
fn goodput_counts_answers_in_time_within_the_window() {
    let outcomes = [
        outcome(OutcomeKind::Answered, 500, 900),
        outcome(OutcomeKind::Answered, 500, 1_500),
        outcome(OutcomeKind::Answered, 500, 2_500),
        outcome(OutcomeKind::Late, 3_000, 2_600),
        outcome(OutcomeKind::Refused, 4, 2_700),
        outcome(OutcomeKind::Refused, 8, 2_800),
        outcome(OutcomeKind::Broken, 8, 2_900),
        outcome(OutcomeKind::Answered, 900, 3_100),
    ];
    let window = Duration::from_secs(1)..Duration::from_secs(3);
    let report = OverloadReport {
        capacity: CapacityMeasurement {
            answered: 8,
            elapsed: Duration::from_secs(4),
        },
        deadline: Duration::from_secs(1),
        levels: vec![LevelStatistics::from_outcomes(2.0, window, &outcomes)],
    };
    insta::assert_snapshot!(report.to_table(), @r"
    capacity 2.0 requests/s, deadline 1000 ms

    | offered / capacity | goodput / capacity | offered | answered | late | refused | broken | refusal p50 ms | p99 ms |
    |---|---|---|---|---|---|---|---|---|
    | 2 | 0.50 | 8 | 4 | 1 | 2 | 1 | 4 | 8 |
    ");
}

#[test]
fn arguments_out_of_range_and_unknown_ones_are_rejected() {
    let parse = |arguments: &[&str]| OverloadArguments::parse(arguments.iter().map(Into::into));
    assert!(parse(&["--seconds", "5", "--deadline-ms", "500"]).is_ok());
    for invalid in [
        vec!["--seconds", "0"],
        vec!["--seconds", "301"],
        vec!["--seconds", "2", "--deadline-ms", "2000"],
        vec!["--deadline-ms", "0"],
        vec!["--minutes", "1"],
    ] {
        assert!(parse(&invalid).is_err(), "{invalid:?} is rejected");
    }
}
