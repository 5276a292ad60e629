//! The body of an endpoint's answer, which limits the bytes that bring no data.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::limited_stream::ReadAllowance;

/// Limit on the bytes between two frames of a body: the library's own buffer, and the framing of
/// chunks. The library parses framing without yielding to other tasks.
const MAX_BYTES_BETWEEN_FRAMES: usize = 1 << 20;

/// Returns whether the end of a body is marked by its length or by chunks. Otherwise the body ends
/// with the connection, and its end does not prove that it is complete.
pub fn is_delimited(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// The body of an answer. Each frame renews the number of bytes that its connection may read.
#[derive(Debug)]
pub struct EndpointBody {
    body: Incoming,
    allowance: ReadAllowance,
}

impl EndpointBody {
    /// Wraps the body of an answer on the connection with `allowance`.
    pub fn new(body: Incoming, allowance: ReadAllowance) -> Self {
        allowance.set(MAX_BYTES_BETWEEN_FRAMES);
        Self { body, allowance }
    }
}

impl Body for EndpointBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if matches!(frame, Some(Ok(_))) {
            self.allowance.set(MAX_BYTES_BETWEEN_FRAMES);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
