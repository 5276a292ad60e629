//! CPU time per role against request and token rates, and memory against open streams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use amaranth_core::errors::{Result, internal};
use amaranth_core::request::CompletionApi;
use tokio::runtime::Runtime;

use crate::caller::client::CallerClient;
use crate::caller::completion::CompletionCall;
use crate::capacity::arguments::CapacityArguments;
use crate::capacity::line_fit::MeasuredPoint;
use crate::capacity::process_usage::{
    RoleCpuTimes, ThreadRole, read_resident_bytes, read_role_cpu_times,
};
use crate::capacity::report::MeasuredSlope;
use crate::capacity::test_bed::{TestBed, TestBedOptions};
use crate::checker::evidence::CallResult;

/// Request rates at which the cost of a request is measured, per second.
const REQUEST_RATES: [f64; 4] = [50.0, 100.0, 200.0, 400.0];

/// Answer lengths at which the cost of a token is measured, in tokens.
const ANSWER_TOKENS: [u32; 4] = [16, 64, 128, 256];

/// Request rate while the cost of a token is measured, per second.
const TOKEN_REQUEST_RATE: f64 = 25.0;

/// Numbers of concurrently open streams at which memory is measured.
const OPEN_STREAM_COUNTS: [u32; 4] = [0, 250, 500, 1_000];

/// Duration of an engine step while the cost of requests and tokens is measured.
const STEP_TIME: Duration = Duration::from_millis(10);

/// Duration of an engine step while memory is measured, long so that the streams stay open.
const SLOW_STEP_TIME: Duration = Duration::from_millis(250);

/// Answer length of a stream that stays open while memory is measured, in tokens.
const LONG_ANSWER_TOKENS: u32 = 200;

/// Time for newly opened streams to allocate their memory.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Maximum number of requests in the engine's batch.
const BATCH_SLOTS: u16 = 2_048;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Roles whose CPU time is reported.
const ROLES: [ThreadRole; 4] = [
    ThreadRole::EntryTraffic,
    ThreadRole::EntryControl,
    ThreadRole::AgentTraffic,
    ThreadRole::AgentControl,
];

fn measurement_error(error: impl std::fmt::Display) -> amaranth_core::Error {
    internal(format!("the measurement failed: {error}"))
}

/// CPU time that one load cost each role.
struct LoadCost {
    /// Requests or tokens per second.
    load: f64,
    cpu_times: RoleCpuTimes,
    elapsed: Duration,
}

impl LoadCost {
    /// Returns the CPU time of `role`, in milliseconds per second of elapsed time.
    fn millis_per_second(&self, role: ThreadRole) -> f64 {
        let cpu_time = self.cpu_times.get(&role).copied().unwrap_or_default();
        cpu_time.as_secs_f64() * 1_000.0 / self.elapsed.as_secs_f64()
    }
}

/// Measures the cost of requests, tokens and open streams.
///
/// # Errors
///
/// Returns an error if a test bed can't be started, a call fails or the operating system's
/// accounting can't be read.
pub fn measure(arguments: &CapacityArguments) -> Result<Vec<MeasuredSlope>> {
    let caller_runtime = Runtime::new().map_err(measurement_error)?;
    let test_bed = TestBed::spawn(TestBedOptions {
        step_time: STEP_TIME,
        batch_slots: BATCH_SLOTS,
    })?;
    let mut request_costs = Vec::new();
    let mut token_costs = Vec::new();
    for _ in 0..arguments.repeats {
        for rate in REQUEST_RATES {
            let cost = run_load(&caller_runtime, &test_bed, arguments.duration, rate, 1)?;
            request_costs.push(cost);
        }
        for tokens in ANSWER_TOKENS {
            let rate = TOKEN_REQUEST_RATE;
            let mut cost = run_load(&caller_runtime, &test_bed, arguments.duration, rate, tokens)?;
            cost.load *= f64::from(tokens);
            token_costs.push(cost);
        }
    }
    drop(test_bed);
    let mut slopes = role_slopes("requests/s", &request_costs);
    slopes.extend(role_slopes("tokens/s", &token_costs));
    slopes.push(measure_memory(&caller_runtime)?);
    Ok(slopes)
}

