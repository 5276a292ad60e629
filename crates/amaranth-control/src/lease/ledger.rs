//! The standing of every lease, ruled from the stream of leases alone.
//!
//! Readers that began at different offsets rule alike on every lease that was taken or renewed
//! since the later one began.

use std::collections::HashMap;

use amaranth_core::ids::{EndpointId, FencingToken, Incarnation, LogOffset};

use crate::lease::record::{HeldLease, LeaseHolder, LeaseRecord, LeaseStatement};

/// How far a lease is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseStanding {
    /// It is held, or lapsed if its holder stopped to renew it.
    Held,
    /// It was given up.
    Released,
    /// A take that can't be ruled on, because this reader began after what it depends on.
    Unruled,
}

/// What the ledger knows of an endpoint's lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRow {
    /// Who took it last.
    pub holder: LeaseHolder,
    /// The token.
    pub token: FencingToken,
    /// How far it is.
    pub standing: LeaseStanding,
    /// The record that took it, counted by its holder.
    attempt: u64,
}

/// The newest records that name an endpoint, of two different lives.
#[derive(Debug, Clone, Copy)]
struct RecentTouches {
    newest: (LogOffset, Incarnation),
    newest_of_another: Option<LogOffset>,
}

impl RecentTouches {
    /// Returns the newest record of a life other than `own`.
    fn of_others(&self, own: Incarnation) -> Option<LogOffset> {
        if self.newest.1 == own {
            self.newest_of_another
        } else {
            Some(self.newest.0)
        }
    }
}

/// What one record changed for one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseChange {
    /// The endpoint was taken under a new token.
    Taken(EndpointId),
    /// The lease was kept.
    Renewed(EndpointId),
    /// The lease was given up.
    Released(EndpointId),
    /// The record states nothing that holds, but its writer lives.
    Void(EndpointId),
}

/// Rules which lease holds for each endpoint.
#[derive(Debug, Clone, Default)]
pub struct LeaseLedger {
    rows: HashMap<EndpointId, LeaseRow>,
    touches: HashMap<EndpointId, RecentTouches>,
    first: LogOffset,
    next: LogOffset,
}

impl LeaseLedger {
    /// Opens an empty ledger that wants the record at offset zero next.
    pub fn open() -> Self {
        Self::default()
    }

    /// Returns the offset of the next record that the ledger wants.
    pub const fn next_offset(&self) -> LogOffset {
        self.next
    }

    /// Returns whether the ledger has read the stream from its very beginning.
    pub const fn is_complete(&self) -> bool {
        self.first.0 == 0
    }

    /// Returns what is known of the lease on `endpoint`.
    pub fn row(&self, endpoint: &EndpointId) -> Option<&LeaseRow> {
        self.rows.get(endpoint)
    }

    /// Forgets everything when the log no longer keeps the record that is wanted next.
    ///
    /// Returns whether that was so.
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

    /// Applies the record at `offset` and returns what it changed, endpoint by endpoint.
    ///
    /// A record that was applied before is ignored.
    pub fn apply(&mut self, offset: LogOffset, record: &LeaseRecord) -> Vec<LeaseChange> {
        if offset < self.next {
            return Vec::new();
        }
        self.next = offset.next();
        match &record.statement {
            LeaseStatement::Take { read_to, endpoints } => endpoints
                .iter()
                .map(|endpoint| self.take(offset, *read_to, endpoint, record))
                .collect(),
            LeaseStatement::Renew { leases } => leases
                .iter()
                .map(|lease| self.renew(offset, lease, record))
                .collect(),
            LeaseStatement::Release { leases } => leases
                .iter()
                .map(|lease| self.release(offset, lease, record))
                .collect(),
        }
    }

    fn take(
        &mut self,
        offset: LogOffset,
        read_to: LogOffset,
        endpoint: &EndpointId,
        record: &LeaseRecord,
    ) -> LeaseChange {
        let own = record.holder.incarnation;
        let overtaken = self
            .touches
            .get(endpoint)
            .and_then(|touches| touches.of_others(own))
            .is_some_and(|other| other >= read_to);
        self.touch(offset, endpoint, own);
        // A life that takes twice keeps the newer record; an older one that the log took late,
        // after a newer one or after the release, states nothing.
        let outdated = self.rows.get(endpoint).is_some_and(|row| {
            row.holder.incarnation == own
                && (row.attempt >= record.attempt || row.standing == LeaseStanding::Released)
        });
        if overtaken || outdated {
            return LeaseChange::Void(endpoint.clone());
        }
        let standing = if read_to < self.first {
            LeaseStanding::Unruled
        } else {
            LeaseStanding::Held
        };
        let row = LeaseRow {
            holder: record.holder.clone(),
            token: FencingToken::from(offset),
            standing,
            attempt: record.attempt,
        };
        self.rows.insert(endpoint.clone(), row);
        LeaseChange::Taken(endpoint.clone())
    }

    fn renew(&mut self, offset: LogOffset, lease: &HeldLease, record: &LeaseRecord) -> LeaseChange {
        let endpoint = &lease.endpoint;
        self.touch(offset, endpoint, record.holder.incarnation);
        let holds = match self.rows.get(endpoint) {
            Some(row) if row.standing == LeaseStanding::Held => row.token == lease.token,
            Some(row) if row.standing == LeaseStanding::Released => false,
            // Only a holder renews, so a renewal rules on what this reader could not.
            Some(_) | None => lease.token.0 < self.first.0 || self.took(lease),
        };
        if !holds {
            return LeaseChange::Void(endpoint.clone());
        }
        let row = LeaseRow {
            holder: record.holder.clone(),
            token: lease.token,
            standing: LeaseStanding::Held,
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
        self.touch(offset, endpoint, record.holder.incarnation);
        match self.rows.get_mut(endpoint) {
            Some(row) if row.token == lease.token => {
                row.standing = LeaseStanding::Released;
                LeaseChange::Released(endpoint.clone())
            }
            _ => LeaseChange::Void(endpoint.clone()),
        }
    }

    fn took(&self, lease: &HeldLease) -> bool {
        let row = self.rows.get(&lease.endpoint);
        row.is_some_and(|row| row.token == lease.token)
    }

    fn touch(&mut self, offset: LogOffset, endpoint: &EndpointId, life: Incarnation) {
        let touches = self
            .touches
            .entry(endpoint.clone())
            .or_insert(RecentTouches {
                newest: (offset, life),
                newest_of_another: None,
            });
        if touches.newest.1 != life {
            touches.newest_of_another = Some(touches.newest.0);
        }
        touches.newest = (offset, life);
    }
}
