//! The decoder of server-sent events, with chunks of equal size.

use amaranth_ports::sse::SseDecoder;
use proptest::prelude::{ProptestConfig, prop_assert_eq, proptest};
use proptest::test_runner::RngSeed;

fn decode_chunks(bytes: &[u8], size: usize) -> Vec<String> {
    let mut decoder = SseDecoder::new();
    let mut events = Vec::new();
    for chunk in bytes.chunks(size) {
        for data in decoder.push(chunk) {
            events.push(String::from_utf8(data.to_vec()).unwrap());
        }
    }
    events
}

#[test]
fn skips_comments() {
    let events = decode_chunks(b": alive\n\ndata: {}\n\ndata: [DONE]\n\n", 100);
    assert_eq!(events, ["{}", "[DONE]"]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn events_do_not_depend_on_the_chunk_size(
        texts in proptest::collection::vec("[a-z{}:, ]{1,40}", 0..20),
        size in 1_usize..60,
    ) {
        let texts: Vec<String> = texts.iter().map(|text| text.trim().to_owned()).collect();
        let bytes: String = texts.iter().map(|text| format!("data: {text}\n\n")).collect();
        prop_assert_eq!(decode_chunks(bytes.as_bytes(), size), texts);
    }
}
