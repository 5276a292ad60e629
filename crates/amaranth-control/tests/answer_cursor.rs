//! Answers that are read over crossing, delayed and doubled replies.

use std::collections::VecDeque;

use amaranth_control::answer_cursor::{
    AnswerCursor, CursorEvent, CursorLimits, CursorStep, PassedChunks,
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

/// What happens next.
#[derive(Debug, Clone)]
enum Step {
    /// A reply under way reaches the reader that it was meant for.
    Deliver(usize),
    /// A reply under way reaches another reader.
    Cross(usize, usize),
    /// A reply is doubled.
    Double(usize),
    /// A reader's connection is lost with what was under way on it, or believed lost while the
    /// reply still comes.
    Lose(usize, bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => any::<usize>().prop_map(Step::Deliver),
        2 => (any::<usize>(), any::<usize>()).prop_map(|(reply, to)| Step::Cross(reply, to)),
        2 => any::<usize>().prop_map(Step::Double),
        2 => (any::<usize>(), prop_oneof![Just(false), Just(true)])
            .prop_map(|(stream, late)| Step::Lose(stream, late)),
    ]
}

/// What a world drives.
trait Reader {
    fn open(id: RequestId) -> Self;
    fn take(&mut self, event: CursorEvent) -> (PassedChunks, CursorStep);
}

impl Reader for AnswerCursor {
    fn open(id: RequestId) -> Self {
        let limits = CursorLimits {
            lost_connections: u32::MAX,
            endpoints: 1,
        };
        AnswerCursor::open(id, limits)
    }

    fn take(&mut self, event: CursorEvent) -> (PassedChunks, CursorStep) {
        let moved = self.handle(event);
        (moved.chunks, moved.step)
    }
}

/// Passes on whatever arrives, and asks for what follows the last chunk it saw.
struct NaiveReader {
    next: Sequence,
}

impl Reader for NaiveReader {
    fn open(_id: RequestId) -> Self {
        Self { next: Sequence(0) }
    }

    fn take(&mut self, event: CursorEvent) -> (PassedChunks, CursorStep) {
        let CursorEvent::Batch(batch) = event else {
            return (PassedChunks::new(), CursorStep::Read(self.next));
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
    passed: Vec<Bytes>,
    ended: Option<CursorStep>,
}

struct Reply {
    stream: usize,
    batch: AnswerBatch,
}

/// Many streams over one network.
struct World<R> {
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

/// What an agent replies to a read: two chunks at most, and the end with the last.
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

impl<R: Reader> World<R> {
    fn open() -> Self {
        let open = |stream| Stream {
            reader: R::open(id(stream)),
            passed: Vec::new(),
            ended: None,
        };
        Self {
            streams: (0..STREAMS).map(open).collect(),
            replies: (0..STREAMS)
                .map(|stream| reply_to(stream, Sequence(0)))
                .collect(),
        }
    }

    fn run(&mut self, steps: &[Step]) {
        for step in steps {
            self.step(step);
        }
        // Without further faults everything that is under way arrives.
        while let Some(reply) = self.replies.pop_front() {
            self.tell(reply.stream, CursorEvent::Batch(reply.batch));
        }
    }

    fn step(&mut self, step: &Step) {
        let count = self.replies.len();
        match step {
            Step::Deliver(choice) if count > 0 => {
                if let Some(reply) = self.replies.remove(choice % count) {
                    self.tell(reply.stream, CursorEvent::Batch(reply.batch));
                }
            }
            Step::Cross(choice, to) if count > 0 => {
                if let Some(reply) = self.replies.get(choice % count) {
                    let batch = reply.batch.clone();
                    self.tell(to % STREAMS, CursorEvent::Batch(batch));
                }
            }
            Step::Double(choice) if count > 0 => {
                if let Some(reply) = self.replies.get(choice % count) {
                    let doubled = Reply {
                        stream: reply.stream,
                        batch: reply.batch.clone(),
                    };
                    self.replies.push_back(doubled);
                }
            }
            Step::Lose(stream, late) => {
                let stream = stream % STREAMS;
                if !late {
                    self.replies.retain(|reply| reply.stream != stream);
                }
                let lost = CursorEvent::ConnectionLost("silence".to_owned());
                self.tell(stream, lost);
            }
            _ => {}
        }
    }

    fn tell(&mut self, number: usize, event: CursorEvent) {
        let stream = &mut self.streams[number];
        if stream.ended.is_some() {
            return;
        }
        let (chunks, step) = stream.reader.take(event);
        stream
            .passed
            .extend(chunks.into_iter().map(|chunk| chunk.data));
        match step {
            CursorStep::Open => self.replies.push_back(reply_to(number, Sequence(0))),
            CursorStep::Read(from) => self.replies.push_back(reply_to(number, from)),
            end => stream.ended = Some(end),
        }
    }

    /// Returns whether every caller got its own whole answer, once and in order.
    fn is_whole(&self) -> bool {
        self.streams.iter().enumerate().all(|(number, stream)| {
            let expected: Vec<_> = (0..CHUNKS).map(|seq| chunk(number, seq).data).collect();
            stream.ended == Some(CursorStep::Complete) && stream.passed == expected
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
    fn every_caller_gets_its_own_whole_answer(steps in vec(step(), 0..120)) {
        let mut world = World::<AnswerCursor>::open();
        world.run(&steps);
        assert!(world.is_whole());
    }
}

#[test]
fn the_naive_reader_mixes_answers() {
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
            .expect("a schedule")
            .current();
        let mut world = World::<NaiveReader>::open();
        world.run(&steps);
        !world.is_whole()
    });
    let broken = broken.count();
    assert!(broken > 100, "only {broken} of 200 schedules break it");
}

fn refusal(kind: ErrorKind) -> CursorEvent {
    CursorEvent::Refused(Error::new(kind, "refused"))
}

#[test]
fn another_endpoint_is_tried_only_before_the_first_chunk() {
    let mut cursor = AnswerCursor::open(id(0), CursorLimits::default());
    let elsewhere = cursor.handle(refusal(ErrorKind::EndpointFailed)).step;
    assert!(matches!(elsewhere, CursorStep::OpenElsewhere(_)));
    cursor.handle(CursorEvent::Batch(reply_to(0, Sequence(0)).batch));
    let failed = cursor.handle(refusal(ErrorKind::EndpointFailed)).step;
    assert!(matches!(failed, CursorStep::Fail(_)));
}

#[test]
fn a_gap_is_an_error_and_never_skipped() {
    let mut cursor = AnswerCursor::open(id(0), CursorLimits::default());
    let moved = cursor.handle(CursorEvent::Batch(reply_to(0, Sequence(2)).batch));
    assert!(moved.chunks.is_empty());
    assert!(matches!(moved.step, CursorStep::Fail(_)));
}

#[test]
fn a_refusal_that_no_endpoint_would_lift_is_final() {
    let mut cursor = AnswerCursor::open(id(0), CursorLimits::default());
    let step = cursor.handle(refusal(ErrorKind::InvalidRequest)).step;
    assert!(matches!(step, CursorStep::Fail(_)));
}
