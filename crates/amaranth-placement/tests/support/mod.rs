//! Helpers for the tests of the planner and the queue.

use amaranth_core::ids::{AdapterRef, RequestId};
use amaranth_core::request::{ModelTarget, RequestPriority};
use amaranth_core::time::Timestamp;
use amaranth_core::units::TokenCount;
use amaranth_placement::planner::PlannedRequest;

/// Returns version 1 of an adapter.
pub fn adapter(name: &str) -> AdapterRef {
    format!("{name}@1")
        .parse()
        .expect("the name is well formed")
}

/// Returns a request for an adapter, with its deadline 30 s after the origin of the clock.
pub fn request(id: u128, name: &str, priority: RequestPriority) -> PlannedRequest {
    PlannedRequest {
        id: RequestId(id),
        target: ModelTarget::Adapter {
            base: "base".parse().expect("the name is well formed"),
            adapter: adapter(name),
        },
        deadline: Timestamp::from_millis(30_000),
        priority,
        prompt_tokens: TokenCount(10),
        max_tokens: TokenCount(10),
    }
}
