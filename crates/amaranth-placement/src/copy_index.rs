//! An index of adapter copies: for each adapter, the endpoints that hold it, load it or were just
//! sent a request for it.

use std::collections::HashMap;
use std::time::Duration;

use amaranth_core::ids::AdapterRef;
use amaranth_core::membership::EndpointReport;
use amaranth_core::time::Timestamp;
use smallvec::SmallVec;

/// The time within which an endpoint must report an adapter after it was sent a request for it.
const SENT_TIMEOUT: Duration = Duration::from_secs(3);

/// The index of an endpoint in the router's table.
pub type EndpointIndex = u32;

/// The state of a copy of an adapter on an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyState {
    /// The endpoint holds the adapter.
    Resident,
    /// The endpoint is loading the adapter.
    Loading,
    /// This entry sent the endpoint a request for the adapter at this time, and the endpoint has
    /// not reported the adapter yet.
    RequestSent(Timestamp),
}

/// A present or expected copy of an adapter on one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdapterCopy {
    /// The index of the endpoint.
    pub endpoint: EndpointIndex,
    /// The state of the copy.
    pub state: CopyState,
}

/// An index of the copies of all adapters.
#[derive(Debug, Clone, Default)]
pub struct CopyIndex {
    copies: HashMap<AdapterRef, SmallVec<[AdapterCopy; 2]>>,
    /// The adapters for which an endpoint was sent requests and which it has not reported, by
    /// endpoint index.
    sent: Vec<SmallVec<[AdapterRef; 4]>>,
}

impl CopyIndex {
    /// Returns the copies of an adapter.
    pub fn copies_of(&self, adapter: &AdapterRef) -> &[AdapterCopy] {
        self.copies.get(adapter).map_or(&[], SmallVec::as_slice)
    }

    /// Returns the number of adapters for which an endpoint was sent requests and which it has not
    /// reported.
    pub fn sent_count(&self, endpoint: EndpointIndex) -> usize {
        self.sent.get(endpoint as usize).map_or(0, SmallVec::len)
    }

    /// Records that this entry sent a request for an adapter to an endpoint.
    ///
    /// A copy that the index already lists keeps its state.
    pub fn record_sent(&mut self, now: Timestamp, endpoint: EndpointIndex, adapter: &AdapterRef) {
        if self
            .copies_of(adapter)
            .iter()
            .any(|copy| copy.endpoint == endpoint)
        {
            return;
        }
        self.set(adapter, endpoint, CopyState::RequestSent(now));
        let index = endpoint as usize;
        if self.sent.len() <= index {
            self.sent.resize_with(index + 1, SmallVec::new);
        }
        self.sent[index].push(adapter.clone());
    }

    /// Replaces the copies of the previous report of an endpoint by those of the new report.
    pub fn update(
        &mut self,
        now: Timestamp,
        endpoint: EndpointIndex,
        old: Option<&EndpointReport>,
        new: &EndpointReport,
    ) {
        if let Some(old) = old {
            self.remove_unreported(endpoint, old, new);
        }
        for adapter in &new.loading {
            self.set(adapter, endpoint, CopyState::Loading);
        }
        for adapter in &new.resident {
            self.set(adapter, endpoint, CopyState::Resident);
        }
        self.prune_sent(now, endpoint);
    }

    /// Removes all copies on an endpoint, whose last report was `report`.
    pub fn remove(&mut self, endpoint: EndpointIndex, report: &EndpointReport) {
        for adapter in report.resident.iter().chain(&report.loading) {
            self.unset(adapter, endpoint);
        }
        for adapter in self.take_sent(endpoint) {
            self.unset(&adapter, endpoint);
        }
    }

    fn remove_unreported(
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

    /// Removes the sent requests that the report confirms or that exceed [`SENT_TIMEOUT`].
    fn prune_sent(&mut self, now: Timestamp, endpoint: EndpointIndex) {
        let mut sent = self.take_sent(endpoint);
        sent.retain(|adapter| match self.state(adapter, endpoint) {
            Some(CopyState::RequestSent(at)) if now.since(at) >= SENT_TIMEOUT => {
                self.unset(adapter, endpoint);
                false
            }
            Some(CopyState::RequestSent(_)) => true,
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
        self.copies_of(adapter)
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
