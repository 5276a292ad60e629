//! The latency that entry and agent add, against calling the engine directly in the same run.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use amaranth_core::errors::{Result, internal};
use amaranth_core::request::CompletionApi;
use amaranth_telemetry::{logs, usage_exit};
use log::LevelFilter;
use tokio::runtime::Runtime;

use crate::caller::client::CallerClient;
use crate::caller::completion::CompletionCall;
use crate::capacity::test_path::{PathEngine, TestPath};
use crate::checker::evidence::CallResult;
use crate::workload::time_histogram::TimeHistogram;

const HELP: &str = "\
amaranth-lab bench: measures the latency that entry and agent add

Usage: amaranth-lab bench

Calls of one token go to the engine directly and through entry and agent, in turns.
Exit status: 0 on success, 1 when a call failed, 2 for a bad command line.
";

/// Calls by each way that are measured.
const CALLS: u32 = 1_500;

/// Calls by each way before the measurement.
const WARM_UP_CALLS: u32 = 200;

/// Time of a step: short, so that the engine's own time does not hide what is added.
const STEP_TIME: Duration = Duration::from_micros(100);

/// Requests in the engine's batch.
const BATCH_SLOTS: u16 = 16;

/// Time after which a call is given up.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs `amaranth-lab bench`.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    match arguments.into_iter().next() {
        None => {}
        Some(word) if word == "--help" || word == "-h" => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Some(word) => {
            eprintln!(
                "amaranth-lab bench: unknown argument {word:?}; see amaranth-lab bench --help"
            );
            return usage_exit();
        }
    }
    match measure() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("amaranth-lab bench: {error}");
            ExitCode::FAILURE
        }
    }
}

fn measure() -> Result<()> {
    logs::install(LevelFilter::Warn).map_err(|error| internal(error.to_string()))?;
    let callers = Runtime::new().map_err(|error| internal(error.to_string()))?;
    let path = TestPath::spawn(PathEngine {
        step_time: STEP_TIME,
        batch_slots: BATCH_SLOTS,
    })?;
    let adapter = path.shape.adapter_name(0);
    let through = CompletionCall {
        api: CompletionApi::Completions,
        model: format!("{adapter}@1"),
        prompt: "measure".to_owned(),
        max_tokens: 1,
        stream: true,
    };
    // The engine knows the adapter once the path has loaded it, and accepts the same body.
    let client = CallerClient::new(CALL_TIMEOUT);
    let entry = path.entry_address();
    let engine = path.engine.address();
    let (direct, added) = callers.block_on(async {
        let mut direct = TimeHistogram::new();
        let mut total = TimeHistogram::new();
        for call in 0..WARM_UP_CALLS + CALLS {
            let whole_time = timed(&client, "the entry", entry, &through).await?;
            let direct_time = timed(&client, "the engine", engine, &through).await?;
            if call >= WARM_UP_CALLS {
                total.record(whole_time);
                direct.record(direct_time);
            }
        }
        Ok::<_, amaranth_core::Error>((direct, total))
    })?;
    print_table(&direct, &added);
    Ok(())
}

async fn timed(
    client: &CallerClient,
    callee: &str,
    address: SocketAddr,
    call: &CompletionCall,
) -> Result<Duration> {
    let started = Instant::now();
    let outcome = client.complete(address, call).await;
    match outcome.result {
        CallResult::Answered { .. } => Ok(started.elapsed()),
        other => Err(internal(format!("a call to {callee} ended with {other:?}"))),
    }
}

fn print_table(direct: &TimeHistogram, through: &TimeHistogram) {
    println!(
        "{:<28} {:>10} {:>10}",
        "streamed call of one token", "p50 us", "p99 us"
    );
    for (name, times) in [
        ("engine directly", direct),
        ("entry, agent, engine", through),
    ] {
        println!(
            "{name:<28} {:>10} {:>10}",
            times.quantile(0.5).as_micros(),
            times.quantile(0.99).as_micros()
        );
    }
    let added = |share| {
        let whole = through.quantile(share);
        whole.saturating_sub(direct.quantile(share)).as_micros()
    };
    println!("{:<28} {:>10} {:>10}", "added", added(0.5), added(0.99));
}
