//! The event stream of one answer, which any number of readers can follow.

use std::time::Duration;

use amaranth_core::ids::{AdapterRef, RequestId};
use amaranth_core::request::RequestPriority;
use axum::body::Body;
use bytes::Bytes;
use futures::stream;
use tokio::sync::watch;
use tokio::time::Instant;

use super::answer_text::{AnswerFormat, token_text};

/// The way in which an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// Every token was generated.
    Complete,
    /// The answer was cancelled or the engine aborted it.
    Aborted,
}

/// The events and the end of an answer so far.
#[derive(Debug, Clone, Default)]
pub struct StreamProgress {
    /// Data of each event.
    pub events: Vec<Bytes>,
    /// End of the answer, once it has ended.
    pub end: Option<StreamEnd>,
}

/// The request that an answer belongs to.
#[derive(Debug, Clone)]
pub struct StreamRequest {
    /// Adapter, if the request is for one.
    pub adapter: Option<AdapterRef>,
    /// Model name as the request has it.
    pub model: String,
    /// Text of the prompt.
    pub prompt: String,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Number of tokens to generate.
    pub tokens: u32,
    /// Whether a last event carries the token counts.
    pub with_usage: bool,
    /// Priority in the queue for the batch.
    pub priority: RequestPriority,
    /// Format of the events.
    pub format: AnswerFormat,
    /// Number of tokens after which a fault makes the engine abort the answer, if one does.
    pub aborts_after: Option<u32>,
}

/// One answer, which grows by a token in each step of the batch.
#[derive(Debug)]
pub struct EngineStream {
    /// Request that the answer belongs to.
    pub request: StreamRequest,
    /// Events generated so far.
    pub progress: watch::Sender<StreamProgress>,
}

impl EngineStream {
    /// Creates an answer without tokens.
    pub fn new(request: StreamRequest) -> Self {
        Self {
            request,
            progress: watch::Sender::default(),
        }
    }

    /// Returns the id of the request.
    pub const fn id(&self) -> RequestId {
        self.request.format.id
    }

    /// Generates token `index` and returns the end of the answer if it has ended.
    pub fn generate(&self, index: u32) -> Option<StreamEnd> {
        let request = &self.request;
        if request.aborts_after == Some(index) {
            self.finish(StreamEnd::Aborted);
            return Some(StreamEnd::Aborted);
        }
        let text = token_text(&request.model, &request.prompt, index);
        let event = request.format.event(&text, index, request.tokens);
        let is_last = index + 1 >= request.tokens;
        let usage = (is_last && request.with_usage).then(|| {
            let format = &request.format;
            format.usage_event(request.prompt_tokens, request.tokens)
        });
        self.progress.send_modify(|progress| {
            progress.events.push(event);
            progress.events.extend(usage);
            progress.end = is_last.then_some(StreamEnd::Complete);
        });
        is_last.then_some(StreamEnd::Complete)
    }

    /// Ends the answer unless it has already ended.
    pub fn finish(&self, end: StreamEnd) {
        self.progress.send_modify(|progress| {
            progress.end.get_or_insert(end);
        });
    }
}

/// An ended answer that is retained for resumption.
#[derive(Debug)]
pub struct RetainedStream {
    /// Id of the request.
    pub id: RequestId,
    /// Time at which the answer ended.
    pub ended_at: Instant,
}

impl RetainedStream {
    /// Returns whether the answer ended within `window` and can still be resumed.
    pub fn is_retained(&self, window: Duration) -> bool {
        self.ended_at.elapsed() <= window
    }
}

/// A fault of one connection, with the number of events sent before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionFault {
    /// No fault.
    None,
    /// The connection is aborted.
    AbortAfter(usize),
    /// The connection stays open but sends nothing more.
    SilentAfter(usize),
}

/// The position of one reader in an answer.
struct StreamReader {
    progress: watch::Receiver<StreamProgress>,
    next: usize,
    sent: usize,
    fault: ConnectionFault,
    closed: bool,
}

impl StreamReader {
    /// Returns the next bytes of the body, or `None` at its end.
    async fn next(&mut self) -> Option<std::io::Result<Bytes>> {
        if self.closed {
            return None;
        }
        match self.fault {
            ConnectionFault::AbortAfter(events) if self.sent >= events => {
                return self.abort().await;
            }
            ConnectionFault::SilentAfter(events) if self.sent >= events => {
                return std::future::pending().await;
            }
            _ => {}
        }
        match self.wait_for_event().await {
            (Some(event), _) => {
                self.next += 1;
                self.sent += 1;
                Some(Ok(encode_event(&event)))
            }
            (None, Some(StreamEnd::Complete)) => {
                self.closed = true;
                Some(Ok(encode_event(b"[DONE]")))
            }
            (None, _) => self.abort().await,
        }
    }

    /// Waits for the next event or the end.
    async fn wait_for_event(&mut self) -> (Option<Bytes>, Option<StreamEnd>) {
        let next = self.next;
        let ready =
            |progress: &StreamProgress| progress.events.len() > next || progress.end.is_some();
        match self.progress.wait_for(ready).await {
            Ok(progress) => (progress.events.get(next).cloned(), progress.end),
            Err(_) => (None, Some(StreamEnd::Aborted)),
        }
    }

    /// Ends the body with an error, which aborts the connection.
    async fn abort(&mut self) -> Option<std::io::Result<Bytes>> {
        self.closed = true;
        // The server flushes earlier events only when it has to wait, which a yield causes.
        tokio::task::yield_now().await;
        Some(Err(std::io::ErrorKind::ConnectionAborted.into()))
    }
}

/// Returns a server-sent event with the given data.
fn encode_event(data: &[u8]) -> Bytes {
    let mut event = Vec::with_capacity(data.len() + 8);
    event.extend_from_slice(b"data: ");
    event.extend_from_slice(data);
    event.extend_from_slice(b"\n\n");
    event.into()
}

/// Returns an answer body with the events of `stream` from index `from` on.
pub fn event_body(stream: &EngineStream, from: usize, fault: ConnectionFault) -> Body {
    let reader = StreamReader {
        progress: stream.progress.subscribe(),
        next: from,
        sent: 0,
        fault,
        closed: false,
    };
    Body::from_stream(stream::unfold(reader, |mut reader| async {
        let bytes = reader.next().await?;
        Some((bytes, reader))
    }))
}
