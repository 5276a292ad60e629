//! Tests of the evidence that an endpoint did not run a call.

use std::collections::VecDeque;

use amaranth_dispatch::not_run_proof::{
    AnswerFacts, CallSend, NamedCall, NotRunDoubt, NotRunReason,
};
use proptest::prelude::{ProptestConfig, Strategy, any, prop_assert, proptest};
use proptest::test_runner::RngSeed;
use rstest::rstest;

const REFUSAL: AnswerFacts = AnswerFacts {
    status: 503,
    states_not_run: true,
    is_authenticated: false,
    named_call: NamedCall::Sent,
    is_complete: true,
};

#[rstest]
#[case::full(503, NotRunReason::Refused)]
#[case::too_many(429, NotRunReason::Refused)]
#[case::malformed(400, NotRunReason::Refused)]
#[case::misdirected(421, NotRunReason::Misdirected)]
fn a_whole_refusal_of_the_only_send_is_a_proof(#[case] status: u16, #[case] reason: NotRunReason) {
    let facts = AnswerFacts { status, ..REFUSAL };
    let proof = CallSend::begin().hand_over(0).verify(&facts);
    assert_eq!(proof.map(|proof| proof.reason()), Ok(reason));
}

#[rstest]
#[case::not_stated(AnswerFacts { states_not_run: false, ..REFUSAL }, 0, NotRunDoubt::NotClaimed)]
#[case::failed(AnswerFacts { status: 500, ..REFUSAL }, 0, NotRunDoubt::Contradictory)]
#[case::out_of_time(AnswerFacts { status: 504, ..REFUSAL }, 0, NotRunDoubt::Contradictory)]
#[case::answered(AnswerFacts { status: 200, ..REFUSAL }, 0, NotRunDoubt::Contradictory)]
#[case::authenticated(
    AnswerFacts { is_authenticated: true, ..REFUSAL },
    0,
    NotRunDoubt::Contradictory
)]
#[case::unnamed(AnswerFacts { named_call: NamedCall::Missing, ..REFUSAL }, 0, NotRunDoubt::NotNamed)]
#[case::other(AnswerFacts { named_call: NamedCall::Other, ..REFUSAL }, 0, NotRunDoubt::NotNamed)]
#[case::sent_before(REFUSAL, 1, NotRunDoubt::SentBefore)]
#[case::truncated(AnswerFacts { is_complete: false, ..REFUSAL }, 0, NotRunDoubt::Truncated)]
fn any_other_refusal_proves_nothing(
    #[case] facts: AnswerFacts,
    #[case] earlier_sends: usize,
    #[case] doubt: NotRunDoubt,
) {
    let proof = CallSend::begin().hand_over(earlier_sends).verify(&facts);
    assert_eq!(proof, Err(doubt));
}

/// One send in the model of a faulty endpoint.
#[derive(Debug, Clone, Copy)]
struct ModelSend {
    call: u8,
    connection: usize,
    is_refused: bool,
    /// Whether the endpoint first repeats its last answer on the connection.
    repeats: bool,
    /// Whether the endpoint leaves the id out of its answer.
    is_unnamed: bool,
}

fn sends() -> impl Strategy<Value = Vec<ModelSend>> {
    let send = (0_u8..3, 0_usize..3, any::<bool>(), any::<bool>(), 0_u8..8);
    let send = send.prop_map(
        |(call, connection, is_refused, repeats, unnamed)| ModelSend {
            call,
            connection,
            is_refused,
            repeats,
            is_unnamed: unnamed == 0,
        },
    );
    proptest::collection::vec(send, 1..40)
}

/// The answers of the model, as the entry reads them from one connection.
#[derive(Debug, Default)]
struct ModelConnection {
    carried: Vec<u8>,
    answers: VecDeque<(Option<u8>, AnswerFacts)>,
    last: Option<(Option<u8>, AnswerFacts)>,
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x7265_6675),
        failure_persistence: None,
        ..ProptestConfig::with_cases(2_000)
    })]

    #[test]
    fn a_proven_refusal_is_that_of_the_send_however_an_endpoint_repeats_its_answers(sends in sends()) {
        let mut connections: [ModelConnection; 3] = Default::default();
        for send in sends {
            let connection = &mut connections[send.connection];
            let earlier = connection.carried.iter().filter(|call| **call == send.call).count();
            connection.carried.push(send.call);
            if let Some(last) = connection.last.filter(|_| send.repeats) {
                connection.answers.push_back(last);
            }
            let own = AnswerFacts {
                status: if send.is_refused { 503 } else { 200 },
                states_not_run: send.is_refused,
                is_authenticated: !send.is_refused,
                ..REFUSAL
            };
            let named = (!send.is_unnamed).then_some(send.call);
            connection.answers.push_back((named, own));
            connection.last = Some((named, own));
            let (named, mut facts) = connection.answers.pop_front().expect("an answer is written");
            facts.named_call = match named {
                None => NamedCall::Missing,
                Some(call) if call == send.call => NamedCall::Sent,
                Some(_) => NamedCall::Other,
            };
            let proof = CallSend::begin().hand_over(earlier).verify(&facts);
            prop_assert!(proof.is_err() || send.is_refused);
        }
    }
}
