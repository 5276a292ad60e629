//! Samples what engines and entries count while a run goes on.

use std::time::{Duration, Instant};

use amaranth_core::ids::EndpointId;

use crate::checker::evidence::{EngineRecord, RevisionReading};
use crate::fleet::demo_fleet::DemoFleet;

/// Collects engine records and revision readings.
#[derive(Debug)]
pub struct EvidenceSampler {
    begun: Instant,
    engines: Vec<SampledEngine>,
    readings: Vec<RevisionReading>,
}

#[derive(Debug)]
struct SampledEngine {
    record: EngineRecord,
    accepted: u64,
}

impl SampledEngine {
    fn open(endpoint: EndpointId) -> Self {
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
    /// Opens a sampler whose times count from `begun`.
    pub fn open(fleet: &DemoFleet, begun: Instant) -> Self {
        let engines = fleet
            .engines
            .iter()
            .map(|named| SampledEngine::open(named.id.clone()))
            .collect();
        Self {
            begun,
            engines,
            readings: Vec::new(),
        }
    }

    /// Returns the time since the beginning of the run.
    pub fn elapsed(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Takes one sample of everything.
    pub fn sample(&mut self, fleet: &DemoFleet) {
        let at = self.begun.elapsed();
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
            // An entry that has not caught up takes no requests: nothing is in force there yet.
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

    /// Returns what was collected.
    pub fn close(self) -> (Vec<EngineRecord>, Vec<RevisionReading>) {
        let records = self
            .engines
            .into_iter()
            .map(|sampled| sampled.record)
            .collect();
        (records, self.readings)
    }
}
