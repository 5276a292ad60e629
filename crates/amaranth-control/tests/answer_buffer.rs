//! Answers stay complete and unmixed under lost replies, other readers and broken engine streams.

use std::collections::VecDeque;

use amaranth_control::answer_buffer::AnswerBuffer;
use amaranth_core::ids::{RequestId, Sequence};
use amaranth_core::request::{AnswerChunk, AnswerEnd};
use bytes::Bytes;
use proptest::collection::vec;
use proptest::prelude::{ProptestConfig, Strategy, any, prop_oneof, proptest};
use proptest::prop_assert;
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngSeed, TestRunner};

const STREAMS: usize = 4;
const CHUNKS: u64 = 12;
const LIMIT_BYTES: usize = 40;

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    }
}

#[derive(Debug, Clone)]
enum Step {
    /// The engine sends the next chunk, unless the buffer is full.
    Produce(usize),
    /// The engine's stream breaks and the request is run again, with the same bytes or others.
    Rerun(usize, bool),
    /// The reader reads the next chunks and receives the reply.
    Read(usize),
    /// The reader reads the next chunks and the reply is lost.
    LoseReply(usize),
    /// A delayed duplicate of a read arrives, from this many chunks before the reader's position.
    RepeatRead(usize, u64),
}

fn any_steps() -> impl Strategy<Value = Vec<Step>> {
    let stream = 0..STREAMS;
    let step = prop_oneof![
        8 => stream.clone().prop_map(Step::Produce),
        1 => (stream.clone(), any::<bool>()).prop_map(|(stream, same)| Step::Rerun(stream, same)),
        4 => stream.clone().prop_map(Step::Read),
        2 => stream.clone().prop_map(Step::LoseReply),
        1 => (stream, 0..4_u64).prop_map(|(stream, back)| Step::RepeatRead(stream, back)),
    ];
    vec(step, 0..200)
}

/// Operations of a buffer that the properties exercise.
trait Buffer {
    fn is_full(&self) -> bool;
    fn unacknowledged_bytes(&self) -> usize;
    fn push(&mut self, data: Bytes) -> bool;
    fn rerun(&mut self);
    fn complete(&mut self) -> bool;
    fn read(&mut self, from: Sequence) -> Option<(Vec<AnswerChunk>, bool)>;
}

impl Buffer for AnswerBuffer {
    fn is_full(&self) -> bool {
        self.is_full()
    }
    fn unacknowledged_bytes(&self) -> usize {
        self.unacknowledged_bytes()
    }
    fn push(&mut self, data: Bytes) -> bool {
        self.push(data).is_ok()
    }
    fn rerun(&mut self) {
        self.rerun();
    }
    fn complete(&mut self) -> bool {
        self.complete().is_ok()
    }
    fn read(&mut self, from: Sequence) -> Option<(Vec<AnswerChunk>, bool)> {
        let batch = self.read(from).ok()??;
        Some((batch.chunks, batch.end == Some(AnswerEnd::Complete)))
    }
}

/// Defect of a naive buffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Defect {
    /// Drops chunks as soon as they were sent.
    DropsWhenSent,
    /// Appends the chunks of a rerun after those of the first run without comparing them.
    AppendsReruns,
}

struct NaiveBuffer {
    defect: Defect,
    chunks: VecDeque<AnswerChunk>,
    produced: u64,
    skip: u64,
    complete: bool,
}

impl NaiveBuffer {
    fn new(defect: Defect) -> Self {
        Self {
            defect,
            chunks: VecDeque::new(),
            produced: 0,
            skip: 0,
            complete: false,
        }
    }
}

impl Buffer for NaiveBuffer {
    fn is_full(&self) -> bool {
        self.unacknowledged_bytes() >= LIMIT_BYTES
    }
    fn unacknowledged_bytes(&self) -> usize {
        self.chunks.iter().map(|chunk| chunk.data.len()).sum()
    }
    fn push(&mut self, data: Bytes) -> bool {
        if self.skip > 0 {
            self.skip -= 1;
            return true;
        }
        let sequence = Sequence(self.produced);
        self.produced += 1;
        self.chunks.push_back(AnswerChunk { sequence, data });
        true
    }
    fn rerun(&mut self) {
        self.skip = self.produced;
    }
    fn complete(&mut self) -> bool {
        self.complete = true;
        true
    }
    fn read(&mut self, from: Sequence) -> Option<(Vec<AnswerChunk>, bool)> {
        self.chunks.retain(|chunk| chunk.sequence >= from);
        if self.chunks.is_empty() && !self.complete {
            return None;
        }
        let sent = self.chunks.iter().cloned().collect();
        if self.defect == Defect::DropsWhenSent {
            self.chunks.clear();
        }
        Some((sent, self.complete))
    }
}

/// An answer with its engine and its reader.
struct Stream<B> {
    buffer: B,
    number: usize,
    /// Variant of the bytes that the engine's current run sends.
    variant: u64,
    reruns: u64,
    sent: u64,
    received: Vec<AnswerChunk>,
    ended: bool,
    failed: bool,
}

fn payload(stream: usize, variant: u64, chunk: u64) -> Bytes {
    Bytes::from(format!("s{stream}v{variant}c{chunk}"))
}

impl<B: Buffer> Stream<B> {
    fn new(number: usize, buffer: B) -> Self {
        Self {
            buffer,
            number,
            variant: 0,
            reruns: 0,
            sent: 0,
            received: Vec::new(),
            ended: false,
            failed: false,
        }
    }

    fn produce(&mut self) {
        if self.failed || self.sent > CHUNKS || self.buffer.is_full() {
            return;
        }
        let accepted = if self.sent < CHUNKS {
            let data = payload(self.number, self.variant, self.sent);
            self.buffer.push(data)
        } else {
            self.buffer.complete()
        };
        self.failed = !accepted;
        self.sent += 1;
    }

