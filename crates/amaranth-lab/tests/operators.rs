//! Tests of `amaranthctl` on a running fleet.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_core::request::CompletionApi;
use amaranth_ctl::exit::ExitStatus;
use amaranth_ctl::output::CommandOutput;
use amaranth_lab::caller::client::CallerClient;
use amaranth_lab::caller::completion::CompletionCall;
use amaranth_lab::fleet::demo_fleet::DemoFleet;
use amaranth_lab::fleet::shape::{Deployment, DeploymentShape};
use serde_json::Value;

/// Timeout of a call, and of each condition that the test waits for.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A shared in-memory buffer that collects the output of a command.
#[derive(Debug, Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Runs `amaranthctl` on the fleet and returns its exit status and JSON report.
async fn run_ctl(fleet: &DemoFleet, command: &[&str]) -> (ExitStatus, Value) {
    let mut arguments: Vec<String> = command.iter().map(ToString::to_string).collect();
    arguments.push("--json".to_owned());
    arguments.push(format!("--log={}", fleet.platform.log.address()));
    for member in &fleet.entries {
        let entry = member.process().expect("the entry is running");
        arguments.push(format!("--entry={}", entry.peer_address()));
    }
    let buffer = SharedBuffer::default();
    let output = CommandOutput::new(Box::new(buffer.clone()), Box::new(io::sink()));
    let status = amaranth_ctl::run(arguments.into_iter().map(Into::into), output).await;
    let text = buffer.0.lock().unwrap().clone();
    let report = serde_json::from_slice(&text).expect("the report is JSON");
    (status, report)
}

fn small_shape() -> DeploymentShape {
    let mut shape = DeploymentShape::of(Deployment::Roata);
    shape.data_centres.truncate(1);
    shape.engines = 1;
    shape.service_instances = 1;
    shape.adapters = 5;
    shape
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_explain_and_drain_succeed_on_a_running_fleet() {
    let fleet = DemoFleet::spawn(small_shape())
        .await
        .expect("the fleet starts");
    let adapter = fleet.shape.adapter_name(2);
    let call = CompletionCall {
        api: CompletionApi::Completions,
        model: adapter.clone(),
        prompt: "plan".to_owned(),
        max_tokens: 4,
        stream: true,
    };
    let client = CallerClient::new(CALL_TIMEOUT);
    let address = fleet.entry_addresses()[0];
    // An entry knows an endpoint before its agent holds the lease; calls are refused until then.
    let answered = async {
        while client.complete(address, &call).await.tokens != 4 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(CALL_TIMEOUT, answered)
        .await
        .expect("the call is answered in time");

    // An agent counts as lagging until an entry has answered its first announcement.
    let up_to_date = async {
        loop {
            let (status, report) = run_ctl(&fleet, &["status"]).await;
            match status {
                ExitStatus::Success => return report,
                _ => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
    };
    let report = tokio::time::timeout(CALL_TIMEOUT, up_to_date)
        .await
        .expect("every daemon reports the current revision in time");
    let daemons = report["daemons"].as_array().expect("`daemons` is an array");
    let agents: Vec<_> = daemons
        .iter()
        .filter(|daemon| daemon["role"] == "agent")
        .collect();
    assert_eq!(agents.len(), 2, "{report}");

    let (status, report) = run_ctl(&fleet, &["explain", &adapter]).await;
    assert_eq!(status, ExitStatus::Success, "{report}");
    assert!(
        report.to_string().contains("event=request_routed"),
        "{report}"
    );

    let agent = agents[0]["process"]
        .as_str()
        .expect("`process` is a string");
    let (status, report) = run_ctl(&fleet, &["drain", agent]).await;
    assert_eq!(status, ExitStatus::Success, "{report}");
    assert_eq!(report["daemon"]["process"], agent);
    fleet.stop().await;
}
