//! Answers that are read while replies are misrouted, delayed and duplicated.

use std::collections::VecDeque;

use amaranth_control::answer_cursor::{
    AnswerCursor, CursorEvent, CursorLimits, CursorStep, ForwardedChunks,
};
use amaranth_core::errors::{Error, ErrorKind};
use amaranth_core::ids::{RequestId, Sequence};
use amaranth_core::request::{AnswerBatch, AnswerChunk, AnswerEnd};
use bytes::Bytes;
use proptest::collection::vec;
use proptest::prelude::{ProptestConfig, Strategy, any};
use proptest::strategy::{Just, ValueTree};
use proptest::test_runner::{RngAlgorithm, RngSeed, TestRng, TestRunner};
use proptest::{prop_oneof, proptest};

const STREAMS: usize = 6;
const CHUNKS: u64 = 8;

/// One event of a schedule.
#[derive(Debug, Clone)]
enum Step {
    /// A reply in transit reaches its own reader.
    Deliver(usize),
    /// A copy of a reply in transit reaches another reader.
    Misroute(usize, usize),
    /// A reply in transit is duplicated.
    Duplicate(usize),
    /// A reader's connection is lost with the replies in transit on it, or the reader believes it
    /// lost while the replies still arrive.
    Lose(usize, bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => any::<usize>().prop_map(Step::Deliver),
        2 => (any::<usize>(), any::<usize>()).prop_map(|(reply, to)| Step::Misroute(reply, to)),
        2 => any::<usize>().prop_map(Step::Duplicate),
        2 => (any::<usize>(), prop_oneof![Just(false), Just(true)])
            .prop_map(|(stream, late)| Step::Lose(stream, late)),
    ]
}

/// Reader that a simulation drives.
trait Reader {
    fn new(id: RequestId) -> Self;
    fn handle(&mut self, event: CursorEvent) -> (ForwardedChunks, CursorStep);
}

impl Reader for AnswerCursor {
    fn new(id: RequestId) -> Self {
        let limits = CursorLimits {
            lost_connections: u32::MAX,
            endpoints: 1,
        };
        AnswerCursor::new(id, limits)
    }

    fn handle(&mut self, event: CursorEvent) -> (ForwardedChunks, CursorStep) {
        let update = self.handle(event);
        (update.chunks, update.step)
    }
}

/// Forwards every chunk that arrives, and requests the one after the last chunk received.
struct NaiveReader {
    next: Sequence,
}

impl Reader for NaiveReader {
    fn new(_id: RequestId) -> Self {
        Self { next: Sequence(0) }
    }

    fn handle(&mut self, event: CursorEvent) -> (ForwardedChunks, CursorStep) {
        let CursorEvent::Batch(batch) = event else {
            return (ForwardedChunks::new(), CursorStep::Read(self.next));
        };
        if let Some(chunk) = batch.chunks.last() {
            self.next = chunk.sequence.next();
        }
        let step = match batch.end {
            Some(_) => CursorStep::Complete,
            None => CursorStep::Read(self.next),
        };
        (batch.chunks.into_iter().collect(), step)
    }
}

struct Stream<R> {
    reader: R,
    forwarded: Vec<Bytes>,
    ended: Option<CursorStep>,
}

struct Reply {
    stream: usize,
    batch: AnswerBatch,
}

/// Simulation of several streams over one network.
struct Simulation<R> {
    streams: Vec<Stream<R>>,
    replies: VecDeque<Reply>,
}

fn id(stream: usize) -> RequestId {
    RequestId(stream as u128 + 1)
}

fn chunk(stream: usize, sequence: u64) -> AnswerChunk {
    AnswerChunk {
        sequence: Sequence(sequence),
        data: Bytes::from(format!("stream {stream} chunk {sequence}")),
    }
}

/// Returns an agent's reply to a read: at most two chunks, and the end with the last one.
fn reply_to(stream: usize, from: Sequence) -> Reply {
    let end = (from.0 + 2).min(CHUNKS);
    Reply {
        stream,
        batch: AnswerBatch {
            id: id(stream),
            chunks: (from.0..end).map(|number| chunk(stream, number)).collect(),
            end: (end == CHUNKS).then_some(AnswerEnd::Complete),
        },
    }
}

impl<R: Reader> Simulation<R> {
    fn new() -> Self {
        let new_stream = |stream| Stream {
            reader: R::new(id(stream)),
            forwarded: Vec::new(),
            ended: None,
        };
        Self {
            streams: (0..STREAMS).map(new_stream).collect(),
            replies: (0..STREAMS)
                .map(|stream| reply_to(stream, Sequence(0)))
                .collect(),
        }
    }

