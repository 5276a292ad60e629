//! The memory that a process holds for callers and endpoints: bodies of calls and answers that
//! their callers have not taken yet.
//!
//! Bytes are counted for each caller's connection before they are read, so that the sum never
//! passes the limit. Connections that hold little are granted more of the limit than others, and
//! answers more than bodies: usual calls are served beside large ones, and a call that has run can
//! be answered.

use std::collections::BTreeMap;
use std::time::Duration;

use amaranth_core::time::Timestamp;
use strum::Display;

/// Memory of a process that is not available for calls: programs, tables and connections to
/// agents. An entry used 9 to 14 MB before calls were counted; daemons may spend 32 MB on control.
const CONTROL_BYTES: u64 = 32_000_000;

/// Fraction of the remaining memory that calls may hold. The rest is for the buffers of
/// connections, the allocator and the kernel.
const CALL_SHARE: f64 = 0.5;

/// Smallest limit, which holds the largest body and a few usual calls.
const MIN_LIMIT: u64 = 8 << 20;

/// Limit if the memory of the VM is not stated.
const DEFAULT_LIMIT: u64 = 128 << 20;

/// Memory of a caller's connection beyond the bytes that are counted: a task, and the read and write
/// buffers of the HTTP library on both sides.
const CONNECTION_BYTES: u64 = 48 << 10;

/// Bytes from which a connection counts as large.
const LARGE_BYTES: u64 = 64 << 10;

/// Bytes of a stream that are read ahead of its caller. They hold more than 5,000 events of 45
/// bytes, so that a slow caller does not delay an engine whose answer is of a usual length.
const MAX_STREAM_BYTES: u64 = 256 << 10;

/// Bytes from which the end of a stalled connection frees a noticeable amount.
const MIN_STALLED_BYTES: u64 = 16 << 10;

/// Time within which a connection has to be able to move what it holds at its present rate.
const MAX_DRAIN_TIME_S: f64 = 8.0;

/// Time for which a connection is not considered stalled after it began to wait for its caller.
const STALL_GRACE: Duration = Duration::from_secs(2);

/// The same time while an answer waits for memory.
const SPENT_GRACE: Duration = Duration::from_millis(250);

/// Half-life of the bytes that count towards the rate of a connection.
const RATE_HALF_LIFE_S: f64 = 1.0;

/// Rate that is added to each when connections without any progress are compared, in bytes per
/// second.
const RATE_FLOOR: f64 = 1_024.0;

/// Delay after which a call that was refused for lack of memory may be repeated. Stalled connections
/// have ended by then.
pub const MEMORY_RETRY_AFTER: Duration = STALL_GRACE;

/// A number of bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ByteCount(pub u64);

impl ByteCount {
    /// Returns the count for a number of megabytes, as settings state memory.
    pub fn from_megabytes(megabytes: f64) -> Self {
        Self((megabytes * 1e6) as u64)
    }
}

/// The limits that follow from the memory of the VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryLimits {
    total: u64,
}

impl Default for MemoryLimits {
    fn default() -> Self {
        Self::for_memory(None)
    }
}

impl MemoryLimits {
    /// Returns the limits of a process on a VM with this memory, if it is known.
    pub fn for_memory(memory: Option<ByteCount>) -> Self {
        let total = memory.map_or(DEFAULT_LIMIT, |ByteCount(bytes)| {
            let left = bytes.saturating_sub(CONTROL_BYTES) as f64;
            ((left * CALL_SHARE) as u64).max(MIN_LIMIT)
        });
        Self { total }
    }

    /// Returns the number of bytes that all calls may hold.
    pub const fn total(self) -> ByteCount {
        ByteCount(self.total)
    }

    /// Returns how many connections of callers fit into the memory beside the calls' bytes.
    pub const fn connections(self) -> usize {
        (self.total / CONNECTION_BYTES) as usize
    }

    /// Returns the part of the total up to which bytes for a purpose are granted.
    const fn up_to(self, purpose: HoldPurpose, is_large: bool) -> u64 {
        match (purpose, is_large) {
            (_, true) => self.total / 4 * 3,
            (HoldPurpose::Body, false) => self.total / 8 * 7,
            (HoldPurpose::Answer | HoldPurpose::Stream, false) => self.total,
        }
    }

    /// Returns the sum from which stalled connections are ended.
    const fn pressure(self) -> u64 {
        self.total / 2
    }
}

