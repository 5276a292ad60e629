//! When an engine counts as silent.

mod support;

use amaranth_core::time::Timestamp;
use amaranth_dispatch::engine_estimate::EngineEstimate;
use amaranth_dispatch::engine_placer::need_key;

use support::need;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// The load: an engine freezes soon after it took a prompt, and all of its running streams have
/// left it or ended. The prompt was sent before the last event that came.
#[test]
fn an_engine_that_owes_a_prompt_from_before_its_last_event_falls_silent() {
    let need = need("x");
    let mut estimate = EngineEstimate::default();
    estimate.begin(at(1_000), &need, need_key(&need), 1, 0);
    estimate.heard(at(2_000));
    assert!(!estimate.is_silent(at(2_500)), "events came just now");
    assert!(estimate.is_silent(at(6_000)), "nothing came for 4 s");
}

/// An engine that reads many prompts one after another sends events all the while.
#[test]
fn an_engine_that_sends_other_events_is_not_silent() {
    let need = need("x");
    let mut estimate = EngineEstimate::default();
    estimate.begin(at(1_000), &need, need_key(&need), 1, 0);
    for tick in 0..20 {
        let now = at(1_000 + tick * 500);
        estimate.heard(now);
        assert!(!estimate.is_silent(now + std::time::Duration::from_millis(450)));
    }
}

/// The load: an engine freezes with running streams, which show its silence first and leave. The
/// prompts that wait there must not wait for as long again.
#[test]
fn prompts_follow_the_streams_that_left_a_silent_engine() {
    let need = need("x");
    let mut estimate = EngineEstimate::default();
    let running = estimate.begin(at(1_000), &need, need_key(&need), 1, 0);
    estimate.first_event_came(at(1_200), running, &need, need_key(&need));
    estimate.begin(at(1_900), &need, need_key(&need), 40, 12);
    assert!(
        estimate.is_silent(at(2_300)),
        "the stream stands still for 1.1 s"
    );
    estimate.note_silent(at(2_300));
    estimate.stream_ended();
    assert!(estimate.is_silent(at(2_350)));
    estimate.heard(at(2_400));
    assert!(!estimate.is_silent(at(2_450)), "it sends again");
}

#[test]
fn a_prompt_that_is_sent_after_the_silence_gets_its_own_time() {
    let need = need("x");
    let mut estimate = EngineEstimate::default();
    estimate.note_silent(at(2_000));
    estimate.begin(at(2_500), &need, need_key(&need), 1, 0);
    assert!(!estimate.is_silent(at(3_000)));
}

#[test]
fn an_engine_that_owes_nothing_is_not_silent() {
    let need = need("x");
    let mut estimate = EngineEstimate::default();
    let ticket = estimate.begin(at(1_000), &need, need_key(&need), 1, 0);
    estimate.abandon(ticket);
    assert!(!estimate.is_silent(at(60_000)));
}
