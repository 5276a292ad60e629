//! Group commit of claim records: records that arrive while an append is in flight are batched
//! into the next one.

use std::collections::VecDeque;
use std::time::Duration;

use amaranth_core::ids::RequestId;
use amaranth_core::time::Timestamp;

use crate::claim_record::{ClaimBatch, ClaimRecord};

/// Maximum number of records in one batch.
const MAX_BATCH_RECORDS: usize = 256;

/// Backoff after the first of several consecutive failed appends.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum backoff after a failed append.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// State of the last append.
#[derive(Debug, Clone, PartialEq, Eq)]
enum AppendPhase {
    /// No append is in flight; the next may start at this time.
    Idle(Timestamp),
    /// The append of these records is in flight.
    InFlight(Vec<ClaimRecord>),
    /// The reply to the append of these records was lost at this time. The log is read to find out
    /// whether it stored them.
    Resolving(Vec<ClaimRecord>, Timestamp),
}

/// Queue of the claim records to append to the log, with at most one append in flight.
#[derive(Debug, Clone)]
pub struct ClaimOutbox {
    waiting: VecDeque<ClaimRecord>,
    phase: AppendPhase,
    /// Minimum time from the end of one append to the start of the next.
    interval: Duration,
    backoff: Duration,
    /// Maximum number of records in the next batch.
    batch_limit: usize,
}

impl ClaimOutbox {
    /// Creates an empty outbox that leaves at least `interval` between two appends.
    pub const fn new(interval: Duration) -> Self {
        Self {
            waiting: VecDeque::new(),
            phase: AppendPhase::Idle(Timestamp::ZERO),
            interval,
            backoff: Duration::ZERO,
            batch_limit: MAX_BATCH_RECORDS,
        }
    }

    /// Returns whether no record waits and no append is in flight or unresolved.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && matches!(self.phase, AppendPhase::Idle(_))
    }

    /// Returns the current backoff between failed appends, which is zero while appends succeed.
    pub const fn backoff(&self) -> Duration {
        self.backoff
    }

    /// Adds a record to the queue.
    pub fn push(&mut self, record: ClaimRecord) {
        self.waiting.push_back(record);
    }

    /// Removes the claim of `request` from the queue and returns whether there was one.
    pub fn withdraw_claim(&mut self, request: RequestId) -> bool {
        let count = self.waiting.len();
        self.waiting.retain(|record| !is_claim_of(record, request));
        self.waiting.len() < count
    }

    /// Starts the next append and returns its batch, or `None` if no append is due.
    pub fn start_append(&mut self, now: Timestamp) -> Option<ClaimBatch> {
        match self.phase {
            AppendPhase::Idle(not_before) if now >= not_before && !self.waiting.is_empty() => {}
            _ => return None,
        }
        let count = self.waiting.len().min(self.batch_limit);
        let records: Vec<_> = self.waiting.drain(..count).collect();
        self.phase = AppendPhase::InFlight(records.clone());
        Some(ClaimBatch { records })
    }

    /// Completes the append in flight and returns its batch.
    pub fn complete_append(&mut self, now: Timestamp) -> ClaimBatch {
        self.backoff = Duration::ZERO;
        self.batch_limit = MAX_BATCH_RECORDS;
        ClaimBatch {
            records: self.end_append(now + self.interval),
        }
    }

    /// Ends the append in flight as failed. The records that `is_wanted` accepts are queued again.
    pub fn fail_append(&mut self, now: Timestamp, is_wanted: impl Fn(&ClaimRecord) -> bool) {
        self.back_off();
        let mut records = self.end_append(now + self.backoff);
        records.retain(is_wanted);
        self.requeue(records);
    }

    /// Ends the append in flight as refused by the log.
    ///
    /// The records of a larger batch are then appended one by one. A record that is refused alone
    /// is dropped and returned.
    pub fn refuse_append(&mut self, now: Timestamp) -> Option<ClaimRecord> {
        let mut records = self.end_append(now + self.interval);
        self.batch_limit = 1;
        if records.len() == 1 {
            return records.pop();
        }
        self.requeue(records);
        None
    }

    /// Suspends appends until [`Self::resolve_append`], because the reply to the append in flight
    /// was lost.
    pub fn suspend_append(&mut self, now: Timestamp) {
        self.back_off();
        let records = self.end_append(now);
        self.phase = AppendPhase::Resolving(records, now);
    }

    /// Returns whether the log must be read before the next append.
    pub const fn is_resolving(&self) -> bool {
        matches!(self.phase, AppendPhase::Resolving(..))
    }

    /// Resolves an append whose reply was lost, after a read to the end of the log that was sent at
    /// `started`. The records that `is_wanted` accepts, because the log lacks them, are queued
    /// again.
    ///
    /// A batch that the log lacked may still arrive late. The coordinator and the ledger tolerate
    /// the duplicate: a call is dispatched for one claim only, and repeated outcomes are ignored.
    pub fn resolve_append(
        &mut self,
        now: Timestamp,
        started: Timestamp,
        is_wanted: impl Fn(&ClaimRecord) -> bool,
    ) {
        match &self.phase {
            AppendPhase::Resolving(_, since) if started >= *since => {}
            _ => return,
        }
        let mut records = self.end_append(now + self.backoff);
        records.retain(is_wanted);
        self.requeue(records);
    }

    fn back_off(&mut self) {
        self.backoff = (self.backoff * 2).clamp(INITIAL_BACKOFF, MAX_BACKOFF);
    }

    /// Returns records to the front of the queue in their order.
    fn requeue(&mut self, records: Vec<ClaimRecord>) {
        for record in records.into_iter().rev() {
            self.waiting.push_front(record);
        }
    }

    /// Ends the append in flight, if any, and returns its records. The next append may start at
    /// `not_before`.
    fn end_append(&mut self, not_before: Timestamp) -> Vec<ClaimRecord> {
        match std::mem::replace(&mut self.phase, AppendPhase::Idle(not_before)) {
            AppendPhase::InFlight(records) | AppendPhase::Resolving(records, _) => records,
            AppendPhase::Idle(_) => Vec::new(),
        }
    }
}

fn is_claim_of(record: &ClaimRecord, request: RequestId) -> bool {
    matches!(record, ClaimRecord::Claim(proposal) if proposal.request == request)
}
