//! The speed of an agent's engine, merged from the reports of entries and from the engine's own.

use std::collections::HashMap;
use std::time::Duration;

use amaranth_core::time::Timestamp;

use crate::engine_speed::{
    EngineSpeed, EventSample, SpeedEstimate, SpeedLearner, WEIGHT_HALF_LIFE_S,
};
use crate::engine_view::EngineContents;

/// Longest time between two reports of an engine of which the progress is compared.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(600);

/// Smallest number of events between two reports that is an observation: the reports are read at
/// times that have nothing to do with the events.
const MIN_REPORTED_EVENTS: u64 = 6;

/// Factor on the weight of what was observed of an engine before it restarted.
const RESTART_FACTOR: f64 = 0.25;

/// Age at which an entry's report of a speed no longer counts at the agent.
const REPORT_TIMEOUT: Duration = Duration::from_secs(10);

/// The speed of an agent's engine, merged from the reports of entries.
#[derive(Debug, Default)]
pub struct SharedSpeed {
    reports: HashMap<String, (Timestamp, EngineSpeed)>,
    own: SpeedLearner,
    observed_at: Timestamp,
    retained: SpeedEstimate,
    retained_at: Timestamp,
}

impl SharedSpeed {
    /// Records what an entry observed.
    pub fn record(&mut self, now: Timestamp, entry: &str, speed: EngineSpeed) {
        self.reports.insert(entry.to_owned(), (now, speed));
    }

    /// Learns the time between events from two reports of the engine between which no prompt was
    /// prefilled.
    pub fn record_progress(
        &mut self,
        now: Timestamp,
        before: &EngineContents,
        after: &EngineContents,
    ) {
        let elapsed = now.since(std::mem::replace(&mut self.observed_at, now));
        let has_prefills = before.pending_prefills > 0 || after.pending_prefills > 0;
        if elapsed > MAX_REPORT_INTERVAL || has_prefills {
            return;
        }
        let (mut runs, mut events) = (0, 0_u64);
        for run in &after.runs {
            let known = before.runs.iter().find(|known| known.run == run.run);
            if let Some(known) = known.filter(|known| known.events > 0) {
                runs += 1;
                events = events.saturating_add(run.events.saturating_sub(known.events));
            }
        }
        if events < MIN_REPORTED_EVENTS {
            return;
        }
        let sample = EventSample {
            elapsed: elapsed.mul_f64(f64::from(runs) / events as f64),
            events: 1,
            backlog_tokens: 0.0,
            batch: after.active,
        };
        self.own.record_events(now, sample);
    }

    /// Records that another incarnation of the engine answers. It is mostly as fast as the last
    /// one, but may have other software.
    pub fn record_restart(&mut self) {
        self.reports.clear();
        self.own = SpeedLearner::default();
        self.retained = self.retained.scaled(RESTART_FACTOR);
    }

    /// Returns the merged speed. It outlives the entries that observed it, with a weight that
    /// decreases.
    pub fn merged(&mut self, now: Timestamp) -> EngineSpeed {
        self.reports
            .retain(|_, (at, _)| now.since(*at) < REPORT_TIMEOUT);
        let live = self
            .reports
            .values()
            .map(|(_, speed)| *speed)
            .chain(self.own.own())
            .map(SpeedEstimate::from)
            .reduce(SpeedEstimate::merge_unlimited)
            .unwrap_or_default();
        let age = now.since(self.retained_at).as_secs_f64();
        let kept = self.retained.scaled((-age / WEIGHT_HALF_LIFE_S).exp2());
        self.retained = live.completed_by(kept);
        self.retained_at = now;
        self.retained.into()
    }
}
