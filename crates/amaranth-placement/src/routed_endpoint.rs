//! The state of an endpoint in a router: its last report and the entry's own request counts.

use std::time::Duration;

use amaranth_core::ids::ModelName;
use amaranth_core::membership::{EndpointOffer, EndpointReport};

use crate::ranking;

/// An endpoint to which a router can send requests.
#[derive(Debug, Clone)]
pub struct RoutedEndpoint {
    /// The last report of the endpoint.
    pub report: EndpointReport,
    /// The hash that the endpoint contributes to rendezvous scores.
    pub hash: u64,
    own_in_flight: u32,
    sent_since_report: u32,
}

impl RoutedEndpoint {
    /// Creates the state from a new report; keeps the entry's in-flight count of `previous`.
    pub fn new(report: EndpointReport, previous: Option<&Self>) -> Self {
        Self {
            hash: ranking::endpoint_hash(&report.endpoint),
            own_in_flight: previous.map_or(0, |previous| previous.own_in_flight),
            sent_since_report: 0,
            report,
        }
    }

    /// Records that the entry sent the endpoint a request.
    pub const fn record_started(&mut self) {
        self.own_in_flight += 1;
        self.sent_since_report += 1;
    }

    /// Records that a request of the entry to the endpoint ended.
    pub const fn record_finished(&mut self) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        self.sent_since_report = self.sent_since_report.saturating_sub(1);
    }

    /// Returns whether the endpoint runs the base model.
    pub fn serves(&self, base: &ModelName) -> bool {
        matches!(&self.report.offer, EndpointOffer::Engine { bases, .. } if bases.contains(base))
    }

    /// Returns the expected number of requests at the endpoint.
    ///
    /// This is the number of reported requests plus those that the entry sent since the report, or
    /// the number of the entry's own requests if that is larger.
    pub fn expected_in_flight(&self) -> u32 {
        let load = self.report.load;
        let reported = u32::from(load.in_flight) + u32::from(load.queued);
        self.own_in_flight.max(reported + self.sent_since_report)
    }

    /// Returns the expected number of free batch slots.
    pub fn free_batch_slots(&self) -> u32 {
        self.batch_slots().saturating_sub(self.expected_in_flight())
    }

    /// Returns the number of adapter slots that the endpoint reported as free or evictable.
    pub fn spare_slots(&self) -> usize {
        usize::from(self.report.load.spare_slots)
    }

    /// Returns the expected wait for a batch slot.
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