    fn run(&mut self, steps: &[Step]) {
        for step in steps {
            self.apply(step);
        }
        // Without further faults all replies in transit arrive.
        while let Some(reply) = self.replies.pop_front() {
            self.deliver(reply.stream, CursorEvent::Batch(reply.batch));
        }
    }

    fn apply(&mut self, step: &Step) {
        let count = self.replies.len();
        match step {
            Step::Deliver(choice) if count > 0 => {
                if let Some(reply) = self.replies.remove(choice % count) {
                    self.deliver(reply.stream, CursorEvent::Batch(reply.batch));
                }
            }
            Step::Misroute(choice, to) if count > 0 => {
                if let Some(reply) = self.replies.get(choice % count) {
                    let batch = reply.batch.clone();
                    self.deliver(to % STREAMS, CursorEvent::Batch(batch));
                }
            }
            Step::Duplicate(choice) if count > 0 => {
                if let Some(reply) = self.replies.get(choice % count) {
                    let duplicate = Reply {
                        stream: reply.stream,
                        batch: reply.batch.clone(),
                    };
                    self.replies.push_back(duplicate);
                }
            }
            Step::Lose(stream, late) => {
                let stream = stream % STREAMS;
                if !late {
                    self.replies.retain(|reply| reply.stream != stream);
                }
                let lost = CursorEvent::ConnectionLost("silence".to_owned());
                self.deliver(stream, lost);
            }
            _ => {}
        }
    }

    fn deliver(&mut self, number: usize, event: CursorEvent) {
        let stream = &mut self.streams[number];
        if stream.ended.is_some() {
            return;
        }
        let (chunks, step) = stream.reader.handle(event);
        stream
            .forwarded
            .extend(chunks.into_iter().map(|chunk| chunk.data));
        match step {
            CursorStep::Open => self.replies.push_back(reply_to(number, Sequence(0))),
            CursorStep::Read(from) => self.replies.push_back(reply_to(number, from)),
            end => stream.ended = Some(end),
        }
    }

    /// Returns whether every caller received its own complete answer, once and in order.
    fn is_complete(&self) -> bool {
        self.streams.iter().enumerate().all(|(number, stream)| {
            let expected: Vec<_> = (0..CHUNKS).map(|seq| chunk(number, seq).data).collect();
            stream.ended == Some(CursorStep::Complete) && stream.forwarded == expected
        })
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_caller_receives_its_own_complete_answer(steps in vec(step(), 0..120)) {
        let mut simulation = Simulation::<AnswerCursor>::new();
        simulation.run(&steps);
        assert!(simulation.is_complete());
    }
}

#[test]
fn naive_reader_mixes_answers() {
    let config = ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let schedules = vec(step(), 0..120);
    let broken = (0..200).filter(|_| {
        let steps = schedules
            .new_tree(&mut runner)
            .expect("the strategy generates a schedule")
            .current();
        let mut simulation = Simulation::<NaiveReader>::new();
        simulation.run(&steps);
        !simulation.is_complete()
    });
    let broken = broken.count();
    assert!(
        broken > 100,
        "only {broken} of 200 schedules break the naive reader"
    );
}

fn refusal(kind: ErrorKind) -> CursorEvent {
    CursorEvent::Refused(Error::new(kind, "refused"))
}

#[test]
fn another_endpoint_is_tried_only_before_the_first_chunk() {
    let mut cursor = AnswerCursor::new(id(0), CursorLimits::default());
    let failover = cursor.handle(refusal(ErrorKind::EndpointFailed)).step;
    assert!(matches!(failover, CursorStep::FailOver(_)));
    cursor.handle(CursorEvent::Batch(reply_to(0, Sequence(0)).batch));
    let failed = cursor.handle(refusal(ErrorKind::EndpointFailed)).step;
    assert!(matches!(failed, CursorStep::Fail(_)));
}

#[test]
fn a_gap_is_an_error_and_is_never_skipped() {
    let mut cursor = AnswerCursor::new(id(0), CursorLimits::default());
    let update = cursor.handle(CursorEvent::Batch(reply_to(0, Sequence(2)).batch));
    assert!(update.chunks.is_empty());
    assert!(matches!(update.step, CursorStep::Fail(_)));
}

#[test]
fn a_refusal_that_no_other_endpoint_can_resolve_is_final() {
    let mut cursor = AnswerCursor::new(id(0), CursorLimits::default());
    let step = cursor.handle(refusal(ErrorKind::InvalidRequest)).step;
    assert!(matches!(step, CursorStep::Fail(_)));
}
