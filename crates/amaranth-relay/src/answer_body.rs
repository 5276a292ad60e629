//! HTTP bodies of answers to callers.

use bytes::Bytes;
use futures::Stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full, StreamBody};
use hyper::body::Frame;

/// An error that ends the body of an answer before it is complete and closes the connection.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the answer ended early: {0}")]
pub struct AnswerBroken(pub String);

/// The body of an answer to a caller.
pub type AnswerBody = UnsyncBoxBody<Bytes, AnswerBroken>;

/// Returns an empty body.
pub fn empty() -> AnswerBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body whose bytes are all known.
pub fn full(bytes: Bytes) -> AnswerBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a body that is sent as its frames arrive.
pub fn streamed(
    stream: impl Stream<Item = Result<Frame<Bytes>, AnswerBroken>> + Send + 'static,
) -> AnswerBody {
    StreamBody::new(stream).boxed_unsync()
}
