//! The settings of the program, and faults that control calls set.

use std::path::Path;
use std::time::Duration;

use amaranth_ports::errors::PortError;
use amaranth_ports::http_client::{HttpClient, check_status};
use amaranth_ports::http_vm_list::HttpVmList;
use amaranth_ports::vm_list::VmListPort;
use amaranth_standin::settings::{EXAMPLE, StandinSettings};
use amaranth_standin::{VmListOptions, VmListStandin};
use amaranth_telemetry::settings::parse;
use bytes::Bytes;
use http::{Method, StatusCode};
use rstest::rstest;

#[test]
fn example_settings_are_valid() {
    let settings: StandinSettings =
        parse(Path::new("standin.toml"), EXAMPLE).expect("the example is valid");
    assert!(settings.engine.is_some() && settings.log.is_some());
}

#[rstest]
#[case::empty("", "one of the tables")]
#[case::unknown_key("[log]\nretain = \"1h\"", "unknown field `retain`")]
#[case::bad_duration("[log]\nretention = \"soon\"", "expected a duration")]
#[case::bad_rate("[store]\nload_rate = \"-1/s\"", "\"-1/s\" is not a positive number")]
#[case::no_base("[engine]\nbatch_slots = 4", "engine.bases = []")]
#[case::no_batch("[engine]\nbases = [\"m\"]\nbatch_slots = 0", "engine.batch_slots = 0")]
#[case::no_step(
    "[engine]\nbases = [\"m\"]\nstep_time = \"0s\"",
    "engine.step_time = 0s"
)]
fn error_names_the_file_and_the_invalid_setting(#[case] tables: &str, #[case] expected: &str) {
    let text = format!("admin = \"127.0.0.1:0\"\n{tables}");
    let parsed = parse::<StandinSettings>(Path::new("standin.toml"), &text);
    let message = parsed.expect_err("the settings are invalid").to_string();
    assert!(message.contains("standin.toml"), "{message}");
    assert!(message.contains(expected), "{message}");
}

async fn set_faults(client: &HttpClient, faults: &'static str) -> Result<StatusCode, PortError> {
    let request = client
        .request(Method::POST, "/control/faults")
        .header("content-type", "application/json");
    let body = Bytes::from_static(faults.as_bytes());
    let answer = client.fetch(request, body, Duration::from_secs(30)).await;
    check_status(answer?).map(|answer| answer.status())
}

#[tokio::test]
async fn control_call_sets_faults_and_refuses_unknown_ones() {
    let list = VmListStandin::spawn(VmListOptions::default())
        .await
        .expect("the VM list binds");
    let control = HttpClient::new(list.address());
    let client = HttpVmList::new(list.address());
    let set = set_faults(&control, r#"{"common": {"outage": "refusing"}}"#).await;
    assert_eq!(set, Ok(StatusCode::NO_CONTENT));
    assert!(client.list().await.is_err());
    let unknown = set_faults(&control, r#"{"outrage": true}"#).await;
    assert!(matches!(unknown, Err(PortError::Refused(_))), "{unknown:?}");
    assert!(client.list().await.is_err());
    set_faults(&control, "{}")
        .await
        .expect("the faults are cleared");
    client.list().await.expect("the VM list answers");
}
