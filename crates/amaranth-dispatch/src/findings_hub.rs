//! The newest findings of each entry at an agent, through which entries exchange them past the store.
//!
//! An entry that is cut off from the store still reaches agents, and so do the others when the store
//! is away. Entries send their findings to agents that all of them rank alike, and ask these for what
//! they lack. The agent does not read the findings. It keeps them in memory only; entries send theirs
//! again to an agent that has restarted.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The seed by which the holders of findings are ranked.
pub const FINDINGS_SEED: u64 = 0;

/// Largest number of entries whose findings are kept.
const MAX_ENTRIES: usize = 1_024;

/// Largest size of one entry's findings, in bytes.
const MAX_FINDINGS_BYTES: usize = 256 << 10;

/// What an entry has of a hub's findings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct FindingsCursor {
    /// The incarnation of the hub; 0 if the entry has nothing.
    pub hub: u64,
    /// The newest revision that the entry has.
    pub revision: u64,
}

/// The findings of one entry in the form in which they are published.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HubFindings {
    /// The name of the entry.
    pub entry: String,
    /// The encoded findings.
    pub encoded: Bytes,
}

/// What an entry lacks of a hub's findings.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HubUpdate {
    /// What the entry has after this update.
    pub cursor: FindingsCursor,
    /// The findings of entries, newest of each only.
    pub findings: Vec<HubFindings>,
}

/// The newest findings of each entry, with the revision at which they came.
#[derive(Debug, Clone)]
pub struct FindingsHub {
    incarnation: u64,
    revision: u64,
    entries: BTreeMap<String, (u64, Bytes)>,
}

impl FindingsHub {
    /// Creates a hub without findings. No other hub has its incarnation, which is not 0.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation: incarnation.max(1),
            revision: 0,
            entries: BTreeMap::new(),
        }
    }

    /// Replaces the findings of an entry. Returns whether they changed.
    pub fn record(&mut self, findings: HubFindings) -> bool {
        let HubFindings { entry, encoded } = findings;
        let known = self.entries.get(&entry);
        let is_known = known.is_some_and(|(_, known)| *known == encoded);
        if is_known || encoded.len() > MAX_FINDINGS_BYTES {
            return false;
        }
        self.revision += 1;
        self.entries.insert(entry, (self.revision, encoded));
        if self.entries.len() > MAX_ENTRIES {
            let oldest = self
                .entries
                .iter()
                .min_by_key(|(_, (revision, _))| *revision);
            if let Some(oldest) = oldest.map(|(entry, _)| entry.clone()) {
                self.entries.remove(&oldest);
            }
        }
        true
    }

    /// Returns whether an entry with `cursor` lacks something.
    pub const fn has_news(&self, cursor: FindingsCursor) -> bool {
        cursor.hub != self.incarnation || cursor.revision < self.revision
    }

    /// Returns what an entry with `cursor` lacks.
    pub fn update_for(&self, cursor: FindingsCursor) -> HubUpdate {
        let known = if cursor.hub == self.incarnation {
            cursor.revision
        } else {
            0
        };
        let news = self
            .entries
            .iter()
            .filter(|(_, (revision, _))| *revision > known);
        HubUpdate {
            cursor: FindingsCursor {
                hub: self.incarnation,
                revision: self.revision,
            },
            findings: news
                .map(|(entry, (_, encoded))| HubFindings {
                    entry: entry.clone(),
                    encoded: encoded.clone(),
                })
                .collect(),
        }
    }
}
