//! Events come out whole however the bytes were cut.

use amaranth_ports::sse::SseDecoder;
use proptest::prelude::{ProptestConfig, prop_assert_eq, proptest};
use proptest::test_runner::RngSeed;

fn split(bytes: &[u8], size: usize) -> Vec<String> {
    let mut decoder = SseDecoder::open();
    let mut events = Vec::new();
    for piece in bytes.chunks(size) {
        for data in decoder.push(piece) {
            events.push(String::from_utf8(data.to_vec()).unwrap());
        }
    }
    events
}

#[test]
fn skips_comments() {
    let events = split(b": alive\n\ndata: {}\n\ndata: [DONE]\n\n", 100);
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
    fn does_not_depend_on_the_cuts(
        texts in proptest::collection::vec("[a-z{}:, ]{1,40}", 0..20),
        size in 1_usize..60,
    ) {
        let texts: Vec<String> = texts.iter().map(|text| text.trim().to_owned()).collect();
        let bytes: String = texts.iter().map(|text| format!("data: {text}\n\n")).collect();
        prop_assert_eq!(split(bytes.as_bytes(), size), texts);
    }
}
