//! Reading of a whole body into memory that is counted first.

use std::time::Duration;

use amaranth_dispatch::memory_budget::HoldDecision;
use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::Instant;

use crate::caller_memory::MemoryLease;

/// Smallest number of bytes that a lease grows by if the length of a body is not stated.
const MIN_GROWTH: usize = 4 << 10;

/// Time for which an answer that has arrived in part waits for memory. Endpoints end answers that stay
/// unread for longer.
const MAX_MEMORY_WAIT: Duration = Duration::from_secs(2);

/// The part of a stated length that is leased before any byte of an answer has arrived: an endpoint
/// may state a length and send nothing.
const MAX_UNSEEN_ANSWER: usize = 64 << 10;

/// The cause of a body that was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadFailure {
    /// The body is longer than its limit.
    TooLarge,
    /// The memory for the body was not granted.
    MemorySpent,
    /// The connection ended within the body.
    Broken,
}

/// How a body is read.
#[derive(Debug, Clone, Copy)]
pub struct ReadRules {
    /// The largest length of the body.
    pub limit: usize,
    /// The deadline of the call.
    pub until: Instant,
}

/// Reads the body of a caller's request. Its stated length is leased before it is read.
///
/// # Errors
///
/// Returns why the body was not read.
pub async fn read_request<B>(
    body: B,
    lease: MemoryLease,
    rules: ReadRules,
) -> Result<Bytes, ReadFailure>
where
    B: Body<Data = Bytes> + Unpin,
{
    let stated = stated_length(&body).unwrap_or(0);
    read(body, lease, rules, stated).await
}

/// Reads the body of an endpoint's answer.
///
/// # Errors
///
/// Returns why the body was not read.
pub async fn read_answer<B>(
    body: B,
    lease: MemoryLease,
    rules: ReadRules,
) -> Result<Bytes, ReadFailure>
where
    B: Body<Data = Bytes> + Unpin,
{
    let stated = stated_length(&body).unwrap_or(0);
    read(body, lease, rules, stated.min(MAX_UNSEEN_ANSWER)).await
}

fn stated_length(body: &impl Body) -> Option<usize> {
    let length = body.size_hint().exact()?;
    Some(usize::try_from(length).unwrap_or(usize::MAX))
}

async fn read<B>(
    mut body: B,
    lease: MemoryLease,
    rules: ReadRules,
    first_lease: usize,
) -> Result<Bytes, ReadFailure>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut buffer = LeasedBuffer {
        bytes: BytesMut::new(),
        lease,
    };
    if stated_length(&body).is_some_and(|length| length > rules.limit) {
        return Err(ReadFailure::TooLarge);
    }
    buffer.grow(first_lease, rules).await?;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(ReadFailure::Broken);
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = buffer.bytes.len() + data.remaining();
        if length > rules.limit {
            return Err(ReadFailure::TooLarge);
        }
        buffer.reserve(length, rules).await?;
        buffer.bytes.extend_from_slice(&data);
    }
    Ok(buffer.finish())
}

/// Bytes whose capacity is leased.
struct LeasedBuffer {
    bytes: BytesMut,
    lease: MemoryLease,
}

impl LeasedBuffer {
    async fn reserve(&mut self, length: usize, rules: ReadRules) -> Result<(), ReadFailure> {
        let leased = self.lease.bytes();
        if length <= leased {
            return Ok(());
        }
        let doubled = (leased * 2).max(length).max(MIN_GROWTH);
        self.grow(doubled.min(rules.limit) - leased, rules).await
    }

    async fn grow(&mut self, bytes: usize, rules: ReadRules) -> Result<(), ReadFailure> {
        let until = rules.until.min(Instant::now() + MAX_MEMORY_WAIT);
        if self.lease.grow_by(bytes, until).await != HoldDecision::Granted {
            return Err(ReadFailure::MemorySpent);
        }
        let further = self.lease.bytes() - self.bytes.len();
        self.bytes.reserve(further);
        Ok(())
    }

    fn finish(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        self.lease.attach(self.bytes.freeze())
    }
}
