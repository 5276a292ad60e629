//! Measurement of the latency that entry and agent add, compared with direct calls to the engine
//! in the same run.

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
use crate::capacity::test_bed::{TestBed, TestBedOptions};
use crate::checker::evidence::CallResult;
use crate::workload::time_histogram::TimeHistogram;

const HELP: &str = "\
amaranth-lab bench: measures the latency that entry and agent add

Usage: amaranth-lab bench

Sends calls of one token alternately through entry and agent and directly to the engine.
Exit status: 0 on success, 1 when a call failed, 2 for a bad command line.
";

/// Number of measured calls through the entry, and as many directly to the engine.
const MEASURED_CALLS: u32 = 1_500;

/// Number of calls of each kind before the measurement.
const WARM_UP_CALLS: u32 = 200;

/// Duration of an engine step, short so that the engine's own time does not hide the added latency.
const STEP_TIME: Duration = Duration::from_micros(100);

/// Maximum number of requests in the engine's batch.
const BATCH_SLOTS: u16 = 16;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs `amaranth-lab bench` and returns its exit code.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    match arguments.into_iter().next() {
        None => {}
        Some(argument) if argument == "--help" || argument == "-h" => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Some(argument) => {
            eprintln!(
                "amaranth-lab bench: unknown argument {argument:?}; see amaranth-lab bench --help"
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
    let caller_runtime = Runtime::new().map_err(|error| internal(error.to_string()))?;
    let test_bed = TestBed::spawn(TestBedOptions {
        step_time: STEP_TIME,
        batch_slots: BATCH_SLOTS,
    })?;
    let adapter = test_bed.shape.adapter_name(0);
    let call = CompletionCall {
        api: CompletionApi::Completions,
        model: format!("{adapter}@1"),
        prompt: "measure".to_owned(),
        max_tokens: 1,
        stream: true,
    };
    // Starting the test bed loads the adapter, so that the engine accepts the same body directly.
    let client = CallerClient::new(CALL_TIMEOUT);
    let entry = test_bed.entry_address();
    let engine = test_bed.engine.address();
    let (direct, through_entry) = caller_runtime.block_on(async {
        let mut direct = TimeHistogram::new();
        let mut through_entry = TimeHistogram::new();
        for round in 0..WARM_UP_CALLS + MEASURED_CALLS {
            let entry_time = time_call(&client, "the entry", entry, &call).await?;
            let engine_time = time_call(&client, "the engine", engine, &call).await?;
            if round >= WARM_UP_CALLS {
                through_entry.record(entry_time);
                direct.record(engine_time);
            }
        }
        Ok::<_, amaranth_core::Error>((direct, through_entry))
    })?;
    print_table(&direct, &through_entry);
    Ok(())
}

/// Sends one call and returns the time until its answer ended.
async fn time_call(
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

fn print_table(direct: &TimeHistogram, through_entry: &TimeHistogram) {
    println!(
        "{:<28} {:>10} {:>10}",
        "streamed call of one token", "p50 us", "p99 us"
    );
    for (name, times) in [
        ("engine directly", direct),
        ("entry, agent, engine", through_entry),
    ] {
        println!(
            "{name:<28} {:>10} {:>10}",
            times.quantile(0.5).as_micros(),
            times.quantile(0.99).as_micros()
        );
    }
    let added = |share| {
        let total = through_entry.quantile(share);
        total.saturating_sub(direct.quantile(share)).as_micros()
    };
    println!("{:<28} {:>10} {:>10}", "added", added(0.5), added(0.99));
}
