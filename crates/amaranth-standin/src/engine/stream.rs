//! One answer as it grows, with any number of readers.

use std::time::Duration;

use amaranth_core::ids::{AdapterRef, RequestId};
use amaranth_core::request::RequestPriority;
use axum::body::Body;
use bytes::Bytes;
use futures::stream;
use tokio::sync::watch;
use tokio::time::Instant;

use super::answer_text::{AnswerShape, token_text};

/// How an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// Every token was generated.
    Whole,
    /// It was cancelled, or the engine gave it up.
    BrokenOff,
}

/// What is generated so far.
#[derive(Debug, Clone, Default)]
pub struct StreamProgress {
    /// The data of each event.
    pub events: Vec<Bytes>,
    /// The end, once reached.
    pub end: Option<StreamEnd>,
}

/// What a stream's request asked for.
#[derive(Debug, Clone)]
pub struct StreamRequest {
    /// The adapter, if any.
    pub adapter: Option<AdapterRef>,
    /// The exact model name.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens to generate.
    pub tokens: u32,
    /// Whether a last event states the token counts.
    pub with_usage: bool,
    /// The priority.
    pub priority: RequestPriority,
    /// The shape of its events.
    pub shape: AnswerShape,
    /// Tokens after which the engine gives the answer up.
    pub fails_after: Option<u32>,
}

/// One answer.
#[derive(Debug)]
pub struct EngineStream {
    /// What was asked.
    pub request: StreamRequest,
    /// What is generated so far.
    pub progress: watch::Sender<StreamProgress>,
}

impl EngineStream {
    /// Opens an answer without tokens.
    pub fn open(request: StreamRequest) -> Self {
        Self {
            request,
            progress: watch::Sender::default(),
        }
    }

    /// Returns the request's id.
    pub const fn id(&self) -> RequestId {
        self.request.shape.id
    }

    /// Generates the next token and returns the end if that was the last one.
    pub fn generate(&self, index: u32) -> Option<StreamEnd> {
        let request = &self.request;
        if request.fails_after == Some(index) {
            self.end(StreamEnd::BrokenOff);
            return Some(StreamEnd::BrokenOff);
        }
        let text = token_text(&request.model, &request.prompt, index);
        let event = request.shape.event(&text, index, request.tokens);
        let last = index + 1 >= request.tokens;
        let usage = (last && request.with_usage).then(|| {
            let shape = &request.shape;
            shape.usage_event(request.prompt_tokens, request.tokens)
        });
        self.progress.send_modify(|progress| {
            progress.events.push(event);
            progress.events.extend(usage);
            progress.end = last.then_some(StreamEnd::Whole);
        });
        last.then_some(StreamEnd::Whole)
    }

    /// Ends the answer unless it has ended.
    pub fn end(&self, end: StreamEnd) {
        self.progress.send_modify(|progress| {
            progress.end.get_or_insert(end);
        });
    }
}

/// An answer that ended, kept for readers that come again.
#[derive(Debug)]
pub struct EndedStream {
    /// The request.
    pub id: RequestId,
    /// When it ended.
    pub ended: Instant,
}

impl EndedStream {
    /// Returns whether readers may still come.
    pub fn is_kept(&self, window: Duration) -> bool {
        self.ended.elapsed() <= window
    }
}

/// What goes wrong with one connection, after how many events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionFault {
    /// Nothing.
    None,
    /// It breaks off.
    BreakAfter(usize),
    /// It goes silent for good.
    SilentAfter(usize),
}

/// One reader's place in an answer.
struct StreamReader {
    progress: watch::Receiver<StreamProgress>,
    next: usize,
    sent: usize,
    fault: ConnectionFault,
    closed: bool,
}

impl StreamReader {
    /// Returns the next bytes of the body, or nothing at its end.
    async fn next(&mut self) -> Option<std::io::Result<Bytes>> {
        if self.closed {
            return None;
        }
        match self.fault {
            ConnectionFault::BreakAfter(events) if self.sent >= events => {
                return self.cut().await;
            }
            ConnectionFault::SilentAfter(events) if self.sent >= events => {
                return std::future::pending().await;
            }
            _ => {}
        }
        match self.await_event().await {
            (Some(event), _) => {
                self.next += 1;
                self.sent += 1;
                Some(Ok(encode_event(&event)))
            }
            (None, Some(StreamEnd::Whole)) => {
                self.closed = true;
                Some(Ok(encode_event(b"[DONE]")))
            }
            (None, _) => self.cut().await,
        }
    }

    /// Waits for the next event or the end.
    async fn await_event(&mut self) -> (Option<Bytes>, Option<StreamEnd>) {
        let next = self.next;
        let ready =
            |progress: &StreamProgress| progress.events.len() > next || progress.end.is_some();
        match self.progress.wait_for(ready).await {
            Ok(progress) => (progress.events.get(next).cloned(), progress.end),
            Err(_) => (None, Some(StreamEnd::BrokenOff)),
        }
    }

    async fn cut(&mut self) -> Option<std::io::Result<Bytes>> {
        self.closed = true;
        // The server flushes earlier events whenever it has to wait for the next one.
        tokio::task::yield_now().await;
        Some(Err(std::io::ErrorKind::ConnectionAborted.into()))
    }
}

fn encode_event(data: &[u8]) -> Bytes {
    let mut event = Vec::with_capacity(data.len() + 8);
    event.extend_from_slice(b"data: ");
    event.extend_from_slice(data);
    event.extend_from_slice(b"\n\n");
    event.into()
}

/// Returns the events of `stream` from number `from` on as the body of an answer.
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
