//! Detection of silent engines, and the decision what a call that waits for one does.

use std::time::Duration;

use amaranth_dispatch::attempts::AttemptHistory;
use strum::Display;
use tokio::time::Instant;

use crate::entry::EntryCore;
use crate::routed_call::{AnswerPosition, RoutedCall};
use crate::send_guard::SendGuard;

/// Interval at which a waiting call checks whether its engine is silent.
const SILENCE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The next step of a call that waits for its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SilenceStep {
    /// The call continues to wait.
    Wait,
    /// The call is retried at another engine.
    #[strum(to_string = "move")]
    RetryElsewhere,
    /// The call ends, because its caller is about to disconnect.
    #[strum(to_string = "give-up")]
    Abandon,
}

/// Watches for silence of the engine during one attempt of a call.
#[derive(Debug, Default)]
pub struct SilenceWatch {
    is_logged: bool,
}

impl SilenceWatch {
    /// Returns the next step of the call. `history` is `None` if the call can't be continued at
    /// another engine.
    pub fn poll(
        &mut self,
        core: &EntryCore,
        call: &RoutedCall,
        guard: &SendGuard,
        history: Option<&AttemptHistory>,
        position: AnswerPosition,
    ) -> SilenceStep {
        let near_deadline = Instant::now() >= call.abandon_at(position);
        // Without a first event by now, the stream would not end before the deadline.
        if near_deadline && call.need.is_some() && !guard.has_event() {
            return abandon(call, guard, "no-event");
        }
        if !guard.has_event() && call.quarantine_left(core).is_some() {
            return abandon(call, guard, "quarantined");
        }
        if !guard.is_silent() {
            return SilenceStep::Wait;
        }
        if near_deadline {
            return abandon(call, guard, "silent");
        }
        let step = if history.is_some_and(|history| call.may_retry_elsewhere(core, history)) {
            SilenceStep::RetryElsewhere
        } else {
            SilenceStep::Wait
        };
        if step == SilenceStep::RetryElsewhere {
            guard.record_silence();
        }
        if step == SilenceStep::RetryElsewhere || !std::mem::replace(&mut self.is_logged, true) {
            log::info!(
                "event=engine_silent id={} endpoint={} action={step} retries_left={}",
                call.head.id,
                guard.endpoint(),
                call.retries_left(core)
            );
        }
        step
    }
}

/// Returns the time at which a waiting call has to call [`SilenceWatch::poll`] next.
pub fn next_poll(call: &RoutedCall, position: AnswerPosition) -> Instant {
    let now = Instant::now();
    let abandon_at = call.abandon_at(position);
    let next = now + SILENCE_POLL_INTERVAL;
    if abandon_at > now {
        next.min(abandon_at)
    } else {
        next
    }
}

fn abandon(call: &RoutedCall, guard: &SendGuard, engine: &str) -> SilenceStep {
    log::info!(
        "event=call_given_up id={} endpoint={} engine={engine}",
        call.head.id,
        guard.endpoint()
    );
    SilenceStep::Abandon
}
