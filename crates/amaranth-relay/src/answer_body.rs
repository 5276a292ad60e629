//! Bodies of answers to callers.

use bytes::Bytes;
use futures::Stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full, StreamBody};
use hyper::body::Frame;

/// Why the body of an answer ends before it is complete. The connection is closed with it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the answer broke off: {0}")]
pub struct AnswerBroken(pub String);

/// The body of an answer to a caller.
pub type AnswerBody = UnsyncBoxBody<Bytes, AnswerBroken>;

/// Returns a body without bytes.
pub fn empty() -> AnswerBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body that is known whole.
pub fn whole(bytes: Bytes) -> AnswerBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a body that arrives piece by piece.
pub fn pieces(
    stream: impl Stream<Item = Result<Frame<Bytes>, AnswerBroken>> + Send + 'static,
) -> AnswerBody {
    StreamBody::new(stream).boxed_unsync()
}
