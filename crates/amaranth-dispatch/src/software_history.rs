//! The software versions of services, and whether a service had only one while a stream may have begun.
//!
//! A stream of unknown origin may go on only where all engines of its service have had one version since
//! the stream can have begun. What one entry has seen does not show this: it may have started after the
//! engines of another version left, or be cut off from the registry. Entries therefore note each version
//! that they see in the platform's store, with the time at which the last endpoint of a version left. An
//! entry whose note is on its way may have begun streams already, so the registry itself counts as well.

use std::collections::BTreeMap;

use amaranth_core::ids::{ServiceName, SoftwareVersion};
use amaranth_core::time::{Timestamp, WallTime};
use serde::{Deserialize, Serialize};
use serde_with::skip_serializing_none;

use crate::stream_origins::ORIGIN_TIME;

/// A software version of a service, as the store remembers it.
#[skip_serializing_none]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RememberedVersion {
    /// The service.
    pub service: ServiceName,
    /// The version.
    pub software: SoftwareVersion,
    /// The time at which the last endpoint of the version was removed, unless some may be left.
    pub removed_at: Option<WallTime>,
}

impl RememberedVersion {
    /// Returns whether a stream that is taken up at `now` may have begun at the version. A removal in
    /// the future counts as recent, since wall clocks differ.
    fn may_have_begun_streams(&self, now: WallTime) -> bool {
        let removed_at = self.removed_at;
        removed_at.is_none_or(|removed_at| now.since(removed_at) < ORIGIN_TIME)
    }
}

/// A software version of a service that an endpoint in the registry has.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListedVersion {
    /// The service.
    pub service: ServiceName,
    /// The version.
    pub software: SoftwareVersion,
}

/// What the store shows of software versions. The registry is read first, so that a version that leaves it
/// meanwhile is remembered.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoredVersions {
    /// The versions of the endpoints in the registry.
    pub listed: Vec<ListedVersion>,
    /// The versions that entries have noted.
    pub remembered: Vec<RememberedVersion>,
}

impl StoredVersions {
    fn lists(&self, version: &RememberedVersion) -> bool {
        let RememberedVersion {
            service, software, ..
        } = version;
        self.listed
            .iter()
            .any(|listed| listed.service == *service && listed.software == *software)
    }
}

/// A version as this entry saw it.
#[derive(Debug, Clone, Copy)]
struct SeenVersion {
    seen_at: Timestamp,
    is_listed: bool,
}

/// The software versions of each service that are listed, or were so within [`ORIGIN_TIME`], and those
/// that the store does not remember yet.
#[derive(Debug, Clone, Default)]
pub struct SoftwareHistory {
    seen: BTreeMap<ServiceName, BTreeMap<SoftwareVersion, SeenVersion>>,
    unpublished: BTreeMap<(ServiceName, SoftwareVersion), Option<WallTime>>,
}

impl SoftwareHistory {
    /// Records the versions that are listed now, and forgets old ones. Returns whether there is
    /// something to publish.
    pub fn record<'a>(
        &mut self,
        now: Timestamp,
        wall_now: WallTime,
        listed: impl IntoIterator<Item = (&'a ServiceName, &'a SoftwareVersion)>,
    ) -> bool {
        let mut previous = std::mem::take(&mut self.seen);
        for (service, software) in listed {
            let was_listed = previous
                .get_mut(service)
                .and_then(|versions| versions.remove(software))
                .is_some_and(|seen| seen.is_listed);
            let seen = SeenVersion {
                seen_at: now,
                is_listed: true,
            };
            let versions = self.seen.entry(service.clone()).or_default();
            let is_new = versions.insert(software.clone(), seen).is_none();
            if is_new && !was_listed {
                self.unpublished
                    .insert((service.clone(), software.clone()), None);
            }
        }
        for (service, versions) in previous {
            for (software, seen) in versions {
                let is_current = self
                    .seen
                    .get(&service)
                    .is_some_and(|versions| versions.contains_key(&software));
                if is_current || now.since(seen.seen_at) >= ORIGIN_TIME {
                    continue;
                }
                if seen.is_listed {
                    self.unpublished
                        .insert((service.clone(), software.clone()), Some(wall_now));
                }
                let unlisted = SeenVersion {
                    is_listed: false,
                    ..seen
                };
                let versions = self.seen.entry(service.clone()).or_default();
                versions.insert(software, unlisted);
            }
        }
        !self.unpublished.is_empty()
    }

    /// Records what the store shows. Versions that it remembers as listed and that are not, are to be
    /// published as removed now: the entries that could have seen them leave have ended.
    pub fn adopt(&mut self, wall_now: WallTime, stored: &StoredVersions) {
        for version in &stored.remembered {
            let versions = self.seen.get(&version.service);
            let seen = versions.and_then(|known| known.get(&version.software));
            let key = (version.service.clone(), version.software.clone());
            if version.removed_at.is_none() && seen.is_none() && !stored.lists(version) {
                self.unpublished.entry(key).or_insert(Some(wall_now));
            } else if version.removed_at.is_some() && seen.is_some_and(|seen| seen.is_listed) {
                // Another entry saw the version leave and this one did not, since it is listed again.
                self.unpublished.entry(key).or_insert(None);
            }
        }
    }

    /// Schedules the publication of all listed versions, since the store may have lost them.
    pub fn publish_again(&mut self) {
        for (service, versions) in &self.seen {
            for (software, seen) in versions {
                if seen.is_listed {
                    let key = (service.clone(), software.clone());
                    self.unpublished.entry(key).or_insert(None);
                }
            }
        }
    }

    /// Removes and returns what is to be published.
    pub fn take_unpublished(&mut self) -> Vec<RememberedVersion> {
        let unpublished = std::mem::take(&mut self.unpublished).into_iter();
        let versions = unpublished.map(|((service, software), removed_at)| RememberedVersion {
            service,
            software,
            removed_at,
        });
        versions.collect()
    }

    /// Returns versions whose publication failed, unless something newer about them is to be published.
    pub fn restore_unpublished(&mut self, versions: Vec<RememberedVersion>) {
        for version in versions {
            let key = (version.service, version.software);
            self.unpublished.entry(key).or_insert(version.removed_at);
        }
    }

    /// Returns the only version at which a stream that is taken up at `now` may have begun: the one
    /// that this entry and the store know of. Returns nothing if the store remembers no version of the
    /// service, since nothing then shows that there was no other.
    ///
    /// The store must have been read after the stream began.
    pub fn only_version(
        &self,
        wall_now: WallTime,
        service: &ServiceName,
        stored: &StoredVersions,
    ) -> Option<SoftwareVersion> {
        let remembered = stored
            .remembered
            .iter()
            .filter(|version| version.service == *service);
        let mut remembered = remembered
            .filter(|version| version.may_have_begun_streams(wall_now))
            .map(|version| &version.software);
        let only = remembered.next()?;
        let seen = self.seen.get(service);
        let mut seen = seen.into_iter().flat_map(BTreeMap::keys);
        let listed = stored.listed.iter();
        let mut listed = listed.filter(|version| version.service == *service);
        let is_only = remembered.all(|version| version == only)
            && listed.all(|version| version.software == *only)
            && seen.all(|version| version == only);
        is_only.then(|| only.clone())
    }
}
