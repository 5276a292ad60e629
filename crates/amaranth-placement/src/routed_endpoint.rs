//! One endpoint as a router knows it: its last report, corrected by the entry's own counts.

use std::time::Duration;

use amaranth_core::ids::ModelName;
use amaranth_core::membership::{EndpointOffer, EndpointReport};

use crate::ranking;

/// One endpoint.
#[derive(Debug, Clone)]
pub struct RoutedEndpoint {
    /// Its last report.
    pub report: EndpointReport,
    /// Its part of rendezvous scores.
    pub hash: u64,
    own_in_flight: u32,
    sent_since_report: u32,
}

impl RoutedEndpoint {
    /// Takes a report and keeps the entry's own counts from the one before.
    pub fn open(report: EndpointReport, before: Option<&Self>) -> Self {
        Self {
            hash: ranking::endpoint_hash(&report.endpoint),
            own_in_flight: before.map_or(0, |before| before.own_in_flight),
            sent_since_report: 0,
            report,
        }
    }

    /// Notes that the entry sent it a request.
    pub const fn note_started(&mut self) {
        self.own_in_flight += 1;
        self.sent_since_report += 1;
    }

    /// Notes that a request of the entry ended.
    pub const fn note_finished(&mut self) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        self.sent_since_report = self.sent_since_report.saturating_sub(1);
    }

    /// Returns whether it runs the base model.
    pub fn serves(&self, base: &ModelName) -> bool {
        matches!(&self.report.offer, EndpointOffer::Engine { bases, .. } if bases.contains(base))
    }

    /// Returns the requests expected there now: those reported and those sent since, or the
    /// entry's own if they are more.
    pub fn expected_in_flight(&self) -> u32 {
        let load = self.report.load;
        let reported = u32::from(load.in_flight) + u32::from(load.queued);
        self.own_in_flight.max(reported + self.sent_since_report)
    }

    /// Returns the places that its batch has free.
    pub fn room(&self) -> u32 {
        self.batch_slots().saturating_sub(self.expected_in_flight())
    }

    /// Returns the adapter slots that it reported as free or evictable.
    pub fn spare_slots(&self) -> usize {
        usize::from(self.report.load.spare_slots)
    }

    /// Returns the expected wait for a place in the batch.
    pub fn batch_wait(&self, service_time: Duration) -> Duration {
        let slots = self.batch_slots();
        let ahead = (self.expected_in_flight() + 1).saturating_sub(slots);
        service_time.mul_f64(f64::from(ahead) / f64::from(slots.max(1)))
    }

    fn batch_slots(&self) -> u32 {
        match &self.report.offer {
            EndpointOffer::Engine { batch_slots, .. } => u32::from(*batch_slots),
            EndpointOffer::Service(_) => u32::MAX,
        }
    }
}
