//! The callers that were refused and told when to return.
//!
//! An attempt that returns has a new id. It is recognized by the digest of its request, which all
//! attempts of a caller share, and only at the entry that refused the first one.

use std::time::Duration;

use amaranth_core::ids::TeamName;
use amaranth_core::time::Timestamp;

use super::request::AdmissionRequest;
use crate::call::RequestDigest;

/// Largest number of returns that are kept in mind. Beyond it callers are told a time, and no room
/// is reserved.
const MAX_PROMISES: usize = 1_024;

/// Time before the stated one at which a return is accepted: callers round the delay to
/// milliseconds.
const EARLY_TOLERANCE: Duration = Duration::from_millis(5);

/// Time after the stated one until which a return is expected: the way to the caller and back, and
/// pauses of the processes at both ends.
const LATE_TOLERANCE: Duration = Duration::from_millis(300);

/// Weight of the newest promise in the share of promises that are kept.
const KEPT_WEIGHT: f64 = 0.1;

/// Initial share of kept promises. A caller may return to another entry or not at all.
const INITIAL_KEPT_SHARE: f64 = 0.8;

#[derive(Debug, Clone)]
struct PromisedReturn {
    due: Timestamp,
    arrived: Timestamp,
    rank: u8,
    team: Option<TeamName>,
    work: u64,
    request: RequestDigest,
}

/// The returns that refused callers were told, by time.
#[derive(Debug)]
pub(super) struct PromisedReturns {
    by_time: Vec<PromisedReturn>,
    kept_share: f64,
}

impl Default for PromisedReturns {
    fn default() -> Self {
        Self {
            by_time: Vec::new(),
            kept_share: INITIAL_KEPT_SHARE,
        }
    }
}

impl PromisedReturns {
    /// Records that a caller is told to return at `due`.
    pub(super) fn promise(&mut self, now: Timestamp, due: Timestamp, request: &AdmissionRequest) {
        self.expire(now);
        if self.by_time.len() >= MAX_PROMISES {
            return;
        }
        let place = self.by_time.partition_point(|known| known.due <= due);
        let promised = PromisedReturn {
            due,
            arrived: request.arrived,
            rank: request.rank,
            team: request.team.clone(),
            work: request.work.tokens(),
            request: request.request,
        };
        self.by_time.insert(place, promised);
    }

    /// Redeems the promise to the caller of an arriving call. Returns the arrival of the attempt that
    /// was refused, if the caller comes as told. One that comes too early loses its promise, so that
    /// asking often gains nothing.
    pub(super) fn redeem(
        &mut self,
        now: Timestamp,
        request: &AdmissionRequest,
    ) -> Option<Timestamp> {
        self.expire(now);
        let known = self.by_time.iter().position(|known| {
            known.request == request.request
                && known.rank == request.rank
                && known.team == request.team
        });
        let promised = self.by_time.remove(known?);
        if now + EARLY_TOLERANCE < promised.due {
            return None;
        }
        self.kept_share += KEPT_WEIGHT * (1.0 - self.kept_share);
        Some(promised.arrived)
    }

    /// Returns the work of the returns of a team and rank that are expected by `until`.
    pub(super) fn expected_work(&self, request: &AdmissionRequest, until: Timestamp) -> f64 {
        let due = self.of(request).take_while(|known| known.due <= until);
        self.kept_share * due.map(|known| known.work as f64).sum::<f64>()
    }

    /// Returns the work of all promised returns of a team and rank.
    pub(super) fn promised_work(&self, request: &AdmissionRequest) -> u64 {
        self.of(request).map(|known| known.work).sum()
    }

    fn of<'a>(&'a self, request: &'a AdmissionRequest) -> impl Iterator<Item = &'a PromisedReturn> {
        self.by_time
            .iter()
            .filter(|known| known.rank == request.rank && known.team == request.team)
    }

    fn expire(&mut self, now: Timestamp) {
        let expired = self
            .by_time
            .partition_point(|known| known.due + LATE_TOLERANCE < now);
        self.by_time.drain(..expired);
        for _ in 0..expired {
            self.kept_share -= KEPT_WEIGHT * self.kept_share;
        }
    }
}
