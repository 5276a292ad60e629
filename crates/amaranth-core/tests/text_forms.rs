//! The text forms of identifiers, sizes, rates and trace contexts: round trips and parse errors.

use amaranth_core::errors::{ErrorKind, RetryAdvice, RunState};
use amaranth_core::ids::{
    AdapterRef, AdapterVersion, ClaimId, IdempotencyKey, LogOffset, RequestId,
};
use amaranth_core::trace::TraceContext;
use amaranth_core::units::{ByteSize, EventRate};
use proptest::prelude::{ProptestConfig, any, prop_assert_eq, proptest};
use proptest::test_runner::RngSeed;
use rstest::rstest;
use strum::IntoEnumIterator;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn adapter_refs_round_trip(name in "[A-Za-z0-9_./-]{1,128}", version in any::<u64>()) {
        let adapter = AdapterRef {
            name: name.parse().unwrap(),
            version: AdapterVersion(version),
        };
        prop_assert_eq!(adapter.to_string().parse::<AdapterRef>().unwrap(), adapter);
    }

    #[test]
    fn claim_ids_round_trip(offset in any::<u64>(), index in any::<u16>()) {
        let claim = ClaimId { offset: LogOffset(offset), index };
        prop_assert_eq!(claim.to_string().parse::<ClaimId>().unwrap(), claim);
    }

    #[test]
    fn request_ids_round_trip(number in any::<u128>()) {
        let id = RequestId(number);
        prop_assert_eq!(id.to_string().parse::<RequestId>().unwrap(), id);
    }

    #[test]
    fn byte_sizes_round_trip(bytes in any::<u64>()) {
        let size = ByteSize(bytes);
        prop_assert_eq!(size.to_string().parse::<ByteSize>().unwrap(), size);
    }

    #[test]
    fn trace_contexts_round_trip(trace in 1_u128.., span in 1_u64.., sampled in any::<bool>()) {
        let context = TraceContext { trace_id: trace, span_id: span, sampled };
        prop_assert_eq!(context.to_string().parse::<TraceContext>().unwrap(), context);
    }

    /// Callers may send any text; parsing must not panic.
    #[test]
    fn any_text_parses_or_fails_without_panic(text in ".{0,200}") {
        let _ = text.parse::<AdapterRef>();
        let _ = text.parse::<IdempotencyKey>();
        let _ = text.parse::<TraceContext>();
        let _ = text.parse::<ByteSize>();
        let _ = text.parse::<EventRate>();
    }
}

#[rstest]
#[case::no_version("manifest", "lacks \"@version\"")]
#[case::bad_version("manifest@new", "\"new\" is not a whole number")]
#[case::bad_name("mani fest@1", "letters, digits")]
#[case::empty_name("@1", "1 to 128 bytes")]
fn malformed_adapter_refs_state_the_fault(#[case] text: &str, #[case] expected: &str) {
    let message = text.parse::<AdapterRef>().unwrap_err().to_string();
    assert!(message.contains(expected), "{message:?} lacks {expected:?}");
}

/// Status 429 implies that the work did not run; advice to query the outcome implies that
/// the outcome is unknown.
#[test]
fn retry_advice_agrees_with_the_run_state() {
    for kind in ErrorKind::iter() {
        let answer = kind.answer();
        assert!((400..600).contains(&answer.status), "{kind}");
        if answer.retry == RetryAdvice::Ask {
            assert_eq!(answer.run, RunState::Unknown, "{kind}");
        }
        if answer.status == 429 {
            assert_eq!(answer.run, RunState::NotRun, "{kind}");
        }
    }
}
