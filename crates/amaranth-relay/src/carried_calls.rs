//! The calls that a connection has carried.

use amaranth_core::digest::hash64;
use amaranth_dispatch::call::CallId;

/// Number of calls that one connection carries at most, which bounds what is remembered of them.
const MAX_CALLS: usize = 256;

/// The calls that were sent on one connection, as digests of their ids.
#[derive(Debug, Clone, Default)]
pub struct CarriedCalls {
    digests: Vec<u64>,
}

impl CarriedCalls {
    /// Records a send of a call.
    pub fn record(&mut self, call: &CallId) {
        self.digests.push(digest(call));
    }

    /// Returns how often a call was sent.
    pub fn sends_of(&self, call: &CallId) -> usize {
        let sent = digest(call);
        self.digests.iter().filter(|known| **known == sent).count()
    }

    /// Returns whether the connection may carry no further call.
    pub const fn is_full(&self) -> bool {
        self.digests.len() >= MAX_CALLS
    }

    /// Returns the number of all sends.
    pub const fn sends(&self) -> usize {
        self.digests.len()
    }
}

fn digest(call: &CallId) -> u64 {
    hash64(0, call.as_str().as_bytes())
}
