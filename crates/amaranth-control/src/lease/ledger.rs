//! The status of every lease, derived from the stream of leases alone.
//!
//! Readers that started at different offsets agree on every lease that was acquired or renewed
//! after the later reader's start.

use std::collections::HashMap;

use amaranth_core::ids::{EndpointId, FencingToken, Incarnation, LogOffset};

use crate::lease::record::{HeldLease, LeaseHolder, LeaseOperation, LeaseRecord};

/// The status of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseStatus {
    /// The lease is held, or has expired if its holder no longer renews it.
    Held,
    /// The lease was released.
    Released,
    /// The outcome of the last acquisition is unknown, because it depends on records from before
    /// this reader's start.
    Undetermined,
}

/// The last known holder and status of an endpoint's lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRow {
    /// The last process that acquired the lease.
    pub holder: LeaseHolder,
    /// The fencing token of the lease.
    pub token: FencingToken,
    /// The status of the lease.
    pub status: LeaseStatus,
    /// Number of the last record that acquired or renewed the lease, counted by its holder.
    attempt: u64,
}

/// Offsets of the newest records that name an endpoint, from two different incarnations.
#[derive(Debug, Clone, Copy)]
struct RecentWriters {
    newest: (LogOffset, Incarnation),
    newest_of_another: Option<LogOffset>,
}

impl RecentWriters {
    /// Returns the offset of the newest record from an incarnation other than `own`.
    fn newest_of_others(&self, own: Incarnation) -> Option<LogOffset> {
        if self.newest.1 == own {
            self.newest_of_another
        } else {
            Some(self.newest.0)
        }
    }
}

/// The effect of one record on one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseChange {
    /// The lease was acquired with a new token.
    Acquired(EndpointId),
    /// The lease was renewed.
    Renewed(EndpointId),
    /// The lease was released.
    Released(EndpointId),
    /// The record has no effect on the lease, but shows that its writer is alive.
    Rejected(EndpointId),
}

/// Determines the status of each endpoint's lease from the records of the stream.
#[derive(Debug, Clone, Default)]
pub struct LeaseLedger {
    rows: HashMap<EndpointId, LeaseRow>,
    writers: HashMap<EndpointId, RecentWriters>,
    first: LogOffset,
    next: LogOffset,
}

impl LeaseLedger {
    /// Creates an empty ledger that expects the record at offset zero next.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the offset of the next record to apply.
    pub const fn next_offset(&self) -> LogOffset {
        self.next
    }

    /// Returns whether the ledger has read the stream from offset zero.
    pub const fn is_complete(&self) -> bool {
        self.first.0 == 0
    }

    /// Returns the last known holder and status of the lease on `endpoint`.
    pub fn row(&self, endpoint: &EndpointId) -> Option<&LeaseRow> {
        self.rows.get(endpoint)
    }

    /// Clears the ledger if the log no longer retains the next record to apply.
    ///
    /// Returns whether the ledger was cleared.
    pub fn skip_to(&mut self, first_kept: LogOffset) -> bool {
        if first_kept <= self.next {
            return false;
        }
        *self = Self {
            first: first_kept,
            next: first_kept,
            ..Self::default()
        };
        true
    }

    /// Applies the record at `offset` and returns its effect on each endpoint that it names.
    ///
    /// A record that was applied before is ignored.
    pub fn apply(&mut self, offset: LogOffset, record: &LeaseRecord) -> Vec<LeaseChange> {
        if offset < self.next {
            return Vec::new();
        }
        self.next = offset.next();
        match &record.operation {
            LeaseOperation::Acquire { read_to, endpoints } => endpoints
                .iter()
                .map(|endpoint| self.acquire(offset, *read_to, endpoint, record))
                .collect(),
            LeaseOperation::Renew { leases } => leases
                .iter()
                .map(|lease| self.renew(offset, lease, record))
                .collect(),
            LeaseOperation::Release { leases } => leases
                .iter()
                .map(|lease| self.release(offset, lease, record))
                .collect(),
        }
    }

    fn acquire(
        &mut self,
        offset: LogOffset,
        read_to: LogOffset,
        endpoint: &EndpointId,
        record: &LeaseRecord,
    ) -> LeaseChange {
        let own = record.holder.incarnation;
        let overtaken = self
            .writers
            .get(endpoint)
            .and_then(|writers| writers.newest_of_others(own))
            .is_some_and(|other| other >= read_to);
        self.record_writer(offset, endpoint, own);
        // When one incarnation acquires twice, the newer record counts. The log may append the
        // older record late, after the newer one or after the release; then it has no effect.
        let outdated = self.rows.get(endpoint).is_some_and(|row| {
            row.holder.incarnation == own
                && (row.attempt >= record.attempt || row.status == LeaseStatus::Released)
        });
        if overtaken || outdated {
            return LeaseChange::Rejected(endpoint.clone());
        }
        let status = if read_to < self.first {
            LeaseStatus::Undetermined
        } else {
            LeaseStatus::Held
        };
        let row = LeaseRow {
            holder: record.holder.clone(),
            token: FencingToken::from(offset),
            status,
            attempt: record.attempt,
        };
        self.rows.insert(endpoint.clone(), row);
        LeaseChange::Acquired(endpoint.clone())
    }

    fn renew(&mut self, offset: LogOffset, lease: &HeldLease, record: &LeaseRecord) -> LeaseChange {
        let endpoint = &lease.endpoint;
        self.record_writer(offset, endpoint, record.holder.incarnation);
        let is_held = match self.rows.get(endpoint) {
            Some(row) if row.status == LeaseStatus::Held => row.token == lease.token,
            Some(row) if row.status == LeaseStatus::Released => false,
            // Only a holder renews, so a renewal determines a lease that this reader could not
            // determine.
            Some(_) | None => lease.token.0 < self.first.0 || self.has_token(lease),
        };
        if !is_held {
            return LeaseChange::Rejected(endpoint.clone());
        }
        let row = LeaseRow {
            holder: record.holder.clone(),
            token: lease.token,
            status: LeaseStatus::Held,
            attempt: record.attempt,
        };
        self.rows.insert(endpoint.clone(), row);
        LeaseChange::Renewed(endpoint.clone())
    }

    fn release(
        &mut self,
        offset: LogOffset,
        lease: &HeldLease,
        record: &LeaseRecord,
    ) -> LeaseChange {
        let endpoint = &lease.endpoint;
        self.record_writer(offset, endpoint, record.holder.incarnation);
        match self.rows.get_mut(endpoint) {
            Some(row) if row.token == lease.token => {
                row.status = LeaseStatus::Released;
                LeaseChange::Released(endpoint.clone())
            }
            _ => LeaseChange::Rejected(endpoint.clone()),
        }
    }

    /// Returns whether the last acquisition of the endpoint's lease has the token of `lease`.
    fn has_token(&self, lease: &HeldLease) -> bool {
        let row = self.rows.get(&lease.endpoint);
        row.is_some_and(|row| row.token == lease.token)
    }

    fn record_writer(
        &mut self,
        offset: LogOffset,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) {
        let writers = self
            .writers
            .entry(endpoint.clone())
            .or_insert(RecentWriters {
                newest: (offset, incarnation),
                newest_of_another: None,
            });
        if writers.newest.1 != incarnation {
            writers.newest_of_another = Some(writers.newest.0);
        }
        writers.newest = (offset, incarnation);
    }
}
