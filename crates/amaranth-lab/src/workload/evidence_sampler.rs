//! Samples what engines and entries count while a run goes on.

use std::time::{Duration, Instant};

use amaranth_core::ids::EndpointId;

use crate::checker::evidence::{EngineBook, RevisionReading};
use crate::fleet::demo_fleet::DemoFleet;

/// Collects engine books and revision readings.
#[derive(Debug)]
pub struct EvidenceSampler {
    begun: Instant,
    books: Vec<SampledEngine>,
    readings: Vec<RevisionReading>,
}

#[derive(Debug)]
struct SampledEngine {
    book: EngineBook,
    accepted: u64,
}

impl SampledEngine {
    fn open(endpoint: EndpointId) -> Self {
        Self {
            book: EngineBook {
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
        let books = fleet
            .engines
            .iter()
            .map(|named| SampledEngine::open(named.id.clone()))
            .collect();
        Self {
            begun,
            books,
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
        for (sampled, named) in self.books.iter_mut().zip(&fleet.engines) {
            let counters = named.engine.counters();
            if counters.accepted > sampled.accepted {
                sampled.book.arrivals.push(at);
            }
            sampled.accepted = counters.accepted;
            sampled.book.unloads = counters.unloads;
            sampled.book.unloads_in_flight = counters.unloads_in_use;
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
    pub fn close(self) -> (Vec<EngineBook>, Vec<RevisionReading>) {
        let books = self.books.into_iter().map(|sampled| sampled.book).collect();
        (books, self.readings)
    }
}