/// Fits one slope for each role through the costs of all loads.
fn role_slopes(load: &'static str, costs: &[LoadCost]) -> Vec<MeasuredSlope> {
    ROLES
        .iter()
        .filter_map(|role| {
            let points = costs
                .iter()
                .map(|cost| MeasuredPoint {
                    load: cost.load,
                    cost: cost.millis_per_second(*role),
                })
                .collect();
            MeasuredSlope::fit(role.to_string(), load, "ms/s", points)
        })
        .collect()
}

/// Sends calls at `rate` per second for `duration` and returns the CPU time that they cost each
/// role.
fn run_load(
    caller_runtime: &Runtime,
    test_bed: &TestBed,
    duration: Duration,
    rate: f64,
    tokens: u32,
) -> Result<LoadCost> {
    let call = streamed_call(test_bed, tokens);
    let before = read_role_cpu_times().map_err(measurement_error)?;
    let started = Instant::now();
    let sent =
        caller_runtime.block_on(send_at_rate(test_bed.entry_address(), call, duration, rate))?;
    let elapsed = started.elapsed();
    let after = read_role_cpu_times().map_err(measurement_error)?;
    let cpu_time = |role: &ThreadRole| after[role].saturating_sub(before[role]);
    Ok(LoadCost {
        load: f64::from(sent) / elapsed.as_secs_f64(),
        cpu_times: ROLES.iter().map(|role| (*role, cpu_time(role))).collect(),
        elapsed,
    })
}

fn streamed_call(test_bed: &TestBed, tokens: u32) -> CompletionCall {
    CompletionCall {
        api: CompletionApi::Completions,
        model: test_bed.shape.adapter_name(0),
        prompt: "measure".to_owned(),
        max_tokens: tokens,
        stream: true,
    }
}

/// Sends calls at `rate` per second for `duration` and returns their number once all are answered.
async fn send_at_rate(
    address: SocketAddr,
    call: CompletionCall,
    duration: Duration,
    rate: f64,
) -> Result<u32> {
    let client = CallerClient::new(CALL_TIMEOUT);
    let call = Arc::new(call);
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / rate));
    let started = Instant::now();
    let mut calls = tokio::task::JoinSet::new();
    while started.elapsed() < duration {
        ticks.tick().await;
        let client = client.clone();
        let call = Arc::clone(&call);
        calls.spawn(async move { client.complete(address, &call).await });
    }
    let mut sent = 0;
    while let Some(outcome) = calls.join_next().await {
        let outcome = outcome.map_err(measurement_error)?;
        if !matches!(outcome.result, CallResult::Answered { .. }) {
            return Err(measurement_error(format!(
                "a call ended with {:?}",
                outcome.result
            )));
        }
        sent += 1;
    }
    Ok(sent)
}

/// Measures the resident memory of the whole process against the number of open streams.
fn measure_memory(caller_runtime: &Runtime) -> Result<MeasuredSlope> {
    let test_bed = TestBed::spawn(TestBedOptions {
        step_time: SLOW_STEP_TIME,
        batch_slots: BATCH_SLOTS,
    })?;
    let client = CallerClient::new(CALL_TIMEOUT);
    let call = Arc::new(streamed_call(&test_bed, LONG_ANSWER_TOKENS));
    let address = test_bed.entry_address();
    let mut points = Vec::new();
    let mut calls = tokio::task::JoinSet::new();
    for stream_count in OPEN_STREAM_COUNTS {
        caller_runtime.block_on(async {
            while calls.len() < stream_count as usize {
                let client = client.clone();
                let call = Arc::clone(&call);
                calls.spawn(async move { client.complete(address, &call).await });
            }
            tokio::time::sleep(SETTLING_TIME).await;
        });
        let bytes = read_resident_bytes().map_err(measurement_error)?;
        points.push(MeasuredPoint {
            load: f64::from(stream_count),
            cost: bytes as f64 / 1_024.0,
        });
    }
    calls.abort_all();
    MeasuredSlope::fit("whole path".to_owned(), "open streams", "KiB", points)
        .ok_or_else(|| measurement_error("no line fits the memory"))
}
