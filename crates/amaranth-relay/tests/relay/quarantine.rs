//! Calls whose prompts contain a part that crashes engines.

use std::sync::Arc;
use std::time::Duration;

use amaranth_dispatch::routes::RouteKind;
use tokio::time::{interval, sleep, timeout};

use crate::crashing_engines::{CRASHING_PART, CrashingEngines};
use crate::support::{TEST_TIMEOUT, TestEntry, post, route, status};

/// Time after the fifth crash from which at most three calls with the part may reach engines.
const QUARANTINE_BOUND: Duration = Duration::from_secs(4);

/// Returns a call with two parts that other calls share and one of its own.
fn call_with(id: &str, second_part: &str) -> String {
    post(id, &format!("Wants: m\r\nParts: f0,{second_part},{id}\r\n"))
}

#[tokio::test]
async fn a_prompt_part_that_crashed_five_engines_reaches_no_further_ones() {
    let entry = TestEntry::bind();
    entry.configure(1, vec![route(RouteKind::Stream, true, 2)]);
    let engines = CrashingEngines::spawn(6, &[Arc::clone(&entry.core)]);
    let entry = Arc::new(entry);
    let mut ticks = interval(Duration::from_millis(100));
    for number in 0..80 {
        ticks.tick().await;
        let (entry, call) = (
            Arc::clone(&entry),
            call_with(&format!("a{number}"), CRASHING_PART),
        );
        tokio::spawn(async move { entry.call(&call).await });
    }
    sleep(Duration::from_millis(500)).await;
    assert!(engines.crashes() >= 4, "the calls crash engines");
    assert!(
        engines.late_arrivals(QUARANTINE_BOUND) <= 3,
        "{} calls with the part reached engines later, {} engines crashed",
        engines.late_arrivals(QUARANTINE_BOUND),
        engines.crashes()
    );
    let sound = timeout(TEST_TIMEOUT, entry.call(&call_with("c1", "50"))).await;
    assert_eq!(status(&sound.expect("the call ends in time")), "200");
}
