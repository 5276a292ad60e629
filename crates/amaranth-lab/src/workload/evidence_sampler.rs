//! Samples the counters of engines and the revisions of entries during a run.

use std::time::{Duration, Instant};

use amaranth_core::ids::EndpointId;

use crate::checker::evidence::{EngineRecord, RevisionReading};
use crate::fleet::demo_fleet::DemoFleet;

/// Collects the engine counters and configuration revisions that the checker uses as evidence.
#[derive(Debug)]
pub struct EvidenceSampler {
    started_at: Instant,
    engines: Vec<SampledEngine>,
    readings: Vec<RevisionReading>,
}

/// The evidence from one engine.
#[derive(Debug)]
struct SampledEngine {
    record: EngineRecord,
    /// The engine's count of accepted requests at the last sample.
    accepted: u64,
}

impl SampledEngine {
    fn new(endpoint: EndpointId) -> Self {
        Self {
            record: EngineRecord {
                endpoint,
                unloads: 0,
                unloads_in_flight: 0,
                arrivals: Vec::new(),
            },
            accepted: 0,
        }
    }
}

impl EvidenceSampler {
    /// Creates a sampler for `fleet` whose times count from `started_at`.
    pub fn new(fleet: &DemoFleet, started_at: Instant) -> Self {
        let engines = fleet
            .engines
            .iter()
            .map(|named| SampledEngine::new(named.id.clone()))
            .collect();
        Self {
            started_at,
            engines,
            readings: Vec::new(),
        }
    }

    /// Returns the time since the start of the run.
    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Samples every engine and every entry that is ready.
    pub fn sample(&mut self, fleet: &DemoFleet) {
        let at = self.started_at.elapsed();
        for (sampled, named) in self.engines.iter_mut().zip(&fleet.engines) {
            let counters = named.engine.counters();
            if counters.accepted > sampled.accepted {
                sampled.record.arrivals.push(at);
            }
            sampled.accepted = counters.accepted;
            sampled.record.unloads = counters.unloads;
            sampled.record.unloads_in_flight = counters.unloads_in_use;
        }
        for member in &fleet.entries {
            // An entry that has not caught up accepts no requests, so its revision is not in force.
            let Some(entry) = member.process().filter(|entry| entry.is_ready()) else {
                continue;
            };
            self.readings.push(RevisionReading {
                process: format!("{}/{}", member.settings().process, entry.incarnation()),
                at,
                revision: entry.revision(),
            });
        }
    }

    /// Returns the engine records and the revision readings.
    pub fn into_evidence(self) -> (Vec<EngineRecord>, Vec<RevisionReading>) {
        let engines = self
            .engines
            .into_iter()
            .map(|sampled| sampled.record)
            .collect();
        (engines, self.readings)
    }
}
