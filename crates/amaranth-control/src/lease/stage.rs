//! The life cycle of one endpoint's lease at its holder, as typestate.
//!
//! Only a [`Lease<Held>`] writes an [`OrderPermit`], and an order to an engine takes one by value,
//! so that no order can be written by a process that waits or has lost its lease.

use std::time::Duration;

use amaranth_core::ids::{EndpointId, FencingToken};
use amaranth_core::time::Timestamp;

/// Another process holds the lease, or nobody does and it has not been asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting;

/// A record that takes the lease is on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claiming {
    /// The record.
    pub attempt: u64,
}

/// The lease is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    token: FencingToken,
    until: Timestamp,
}

/// The lease on one endpoint in one stage of its life.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease<Stage> {
    endpoint: EndpointId,
    stage: Stage,
}

/// Leave to send one order, to be checked at the moment of sending.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderPermit {
    endpoint: EndpointId,
    token: FencingToken,
    send_before: Option<Timestamp>,
}

impl<Stage> Lease<Stage> {
    /// Returns the endpoint.
    pub const fn endpoint(&self) -> &EndpointId {
        &self.endpoint
    }
}

impl Lease<Waiting> {
    /// Opens the lease of a process that does not hold it.
    pub const fn open(endpoint: EndpointId) -> Self {
        Self {
            endpoint,
            stage: Waiting,
        }
    }

    /// Notes that the record `attempt` asks for the lease.
    pub fn claim(self, attempt: u64) -> Lease<Claiming> {
        Lease {
            endpoint: self.endpoint,
            stage: Claiming { attempt },
        }
    }
}

impl Lease<Claiming> {
    /// Returns the record that asks for the lease.
    pub const fn attempt(&self) -> u64 {
        self.stage.attempt
    }

    /// Notes that the record took the lease at `token`, which lasts `until`.
    pub fn win(self, token: FencingToken, until: Timestamp) -> Lease<Held> {
        Lease {
            endpoint: self.endpoint,
            stage: Held { token, until },
        }
    }

    /// Notes that the record did not take the lease.
    pub fn lose(self) -> Lease<Waiting> {
        Lease::open(self.endpoint)
    }
}

impl Lease<Held> {
    /// Returns the token of the lease.
    pub const fn token(&self) -> FencingToken {
        self.stage.token
    }

    /// Returns when the term ends, on the holder's clock.
    pub const fn until(&self) -> Timestamp {
        self.stage.until
    }

    /// Notes that the lease was renewed and lasts `until`.
    pub fn extend(&mut self, until: Timestamp) {
        self.stage.until = self.stage.until.max(until);
    }

    /// Notes that another process holds the lease.
    pub fn lose(self) -> Lease<Waiting> {
        Lease::open(self.endpoint)
    }

    /// Writes leave to send one order whose answer is awaited for `order_timeout`.
    ///
    /// An engine that checks fencing numbers refuses an order that comes too late, so that the
    /// permit has no end. For any other engine the order must land before the term ends.
    pub fn permit(&self, checks_fencing: bool, order_timeout: Duration) -> OrderPermit {
        let margin = u64::try_from(order_timeout.as_micros()).unwrap_or(u64::MAX);
        let last = self.stage.until.as_micros().saturating_sub(margin);
        OrderPermit {
            endpoint: self.endpoint.clone(),
            token: self.stage.token,
            send_before: (!checks_fencing).then_some(Timestamp::from_micros(last)),
        }
    }
}

impl OrderPermit {
    /// Returns the endpoint that may be ordered.
    pub const fn endpoint(&self) -> &EndpointId {
        &self.endpoint
    }

    /// Returns the token, if the order may still be sent at `now`.
    pub fn token_at(&self, now: Timestamp) -> Option<FencingToken> {
        match self.send_before {
            Some(last) if now >= last => None,
            Some(_) | None => Some(self.token),
        }
    }
}
