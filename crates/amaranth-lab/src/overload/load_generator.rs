//! Load generator that sends completion requests at a fixed rate or at a fixed concurrency.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use amaranth_ports::http_client::HttpClient;
use amaranth_standin::engine::answer_text::answer_text;
use bytes::Bytes;
use futures::future::join_all;
use http::{Method, StatusCode, header};
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::fleet::configuration::FIRST_VERSION;
use crate::fleet::shape::DeploymentShape;
use crate::overload::report::{CapacityMeasurement, LevelStatistics, OutcomeKind, RequestOutcome};

/// Number of tokens of each answer.
const ANSWER_TOKENS: u32 = 32;

/// Header with the caller's deadline, in milliseconds.
const DEADLINE_HEADER: &str = "x-amaranth-deadline-ms";

/// Time beyond the deadline for which a caller still waits for an answer or a refusal.
const DEADLINE_GRACE: Duration = Duration::from_secs(10);

/// Sends completion requests for all adapters in turn to one entry.
#[derive(Debug, Clone)]
pub struct LoadGenerator {
    client: HttpClient,
    models: Arc<[String]>,
    deadline: Duration,
    next_number: Arc<AtomicU32>,
}

impl LoadGenerator {
    /// Creates a generator of requests with this deadline for all adapters of `shape`.
    pub fn new(entry: SocketAddr, shape: &DeploymentShape, deadline: Duration) -> Self {
        let model = |index| format!("{}@{FIRST_VERSION}", shape.adapter_name(index));
        Self {
            client: HttpClient::new(entry),
            models: (0..shape.adapters).map(model).collect(),
            deadline,
            next_number: Arc::default(),
        }
    }

    /// Keeps `concurrency` requests in flight for `duration` and counts the answers in time.
    pub async fn saturate(&self, concurrency: usize, duration: Duration) -> CapacityMeasurement {
        let started = Instant::now();
        let send_requests = || async {
            let mut answered = 0_u32;
            while started.elapsed() < duration {
                let outcome = self.send_request(started).await;
                answered += u32::from(outcome.kind == OutcomeKind::Answered);
            }
            answered
        };
        let answered = join_all((0..concurrency).map(|_| send_requests())).await;
        CapacityMeasurement {
            answered: answered.into_iter().sum(),
            elapsed: started.elapsed(),
        }
    }

    /// Sends requests at `rate` per second for `duration`, regardless of how many are in flight.
    pub async fn offer(&self, level: f64, rate: f64, duration: Duration) -> LevelStatistics {
        let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / rate));
        let started = Instant::now();
        let mut requests = JoinSet::new();
        while started.elapsed() < duration {
            ticks.tick().await;
            let generator = self.clone();
            requests.spawn(async move { generator.send_request(started).await });
        }
        let outcomes = requests.join_all().await;
        LevelStatistics::from_outcomes(level, self.deadline..duration, &outcomes)
    }

    /// Sends one request of a measurement that started at `measurement_start`.
    async fn send_request(&self, measurement_start: Instant) -> RequestOutcome {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let model = &self.models[number as usize % self.models.len()];
        let prompt = format!("manifest {number}");
        let body = json!({"model": model, "prompt": prompt, "max_tokens": ANSWER_TOKENS});
        let request = self
            .client
            .request(Method::POST, "/v1/completions")
            .header(header::CONTENT_TYPE, "application/json")
            .header(DEADLINE_HEADER, self.deadline.as_millis().to_string());
        let started = Instant::now();
        let timeout = self.deadline + DEADLINE_GRACE;
        let answer = self.client.fetch(request, body.to_string().into(), timeout);
        let answer = answer.await;
        let elapsed = started.elapsed();
        let kind = match answer {
            Ok(answer) if answer.status() == StatusCode::OK => {
                let expected = answer_text(model, &prompt, ANSWER_TOKENS);
                classify_answer(answer.body(), &expected, elapsed <= self.deadline)
            }
            Ok(answer) if is_refusal(answer.status()) => OutcomeKind::Refused,
            Ok(_) | Err(_) => OutcomeKind::Broken,
        };
        RequestOutcome {
            kind,
            elapsed,
            ended_at: measurement_start.elapsed(),
        }
    }
}

/// Returns whether a status says that the request was not run for lack of capacity.
fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns the outcome of an answer by its text and time.
fn classify_answer(body: &Bytes, expected: &str, in_time: bool) -> OutcomeKind {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let text = body.pointer("/choices/0/text").and_then(Value::as_str);
    match (text == Some(expected), in_time) {
        (true, true) => OutcomeKind::Answered,
        (true, false) => OutcomeKind::Late,
        (false, _) => OutcomeKind::Broken,
    }
}
