//! The index from an adapter to the endpoints that hold it, load it or were just sent its requests.

use std::collections::HashMap;
use std::time::Duration;

use amaranth_core::ids::AdapterRef;
use amaranth_core::membership::EndpointReport;
use amaranth_core::time::Timestamp;
use smallvec::SmallVec;

/// Time after which an endpoint that was sent a request must have reported the adapter.
const SENT_TERM: Duration = Duration::from_secs(3);

/// The place of an endpoint in the router's table.
pub type EndpointIndex = u32;

/// How an endpoint stands to an adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyState {
    /// It holds the adapter.
    Resident,
    /// It is loading the adapter.
    Loading,
    /// This entry sent it a request for the adapter, and no report covers that yet.
    Sent(Timestamp),
}

/// One endpoint of an adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdapterCopy {
    /// The endpoint.
    pub endpoint: EndpointIndex,
    /// How it stands to the adapter.
    pub state: CopyState,
}

/// The copies of all adapters.
#[derive(Debug, Clone, Default)]
pub struct CopyIndex {
    copies: HashMap<AdapterRef, SmallVec<[AdapterCopy; 2]>>,
    /// Adapters that each endpoint was sent and has not reported, by endpoint.
    sent: Vec<SmallVec<[AdapterRef; 4]>>,
}

impl CopyIndex {
    /// Returns the copies of an adapter.
    pub fn of(&self, adapter: &AdapterRef) -> &[AdapterCopy] {
        self.copies.get(adapter).map_or(&[], SmallVec::as_slice)
    }

    /// Returns the adapters that an endpoint was sent and has not reported.
    pub fn sent_count(&self, endpoint: EndpointIndex) -> usize {
        self.sent.get(endpoint as usize).map_or(0, SmallVec::len)
    }

    /// Notes that this entry sent a request for an adapter that the endpoint does not hold.
    pub fn note_sent(&mut self, now: Timestamp, endpoint: EndpointIndex, adapter: &AdapterRef) {
        if self
            .of(adapter)
            .iter()
            .any(|copy| copy.endpoint == endpoint)
        {
            return;
        }
        self.set(adapter, endpoint, CopyState::Sent(now));
        let place = endpoint as usize;
        if self.sent.len() <= place {
            self.sent.resize_with(place + 1, SmallVec::new);
        }
        self.sent[place].push(adapter.clone());
    }

    /// Replaces what an endpoint reported before with what it reports now.
    pub fn update(
        &mut self,
        now: Timestamp,
        endpoint: EndpointIndex,
        old: Option<&EndpointReport>,
        new: &EndpointReport,
    ) {
        if let Some(old) = old {
            self.forget_reported(endpoint, old, new);
        }
        for adapter in &new.loading {
            self.set(adapter, endpoint, CopyState::Loading);
        }
        for adapter in &new.resident {
            self.set(adapter, endpoint, CopyState::Resident);
        }
        self.settle_sent(now, endpoint);
    }

    /// Forgets everything about an endpoint.
    pub fn remove(&mut self, endpoint: EndpointIndex, report: &EndpointReport) {
        for adapter in report.resident.iter().chain(&report.loading) {
            self.unset(adapter, endpoint);
        }
        for adapter in self.take_sent(endpoint) {
            self.unset(&adapter, endpoint);
        }
    }

    fn forget_reported(
        &mut self,
        endpoint: EndpointIndex,
        old: &EndpointReport,
        new: &EndpointReport,
    ) {
        let kept = |adapter: &AdapterRef| {
            new.resident.binary_search(adapter).is_ok()
                || new.loading.binary_search(adapter).is_ok()
        };
        for adapter in old.resident.iter().chain(&old.loading) {
            if !kept(adapter) {
                self.unset(adapter, endpoint);
            }
        }
    }

    /// Drops the sent requests that a report covers or that are too old to be believed.
    fn settle_sent(&mut self, now: Timestamp, endpoint: EndpointIndex) {
        let mut sent = self.take_sent(endpoint);
        sent.retain(|adapter| match self.state(adapter, endpoint) {
            Some(CopyState::Sent(at)) if now.since(at) >= SENT_TERM => {
                self.unset(adapter, endpoint);
                false
            }
            Some(CopyState::Sent(_)) => true,
            _ => false,
        });
        if !sent.is_empty() {
            self.sent[endpoint as usize] = sent;
        }
    }

    fn take_sent(&mut self, endpoint: EndpointIndex) -> SmallVec<[AdapterRef; 4]> {
        self.sent
            .get_mut(endpoint as usize)
            .map(std::mem::take)
            .unwrap_or_default()
    }

    fn state(&self, adapter: &AdapterRef, endpoint: EndpointIndex) -> Option<CopyState> {
        self.of(adapter)
            .iter()
            .find(|copy| copy.endpoint == endpoint)
            .map(|copy| copy.state)
    }

    fn set(&mut self, adapter: &AdapterRef, endpoint: EndpointIndex, state: CopyState) {
        if let Some(copies) = self.copies.get_mut(adapter) {
            match copies.iter_mut().find(|copy| copy.endpoint == endpoint) {
                Some(copy) => copy.state = state,
                None => copies.push(AdapterCopy { endpoint, state }),
            }
            return;
        }
        let copies = SmallVec::from_slice(&[AdapterCopy { endpoint, state }]);
        self.copies.insert(adapter.clone(), copies);
    }

    fn unset(&mut self, adapter: &AdapterRef, endpoint: EndpointIndex) {
        let Some(copies) = self.copies.get_mut(adapter) else {
            return;
        };
        copies.retain(|copy| copy.endpoint != endpoint);
        if copies.is_empty() {
            self.copies.remove(adapter);
        }
    }
}
