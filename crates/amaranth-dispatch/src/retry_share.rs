//! The part of the fleet's retry budget that one entry may spend.
//!
//! The budget holds for each service in every window: a ratio of the calls to it and a slack.
//! Entries don't talk about retries. Each spends, within any window, a part of what its own calls
//! of the window before earned, and a fixed part of the slack. What was earned may be spent at
//! once: engines that freeze together lose all their calls in the same second.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use amaranth_core::ids::ServiceName;
use amaranth_core::time::Timestamp;

/// Part of the ratio that entries spend. The windows in which a call and a retry are counted may
/// overlap by three quarters only.
const RATIO_PART: f64 = 0.75;

/// Starts of one entry within a window that the slack covers.
const STARTS_COVERED: u32 = 2;

/// Steps in which a window is counted.
const STEPS: u64 = 20;

/// The fleet's budget of retries for each service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries for each call.
    pub ratio: f64,
    /// Retries beyond those, within a window.
    pub slack: u32,
    /// The window.
    pub window: Duration,
    /// Entries that share the budget, at most.
    pub entries: u32,
}

/// Calls and retries within one step of a window.
#[derive(Debug, Clone, Copy)]
struct StepCount {
    step: u64,
    calls: u32,
    retries: u32,
}

/// One entry's part of the fleet's retry budget.
#[derive(Debug, Clone)]
pub struct RetryShare {
    limits: RetryLimits,
    services: BTreeMap<ServiceName, VecDeque<StepCount>>,
}

impl RetryShare {
    /// Opens the share of an entry that has seen no call.
    pub const fn open(limits: RetryLimits) -> Self {
        Self {
            limits,
            services: BTreeMap::new(),
        }
    }

    /// Notes a call to a service.
    pub fn note_call(&mut self, now: Timestamp, service: &ServiceName) {
        self.step(now, service).calls += 1;
    }

    /// Returns what may be spent on calls to a service now.
    pub const fn allowance<'share>(
        &'share mut self,
        now: Timestamp,
        service: &'share ServiceName,
    ) -> RetryAllowance<'share> {
        RetryAllowance {
            share: self,
            service,
            now,
        }
    }

    /// Returns the retries of calls to a service that may be sent now.
    pub fn left(&self, now: Timestamp, service: &ServiceName) -> u32 {
        let current = self.step_number(now);
        let counts = self.services.get(service).into_iter().flatten();
        let (mut calls, mut retries) = (0, 0);
        for count in counts {
            let age = current.saturating_sub(count.step);
            // Calls are counted over a little less than the window, retries over a little more.
            if age < STEPS {
                calls += count.calls;
            }
            if age <= STEPS {
                retries += count.retries;
            }
        }
        let earned = self.limits.ratio * RATIO_PART * f64::from(calls);
        let shared_by = self.limits.entries.max(1) * STARTS_COVERED;
        let slack = (self.limits.slack / shared_by).max(1);
        (earned as u32 + slack).saturating_sub(retries)
    }

    fn step_number(&self, now: Timestamp) -> u64 {
        let step = (self.limits.window.as_micros() as u64 / STEPS).max(1);
        now.as_micros() / step
    }

    fn step(&mut self, now: Timestamp, service: &ServiceName) -> &mut StepCount {
        let current = self.step_number(now);
        if !self.services.contains_key(service) {
            self.services.retain(|_, counts| {
                let newest = counts.back().map_or(0, |count| count.step);
                current.saturating_sub(newest) <= STEPS
            });
        }
        let counts = self.services.entry(service.clone()).or_default();
        while counts
            .front()
            .is_some_and(|count| current.saturating_sub(count.step) > STEPS)
        {
            counts.pop_front();
        }
        if counts.back().is_none_or(|count| count.step < current) {
            counts.push_back(StepCount {
                step: current,
                calls: 0,
                retries: 0,
            });
        }
        let newest = counts.len() - 1;
        &mut counts[newest]
    }
}

/// What may be spent on retries of calls to one service at one moment.
#[derive(Debug)]
pub struct RetryAllowance<'share> {
    share: &'share mut RetryShare,
    service: &'share ServiceName,
    now: Timestamp,
}

impl RetryAllowance<'_> {
    /// Returns whether a retry may be sent.
    pub fn is_open(&self) -> bool {
        self.share.left(self.now, self.service) > 0
    }

    /// Takes one retry and returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        if !self.is_open() {
            return false;
        }
        self.share.step(self.now, self.service).retries += 1;
        true
    }
}
