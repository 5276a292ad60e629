//! Whether a call leaves an engine that has fallen silent.

use amaranth_dispatch::attempts::AttemptHistory;

use crate::entry::EntryCore;
use crate::routed_call::Call;
use crate::send_guard::SendGuard;

/// Watches over one send of a call.
#[derive(Debug, Default)]
pub struct SilenceWatch {
    told: bool,
}

impl SilenceWatch {
    /// Returns whether the call leaves its engine now. `history` is missing when the call can't be
    /// gone on with elsewhere.
    pub fn leaves(
        &mut self,
        core: &EntryCore,
        call: &Call,
        guard: &SendGuard,
        history: Option<&AttemptHistory>,
    ) -> bool {
        if !guard.is_silent() {
            return false;
        }
        let leaves = history.is_some_and(|history| call.may_move(core, history));
        if leaves || !std::mem::replace(&mut self.told, true) {
            let (action, left) = (
                if leaves { "move" } else { "stay" },
                call.retries_left(core),
            );
            log::info!(
                "event=engine_silent id={} endpoint={} action={action} retries_left={left}",
                call.head.id,
                guard.endpoint()
            );
        }
        leaves
    }
}
