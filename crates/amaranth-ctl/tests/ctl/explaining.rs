//! `explain --logs`: from the id of a call to the cause of its outcome, on lines as the processes
//! write them.

use amaranth_ctl::exit::ExitStatus;
use rstest::rstest;

use crate::support::{TestFolder, ctl};

const LOG: &str = "\
ts=2026-04-14T09:41:26.003Z level=info target=amaranth_relay::entry event=endpoint endpoint=i-48 change=joined
  17.15 front-a-1 ts=2026-04-14T09:41:26.016Z level=info target=amaranth_relay::call_task event=connection_ended id=6021 endpoint=i-48 error=the connection ended after the call was sent: connection error
  17.15 front-a-1 ts=2026-04-14T09:41:26.016Z level=info target=amaranth_relay::call_task event=send_failed id=6021 endpoint=i-48 failure=ambiguous sends=1
  17.15 front-a-1 ts=2026-04-14T09:41:26.016Z level=info target=amaranth_relay::call_task event=call id=6021 route=r1 kind=non-idempotent endpoint=i-48 outcome=outcome-unknown adapter=- status=502 took_ms=30 config=12
ts=2026-04-14T09:41:44.876Z level=info target=amaranth_relay::call_task event=no_place id=573c waited_ms=600 line=30
ts=2026-04-14T09:41:44.877Z level=info target=amaranth_relay::call_task event=call id=573c route=r2 kind=stream endpoint=- outcome=adapter-wait adapter=a693 status=503 took_ms=601 config=18
ts=2026-04-14T09:41:20.617Z level=info target=amaranth_relay::stream_relay event=stream_broken id=466d endpoint=i-2a events=3 last_event=3 reason=\"error reading a body from connection\"
ts=2026-04-14T09:41:20.618Z level=info target=amaranth_relay::stream_relay event=call id=466d route=r2 kind=stream endpoint=- outcome=broken adapter=a1192 status=200 predicted_ms=337 engine_ms=337 first_ms=3808 took_ms=4439 events=3 sends=2 config=8
ts=2026-04-14T09:41:50.100Z level=info target=amaranth_relay::silence_watch event=engine_silent id=77aa endpoint=i-31 action=wait retries_left=12
ts=2026-04-14T09:41:52.400Z level=info target=amaranth_relay::silence_watch event=call_given_up id=77aa endpoint=i-31 engine=silent
ts=2026-04-14T09:41:52.401Z level=info target=amaranth_relay::call_record event=call id=77aa route=r3 kind=stream endpoint=i-31 outcome=timed-out adapter=a7 status=504 took_ms=3801 config=18
";

async fn explain(id: &str) -> (ExitStatus, String) {
    let folder = TestFolder::create(LOG);
    let path = format!("{}/10.toml", folder.path());
    let result = ctl(&["explain", id, "--logs", &path]).await;
    (result.status, result.report)
}

#[rstest]
#[case::refused("573c")]
#[case::broken_stream("466d")]
#[case::ambiguous("6021")]
#[case::timed_out("77aa")]
#[tokio::test]
async fn a_failed_call_is_traced_to_its_cause(#[case] id: &str) {
    let (status, report) = explain(id).await;
    assert_eq!(status, ExitStatus::Success);
    insta::assert_snapshot!(format!("trace_of_{id}"), report);
}

#[tokio::test]
async fn an_unknown_call_is_a_failure() {
    let (status, report) = explain("beef").await;
    assert_eq!(status, ExitStatus::Failure);
    assert!(
        report.contains("no log line reports the end of the call"),
        "{report}"
    );
}

#[tokio::test]
async fn an_unreadable_log_is_named() {
    let result = ctl(&["explain", "beef", "--logs", "nowhere.log"]).await;
    assert!(result.errors.contains("nowhere.log"), "{}", result.errors);
}
