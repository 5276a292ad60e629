//! The software versions at which streams began, so that each stream goes on at no other.
//!
//! Engines of several versions may serve side by side, and what two versions write does not fit
//! together. The caller of a broken stream may take it up at any entry, also after the entry that
//! began it has ended. Each entry therefore tells two agents of every stream that it begins, and an
//! entry that does not know the origin of a stream asks those that [`crate::holder_ranking`] names for
//! its key.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use amaranth_core::digest::hash64;
use amaranth_core::ids::{ServiceName, SoftwareVersion};
use amaranth_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::call::CallId;

/// Time for which the origin of a stream is kept, longer than callers wait for an answer.
pub const ORIGIN_TIME: Duration = Duration::from_secs(120);

/// Largest number of origins that are kept for [`ORIGIN_TIME`]; with more, the oldest are forgotten
/// earlier.
const MAX_ORIGINS: usize = 32_768;

/// The key of a stream: a digest of the id of the call that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Returns the seed by which the holders of the stream's origin are ranked.
    pub const fn seed(self) -> u64 {
        self.0
    }
}

impl From<&CallId> for StreamKey {
    fn from(call: &CallId) -> Self {
        Self(hash64(0, call.as_str().as_bytes()))
    }
}

/// The software version at which a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamKey,
    /// The version.
    pub software: SoftwareVersion,
}

/// The origins of recent streams, in two generations of which the older one is dropped as a whole.
#[derive(Debug, Clone, Default)]
pub struct StreamOrigins {
    current: HashMap<StreamKey, SoftwareVersion>,
    previous: HashMap<StreamKey, SoftwareVersion>,
    current_since: Timestamp,
}

impl StreamOrigins {
    /// Records the origin of a stream at `now`. The first one that is known of a stream stays.
    pub fn record(&mut self, now: Timestamp, origin: StreamOrigin) {
        self.forget_old(now);
        if !self.previous.contains_key(&origin.stream) {
            self.current.entry(origin.stream).or_insert(origin.software);
        }
    }

    /// Returns the version at which a stream began, if it is known at `now`.
    pub fn find(&mut self, now: Timestamp, stream: StreamKey) -> Option<SoftwareVersion> {
        self.forget_old(now);
        let known = self.current.get(&stream);
        known.or_else(|| self.previous.get(&stream)).cloned()
    }

    fn forget_old(&mut self, now: Timestamp) {
        let age = now.since(self.current_since);
        if age < ORIGIN_TIME && self.current.len() < MAX_ORIGINS {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        if age >= ORIGIN_TIME * 2 {
            self.previous.clear();
        }
        self.current_since = now;
    }
}

/// The software versions of each service that are listed, or were so within [`ORIGIN_TIME`].
#[derive(Debug, Clone, Default)]
pub struct SoftwareHistory {
    seen: BTreeMap<ServiceName, BTreeMap<SoftwareVersion, Timestamp>>,
}

impl SoftwareHistory {
    /// Records the versions that are listed at `now`, and forgets old ones.
    pub fn record<'a>(
        &mut self,
        now: Timestamp,
        listed: impl IntoIterator<Item = (&'a ServiceName, &'a SoftwareVersion)>,
    ) {
        for (service, software) in listed {
            if let Some(versions) = self.seen.get_mut(service)
                && let Some(seen_at) = versions.get_mut(software)
            {
                *seen_at = now;
                continue;
            }
            let versions = self.seen.entry(service.clone()).or_default();
            versions.insert(software.clone(), now);
        }
        self.seen.retain(|_, versions| {
            versions.retain(|_, seen_at| now.since(*seen_at) < ORIGIN_TIME);
            !versions.is_empty()
        });
    }

    /// Returns the version of all endpoints of a service, if there was no other one.
    pub fn only_version(&self, service: &ServiceName) -> Option<&SoftwareVersion> {
        let versions = self.seen.get(service)?;
        let (software, _) = versions.first_key_value()?;
        (versions.len() == 1).then_some(software)
    }
}