/// What bytes are held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum HoldPurpose {
    /// The body of a call.
    Body,
    /// An answer that is read to its end before it is forwarded, or an incomplete event.
    Answer,
    /// Events that were read ahead of the caller.
    Stream,
}

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum CallPhase {
    /// The caller sends the body.
    Reading,
    /// An endpoint handles the call, or no call is in progress.
    Waiting,
    /// The caller takes the answer.
    Answering,
}

/// Whether bytes may be held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum HoldDecision {
    /// The bytes are counted and may be read.
    Granted,
    /// The source of the bytes may not be read now.
    Wait,
    /// The call has to be refused.
    Refused,
}

/// A decision about bytes, with the connection that has to be ended for lack of memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HoldReply {
    /// Whether the bytes may be held.
    pub decision: HoldDecision,
    /// The connection that has to be ended.
    pub end: Option<ConnectionId>,
}

/// Identifies a caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// The bytes of one connection.
#[derive(Debug)]
struct ConnectionShare {
    body: u64,
    answer: u64,
    stream: u64,
    phase: CallPhase,
    phase_since: Timestamp,
    recent_bytes: f64,
    recent_at: Timestamp,
    is_ended: bool,
    is_closed: bool,
}

impl ConnectionShare {
    const fn new(now: Timestamp) -> Self {
        Self {
            body: 0,
            answer: 0,
            stream: 0,
            phase: CallPhase::Waiting,
            phase_since: now,
            recent_bytes: 0.0,
            recent_at: now,
            is_ended: false,
            is_closed: false,
        }
    }

    const fn held(&self) -> u64 {
        self.body + self.answer + self.stream
    }

    const fn part_mut(&mut self, purpose: HoldPurpose) -> &mut u64 {
        match purpose {
            HoldPurpose::Body => &mut self.body,
            HoldPurpose::Answer => &mut self.answer,
            HoldPurpose::Stream => &mut self.stream,
        }
    }

    /// Returns the bytes that are held because the caller has not sent or taken them.
    const fn owed(&self) -> u64 {
        match self.phase {
            CallPhase::Reading => self.body,
            CallPhase::Waiting => 0,
            CallPhase::Answering => self.answer + self.stream,
        }
    }

    /// Returns the recent rate of the connection in bytes per second.
    fn rate(&self, now: Timestamp) -> f64 {
        let age = now.since(self.recent_at).as_secs_f64();
        let per_second = std::f64::consts::LN_2 / RATE_HALF_LIFE_S;
        self.recent_bytes * (-age / RATE_HALF_LIFE_S).exp2() * per_second
    }

    fn record_bytes(&mut self, now: Timestamp, bytes: u64) {
        let age = now.since(self.recent_at).as_secs_f64();
        self.recent_bytes *= (-age / RATE_HALF_LIFE_S).exp2();
        self.recent_bytes += bytes as f64;
        self.recent_at = now;
    }

    /// Returns whether the caller moves so little that its bytes would be held for too long.
    fn is_stalled(&self, now: Timestamp) -> bool {
        let owed = self.owed();
        owed >= MIN_STALLED_BYTES
            && now.since(self.phase_since) >= STALL_GRACE
            && self.rate(now) * MAX_DRAIN_TIME_S < owed as f64
    }
}

