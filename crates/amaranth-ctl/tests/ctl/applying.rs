//! `diff`, `apply` and `history` against a stand-in of the log.

use amaranth_ctl::exit::ExitStatus;
use amaranth_ports::log::LogStream;
use amaranth_standin::faults::{CommonFaults, OutageKind};
use amaranth_standin::log_standin::LogFaults;
use serde_json::Value;

use crate::support::{TestFolder, TestLog};

const ONE_VERSION: &str = "[models.m]\n[adapters.a]\nbase = \"m\"\nversions = [1]\n";
const TWO_VERSIONS: &str = "[models.m]\n[adapters.a]\nbase = \"m\"\nversions = [1, 2]\n";
const OTHER_VERSIONS: &str = "[models.m]\n[adapters.a]\nbase = \"m\"\nversions = [1, 9]\n";
const MORE_MODELS: &str = "[models.m]\n[adapters.a]\nbase = \"m\"\nversions = [1]\n[models.n]\n";
const NO_ADAPTERS: &str = "[models.m]\n";

fn json(text: &str) -> Value {
    serde_json::from_str(text).expect("the report is JSON")
}

#[tokio::test]
async fn a_folder_differs_until_it_is_applied_and_then_is_in_the_history() {
    let log = TestLog::spawn().await;
    let folder = TestFolder::create(ONE_VERSION);
    let differs = log.ctl(&["diff", folder.path()]).await;
    assert_eq!(differs.status, ExitStatus::Differs);
    insta::assert_snapshot!("diff_of_additions", differs.report);
    let applied = log.ctl(&["apply", folder.path()]).await;
    assert_eq!(applied.status, ExitStatus::Success, "{}", applied.errors);
    insta::assert_snapshot!("applied", applied.report);
    let same = log.ctl(&["diff", folder.path()]).await;
    assert_eq!(same.status, ExitStatus::Success);
    let again = log.ctl(&["apply", folder.path(), "--json"]).await;
    assert_eq!(json(&again.report)["outcome"], "unchanged");
    folder.write("10.toml", TWO_VERSIONS);
    let changed = log.ctl(&["diff", folder.path()]).await;
    insta::assert_snapshot!("diff_of_a_change", changed.report);
    let history = log.ctl(&["history", "--json"]).await;
    let history = json(&history.report);
    assert_eq!(history["revision"], 1);
    assert_eq!(history["changes"][0]["ruling"], "accepted");
    assert_eq!(history["changes"][0]["author"], "aiko");
    assert_eq!(history["changes"][0]["edits"], 2);
}

#[tokio::test]
async fn a_dry_run_appends_nothing() {
    let log = TestLog::spawn().await;
    let folder = TestFolder::create(ONE_VERSION);
    let result = log
        .ctl(&["apply", folder.path(), "--dry-run", "--json"])
        .await;
    assert_eq!(result.status, ExitStatus::Success);
    assert_eq!(json(&result.report)["outcome"], "dry-run");
    assert!(log.standin.records(LogStream::Configuration).is_empty());
}

#[tokio::test]
async fn a_folder_from_an_older_revision_keeps_later_changes_by_others() {
    let log = TestLog::spawn().await;
    log.apply(ONE_VERSION).await;
    log.apply(MORE_MODELS).await;
    let folder = TestFolder::create(TWO_VERSIONS);
    let result = log.ctl(&["apply", folder.path(), "--base", "1"]).await;
    assert_eq!(result.status, ExitStatus::Success, "{}", result.errors);
    let both = TestFolder::create(&format!("{TWO_VERSIONS}[models.n]\n"));
    let same = log.ctl(&["diff", both.path()]).await;
    assert_eq!(same.status, ExitStatus::Success, "{}", same.report);
}

#[tokio::test]
async fn a_clash_with_another_operator_is_a_conflict_that_names_the_keys() {
    let log = TestLog::spawn().await;
    log.apply(ONE_VERSION).await;
    log.apply(TWO_VERSIONS).await;
    let folder = TestFolder::create(OTHER_VERSIONS);
    let result = log
        .ctl(&["apply", folder.path(), "--base", "1", "--json"])
        .await;
    assert_eq!(result.status, ExitStatus::Conflict);
    insta::assert_snapshot!("conflict", result.report);
}

#[tokio::test]
async fn one_of_two_concurrent_conflicting_changes_is_accepted() {
    let log = TestLog::spawn().await;
    log.apply(ONE_VERSION).await;
    let folders = [
        TestFolder::create(TWO_VERSIONS),
        TestFolder::create(OTHER_VERSIONS),
    ];
    let changes = folders.iter().map(|folder| async {
        log.ctl(&["apply", folder.path(), "--base", "1"])
            .await
            .status
    });
    let mut statuses = futures::future::join_all(changes).await;
    statuses.sort_by_key(|status| *status as u8);
    assert_eq!(statuses, [ExitStatus::Success, ExitStatus::Conflict]);
}

#[tokio::test]
async fn many_deletions_need_confirmation() {
    let log = TestLog::spawn().await;
    log.apply(ONE_VERSION).await;
    let folder = TestFolder::create(NO_ADAPTERS);
    let result = log.ctl(&["apply", folder.path()]).await;
    assert_eq!(result.status, ExitStatus::Unconfirmed);
    assert!(
        result.errors.contains("1 of 2 entries"),
        "{}",
        result.errors
    );
    assert_eq!(log.standin.records(LogStream::Configuration).len(), 1);
    let allowed = log
        .ctl(&["apply", folder.path(), "--max-deletions", "50%"])
        .await;
    assert_eq!(allowed.status, ExitStatus::Success, "{}", allowed.errors);
}

#[tokio::test]
async fn a_lost_answer_is_resolved_by_reading_back() {
    let log = TestLog::spawn().await;
    log.standin.set_faults(LogFaults {
        lost_appends: 1,
        ..LogFaults::default()
    });
    let folder = TestFolder::create(ONE_VERSION);
    let result = log.ctl(&["apply", folder.path(), "--json"]).await;
    assert_eq!(result.status, ExitStatus::Success, "{}", result.errors);
    assert_eq!(json(&result.report)["revision"], 1);
}

#[tokio::test]
async fn a_dropped_append_is_retried() {
    let log = TestLog::spawn().await;
    log.standin.set_faults(LogFaults {
        dropped_appends: 1,
        ..LogFaults::default()
    });
    let folder = TestFolder::create(ONE_VERSION);
    let result = log.ctl(&["apply", folder.path(), "--json"]).await;
    assert_eq!(result.status, ExitStatus::Success, "{}", result.errors);
    assert_eq!(json(&result.report)["revision"], 1);
    assert_eq!(log.standin.records(LogStream::Configuration).len(), 1);
}

#[tokio::test]
async fn an_unavailable_log_is_a_failure_and_nothing_changes() {
    let log = TestLog::spawn().await;
    log.standin.set_faults(LogFaults {
        common: CommonFaults {
            outage: OutageKind::Refusing,
            ..CommonFaults::default()
        },
        ..LogFaults::default()
    });
    let folder = TestFolder::create(ONE_VERSION);
    let result = log.ctl(&["apply", folder.path(), "--json"]).await;
    assert_eq!(result.status, ExitStatus::Failure);
    assert_eq!(json(&result.report)["error"]["status"], "failure");
    assert!(log.standin.records(LogStream::Configuration).is_empty());
}
