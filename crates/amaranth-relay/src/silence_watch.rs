//! What becomes of a call whose engine has fallen silent.

use std::time::Duration;

use amaranth_dispatch::attempts::AttemptHistory;
use strum::Display;
use tokio::time::Instant;

use crate::entry::EntryCore;
use crate::routed_call::{AnswerPosition, Call};
use crate::send_guard::SendGuard;

/// Time after which a call that waits for an answer looks whether its engine has fallen silent.
const SILENCE_INTERVAL: Duration = Duration::from_millis(500);

/// What a call does that waits for its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SilenceStep {
    /// It goes on waiting.
    Wait,
    /// It leaves for another engine.
    Move,
    /// It ends, since its caller is about to leave.
    GiveUp,
}

/// Watches over one send of a call.
#[derive(Debug, Default)]
pub struct SilenceWatch {
    told: bool,
}

impl SilenceWatch {
    /// Returns what the call does now. `history` is missing when the call can't be gone on with
    /// elsewhere.
    pub fn look(
        &mut self,
        core: &EntryCore,
        call: &Call,
        guard: &SendGuard,
        history: Option<&AttemptHistory>,
        position: AnswerPosition,
    ) -> SilenceStep {
        let about_to_leave = Instant::now() >= call.gives_up_at(position);
        // The rest of a stream takes longer than what is left.
        if about_to_leave && call.need.is_some() && !guard.has_event() {
            return give_up(call, guard, "no-event");
        }
        if !guard.is_silent() {
            return SilenceStep::Wait;
        }
        if about_to_leave {
            return give_up(call, guard, "silent");
        }
        let step = if history.is_some_and(|history| call.may_move(core, history)) {
            SilenceStep::Move
        } else {
            SilenceStep::Wait
        };
        if step == SilenceStep::Move {
            guard.note_silent();
        }
        if step == SilenceStep::Move || !std::mem::replace(&mut self.told, true) {
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

/// Returns when a call that waits for its engine looks next.
pub fn next_look(call: &Call, position: AnswerPosition) -> Instant {
    let now = Instant::now();
    let gives_up_at = call.gives_up_at(position);
    let look = now + SILENCE_INTERVAL;
    if gives_up_at > now {
        look.min(gives_up_at)
    } else {
        look
    }
}

fn give_up(call: &Call, guard: &SendGuard, engine: &str) -> SilenceStep {
    log::info!(
        "event=call_given_up id={} endpoint={} engine={engine}",
        call.head.id,
        guard.endpoint()
    );
    SilenceStep::GiveUp
}
