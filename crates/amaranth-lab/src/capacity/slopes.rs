//! Slopes over the load that callers put on the path.

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
use crate::capacity::process_meter::{RoleTimes, ThreadRole, resident_bytes, role_times};
use crate::capacity::report::MeasuredSlope;
use crate::capacity::test_path::{PathEngine, TestPath};
use crate::checker::evidence::CallResult;

/// Requests per second at which the cost of a request is measured.
const REQUEST_RATES: [f64; 4] = [50.0, 100.0, 200.0, 400.0];

/// Tokens of each answer at which the cost of a token is measured.
const ANSWER_TOKENS: [u32; 4] = [16, 64, 128, 256];

/// Requests per second while the cost of a token is measured.
const TOKEN_REQUEST_RATE: f64 = 25.0;

/// Streams that are open at once when their memory is measured.
const OPEN_STREAMS: [u32; 4] = [0, 250, 500, 1_000];

/// Time of a step while the cost of requests and tokens is measured.
const STEP_TIME: Duration = Duration::from_millis(10);

/// Time of a step while open streams are counted.
const SLOW_STEP_TIME: Duration = Duration::from_millis(250);

/// Tokens of a stream that stays open while memory is read.
const LONG_ANSWER: u32 = 200;

/// Time after which open streams have their share of memory.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Most requests in the engine's batch.
const BATCH_SLOTS: u16 = 2_048;

/// Time after which a call is given up.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// The roles whose processor time is reported.
const ROLES: [ThreadRole; 4] = [
    ThreadRole::EntryTraffic,
    ThreadRole::EntryControl,
    ThreadRole::AgentTraffic,
    ThreadRole::AgentControl,
];

fn failed(error: impl std::fmt::Display) -> amaranth_core::Error {
    internal(format!("the measurement failed: {error}"))
}

/// What one load cost.
struct LoadCost {
    load: f64,
    cores: RoleTimes,
    elapsed: Duration,
}

impl LoadCost {
    /// Returns the processor time of `role` in milliseconds per second.
    fn millis_per_second(&self, role: ThreadRole) -> f64 {
        let spent = self.cores.get(&role).copied().unwrap_or_default();
        spent.as_secs_f64() * 1_000.0 / self.elapsed.as_secs_f64()
    }
}

/// Measures every slope over load.
///
/// # Errors
///
/// Returns an error when the path can't be started or does not answer.
pub fn measure(arguments: &CapacityArguments) -> Result<Vec<MeasuredSlope>> {
    let callers = Runtime::new().map_err(failed)?;
    let fast = TestPath::spawn(PathEngine {
        step_time: STEP_TIME,
        batch_slots: BATCH_SLOTS,
    })?;
    let mut by_request = Vec::new();
    let mut by_token = Vec::new();
    for _ in 0..arguments.repeats {
        for rate in REQUEST_RATES {
            let cost = run_load(&callers, &fast, arguments.duration, rate, 1)?;
            by_request.push(cost);
        }
        for tokens in ANSWER_TOKENS {
            let rate = TOKEN_REQUEST_RATE;
            let mut cost = run_load(&callers, &fast, arguments.duration, rate, tokens)?;
            cost.load *= f64::from(tokens);
            by_token.push(cost);
        }
    }
    drop(fast);
    let mut slopes = role_slopes("requests/s", &by_request);
    slopes.extend(role_slopes("tokens/s", &by_token));
    slopes.push(measure_memory(&callers)?);
    Ok(slopes)
}

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

/// Sends calls at `rate` for `duration` and returns what they cost each role.
fn run_load(
    callers: &Runtime,
    path: &TestPath,
    duration: Duration,
    rate: f64,
    tokens: u32,
) -> Result<LoadCost> {
    let call = stream_call(path, tokens);
    let before = role_times().map_err(failed)?;
    let started = Instant::now();
    let sent = callers.block_on(send_steadily(path.entry_address(), call, duration, rate))?;
    let elapsed = started.elapsed();
    let after = role_times().map_err(failed)?;
    let spent = |role: &ThreadRole| after[role].saturating_sub(before[role]);
    Ok(LoadCost {
        load: f64::from(sent) / elapsed.as_secs_f64(),
        cores: ROLES.iter().map(|role| (*role, spent(role))).collect(),
        elapsed,
    })
}

fn stream_call(path: &TestPath, tokens: u32) -> CompletionCall {
    CompletionCall {
        api: CompletionApi::Completions,
        model: path.shape.adapter_name(0),
        prompt: "measure".to_owned(),
        max_tokens: tokens,
        stream: true,
    }
}

async fn send_steadily(
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
        let outcome = outcome.map_err(failed)?;
        if !matches!(outcome.result, CallResult::Answered { .. }) {
            return Err(failed(format!("a call ended with {:?}", outcome.result)));
        }
        sent += 1;
    }
    Ok(sent)
}

/// Measures the resident memory of the whole process against open streams.
fn measure_memory(callers: &Runtime) -> Result<MeasuredSlope> {
    let path = TestPath::spawn(PathEngine {
        step_time: SLOW_STEP_TIME,
        batch_slots: BATCH_SLOTS,
    })?;
    let client = CallerClient::new(CALL_TIMEOUT);
    let call = Arc::new(stream_call(&path, LONG_ANSWER));
    let address = path.entry_address();
    let mut points = Vec::new();
    let mut open = tokio::task::JoinSet::new();
    for streams in OPEN_STREAMS {
        callers.block_on(async {
            while open.len() < streams as usize {
                let client = client.clone();
                let call = Arc::clone(&call);
                open.spawn(async move { client.complete(address, &call).await });
            }
            tokio::time::sleep(SETTLING_TIME).await;
        });
        let bytes = resident_bytes().map_err(failed)?;
        points.push(MeasuredPoint {
            load: f64::from(streams),
            cost: bytes as f64 / 1_024.0,
        });
    }
    open.abort_all();
    MeasuredSlope::fit("whole path".to_owned(), "open streams", "KiB", points)
        .ok_or_else(|| failed("no line fits the memory"))
}
