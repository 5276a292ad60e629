//! Leases of bytes that the process holds for callers' connections.

use std::collections::HashMap;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use amaranth_dispatch::memory_budget::{
    ByteCount, CallPhase, ConnectionId, HoldDecision, HoldPurpose, HoldReply, MemoryBudget,
    MemoryLimits,
};
use bytes::Bytes;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::suspend_clock::SuspendClock;

/// Interval at which a waiting answer asks for memory again, since connections become stalled with
/// time.
const WAIT_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a caller whose call is refused may read the refusal.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// The memory budget of a process, which its connections share.
#[derive(Debug)]
pub struct MemoryGauge {
    clock: SuspendClock,
    budget: Mutex<MemoryBudget>,
    endings: Mutex<HashMap<ConnectionId, Arc<Notify>>>,
    released: Notify,
}

impl MemoryGauge {
    /// Creates the gauge of a process with these limits.
    pub fn new(clock: SuspendClock, limits: MemoryLimits) -> Arc<Self> {
        Arc::new(Self {
            clock,
            budget: Mutex::new(MemoryBudget::new(limits)),
            endings: Mutex::default(),
            released: Notify::new(),
        })
    }

    /// Returns the number of bytes that are held for all connections.
    pub fn held(&self) -> ByteCount {
        self.budget().held()
    }

    /// Returns the limits.
    pub fn limits(&self) -> MemoryLimits {
        self.budget().limits()
    }

    /// Adds a caller's connection.
    pub fn open(self: &Arc<Self>) -> Arc<CallerMemory> {
        let id = self.budget().open(self.clock.now());
        let ended = Arc::new(Notify::new());
        self.endings().insert(id, Arc::clone(&ended));
        Arc::new(CallerMemory {
            gauge: Arc::clone(self),
            id,
            ended,
            refused: Notify::new(),
            is_reading: AtomicBool::new(false),
        })
    }

    fn budget(&self) -> MutexGuard<'_, MemoryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn endings(&self) -> MutexGuard<'_, HashMap<ConnectionId, Arc<Notify>>> {
        self.endings.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn request(&self, id: ConnectionId, purpose: HoldPurpose, bytes: usize) -> HoldDecision {
        let HoldReply { decision, end } =
            self.budget()
                .request(self.clock.now(), id, purpose, bytes as u64);
        if let Some(end) = end {
            log::warn!(
                "event=connection_ended cause=memory purpose={purpose} connection_bytes={} held_bytes={}",
                self.budget().held_by(end).0,
                self.held().0
            );
            metrics::counter!("amaranth_connections_ended_total").increment(1);
            if let Some(ended) = self.endings().get(&end) {
                ended.notify_one();
            }
        }
        decision
    }

    fn release(&self, id: ConnectionId, purpose: HoldPurpose, bytes: usize) {
        self.budget().release(id, purpose, bytes as u64);
        self.released.notify_waiters();
    }
}

/// The memory of one caller's connection.
#[derive(Debug)]
pub struct CallerMemory {
    gauge: Arc<MemoryGauge>,
    id: ConnectionId,
    ended: Arc<Notify>,
    refused: Notify,
    is_reading: AtomicBool,
}

impl CallerMemory {
    /// Waits until the connection has to be closed because the memory is spent. A call whose body is
    /// being read is refused first.
    pub async fn ended(&self) {
        self.ended.notified().await;
        if self.is_reading.load(Ordering::Relaxed) {
            self.refused.notify_one();
            sleep(REFUSAL_TIME).await;
        }
    }

    /// Waits until the call whose body is being read has to be refused because the memory is spent.
    pub async fn refused(&self) {
        self.refused.notified().await;
    }

    /// Records what the connection waits for from now on.
    pub fn set_phase(&self, phase: CallPhase) {
        let is_reading = phase == CallPhase::Reading;
        self.is_reading.store(is_reading, Ordering::Relaxed);
        let now = self.gauge.clock.now();
        self.gauge.budget().set_phase(now, self.id, phase);
    }

    /// Returns a lease that holds no bytes yet.
    pub fn lease(self: &Arc<Self>, purpose: HoldPurpose) -> MemoryLease {
        MemoryLease {
            memory: Arc::clone(self),
            purpose,
            bytes: 0,
        }
    }

    fn record_progress(&self, bytes: usize) {
        let now = self.gauge.clock.now();
        self.gauge
            .budget()
            .record_progress(now, self.id, bytes as u64);
    }
}

impl Drop for CallerMemory {
    fn drop(&mut self) {
        self.gauge.endings().remove(&self.id);
        self.gauge.budget().close(self.id);
    }
}

/// Bytes that are held for a connection until the lease is dropped.
#[derive(Debug)]
pub struct MemoryLease {
    memory: Arc<CallerMemory>,
    purpose: HoldPurpose,
    bytes: usize,
}

impl MemoryLease {
    /// Returns the number of bytes that the lease holds.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Asks for further bytes, which are held only if the decision grants them.
    pub fn grow(&mut self, bytes: usize) -> HoldDecision {
        if bytes == 0 {
            return HoldDecision::Granted;
        }
        let decision = self
            .memory
            .gauge
            .request(self.memory.id, self.purpose, bytes);
        if decision == HoldDecision::Granted {
            self.bytes += bytes;
        }
        decision
    }

    /// Asks for further bytes until they are granted or refused, or `until` has passed.
    pub async fn grow_by(&mut self, bytes: usize, until: Instant) -> HoldDecision {
        loop {
            let memory = Arc::clone(&self.memory);
            let released = memory.gauge.released.notified();
            tokio::pin!(released);
            released.as_mut().enable();
            let decision = self.grow(bytes);
            if decision != HoldDecision::Wait || Instant::now() >= until {
                return decision;
            }
            // Whatever ended the wait, the budget decides again.
            let _ = timeout_at(until, timeout(WAIT_INTERVAL, released)).await;
        }
    }

    /// Reduces the lease to a number of bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        if excess > 0 {
            self.bytes -= excess;
            self.memory
                .gauge
                .release(self.memory.id, self.purpose, excess);
        }
    }

    /// Returns bytes that are counted until the last reference to them is dropped.
    pub fn attach(self, bytes: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        Bytes::from_owner(LeasedBytes {
            bytes,
            _lease: self,
        })
    }
}

impl Drop for MemoryLease {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

struct LeasedBytes<B> {
    bytes: B,
    _lease: MemoryLease,
}

impl<B: AsRef<[u8]>> AsRef<[u8]> for LeasedBytes<B> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// A caller's TCP stream, which records the bytes that the caller sends and takes.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    memory: Arc<CallerMemory>,
}

impl CallerStream {
    /// Wraps a stream.
    pub const fn new(stream: TcpStream, memory: Arc<CallerMemory>) -> Self {
        Self { stream, memory }
    }

    fn record_written(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = written {
            self.memory.record_progress(bytes);
        }
        written
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.memory.record_progress(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_written(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.record_written(written)
    }
}
