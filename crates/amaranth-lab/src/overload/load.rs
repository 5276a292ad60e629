//! Requests at a steady rate, and as many as a fleet can take.

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
use crate::overload::report::{CapacityFigures, LevelFigures, OfferedOutcome, OutcomeKind};

/// Tokens of each answer.
const ANSWER_TOKENS: u32 = 32;

/// The header with the caller's deadline in milliseconds.
const DEADLINE_HEADER: &str = "x-amaranth-deadline-ms";

/// How much longer than its deadline a caller waits for a refusal.
const PATIENCE: Duration = Duration::from_secs(10);

/// Sends completions to one entry.
#[derive(Debug, Clone)]
pub struct LoadGenerator {
    client: HttpClient,
    models: Arc<[String]>,
    deadline: Duration,
    next: Arc<AtomicU32>,
}

impl LoadGenerator {
    /// Opens a generator of requests with this deadline for all adapters of `shape`.
    pub fn open(entry: SocketAddr, shape: &DeploymentShape, deadline: Duration) -> Self {
        let model = |index| format!("{}@{FIRST_VERSION}", shape.adapter_name(index));
        Self {
            client: HttpClient::new(entry),
            models: (0..shape.adapters).map(model).collect(),
            deadline,
            next: Arc::default(),
        }
    }

    /// Keeps `workers` requests in flight for `duration`.
    pub async fn saturate(&self, workers: usize, duration: Duration) -> CapacityFigures {
        let started = Instant::now();
        let work = || async {
            let mut answered = 0_u32;
            while started.elapsed() < duration {
                let outcome = self.request(started).await;
                answered += u32::from(outcome.kind == OutcomeKind::Answered);
            }
            answered
        };
        let answered = join_all((0..workers).map(|_| work())).await;
        CapacityFigures {
            answered: answered.into_iter().sum(),
            elapsed: started.elapsed(),
        }
    }

    /// Sends requests at `rate` per second for `duration`, whatever becomes of them.
    pub async fn offer(&self, level: f64, rate: f64, duration: Duration) -> LevelFigures {
        let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / rate));
        let started = Instant::now();
        let mut running = JoinSet::new();
        while started.elapsed() < duration {
            ticks.tick().await;
            let generator = self.clone();
            running.spawn(async move { generator.request(started).await });
        }
        let outcomes = running.join_all().await;
        LevelFigures::of(level, self.deadline..duration, &outcomes)
    }

    async fn request(&self, begun: Instant) -> OfferedOutcome {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let model = &self.models[number as usize % self.models.len()];
        let prompt = format!("manifest {number}");
        let body = json!({"model": model, "prompt": prompt, "max_tokens": ANSWER_TOKENS});
        let request = self
            .client
            .request(Method::POST, "/v1/completions")
            .header(header::CONTENT_TYPE, "application/json")
            .header(DEADLINE_HEADER, self.deadline.as_millis().to_string());
        let started = Instant::now();
        let timeout = self.deadline + PATIENCE;
        let answer = self.client.fetch(request, body.to_string().into(), timeout);
        let answer = answer.await;
        let elapsed = started.elapsed();
        let kind = match answer {
            Ok(answer) if answer.status() == StatusCode::OK => {
                let expected = answer_text(model, &prompt, ANSWER_TOKENS);
                judge_answer(answer.body(), &expected, elapsed <= self.deadline)
            }
            Ok(answer) if is_refusal(answer.status()) => OutcomeKind::Refused,
            Ok(_) | Err(_) => OutcomeKind::Broken,
        };
        OfferedOutcome {
            kind,
            elapsed,
            ended: begun.elapsed(),
        }
    }
}

/// Returns whether a status says that the request was not run for want of room.
fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    )
}

fn judge_answer(body: &Bytes, expected: &str, in_time: bool) -> OutcomeKind {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let text = body.pointer("/choices/0/text").and_then(Value::as_str);
    match (text == Some(expected), in_time) {
        (true, true) => OutcomeKind::Answered,
        (true, false) => OutcomeKind::Late,
        (false, _) => OutcomeKind::Broken,
    }
}
