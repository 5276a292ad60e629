//! The event splitter, compared with a reference implementation that sees the whole text.

use amaranth_relay::event_splitter::EventSplitter;
use proptest::prelude::{
    ProptestConfig, Strategy, any, prop_assert, prop_assert_eq, prop_oneof, proptest,
};
use proptest::test_runner::RngSeed;

/// Returns the complete events at the beginning of a text, each of which ends with a blank line.
fn reference_events(text: &str) -> &str {
    let mut end = 0;
    let mut position = 0;
    for line in text.split_inclusive('\n') {
        let after_line = position + line.len();
        let is_blank = matches!(line, "\n" | "\r\n");
        if is_blank {
            end = after_line;
        }
        position = after_line;
    }
    &text[..end]
}

fn texts() -> impl Strategy<Value = String> {
    let piece = prop_oneof![
        any::<u8>().prop_map(|id| format!("id: {id}\n")),
        any::<u8>().prop_map(|id| format!("id: {id}\r\n")),
        "[a-z]{0,6}".prop_map(|data| format!("data: {data}\n")),
        "[a-z]{0,6}".prop_map(|data| format!("data: {data}\r\n")),
        proptest::strategy::Just("\n".to_owned()),
        proptest::strategy::Just("\r\n".to_owned()),
        "[a-z]{1,3}",
    ];
    let first = "[a-z]{1,4}: x\n";
    (first, proptest::collection::vec(piece, 0..30))
        .prop_map(|(first, pieces)| first + &pieces.concat())
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x7370_6c69),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn complete_events_are_returned_unchanged_for_any_split_of_the_bytes(
        text in texts(),
        cuts in proptest::collection::vec(1_usize..9, 1..60),
    ) {
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        let mut rest = text.as_bytes();
        let mut cuts = cuts.into_iter().cycle();
        while !rest.is_empty() {
            let length = cuts.next().unwrap_or(1).min(rest.len());
            let (piece, after) = rest.split_at(length);
            rest = after;
            if let Some(batch) = splitter.push(piece).expect("every event is within the size limit") {
                prop_assert!(!batch.bytes.is_empty());
                out.extend_from_slice(&batch.bytes);
            }
        }
        let expected = reference_events(&text);
        prop_assert_eq!(String::from_utf8_lossy(&out), expected);
        prop_assert_eq!(splitter.is_within_event(), expected.len() < text.len());
    }
}

#[test]
fn a_batch_has_the_last_id_of_its_events() {
    let mut splitter = EventSplitter::default();
    let batch = splitter
        .push(b"id: 4\ndata: a\n\nversion: 2\nid: 5\ndata: b\n\nid: 6\nda")
        .expect("the events are within the size limit")
        .expect("two events are complete");
    assert_eq!((batch.last_id, batch.events), (Some(5), 2));
    let batch = splitter
        .push(b"ta: c\n\n")
        .expect("the event is within the size limit")
        .expect("the third event is complete");
    assert_eq!((batch.last_id, batch.events), (Some(6), 1));
}

#[test]
fn an_event_beyond_the_size_limit_is_an_error() {
    let mut splitter = EventSplitter::default();
    let piece = vec![b'x'; 64 << 10];
    let is_rejected = (0..32).any(|_| splitter.push(&piece).is_err());
    assert!(is_rejected);
}
