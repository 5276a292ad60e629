//! The demand for adapters at one engine, which its agent learns from entries' usage reports.

use std::collections::HashMap;
use std::time::Duration;

use amaranth_core::ids::{AdapterName, ModelName};
use amaranth_core::time::Timestamp;

use crate::engine_view::UsageReport;

/// Time after which a use counts half. It spans several uses of the adapters that an engine holds, and
/// is short enough to follow a popularity that shifts within seconds.
const HALF_LIFE_S: f64 = 10.0;

/// Demand below which an adapter is forgotten: a single use a minute ago.
const MIN_DEMAND: f64 = 0.015;

/// Interval between two removals of forgotten adapters.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(10);

type AdapterId = (ModelName, AdapterName);

/// The decayed number of uses of each adapter.
#[derive(Debug, Default)]
pub struct AdapterDemand {
    uses: HashMap<AdapterId, (Timestamp, f64)>,
    cleaned_at: Timestamp,
}

impl AdapterDemand {
    /// Records the uses that began between two reports of an entry.
    pub fn record_report(
        &mut self,
        now: Timestamp,
        previous: Option<&UsageReport>,
        report: &UsageReport,
    ) {
        for used in &report.adapters {
            let before = previous
                .into_iter()
                .flat_map(|previous| &previous.adapters)
                .find(|known| known.name == used.name && known.model == used.model)
                .map_or(0, |known| known.calls);
            let begun = match used.calls {
                // The adapter was used and released since the last report, unless the use was known.
                0 => u32::from(before == 0),
                calls => calls.saturating_sub(before),
            };
            if begun > 0 {
                self.record_uses(now, (used.model.clone(), used.name.clone()), begun);
            }
        }
        self.clean_up(now);
    }

    /// Returns the decayed number of uses of an adapter.
    pub fn of(&self, now: Timestamp, id: &AdapterId) -> f64 {
        self.uses
            .get(id)
            .map_or(0.0, |(at, uses)| uses * decay(now, *at))
    }

    fn record_uses(&mut self, now: Timestamp, id: AdapterId, begun: u32) {
        let (at, uses) = self.uses.entry(id).or_insert((now, 0.0));
        *uses = *uses * decay(now, *at) + f64::from(begun);
        *at = now;
    }

    fn clean_up(&mut self, now: Timestamp) {
        if now.since(self.cleaned_at) < CLEANUP_INTERVAL {
            return;
        }
        self.cleaned_at = now;
        self.uses
            .retain(|_, (at, uses)| *uses * decay(now, *at) >= MIN_DEMAND);
    }
}

fn decay(now: Timestamp, at: Timestamp) -> f64 {
    (-now.since(at).as_secs_f64() / HALF_LIFE_S).exp2()
}
