//! Limits of requests and loads.

use std::time::Duration;

use amaranth_core::units::{ByteSize, EventRate, TokenCount};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::catalogue::ProblemKind;

/// Limits that hold for the whole deployment.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitsEntry {
    /// Largest request body.
    pub max_body: ByteSize,
    /// Most tokens that one request may generate.
    pub max_tokens: TokenCount,
    /// Time that a request has when its caller states none.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub default_deadline: Duration,
    /// Longest time that a caller may state.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub max_deadline: Duration,
    /// Requests that wait at one endpoint at once.
    pub queue_length: u32,
    /// Time for which the outcome under an idempotency key is known.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub key_window: Duration,
    /// Adapter loads that the weight store allows per second.
    pub store_loads: EventRate,
    /// Adapter loads that may be in transit across all engines.
    pub loads_in_transit: u16,
}

impl Default for LimitsEntry {
    fn default() -> Self {
        Self {
            max_body: ByteSize(1 << 20),
            max_tokens: TokenCount(4_096),
            default_deadline: Duration::from_secs(60),
            max_deadline: Duration::from_secs(600),
            queue_length: 1_024,
            key_window: Duration::from_secs(24 * 3_600),
            store_loads: EventRate(2.0),
            loads_in_transit: 8,
        }
    }
}

/// One limit with its range, all as text.
struct LimitRange<T> {
    limit: &'static str,
    value: T,
    least: T,
    most: T,
}

impl<T: PartialOrd + Copy> LimitRange<T> {
    fn problem(&self, show: impl Fn(T) -> String) -> Option<ProblemKind> {
        let inside = self.value >= self.least && self.value <= self.most;
        (!inside).then(|| ProblemKind::LimitOutOfRange {
            limit: self.limit,
            value: show(self.value),
            least: show(self.least),
            most: show(self.most),
        })
    }
}

impl LimitsEntry {
    /// Returns a problem for each limit that is out of its range.
    pub(crate) fn range_problems(&self) -> impl Iterator<Item = ProblemKind> {
        let max_body = LimitRange {
            limit: "max-body",
            value: self.max_body,
            least: ByteSize(1 << 10),
            most: ByteSize(8 << 20),
        };
        let max_tokens = LimitRange {
            limit: "max-tokens",
            value: self.max_tokens,
            least: TokenCount(1),
            most: TokenCount(1 << 20),
        };
        let default_deadline = LimitRange {
            limit: "default-deadline",
            value: self.default_deadline,
            least: Duration::from_millis(1),
            most: self.max_deadline,
        };
        let max_deadline = LimitRange {
            limit: "max-deadline",
            value: self.max_deadline,
            least: Duration::from_millis(1),
            most: Duration::from_secs(3_600),
        };
        let key_window = LimitRange {
            limit: "key-window",
            value: self.key_window,
            least: self.max_deadline,
            most: Duration::from_secs(7 * 24 * 3_600),
        };
        let queue_length = LimitRange {
            limit: "queue-length",
            value: self.queue_length,
            least: 1,
            most: 1 << 16,
        };
        let loads_in_transit = LimitRange {
            limit: "loads-in-transit",
            value: self.loads_in_transit,
            least: 1,
            most: 1 << 10,
        };
        let store_loads = LimitRange {
            limit: "store-loads",
            value: self.store_loads,
            least: EventRate(0.01),
            most: EventRate(10_000.0),
        };
        let show_time = |time: Duration| humantime::format_duration(time).to_string();
        [
            max_body.problem(|size| size.to_string()),
            max_tokens.problem(|count| count.to_string()),
            default_deadline.problem(show_time),
            max_deadline.problem(show_time),
            key_window.problem(show_time),
            queue_length.problem(|length| length.to_string()),
            loads_in_transit.problem(|count| count.to_string()),
            store_loads.problem(|rate| rate.to_string()),
        ]
        .into_iter()
        .flatten()
    }
}
