//! Appends the outcomes of claims to the log, in the background and in batches.
//!
//! The agent that ran a call knows its outcome even if the entry that sent it has failed. With
//! the outcome on the log, a caller can fetch it through any entry afterwards.

use std::sync::Arc;
use std::time::Duration;

use amaranth_control::claim_codec;
use amaranth_control::claim_outbox::ClaimOutbox;
use amaranth_control::claim_record::ClaimRecord;
use amaranth_core::request::{ServiceAnswer, ServiceClaim};
use amaranth_ports::PortError;
use amaranth_ports::log::{LogPort, LogStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use crate::clock::AgentClock;
use crate::task_group::TaskGroup;

/// Maximum number of queued outcomes. Further ones are not recorded, and only this agent knows
/// them.
const OUTCOME_QUEUE: usize = 1_024;

/// Minimum time between two appends.
const APPEND_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two checks whether the next append may start.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Records the outcomes of claims by handing them to the task that appends to the log.
#[derive(Debug, Clone)]
pub struct OutcomeRecorder {
    outcomes: mpsc::Sender<ClaimRecord>,
    unrecorded: watch::Sender<usize>,
}

impl OutcomeRecorder {
    /// Spawns the task that appends to `log`.
    pub fn spawn(tasks: &TaskGroup, log: Arc<dyn LogPort>, clock: AgentClock) -> Self {
        let (sender, outcomes) = mpsc::channel(OUTCOME_QUEUE);
        let unrecorded = watch::Sender::new(0);
        let appender = OutcomeAppender {
            log,
            clock,
            outbox: ClaimOutbox::new(APPEND_INTERVAL),
            unrecorded: unrecorded.clone(),
        };
        tasks.spawn(appender.run(outcomes));
        Self {
            outcomes: sender,
            unrecorded,
        }
    }

    /// Waits until the log has every outcome, but no longer than `max_wait`.
    pub async fn flush(&self, max_wait: Duration) {
        let mut unrecorded = self.unrecorded.subscribe();
        let empty = unrecorded.wait_for(|count| *count == 0);
        if timeout(max_wait, empty).await.is_err() {
            let count = *self.unrecorded.borrow();
            log::warn!("event=outcomes_unrecorded count={count}");
        }
    }

    /// Records that `claim` ended with `answer`.
    pub fn record(&self, claim: &ServiceClaim, answer: &ServiceAnswer) {
        let record = ClaimRecord::Done {
            key: claim.key.clone(),
            claim: claim.id,
            answer: answer.clone(),
        };
        self.unrecorded.send_modify(|count| *count += 1);
        if self.outcomes.try_send(record).is_err() {
            self.unrecorded.send_modify(|count| *count -= 1);
            metrics::counter!("amaranth_agent_outcomes_unrecorded_total").increment(1);
            log::warn!("event=outcome_unrecorded claim={}", claim.id);
        }
    }
}

/// Appends outcomes to the log.
struct OutcomeAppender {
    log: Arc<dyn LogPort>,
    clock: AgentClock,
    outbox: ClaimOutbox,
    unrecorded: watch::Sender<usize>,
}

impl OutcomeAppender {
    async fn run(mut self, mut outcomes: mpsc::Receiver<ClaimRecord>) {
        let mut received = Vec::new();
        loop {
            // During a log outage the outbox keeps its records, and the channel bounds the rest.
            if self.outbox.is_empty() {
                if outcomes.recv_many(&mut received, OUTCOME_QUEUE).await == 0 {
                    return;
                }
            } else {
                sleep(RETRY_INTERVAL).await;
            }
            received
                .drain(..)
                .for_each(|record| self.outbox.push(record));
            if let Some(batch) = self.outbox.start_append(self.clock.now()) {
                let data = claim_codec::encode(&batch);
                let appended = self.log.append(LogStream::Claims, data).await;
                let completed = self.record_append_result(appended.err());
                self.unrecorded.send_modify(|count| *count -= completed);
            }
        }
    }

    /// Passes the result of an append to the outbox and returns the number of completed records.
    ///
    /// An append whose answer was lost counts as failed, since appending an outcome twice changes
    /// nothing.
    fn record_append_result(&mut self, failure: Option<PortError>) -> usize {
        let now = self.clock.now();
        match failure {
            None => self.outbox.complete_append(now).records.len(),
            Some(PortError::Refused(what)) => match self.outbox.refuse_append(now) {
                Some(record) => {
                    log::error!("event=outcome_refused record={record:?} cause={what:?}");
                    1
                }
                None => 0,
            },
            Some(error) => {
                log::warn!("event=outcome_append_failed error={:?}", error.to_string());
                self.outbox.fail_append(now, |_| true);
                0
            }
        }
    }
}
