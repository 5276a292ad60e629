//! The decoder of server-sent events, with chunks of any size and against a naive decoder.

use amaranth_ports::sse::SseDecoder;
use bytes::Bytes;
use proptest::collection::vec;
use proptest::prelude::{ProptestConfig, any, proptest};
use proptest::prop_assert_eq;
use proptest::test_runner::RngSeed;

fn encode(events: &[String], newline: &str) -> Vec<u8> {
    let lines = |event: &String| {
        let data: String = event
            .split('\n')
            .map(|line| format!("data: {line}{newline}"))
            .collect();
        format!(": keep-alive{newline}id: 7{newline}{data}{newline}")
    };
    events.iter().map(lines).collect::<String>().into_bytes()
}

/// Splits `bytes` at the offsets in `cuts`.
fn split_at_cuts<'a>(bytes: &'a [u8], cuts: &[usize]) -> Vec<&'a [u8]> {
    let mut cuts: Vec<_> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).collect();
    cuts.extend([0, bytes.len()]);
    cuts.sort_unstable();
    cuts.windows(2)
        .map(|pair| &bytes[pair[0]..pair[1]])
        .collect()
}

/// Decodes each chunk on its own, as if no event spanned two chunks.
fn naive_events(chunks: &[&[u8]]) -> Vec<Bytes> {
    let decode = |chunk: &&[u8]| SseDecoder::new().push(chunk);
    chunks.iter().flat_map(decode).collect()
}

fn decoded_events(chunks: &[&[u8]]) -> Vec<Bytes> {
    let mut decoder = SseDecoder::new();
    chunks
        .iter()
        .flat_map(|chunk| decoder.push(chunk))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(17),
        ..ProptestConfig::default()
    })]

    #[test]
    fn events_do_not_depend_on_where_their_bytes_are_split(
        events in vec("[a-z{}: \n]{0,20}", 0..6),
        carriage_return in any::<bool>(),
        cuts in vec(any::<usize>(), 0..20),
    ) {
        let bytes = encode(&events, if carriage_return { "\r\n" } else { "\n" });
        let decoded = decoded_events(&split_at_cuts(&bytes, &cuts));
        prop_assert_eq!(decoded, events);
    }
}

#[test]
fn naive_decoder_loses_an_event_that_spans_two_chunks() {
    let events = vec!["{\"text\":\"go\"}".to_owned()];
    let bytes = encode(&events, "\n");
    let chunks = split_at_cuts(&bytes, &[bytes.len() - 4]);
    assert_eq!(decoded_events(&chunks), events);
    assert_ne!(naive_events(&chunks), events);
}
