//! `check` and the command line.

use amaranth_ctl::exit::ExitStatus;
use rstest::rstest;
use strum::IntoEnumIterator;

use crate::support::{TestFolder, ctl, repository_folder};

#[rstest]
#[case::tokachi("examples/tokachi", "load-stalls")]
#[case::roata("examples/roata", "batch-efficiency")]
#[tokio::test]
async fn the_examples_are_valid(#[case] folder: &str, #[case] policy: &str) {
    let ended = ctl(&["check", &repository_folder(folder)]).await;
    assert_eq!(ended.status, ExitStatus::Success, "{}", ended.errors);
    assert!(ended.report.contains("3001 adapters"), "{}", ended.report);
    assert!(ended.report.contains(policy), "{}", ended.report);
}

#[tokio::test]
async fn a_refused_folder_is_told_with_its_places() {
    let folder = TestFolder::create("[models.m]\n[rules.r]\nmodel = \"x\"\nuse = \"y\"\n");
    let ended = ctl(&["check", folder.path(), "--json"]).await;
    assert_eq!(ended.status, ExitStatus::FolderRefused);
    insta::assert_snapshot!("refused_folder", ended.report);
    assert!(ended.errors.contains("10.toml:4"), "{}", ended.errors);
}

#[rstest]
#[case::no_command(&[], "a command is missing")]
#[case::unknown_command(&["aply"], "command \"aply\" is unknown")]
#[case::unknown_option(&["check", "x", "--jsn"], "--jsn")]
#[case::missing_folder(&["check"], "check needs a folder")]
#[case::surplus(&["check", "x", "y"], "argument \"y\" is one too many")]
#[case::bad_address(&["status", "--log", "here"], "here")]
#[case::bad_share(&["apply", "x", "--max-deletions", "101"], "not a percentage")]
#[case::no_daemons(&["status"], "give --vm-list or --entry")]
#[case::no_log(&["history"], "give --log")]
#[tokio::test]
async fn misuse_is_refused(#[case] arguments: &[&str], #[case] message: &str) {
    let ended = ctl(arguments).await;
    assert_eq!(ended.status, ExitStatus::Usage);
    assert!(ended.errors.contains(message), "{}", ended.errors);
}

#[rstest]
#[case::missing_folder("no-such-folder", ExitStatus::Failure)]
#[case::folder_without_documents("crates", ExitStatus::FolderRefused)]
#[tokio::test]
async fn a_wrong_folder_is_not_an_empty_one(#[case] folder: &str, #[case] status: ExitStatus) {
    let ended = ctl(&["check", &repository_folder(folder)]).await;
    assert_eq!(ended.status, status, "{}", ended.errors);
}

#[tokio::test]
async fn the_help_lists_every_exit_status() {
    let ended = ctl(&["--help"]).await;
    assert_eq!(ended.status, ExitStatus::Success);
    for status in ExitStatus::iter() {
        assert!(ended.report.contains(status.meaning()), "{status}");
    }
}
