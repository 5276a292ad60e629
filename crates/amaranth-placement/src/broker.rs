//! Permits for adapter loads, granted to the load that saves the most waiting time.
//!
//! One live entry runs the broker for a scope. Two brokers at once, or none, affect speed but not
//! safety, as an engine never holds more adapters than it has slots.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use amaranth_core::ids::{AdapterRef, EndpointId};
use amaranth_core::time::Timestamp;
use amaranth_core::units::EventRate;

/// The shortest retry delay in a reply.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(5);

/// The longest retry delay in a reply, so that a load that has moved up in rank retries soon.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The time by which a retry may be late before requests of lower rank are granted permits.
const RETRY_GRACE: Duration = Duration::from_millis(50);

/// The limits of the adapter store, and the timeouts of permits and permit requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BrokerOptions {
    /// The rate of loads that the store allows.
    pub load_rate: EventRate,
    /// The limit on loads in transit at once; above it, all loads become slower.
    pub transit_limit: usize,
    /// The time after which a permit expires unless it is renewed or returned.
    pub permit_term: Duration,
    /// The time after which a permit request expires unless it is repeated.
    pub request_timeout: Duration,
}

impl Default for BrokerOptions {
    fn default() -> Self {
        Self {
            load_rate: EventRate(4.0),
            transit_limit: 8,
            permit_term: Duration::from_secs(10),
            request_timeout: Duration::from_secs(2),
        }
    }
}

/// The key of a load: an adapter and the engine that loads it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadKey {
    /// The endpoint of the engine.
    pub endpoint: EndpointId,
    /// The adapter to load.
    pub adapter: AdapterRef,
}

/// The reply of the broker to a permit request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokerReply {
    /// The load may start; the permit expires after this time unless it is renewed or returned.
    Granted(Duration),
    /// The load must wait; the permit is to be requested again after this delay.
    Wait(Duration),
}

/// A permit request that waits.
#[derive(Debug, Clone, Copy)]
struct PermitRequest {
    /// The waiting time that the load saves, in milliseconds.
    saved_wait_ms: u64,
    retry_at: Timestamp,
    sequence: u64,
}

/// The rank of a permit request: by the saved waiting time, the longest first, then by age.
type RequestRank = (Reverse<u64>, u64);

impl PermitRequest {
    const fn rank(&self) -> RequestRank {
        (Reverse(self.saved_wait_ms), self.sequence)
    }
}

/// Grants load permits to engines within the load rate and the transit limit of the store.
#[derive(Debug, Clone)]
pub struct LoadBroker {
    options: BrokerOptions,
    /// The earliest time at which another load may start.
    next_start: Timestamp,
    next_sequence: u64,
    /// The granted permits with their expiry times.
    permits: BTreeMap<LoadKey, Timestamp>,
    requests: BTreeMap<LoadKey, PermitRequest>,
    by_rank: BTreeMap<RequestRank, LoadKey>,
    by_expiry: BTreeSet<(Timestamp, LoadKey)>,
}

impl LoadBroker {
    /// Creates a broker without permits or requests.
    pub fn new(options: BrokerOptions) -> Self {
        Self {
            options,
            next_start: Timestamp::ZERO,
            next_sequence: 0,
            permits: BTreeMap::new(),
            requests: BTreeMap::new(),
            by_rank: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
        }
    }

    /// Returns the number of loads with a permit.
    pub fn in_transit(&self) -> usize {
        self.permits.len()
    }

    /// Returns the number of loads that wait for a permit.
    pub fn waiting(&self) -> usize {
        self.requests.len()
    }

    /// Handles a permit request for a load that saves `saved_wait_ms` milliseconds of waiting
    /// time.
    ///
    /// A renewal is granted even if the permit is unknown: the load is already in progress, and a
    /// new broker first learns of the load by the renewal of its permit.
    pub fn request(
        &mut self,
        now: Timestamp,
        key: LoadKey,
        saved_wait_ms: u64,
        renewal: bool,
    ) -> BrokerReply {
        self.expire(now);
        if renewal || self.permits.contains_key(&key) {
            return self.grant(now, key);
        }
        self.record_request(now, &key, saved_wait_ms);
        if self.may_start(now) && self.is_first(now, &key) {
            self.next_start = self.spaced_start(now);
            return self.grant(now, key);
        }
        let delay = self.retry_delay(now, &key);
        self.schedule_retry(now + delay, key);
        BrokerReply::Wait(delay)
    }

    /// Releases the permit of a load that has ended, or cancels the request for a permit.
    pub fn release(&mut self, key: &LoadKey) {
        self.permits.remove(key);
        self.remove_request(key);
    }

    fn grant(&mut self, now: Timestamp, key: LoadKey) -> BrokerReply {
        self.remove_request(&key);
        self.permits.insert(key, now + self.options.permit_term);
        BrokerReply::Granted(self.options.permit_term)
    }

    /// Returns the earliest time of the load after one that starts now.
    ///
    /// One unused start before `now` can be made up for.
    fn spaced_start(&self, now: Timestamp) -> Timestamp {
        now.max(self.next_start + self.spacing())
    }

    fn spacing(&self) -> Duration {
        Duration::from_secs_f64(1.0 / self.options.load_rate.0)
    }

    fn may_start(&self, now: Timestamp) -> bool {
        self.permits.len() < self.options.transit_limit && now >= self.next_start
    }

    /// Returns whether every request that ranks before `key` is overdue.
    fn is_first(&self, now: Timestamp, key: &LoadKey) -> bool {
        self.by_rank
            .values()
            .take_while(|&ahead| ahead != key)
            .all(|ahead| self.requests[ahead].retry_at + RETRY_GRACE < now)
    }

    fn retry_delay(&self, now: Timestamp, key: &LoadKey) -> Duration {
        let until_start = self.next_start.since(now);
        let mut delay = until_start;
        for ahead in self.by_rank.values() {
            if ahead == key || delay >= MAX_RETRY_DELAY {
                break;
            }
            delay += self.spacing();
        }
        delay.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
    }

    fn record_request(&mut self, now: Timestamp, key: &LoadKey, saved_wait_ms: u64) {
        let sequence = self.requests.get(key).map(|request| request.sequence);
        self.remove_request(key);
        let sequence = sequence.unwrap_or_else(|| {
            self.next_sequence += 1;
            self.next_sequence
        });
        let request = PermitRequest {
            saved_wait_ms,
            retry_at: now,
            sequence,
        };
        self.by_rank.insert(request.rank(), key.clone());
        self.requests.insert(key.clone(), request);
    }

    fn schedule_retry(&mut self, retry_at: Timestamp, key: LoadKey) {
        if let Some(request) = self.requests.get_mut(&key) {
            request.retry_at = retry_at;
            self.by_expiry
                .insert((retry_at + self.options.request_timeout, key));
        }
    }

    fn remove_request(&mut self, key: &LoadKey) {
        if let Some(request) = self.requests.remove(key) {
            self.by_rank.remove(&request.rank());
            let expiry = request.retry_at + self.options.request_timeout;
            self.by_expiry.remove(&(expiry, key.clone()));
        }
    }

    /// Removes permits that were neither renewed nor returned, and requests that were not repeated.
    fn expire(&mut self, now: Timestamp) {
        self.permits.retain(|_, expiry| *expiry > now);
        while let Some((expiry, key)) = self.by_expiry.first().cloned() {
            if expiry > now {
                return;
            }
            self.by_expiry.pop_first();
            self.remove_request(&key);
        }
    }
}
