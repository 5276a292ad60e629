//! The request queue of one engine.
//!
//! A request gets a due time on arrival: the arrival time, plus a delay by its priority, plus a
//! small delay for each request for the same adapter that already waits. Requests are served in the
//! order of their due times, except that requests which can't end before their deadlines come last.
//! Any other request can't be overtaken by one that arrives after its due time, so requests do not
//! starve, and a burst for one adapter delays the others little.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

use amaranth_core::ids::{AdapterRef, RequestId};
use amaranth_core::request::RequestPriority;
use amaranth_core::time::Timestamp;

use crate::planner::PlannedRequest;

/// The delay that each waiting request adds to the due time of the next one for its adapter.
const BACKLOG_SPACING: Duration = Duration::from_millis(100);

/// The longest delay to the due time is the time to the deadline divided by this number.
const DEADLINE_DIVISOR: u32 = 2;

/// Returns the time within which later requests may overtake a request of `priority`.
const fn priority_delay(priority: RequestPriority) -> Duration {
    match priority {
        RequestPriority::High => Duration::from_secs(1),
        RequestPriority::Normal => Duration::from_secs(5),
        RequestPriority::Low => Duration::from_secs(20),
    }
}

/// A request that waits in the queue.
#[derive(Debug, Clone)]
pub struct QueuedRequest {
    /// The request.
    pub request: PlannedRequest,
    /// The time at which the request arrived.
    pub arrived: Timestamp,
    due: Timestamp,
}

/// The waiting requests for one adapter.
#[derive(Debug, Clone, Default)]
struct AdapterQueue {
    by_due: BTreeSet<(Timestamp, RequestId)>,
}

/// The waiting requests of one engine, indexed by due time, deadline and adapter.
#[derive(Debug, Clone, Default)]
pub struct RequestQueue {
    requests: HashMap<RequestId, QueuedRequest>,
    by_adapter: HashMap<AdapterRef, AdapterQueue>,
    /// The adapters whose requests can be dispatched.
    ready_adapters: HashSet<AdapterRef>,
    /// The requests that can be dispatched, by due time.
    ready: BTreeSet<(Timestamp, RequestId)>,
    deadlines: BTreeSet<(Timestamp, RequestId)>,
}

impl RequestQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the number of requests that can be dispatched as soon as a batch slot is free.
    pub fn ready_len(&self) -> usize {
        self.ready.len()
    }

    /// Returns the number of requests that wait for `adapter`.
    pub fn waiting_for(&self, adapter: &AdapterRef) -> usize {
        self.by_adapter
            .get(adapter)
            .map_or(0, |queue| queue.by_due.len())
    }

    /// Returns the adapters whose waiting requests can't be dispatched yet, unsorted.
    pub fn missing(&self) -> impl Iterator<Item = &AdapterRef> {
        self.by_adapter
            .keys()
            .filter(|adapter| !self.ready_adapters.contains(*adapter))
    }

    /// Adds a request, unless a request with its id already waits.
    pub fn push(&mut self, now: Timestamp, request: PlannedRequest) {
        let id = request.id;
        if self.requests.contains_key(&id) {
            return;
        }
        let due = self.due_time(now, &request);
        let is_ready = match request.target.adapter() {
            Some(adapter) => {
                let queue = self.by_adapter.entry(adapter.clone()).or_default();
                queue.by_due.insert((due, id));
                self.ready_adapters.contains(adapter)
            }
            None => true,
        };
        if is_ready {
            self.ready.insert((due, id));
        }
        self.deadlines.insert((request.deadline, id));
        let queued = QueuedRequest {
            request,
            arrived: now,
            due,
        };
        self.requests.insert(id, queued);
    }

    /// Removes and returns a request, if it waits.
    pub fn remove(&mut self, id: RequestId) -> Option<QueuedRequest> {
        let queued = self.requests.remove(&id)?;
        self.ready.remove(&(queued.due, id));
        self.deadlines.remove(&(queued.request.deadline, id));
        if let Some(adapter) = queued.request.target.adapter()
            && let Some(queue) = self.by_adapter.get_mut(adapter)
        {
            queue.by_due.remove(&(queued.due, id));
            if queue.by_due.is_empty() {
                self.by_adapter.remove(adapter);
            }
        }
        Some(queued)
    }

    /// Sets whether requests for `adapter` can be dispatched.
    pub fn set_ready(&mut self, adapter: &AdapterRef, is_ready: bool) {
        let changed = if is_ready {
            self.ready_adapters.insert(adapter.clone())
        } else {
            self.ready_adapters.remove(adapter)
        };
        let Some(queue) = self.by_adapter.get(adapter).filter(|_| changed) else {
            return;
        };
        for &entry in &queue.by_due {
            if is_ready {
                self.ready.insert(entry);
            } else {
                self.ready.remove(&entry);
            }
        }
    }

    /// Removes and returns the request with the earliest due time that can be dispatched.
    ///
    /// `end` is the earliest time at which a request that is dispatched now can end. Requests
    /// whose deadline is before `end` come after all others.
    pub fn pop_ready(&mut self, end: Timestamp) -> Option<QueuedRequest> {
        let ends_in_time = |id: &RequestId| {
            let queued = self.requests.get(id);
            queued.is_some_and(|queued| queued.request.deadline >= end)
        };
        let in_time = self.ready.iter().find(|(_, id)| ends_in_time(id));
        let &(_, id) = in_time.or_else(|| self.ready.first())?;
        self.remove(id)
    }

    /// Removes and returns a request whose deadline has passed, if there is one.
    pub fn pop_expired(&mut self, now: Timestamp) -> Option<QueuedRequest> {
        let &(deadline, id) = self.deadlines.first()?;
        if deadline > now {
            return None;
        }
        self.remove(id)
    }

    fn due_time(&self, now: Timestamp, request: &PlannedRequest) -> Timestamp {
        let backlog = request
            .target
            .adapter()
            .map_or(0, |adapter| self.waiting_for(adapter));
        let backlog = u32::try_from(backlog).unwrap_or(u32::MAX);
        let delay = priority_delay(request.priority) + BACKLOG_SPACING.saturating_mul(backlog);
        now + delay.min(request.deadline.since(now) / DEADLINE_DIVISOR)
    }
}
