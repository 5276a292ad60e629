//! The life cycle of one endpoint's lease at its holder, as typestate.
//!
//! Only a [`Lease<Held>`] creates an [`OrderPermit`], and each order to an engine consumes one by
//! value, so that a process that does not hold the lease can't send an order.

use std::time::Duration;

use amaranth_core::ids::{EndpointId, FencingToken};
use amaranth_core::time::Timestamp;

/// The state of a lease that this process does not hold and has not requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotHeld;

/// The state of a lease whose acquiring record was sent and has not been read back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Acquiring {
    /// Number of the record.
    pub attempt: u64,
}

/// The state of a lease that this process holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    token: FencingToken,
    expires_at: Timestamp,
}

/// The lease on one endpoint in one state: [`NotHeld`], [`Acquiring`] or [`Held`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease<State> {
    endpoint: EndpointId,
    state: State,
}

/// A permit to send one order, to be checked at the moment of sending.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderPermit {
    endpoint: EndpointId,
    token: FencingToken,
    send_before: Option<Timestamp>,
}

impl<State> Lease<State> {
    /// Returns the endpoint.
    pub const fn endpoint(&self) -> &EndpointId {
        &self.endpoint
    }
}

impl Lease<NotHeld> {
    /// Creates a lease that this process does not hold.
    pub const fn new(endpoint: EndpointId) -> Self {
        Self {
            endpoint,
            state: NotHeld,
        }
    }

    /// Requests the lease by the record `attempt`.
    pub fn acquire(self, attempt: u64) -> Lease<Acquiring> {
        Lease {
            endpoint: self.endpoint,
            state: Acquiring { attempt },
        }
    }
}

impl Lease<Acquiring> {
    /// Returns the number of the record that requests the lease.
    pub const fn attempt(&self) -> u64 {
        self.state.attempt
    }

    /// Confirms that the record acquired the lease with `token` until `expires_at`.
    pub fn confirm(self, token: FencingToken, expires_at: Timestamp) -> Lease<Held> {
        Lease {
            endpoint: self.endpoint,
            state: Held { token, expires_at },
        }
    }

    /// Ends the attempt, because the record did not acquire the lease.
    pub fn fail(self) -> Lease<NotHeld> {
        Lease::new(self.endpoint)
    }
}

impl Lease<Held> {
    /// Returns the fencing token of the lease.
    pub const fn token(&self) -> FencingToken {
        self.state.token
    }

    /// Returns the end of the term on the holder's clock.
    pub const fn expires_at(&self) -> Timestamp {
        self.state.expires_at
    }

    /// Extends the term to `expires_at`; an earlier end is ignored.
    pub fn renew(&mut self, expires_at: Timestamp) {
        self.state.expires_at = self.state.expires_at.max(expires_at);
    }

    /// Ends the lease, because this process no longer holds it.
    pub fn lose(self) -> Lease<NotHeld> {
        Lease::new(self.endpoint)
    }

    /// Creates a permit to send one order whose answer is awaited for `order_timeout`.
    ///
    /// An engine that checks fencing tokens refuses an order that arrives too late, so the permit
    /// does not expire. For any other engine the order must arrive before the term ends.
    pub fn permit(&self, checks_fencing: bool, order_timeout: Duration) -> OrderPermit {
        let margin = u64::try_from(order_timeout.as_micros()).unwrap_or(u64::MAX);
        let send_before = self.state.expires_at.as_micros().saturating_sub(margin);
        OrderPermit {
            endpoint: self.endpoint.clone(),
            token: self.state.token,
            send_before: (!checks_fencing).then_some(Timestamp::from_micros(send_before)),
        }
    }
}

impl OrderPermit {
    /// Returns the endpoint to which the order may be sent.
    pub const fn endpoint(&self) -> &EndpointId {
        &self.endpoint
    }

    /// Returns the fencing token, or `None` if the order may no longer be sent at `now`.
    pub fn token_at(&self, now: Timestamp) -> Option<FencingToken> {
        match self.send_before {
            Some(send_before) if now >= send_before => None,
            Some(_) | None => Some(self.token),
        }
    }
}
