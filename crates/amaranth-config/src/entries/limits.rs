//! Limits of requests and adapter loads.

use std::time::Duration;

use amaranth_core::units::{ByteSize, EventRate, TokenCount};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::catalogue::ProblemKind;

/// Limits that apply to the whole deployment.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitsEntry {
    /// Maximum size of a request body.
    pub max_body: ByteSize,
    /// Maximum number of tokens that one request may generate.
    pub max_tokens: TokenCount,
    /// Deadline of a request whose caller does not set one.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub default_deadline: Duration,
    /// Maximum deadline that a caller may set.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub max_deadline: Duration,
    /// Maximum number of requests in the queue of one endpoint.
    pub queue_length: u32,
    /// Time for which the outcome of a request with an idempotency key is retained.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub key_window: Duration,
    /// Maximum rate of adapter loads from the weight store.
    pub store_loads: EventRate,
    /// Maximum number of adapter loads in progress across all engines.
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

/// The value of one limit with its allowed range.
struct LimitRange<T> {
    limit: &'static str,
    value: T,
    min: T,
    max: T,
}

impl<T: PartialOrd + Copy> LimitRange<T> {
    fn problem(&self, format: impl Fn(T) -> String) -> Option<ProblemKind> {
        let in_range = self.value >= self.min && self.value <= self.max;
        (!in_range).then(|| ProblemKind::LimitOutOfRange {
            limit: self.limit,
            value: format(self.value),
            min: format(self.min),
            max: format(self.max),
        })
    }
}

impl LimitsEntry {
    /// Returns a problem for each limit that is outside its allowed range.
    pub(crate) fn range_problems(&self) -> impl Iterator<Item = ProblemKind> {
        let max_body = LimitRange {
            limit: "max-body",
            value: self.max_body,
            min: ByteSize(1 << 10),
            max: ByteSize(8 << 20),
        };
        let max_tokens = LimitRange {
            limit: "max-tokens",
            value: self.max_tokens,
            min: TokenCount(1),
            max: TokenCount(1 << 20),
        };
        let default_deadline = LimitRange {
            limit: "default-deadline",
            value: self.default_deadline,
            min: Duration::from_millis(1),
            max: self.max_deadline,
        };
        let max_deadline = LimitRange {
            limit: "max-deadline",
            value: self.max_deadline,
            min: Duration::from_millis(1),
            max: Duration::from_secs(3_600),
        };
        let key_window = LimitRange {
            limit: "key-window",
            value: self.key_window,
            min: self.max_deadline,
            max: Duration::from_secs(7 * 24 * 3_600),
        };
        let queue_length = LimitRange {
            limit: "queue-length",
            value: self.queue_length,
            min: 1,
            max: 1 << 16,
        };
        let loads_in_transit = LimitRange {
            limit: "loads-in-transit",
            value: self.loads_in_transit,
            min: 1,
            max: 1 << 10,
        };
        let store_loads = LimitRange {
            limit: "store-loads",
            value: self.store_loads,
            min: EventRate(0.01),
            max: EventRate(10_000.0),
        };
        let format_time = |time: Duration| humantime::format_duration(time).to_string();
        [
            max_body.problem(|size| size.to_string()),
            max_tokens.problem(|count| count.to_string()),
            default_deadline.problem(format_time),
            max_deadline.problem(format_time),
            key_window.problem(format_time),
            queue_length.problem(|length| length.to_string()),
            loads_in_transit.problem(|count| count.to_string()),
            store_loads.problem(|rate| rate.to_string()),
        ]
        .into_iter()
        .flatten()
    }
}