    fn rerun(&mut self, same: bool) {
        if self.sent > CHUNKS {
            return;
        }
        self.reruns += 1;
        if !same {
            self.variant = self.reruns;
        }
        self.sent = 0;
        self.buffer.rerun();
    }

    fn read(&mut self, delivered: bool) {
        let from = Sequence(self.received.len() as u64);
        let reply = self.buffer.read(from);
        if let Some((chunks, ended)) = reply.filter(|_| delivered) {
            self.received.extend(chunks);
            self.ended = ended;
        }
    }

    /// Returns whether the reader received neither the bytes of a single run nor an error.
    fn is_corrupt(&self) -> bool {
        let one_run = |variant: u64| {
            let expected = (0..CHUNKS).map(|chunk| payload(self.number, variant, chunk));
            let received = self.received.iter().map(|chunk| chunk.data.clone());
            let complete = self.received.len() as u64 == CHUNKS;
            received.zip(expected).all(|(left, right)| left == right) && (complete || !self.ended)
        };
        let unfinished = !self.ended && !self.failed;
        unfinished || !(0..=self.reruns).any(one_run)
    }
}

/// Runs the steps, then lets every answer end, and returns the violated property, if any.
fn run<B: Buffer>(new_buffer: impl Fn(usize) -> B, steps: &[Step]) -> Option<&'static str> {
    let mut streams: Vec<_> = (0..STREAMS)
        .map(|number| Stream::new(number, new_buffer(number)))
        .collect();
    for step in steps {
        match *step {
            Step::Produce(number) => streams[number].produce(),
            Step::Rerun(number, same) => streams[number].rerun(same),
            Step::Read(number) => streams[number].read(true),
            Step::LoseReply(number) => streams[number].read(false),
            Step::RepeatRead(number, back) => {
                let stream = &mut streams[number];
                let from = (stream.received.len() as u64).saturating_sub(back);
                // The reply is discarded: it belongs to a connection that the reader has closed.
                let _ = stream.buffer.read(Sequence(from));
            }
        }
        let largest = streams
            .iter()
            .map(|stream| stream.buffer.unacknowledged_bytes())
            .max();
        if largest > Some(LIMIT_BYTES + payload(0, 99, 99).len()) {
            return Some("a slow reader let the buffer exceed its limit");
        }
    }
    for stream in &mut streams {
        for _ in 0..=2 * CHUNKS {
            stream.produce();
            stream.read(true);
        }
    }
    streams
        .iter()
        .any(Stream::is_corrupt)
        .then_some("an answer was neither complete nor an error")
}

fn new_buffer(number: usize) -> AnswerBuffer {
    AnswerBuffer::new(RequestId(number as u128), LIMIT_BYTES)
}

proptest! {
    #![proptest_config(config(3_000))]

    #[test]
    fn answers_are_complete_or_fail(steps in any_steps()) {
        let violation = run(new_buffer, &steps);
        prop_assert!(violation.is_none(), "{violation:?}");
    }
}

fn violates_properties(defect: Defect) -> bool {
    let mut runner = TestRunner::new(config(1));
    (0..500).any(|_| {
        let steps = any_steps().new_tree(&mut runner).unwrap().current();
        run(|_| NaiveBuffer::new(defect), &steps).is_some()
    })
}

#[test]
fn dropping_sent_chunks_loses_data() {
    assert!(violates_properties(Defect::DropsWhenSent));
}

#[test]
fn appending_reruns_unchecked_mixes_two_runs() {
    assert!(violates_properties(Defect::AppendsReruns));
}

#[test]
fn rerun_need_not_repeat_chunks_that_no_reader_received() {
    let mut buffer = new_buffer(1);
    buffer.push(Bytes::from_static(b"first run")).unwrap();
    buffer.rerun();
    buffer.push(Bytes::from_static(b"second run")).unwrap();
    buffer.complete().unwrap();
    let batch = buffer.read(Sequence(0)).unwrap().unwrap();
    assert_eq!(batch.chunks.len(), 1);
    assert_eq!(batch.chunks[0].data, Bytes::from_static(b"second run"));
}

#[test]
fn shorter_rerun_is_refused() {
    let mut buffer = new_buffer(1);
    buffer.push(Bytes::from_static(b"seen")).unwrap();
    buffer.read(Sequence(0)).unwrap();
    buffer.rerun();
    assert!(buffer.complete().is_err());
}

#[test]
fn reads_outside_the_retained_chunks_are_errors() {
    let mut buffer = AnswerBuffer::new(RequestId(1), 1);
    for data in ["a", "b", "c"] {
        buffer.push(Bytes::from_static(data.as_bytes())).unwrap();
    }
    buffer.read(Sequence(2)).unwrap();
    assert!(buffer.read(Sequence(0)).is_err());
    assert!(buffer.read(Sequence(4)).is_err());
    assert!(buffer.read(Sequence(2)).unwrap().is_some());
}

#[test]
fn another_reader_receives_acknowledged_chunks_up_to_the_limit() {
    let mut buffer = AnswerBuffer::new(RequestId(1), 2);
    for data in ["a", "b", "c", "d", "e"] {
        buffer.push(Bytes::from_static(data.as_bytes())).unwrap();
        let next = buffer.next_sequence();
        buffer.read(next).unwrap();
    }
    assert_eq!(buffer.unacknowledged_bytes(), 0);
    assert!(buffer.read(Sequence(2)).is_err());
    let batch = buffer.read(Sequence(3)).unwrap().unwrap();
    let sequences: Vec<_> = batch.chunks.iter().map(|chunk| chunk.sequence.0).collect();
    assert_eq!(sequences, [3, 4]);
}