/// The bytes that a process holds for calls, by connection and in total.
#[derive(Debug, Default)]
pub struct MemoryBudget {
    limits: MemoryLimits,
    connections: BTreeMap<ConnectionId, ConnectionShare>,
    last_id: u64,
    held: u64,
    ending: u64,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is held.
    pub fn new(limits: MemoryLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Returns the limits.
    pub const fn limits(&self) -> MemoryLimits {
        self.limits
    }

    /// Returns the bytes that all connections hold.
    pub const fn held(&self) -> ByteCount {
        ByteCount(self.held)
    }

    /// Returns the bytes that a connection holds.
    pub fn held_by(&self, id: ConnectionId) -> ByteCount {
        ByteCount(self.connections.get(&id).map_or(0, ConnectionShare::held))
    }

    /// Returns the number of connections that are open or still hold bytes.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Adds a connection.
    pub fn open(&mut self, now: Timestamp) -> ConnectionId {
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        self.connections.insert(id, ConnectionShare::new(now));
        id
    }

    /// Records that a connection was closed. Bytes that an endpoint's connection still holds for it
    /// are counted until they are released.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(share) = self.connections.get_mut(&id) {
            share.is_closed = true;
            self.remove_if_empty(id);
        }
    }

    /// Records what a connection waits for from now on.
    pub fn set_phase(&mut self, now: Timestamp, id: ConnectionId, phase: CallPhase) {
        if let Some(share) = self.connections.get_mut(&id)
            && share.phase != phase
        {
            share.phase = phase;
            share.phase_since = now;
        }
    }

    /// Records that the caller sent or took bytes.
    pub fn record_progress(&mut self, now: Timestamp, id: ConnectionId, bytes: u64) {
        if let Some(share) = self.connections.get_mut(&id) {
            share.record_bytes(now, bytes);
        }
    }

    /// Decides whether a connection may hold further bytes, and counts them if it may.
    ///
    /// A body that is not granted is refused. Answers wait: the endpoint is not read until bytes
    /// were released, or the connection that is named has ended.
    pub fn request(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        purpose: HoldPurpose,
        bytes: u64,
    ) -> HoldReply {
        let denied = match purpose {
            HoldPurpose::Body => HoldDecision::Refused,
            HoldPurpose::Answer | HoldPurpose::Stream => HoldDecision::Wait,
        };
        let reply = |decision, end| HoldReply { decision, end };
        let Some(share) = self.connections.get(&id).filter(|share| !share.is_ended) else {
            return reply(denied, None);
        };
        let is_ahead = purpose == HoldPurpose::Stream
            && share.stream > 0
            && share.stream + bytes > MAX_STREAM_BYTES;
        if is_ahead {
            return reply(HoldDecision::Wait, None);
        }
        let is_large = share.held() + bytes > LARGE_BYTES;
        if self.held + bytes > self.limits.up_to(purpose, is_large) {
            let end = self.end_one(now, denied == HoldDecision::Wait);
            return reply(denied, end);
        }
        self.held += bytes;
        if let Some(share) = self.connections.get_mut(&id) {
            *share.part_mut(purpose) += bytes;
        }
        let end = if self.held - self.ending > self.limits.pressure() {
            self.end_one(now, false)
        } else {
            None
        };
        reply(HoldDecision::Granted, end)
    }

    /// Records that bytes are no longer held.
    pub fn release(&mut self, id: ConnectionId, purpose: HoldPurpose, bytes: u64) {
        let Some(share) = self.connections.get_mut(&id) else {
            return;
        };
        let part = share.part_mut(purpose);
        let released = bytes.min(*part);
        *part -= released;
        self.held -= released;
        if share.is_ended {
            self.ending -= released;
        }
        self.remove_if_empty(id);
    }

    fn remove_if_empty(&mut self, id: ConnectionId) {
        let is_gone = self
            .connections
            .get(&id)
            .is_some_and(|share| share.is_closed && share.held() == 0);
        if is_gone {
            self.connections.remove(&id);
        }
    }

    /// Selects a connection to end: the stalled one that holds most and progresses least. If an
    /// answer waits and no connection is stalled, one that waits for an endpoint is selected as well.
    fn end_one(&mut self, now: Timestamp, is_spent: bool) -> Option<ConnectionId> {
        if self.ending > 0 {
            // What ends already may be enough.
            return None;
        }
        let stalled = self.worst(now, ConnectionShare::owed, |share| share.is_stalled(now));
        let id = stalled.or_else(|| {
            let is_idle = |share: &ConnectionShare| {
                now.since(share.phase_since.max(share.recent_at)) >= SPENT_GRACE
            };
            is_spent
                .then(|| self.worst(now, ConnectionShare::held, is_idle))
                .flatten()
        })?;
        let share = self.connections.get_mut(&id)?;
        share.is_ended = true;
        self.ending += share.held();
        Some(id)
    }

    fn worst(
        &self,
        now: Timestamp,
        bytes: impl Fn(&ConnectionShare) -> u64,
        is_candidate: impl Fn(&ConnectionShare) -> bool,
    ) -> Option<ConnectionId> {
        let score = |share: &ConnectionShare| bytes(share) as f64 / (share.rate(now) + RATE_FLOOR);
        self.connections
            .iter()
            .filter(|(_, share)| !share.is_ended && !share.is_closed && bytes(share) > 0)
            .filter(|(_, share)| is_candidate(share))
            .max_by(|(_, one), (_, other)| score(one).total_cmp(&score(other)))
            .map(|(id, _)| *id)
    }
}
