//! `check`, and errors of the command line.

use amaranth_ctl::exit::ExitStatus;
use rstest::rstest;
use strum::IntoEnumIterator;

use crate::support::{TestFolder, ctl, repository_folder};

#[rstest]
#[case::tokachi("examples/tokachi", "load-stalls")]
#[case::roata("examples/roata", "batch-efficiency")]
#[tokio::test]
async fn the_examples_are_valid(#[case] folder: &str, #[case] policy: &str) {
    let result = ctl(&["check", &repository_folder(folder)]).await;
    assert_eq!(result.status, ExitStatus::Success, "{}", result.errors);
    assert!(result.report.contains("3001 adapters"), "{}", result.report);
    assert!(result.report.contains(policy), "{}", result.report);
}

#[tokio::test]
async fn an_invalid_folder_is_reported_with_file_and_line() {
    let folder = TestFolder::create("[models.m]\n[rules.r]\nmodel = \"x\"\nuse = \"y\"\n");
    let result = ctl(&["check", folder.path(), "--json"]).await;
    assert_eq!(result.status, ExitStatus::FolderRefused);
    insta::assert_snapshot!("refused_folder", result.report);
    assert!(result.errors.contains("10.toml:4"), "{}", result.errors);
}

#[rstest]
#[case::no_command(&[], "a command is missing")]
#[case::unknown_command(&["aply"], "command \"aply\" is unknown")]
#[case::unknown_option(&["check", "x", "--jsn"], "--jsn")]
#[case::missing_folder(&["check"], "check needs a folder")]
#[case::excess_argument(&["check", "x", "y"], "argument \"y\" is one too many")]
#[case::bad_address(&["status", "--log", "here"], "here")]
#[case::bad_percentage(&["apply", "x", "--max-deletions", "101"], "not a percentage")]
#[case::no_daemons(&["status"], "give --vm-list or --entry")]
#[case::no_log(&["history"], "give --log")]
#[tokio::test]
async fn an_invalid_command_line_is_a_usage_error(
    #[case] arguments: &[&str],
    #[case] message: &str,
) {
    let result = ctl(arguments).await;
    assert_eq!(result.status, ExitStatus::Usage);
    assert!(result.errors.contains(message), "{}", result.errors);
}

#[rstest]
#[case::missing_folder("no-such-folder", ExitStatus::Failure)]
#[case::folder_without_documents("crates", ExitStatus::FolderRefused)]
#[tokio::test]
async fn a_missing_folder_or_one_without_documents_is_an_error(
    #[case] folder: &str,
    #[case] status: ExitStatus,
) {
    let result = ctl(&["check", &repository_folder(folder)]).await;
    assert_eq!(result.status, status, "{}", result.errors);
}

#[tokio::test]
async fn the_help_lists_every_exit_status() {
    let result = ctl(&["--help"]).await;
    assert_eq!(result.status, ExitStatus::Success);
    for status in ExitStatus::iter() {
        assert!(result.report.contains(status.meaning()), "{status}");
    }
}
