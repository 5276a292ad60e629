//! One entry's quota of the fleet's retry budget.
//!
//! The budget holds for each service in every window: a ratio of the calls to it plus a slack.
//! Entries don't coordinate their retries. Within any window each spends a fraction of what its own
//! calls of the preceding window earned, and a part of the slack that follows the number of entries
//! in the fleet. Half of the slack is kept for entries that the others don't know of yet. Earned retries may be spent
//! all at once, since engines that freeze together lose all their calls in the same second.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use amaranth_core::ids::ServiceName;
use amaranth_core::time::Timestamp;

/// Fraction of the ratio that an entry spends. The windows in which a call and its retry are
/// counted may overlap by three quarters only.
const RATIO_FRACTION: f64 = 0.75;

/// Number of starts of one entry within a window for which the slack suffices. Each start begins
/// with a fresh quota.
const STARTS_COVERED: u32 = 2;

/// Number of buckets in which a window is counted.
const BUCKETS: u64 = 20;

/// The fleet's budget of retries for each service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// The number of retries per call.
    pub ratio: f64,
    /// The number of further retries within a window.
    pub slack: u32,
    /// The length of the window.
    pub window: Duration,
    /// The number of entries that share the budget, until their number is known.
    pub entries: u32,
}

/// The numbers of calls and retries within one bucket of a window.
#[derive(Debug, Clone, Copy)]
struct BucketCount {
    bucket: u64,
    calls: u32,
    retries: u32,
}

/// The number of entries as it was learned.
#[derive(Debug, Clone, Copy)]
struct LearnedCount {
    entries: u32,
    valid_until: Timestamp,
}

/// One entry's quota of the fleet's retry budget.
#[derive(Debug, Clone)]
pub struct RetryQuota {
    limits: RetryLimits,
    learned: Option<LearnedCount>,
    services: BTreeMap<ServiceName, VecDeque<BucketCount>>,
}

impl RetryQuota {
    /// Creates the quota of an entry that has seen no call.
    pub const fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            learned: None,
            services: BTreeMap::new(),
        }
    }

    /// Sets the number of entries that share the budget. After `valid_until` the assumed number counts
    /// again.
    pub const fn set_entries(&mut self, entries: u32, valid_until: Timestamp) {
        self.learned = Some(LearnedCount {
            entries,
            valid_until,
        });
    }

    /// Replaces the budget. The number of entries that was learned is kept. Another window begins as
    /// after a start, since the counts are of the earlier one.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        if limits.window != self.limits.window {
            self.services.clear();
        }
        self.limits = limits;
    }

    /// Records a call to a service.
    pub fn record_call(&mut self, now: Timestamp, service: &ServiceName) {
        self.bucket(now, service).calls += 1;
    }

    /// Returns the allowance for retries of calls to a service at `now`.
    pub const fn allowance<'quota>(
        &'quota mut self,
        now: Timestamp,
        service: &'quota ServiceName,
    ) -> RetryAllowance<'quota> {
        RetryAllowance {
            quota: self,
            service,
            now,
        }
    }

    /// Returns the number of retries of calls to a service that may be sent now.
    pub fn remaining(&self, now: Timestamp, service: &ServiceName) -> u32 {
        let current = self.bucket_number(now);
        let counts = self.services.get(service).into_iter().flatten();
        let (mut calls, mut retries) = (0, 0);
        for count in counts {
            let age = current.saturating_sub(count.bucket);
            // Calls are counted over a little less than the window, retries over a little more.
            if age < BUCKETS {
                calls += count.calls;
            }
            if age <= BUCKETS {
                retries += count.retries;
            }
        }
        let earned = self.limits.ratio * RATIO_FRACTION * f64::from(calls);
        let learned = self.learned.filter(|learned| now <= learned.valid_until);
        let entries = learned.map_or(self.limits.entries, |learned| learned.entries);
        let shared_by = entries.max(1) * STARTS_COVERED;
        let slack = self.limits.slack / shared_by;
        (earned as u32 + slack).saturating_sub(retries)
    }

    fn bucket_number(&self, now: Timestamp) -> u64 {
        let length = (self.limits.window.as_micros() as u64 / BUCKETS).max(1);
        now.as_micros() / length
    }

    fn bucket(&mut self, now: Timestamp, service: &ServiceName) -> &mut BucketCount {
        let current = self.bucket_number(now);
        if !self.services.contains_key(service) {
            self.services.retain(|_, counts| {
                let newest = counts.back().map_or(0, |count| count.bucket);
                current.saturating_sub(newest) <= BUCKETS
            });
        }
        let counts = self.services.entry(service.clone()).or_default();
        while counts
            .front()
            .is_some_and(|count| current.saturating_sub(count.bucket) > BUCKETS)
        {
            counts.pop_front();
        }
        if counts.back().is_none_or(|count| count.bucket < current) {
            counts.push_back(BucketCount {
                bucket: current,
                calls: 0,
                retries: 0,
            });
        }
        let newest = counts.len() - 1;
        &mut counts[newest]
    }
}

/// Allowance for retries of calls to one service at one moment.
#[derive(Debug)]
pub struct RetryAllowance<'quota> {
    quota: &'quota mut RetryQuota,
    service: &'quota ServiceName,
    now: Timestamp,
}

impl RetryAllowance<'_> {
    /// Returns whether a retry may be sent.
    pub fn has_remaining(&self) -> bool {
        self.quota.remaining(self.now, self.service) > 0
    }

    /// Spends one retry and returns whether one remained.
    pub fn acquire(&mut self) -> bool {
        if !self.has_remaining() {
            return false;
        }
        self.quota.bucket(self.now, self.service).retries += 1;
        true
    }
}
