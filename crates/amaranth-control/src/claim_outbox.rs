//! Group commit: one append in flight, the records that come meanwhile wait for the next.

use std::collections::VecDeque;
use std::time::Duration;

use amaranth_core::ids::RequestId;
use amaranth_core::time::Timestamp;

use crate::claim_record::{ClaimBatch, ClaimRecord};

/// Most records in one batch.
const MAX_BATCH_RECORDS: usize = 256;

/// Pause after the first of several failed appends.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);

/// Longest pause after a failed append.
const LONGEST_BACKOFF: Duration = Duration::from_secs(2);

/// Where the last batch is.
#[derive(Debug, Clone, PartialEq, Eq)]
enum AppendPhase {
    /// No append is in flight; the next may start at this time.
    Idle(Timestamp),
    /// The batch is on its way.
    InFlight(Vec<ClaimRecord>),
    /// The answer to the append was lost at this time, so the batch is looked for in the log.
    Resolving(Vec<ClaimRecord>, Timestamp),
}

/// Holds the records that are to be appended.
#[derive(Debug, Clone)]
pub struct ClaimOutbox {
    waiting: VecDeque<ClaimRecord>,
    phase: AppendPhase,
    interval: Duration,
    backoff: Duration,
    batch_limit: usize,
}

impl ClaimOutbox {
    /// Opens an empty outbox that starts appends at least `interval` apart.
    pub const fn open(interval: Duration) -> Self {
        Self {
            waiting: VecDeque::new(),
            phase: AppendPhase::Idle(Timestamp::ZERO),
            interval,
            backoff: Duration::ZERO,
            batch_limit: MAX_BATCH_RECORDS,
        }
    }

    /// Returns whether nothing waits and nothing is in flight or in doubt.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && matches!(self.phase, AppendPhase::Idle(_))
    }

    /// Returns the present pause between failed appends; zero while the log takes them.
    pub const fn backoff(&self) -> Duration {
        self.backoff
    }

    /// Adds a record.
    pub fn push(&mut self, record: ClaimRecord) {
        self.waiting.push_back(record);
    }

    /// Drops the claim of `request` if it waits, and returns whether it did.
    pub fn withdraw_claim(&mut self, request: RequestId) -> bool {
        let count = self.waiting.len();
        self.waiting.retain(|record| !is_claim_of(record, request));
        self.waiting.len() < count
    }

    /// Returns the batch to append now, if there is one.
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

    /// Takes that the batch in flight was appended, and returns it.
    pub fn appended(&mut self, now: Timestamp) -> ClaimBatch {
        self.backoff = Duration::ZERO;
        self.batch_limit = MAX_BATCH_RECORDS;
        ClaimBatch {
            records: self.end_flight(now + self.interval),
        }
    }

    /// Takes that the batch in flight was not appended. The records that `is_wanted` wait again.
    pub fn failed(&mut self, now: Timestamp, is_wanted: impl Fn(&ClaimRecord) -> bool) {
        self.back_off();
        let mut records = self.end_flight(now + self.backoff);
        records.retain(is_wanted);
        self.requeue(records);
    }

    /// Takes that the log refuses the batch in flight. Larger batches are appended record by
    /// record; a record that is refused alone is returned and not appended.
    pub fn refused(&mut self, now: Timestamp) -> Option<ClaimRecord> {
        let mut records = self.end_flight(now + self.interval);
        self.batch_limit = 1;
        if records.len() == 1 {
            return records.pop();
        }
        self.requeue(records);
        None
    }

    /// Takes that the answer to the append in flight was lost.
    pub fn uncertain(&mut self, now: Timestamp) {
        self.back_off();
        let records = self.end_flight(now);
        self.phase = AppendPhase::Resolving(records, now);
    }

    /// Returns whether the log has to be read before the next append.
    pub const fn is_resolving(&self) -> bool {
        matches!(self.phase, AppendPhase::Resolving(..))
    }

    /// Ends the doubt over a lost answer with a read to the end of the log that was sent at
    /// `started`. The records that `is_wanted` still, because the log lacks them, wait again.
    ///
    /// A batch that was not found may still arrive late. The desk and the ledger bear the double:
    /// a call is dispatched for one claim only, and repeated outcomes change nothing.
    pub fn resolve(
        &mut self,
        now: Timestamp,
        started: Timestamp,
        is_wanted: impl Fn(&ClaimRecord) -> bool,
    ) {
        match &self.phase {
            AppendPhase::Resolving(_, since) if started >= *since => {}
            _ => return,
        }
        let mut records = self.end_flight(now + self.backoff);
        records.retain(is_wanted);
        self.requeue(records);
    }

    fn back_off(&mut self) {
        self.backoff = (self.backoff * 2).clamp(FIRST_BACKOFF, LONGEST_BACKOFF);
    }

    fn requeue(&mut self, records: Vec<ClaimRecord>) {
        for record in records.into_iter().rev() {
            self.waiting.push_front(record);
        }
    }

    fn end_flight(&mut self, not_before: Timestamp) -> Vec<ClaimRecord> {
        match std::mem::replace(&mut self.phase, AppendPhase::Idle(not_before)) {
            AppendPhase::InFlight(records) | AppendPhase::Resolving(records, _) => records,
            AppendPhase::Idle(_) => Vec::new(),
        }
    }
}

fn is_claim_of(record: &ClaimRecord, request: RequestId) -> bool {
    matches!(record, ClaimRecord::Claim(proposal) if proposal.request == request)
}
